"""Calls in progress at a serving node, and the replies that end them."""

from dataclasses import dataclass, field

from rattanstile.process.messages import (
    ChildCallCompleted,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
)
from rattanstile.process.serving.pressure import PressureReport
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.ids import CallId, NodeId, OrganisationId
from rattanstile.request.outcome import Outcome, Reason

MIN_ERROR_STATUS = 500

RESTART_SIGNS = frozenset(
    (
        TargetFailure.NOT_SENT,
        TargetFailure.RESET,
        TargetFailure.ANSWER_CUT,
    ),
)
"""Failures after which the target may have restarted."""

_FAILURE_OUTCOMES = {
    TargetFailure.NOT_SENT: (Outcome.NOT_RUN, Reason.NO_TARGET),
    TargetFailure.RESET: (Outcome.UNKNOWN, Reason.CONNECTION_LOST),
    TargetFailure.TIMEOUT: (Outcome.UNKNOWN, Reason.DEADLINE),
    TargetFailure.ANSWER_CUT: (Outcome.UNKNOWN, Reason.ANSWER_CUT),
    TargetFailure.CANCELLED: (Outcome.UNKNOWN, Reason.CANCELLED),
}


@dataclass(frozen=True, slots=True)
class Waiter:
    """An attempt that waits for the reply of its call.

    Attributes:
        sender: The node that sent the attempt.
        deadline_s: Deadline of this attempt, in monotonic seconds.
    """

    sender: NodeId
    attempt: int
    deadline_s: float
    organisation: OrganisationId


@dataclass(slots=True)
class LiveCall:
    """A call that is queued or running.

    Attributes:
        arrived_s: Arrival of the first attempt, in monotonic seconds.
        deadline_s: Deadline of the first attempt, in monotonic seconds.
        waiters: Attempts that get the reply.
        dispatched_s: When the call was dispatched, in monotonic seconds; None
            while it is queued.
        is_cancel_sent: Whether the run on the target was cancelled because no
            attempt waits for it any more.
        subtree: Highest pressure met by the calls that this call made.
    """

    call: Call
    arrived_s: float
    deadline_s: float
    waiters: list[Waiter] = field(default_factory=list)
    dispatched_s: float | None = None
    is_cancel_sent: bool = False
    subtree: PressureReport = PressureReport(0.0, 0.0)

    def is_same_call(self, call: Call) -> bool:
        """Return whether an attempt with the same id is the same request."""
        own = self.call
        return (own.organisation, own.method, own.path, own.body) == (
            call.organisation,
            call.method,
            call.path,
            call.body,
        )

    def pop_waiter(self, sender: NodeId, attempt: int) -> Waiter | None:
        """Remove and return a waiting attempt; None if it does not wait."""
        for waiter in self.waiters:
            if waiter.sender == sender and waiter.attempt == attempt:
                self.waiters.remove(waiter)
                return waiter
        return None

    def pop_expired_waiters(self, now_s: float) -> list[Waiter]:
        """Remove and return the attempts whose deadline has passed."""
        expired = [
            waiter for waiter in self.waiters if now_s > waiter.deadline_s
        ]
        if expired:
            self.waiters = [
                waiter for waiter in self.waiters if now_s <= waiter.deadline_s
            ]
        return expired


def child_end(parent: CallId, reply: Reply) -> ChildCallCompleted:
    """Return the event that reports a child call's pressure to its parent."""
    if reply.subtree_pressure > reply.pressure:
        return ChildCallCompleted(
            parent, reply.subtree_pressure, reply.subtree_ceiling
        )
    return ChildCallCompleted(parent, reply.pressure, reply.pressure_ceiling)


def reply_of_answer(call: Call, answer: TargetAnswered) -> Reply:
    """Return the reply for an answer of the target."""
    outcome, reason = _outcome_of(answer)
    return Reply(
        call_id=call.call_id,
        attempt=call.attempt,
        outcome=outcome,
        reason=reason,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
        tries_unspent=answer.tries_unspent,
        failed_below=answer.failed_below,
    )


def reply_of_failure(call: Call, failed: TargetFailed) -> Reply:
    """Return the reply for a call that the target did not fully answer."""
    outcome, reason = _FAILURE_OUTCOMES[failed.failure]
    is_not_run = outcome is Outcome.NOT_RUN
    return Reply(
        call_id=call.call_id,
        attempt=call.attempt,
        outcome=outcome,
        reason=reason,
        status=reason.status,
        tries_unspent=call.tries_left if is_not_run else 0,
    )


def _outcome_of(answer: TargetAnswered) -> tuple[Outcome, Reason | None]:
    if answer.stated_not_run:
        return Outcome.NOT_RUN, Reason.TARGET_REFUSED
    if answer.status >= MIN_ERROR_STATUS:
        return Outcome.FAILED, Reason.TARGET_FAILED
    return Outcome.WHOLE, None
