"""Split of a route's requests between services, by weight.

Smooth weighted round robin: at each request the credit of each service grows
by its weight; the service with the most credit is chosen, and the total
weight is deducted from its credit. So the shares hold over short spans too.
"""

from collections.abc import Container

from rattanstile.request.ids import ServiceName
from rattanstile.version.fleet_config import FleetRoute


class Splitter:
    """Credits of the services of each split route."""

    def __init__(self) -> None:
        """Start without credits."""
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: FleetRoute) -> ServiceName:
        """Return the service for the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        route_credits = self._credits.setdefault(route.name, {})
        total = sum(share.weight for share in route.shares)
        best = route.shares[0].service
        for share in route.shares:
            route_credits[share.service] = (
                route_credits.get(share.service, 0.0) + share.weight
            )
        best = max(
            route.shares, key=lambda share: route_credits[share.service]
        ).service
        route_credits[best] -= total
        for service in tuple(route_credits):
            if all(share.service != service for share in route.shares):
                route_credits.pop(service)
        return best

    def keep(self, route_names: Container[str]) -> None:
        """Forget the routes that are not among those that are kept."""
        for route in tuple(self._credits):
            if route not in route_names:
                self._credits.pop(route)
