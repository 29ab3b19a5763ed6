"""The answer to one request of a caller, whole or in parts."""

from collections.abc import Callable

from rattanstile.connection.http_server import HttpServerConnection
from rattanstile.process.mesh.ports import CallerCodec
from rattanstile.process.mesh.serving.served_stream import CREDIT_BYTES
from rattanstile.request.exchange import AnswerHead, Ending, Streamed


class CallerAnswer:
    """Writes the answer to a request on the caller's connection.

    An answer in parts that ends early is not completed: the connection is
    aborted, so that the caller sees that it is cut.

    Attributes:
        on_taken: Called with the bytes that the caller has taken of an answer
            in parts; None while there is nobody to tell.

    Args:
        codec: Encodes responses.
        connection: Connection of the caller.
        request_id: Identifier of the request.
        is_head: Whether the response has no body.
    """

    def __init__(
        self,
        codec: CallerCodec,
        connection: HttpServerConnection,
        request_id: str,
        *,
        is_head: bool,
    ) -> None:
        """Initialize with nothing written."""
        self.on_taken: Callable[[int], None] | None = None
        self._codec = codec
        self._connection = connection
        self._request_id = request_id
        self._is_head = is_head
        self._head: AnswerHead | None = None
        self._closes = False
        self._unreported_bytes = 0

    def begin_answer(self, head: AnswerHead) -> None:
        """Write the head of an answer in parts."""
        self._head = head
        self._closes = self._connection.closes_after_response
        self._connection.on_writable = self._report_taken
        self._connection.write_part(
            self._codec.encode_head(head, closes=self._closes)
        )

    def add_part(self, part: bytes) -> None:
        """Write a part of the body."""
        if self._head is None or not part:
            return
        self._unreported_bytes += len(part)
        self._connection.write_part(self._codec.encode_part(self._head, part))
        if (
            self._unreported_bytes >= CREDIT_BYTES
            and not self._connection.is_writing_paused
        ):
            self._report_taken()

    def end(self, ending: Ending) -> None:
        """Write what is left of the answer, or a response without one."""
        # The call that this refers to refers to this.
        self.on_taken = None
        if self._head is None:
            closes = self._connection.closes_after_response
            encoded = self._codec.encode(
                self._request_id, ending, closes=closes, is_head=self._is_head
            )
            self._connection.respond(encoded, closes=closes)
        elif isinstance(ending, Streamed):
            last = self._codec.encode_part(self._head, b'')
            self._connection.respond(last, closes=self._closes)
        else:
            self._connection.abort()

    def _report_taken(self) -> None:
        if self._unreported_bytes and self.on_taken is not None:
            taken_bytes = self._unreported_bytes
            self._unreported_bytes = 0
            self.on_taken(taken_bytes)
