"""Decides on all orders at the node that allocates rates.

Every other node may take this over: reports are cumulative and carry the
latest verdict, and the store arbitrates which status is written.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanstile.connection.peer_messages import RolloutReport
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.rollout.count_increments import CountIncrements
from rattanstile.process.mesh.rollout.domain_rollouts import (
    OrderKey,
    ReceivedReport,
    sum_targets,
)
from rattanstile.process.mesh.rollout.node_rollouts import OrderView
from rattanstile.process.mesh.rollout.rollout_bounds import RolloutBounds
from rattanstile.process.mesh.rollout.rollout_progress import (
    FleetRollout,
    RolloutProgress,
)
from rattanstile.process.mesh.rollout.rollout_verdict import (
    RolloutStatus,
    verdict_of,
)
from rattanstile.request.ids import FailureDomainId
from rattanstile.version.fleet_config import RolloutOrder

SETTLE_S = 1.5
"""Time after taking over in which all domains report."""
MISSING_SHARE = 0.6
"""Share of the duration after which `completed` no longer waits for nodes that
don't report: they may be gone."""


@dataclass(eq=False, slots=True)
class DecidedOrder:
    """An order that this node decides.

    Attributes:
        is_status_known: Whether the store has been read since.
    """

    progress: RolloutProgress
    is_status_known: bool = False
    increments: dict[FailureDomainId, CountIncrements] = field(
        default_factory=dict
    )
    reports: dict[FailureDomainId, ReceivedReport] = field(default_factory=dict)


class RolloutDecider:
    """Progress of the orders, as long as this node decides.

    Args:
        bounds: Bounds of exposure.
        log: Receives a line for each verdict.
    """

    def __init__(self, bounds: RolloutBounds, log: DecisionLog) -> None:
        """Start without orders."""
        self._bounds = bounds
        self._log = log
        self._orders: dict[OrderKey, DecidedOrder] = {}
        self._withdrawn: dict[OrderKey, DecidedOrder] = {}
        self._since_s: float | None = None

    @property
    def orders(self) -> tuple[DecidedOrder, ...]:
        """Return the orders in force."""
        return tuple(self._orders.values())

    def resign(self) -> None:
        """Forget everything: another node decides."""
        self._orders.clear()
        self._withdrawn.clear()
        self._since_s = None

    def set_views(self, now_s: float, views: Iterable[OrderView]) -> None:
        """Apply the orders in force and what this node has heard of them."""
        if self._since_s is None:
            self._since_s = now_s
        before = self._orders
        self._orders = {}
        for view in views:
            key = OrderKey(view.order.service, view.order.version)
            decided = before.pop(key, None)
            if decided is None:
                progress = RolloutProgress(
                    view.order, view.began_s, self._bounds.expose_slack_calls
                )
                decided = DecidedOrder(progress)
            decided.progress.began_earlier(view.began_s)
            decided.progress.heard(view.verdict)
            self._orders[key] = decided

    def set_withdrawn(self, orders: Iterable[RolloutOrder]) -> None:
        """Roll back the orders that were withdrawn.

        One that was replaced gets no status: that of the next order is the
        newest of its service.
        """
        before = self._withdrawn
        self._withdrawn = {}
        for order in orders:
            key = OrderKey(order.service, order.version)
            ended = before.get(key)
            if ended is None:
                progress = RolloutProgress(order, order.began_s)
                progress.withdraw()
                self._log_verdict(progress)
                ended = DecidedOrder(progress)
            self._withdrawn[key] = ended

    def record_report(
        self,
        now_s: float,
        domain: FailureDomainId,
        reports: Iterable[RolloutReport],
    ) -> None:
        """Record the reports of a domain."""
        for report in reports:
            key = OrderKey(report.service, report.version)
            decided = self._orders.get(key)
            if decided is None:
                continue
            decided.reports[domain] = ReceivedReport(report, now_s)
            increments = decided.increments.setdefault(
                domain, CountIncrements()
            )
            decided.progress.add_counts(increments.added(domain, report.counts))

    def step(self, now_s: float, *, is_whole: bool) -> None:
        """Decide on each order.

        Args:
            now_s: Monotonic seconds.
            is_whole: Whether all known nodes report.
        """
        if self._since_s is None or now_s - self._since_s < SETTLE_S:
            return
        for decided in self._orders.values():
            fresh = [
                each.report
                for each in decided.reports.values()
                if each.is_fresh(now_s)
            ]
            # All nodes report as long as the status isn't final for them. The
            # store may hold a final one that no node here has heard of.
            if not (fresh and decided.is_status_known):
                continue
            progress = decided.progress
            before = progress.verdict
            targets = sum_targets(each.targets for each in fresh)
            progress.step(
                now_s,
                FleetRollout(
                    targets.offered_deci_per_s / 10,
                    targets,
                    max(verdict_of(each.verdict) for each in fresh),
                    is_whole=is_whole
                    or progress.elapsed_share(now_s) >= MISSING_SHARE,
                ),
            )
            if progress.verdict is not before:
                self._log_verdict(progress)

    def spend_ppm(self, decided: DecidedOrder) -> int:
        """Return the probability of spending credit on a request, in ppm.

        The status may be final although no node has heard of it.
        """
        return decided.progress.spend_ppm() if decided.is_status_known else 0

    def due_statuses(self) -> tuple[RolloutStatus, ...]:
        """Return the statuses that the store is to hold."""
        withdrawn = [
            each
            for each in self._withdrawn.values()
            if not each.progress.verdict.is_final
        ]
        return tuple(
            RolloutStatus(
                each.progress.order.service,
                each.progress.order.version,
                each.progress.status_to_store(),
            )
            for each in (*self._orders.values(), *withdrawn)
        )

    def is_status_known(self, status: RolloutStatus) -> bool:
        """Return whether the store was read for the order of a status."""
        decided = self._decided_of(status)
        return decided is not None and decided.is_status_known

    def status_stored(self, status: RolloutStatus) -> None:
        """Apply a status that the store holds for an order."""
        decided = self._decided_of(status)
        if decided is None:
            return
        decided.is_status_known = True
        before = decided.progress.verdict
        decided.progress.status_acknowledged(status.state)
        if decided.progress.verdict is not before:
            self._log_verdict(decided.progress)

    def _decided_of(self, status: RolloutStatus) -> DecidedOrder | None:
        key = OrderKey(status.service, status.version)
        return self._orders.get(key) or self._withdrawn.get(key)

    def _log_verdict(self, progress: RolloutProgress) -> None:
        comparison = progress.comparison
        self._log.write(
            LineKind.CONFIG,
            'rollout_verdict',
            service=progress.order.service,
            target_version=progress.order.version,
            verdict=progress.verdict.name.lower(),
            why=progress.reason.value,
            compared=comparison.new_calls,
            total=round(comparison.total, 2),
            excess=round(comparison.excess, 2),
        )
