"""Split of a route's requests between services, by weight.

Smooth weighted round robin: each service's credit grows by its weight, and
the one with the most credit is chosen and pays for it, so that the shares
hold over short spans too.
"""

from rattanstile.request.ids import ServiceName
from rattanstile.version.fleet_config import FleetRoute


class Splitter:
    """Credits of the services of each split route."""

    def __init__(self) -> None:
        """Begin without credit."""
        self._credits: dict[str, dict[ServiceName, float]] = {}

    def choose(self, route: FleetRoute) -> ServiceName:
        """Return the service of the route's next request."""
        if len(route.shares) == 1:
            return route.shares[0].service
        held = self._credits.setdefault(route.name, {})
        total = sum(share.weight for share in route.shares)
        best = route.shares[0].service
        for share in route.shares:
            held[share.service] = held.get(share.service, 0.0) + share.weight
        best = max(route.shares, key=lambda share: held[share.service]).service
        held[best] -= total
        for service in tuple(held):
            if all(share.service != service for share in route.shares):
                held.pop(service)
        return best
