"""Connects caller connections to the component that handles requests."""

from functools import partial

from result import Err

from rattanstile.connection.http_messages import HttpRequest
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.caller_answer import CallerAnswer
from rattanstile.process.mesh.entry_call import EntryCall, Phase
from rattanstile.process.mesh.entry_handler import EntryHandler
from rattanstile.process.mesh.ports import CallerCodec


class CallerService:
    """Passes on callers' requests and sends the responses.

    Args:
        codec: Decodes requests and encodes responses.
        entry: Handles the requests.
        log: Receives a line for each malformed request.
    """

    def __init__(
        self, codec: CallerCodec, entry: EntryHandler, log: DecisionLog
    ) -> None:
        """Initialize with the codec, the request handler and the log."""
        self._log = log
        self._codec = codec
        self._entry = entry

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Start a request, or reject a malformed one."""
        decoded = self._codec.decode(request)
        is_head = isinstance(request, HttpRequest) and request.method == 'HEAD'
        if isinstance(decoded, Err):
            reason = decoded.err_value.reason
            self._log.write(
                LineKind.REFUSED,
                'request_malformed',
                reason=reason.name.lower(),
            )
            encoded = self._codec.encode(
                '', decoded.err_value, closes=True, is_head=is_head
            )
            connection.respond(encoded, closes=True)
            return
        answer = CallerAnswer(
            self._codec,
            connection,
            decoded.ok_value.request_id,
            is_head=is_head,
        )
        call = self._entry.begin(decoded.ok_value, answer.end, answer)
        if call is not None and call.phase is not Phase.ENDED:
            connection.handler_context = call
            attempts = self._entry.attempts
            answer.on_taken = partial(attempts.answer_taken, call)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Abandon the request that the caller no longer waits for."""
        call = connection.handler_context
        if isinstance(call, EntryCall):
            self._entry.abandon(call)
