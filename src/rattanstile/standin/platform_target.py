"""Stand-in for a target on the users' platform.

It simulates the service time of calls, signs its responses, makes child calls
through the node on its VM, and announces itself to that node.
"""

from collections import Counter
from urllib.parse import parse_qsl, urlsplit

import msgspec
from twisted.internet.interfaces import IReactorTCP

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_exchange import HttpExchanger
from rattanstile.connection.http_messages import (
    HttpRequest,
    HttpResponse,
    encode_chunk,
    encode_request,
    encode_response,
    encode_response_head,
)
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.timers import TimerService
from rattanstile.request.exchange import RawHeader
from rattanstile.standin.endless_answers import EndlessAnswer, endless_answer

INCARNATION_START_MS = 1_700_000_000_000
"""Start that every stand-in announces, in milliseconds since the epoch."""
ANNOUNCE_TIMEOUT_S = 1.0
CHILD_TIMEOUT_S = 2.0
_MS_PER_S = 1000


class TargetPlan(msgspec.Struct, frozen=True):
    """Settings of a stand-in target.

    Attributes:
        announce_to: Address at which its node accepts announcements.
        calls_to: Address at which its node accepts calls.
        child_host: Host of the child calls that ``child=PATH`` requests.
        announced_address: Address that it announces; empty for `address`.
        version: Version that it announces.
        failing_percent: Share of its runs that it fails.
    """

    target_id: str
    service: str
    address: str
    announce_to: str
    calls_to: str
    child_host: str = ''
    slots: int = 10
    cold_ms: int = 0
    announced_address: str = ''
    version: str = 'v1'
    failing_percent: int = 0


class TargetStandIn:
    """One target.

    Attributes:
        runs: Number of runs, by request ID.
        received_headers: Headers of each call that was run.
        endless_bytes: Bytes written of answers without end.
        is_draining: Whether it announces that it drains.
        is_acknowledged: Whether its node acknowledged its deregistration.
    """

    def __init__(
        self, reactor: IReactorTCP, timers: TimerService, plan: TargetPlan
    ) -> None:
        """Initialize without runs."""
        self.runs: Counter[str] = Counter()
        self.received_headers: list[dict[str, str]] = []
        self.endless_bytes = 0
        self._endless: dict[HttpServerConnection, HttpRequest] = {}
        self.is_draining = False
        self.is_acknowledged = False
        self._is_deregistered = False
        self._timers = timers
        self._plan = plan
        self._sequence = 0
        self._announcer = HttpExchanger(reactor, timers, plan.announce_to)
        self._caller = HttpExchanger(reactor, timers, plan.calls_to)

    def deregister(self) -> None:
        """Deregister and stop the heartbeats; continue to serve calls."""
        self._is_deregistered = True
        path = f'/v1/instances/{self._plan.target_id}/deregister'
        body = msgspec.json.encode({'born': INCARNATION_START_MS})
        encoded = encode_request('POST', path, ((b'host', b'node'),), body)
        result = self._announcer.send(encoded, ANNOUNCE_TIMEOUT_S)
        result.addCallback(self._deregister_ended)

    def _deregister_ended(self, end: HttpResponse | ExchangeFailure) -> None:
        self.is_acknowledged = isinstance(end, HttpResponse)

    def announce(self, now_s: float) -> None:
        """Send a heartbeat."""
        if self._is_deregistered:
            return
        self._sequence += 1
        plan = self._plan
        heartbeat = {
            'address': plan.announced_address or plan.address,
            'born': INCARNATION_START_MS,
            'info': {
                'service': plan.service,
                'version': plan.version,
                'zone': 'east',
                'slots': plan.slots,
            },
            'status': {
                'state': 'draining' if self.is_draining else 'ready',
                'sequence': self._sequence,
                'coldRemaining': f'{plan.cold_ms}ms',
            },
        }
        path = f'/v1/instances/{plan.target_id}/heartbeat'
        encoded = encode_request(
            'POST', path, ((b'host', b'node'),), msgspec.json.encode(heartbeat)
        )
        self._announcer.send(encoded, ANNOUNCE_TIMEOUT_S)

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Respond to a probe or run a call."""
        if not isinstance(request, HttpRequest):
            connection.abort()
            return
        expected = request.header(b'expect-instance')
        own = self._plan.target_id.encode()
        if request.path == '/healthz':
            self._respond(connection, 200, ((b'instance-id', own),), b'')
        elif expected not in {None, own}:
            other = (*_request_id_header(request), (b'instance-id', own))
            self._respond(connection, 421, other, b'')
        else:
            self._run(connection, request)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Cancel the run; the caller has disconnected."""
        connection.handler_context = None
        self._endless.pop(connection, None)

    def _run(
        self, connection: HttpServerConnection, request: HttpRequest
    ) -> None:
        query = dict(parse_qsl(urlsplit(request.path).query))
        request_id = (request.header(b'request-id') or b'').decode()
        self.runs[request_id] += 1
        self.received_headers.append(
            {name.decode(): text.decode() for name, text in request.headers}
        )
        connection.handler_context = request
        service_time_s = int(query.get('ms', '0')) / _MS_PER_S
        self._timers.after(
            service_time_s,
            lambda _: self._finish_run(connection, request, query),
        )

    def _finish_run(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        query: dict[str, str],
    ) -> None:
        if connection.handler_context is not request:
            return
        if self._is_failing():
            self._respond(connection, 500, _request_id_header(request), b'')
            return
        match query.get('fault'):
            case 'reset':
                connection.abort()
            case 'endless':
                shape = query.get('shape', 'body')
                endless = endless_answer(shape, _signed_headers(request))
                self._write_without_end(connection, request, endless)
            case 'unsigned':
                self._respond(
                    connection, 200, _request_id_header(request), b'spoiled'
                )
            case _:
                self._complete_run(connection, request, query)

    def _is_failing(self) -> bool:
        """Return whether a run fails: evenly spread by the percentage."""
        percent = self._plan.failing_percent
        count = self.runs.total()
        return count * percent // 100 > (count - 1) * percent // 100

    def _complete_run(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        query: dict[str, str],
    ) -> None:
        if 'child' in query:
            self._call_child(connection, request, query['child'])
        elif 'cut' in query:
            self._answer_cut(connection, request, query)
        elif 'bytes' in query:
            self._answer(connection, request, b'x' * int(query['bytes']))
        else:
            self._answer(connection, request)

    def _call_child(
        self, connection: HttpServerConnection, request: HttpRequest, path: str
    ) -> None:
        request_id = b'%s-c' % (request.header(b'request-id') or b'')
        encoded = encode_request(
            'GET',
            path,
            (
                (b'host', self._plan.child_host.encode()),
                (b'request-id', request_id),
                (b'request-deadline-ms', b'1500'),
            ),
        )
        result = self._caller.send(encoded, CHILD_TIMEOUT_S)
        result.addCallback(
            lambda end: self._child_ended(connection, request, end)
        )

    def _child_ended(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        end: HttpResponse | ExchangeFailure,
    ) -> None:
        if connection.handler_context is not request:
            return
        if isinstance(end, HttpResponse) and end.status == 200:  # noqa: PLR2004
            self._answer(connection, request)
        else:
            self._respond(connection, 500, _request_id_header(request), b'')

    def _answer(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        body: bytes | None = None,
    ) -> None:
        if body is None:
            body = b'whole %s' % request.body
        self._respond(connection, 200, _signed_headers(request), body)

    def _answer_cut(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        query: dict[str, str],
    ) -> None:
        """Write the first bytes of an answer and close the connection."""
        body = b'x' * int(query.get('bytes', '5'))
        length_bytes: int | None = len(body)
        written_body = body
        if query.get('framing') == 'chunked':
            length_bytes = None
            written_body = encode_chunk(body) + encode_chunk(b'')
        head = encode_response_head(200, _signed_headers(request), length_bytes)
        written = (head + written_body)[: int(query['cut'])]
        connection.respond(written, closes=True)

    def _write_without_end(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        endless: EndlessAnswer,
    ) -> None:
        """Write until the connection closes."""
        if connection.handler_context is not request:
            return
        connection.on_writable = lambda: self._write_without_end(
            connection, request, endless
        )
        if self._endless.get(connection) is not request:
            self._endless[connection] = request
            connection.write_part(endless.head)
        while (
            connection.handler_context is request
            and not connection.is_writing_paused
        ):
            self.endless_bytes += len(endless.part)
            connection.write_part(endless.part)

    def _respond(
        self,
        connection: HttpServerConnection,
        status: int,
        headers: tuple[RawHeader, ...],
        body: bytes,
    ) -> None:
        closes = connection.closes_after_response
        connection.respond(
            encode_response(status, headers, body, closes=closes),
            closes=closes,
        )


def _signed_headers(request: HttpRequest) -> tuple[RawHeader, ...]:
    return (*_request_id_header(request), (b'response-signature', b's1'))


def _request_id_header(request: HttpRequest) -> tuple[RawHeader, ...]:
    return ((b'request-id', request.header(b'request-id') or b''),)
