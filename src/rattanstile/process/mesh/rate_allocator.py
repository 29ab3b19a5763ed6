"""Shares the rates out among the nodes that report to this one.

The load pattern it answers: most requests of a large organisation come in at
few nodes, and at others a moment later, while those of a small one come in
at many nodes, each of which is seldom asked. Nodes that are asked often hold
a part, which follows their demand and stays below it; whatever they don't
hold is in the pool. Nodes that are known and don't report may go on with an
even part, so they count as reached by nobody.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from rattanstile.process.mesh.rate_limiter import (
    LEAST_PART_PER_S,
    LOCAL_SHARE,
    PART_LASTS_S,
)
from rattanstile.request.ids import NodeId, OrganisationId, ServiceName
from rattanstile.version.fleet_config import Organisation

FRESH_S = 1.2
"""A node that has not reported for two periods may ask another pool."""
HELD_SHARE = 0.8
"""Part of a node's demand that it holds tokens for: demand falls, too."""


@dataclass(slots=True)
class _Report:
    demand_per_s: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    told_s: float
    parts: dict[OrganisationId, float] = field(default_factory=dict)


class RateSharer:
    """What the nodes of the fleet are asked, as they report it.

    Attributes:
        held: Parts of the rates that the nodes hold together.
    """

    def __init__(self) -> None:
        """Begin without reports."""
        self.held: dict[OrganisationId, float] = {}
        self._reports: dict[NodeId, _Report] = {}

    def reported(
        self,
        now_s: float,
        node_id: NodeId,
        demand_per_s: dict[OrganisationId, float],
        calls_per_s: dict[ServiceName, float],
    ) -> None:
        """Take what a node is asked."""
        report = self._reports.get(node_id)
        if report is None:
            report = _Report(demand_per_s, calls_per_s, now_s)
            self._reports[node_id] = report
        report.demand_per_s = demand_per_s
        report.calls_per_s = calls_per_s
        report.told_s = now_s

    def calls_per_s(self) -> dict[ServiceName, float]:
        """Return what all reports together say of each service."""
        totals: dict[ServiceName, float] = {}
        for report in self._reports.values():
            for name, calls in report.calls_per_s.items():
                totals[name] = round(totals.get(name, 0.0) + calls, 1)
        return totals

    def reachable(self, now_s: float, set_node_count: int) -> float:
        """Return the part of the fleet that reports."""
        self._forget(now_s)
        fresh = sum(
            now_s - report.told_s <= FRESH_S
            for report in self._reports.values()
        )
        return fresh / max(set_node_count, len(self._reports), 1)

    def share(
        self,
        now_s: float,
        set_node_count: int,
        organisations: Mapping[OrganisationId, Organisation],
    ) -> None:
        """Work the parts of all nodes out anew."""
        reachable = self.reachable(now_s, set_node_count)
        totals: dict[OrganisationId, float] = {}
        for report in self._reports.values():
            for name, demand in report.demand_per_s.items():
                totals[name] = totals.get(name, 0.0) + demand
        self.held = {}
        for report in self._reports.values():
            report.parts = {
                name: _part(demand, totals[name], organisations[name])
                for name, demand in report.demand_per_s.items()
                if name in organisations and organisations[name].rate_per_s
            }
            for name, part in report.parts.items():
                report.parts[name] = round(part * reachable, 4)
                held = self.held.get(name, 0.0)
                self.held[name] = held + report.parts[name]

    def parts_of(self, node_id: NodeId) -> dict[OrganisationId, float]:
        """Return the parts of the rates that a node may hand out."""
        report = self._reports.get(node_id)
        if report is None:
            return {}
        return {name: part for name, part in report.parts.items() if part}

    def _forget(self, now_s: float) -> None:
        for node_id, report in tuple(self._reports.items()):
            if now_s - report.told_s > PART_LASTS_S:
                self._reports.pop(node_id)


def _part(demand: float, total: float, organisation: Organisation) -> float:
    rate_per_s = organisation.rate_per_s
    if demand < LEAST_PART_PER_S:
        return 0.0
    part = min(HELD_SHARE * demand / rate_per_s, LOCAL_SHARE * demand / total)
    return part if part * rate_per_s >= LEAST_PART_PER_S else 0.0
