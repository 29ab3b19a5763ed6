"""What a run of each route takes of which services, down to the deepest.

Serving nodes tell it on the answers of calls; each adds what its own target's
calls were told. So the node where a tree begins learns what it takes
of the deepest service within a few answers.
"""

from dataclasses import dataclass

from rattanstile.request.exchange import ServiceNeed
from rattanstile.request.ids import ServiceName

NEED_GAIN = 0.3
FRESH_S = 30.0
"""Needs that were told longer ago are replaced, not averaged with."""
MOST_NEEDS = 12


@dataclass(slots=True)
class _Need:
    runs: float
    told_s: float


class ServiceNeeds:
    """Needs of routes, as told by the nodes that served them."""

    def __init__(self) -> None:
        """Begin without knowledge."""
        self._routes: dict[str, dict[ServiceName, _Need]] = {}

    def told(
        self, now_s: float, route: str, needs: tuple[ServiceNeed, ...]
    ) -> None:
        """Take what an answer tells of its route."""
        known = self._routes.setdefault(route, {})
        for need in needs:
            earlier = known.get(need.service)
            if earlier is None or now_s - earlier.told_s > FRESH_S:
                known[need.service] = _Need(need.runs, now_s)
                continue
            earlier.runs += NEED_GAIN * (need.runs - earlier.runs)
            earlier.told_s = now_s

    def of(self, route: str) -> tuple[ServiceNeed, ...]:
        """Return what a run of a route takes."""
        known = self._routes.get(route)
        if known is None:
            return ()
        return tuple(
            ServiceNeed(service, round(need.runs, 2))
            for service, need in known.items()
        )

    def below(self, calls: dict[str, float]) -> dict[ServiceName, ServiceNeed]:
        """Return what these calls, counted by route, take together."""
        found: dict[ServiceName, ServiceNeed] = {}
        for route, count in calls.items():
            for need in self.of(route):
                earlier = found.get(need.service)
                runs = count * need.runs
                if earlier is not None:
                    runs += earlier.runs
                found[need.service] = ServiceNeed(need.service, round(runs, 2))
        return found


def with_own(
    own: ServiceNeed, below: dict[ServiceName, ServiceNeed]
) -> tuple[ServiceNeed, ...]:
    """Return the needs of a route: the service that runs it and those below."""
    deeper = below.pop(own.service, None)
    if deeper is not None:
        own = ServiceNeed(own.service, round(own.runs + deeper.runs, 2))
    return (own, *tuple(below.values())[: MOST_NEEDS - 1])
