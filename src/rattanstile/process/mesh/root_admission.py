"""Refusal of root requests whose trees an overloaded service can't finish.

The load pattern it answers: the deepest service of the call trees is asked
for more than it serves, by a surge or because its targets are cold. Work
refused there wastes all the work above it, so the excess is refused where
the trees begin, before any of it has run.

The part that is let in is the capacity of the service over what all root
requests of the fleet would take of it. Neither is measured behind the
decision, so the part follows a change at once and doesn't swing. What waits
at the service is drained by letting in less, and what comes against what was
expected corrects the demand slowly. The part is given to the most
urgent requests first, and among equals to those that take least of the
service; each kind keeps a small part, so that none starves.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from rattanstile.process.mesh.service_needs import RunKind
from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import ServiceName

STEP_S = 0.1
"""How often the parts are worked out anew."""
RATE_GAIN = 0.2
"""Weight of a step in the rate of each kind; a time constant of 0.5 s."""
ALLOWED_WAIT_S = 0.03
"""About two runs of a short call: enough that slots are never idle."""
DRAIN_S = 0.4
"""Time within which calls that wait longer are to be served."""
EXPECTED_GAIN = 0.25
"""A time constant of 0.4 s: the way from a root to the deepest service."""
TRIM_GAIN = 0.07
TRIM_FALL = 0.05
"""Time constants of about 1.5 s and 2 s."""
MOST_RATIO = 2.0
MOST_TRIM = 3.0
FEWEST_EXPECTED_PER_S = 5.0
LEAST_USE = 0.25
LEAST_LET_IN = 0.03
KEPT_SHARE = 0.15
"""Part of each kind of request that is let in before any other."""
FORGOTTEN_PER_S = 0.05
TIGHT_SHARE = 0.7
"""From this part of its capacity on, a service's demand is watched closely."""
MEETING_S = 1.0
"""A node that starts meets the others within this time; a service of which it
has met none after it answers nobody."""
SHORTEST_RETRY_S = 0.3
RETRY_SHARE = 0.2
"""Part of the time left within which a caller can come back and be served."""


@dataclass(frozen=True, order=True, slots=True)
class Kind:
    """Root requests that are let in alike.

    Attributes:
        priority: 0 is the most urgent.
    """

    priority: int
    run: RunKind


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


ANSWERS_NOBODY = ServiceView(offered_per_s=0, capacity_per_s=0, wait_s=0)


@dataclass(slots=True)
class _Asked:
    """Requests of one kind that need a service, at this node."""

    runs: float
    since_step: int = 0
    per_s: float = 0.0
    weight: float = 0.0

    def step(self) -> None:
        """Take the requests since the last step into the rate."""
        self.weight += RATE_GAIN * (1 - self.weight)
        seen_per_s = self.since_step / STEP_S
        self.since_step = 0
        self.per_s += RATE_GAIN * (seen_per_s - self.per_s)

    @property
    def rate_per_s(self) -> float:
        """Return the rate; right from the first step on."""
        return self.per_s / self.weight if self.weight else 0.0


@dataclass(slots=True)
class _Service:
    kinds: dict[Kind, _Asked] = field(default_factory=dict)
    let_in: float = 1.0
    is_near_capacity: bool = False
    unseen_s: float = 0.0
    view: ServiceView | None = None
    demand_per_s: float = 0.0
    trim: float = 1.0
    expected_per_s: float | None = None
    parts: dict[Kind, float] = field(default_factory=dict)

    @property
    def answers_nobody(self) -> bool:
        """Tell whether no target of the service is fit."""
        return self.view is not None and self.view.capacity_per_s == 0

    def own_per_s(self) -> float:
        """Return the calls a second that this node's requests would take."""
        return sum(one.rate_per_s * one.runs for one in self.kinds.values())


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
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


@dataclass(frozen=True, slots=True)
class TightService:
    """Why a part of the work for a service is refused; one log line.

    Attributes:
        demand_per_s: Calls that all nodes' requests would make.
        own_per_s: Calls that this node's would.
        trim: Factor found between what was expected and what came.
        runs: Runs of the service for each request, by route.
    """

    service: ServiceName
    let_in: float
    demand_per_s: float
    own_per_s: float
    trim: float
    view: ServiceView
    runs: Mapping[str, float]

    def fields(self) -> dict[str, object]:
        """Return what the log line says."""
        runs = ','.join(f'{name}:{runs}' for name, runs in self.runs.items())
        return {
            'service': self.service,
            'let_in': self.let_in,
            'demand_per_s': self.demand_per_s,
            'own_per_s': self.own_per_s,
            'offered_per_s': round(self.view.offered_per_s, 1),
            'capacity_per_s': round(self.view.capacity_per_s, 1),
            'wait_ms': round(self.view.wait_s * 1000, 1),
            'trim': self.trim,
            'runs': runs,
        }


ADMITTED = AdmissionDecision(is_admitted=True, service=ServiceName(''), part=1, let_in=1)


class RootAdmission:
    """What one node lets in, by service.

    Args:
        chance: Draws which requests are refused.
    """

    def __init__(self, rng: Random) -> None:
        """Begin with everything let in."""
        self._services: dict[ServiceName, _Service] = {}
        self._fleet_per_s: Mapping[ServiceName, float] = {}
        self._nodes = 1
        self._rng = rng

    @property
    def is_near_capacity(self) -> bool:
        """Tell whether a service is nearly asked for what it serves."""
        return any(service.is_near_capacity for service in self._services.values())

    def decide(
        self,
        run: RunKind,
        priority: int,
        needs: tuple[ServiceUsage, ...],
        left_s: float,
    ) -> AdmissionDecision:
        """Decide on one root request.

        Args:
            run: What its run is counted as.
            priority: 0 is the most urgent.
            needs: What its tree takes.
            left_s: Time that its caller still waits.
        """
        kind = Kind(priority, run)
        least = 1.0
        tight: ServiceName | None = None
        for need in needs:
            service = self._services.setdefault(need.service, _Service())
            asked = service.kinds.setdefault(kind, _Asked(need.runs))
            asked.runs = need.runs
            asked.since_step += 1
            if need.service == run.service and service.answers_nobody:
                # The request itself waits a moment for a target to be fit.
                continue
            part = service.parts.get(kind, service.let_in)
            if part < least:
                least = part
                tight = need.service
        if tight is None or self._rng.random() < least:
            return ADMITTED
        return AdmissionDecision(
            is_admitted=False,
            service=tight,
            part=round(least, 3),
            let_in=round(self._services[tight].let_in, 3),
            retry_after_s=self._retry_after_s(left_s),
        )

    def own_demand(self) -> dict[ServiceName, float]:
        """Return the calls a second that this node's requests would take."""
        return {
            name: round(service.own_per_s(), 1)
            for name, service in self._services.items()
        }

    def fleet_demand(
        self, demand_per_s: Mapping[ServiceName, float], nodes: int
    ) -> None:
        """Take the calls a second that all nodes' requests would take.

        Args:
            demand_per_s: By service; one that is missing is estimated.
            nodes: How many nodes there are.
        """
        self._fleet_per_s = demand_per_s
        self._nodes = nodes

    def step(self, views: Mapping[ServiceName, ServiceView]) -> None:
        """Work the parts out anew; called each `STEP_S`."""
        for name, service in self._services.items():
            for kind, asked in tuple(service.kinds.items()):
                asked.step()
                if asked.rate_per_s < FORGOTTEN_PER_S:
                    service.kinds.pop(kind)
            own_per_s = service.own_per_s()
            fleet_per_s = self._fleet_per_s.get(name, own_per_s * self._nodes)
            fleet_per_s = max(fleet_per_s, own_per_s)
            view = views.get(name)
            service.unseen_s = 0 if view else service.unseen_s + STEP_S
            if service.unseen_s > MEETING_S:
                view = ANSWERS_NOBODY
            if view is not None:
                _follow(service, view, fleet_per_s)
            service.parts = _parts(service)

    def services_near_capacity(self) -> list[TightService]:
        """Return the services that are nearly asked for what they serve."""
        return [
            TightService(
                name,
                round(service.let_in, 3),
                round(service.demand_per_s, 1),
                round(service.own_per_s(), 1),
                round(service.trim, 2),
                service.view,
                {
                    kind.run.route: asked.runs
                    for kind, asked in service.kinds.items()
                },
            )
            for name, service in self._services.items()
            if service.is_near_capacity and service.view is not None
        ]

    def _retry_after_s(self, left_s: float) -> float:
        longest_s = max(2 * SHORTEST_RETRY_S, left_s * RETRY_SHARE)
        return self._rng.uniform(SHORTEST_RETRY_S, longest_s)


def _follow(service: _Service, view: ServiceView, demand_per_s: float) -> None:
    service.trim = _trimmed(service, view)
    demand_per_s *= service.trim
    service.view = view
    service.demand_per_s = demand_per_s
    excess_s = max(0.0, view.wait_s - ALLOWED_WAIT_S)
    use = max(LEAST_USE, 1 - excess_s / DRAIN_S)
    service.is_near_capacity = demand_per_s > TIGHT_SHARE * view.capacity_per_s
    served_per_s = use * view.capacity_per_s
    service.let_in = 1.0
    if demand_per_s > served_per_s:
        service.let_in = max(LEAST_LET_IN, served_per_s / demand_per_s)
    expected_per_s = service.let_in * demand_per_s
    earlier_per_s = service.expected_per_s
    if earlier_per_s is None:
        earlier_per_s = expected_per_s
    service.expected_per_s = earlier_per_s + EXPECTED_GAIN * (
        expected_per_s - earlier_per_s
    )


def _trimmed(service: _Service, view: ServiceView) -> float:
    """Return the factor by which the demand is worked out wrong.

    What a request takes is learnt, and may be wrong for some seconds.
    """
    expected_per_s = service.expected_per_s or 0
    if service.let_in >= 1 or expected_per_s < FEWEST_EXPECTED_PER_S:
        return service.trim + TRIM_FALL * (1 - service.trim)
    ratio = view.offered_per_s / expected_per_s
    ratio = min(MOST_RATIO, max(1 / MOST_RATIO, ratio))
    trim = service.trim * ratio**TRIM_GAIN
    return float(min(MOST_TRIM, max(1 / MOST_TRIM, trim)))


def _parts(service: _Service) -> dict[Kind, float]:
    """Return the part of each kind that is let in."""
    let_in = service.let_in
    if let_in >= 1:
        return {}
    work = {
        kind: asked.rate_per_s * asked.runs
        for kind, asked in service.kinds.items()
    }
    kept = min(KEPT_SHARE, let_in)
    left = (let_in - kept) * sum(work.values())
    parts: dict[Kind, float] = {}
    order = sorted(
        work,
        key=lambda kind: (kind.priority, service.kinds[kind].runs, kind.run),
    )
    for kind in order:
        wanted = (1 - kept) * work[kind]
        given = min(left, wanted)
        left -= given
        parts[kind] = 1.0
        if work[kind]:
            parts[kind] = kept + given / work[kind]
    return parts
