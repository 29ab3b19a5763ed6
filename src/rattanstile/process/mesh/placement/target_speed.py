"""Speed of each target relative to the others of its service.

Handles targets that differ in speed by a factor of up to 3. Each report names
one route and the target's usual time for it. The time divided by the mean of
the service's targets for the same route doesn't depend on which routes a
target runs.
"""

from dataclasses import dataclass, field

from rattanstile.connection.peer_messages import TargetLoad

MAX_TARGET_ROUTES = 6
"""Routes that are kept for a target: the ones that it reported last."""
MIN_SLOWNESS = 0.2
MAX_SLOWNESS = 5.0


@dataclass(eq=False, slots=True)
class Slowness:
    """Time of a target for a call over the mean of its service.

    Attributes:
        ratio: 1 for a target as fast as the mean, or unknown.
        times_deci_ms: Its usual time for each route, latest report last.
    """

    ratio: float = 1.0
    times_deci_ms: dict[int, int] = field(default_factory=dict)


@dataclass(eq=False, slots=True)
class _RouteSum:
    """Sum of the targets' times for one route."""

    targets: int = 0
    deci_ms: int = 0


class ServiceSpeed:
    """Mean time of the targets of one service, by route."""

    def __init__(self) -> None:
        """Start without reports."""
        self._sums: dict[int, _RouteSum] = {}

    def record(self, load: TargetLoad, slowness: Slowness) -> None:
        """Update the slowness of the target that a report is about."""
        code = load.route_code
        if not code or not load.route_deci_ms:
            return
        times = slowness.times_deci_ms
        if times.get(code) != load.route_deci_ms:
            self._remove(slowness, code)
            times[code] = load.route_deci_ms
            self._add(code, load.route_deci_ms)
            if len(times) > MAX_TARGET_ROUTES:
                self._remove(slowness, next(iter(times)))
        slowness.ratio = self._ratio(times)

    def forget(self, slowness: Slowness) -> None:
        """Remove a target from the means."""
        for code in tuple(slowness.times_deci_ms):
            self._remove(slowness, code)
        slowness.ratio = 1.0

    def _add(self, code: int, deci_ms: int) -> None:
        total = self._sums.setdefault(code, _RouteSum())
        total.targets += 1
        total.deci_ms += deci_ms

    def _remove(self, slowness: Slowness, code: int) -> None:
        deci_ms = slowness.times_deci_ms.pop(code, None)
        if deci_ms is None:
            return
        total = self._sums[code]
        total.targets -= 1
        total.deci_ms -= deci_ms
        if not total.targets:
            del self._sums[code]

    def _ratio(self, times_deci_ms: dict[int, int]) -> float:
        ratios = [
            deci_ms * self._sums[code].targets / self._sums[code].deci_ms
            for code, deci_ms in times_deci_ms.items()
        ]
        return min(max(sum(ratios) / len(ratios), MIN_SLOWNESS), MAX_SLOWNESS)
