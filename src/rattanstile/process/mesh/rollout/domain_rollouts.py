"""Reports on rollouts of the nodes of one failure domain, and their sum."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rattanstile.connection.peer_messages import (
    RolloutReport,
    RouteCounts,
    VersionTargets,
)
from rattanstile.process.mesh.rollout.count_increments import growth
from rattanstile.process.mesh.rollout.version_counts import (
    CountKey,
    VersionCounts,
)
from rattanstile.request.ids import NodeId, ServiceName, TargetVersion

REPORT_VALID_S = 3.0
"""How long the targets of a node that doesn't report count as they were: calls
may still run on an old target whose node is cut off."""
FORGET_S = 30.0
"""An order about which no node has reported for so long is forgotten."""


class OrderKey(NamedTuple):
    """Identifies an order."""

    service: ServiceName
    version: TargetVersion


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report and the monotonic time of its receipt."""

    report: RolloutReport
    received_s: float

    def is_fresh(self, now_s: float) -> bool:
        """Return whether its targets still count."""
        return now_s - self.received_s <= REPORT_VALID_S


@dataclass(eq=False, slots=True)
class _OrderReports:
    """Reports on one order.

    Attributes:
        by_node: The latest report of each node, with some of its counts.
        counts: Sum over all nodes, also those that have left.
        last_s: Monotonic time of the last report.
    """

    by_node: dict[NodeId, ReceivedReport] = field(default_factory=dict)
    counts: VersionCounts = field(default_factory=VersionCounts)
    last_s: float = 0.0
    _latest: dict[tuple[NodeId, CountKey], RouteCounts] = field(
        default_factory=dict
    )

    def add_counts(
        self, node_id: NodeId, reported: Iterable[RouteCounts]
    ) -> None:
        """Add what the counts of a node have grown by.

        The sum over a large domain is too slow to be made for each report.
        """
        for each in reported:
            count_key = CountKey(each.route, each.domain, each.is_new)
            key = (node_id, count_key)
            before = self._latest.get(key)
            self._latest[key] = each
            if before is not None and before.calls <= each.calls:
                # Fewer calls than before: the node has restarted.
                each = growth(before, each)
            self.counts.add((each,))


class DomainRollouts:
    """Latest reports of the nodes of a domain, by order."""

    def __init__(self) -> None:
        """Start without reports."""
        self._orders: dict[OrderKey, _OrderReports] = {}

    def record(
        self, now_s: float, node_id: NodeId, reports: Iterable[RolloutReport]
    ) -> None:
        """Record the reports of a node."""
        for report in reports:
            order = self._orders.setdefault(
                OrderKey(report.service, report.version), _OrderReports()
            )
            order.add_counts(node_id, report.counts)
            order.by_node[node_id] = ReceivedReport(report, now_s)
            order.last_s = now_s

    def totals(self, now_s: float) -> tuple[RolloutReport, ...]:
        """Return one report for the domain on each order.

        Counts of nodes that have left stay included.
        """
        for key, order in tuple(self._orders.items()):
            if now_s - order.last_s > FORGET_S:
                self._orders.pop(key)
        return tuple(
            _total(now_s, key, order)
            for key, order in self._orders.items()
            if now_s - order.last_s <= REPORT_VALID_S
        )


def _total(now_s: float, key: OrderKey, order: _OrderReports) -> RolloutReport:
    received_reports = order.by_node.values()
    return RolloutReport(
        key.service,
        key.version,
        max(each.report.verdict for each in received_reports),
        sum(each.report.requests for each in received_reports),
        order.counts.as_reported(),
        sum_targets(
            each.report.targets
            for each in received_reports
            if each.is_fresh(now_s)
        ),
    )


def sum_targets(reported: Iterable[VersionTargets]) -> VersionTargets:
    """Return the sum of targets of several nodes."""
    targets = tuple(reported)
    return VersionTargets(
        sum(each.new_targets for each in targets),
        sum(each.new_cold for each in targets),
        sum(each.new_deci_per_s for each in targets),
        sum(each.old_targets for each in targets),
        sum(each.old_in_flight for each in targets),
        sum(each.offered_deci_per_s for each in targets),
    )
