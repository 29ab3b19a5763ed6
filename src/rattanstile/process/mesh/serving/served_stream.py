"""Large answers of the target, passed on in parts.

The load pattern: answers of many times the usual size, and callers that read
them slowly or stop. A node holds a bounded part of each answer: when that much
is on its way to the caller, the target's connection isn't read until the
caller has taken some of it.
"""

from collections.abc import Callable

from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.target_pool import TargetExchange
from rattanstile.process.mesh.ports import RunAnswered, RunOutcome
from rattanstile.request.exchange import AnswerHead, AnswerSink

WINDOW_BYTES = 256 * 1024
"""Bytes of one answer that may be on their way to the caller."""
CREDIT_BYTES = WINDOW_BYTES // 4
"""The caller's side reports what it has taken in steps of this size."""
STALL_S = 5.0
"""Silence of a target within an answer after which it is given up; targets
and callers that read slowly are not silent that long."""


class ServedStream:
    """The answer to one call, as it arrives.

    Attributes:
        has_begun: Whether the answer is passed on in parts.

    Args:
        sink: Receives the answer.
        decode: Decodes a response of the target.
        now_s: Returns monotonic seconds.
    """

    def __init__(
        self,
        sink: AnswerSink,
        decode: Callable[[HttpResponse], RunOutcome],
        now_s: Callable[[], float],
    ) -> None:
        """Initialize without an answer."""
        self.has_begun = False
        self.exchange: TargetExchange | None = None
        self._sink = sink
        self._decode = decode
        self._now_s = now_s
        self._untaken_bytes = 0
        self._is_paused = False
        self._received_s = 0.0

    def begin_body(
        self, response: HttpResponse, length_bytes: int | None
    ) -> bool:
        """Pass on the head of the answer, unless it isn't acceptable."""
        outcome = self._decode(response)
        if not isinstance(outcome, RunAnswered):
            return False
        self.has_begun = True
        answer = outcome.answer
        self._sink.begin_answer(
            AnswerHead(
                answer.status, answer.phrase, answer.headers, length_bytes
            )
        )
        return True

    def add_body_part(self, part: bytes) -> None:
        """Pass on a part; stop reading while the window is full."""
        self._received_s = self._now_s()
        self._untaken_bytes += len(part)
        self._sink.add_part(part)
        if self._untaken_bytes > WINDOW_BYTES and not self._is_paused:
            self._is_paused = True
            if self.exchange is not None:
                self.exchange.pause()

    def taken(self, size_bytes: int) -> None:
        """Count bytes that the caller has taken."""
        self._untaken_bytes -= size_bytes
        if self._is_paused and self._untaken_bytes <= WINDOW_BYTES // 2:
            self._is_paused = False
            self._received_s = self._now_s()
            if self.exchange is not None:
                self.exchange.resume()

    def is_stalled(self, now_s: float) -> bool:
        """Return whether the target has been silent for too long."""
        return (
            self.has_begun
            and not self._is_paused
            and now_s - self._received_s > STALL_S
        )
