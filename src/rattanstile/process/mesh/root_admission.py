"""Refusal of root requests whose trees an overloaded service can't finish.

The load pattern it answers: the deepest service of the call trees is asked
for more than it serves, by a surge or because its targets are cold. Work
refused there wastes all the work above it, so the excess is refused where
the trees begin, before any of it has run.

For each service the demand is estimated as what is offered to it now over
the part that was let in a moment ago, when that work began. The part let in
follows at once when the capacity changes. It is given to the most urgent
requests first, and among equals to those that take least of the service;
each kind keeps a small part, so that none starves.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from rattanstile.request.exchange import ServiceNeed
from rattanstile.request.ids import ServiceName

STEP_S = 0.1
"""How often the parts are worked out anew."""
LAG_STEPS = 4
"""Steps from letting a root request in to its calls at the deepest service."""
DEMAND_GAIN = 0.25
"""Weight of a new estimate of the demand; a time constant of 0.4 s."""
FULL_USE = 1.0
"""Part of the capacity that is used while calls wait a short time."""
DRAINING_USE = 0.85
"""Part of the capacity that is used while they wait too long."""
LONGEST_WAIT_S = 0.12
LEAST_LET_IN = 0.04
RATE_GAIN = 0.1
"""Weight of a step in the rate of each kind; a time constant of 1 s."""
KEPT_SHARE = 0.15
"""Part of each kind of request that is let in before any other."""
FORGOTTEN_PER_S = 0.05
SHORTEST_RETRY_S = 0.3
RETRY_SHARE = 0.2
"""Part of the time left within which a caller can come back and be served."""

Kind = tuple[int, str]
"""Priority, 0 for the most urgent, and the name of the route."""


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service, as its nodes told of their targets.

    Attributes:
        offered_per_s: Calls that arrive, those refused included.
        capacity_per_s: Calls that its targets serve.
        wait_s: How long calls wait there, in the mean.
    """

    offered_per_s: float
    capacity_per_s: float
    wait_s: float


@dataclass(slots=True)
class _Asked:
    """Requests of one kind that need a service, at this node."""

    runs: float
    since_step: int = 0
    per_s: float = 0.0


@dataclass(slots=True)
class _Service:
    kinds: dict[Kind, _Asked] = field(default_factory=dict)
    let_in: deque[float] = field(
        default_factory=lambda: deque([1.0], maxlen=LAG_STEPS)
    )
    demand_per_s: float = 0.0
    parts: dict[Kind, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a root request goes on, and what decided it.

    Attributes:
        service: The overloaded service; empty when none is.
        part: Part of the requests of this kind that are let in.
        let_in: Part of all work for that service that is.
    """

    is_admitted: bool
    service: ServiceName
    part: float
    let_in: float
    retry_after_s: float = 0


ADMITTED = Verdict(
    is_admitted=True, service=ServiceName(''), part=1, let_in=1
)


class RootAdmission:
    """What one node lets in, by service.

    Args:
        chance: Draws which requests are refused.
    """

    def __init__(self, chance: Random) -> None:
        """Begin with everything let in."""
        self._services: dict[ServiceName, _Service] = {}
        self._chance = chance

    def decide(
        self,
        route: str,
        priority: int,
        needs: tuple[ServiceNeed, ...],
        left_s: float,
    ) -> Verdict:
        """Decide on one root request.

        Args:
            route: Name of its route.
            priority: 0 is the most urgent.
            needs: What its tree takes.
            left_s: Time that its caller still waits.
        """
        kind = (priority, route)
        least = 1.0
        tight: ServiceName | None = None
        for need in needs:
            service = self._services.setdefault(need.service, _Service())
            asked = service.kinds.setdefault(kind, _Asked(need.runs))
            asked.runs = need.runs
            asked.since_step += 1
            part = service.parts.get(kind, service.let_in[-1])
            if part < least:
                least = part
                tight = need.service
        if tight is None or self._chance.random() < least:
            return ADMITTED
        return Verdict(
            is_admitted=False,
            service=tight,
            part=round(least, 3),
            let_in=round(self._services[tight].let_in[-1], 3),
            retry_after_s=self._retry_after_s(left_s),
        )

    def step(self, views: Mapping[ServiceName, ServiceView]) -> None:
        """Work the parts out anew; called each `STEP_S`."""
        for name, service in self._services.items():
            view = views.get(name)
            if view is not None:
                _follow(service, view)
            _measure(service)
            service.parts = _parts(service)

    def let_in(self) -> dict[ServiceName, float]:
        """Return the part of the work for each service that is let in."""
        return {
            name: service.let_in[-1]
            for name, service in self._services.items()
        }

    def _retry_after_s(self, left_s: float) -> float:
        longest_s = max(2 * SHORTEST_RETRY_S, left_s * RETRY_SHARE)
        return self._chance.uniform(SHORTEST_RETRY_S, longest_s)


def _follow(service: _Service, view: ServiceView) -> None:
    """Estimate the demand, and let in what the capacity serves of it."""
    demand_per_s = view.offered_per_s / service.let_in[0]
    service.demand_per_s += DEMAND_GAIN * (demand_per_s - service.demand_per_s)
    use = DRAINING_USE if view.wait_s > LONGEST_WAIT_S else FULL_USE
    served_per_s = use * view.capacity_per_s
    let_in = 1.0
    if service.demand_per_s > served_per_s:
        let_in = max(LEAST_LET_IN, served_per_s / service.demand_per_s)
    service.let_in.append(let_in)


def _measure(service: _Service) -> None:
    for kind, asked in tuple(service.kinds.items()):
        seen_per_s = asked.since_step / STEP_S
        asked.since_step = 0
        asked.per_s += RATE_GAIN * (seen_per_s - asked.per_s)
        if asked.per_s < FORGOTTEN_PER_S:
            service.kinds.pop(kind)


def _parts(service: _Service) -> dict[Kind, float]:
    """Return the part of each kind that is let in."""
    let_in = service.let_in[-1]
    if let_in >= 1:
        return {}
    work = {
        kind: asked.per_s * asked.runs for kind, asked in service.kinds.items()
    }
    kept = min(KEPT_SHARE, let_in)
    left = (let_in - kept) * sum(work.values())
    parts: dict[Kind, float] = {}
    order = sorted(
        work, key=lambda kind: (kind[0], service.kinds[kind].runs, kind[1])
    )
    for kind in order:
        wanted = (1 - kept) * work[kind]
        given = min(left, wanted)
        left -= given
        parts[kind] = kept + (given / work[kind] if work[kind] else 1 - kept)
    return parts
