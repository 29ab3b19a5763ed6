"""How a call ends for a user of the caller library."""

from dataclasses import dataclass

from rattanstile.errors import RattanstileError
from rattanstile.request.envelope import Header, Reply
from rattanstile.request.outcome import Outcome, Reason

_MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Answer:
    """The target's whole answer.

    Attributes:
        status: The target's own HTTP status.
    """

    status: int
    headers: tuple[Header, ...]
    body: bytes


class CallError(RattanstileError):
    """A call ended without a whole answer.

    Attributes:
        reason: Why.
        retry_after_s: When trying again helps; 0 where it doesn't.
    """

    def __init__(self, reason: Reason, retry_after_s: float = 0) -> None:
        """Build the message from the reason."""
        super().__init__(f'{type(self).__name__}: {reason.value}')
        self.reason = reason
        self.retry_after_s = retry_after_s


class NotRunError(CallError):
    """The call did not run: it can be made again, or reported as refused."""


class FailedError(CallError):
    """The target ran the call and answered with an error.

    Attributes:
        status: The target's own HTTP status.
        body: The target's own body.
    """

    def __init__(self, reason: Reason, status: int, body: bytes) -> None:
        """Keep what the target said."""
        super().__init__(reason)
        self.status = status
        self.body = body


class UnknownError(CallError):
    """The call may have run: look before making it again."""


def error_of(reply: Reply) -> CallError:
    """Return the error that a reply other than a whole answer stands for."""
    reason = reply.reason or Reason.TARGET_FAILED
    match reply.outcome:
        case Outcome.FAILED:
            return FailedError(reason, reply.status, reply.body)
        case Outcome.NOT_RUN:
            return NotRunError(reason, reply.retry_after_ms / _MS_PER_S)
        case _:
            return UnknownError(reason, reply.retry_after_ms / _MS_PER_S)
