"""Allocates shares of the rates to the domains that report to this node.

The load pattern: most requests of a large organisation come in at a few
nodes, and at other nodes a moment later, while those of a small one come in
at many nodes, each of which receives few of them. Nodes with enough demand
hold a share, which follows their demand and stays below it; the rest is in
the pool. Nodes of the fleet that don't report may still use an even share, so
they count as unreachable. The delegate of each failure domain reports the
demand of its nodes together, and divides the share that it gets.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from rattanstile.process.mesh.rates.rate_limiter import (
    MAX_LOCAL_SHARE,
    MIN_LOCAL_RATE_PER_S,
    SHARE_LEASE_S,
)
from rattanstile.request.ids import NodeId, OrganisationId, ServiceName
from rattanstile.version.fleet_config import Organisation

FRESH_S = 1.2
"""A domain that has not reported for two periods may use another pool."""
DEMAND_SHARE = 0.8
"""Share of a node's demand that it holds tokens for: demand also falls."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of the nodes that report together.

    Attributes:
        requests_per_s: Requests of organisations whose demand at a node is
            enough to hold a share.
        calls_per_s: Calls to each service that their root requests would make
            if all were admitted.
        nodes: Number of nodes that are included.
    """

    requests_per_s: Mapping[OrganisationId, float]
    calls_per_s: Mapping[ServiceName, float]
    nodes: int


@dataclass(slots=True)
class _Report:
    demand: Demand
    received_s: float
    shares: dict[OrganisationId, float] = field(default_factory=dict)


class RateAllocator:
    """Demand of the fleet as reported by its delegates, and their shares.

    Attributes:
        held_shares: Shares of the rates that the nodes hold together.
    """

    def __init__(self) -> None:
        """Start without reports."""
        self.held_shares: dict[OrganisationId, float] = {}
        self._reports: dict[NodeId, _Report] = {}

    def record_report(
        self, now_s: float, delegate_id: NodeId, demand: Demand
    ) -> None:
        """Record the demand in the domain of a delegate."""
        report = self._reports.get(delegate_id)
        if report is None:
            self._reports[delegate_id] = _Report(demand, now_s)
            return
        report.demand = demand
        report.received_s = now_s

    def calls_per_s(self) -> dict[ServiceName, float]:
        """Return the total over all reports, by service."""
        totals: dict[ServiceName, float] = {}
        for report in self._reports.values():
            for name, calls in report.demand.calls_per_s.items():
                totals[name] = round(totals.get(name, 0.0) + calls, 1)
        return totals

    def reachable_share(self, now_s: float, node_count: int) -> float:
        """Return the share of the fleet's nodes that recent reports include."""
        self._drop_expired(now_s)
        fresh = 0
        known = 0
        for report in self._reports.values():
            known += report.demand.nodes
            if now_s - report.received_s <= FRESH_S:
                fresh += report.demand.nodes
        return fresh / max(node_count, known, 1)

    def allocate(
        self,
        now_s: float,
        node_count: int,
        organisations: Mapping[OrganisationId, Organisation],
    ) -> None:
        """Recompute the shares of all domains."""
        reachable_share = self.reachable_share(now_s, node_count)
        totals: dict[OrganisationId, float] = {}
        for report in self._reports.values():
            for name, demand in report.demand.requests_per_s.items():
                totals[name] = totals.get(name, 0.0) + demand
        self.held_shares = {}
        for report in self._reports.values():
            report.shares = {
                name: _share(demand, totals[name], organisations[name])
                for name, demand in report.demand.requests_per_s.items()
                if name in organisations and organisations[name].rate_per_s
            }
            for name, share in report.shares.items():
                report.shares[name] = round(share * reachable_share, 4)
                held_share = self.held_shares.get(name, 0.0)
                self.held_shares[name] = held_share + report.shares[name]

    def shares_of(self, delegate_id: NodeId) -> dict[OrganisationId, float]:
        """Return the shares of the rates that a domain may hand out."""
        report = self._reports.get(delegate_id)
        if report is None:
            return {}
        return {name: share for name, share in report.shares.items() if share}

    def _drop_expired(self, now_s: float) -> None:
        for delegate_id, report in tuple(self._reports.items()):
            if now_s - report.received_s > SHARE_LEASE_S:
                self._reports.pop(delegate_id)


def _share(
    demand_per_s: float, total_per_s: float, organisation: Organisation
) -> float:
    rate_per_s = organisation.rate_per_s
    if demand_per_s < MIN_LOCAL_RATE_PER_S:
        return 0.0
    share = min(
        DEMAND_SHARE * demand_per_s / rate_per_s,
        MAX_LOCAL_SHARE * demand_per_s / total_per_s,
    )
    return share if share * rate_per_s >= MIN_LOCAL_RATE_PER_S else 0.0
