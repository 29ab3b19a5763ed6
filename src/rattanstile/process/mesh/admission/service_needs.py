"""Usage of services by a run of each route, down to the deepest service.

Serving nodes report the usage on the answers to calls; each adds the usage
reported to it for its own target's calls. So the node where a request enters
learns the usage of the deepest service within a few answers. Until the first
answer, a run is assumed to take one run of the service that the route goes
to: that service is known to be used even if it answers no call.

Calls that lead back to the service that reports are left out. Call graphs
rarely have cycles, while a few calls attributed to the wrong route make an
apparent one, whose usage would grow with each report.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import ServiceName

USAGE_GAIN = 0.3
FRESH_S = 30.0
"""An estimate that is older than this is replaced, not averaged with."""
MAX_SERVICES = 12
KEPT_S = 600.0
"""Kinds of which nothing was reported for longer may have been removed."""
MAX_KINDS = 2000


@dataclass(frozen=True, order=True, slots=True)
class RunKind:
    """Runs of one route on one service; a route may be split among several."""

    route: str
    service: ServiceName


@dataclass(slots=True)
class _Estimate:
    runs: float
    updated_s: float


@dataclass(slots=True)
class _KindUsage:
    """Estimates for one kind of run, by service used."""

    updated_s: float
    services: dict[ServiceName, _Estimate] = field(default_factory=dict)

    def record(self, now_s: float, usages: tuple[ServiceUsage, ...]) -> None:
        """Record a report; services it has long not named are dropped."""
        self.updated_s = now_s
        for usage in usages:
            estimate = self.services.get(usage.service)
            if estimate is None or now_s - estimate.updated_s > FRESH_S:
                self.services[usage.service] = _Estimate(usage.runs, now_s)
                continue
            estimate.runs += USAGE_GAIN * (usage.runs - estimate.runs)
            estimate.updated_s = now_s
        for service, estimate in tuple(self.services.items()):
            if now_s - estimate.updated_s > FRESH_S:
                self.services.pop(service)


class UsageEstimates:
    """Estimated usage by each kind of run, as reported by serving nodes."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._kinds: OrderedDict[RunKind, _KindUsage] = OrderedDict()

    def record(
        self, now_s: float, kind: RunKind, usages: tuple[ServiceUsage, ...]
    ) -> None:
        """Record the usage that an answer reports for its kind of run."""
        if not usages:
            return
        usage = self._kinds.setdefault(kind, _KindUsage(now_s))
        usage.record(now_s, usages)
        self._kinds.move_to_end(kind)
        oldest = next(iter(self._kinds.values()))
        if now_s - oldest.updated_s > KEPT_S or len(self._kinds) > MAX_KINDS:
            self._kinds.popitem(last=False)

    def usage_of(self, kind: RunKind) -> tuple[ServiceUsage, ...]:
        """Return the usage of each service by one run."""
        usage = self._kinds.get(kind)
        if usage is None:
            return (ServiceUsage(kind.service, 1.0),)
        return tuple(
            ServiceUsage(service, round(estimate.runs, 2))
            for service, estimate in usage.services.items()
        )

    def calls_of_tree(self, calls: dict[RunKind, float]) -> float:
        """Return the number of calls that these need, down to the deepest."""
        return sum(
            count * sum(usage.runs for usage in self.usage_of(kind))
            for kind, count in calls.items()
        )

    def total_usage(
        self, calls: dict[RunKind, float]
    ) -> dict[ServiceName, ServiceUsage]:
        """Return the total usage of these calls, by service."""
        totals: dict[ServiceName, ServiceUsage] = {}
        for kind, count in calls.items():
            for usage in self.usage_of(kind):
                subtotal = totals.get(usage.service)
                runs = count * usage.runs
                if subtotal is not None:
                    runs += subtotal.runs
                totals[usage.service] = ServiceUsage(
                    usage.service, round(runs, 2)
                )
        return totals


def add_own_usage(
    own: ServiceUsage, nested: dict[ServiceName, ServiceUsage]
) -> tuple[ServiceUsage, ...]:
    """Return the usage of a route: its own service and those it calls."""
    others = [
        usage for usage in nested.values() if usage.service != own.service
    ]
    return (own, *others[: MAX_SERVICES - 1])


def calls_by_service(calls: dict[RunKind, float]) -> tuple[ServiceUsage, ...]:
    """Return the direct calls of a run by the service that they go to."""
    totals: dict[ServiceName, float] = {}
    for kind, count in calls.items():
        totals[kind.service] = totals.get(kind.service, 0.0) + count
    return tuple(
        ServiceUsage(service, total) for service, total in totals.items()
    )
