"""Connects caller connections to the component that handles requests."""

from functools import partial

from result import Err

from rattanstile.connection.http_messages import HttpRequest
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
    RequestFault,
)
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry.caller_answer import CallerAnswer
from rattanstile.process.mesh.entry.entry_call import EntryCall, Phase
from rattanstile.process.mesh.entry.entry_handler import EntryHandler
from rattanstile.process.mesh.entry.request_checks import NOT_READY_RETRY_S
from rattanstile.process.mesh.placement.attempts import MS_PER_S
from rattanstile.process.mesh.ports import CallerCodec, InvalidRequest
from rattanstile.request.exchange import NotRun, NotRunReason, RawHeader

MAX_ID_CHARACTERS = 64
MAX_DETAIL_CHARACTERS = 80

_LIMITS = frozenset((NotRunReason.HEAD_TOO_LARGE, NotRunReason.BODY_TOO_LARGE))


class CallerService:
    """Passes on callers' requests and sends the responses.

    Args:
        codec: Decodes requests and encodes responses.
        entry: Handles the requests.
        context: Its log receives a line for each malformed request.
    """

    def __init__(
        self, codec: CallerCodec, entry: EntryHandler, context: NodeContext
    ) -> None:
        """Initialize with the codec and the request handler."""
        self._context = context
        self._codec = codec
        self._entry = entry

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Start a request, or reject a malformed one."""
        decoded = self._codec.decode(request)
        is_head = isinstance(request, HttpRequest) and request.method == 'HEAD'
        if isinstance(decoded, Err):
            invalid = decoded.err_value
            request_id = self._codec.request_id(
                _known_headers(connection, request)
            )
            self._log_invalid(connection, request_id, invalid)
            encoded = self._codec.encode(
                request_id, self._refusal(invalid), closes=True, is_head=is_head
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
            if isinstance(call.sink, CallerAnswer):
                # The call, its answer and the connection refer to each other.
                call.sink.on_taken = None

    def _refusal(self, invalid: InvalidRequest) -> NotRun:
        """Return what the caller is told.

        Before the first version the limits that operators set are unknown; a
        version that this node hasn't heard of may have raised them.
        """
        if invalid.ending.reason not in _LIMITS:
            return invalid.ending
        context = self._context
        if context.state().config is None:
            return NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_S)
        if not context.knows_newest(context.timers.now_s()):
            return NotRun(NotRunReason.CONFIG_STALE, NOT_READY_RETRY_S)
        return invalid.ending

    def _log_invalid(
        self,
        connection: HttpServerConnection,
        request_id: str,
        invalid: InvalidRequest,
    ) -> None:
        reason = invalid.ending.reason.name.lower()
        self._context.counters.invalid[reason] += 1
        fields: dict[str, object] = {'detail': invalid.detail}
        if not invalid.detail and connection.fault is not None:
            fields = _fault_fields(connection.fault)
        # A crowd must not displace the lines of callers to be helped.
        gave_way = invalid.ending.reason is NotRunReason.OVERLOADED
        self._context.log.write(
            LineKind.CLIENT if gave_way else LineKind.INVALID,
            'request_malformed',
            request=request_id[:MAX_ID_CHARACTERS],
            reason=reason,
            version=self._context.version,
            **fields,
        )


def _known_headers(
    connection: HttpServerConnection, request: ReceivedRequest
) -> tuple[RawHeader, ...]:
    """Return the headers of a request as far as they were received."""
    if isinstance(request, HttpRequest):
        return request.headers
    return () if connection.fault is None else connection.fault.headers


def _fault_fields(fault: RequestFault) -> dict[str, object]:
    return {
        'detail': fault.detail[:MAX_DETAIL_CHARACTERS],
        'head_bytes': fault.head_bytes,
        'body_bytes': fault.body_bytes,
        'age_ms': int(fault.age_s * MS_PER_S),
        'requests_before': fault.requests_before,
    }
