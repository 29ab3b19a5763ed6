"""Shares the rates out among the nodes that report to this one.

The load pattern it answers: an organisation's requests come in at few nodes,
and at others a moment later. The parts follow the demand; a small part is
spread evenly for demand that just begins. Nodes that are known and don't
report may go on with an even part, so they count as reached by nobody.
"""

from dataclasses import dataclass

from rattanstile.process.mesh.rate_keeper import PART_LASTS_S
from rattanstile.request.ids import NodeId, OrganisationId, ServiceName

EVEN_SHARE = 0.15
"""Part of each rate that is spread evenly."""


@dataclass(slots=True)
class _Report:
    demand_per_s: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    told_s: float


class RateSharer:
    """What the nodes of the fleet are asked, as they report it."""

    def __init__(self) -> None:
        """Begin without reports."""
        self._reports: dict[NodeId, _Report] = {}

    def reported(
        self,
        now_s: float,
        node_id: NodeId,
        demand_per_s: dict[OrganisationId, float],
        calls_per_s: dict[ServiceName, float],
    ) -> None:
        """Take what a node is asked."""
        self._reports[node_id] = _Report(demand_per_s, calls_per_s, now_s)

    def calls_per_s(self) -> dict[ServiceName, float]:
        """Return what all reports together say of each service."""
        totals: dict[ServiceName, float] = {}
        for report in self._reports.values():
            for name, calls in report.calls_per_s.items():
                totals[name] = round(totals.get(name, 0.0) + calls, 1)
        return totals

    def reachable(self, now_s: float, nodes_known: int) -> float:
        """Return the part of the fleet that reports."""
        self._forget(now_s)
        return len(self._reports) / max(nodes_known, len(self._reports), 1)

    def parts_of(
        self, now_s: float, node_id: NodeId, nodes_known: int
    ) -> dict[OrganisationId, float]:
        """Return the parts of the rates that a node may hand out."""
        reachable = self.reachable(now_s, nodes_known)
        fleet = max(nodes_known, len(self._reports))
        own = self._reports[node_id].demand_per_s
        totals: dict[OrganisationId, float] = {}
        for report in self._reports.values():
            for name, demand in report.demand_per_s.items():
                totals[name] = totals.get(name, 0.0) + demand
        return {
            name: round(_part(own.get(name, 0.0), total, fleet, reachable), 4)
            for name, total in totals.items()
        }

    def _forget(self, now_s: float) -> None:
        for node_id, report in tuple(self._reports.items()):
            if now_s - report.told_s > PART_LASTS_S:
                self._reports.pop(node_id)


def _part(demand: float, total: float, fleet: int, reachable: float) -> float:
    even = EVEN_SHARE / fleet
    by_demand = (1 - EVEN_SHARE) * reachable * demand / total
    return even + by_demand
