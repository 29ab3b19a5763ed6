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

from dataclasses import dataclass

from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import ServiceName

USAGE_GAIN = 0.3
FRESH_S = 30.0
"""An estimate that is older than this is replaced, not averaged with."""
MAX_SERVICES = 12


@dataclass(frozen=True, order=True, slots=True)
class RunKind:
    """Runs of one route on one service; a route may be split among several."""

    route: str
    service: ServiceName


@dataclass(slots=True)
class _Estimate:
    runs: float
    updated_s: float


class UsageEstimates:
    """Estimated usage by each kind of run, as reported by serving nodes."""

    def __init__(self) -> None:
        """Start without estimates."""
        self._kinds: dict[RunKind, dict[ServiceName, _Estimate]] = {}

    def record(
        self, now_s: float, kind: RunKind, usages: tuple[ServiceUsage, ...]
    ) -> None:
        """Record the usage that an answer reports for its kind of run."""
        estimates = self._kinds.setdefault(kind, {})
        for usage in usages:
            estimate = estimates.get(usage.service)
            if estimate is None or now_s - estimate.updated_s > FRESH_S:
                estimates[usage.service] = _Estimate(usage.runs, now_s)
                continue
            estimate.runs += USAGE_GAIN * (usage.runs - estimate.runs)
            estimate.updated_s = now_s

    def usage_of(self, kind: RunKind) -> tuple[ServiceUsage, ...]:
        """Return the usage of each service by one run."""
        estimates = self._kinds.get(kind)
        if estimates is None:
            return (ServiceUsage(kind.service, 1.0),)
        return tuple(
            ServiceUsage(service, round(estimate.runs, 2))
            for service, estimate in estimates.items()
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
