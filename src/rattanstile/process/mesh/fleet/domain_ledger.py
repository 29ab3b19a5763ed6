"""Demand of the nodes of one failure domain, and their shares of the rates.

The load pattern: hundreds of nodes, each with a little demand of many
organisations. One report for a domain in place of one for each node keeps the
traffic between domains, and the work of the allocator, bounded by the number
of domains.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from rattanstile.process.mesh.rates.rate_allocator import FRESH_S, Demand
from rattanstile.process.mesh.rates.rate_limiter import SHARE_LEASE_S
from rattanstile.request.ids import NodeId, OrganisationId, ServiceName

Amounts = Mapping[OrganisationId, float]


@dataclass(frozen=True, slots=True)
class _NodeReport:
    demand: Demand
    received_s: float


class DomainLedger:
    """What the delegate of a failure domain knows of its nodes' demand."""

    def __init__(self) -> None:
        """Start without reports and shares."""
        self._reports: dict[NodeId, _NodeReport] = {}
        self._shares: dict[NodeId, dict[OrganisationId, float]] = {}
        self._expires_s = float('-inf')

    def record_report(
        self, now_s: float, node_id: NodeId, demand: Demand
    ) -> None:
        """Record the demand at a node."""
        self._reports[node_id] = _NodeReport(demand, now_s)

    def total(self, now_s: float) -> Demand:
        """Return the demand of the domain."""
        for node_id, report in tuple(self._reports.items()):
            if now_s - report.received_s > SHARE_LEASE_S:
                self._reports.pop(node_id)
        requests_per_s: dict[OrganisationId, float] = {}
        calls_per_s: dict[ServiceName, float] = {}
        fresh = 0
        for report in self._reports.values():
            fresh += now_s - report.received_s <= FRESH_S
            for name, per_s in report.demand.requests_per_s.items():
                requests_per_s[name] = requests_per_s.get(name, 0.0) + per_s
            for service, per_s in report.demand.calls_per_s.items():
                calls_per_s[service] = calls_per_s.get(service, 0.0) + per_s
        return Demand(
            {name: round(per_s, 2) for name, per_s in requests_per_s.items()},
            {name: round(per_s, 1) for name, per_s in calls_per_s.items()},
            fresh,
        )

    def set_shares(self, now_s: float, shares: Amounts, lease_s: float) -> None:
        """Divide the domain's shares of the rates by the demand of its nodes.

        Args:
            now_s: Monotonic seconds.
            shares: By organisation.
            lease_s: How long they stay valid without an update.
        """
        totals_per_s = self.total(now_s).requests_per_s
        self._expires_s = now_s + lease_s
        self._shares = {}
        for node_id, report in self._reports.items():
            self._shares[node_id] = {
                name: round(shares[name] * per_s / totals_per_s[name], 4)
                for name, per_s in report.demand.requests_per_s.items()
                if shares.get(name)
            }

    def lease_s(self, now_s: float) -> float:
        """Return how long the shares stay valid."""
        return max(0.0, self._expires_s - now_s)

    def shares_of(
        self, now_s: float, node_id: NodeId
    ) -> dict[OrganisationId, float]:
        """Return the shares of the rates that a node may hold."""
        if now_s >= self._expires_s:
            return {}
        return self._shares.get(node_id, {})
