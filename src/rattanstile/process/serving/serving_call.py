"""One call that a serving node has in hand, and how its target ended it."""

from dataclasses import dataclass, field

from rattanstile.process.messages import (
    ChildEnded,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
)
from rattanstile.process.serving.pressure import PressureReport
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.ids import CallId, NodeId, OrganisationId
from rattanstile.request.outcome import Outcome, Reason

ERROR_STATUS = 500

RESTART_SIGNS = frozenset(
    (
        TargetFailure.NOT_SENT,
        TargetFailure.RESET,
        TargetFailure.ANSWER_CUT,
    ),
)
"""Failures after which the target may be a newly started one."""

_FAILURES = {
    TargetFailure.NOT_SENT: (Outcome.NOT_RUN, Reason.NO_TARGET),
    TargetFailure.RESET: (Outcome.UNKNOWN, Reason.CONNECTION_LOST),
    TargetFailure.TIMEOUT: (Outcome.UNKNOWN, Reason.DEADLINE),
    TargetFailure.ANSWER_CUT: (Outcome.UNKNOWN, Reason.ANSWER_CUT),
    TargetFailure.CANCELLED: (Outcome.UNKNOWN, Reason.CANCELLED),
}


@dataclass(frozen=True, slots=True)
class Waiter:
    """An attempt that waits for a reply.

    Attributes:
        sender: The node that sent the attempt.
        deadline_s: Monotonic seconds.
    """

    sender: NodeId
    attempt: int
    deadline_s: float
    organisation: OrganisationId


@dataclass(slots=True)
class LiveCall:
    """A call that is queued or runs.

    Attributes:
        arrived_s: Monotonic seconds.
        deadline_s: Monotonic seconds; that of the first attempt.
        waiters: Attempts that get the reply.
        started_s: When it was dispatched; None while it is queued.
        given_up: Whether the target was told that nobody waits any more.
        subtree: Largest pressure that its own calls met.
    """

    call: Call
    arrived_s: float
    deadline_s: float
    waiters: list[Waiter] = field(default_factory=list)
    started_s: float | None = None
    given_up: bool = False
    subtree: PressureReport = PressureReport(0.0, 0.0)

    def is_same_call(self, call: Call) -> bool:
        """Tell whether an attempt with this call's id asks for the same."""
        own = self.call
        return (own.organisation, own.method, own.path, own.body) == (
            call.organisation,
            call.method,
            call.path,
            call.body,
        )

    def take_waiter(self, sender: NodeId, attempt: int) -> Waiter | None:
        """Remove and return a waiting attempt, or None."""
        for waiter in self.waiters:
            if waiter.sender == sender and waiter.attempt == attempt:
                self.waiters.remove(waiter)
                return waiter
        return None

    def take_expired(self, now_s: float) -> list[Waiter]:
        """Remove and return the attempts whose deadline has passed."""
        expired = [one for one in self.waiters if now_s > one.deadline_s]
        if expired:
            self.waiters = [
                one for one in self.waiters if now_s <= one.deadline_s
            ]
        return expired


def child_end(parent: CallId, reply: Reply) -> ChildEnded:
    """Return what the reply of a child call tells its running parent."""
    if reply.subtree_pressure > reply.pressure:
        return ChildEnded(parent, reply.subtree_pressure, reply.subtree_ceiling)
    return ChildEnded(parent, reply.pressure, reply.pressure_ceiling)


def reply_of_answer(call: Call, answered: TargetAnswered) -> Reply:
    """Return the reply for what the target answered."""
    outcome, reason = _outcome_of(answered)
    return Reply(
        call_id=call.call_id,
        attempt=call.attempt,
        outcome=outcome,
        reason=reason,
        status=answered.status,
        headers=answered.headers,
        body=answered.body,
        tries_unspent=answered.tries_unspent,
        failed_below=answered.failed_below,
    )


def reply_of_failure(call: Call, failed: TargetFailed) -> Reply:
    """Return the reply for a target that gave no whole answer."""
    outcome, reason = _FAILURES[failed.failure]
    is_proved = outcome is Outcome.NOT_RUN
    return Reply(
        call_id=call.call_id,
        attempt=call.attempt,
        outcome=outcome,
        reason=reason,
        status=reason.status,
        tries_unspent=call.tries_left if is_proved else 0,
    )


def _outcome_of(answered: TargetAnswered) -> tuple[Outcome, Reason | None]:
    if answered.refused_unrun:
        return Outcome.NOT_RUN, Reason.TARGET_REFUSED
    if answered.status >= ERROR_STATUS:
        return Outcome.FAILED, Reason.TARGET_FAILED
    return Outcome.WHOLE, None
