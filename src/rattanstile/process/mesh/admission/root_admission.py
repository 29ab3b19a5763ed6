"""Early rejection of root requests that an overloaded service can't finish.

The load pattern: the deepest service of the call graph receives more calls
than it can serve, because of a surge or because its targets are cold. A call
rejected there wastes all the work done above it, so the excess is rejected at
the root, before any part of the request has run.

The admitted share is the capacity of the service divided by the demand of all
root requests of the fleet for it. Neither is measured downstream of the
admission decision, so the share follows a change at once and doesn't
oscillate. A queue at the service is drained by admitting less, and the ratio
of observed to expected calls slowly corrects the demand. The capacity goes to
the most urgent requests first, and at equal priority to those that use the
service least; each request class keeps a small share, so that none starves.

Requests beyond the rate of their organisation get what the others leave, and
don't count as demand: those that were refused here can be repeated without
using up the rate. Callers that return at a time set aside are admitted first.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from random import Random

from rattanstile.process.mesh.admission.retry_after import return_when_warm_s
from rattanstile.process.mesh.admission.return_slots import ReturnKey
from rattanstile.process.mesh.admission.return_times import (
    ReturnTimes,
    Shortage,
)
from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import OrganisationId, ServiceName

STEP_S = 0.1
"""Period at which the admitted shares are recomputed."""
RATE_GAIN = 0.2
"""Weight of a step in the smoothed rate of each request class; a time
constant of 0.5 s."""
ALLOWED_WAIT_S = 0.03
"""About two runs of a short call: enough that slots are never idle."""
DRAIN_S = 0.4
"""Time within which a queue beyond the allowed wait is to be drained."""
EXPECTED_GAIN = 0.25
"""A time constant of 0.4 s: the delay from a root to the deepest service."""
TRIM_GAIN = 0.07
TRIM_DECAY = 0.05
"""Time constants of about 1.5 s and 2 s."""
MAX_OFFERED_RATIO = 2.0
MAX_TRIM = 3.0
MIN_EXPECTED_PER_S = 5.0
MIN_USABLE_SHARE = 0.25
MIN_ADMITTED_SHARE = 0.03
RESERVED_SHARE = 0.15
"""Share of each request class that is admitted before the rest is divided by
priority."""
SIMILAR_RUNS_RATIO = 1.2
"""Classes of equal priority whose runs differ by less are served alike; the
runs are learned, and differ a little between any two routes."""
MIN_CLASS_RATE_PER_S = 0.05
"""Request classes with a lower rate are dropped."""
NEAR_CAPACITY_SHARE = 0.7
"""Share of its capacity from which on a service is near capacity: its demand
is reported more often, and logged."""
KEPT_IDLE_S = 60.0
"""A service that no request has used for longer may have been removed."""
DISCOVERY_S = 1.0
"""A node that starts connects to the others within this time; a service of
which it has found no node by then is unavailable."""


@dataclass(frozen=True, order=True, slots=True)
class RequestClass:
    """Root requests that share one admission probability.

    Attributes:
        priority: 0 is the most urgent.
        is_beyond_rate: Whether they exceed the rate of their organisation.
    """

    priority: int
    run_kind: RunKind
    is_beyond_rate: bool = False


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """Who sends a root request.

    Attributes:
        organisation: Empty for none.
        is_beyond_rate: Whether only tokens of refused requests cover it.
        latency_objective_s: Latency objective; 0 if it isn't known.
    """

    organisation: OrganisationId
    is_beyond_rate: bool = False
    latency_objective_s: float = 0.0


UNNAMED = RequestOrigin(OrganisationId(''))


@dataclass(frozen=True, slots=True)
class ServiceView:
    """Load of a service, from the reports of its nodes about their targets.

    Attributes:
        offered_per_s: Calls that arrive, including those rejected.
        capacity_per_s: Calls that its targets can serve.
        wait_s: Mean queueing time of calls at the service.
        warm_at_s: Monotonic time at which its cold targets are warm, on
            average; 0 if none is cold.
    """

    offered_per_s: float
    capacity_per_s: float
    wait_s: float
    warm_at_s: float = 0


UNAVAILABLE = ServiceView(offered_per_s=0, capacity_per_s=0, wait_s=0)


@dataclass(slots=True)
class _ClassDemand:
    """Demand of one request class for a service, at this node.

    Attributes:
        runs: Runs of the service for each request.
        arrivals: Requests since the last step.
        claims: Those of them that returned at a time set aside.
        smoothed_per_s: Moving average of the request rate, starting at 0.
        claimed_per_s: Moving average of the rate of claims.
        weight: Total weight of the steps in the moving average.
    """

    runs: float
    arrivals: int = 0
    claims: int = 0
    smoothed_per_s: float = 0.0
    claimed_per_s: float = 0.0
    weight: float = 0.0

    def step(self) -> None:
        """Add the requests since the last step to the smoothed rate."""
        self.weight += RATE_GAIN * (1 - self.weight)
        arrived_per_s = self.arrivals / STEP_S
        self.arrivals = 0
        self.smoothed_per_s += RATE_GAIN * (arrived_per_s - self.smoothed_per_s)
        claimed_per_s = self.claims / STEP_S
        self.claims = 0
        self.claimed_per_s += RATE_GAIN * (claimed_per_s - self.claimed_per_s)

    @property
    def rate_per_s(self) -> float:
        """Return the request rate, without bias from the first step on."""
        return self.smoothed_per_s / self.weight if self.weight else 0.0

    def share_of_new(self, share: float) -> float:
        """Return the admitted share of the requests that are not claims.

        Args:
            share: Admitted share of all requests of the class.
        """
        rate_per_s = self.rate_per_s
        new_per_s = rate_per_s - self.claimed_per_s
        if self.claimed_per_s < MIN_CLASS_RATE_PER_S or new_per_s <= 0:
            return share
        admitted_per_s = share * rate_per_s - self.claimed_per_s
        return min(1.0, max(0.0, admitted_per_s / new_per_s))


@dataclass(slots=True)
class _Service:
    """Admission state of one service.

    Attributes:
        admitted_share: Share of all work for the service that is admitted.
        unseen_s: Time without a report from any of its nodes.
        idle_s: Time without requests that use it.
        trim: Correction factor of the demand.
        usable_per_s: Capacity, without what drains its queue.
        expected_per_s: Smoothed calls that admitted requests should make.
        class_shares: Admitted share of each request class; empty while
            everything is admitted.
        new_shares: The same of the requests that are not claims.
    """

    classes: dict[RequestClass, _ClassDemand] = field(default_factory=dict)
    admitted_share: float = 1.0
    is_near_capacity: bool = False
    unseen_s: float = 0.0
    idle_s: float = 0.0
    view: ServiceView | None = None
    demand_per_s: float = 0.0
    trim: float = 1.0
    usable_per_s: float = 0.0
    expected_per_s: float | None = None
    class_shares: dict[RequestClass, float] = field(default_factory=dict)
    new_shares: dict[RequestClass, float] = field(default_factory=dict)

    @property
    def is_unavailable(self) -> bool:
        """Return whether the service has no usable target."""
        return self.view is not None and self.view.capacity_per_s == 0

    def share_of_new(self, request_class: RequestClass) -> float:
        """Return the admitted share of requests that are not claims."""
        share = self.new_shares.get(request_class)
        if share is not None:
            return share
        if request_class.is_beyond_rate and self.admitted_share < 1:
            return 0.0
        return self.admitted_share

    def shortage(
        self, request_class: RequestClass, now_s: float
    ) -> Shortage | None:
        """Return the shortage for a class; None if no times are set aside.

        That is so for requests beyond their rate, and without any target.
        """
        demand = self.classes.get(request_class)
        share = self.class_shares.get(request_class)
        view = self.view
        if view is None or demand is None or share is None:
            return None
        if request_class.is_beyond_rate or self.is_unavailable:
            return None
        return Shortage(
            share,
            max(0.0, view.warm_at_s - now_s),
            demand.rate_per_s,
        )

    def own_per_s(self) -> float:
        """Return the calls per second that this node's requests would make."""
        return self._calls_per_s(is_beyond_rate=False)

    def beyond_rate_per_s(self) -> float:
        """Return the same for requests beyond their organisation's rate."""
        return self._calls_per_s(is_beyond_rate=True)

    def _calls_per_s(self, *, is_beyond_rate: bool) -> float:
        return sum(
            demand.rate_per_s * demand.runs
            for request_class, demand in self.classes.items()
            if request_class.is_beyond_rate is is_beyond_rate
        )


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a root request is admitted, and the cause of a rejection.

    Attributes:
        service: The overloaded service; empty for an admitted request.
        part: Share of the requests of this class that are admitted.
        let_in: Share of all work for that service that is admitted.
    """

    is_admitted: bool
    service: ServiceName
    part: float
    let_in: float
    retry_after_s: float = 0


@dataclass(frozen=True, slots=True)
class ServiceStatus:
    """Admission status of a service near its capacity; one log line.

    Attributes:
        let_in: Share of all work for the service that is admitted.
        demand_per_s: Calls that the requests of all nodes would make.
        own_per_s: Calls that the requests of this node would make.
        trim: Correction factor, learned from the ratio of offered to expected
            calls.
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
        """Return the fields of the log line."""
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


ADMITTED = AdmissionDecision(
    is_admitted=True, service=ServiceName(''), part=1, let_in=1
)


class RootAdmission:
    """Admission of root requests at one node, by service.

    Attributes:
        returns: When refused callers are to return.

    Args:
        rng: Random source that selects the rejected requests.
    """

    def __init__(self, rng: Random) -> None:
        """Start with everything admitted."""
        self._services: dict[ServiceName, _Service] = {}
        self._fleet_per_s: Mapping[ServiceName, float] = {}
        self._nodes = 1
        self._rng = rng
        self.returns = ReturnTimes(rng)

    @property
    def is_near_capacity(self) -> bool:
        """Return whether the demand for any service is near its capacity."""
        return any(
            service.is_near_capacity for service in self._services.values()
        )

    def decide(
        self,
        run_kind: RunKind,
        priority: int,
        usages: tuple[ServiceUsage, ...],
        now_s: float,
        deadline_s: float,
        origin: RequestOrigin = UNNAMED,
    ) -> AdmissionDecision:
        """Admit or reject one root request.

        Args:
            run_kind: Route and service that its run is counted under.
            priority: 0 is the most urgent.
            usages: Runs of each service that its call graph makes.
            now_s: Monotonic seconds.
            deadline_s: Monotonic time of its deadline.
            origin: Who sends it.
        """
        request_class = RequestClass(priority, run_kind)
        if origin.is_beyond_rate and not self._is_served_whole(
            request_class, usages
        ):
            request_class = replace(request_class, is_beyond_rate=True)
        lowest_share = 1.0
        bottleneck: ServiceName | None = None
        for usage in usages:
            service = self._services.setdefault(usage.service, _Service())
            demand = service.classes.setdefault(
                request_class, _ClassDemand(usage.runs)
            )
            demand.runs = usage.runs
            demand.arrivals += 1
            if usage.service == run_kind.service and service.is_unavailable:
                # The request itself is queued until a target is usable.
                continue
            share = service.share_of_new(request_class)
            if share < lowest_share:
                lowest_share = share
                bottleneck = usage.service
        if bottleneck is None:
            return ADMITTED
        return_key = ReturnKey(origin.organisation, run_kind)
        if self.returns.slots.claim(now_s, return_key):
            self._count_claim(request_class, usages)
            return ADMITTED
        if self._rng.random() < lowest_share:
            return ADMITTED
        return AdmissionDecision(
            is_admitted=False,
            service=bottleneck,
            part=round(lowest_share, 3),
            let_in=round(self._services[bottleneck].admitted_share, 3),
            retry_after_s=self.return_s(
                bottleneck, request_class, origin, now_s, deadline_s
            ),
        )

    def return_s(
        self,
        service: ServiceName,
        request_class: RequestClass,
        origin: RequestOrigin,
        now_s: float,
        deadline_s: float,
    ) -> float:
        """Return when a refused caller is to return, and set the time aside.

        Args:
            service: The service that has no room for its request.
            request_class: Class of its request.
            origin: Who sends it.
            now_s: Monotonic seconds.
            deadline_s: Monotonic time of its deadline.
        """
        found = self._services.get(service)
        shortage = found.shortage(request_class, now_s) if found else None
        if shortage is None:
            return self.retry_after_s(service, now_s, deadline_s)
        return self.returns.return_s(
            now_s,
            ReturnKey(origin.organisation, request_class.run_kind),
            deadline_s - now_s,
            origin.latency_objective_s,
            shortage,
        )

    def _is_served_whole(
        self, request_class: RequestClass, usages: tuple[ServiceUsage, ...]
    ) -> bool:
        """Return whether all requests of a class within their rate are served.

        Then a token that was given back is as good as a new one: nobody gains
        by repeating refused requests of other classes.
        """
        services = [self._services.get(usage.service) for usage in usages]
        return all(
            service.class_shares.get(request_class, service.admitted_share) >= 1
            for service in services
            if service is not None
        )

    def _count_claim(
        self, request_class: RequestClass, usages: tuple[ServiceUsage, ...]
    ) -> None:
        for usage in usages:
            classes = self._services[usage.service].classes
            classes[request_class].claims += 1

    def retry_after_s(
        self, service: ServiceName, now_s: float, deadline_s: float
    ) -> float:
        """Return when a rejected caller is to return.

        Args:
            service: The service that has no room for its request.
            now_s: Monotonic seconds.
            deadline_s: Monotonic time of its deadline.
        """
        found = self._services.get(service)
        warm_in_s = 0.0
        if found is not None and found.view is not None:
            warm_in_s = max(0.0, found.view.warm_at_s - now_s)
        return return_when_warm_s(self._rng, deadline_s - now_s, warm_in_s)

    def own_demand(self) -> dict[ServiceName, float]:
        """Return the calls per second that this node's requests would make."""
        return {
            name: round(service.own_per_s(), 1)
            for name, service in self._services.items()
        }

    def set_fleet_demand(
        self, demand_per_s: Mapping[ServiceName, float], nodes: int
    ) -> None:
        """Set the calls per second that the requests of all nodes would make.

        Args:
            demand_per_s: By service; a missing service is estimated from the
                demand of this node.
            nodes: Number of nodes in the fleet.
        """
        self._fleet_per_s = demand_per_s
        self._nodes = nodes

    def step(self, views: Mapping[ServiceName, ServiceView | None]) -> None:
        """Recompute the admitted shares; called every `STEP_S`.

        Args:
            views: Load of each service that has nodes; None for one whose
                load is not known yet.
        """
        for name, service in self._services.items():
            for request_class, demand in tuple(service.classes.items()):
                demand.step()
                if demand.rate_per_s < MIN_CLASS_RATE_PER_S:
                    service.classes.pop(request_class)
            own_per_s = service.own_per_s()
            fleet_per_s = self._fleet_per_s.get(name, own_per_s * self._nodes)
            fleet_per_s = max(fleet_per_s, own_per_s)
            view = views.get(name)
            service.unseen_s += STEP_S
            if name in views:
                service.unseen_s = 0
            if service.unseen_s > DISCOVERY_S:
                view = UNAVAILABLE
            if view is not None:
                _update_admitted_share(service, view, fleet_per_s)
            service.class_shares = _class_shares(service, self._nodes)
            service.new_shares = {
                request_class: service.classes[request_class].share_of_new(
                    share
                )
                for request_class, share in service.class_shares.items()
            }
        self._forget_idle()

    def _forget_idle(self) -> None:
        """Forget the services that no request has used for some time."""
        for name, service in tuple(self._services.items()):
            service.idle_s = 0 if service.classes else service.idle_s + STEP_S
            if service.idle_s > KEPT_IDLE_S:
                self._services.pop(name)

    def services_near_capacity(self) -> list[ServiceStatus]:
        """Return the services whose demand is near their capacity."""
        return [
            ServiceStatus(
                name,
                round(service.admitted_share, 3),
                round(service.demand_per_s, 1),
                round(service.own_per_s(), 1),
                round(service.trim, 2),
                service.view,
                {
                    request_class.run_kind.route: demand.runs
                    for request_class, demand in service.classes.items()
                },
            )
            for name, service in self._services.items()
            if service.is_near_capacity and service.view is not None
        ]


def _update_admitted_share(
    service: _Service, view: ServiceView, demand_per_s: float
) -> None:
    service.trim = _updated_trim(service, view)
    demand_per_s *= service.trim
    service.view = view
    service.demand_per_s = demand_per_s
    excess_s = max(0.0, view.wait_s - ALLOWED_WAIT_S)
    usable_share = max(MIN_USABLE_SHARE, 1 - excess_s / DRAIN_S)
    service.is_near_capacity = (
        demand_per_s > NEAR_CAPACITY_SHARE * view.capacity_per_s
    )
    usable_per_s = usable_share * view.capacity_per_s
    service.usable_per_s = usable_per_s
    service.admitted_share = 1.0
    if demand_per_s > usable_per_s:
        service.admitted_share = max(
            MIN_ADMITTED_SHARE, usable_per_s / demand_per_s
        )
    expected_per_s = service.admitted_share * demand_per_s
    previous_per_s = service.expected_per_s
    if previous_per_s is None:
        previous_per_s = expected_per_s
    service.expected_per_s = previous_per_s + EXPECTED_GAIN * (
        expected_per_s - previous_per_s
    )


def _updated_trim(service: _Service, view: ServiceView) -> float:
    """Return the factor that corrects errors of the computed demand.

    The usage of a request is learned, and may be wrong for some seconds.
    """
    expected_per_s = service.expected_per_s or 0
    if service.admitted_share >= 1 or expected_per_s < MIN_EXPECTED_PER_S:
        return service.trim + TRIM_DECAY * (1 - service.trim)
    ratio = view.offered_per_s / expected_per_s
    ratio = min(MAX_OFFERED_RATIO, max(1 / MAX_OFFERED_RATIO, ratio))
    trim = service.trim * ratio**TRIM_GAIN
    return float(min(MAX_TRIM, max(1 / MAX_TRIM, trim)))


def _class_shares(service: _Service, nodes: int) -> dict[RequestClass, float]:
    """Return the admitted share of each request class."""
    shares = _shares_within_rate(service)
    share = _share_beyond_rate(service, nodes)
    for request_class in service.classes:
        if request_class.is_beyond_rate:
            shares[request_class] = share
    return shares


def _share_beyond_rate(service: _Service, nodes: int) -> float:
    """Return the admitted share of requests beyond their rate.

    Other nodes are taken to have as many of them for each other request.
    """
    beyond_per_s = service.beyond_rate_per_s()
    if not beyond_per_s or service.view is None:
        return 1.0
    if service.admitted_share < 1:
        # A floor would admit all of them: each is repeated until it is drawn.
        return 0.0
    spare_per_s = service.usable_per_s - service.demand_per_s
    scale = float(nodes)
    own_per_s = service.own_per_s()
    if own_per_s:
        scale = min(scale, max(1.0, service.demand_per_s / own_per_s))
    share = spare_per_s / (beyond_per_s * scale)
    return min(1.0, max(0.0, share))


def _shares_within_rate(service: _Service) -> dict[RequestClass, float]:
    """Return the admitted share of each class of requests within the rate."""
    admitted_share = service.admitted_share
    if admitted_share >= 1:
        return {}
    calls_per_s = {
        request_class: demand.rate_per_s * demand.runs
        for request_class, demand in service.classes.items()
        if not request_class.is_beyond_rate
    }
    reserved = min(RESERVED_SHARE, admitted_share)
    remaining_per_s = (admitted_share - reserved) * sum(calls_per_s.values())
    shares: dict[RequestClass, float] = {}
    for group in _groups_in_order(service, calls_per_s):
        group_per_s = sum(calls_per_s[each] for each in group)
        granted_per_s = min(remaining_per_s, (1 - reserved) * group_per_s)
        remaining_per_s -= granted_per_s
        share = 1.0
        if group_per_s:
            share = reserved + granted_per_s / group_per_s
        for request_class in group:
            shares[request_class] = share
    return shares


def _groups_in_order(
    service: _Service, request_classes: Iterable[RequestClass]
) -> list[list[RequestClass]]:
    """Return the classes that are served alike, the first ones first."""
    order = sorted(
        request_classes,
        key=lambda request_class: (
            request_class.priority,
            service.classes[request_class].runs,
            request_class.run_kind,
        ),
    )
    groups: list[list[RequestClass]] = []
    for request_class in order:
        first = groups[-1][0] if groups else None
        if first is not None and first.priority == request_class.priority:
            most_runs = service.classes[first].runs * SIMILAR_RUNS_RATIO
            if service.classes[request_class].runs < most_runs:
                groups[-1].append(request_class)
                continue
        groups.append([request_class])
    return groups
