"""Decides whether the caller library tries a call again."""

import random
from dataclasses import dataclass

from result import Err, Ok, Result

from rattanstile.connection.call_outcomes import (
    Answer,
    CallError,
    NotRunError,
    UnknownError,
    error_of,
)
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import ServiceName
from rattanstile.request.outcome import Outcome, Reason

MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

_FINAL_REFUSALS = frozenset(
    (
        Reason.MALFORMED,
        Reason.KEY_REFUSED,
        Reason.NO_SUCH_SERVICE,
        Reason.TOO_LARGE,
        Reason.DEADLINE,
        Reason.HOP_LIMIT,
        Reason.CANCELLED,
    ),
)
_FINAL_UNKNOWNS = frozenset(
    (Reason.DEADLINE, Reason.HOME_GONE, Reason.EXPIRED),
)


@dataclass(frozen=True, slots=True)
class Retry:
    """Make another attempt.

    Attributes:
        after_s: How long to wait first.
        is_new_call: Whether the earlier attempts are known not to have run,
            so that the next one is a call of its own.
    """

    delay_s: float
    is_new_call: bool


@dataclass(frozen=True, slots=True)
class EndCall:
    """End the call."""

    result: Result[Answer, CallError]


Decision = Retry | EndCall


class CallRetries:
    """Follows the attempts of one call.

    Args:
        idempotent: Whether a further attempt may run the call again.
        deadline_s: When the caller stops waiting, in monotonic seconds.
        buckets: Retries of all calls, held to a share of the successes.
        chance: Source of the jitter of the back-off.
    """

    def __init__(
        self,
        service: ServiceName,
        *,
        idempotent: bool,
        deadline_s: float,
        buckets: EdgeBuckets,
        chance: random.Random,
    ) -> None:
        """Begin before the first attempt."""
        self.deadline_s = deadline_s
        self._service = service
        self._idempotent = idempotent
        self._buckets = buckets
        self._chance = chance
        self._attempts = 0
        self._may_have_run = False
        self._is_out = False

    def sent(self) -> None:
        """Count an attempt that has left."""
        self._attempts += 1
        self._is_out = True

    def replied(self, now_s: float, reply: Reply) -> Decision:
        """Decide after the reply to the attempt that is out."""
        self._is_out = False
        match reply.outcome:
            case Outcome.WHOLE:
                self._buckets.record_success(self._service)
                return EndCall(
                    Ok(Answer(reply.status, reply.headers, reply.body))
                )
            case Outcome.NOT_RUN:
                return self._refused(now_s, reply)
            case Outcome.UNKNOWN:
                self._may_have_run = True
                return self._left_unknown(now_s, reply)
            case _:
                return EndCall(Err(error_of(reply)))

    def lost(self, now_s: float) -> Decision:
        """Decide after the connection of the attempt went silent or away."""
        self._is_out = False
        self._may_have_run = True
        return self._again(
            now_s, UnknownError(Reason.CONNECTION_LOST), is_new_call=False
        )

    def timed_out(self) -> EndCall:
        """End the call at its deadline."""
        if self._is_out or self._may_have_run:
            return EndCall(Err(UnknownError(Reason.DEADLINE)))
        return EndCall(Err(NotRunError(Reason.DEADLINE)))

    def _refused(self, now_s: float, reply: Reply) -> Decision:
        error: CallError = error_of(reply)
        if self._idempotent and self._may_have_run:
            # The refusal speaks of the last attempt alone.
            error = UnknownError(error.reason, error.retry_after_s)
        else:
            self._may_have_run = False
        if error.reason in _FINAL_REFUSALS:
            return EndCall(Err(error))
        return self._again(now_s, error, is_new_call=True)

    def _left_unknown(self, now_s: float, reply: Reply) -> Decision:
        error = error_of(reply)
        if error.reason in _FINAL_UNKNOWNS:
            return EndCall(Err(error))
        return self._again(now_s, error, is_new_call=False)

    def _again(
        self, now_s: float, error: CallError, *, is_new_call: bool
    ) -> Decision:
        delay_s = max(error.retry_after_s, self._backoff_s())
        if error.reason.is_overload and not error.retry_after_s:
            return EndCall(Err(error))
        if self._attempts >= MAX_ATTEMPTS or now_s + delay_s > self.deadline_s:
            return EndCall(Err(error))
        # The home answers a repeated id from its table: no target pays for it.
        is_repeated_id = not (is_new_call or self._idempotent)
        if not is_repeated_id and not self._buckets.spend(self._service):
            return EndCall(Err(error))
        return Retry(delay_s, is_new_call)

    def _backoff_s(self) -> float:
        grown_s = FIRST_BACKOFF_S * (1 << max(self._attempts - 1, 0))
        return min(grown_s, MAX_BACKOFF_S) * self._chance.uniform(0.5, 1)
