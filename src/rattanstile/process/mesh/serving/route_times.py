"""Service time of each route at the local target.

The load pattern: routes of one service differ by a factor of 30, inner calls
of 15 ms beside roots of 400 ms. The mean over all routes tells neither how
long a call of one of them takes nor how much work a queue of them is.
"""

from collections.abc import Iterator
from dataclasses import dataclass

SERVICE_GAIN = 0.05
MIN_RUNS = 5
"""Runs of a route before its own mean is used; the first ones may be cold."""
MAX_ROUTES = 256
"""Routes with a mean of their own; a further one replaces the idlest."""


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Service time of a route.

    Attributes:
        usual_max_s: Mean with the mean deviation added, as for the timeout of
            a retransmission (Jacobson, 1988); four of five runs end by then.
    """

    mean_s: float
    usual_max_s: float


@dataclass(eq=False, slots=True)
class _RouteTime:
    """Mean service time of a route.

    Attributes:
        deviation_s: Mean absolute deviation from it.
        runs: Runs since the route was added.
        last_run: Number of its latest run among those of all routes.
    """

    service_s: float = 0.0
    deviation_s: float = 0.0
    runs: int = 0
    last_run: int = 0

    def add(self, took_s: float, run_number: int) -> None:
        self.runs += 1
        self.last_run = run_number
        gain = max(SERVICE_GAIN, 1 / self.runs)
        error_s = took_s - self.service_s
        self.service_s += gain * error_s
        self.deviation_s += gain * (abs(error_s) - self.deviation_s)


class RouteTimes:
    """Smoothed service times, by route."""

    def __init__(self) -> None:
        """Start without runs."""
        self._routes: dict[str, _RouteTime] = {}
        self._run_count = 0

    def record(self, route: str, took_s: float) -> None:
        """Add a run that the target has answered.

        Args:
            route: Name of the route.
            took_s: Seconds from sending the call to its answer.
        """
        self._run_count += 1
        route_time = self._routes.get(route)
        if route_time is None:
            if len(self._routes) >= MAX_ROUTES:
                self._drop_idlest()
            route_time = _RouteTime()
            self._routes[route] = route_time
        route_time.add(took_s, self._run_count)

    def of_route(self, route: str) -> ServiceTime | None:
        """Return the service time of a route; None while it is not known."""
        route_time = self._routes.get(route)
        if route_time is None or route_time.runs < MIN_RUNS:
            return None
        mean_s = route_time.service_s
        return ServiceTime(mean_s, mean_s + route_time.deviation_s)

    def known(self) -> Iterator[tuple[str, ServiceTime]]:
        """Yield each route whose service time is known."""
        for route in sorted(self._routes):
            service_time = self.of_route(route)
            if service_time is not None:
                yield route, service_time

    def _drop_idlest(self) -> None:
        idlest = min(
            self._routes, key=lambda route: self._routes[route].last_run
        )
        self._routes.pop(idlest)
