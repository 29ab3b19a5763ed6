"""Orders as one node knows them: which version its calls may be sent to.

The load pattern: targets of a new version, which may be bad, start beside the
old ones and report free capacity. Load balancing would send them an even share
of the calls at once.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from rattanstile.connection.peer_messages import (
    RolloutDirective,
    RolloutReport,
    TargetLoad,
    VersionTargets,
)
from rattanstile.process.mesh.placement.placement import (
    CROSS_DOMAIN_RTT_S,
    Candidate,
)
from rattanstile.process.mesh.rollout.call_sample import CallSample, SampleEnd
from rattanstile.process.mesh.rollout.exposure_credit import ExposureCredit
from rattanstile.process.mesh.rollout.rollout_bounds import RolloutBounds
from rattanstile.process.mesh.rollout.rollout_verdict import (
    Verdict,
    verdict_of,
)
from rattanstile.process.mesh.rollout.version_counts import VersionCounts
from rattanstile.request.ids import (
    FailureDomainId,
    ServiceName,
    TargetVersion,
)
from rattanstile.version.fleet_config import RolloutOrder

PPM = 1_000_000
MAX_COUNTS = 20
"""Counts in one report over all orders: 800 bytes, twice a second."""
LEAD_SHARE = 0.7
"""Share of the paid calls that all nodes send to the same new target. Spread
over all of them, each would get too few to show a fault under load."""
MS_PER_S = 1000
CLOSE_DELAY_S = 0.4
"""Time from the acceptance of a version until the old targets close. The
delegates hear of it within 0.25 s of each other, and their nodes at once; a
node that has not heard of it would find no target that it may use."""
CLOSED_AFTER_S = 5.0
"""Time after the deadline of a completed order for which targets of other
versions stay closed. The order stays in the log for good, but later ones that
start without an order are used."""
ECHO_S = 10.0
"""Time after a restore of the store in which the next decider may take over."""


@dataclass(frozen=True, slots=True)
class LocalTarget:
    """The target beside this node."""

    service: ServiceName
    version: TargetVersion
    load: TargetLoad


NO_TARGET = LocalTarget(ServiceName(''), TargetVersion(''), TargetLoad())
TargetSource = Callable[[], LocalTarget]


@dataclass(eq=False, slots=True)
class OrderView:
    """One order as this node knows it.

    Attributes:
        order: The order.
        began_s: Monotonic time of the order.
        verdict: Latest decision that this node has heard of.
        spend_ppm: Probability of spending credit on a request.
        directive_s: Monotonic time of the last directive.
        accepted_s: Monotonic time at which this node heard that the version
            is accepted.
    """

    order: RolloutOrder
    began_s: float
    credit: ExposureCredit
    verdict: Verdict = Verdict.NONE
    spend_ppm: int = 0
    directive_s: float = float('-inf')
    accepted_s: float = float('-inf')
    counts: VersionCounts = field(default_factory=VersionCounts)

    @property
    def deadline_s(self) -> float:
        """Return the monotonic time at which the order is to be decided."""
        return self.began_s + self.order.duration_s


@dataclass(frozen=True, slots=True)
class _HeldBack:
    """A version whose order was replaced or withdrawn undecided.

    Attributes:
        until_s: Monotonic time; infinite if it was rejected.
    """

    version: TargetVersion
    until_s: float


class NodeRollouts:
    """Orders in force and versions held back, at one node.

    Attributes:
        bounds: Bounds of exposure.
        target: Returns the target beside the node.

    Args:
        bounds: Bounds of exposure.
        rng: Decides which requests are spent on.
        target: Returns the target beside the node.
        domain: Failure domain of the node.
    """

    def __init__(
        self,
        bounds: RolloutBounds | None = None,
        rng: Random | None = None,
        target: TargetSource | None = None,
        domain: FailureDomainId | None = None,
    ) -> None:
        """Initialize without orders."""
        self.bounds = bounds or RolloutBounds()
        self.target = target or _no_target
        self._domain = domain
        self._echoes_until_s = float('-inf')
        self._rng = rng or Random()
        self._views: dict[ServiceName, OrderView] = {}
        self._held_back: dict[ServiceName, dict[TargetVersion, _HeldBack]] = {}
        self._withdrawn: dict[ServiceName, RolloutOrder] = {}

    @property
    def views(self) -> tuple[OrderView, ...]:
        """Return the orders in force."""
        return tuple(self._views.values())

    @property
    def withdrawn(self) -> tuple[RolloutOrder, ...]:
        """Return the orders that were withdrawn without a final status."""
        return tuple(self._withdrawn.values())

    def view_of(self, service: ServiceName) -> OrderView | None:
        """Return the order in force for a service."""
        return self._views.get(service)

    def verdict_on(self, order: RolloutOrder) -> int:
        """Return the value of the verdict that this node has heard of."""
        view = self._views.get(order.service)
        if view is None or view.order.version != order.version:
            return Verdict.NONE
        return view.verdict

    def set_orders(self, orders: Iterable[RolloutOrder]) -> None:
        """Apply the orders in force."""
        before = self._views
        self._views = {}
        for order in orders:
            self._withdrawn.pop(order.service, None)
            view = before.pop(order.service, None)
            if view is not None and view.order.version == order.version:
                view.order = order
                view.began_s = min(view.began_s, order.began_s)
            else:
                self._hold_back(view)
                view = self._new_view(order)
            self._views[order.service] = view
        for withdrawn in before.values():
            self._hold_back(withdrawn)
            if not withdrawn.verdict.is_final:
                order = withdrawn.order
                self._withdrawn[order.service] = order

    def store_restored(self, now_s: float) -> None:
        """Report final verdicts for a while: the store may have lost them."""
        self._echoes_until_s = now_s + ECHO_S

    def _new_view(self, order: RolloutOrder) -> OrderView:
        self._held_back.get(order.service, {}).pop(order.version, None)
        credit = ExposureCredit(self.bounds.expose_share)
        verdict = verdict_of(order.verdict)
        return OrderView(order, order.began_s, credit, verdict)

    def _hold_back(self, view: OrderView | None) -> None:
        """Hold back the version of an order that is no longer in force."""
        if view is None or view.verdict.is_for_new:
            return
        until_s = view.deadline_s
        if view.verdict.is_against_new:
            until_s = float('inf')
        version = view.order.version
        by_version = self._held_back.setdefault(view.order.service, {})
        by_version[version] = _HeldBack(version, until_s)

    def release_expired(self, now_s: float) -> None:
        """Forget the versions that are no longer held back."""
        for service, by_version in tuple(self._held_back.items()):
            for held in tuple(by_version.values()):
                if held.until_s <= now_s:
                    by_version.pop(held.version)
            if not by_version:
                self._held_back.pop(service)

    # Calls of this node

    def candidates(
        self,
        now_s: float,
        service: ServiceName,
        found: list[Candidate],
        *,
        may_expose: bool,
    ) -> list[Candidate]:
        """Return the nodes that a call may be sent to, by version.

        Args:
            now_s: Monotonic seconds.
            service: Service that is called.
            found: Nodes that can serve the call.
            may_expose: Whether credit may be spent on the call.
        """
        view = self._views.get(service)
        if view is None and service not in self._held_back:
            return found
        found = [
            each
            for each in found
            if not self._is_held_back(now_s, service, each.version)
        ]
        if view is None or view.verdict.is_for_new:
            return found
        version = view.order.version
        if may_expose and self._spends(now_s, view):
            warm = [
                each
                for each in found
                if each.version == version
                and each.warm_at_s <= now_s
                and not each.is_unresponsive
            ]
            if warm:
                return self._lead_or_all(warm)
        return [each for each in found if each.version != version]

    def _lead_or_all(self, warm: list[Candidate]) -> list[Candidate]:
        if self._rng.random() < LEAD_SHARE:
            return [min(warm, key=lambda each: each.node_id)]
        return warm

    def _spends(self, now_s: float, view: OrderView) -> bool:
        return (
            view.verdict is Verdict.NONE
            and view.credit.has_call
            and now_s < view.deadline_s
            and now_s - view.directive_s <= self.bounds.directive_valid_s
            and self._rng.random() * PPM < view.spend_ppm
        )

    def _is_held_back(
        self, now_s: float, service: ServiceName, version: TargetVersion
    ) -> bool:
        by_version = self._held_back.get(service)
        held = by_version.get(version) if by_version else None
        return held is not None and now_s < held.until_s

    def sent(
        self, now_s: float, service: ServiceName, chosen: Candidate, route: str
    ) -> CallSample | None:
        """Count a call that is sent; None if no order is in force.

        A call to the new version is paid for.
        """
        view = self._views.get(service)
        if view is None:
            return None
        is_new = chosen.version == view.order.version
        is_paid = is_new and (view.verdict.is_for_new or view.credit.spend())
        return CallSample(
            service,
            view.order.version,
            route,
            chosen.domain,
            sent_s=now_s,
            rtt_s=self._rtt_s(chosen),
            is_new=is_new,
            is_paid=is_paid,
        )

    def ended(self, now_s: float, sample: CallSample, end: SampleEnd) -> None:
        """Count the end of a call."""
        view = self._views.get(sample.service)
        if view is None or view.order.version != sample.version:
            return
        if view.verdict.is_final:
            return
        if end.is_answered and view.began_s <= sample.sent_s:
            if now_s <= view.deadline_s:
                view.credit.earn()
        if end.is_compared:
            took_s = max(0.0, now_s - sample.sent_s - sample.rtt_s)
            view.counts.record(sample.key, took_s, is_failed=end.is_failed)

    def _rtt_s(self, chosen: Candidate) -> float:
        return 0.0 if chosen.domain == self._domain else CROSS_DOMAIN_RTT_S

    # The target beside this node

    def is_closed(
        self, now_s: float, service: ServiceName, version: TargetVersion
    ) -> bool:
        """Return whether the target beside this node takes no calls."""
        view = self._views.get(service)
        if self._is_held_back(now_s, service, version):
            return True
        if view is None:
            return False
        if not version:
            # The target may be of the new version.
            return not view.verdict.is_for_new
        is_new = version == view.order.version
        if is_new:
            return view.verdict.is_against_new
        if view.verdict is Verdict.COMPLETED:
            return now_s < view.deadline_s + CLOSED_AFTER_S
        return (
            view.verdict is Verdict.ACCEPTED
            and now_s - view.accepted_s >= CLOSE_DELAY_S
        )

    def needs_payment(
        self, service: ServiceName, version: TargetVersion
    ) -> bool:
        """Return whether only paid calls may run on a target."""
        view = self._views.get(service)
        return (
            view is not None
            and view.order.version == version
            and view.verdict is Verdict.NONE
        )

    # Reports and directives

    def report_all_counts(self) -> None:
        """Report all counts again: another node receives the reports."""
        for view in self._views.values():
            view.counts.mark_all_changed()

    def reports(self, now_s: float) -> tuple[RolloutReport, ...]:
        """Return what this node knows of the orders without a final status.

        They must be sent: their counts aren't returned again until they change.
        """
        reported = [
            view
            for view in self._views.values()
            if not view.verdict.is_final or now_s < self._echoes_until_s
        ]
        max_counts = max(1, MAX_COUNTS // max(1, len(reported)))
        return tuple(
            RolloutReport(
                view.order.service,
                view.order.version,
                view.verdict,
                view.credit.requests,
                view.counts.take_changed(max_counts),
                self._targets(now_s, view),
            )
            for view in reported
        )

    def directives_received(
        self, now_s: float, directives: Iterable[RolloutDirective]
    ) -> bool:
        """Apply directives; return whether a verdict is new."""
        is_changed = False
        for directive in directives:
            view = self._views.get(directive.service)
            if view is None or view.order.version != directive.version:
                continue
            view.began_s = min(
                view.began_s, now_s - directive.age_ms / MS_PER_S
            )
            view.spend_ppm = directive.spend_ppm
            view.directive_s = now_s
            verdict = verdict_of(directive.verdict)
            if verdict > view.verdict:
                view.verdict = verdict
                is_changed = True
                if verdict is Verdict.ACCEPTED:
                    view.accepted_s = now_s
        return is_changed

    def _targets(self, now_s: float, view: OrderView) -> VersionTargets:
        target = self.target()
        if target.service != view.order.service:
            return VersionTargets()
        load = target.load
        if target.version != view.order.version:
            return VersionTargets(
                old_targets=int(load.is_usable),
                old_in_flight=load.pending_calls,
                offered_deci_per_s=load.offered_deci_per_s,
            )
        is_warm = load.is_usable and not load.cold_ms
        return VersionTargets(
            new_targets=int(load.is_usable),
            new_cold=int(load.is_usable and load.cold_ms > 0),
            new_deci_per_s=load.capacity_deci_per_s if is_warm else 0,
            offered_deci_per_s=load.offered_deci_per_s,
        )


def _no_target() -> LocalTarget:
    return NO_TARGET
