"""Joins the connections of callers and the entry desk."""

from result import Err

from rattanstile.connection.http_messages import HttpRequest
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.decision_log import DecisionLog, Kind
from rattanstile.process.mesh.entry_call import EntryCall, Phase
from rattanstile.process.mesh.entry_handler import EntryHandler
from rattanstile.process.mesh.ports import CallerDialect
from rattanstile.request.exchange import Ending


class CallerService:
    """Hands callers' requests to the desk, and their ends back.

    Args:
        dialect: How callers speak.
        desk: Takes the requests.
        log: Takes what can't be understood.
    """

    def __init__(
        self, codec: CallerDialect, desk: EntryHandler, log: DecisionLog
    ) -> None:
        """Keep all three."""
        self._log = log
        self._codec = codec
        self._desk = desk

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Take a request."""
        decoded = self._codec.decode(request)
        is_head = isinstance(request, HttpRequest) and request.method == 'HEAD'
        if isinstance(decoded, Err):
            reason = decoded.err_value.reason
            self._log.write(
                Kind.REFUSED, 'request_malformed', reason=reason.name.lower()
            )
            written = self._codec.encode(
                '', decoded.err_value, closes=True, is_head=is_head
            )
            connection.respond(written, closes=True)
            return
        asked = decoded.ok_value

        def ended(ending: Ending) -> None:
            closes = connection.closes_after_response
            written = self._codec.encode(
                asked.request_id, ending, closes=closes, is_head=is_head
            )
            connection.respond(written, closes=closes)

        call = self._desk.begin(asked, ended)
        if call is not None and call.phase is not Phase.ENDED:
            connection.handler_context = call

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Drop the request that nobody waits for."""
        call = connection.handler_context
        if isinstance(call, EntryCall):
            self._desk.abandon(call)
