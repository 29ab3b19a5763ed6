"""HTTP/1.1 server connections: whole requests in, responses out.

Requests of one connection are handled one after another. All that a caller
can make the process hold is bounded: head, body, bodies of all connections,
requests sent ahead.
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any
from typing import Protocol as Interface

import httptools
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol, ServerFactory

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.http_messages import HttpRequest
from rattanstile.connection.liveness import set_liveness_options
from rattanstile.request.exchange import RawHeader
from rattanstile.version.fleet_config import CallerLimits

MAX_ALL_BODIES_BYTES = 48 * 1024 * 1024
"""About a sixth of the memory of the smallest VM."""
MAX_SENT_AHEAD = 8
UNREAD_TIMEOUT_S = 30.0
BACKLOG = 512
"""Most clients reconnect within one second of a restart."""

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@unique
class BadRequest(Enum):
    """Bytes that are no acceptable request; the connection must close."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    NO_MEMORY = 'no-memory'
    TOO_SLOW = 'too-slow'


ReceivedRequest = HttpRequest | BadRequest


class RequestHandler(Interface):
    """Handles what arrives on the connections of one address."""

    def request_received(
        self, connection: 'HttpServerConnection', request: ReceivedRequest
    ) -> None:
        """Take a request; `connection.respond` is called once for it."""

    def connection_lost(self, connection: 'HttpServerConnection') -> None:
        """Learn that nobody waits for the answer of a taken request."""


@dataclass(eq=False, slots=True)
class BodiesHeld:
    """Counts the bytes of the bodies that are held for all connections."""

    held_bytes: int = 0

    def has_room(self, size_bytes: int) -> bool:
        """Tell whether that many more bytes may be held."""
        return self.held_bytes + size_bytes <= MAX_ALL_BODIES_BYTES


@dataclass(eq=False, slots=True)
class ServerState:
    """What the connections of one address share.

    Attributes:
        handler: Takes the requests.
        limits: Gives the limits in force.
        now_s: Gives monotonic seconds.
        is_closing: Whether responses say that the connection closes.
    """

    handler: RequestHandler
    limits: Callable[[], CallerLimits]
    now_s: Callable[[], float]
    bodies: BodiesHeld = field(default_factory=BodiesHeld)
    connections: set['HttpServerConnection'] = field(default_factory=set)
    is_closing: bool = False

    def check(self, now_s: float) -> None:
        """Look for callers that are slow or gone; called now and then."""
        for connection in tuple(self.connections):
            connection.check(now_s)


class _StopParsing(Exception):  # noqa: N818
    """Leaves httptools' parser from within a callback."""


class HttpServerConnection(Protocol):
    """One connection of a caller.

    Attributes:
        answering: What the handler keeps for the request being answered.
    """

    def __init__(self, state: ServerState) -> None:
        """Begin before the first request."""
        self.handler_context: Any = None
        self._state = state
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[ReceivedRequest] = deque()
        self._is_busy = False
        self._is_over = False
        self._is_unread = False
        self._refused: BadRequest | None = None
        self._since_s = state.now_s()
        self._head_since_s: float | None = None
        self._keeps_alive = True
        self._reset()

    # Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection."""
        transport: Any = self.transport
        set_liveness_options(transport)
        transport.registerProducer(self, True)
        self._state.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; those behind a refused request are thrown away."""
        if self._is_over:
            return
        if self._head_since_s is None:
            self._head_since_s = self._state.now_s()
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(self._refused or BadRequest.MALFORMED)
        self._run_next()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tell the handler; nobody waits for an answer."""
        self._state.connections.discard(self)
        self._is_over = True
        self._give_back()
        for waiting in self._waiting:
            self._release(waiting)
        self._waiting.clear()
        if self._is_busy:
            self._state.handler.connection_lost(self)

    def pauseProducing(self) -> None:  # noqa: N802
        """Learn that the caller reads more slowly than it is answered."""
        self._is_unread = True
        self._since_s = self._state.now_s()

    def resumeProducing(self) -> None:  # noqa: N802
        """Learn that the caller has read all that was written."""
        self._is_unread = False
        self._since_s = self._state.now_s()
        self._run_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Learn that the connection closes."""

    # The handler's side

    def respond(self, written: bytes, *, closes: bool = False) -> None:
        """Write the response of the request being answered."""
        self._is_busy = False
        self.handler_context = None
        self._since_s = self._state.now_s()
        write_now(self.transport, written)
        if closes or not self._keeps_alive:
            self._is_over = True
            self.transport.loseConnection()  # type: ignore[union-attr]
        else:
            self._run_next()

    @property
    def closes_after_response(self) -> bool:
        """Tell whether the response has to say that the connection closes."""
        return self._state.is_closing or not self._keeps_alive

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being answered or waits for that."""
        return self._is_busy or bool(self._waiting)

    def abort(self) -> None:
        """Drop the connection at once."""
        self.transport.abortConnection()  # type: ignore[union-attr]

    def check(self, now_s: float) -> None:
        """Look for a caller that is slow or gone."""
        quiet_s = now_s - self._since_s
        if self._is_unread or (self._is_over and not self._is_busy):
            if quiet_s > UNREAD_TIMEOUT_S:
                self.abort()
        elif not self._is_busy:
            self._check_waiting(now_s, quiet_s)

    def _check_waiting(self, now_s: float, quiet_s: float) -> None:
        """Look at a connection on which a request is awaited."""
        limits = self._state.limits()
        if self._head_since_s is None:
            if quiet_s > limits.idle_timeout_s:
                self._is_over = True
                self.transport.loseConnection()  # type: ignore[union-attr]
        elif now_s - self._head_since_s > self._patience_s(limits):
            self._refuse(BadRequest.TOO_SLOW)
            self._run_next()

    def _patience_s(self, limits: CallerLimits) -> float:
        if self._is_in_head:
            return limits.head_timeout_s
        return limits.idle_timeout_s

    # httptools

    def on_message_begin(self) -> None:
        """Begin a request."""
        if self._head_since_s is None:
            self._head_since_s = self._state.now_s()

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header."""
        self._count_head(len(name) + len(content) + 4)
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Check the length before any of the body is taken."""
        self._is_in_head = False
        for name, content in self._headers:
            if name == b'content-length':
                self._check_length(content)
            elif name == b'expect':
                write_now(self.transport, _CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        limits = self._state.limits()
        if self._body_bytes + len(body) > limits.body_bytes:
            self._stop(BadRequest.BODY_TOO_LARGE)
        if not self._state.bodies.has_room(len(body)):
            self._stop(BadRequest.NO_MEMORY)
        self._body_bytes += len(body)
        self._state.bodies.held_bytes += len(body)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End the request."""
        request = HttpRequest(
            method=self._parser.get_method().decode('latin-1'),
            path=self._url.decode('latin-1'),
            headers=tuple(self._headers),
            body=b''.join(self._body),
            keeps_alive=self._parser.should_keep_alive(),
        )
        self._body_bytes = 0
        self._reset()
        self._head_since_s = None
        self._waiting.append(request)
        if len(self._waiting) > MAX_SENT_AHEAD:
            self._stop(BadRequest.MALFORMED)

    def _reset(self) -> None:
        self._url = b''
        self._headers: list[RawHeader] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_in_head = True

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        if self._head_bytes > self._state.limits().head_bytes:
            self._stop(BadRequest.HEAD_TOO_LARGE)

    def _check_length(self, content: bytes) -> None:
        if content.isdigit() and (
            int(content) > self._state.limits().body_bytes
        ):
            self._stop(BadRequest.BODY_TOO_LARGE)

    def _stop(self, bad: BadRequest) -> None:
        self._refused = bad
        raise _StopParsing

    def _refuse(self, bad: BadRequest) -> None:
        if not self._is_over:
            self._is_over = True
            self._give_back()
            self._waiting.append(bad)

    def _give_back(self) -> None:
        self._state.bodies.held_bytes -= self._body_bytes
        self._body_bytes = 0

    def _release(self, received: ReceivedRequest) -> None:
        if isinstance(received, HttpRequest):
            self._state.bodies.held_bytes -= len(received.body)

    def _run_next(self) -> None:
        while self._waiting and not self._is_busy and not self._is_unread:
            received = self._waiting.popleft()
            self._release(received)
            self._is_busy = True
            self._keeps_alive = (
                isinstance(received, HttpRequest) and received.keeps_alive
            )
            self._state.handler.request_received(self, received)


class _HttpServerFactory(ServerFactory):
    """Builds the connections of one address."""

    noisy = False

    def __init__(self, state: ServerState) -> None:
        self._state = state

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> HttpServerConnection:
        return HttpServerConnection(self._state)


@contextmanager
def serving_http(
    reactor: IReactorTCP, address: str, state: ServerState
) -> Iterator[int]:
    """Accept connections while the block runs.

    Args:
        address: Host and port; port 0 for one that the system chooses.

    Yields:
        The port listened on.
    """
    host, _, port = address.rpartition(':')
    listener = reactor.listenTCP(
        int(port), _HttpServerFactory(state), BACKLOG, host
    )
    try:
        yield listener.getHost().port  # type: ignore[attr-defined]
    finally:
        listener.stopListening()
        for connection in tuple(state.connections):
            connection.abort()
