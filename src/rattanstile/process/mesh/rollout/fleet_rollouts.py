"""Rollouts over the fleet: reports up, directives down.

They go the way of the demand: from each node to the delegate of its failure
domain, and from the delegates to the node that allocates rates, which decides.
"""

from collections.abc import Iterable

from rattanstile.connection.peer_messages import (
    RolloutDirective,
    RolloutReport,
)
from rattanstile.process.decision_log import DecisionLog
from rattanstile.process.mesh.rollout.domain_rollouts import (
    REPORT_VALID_S,
    DomainRollouts,
    OrderKey,
)
from rattanstile.process.mesh.rollout.node_rollouts import (
    MS_PER_S,
    NodeRollouts,
    OrderView,
)
from rattanstile.process.mesh.rollout.rollout_decider import RolloutDecider
from rattanstile.request.ids import FailureDomainId, NodeId


class FleetRollouts:
    """Part of one node in the rollouts of the fleet.

    Attributes:
        decider: Decides while this node allocates rates.

    Args:
        node_rollouts: Orders as this node knows them.
        log: Receives a line for each verdict.
    """

    def __init__(self, node_rollouts: NodeRollouts, log: DecisionLog) -> None:
        """Start without reports."""
        self.decider = RolloutDecider(node_rollouts.bounds, log)
        self._node = node_rollouts
        self._domain = DomainRollouts()
        self._delegate_id: NodeId | None = None

    def take_reports(
        self, now_s: float, delegate_id: NodeId
    ) -> tuple[RolloutReport, ...]:
        """Return the reports of this node, which must be sent.

        Args:
            now_s: Monotonic seconds.
            delegate_id: Node they are sent to. It adds up counts that changed;
                another one than before needs all of them.
        """
        if delegate_id != self._delegate_id:
            self._delegate_id = delegate_id
            self._node.report_all_counts()
        return self._node.reports(now_s)

    def record_node(
        self, now_s: float, node_id: NodeId, reports: Iterable[RolloutReport]
    ) -> None:
        """Record the reports of a node of this failure domain."""
        self._domain.record(now_s, node_id, reports)

    def domain_reports(self, now_s: float) -> tuple[RolloutReport, ...]:
        """Return the reports of this failure domain."""
        return self._domain.totals(now_s)

    def decide(
        self, now_s: float, domain: FailureDomainId, *, is_whole: bool
    ) -> bool:
        """Decide by the reports of all domains; return if a verdict is new.

        Args:
            now_s: Monotonic seconds.
            domain: Failure domain of this node.
            is_whole: Whether all known nodes report.
        """
        self.decider.set_views(now_s, self._node.views)
        self.decider.set_withdrawn(self._node.withdrawn)
        self.decider.record_report(now_s, domain, self._domain.totals(now_s))
        self.decider.step(now_s, is_whole=is_whole)
        return self._node.directives_received(
            now_s,
            (
                RolloutDirective(
                    each.progress.order.service,
                    each.progress.order.version,
                    each.progress.verdict,
                    self.decider.spend_ppm(each),
                    _age_ms(now_s, each.progress.began_s),
                )
                for each in self.decider.orders
            ),
        )

    def record_domain(
        self,
        now_s: float,
        domain: FailureDomainId,
        reports: Iterable[RolloutReport],
    ) -> None:
        """Record the reports of another failure domain."""
        self.decider.record_report(now_s, domain, reports)

    def directives(
        self, now_s: float, reports: Iterable[RolloutReport]
    ) -> tuple[RolloutDirective, ...]:
        """Return the directives on the orders that were reported on."""
        reported = {OrderKey(each.service, each.version) for each in reports}
        return tuple(
            self._directive(now_s, view)
            for view in self._node.views
            if OrderKey(view.order.service, view.order.version) in reported
        )

    def open_directives(self, now_s: float) -> tuple[RolloutDirective, ...]:
        """Return the directives on orders that may not have ended."""
        return tuple(
            self._directive(now_s, view)
            for view in self._node.views
            if now_s <= view.deadline_s + REPORT_VALID_S
        )

    def directives_received(
        self, now_s: float, directives: Iterable[RolloutDirective]
    ) -> bool:
        """Apply directives; return whether a verdict is new."""
        return self._node.directives_received(now_s, directives)

    def _directive(self, now_s: float, view: OrderView) -> RolloutDirective:
        is_valid = (
            now_s - view.directive_s <= self._node.bounds.directive_valid_s
        )
        return RolloutDirective(
            view.order.service,
            view.order.version,
            view.verdict,
            view.spend_ppm if is_valid else 0,
            _age_ms(now_s, view.began_s),
        )


def _age_ms(now_s: float, began_s: float) -> int:
    return max(0, int((now_s - began_s) * MS_PER_S))
