"""Results and errors of calls made through the caller library."""

from dataclasses import dataclass

from rattanstile.errors import RattanstileError
from rattanstile.request.envelope import Header, Reply
from rattanstile.request.outcome import Outcome, Reason

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Answer:
    """The target's complete answer.

    Attributes:
        status: HTTP status sent by the target.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


class CallError(RattanstileError):
    """A call ended without a complete answer.

    Attributes:
        reason: Why the call ended without one.
        retry_after_s: Seconds after which a retry can help; 0 if it can't or
            if no delay is known.
    """

    def __init__(self, reason: Reason, retry_after_s: float = 0) -> None:
        """Initialize the error; its message is built from the reason."""
        super().__init__(f'{type(self).__name__}: {reason.value}')
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRunError(CallError):
    """The call did not run: it can be retried or reported as refused."""


class FailedError(CallError):
    """The target ran the call and answered with an error.

    Attributes:
        status: HTTP status sent by the target.
        body: Response body sent by the target.
    """

    def __init__(self, reason: Reason, status: int, body: bytes) -> None:
        """Initialize the error from the target's response."""
        super().__init__(reason)
        self.status = status
        self.body = body


class UnknownError(CallError):
    """The call may have run: check its effects before retrying it."""


def error_from_reply(reply: Reply) -> CallError:
    """Return the error for a reply that is not a complete answer."""
    reason = reply.reason or Reason.TARGET_FAILED
    match reply.outcome:
        case Outcome.FAILED:
            return FailedError(reason, reply.status, reply.body)
        case Outcome.NOT_RUN:
            return NotRunError(reason, reply.retry_after_ms / _MS_PER_S)
        case _:
            return UnknownError(reason, reply.retry_after_ms / _MS_PER_S)
