"""Stand-in of a target on the users' platform.

It runs calls for a while, signs its answers, makes calls of its own through
the node beside it, and announces itself there.
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
    encode_request,
    encode_response,
)
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.timers import TimerService
from rattanstile.request.exchange import RawHeader

BORN_MS = 1_700_000_000_000
"""Start of every stand-in, in milliseconds since the epoch."""
ANNOUNCE_TIMEOUT_S = 1.0
CHILD_TIMEOUT_S = 2.0
_MS_PER_S = 1000


class TargetPlan(msgspec.Struct, frozen=True):
    """What a stand-in target is told.

    Attributes:
        announce_to: Where its node takes announcements.
        calls_to: Where its node takes calls.
        child_host: Host of the calls that it makes for ``child=PATH``.
        announced_address: What it says of `address`; empty for the truth.
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


class TargetStandIn:
    """One target.

    Attributes:
        runs: How often each request id was run.
        is_acknowledged: Whether its node has taken its deregistration.
    """

    def __init__(
        self, reactor: IReactorTCP, timers: TimerService, plan: TargetPlan
    ) -> None:
        """Begin without runs."""
        self.runs: Counter[str] = Counter()
        self.seen: list[dict[str, str]] = []
        self.is_leaving = False
        self.is_acknowledged = False
        self._is_silent = False
        self._timers = timers
        self._plan = plan
        self._sequence = 0
        self._announcer = HttpExchanger(reactor, timers, plan.announce_to)
        self._caller = HttpExchanger(reactor, timers, plan.calls_to)

    def deregister(self) -> None:
        """Say that it goes, and no more; it goes on serving."""
        self._is_silent = True
        path = f'/v1/instances/{self._plan.target_id}/deregister'
        body = msgspec.json.encode({'born': BORN_MS})
        written = encode_request('POST', path, ((b'host', b'node'),), body)
        told = self._announcer.send(written, ANNOUNCE_TIMEOUT_S)
        told.addCallback(self._deregistered)

    def _deregistered(self, end: HttpResponse | ExchangeFailure) -> None:
        self.is_acknowledged = isinstance(end, HttpResponse)

    def announce(self, now_s: float) -> None:
        """Send a heartbeat."""
        if self._is_silent:
            return
        self._sequence += 1
        plan = self._plan
        told = {
            'address': plan.announced_address or plan.address,
            'born': BORN_MS,
            'info': {
                'service': plan.service,
                'version': 'v1',
                'zone': 'east',
                'slots': plan.slots,
            },
            'status': {
                'state': 'draining' if self.is_leaving else 'ready',
                'sequence': self._sequence,
                'coldRemaining': f'{plan.cold_ms}ms',
            },
        }
        path = f'/v1/instances/{plan.target_id}/heartbeat'
        written = encode_request(
            'POST', path, ((b'host', b'node'),), msgspec.json.encode(told)
        )
        self._announcer.send(written, ANNOUNCE_TIMEOUT_S)

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Run a call."""
        if not isinstance(request, HttpRequest):
            connection.abort()
            return
        expected = request.header(b'expect-instance')
        own = self._plan.target_id.encode()
        if request.path == '/healthz':
            self._respond(connection, 200, ((b'instance-id', own),), b'')
        elif expected not in {None, own}:
            self._respond(connection, 421, ((b'instance-id', own),), b'')
        else:
            self._run(connection, request)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Stop at once: nobody waits for the answer."""
        connection.handler_context = None

    def _run(
        self, connection: HttpServerConnection, request: HttpRequest
    ) -> None:
        asked = dict(parse_qsl(urlsplit(request.path).query))
        request_id = (request.header(b'request-id') or b'').decode()
        self.runs[request_id] += 1
        self.seen.append(
            {name.decode(): text.decode() for name, text in request.headers}
        )
        connection.handler_context = request
        work_s = int(asked.get('ms', '0')) / _MS_PER_S
        self._timers.after(
            work_s, lambda _: self._worked(connection, request, asked)
        )

    def _worked(
        self,
        connection: HttpServerConnection,
        request: HttpRequest,
        asked: dict[str, str],
    ) -> None:
        if connection.handler_context is not request:
            return
        if asked.get('fault') == 'reset':
            connection.abort()
        elif asked.get('fault') == 'unsigned':
            self._respond(connection, 200, _echo(request), b'spoiled')
        elif 'child' in asked:
            self._call_child(connection, request, asked['child'])
        else:
            self._answer(connection, request)

    def _call_child(
        self, connection: HttpServerConnection, request: HttpRequest, path: str
    ) -> None:
        request_id = b'%s-c' % (request.header(b'request-id') or b'')
        written = encode_request(
            'GET',
            path,
            (
                (b'host', self._plan.child_host.encode()),
                (b'request-id', request_id),
                (b'request-deadline-ms', b'1500'),
            ),
        )
        result = self._caller.send(written, CHILD_TIMEOUT_S)
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
            self._respond(connection, 500, _echo(request), b'')

    def _answer(
        self, connection: HttpServerConnection, request: HttpRequest
    ) -> None:
        signed = (*_echo(request), (b'response-signature', b's1'))
        self._respond(connection, 200, signed, b'whole %s' % request.body)

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


def _echo(request: HttpRequest) -> tuple[RawHeader, ...]:
    return ((b'request-id', request.header(b'request-id') or b''),)
