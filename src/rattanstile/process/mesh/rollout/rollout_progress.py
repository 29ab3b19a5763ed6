"""State machine of one order at the node that decides.

The load pattern: a version is tested with a few calls per second. If it is
accepted, its targets must take the whole load at once, as the old targets stop
without draining at `completed`. So the old ones close before it is written.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.connection.peer_messages import RouteCounts, VersionTargets
from rattanstile.process.mesh.rollout.rollout_verdict import (
    RolloutState,
    Verdict,
)
from rattanstile.process.mesh.rollout.version_comparison import (
    Evidence,
    VersionComparison,
)
from rattanstile.version.fleet_config import RolloutOrder

EARLIEST_ACCEPT_SHARE = 0.3
"""Share of the duration for which a version is observed in any case: a fault
may show some time after the start."""
LATEST_DECISION_SHARE = 0.75
LATEST_COMPLETION_SHARE = 0.9
"""Shares of the duration that leave time for the steps that follow."""
FIRST_EXPOSED_SHARE = 0.5
MAX_EXPOSED_SHARE = 0.6
"""Calls per second of the fleet to the new version, by the slack. A report and
a directive take up to 1.5 s: so many bad answers come in before a verdict takes
effect."""
CALLS_TO_MAX = 60
"""Compared calls after which the full rate is used."""
PPM = 1_000_000
SPARE_FACTOR = 1.5
"""Factor on the load that the warm targets must be able to take while others
are cold: one that restarts again and again must not hold up the order."""
ALONE_S = 1.5
"""Time without any target of another version after which there is nothing to
compare with, and the order is carried out already."""
MIN_NEW_TARGETS_SHARE = 0.5
"""Least number of new targets, by that of the old ones. Their capacity is
measured with few calls."""


@unique
class RolloutReason(Enum):
    """Why an order got its verdict."""

    NONE = 'none'
    ALIKE = 'alike'
    ALONE = 'alone'
    MORE_FAILURES = 'more_failures'
    SLOWER = 'slower'
    NOT_PROVEN = 'not_proven'
    NO_CAPACITY = 'no_capacity'
    NEVER_APPEARED = 'never_appeared'
    WITHDRAWN = 'withdrawn'
    HEARD = 'heard'


@dataclass(frozen=True, slots=True)
class FleetRollout:
    """Sum of the fresh reports on an order.

    Attributes:
        requests_per_s: Requests to the service.
        verdict: Highest verdict that any node has heard of.
        is_whole: Whether no known node is missing.
    """

    requests_per_s: float
    targets: VersionTargets
    verdict: Verdict
    is_whole: bool = True


class RolloutProgress:
    """Progress of one order.

    Attributes:
        order: The order.
        verdict: Decision so far.
        reason: Why.
        comparison: Evidence so far.

    Args:
        order: The order.
        began_s: Monotonic time of the order.
        slack_calls: Bad answers that are allowed in any case.
    """

    def __init__(
        self, order: RolloutOrder, began_s: float, slack_calls: float = 50
    ) -> None:
        """Start undecided."""
        self.order = order
        self.verdict = Verdict.NONE
        self.reason = RolloutReason.NONE
        self.comparison = VersionComparison()
        self._began_s = began_s
        self._slack_calls = slack_calls
        self._requests_per_s = 0.0
        self._has_appeared = False
        self._had_old = False
        self._is_ready = False
        self._alone_since_s: float | None = None

    @property
    def began_s(self) -> float:
        """Return the monotonic time of the order."""
        return self._began_s

    def began_earlier(self, began_s: float) -> None:
        """Apply the age of the order as another node knows it."""
        self._began_s = min(self._began_s, began_s)

    def add_counts(self, counts: Iterable[RouteCounts]) -> None:
        """Add the calls of one report.

        Once the old targets close there is nothing to compare with: a burst of
        failures would be taken for the version's.
        """
        if self.verdict is Verdict.NONE:
            self.comparison.add(counts)

    def step(self, now_s: float, fleet: FleetRollout) -> None:
        """Decide by the reports so far."""
        self._requests_per_s = fleet.requests_per_s
        self._has_appeared |= fleet.targets.new_targets > 0
        self._had_old |= fleet.targets.old_targets > 0
        self.heard(fleet.verdict)
        self.comparison.decay(now_s)
        if self.verdict is Verdict.NONE:
            self._decide(now_s, fleet.targets)
        elif self.verdict is Verdict.ACCEPTED:
            self._check_accepted(now_s, fleet)

    def heard(self, verdict: Verdict) -> None:
        """Adopt a later decision that a node has heard of."""
        if verdict > self.verdict:
            self._set_verdict(verdict, RolloutReason.HEARD)

    def withdraw(self) -> None:
        """Reject an order that was withdrawn before its status was final."""
        if not self.verdict.is_final:
            self._set_verdict(Verdict.REJECTED, RolloutReason.WITHDRAWN)

    def status_acknowledged(self, state: RolloutState) -> None:
        """Apply a status that the store holds for this order."""
        match state:
            case RolloutState.COMPLETED:
                self._set_verdict(Verdict.COMPLETED, self.reason)
            case RolloutState.ROLLED_BACK:
                self._set_verdict(Verdict.ROLLED_BACK, self.reason)

    def status_to_store(self) -> RolloutState:
        """Return the status that the store is to hold now."""
        if self.verdict.is_against_new:
            return RolloutState.ROLLED_BACK
        if self.verdict is Verdict.COMPLETED or self._is_ready:
            return RolloutState.COMPLETED
        return RolloutState.RUNNING

    def spend_ppm(self) -> int:
        """Return the probability of spending credit on a request, in ppm."""
        if self.verdict is not Verdict.NONE:
            return 0
        progress = min(1.0, self.comparison.new_calls / CALLS_TO_MAX)
        share = FIRST_EXPOSED_SHARE + progress * (
            MAX_EXPOSED_SHARE - FIRST_EXPOSED_SHARE
        )
        exposed_per_s = share * self._slack_calls
        return int(PPM * min(1.0, exposed_per_s / max(self._requests_per_s, 1)))

    def _set_verdict(self, verdict: Verdict, reason: RolloutReason) -> None:
        self.verdict = verdict
        self.reason = reason

    def elapsed_share(self, now_s: float) -> float:
        """Return the share of the duration that has passed."""
        return (now_s - self._began_s) / max(self.order.duration_s, 0.001)

    def _decide(self, now_s: float, targets: VersionTargets) -> None:
        evidence = self.comparison.evidence()
        if self._reject_if_bad(evidence):
            return
        if self._is_alone(now_s, targets):
            self._set_verdict(Verdict.ACCEPTED, RolloutReason.ALONE)
            return
        elapsed_share = self.elapsed_share(now_s)
        is_alike = evidence is Evidence.ALIKE
        if elapsed_share >= LATEST_DECISION_SHARE:
            is_alike = self.comparison.is_plausible()
        if (
            is_alike
            and elapsed_share >= EARLIEST_ACCEPT_SHARE
            and _can_take_over(targets)
        ):
            self._set_verdict(Verdict.ACCEPTED, RolloutReason.ALIKE)
        elif elapsed_share >= LATEST_DECISION_SHARE:
            self._set_verdict(
                Verdict.REJECTED, self._reason_of_late(is_alike=is_alike)
            )

    def _reason_of_late(self, *, is_alike: bool) -> RolloutReason:
        if not self._has_appeared:
            return RolloutReason.NEVER_APPEARED
        if is_alike:
            return RolloutReason.NO_CAPACITY
        return RolloutReason.NOT_PROVEN

    def _check_accepted(self, now_s: float, fleet: FleetRollout) -> None:
        """Complete the order once the old targets are closed and empty."""
        targets = fleet.targets
        is_moved = not (targets.old_targets or targets.old_in_flight)
        if is_moved and targets.new_targets and fleet.is_whole:
            self._is_ready = True
        elif (
            not self._is_ready
            and self.elapsed_share(now_s) >= LATEST_COMPLETION_SHARE
        ):
            self._set_verdict(Verdict.REJECTED, RolloutReason.NO_CAPACITY)

    def _reject_if_bad(self, evidence: Evidence) -> bool:
        match evidence:
            case Evidence.MORE_FAILURES:
                self._set_verdict(Verdict.REJECTED, RolloutReason.MORE_FAILURES)
            case Evidence.SLOWER:
                self._set_verdict(Verdict.REJECTED, RolloutReason.SLOWER)
            case _:
                return False
        return True

    def _is_alone(self, now_s: float, targets: VersionTargets) -> bool:
        """Return whether there never was a target of another version."""
        if self._had_old or not targets.new_targets:
            self._alone_since_s = None
            return False
        if self._alone_since_s is None:
            self._alone_since_s = now_s
        return now_s - self._alone_since_s >= ALONE_S


def _can_take_over(targets: VersionTargets) -> bool:
    """Return whether the new targets are warm and can take the load."""
    warm = targets.new_targets - targets.new_cold
    needed = targets.offered_deci_per_s
    if targets.new_cold:
        needed = int(needed * SPARE_FACTOR)
    return (
        warm >= MIN_NEW_TARGETS_SHARE * targets.old_targets
        and targets.new_deci_per_s >= needed
    )
