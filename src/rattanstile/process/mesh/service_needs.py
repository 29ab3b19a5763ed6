"""What a run of each route takes of which services, down to the deepest.

Serving nodes tell it on the answers of calls; each adds what its own target's
calls were told. So the node where a tree begins learns what it takes
of the deepest service within a few answers. Until the first answer a run
takes one of the service that the route goes to: a service that answers
nobody is known to be needed all the same.
"""

from dataclasses import dataclass

from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import ServiceName

NEED_GAIN = 0.3
FRESH_S = 30.0
"""Needs that were told longer ago are replaced, not averaged with."""
MOST_NEEDS = 12


@dataclass(frozen=True, order=True, slots=True)
class RunKind:
    """Runs of one route on one service; a route may be split among several."""

    route: str
    service: ServiceName


@dataclass(slots=True)
class _Need:
    runs: float
    told_s: float


class UsageEstimates:
    """Needs of routes, as told by the nodes that served them."""

    def __init__(self) -> None:
        """Begin without knowledge."""
        self._kinds: dict[RunKind, dict[ServiceName, _Need]] = {}

    def told(
        self, now_s: float, kind: RunKind, needs: tuple[ServiceUsage, ...]
    ) -> None:
        """Take what an answer tells of its kind of run."""
        known = self._kinds.setdefault(kind, {})
        for need in needs:
            earlier = known.get(need.service)
            if earlier is None or now_s - earlier.told_s > FRESH_S:
                known[need.service] = _Need(need.runs, now_s)
                continue
            earlier.runs += NEED_GAIN * (need.runs - earlier.runs)
            earlier.told_s = now_s

    def of(self, kind: RunKind) -> tuple[ServiceUsage, ...]:
        """Return what a run takes."""
        known = self._kinds.get(kind)
        if known is None:
            return (ServiceUsage(kind.service, 1.0),)
        return tuple(
            ServiceUsage(service, round(need.runs, 2))
            for service, need in known.items()
        )

    def below(
        self, calls: dict[RunKind, float]
    ) -> dict[ServiceName, ServiceUsage]:
        """Return what these calls take together."""
        found: dict[ServiceName, ServiceUsage] = {}
        for kind, count in calls.items():
            for need in self.of(kind):
                earlier = found.get(need.service)
                runs = count * need.runs
                if earlier is not None:
                    runs += earlier.runs
                found[need.service] = ServiceUsage(need.service, round(runs, 2))
        return found


def add_own_usage(
    own: ServiceUsage, below: dict[ServiceName, ServiceUsage]
) -> tuple[ServiceUsage, ...]:
    """Return the needs of a route: the service that runs it and those below."""
    deeper = below.pop(own.service, None)
    if deeper is not None:
        own = ServiceUsage(own.service, round(own.runs + deeper.runs, 2))
    return (own, *tuple(below.values())[: MOST_NEEDS - 1])
