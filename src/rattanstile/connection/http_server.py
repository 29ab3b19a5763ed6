"""HTTP/1.1 server connections: complete requests in, responses out.

Requests of one connection are handled one after another. Everything that
callers can make the process buffer is bounded: request head, body, total size
of the bodies of all connections, pipelined requests.
"""

from collections import Counter, deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum, unique
from typing import Any
from typing import Protocol as Interface

import httptools
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.internet.tcp import Server

from rattanstile.connection.accepting import listen
from rattanstile.connection.client_eviction import (
    MIN_BYTES_PER_S,
    ClientState,
    ClientView,
    EvictionRules,
    evict_for_descriptor,
    evict_for_memory,
    evict_unread,
)
from rattanstile.connection.direct_write import unsent_bytes, write_now
from rattanstile.connection.http_messages import HttpRequest
from rattanstile.connection.liveness import watch_local_end
from rattanstile.connection.overhead import MAX_OVERHEAD_BYTES, OverheadMeter
from rattanstile.connection.request_memory import (
    CONNECTION_BYTES,
    HEADER_OBJECT_BYTES,
    TRANSIT_COPIES,
    MemoryShare,
    buffer_bytes,
)
from rattanstile.request.exchange import RawHeader
from rattanstile.version.fleet_config import CallerLimits

MAX_PIPELINED = 8
FRAMING_BYTES = 8 * 1024
"""Of a request line, separators and chunk sizes, beside the headers."""
WRITE_TIMEOUT_S = 30.0
"""Time without progress after which a caller that doesn't read is dropped."""
BACKLOG = 512
"""Holds the burst after a restart: most clients reconnect within a second."""
READ_BYTES = 16 * 1024
"""Read at once; what follows an unanswered request stays in the system."""
UNLIMITED_CONNECTIONS = 1 << 20
EVICTION_BATCH = 64
"""A search through all connections makes room for this part of them."""
FRUITLESS_SEARCH_S = 0.05
"""Time until the next search for memory after one that found nothing."""

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@unique
class BadRequest(Enum):
    """Why a request was refused; the connection must close."""

    MALFORMED = 'malformed'
    HEAD_TOO_LARGE = 'head-too-large'
    BODY_TOO_LARGE = 'body-too-large'
    NO_MEMORY = 'no-memory'
    TOO_SLOW = 'too-slow'
    EVICTED = 'evicted'


ReceivedRequest = HttpRequest | BadRequest


@dataclass(frozen=True, slots=True)
class RequestFault:
    """What was known of a request when it was refused.

    Attributes:
        detail: What is wrong, in a few words; nothing that the caller sent.
        headers: Headers received until then, with lower-case names.
        head_bytes: Size of the head until then.
        body_bytes: Size of the body until then.
        age_s: Time since the first byte of the request.
        requests_before: Requests received before on the connection.
    """

    detail: str
    headers: tuple[RawHeader, ...]
    head_bytes: int
    body_bytes: int
    age_s: float
    requests_before: int


class RequestHandler(Interface):
    """Handles the requests that arrive at one address."""

    def request_received(
        self, connection: 'HttpServerConnection', request: ReceivedRequest
    ) -> None:
        """Handle a request; `connection.respond` is called once for it."""

    def connection_lost(self, connection: 'HttpServerConnection') -> None:
        """Handle a disconnect: nobody awaits the open response."""


@dataclass(eq=False, slots=True)
class ServerState:
    """State shared by the connections of one address.

    Attributes:
        handler: Handles the requests.
        limits: Returns the limits in force.
        now_s: Returns monotonic seconds.
        memory: What all connections hold.
        max_connections: Open connections allowed.
        min_bytes_per_s: Progress of a request near the limits.
        connections: Open connections.
        leaving: Those that are being closed to make room.
        evictions: Connections closed to make room, by their state.
        is_closing: Whether responses announce that the connection closes.
    """

    handler: RequestHandler
    limits: Callable[[], CallerLimits]
    now_s: Callable[[], float]
    memory: MemoryShare = field(default_factory=MemoryShare)
    max_connections: int = UNLIMITED_CONNECTIONS
    min_bytes_per_s: float = MIN_BYTES_PER_S
    connections: set['HttpServerConnection'] = field(default_factory=set)
    leaving: set['HttpServerConnection'] = field(default_factory=set)
    evictions: Counter[ClientState] = field(default_factory=Counter)
    is_closing: bool = False
    _memory_search_due_s: float = 0.0

    @property
    def unsent_responses(self) -> int:
        """Return on how many connections a response is not sent yet."""
        return sum(
            unsent_bytes(connection.transport) > 0
            for connection in self.connections
        )

    def check(self, now_s: float) -> None:
        """Apply the timeouts of all connections; called periodically."""
        for connection in tuple(self.connections):
            connection.check(now_s)
        if self.memory.is_exceeded:
            self.free_memory()
        if self._is_full:
            for view in evict_unread(self._views(), now_s):
                self._evict(view)

    @property
    def _is_full(self) -> bool:
        """Return whether a further connection needs another to give way."""
        open_connections = len(self.connections) - len(self.leaving)
        return open_connections >= self.max_connections

    def admit(self, connection: 'HttpServerConnection') -> bool:
        """Add a connection; return False if there is no room for it."""
        if self._is_full:
            self._free_descriptors()
            if self._is_full:
                self.evictions[ClientState.REFUSED] += 1
                return False
        self.connections.add(connection)
        return True

    def free_memory(self) -> None:
        """Close connections without progress until the memory suffices."""
        now_s = self.now_s()
        if now_s < self._memory_search_due_s:
            return
        found = evict_for_memory(self._views(), now_s, self._rules())
        freed_bytes = self.memory.limit_bytes // EVICTION_BATCH
        wanted_bytes = self.memory.limit_bytes - freed_bytes
        for view in found:
            if self.memory.held_bytes <= wanted_bytes:
                return
            self._evict(view)
        self._memory_search_due_s = now_s + FRUITLESS_SEARCH_S

    def _free_descriptors(self) -> None:
        found = evict_for_descriptor(self._views(), self.now_s(), self._rules())
        batch = max(1, self.max_connections // EVICTION_BATCH)
        for view in found[:batch]:
            self._evict(view)

    def _evict(self, view: ClientView) -> None:
        self.evictions[view.state] += 1
        self.leaving.add(view.connection)
        view.connection.evict()

    def _views(self) -> list[ClientView]:
        return [
            connection.view()
            for connection in self.connections
            if connection not in self.leaving
        ]

    def _rules(self) -> EvictionRules:
        return EvictionRules(self.limits().head_timeout_s, self.min_bytes_per_s)


class _StopParsing(Exception):  # noqa: N818
    """Stops httptools' parser from within a callback."""


class HttpServerConnection(Protocol):
    """A connection opened by a caller.

    Attributes:
        handler_context: Handler's own data for the request being answered.
        on_writable: Called when the caller has taken what was written of a
            response in parts; None for none.
        fault: Describes the refused request; None if none was refused.
    """

    def __init__(self, state: ServerState) -> None:
        """Initialize the connection before its first request."""
        self.handler_context: Any = None
        self.on_writable: Callable[[], None] | None = None
        self.fault: RequestFault | None = None
        self._state = state
        self._parser: Any = httptools.HttpRequestParser(self)
        self._overhead = OverheadMeter()
        self._pending_requests: deque[ReceivedRequest] = deque()
        self._in_hand: ReceivedRequest | None = None
        self._is_busy = False
        self._is_closing = False
        self._is_aborted = False
        self._is_writing_paused = False
        self._unsent_bytes = 0
        self._held_bytes = 0
        self._is_reading_paused = False
        self._address = ''
        self._last_received_s = state.now_s()
        self._parse_error: BadRequest | None = None
        self._parse_error_detail = ''
        self._requests_received = 0
        self._waiting_since_s = state.now_s()
        self._request_start_s: float | None = None
        self._keeps_alive = True
        self._reset_request()

    # Callbacks of Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Configure the transport and register the connection."""
        transport: Any = self.transport
        watch_local_end(transport)
        transport.registerProducer(self, True)
        transport.bufferSize = READ_BYTES
        self._address = _client_address(transport)
        if self._state.admit(self):
            self._count_memory()
        else:
            self._is_closing = True
            self.abort()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; those after a refused request are discarded."""
        if self._is_closing:
            return
        self._last_received_s = self._state.now_s()
        if self._request_start_s is None:
            self._request_start_s = self._last_received_s
        self._overhead.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(BadRequest.MALFORMED, 'upgrade')
        except httptools.HttpParserError as error:
            self._refuse(
                self._parse_error or BadRequest.MALFORMED,
                self._parse_error_detail or str(error),
            )
        if self._overhead.is_exceeded(self._max_overhead_bytes()):
            self._refuse(BadRequest.HEAD_TOO_LARGE, 'overhead')
        self._count_memory()
        if self._state.memory.is_exceeded:
            self._give_way()
        self._start_next()
        if self._is_busy and self._has_further_bytes:
            self._pause_reading()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Release all bodies; notify the handler if a request is open."""
        self._state.connections.discard(self)
        self._state.leaving.discard(self)
        self._is_closing = True
        self._pending_requests.clear()
        if self._is_busy:
            self._state.handler.connection_lost(self)
        self._reset_request()
        self._release_memory()
        # The parser, the answer and this object refer to each other.
        self._parser = None
        self._in_hand = None
        self.handler_context = None
        self.on_writable = None

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause responses: the caller reads too slowly."""
        self._is_writing_paused = True
        self._waiting_since_s = self._state.now_s()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume responses: the write buffer has been sent."""
        self._is_writing_paused = False
        self._waiting_since_s = self._state.now_s()
        if self.on_writable is not None:
            self.on_writable()
        self._start_next()
        self._resume_reading()

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore that the connection closes; `connectionLost` follows."""

    # Interface for the request handler

    def respond(self, encoded: bytes, *, closes: bool = False) -> None:
        """Write the response of the request being answered."""
        self._is_busy = False
        self._in_hand = None
        self.handler_context = None
        self.on_writable = None
        self._waiting_since_s = self._state.now_s()
        write_now(self.transport, encoded)
        self._count_memory()
        if closes or not self._keeps_alive:
            self._is_closing = True
            self._close_when_sent()
        else:
            self._restart_clock()
            self._start_next()
            self._resume_reading()

    def write_part(self, encoded: bytes) -> None:
        """Write a part of the response; `respond` writes the last one."""
        write_now(self.transport, encoded)

    @property
    def is_writing_paused(self) -> bool:
        """Return whether the caller reads more slowly than is written."""
        return self._is_writing_paused

    @property
    def closes_after_response(self) -> bool:
        """Return whether the response must announce the closing."""
        return self._state.is_closing or not self._keeps_alive

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being answered or is queued."""
        return self._is_busy or bool(self._pending_requests)

    def _close_when_sent(self) -> None:
        """Close the connection when the buffered data has been sent.

        With a paused producer, Twisted asks for more data instead.
        """
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.loseConnection()

    def abort(self) -> None:
        """Close the connection at once, without sending buffered data.

        What it holds is no longer counted, though the reactor frees it only in
        its next step: a search for memory must see that it was found.
        """
        self._is_aborted = True
        self._release_memory()
        self.transport.abortConnection()  # type: ignore[union-attr]

    def evict(self) -> None:
        """Close the connection to make room for others.

        An unfinished request is refused, if its caller can be told.
        """
        if self._is_writing_paused or self._is_closing:
            self._is_closing = True
            self.abort()
            return
        if self._request_start_s is None:
            # An answer that was sent stays readable.
            self._is_closing = True
            self._close_when_sent()
            return
        self._refuse(BadRequest.EVICTED, 'no room')
        self._start_next()

    def view(self) -> ClientView:
        """Return what the choice of connections to close depends on."""
        state = ClientState.IDLE
        since_s = self._waiting_since_s
        if self._is_writing_paused:
            state = ClientState.UNREAD
        elif self.is_busy or self._is_closing:
            state = ClientState.BUSY
        elif self._request_start_s is not None:
            state = ClientState.UNFINISHED
            since_s = self._request_start_s
        return ClientView(
            connection=self,
            state=state,
            since_s=since_s,
            last_received_s=self._last_received_s,
            received_bytes=self._overhead.received_bytes,
            is_in_head=self._is_in_head,
            address=self._address,
            key=self._key(),
        )

    @property
    def _has_further_bytes(self) -> bool:
        """Return whether more than the request being answered was read."""
        return bool(self._pending_requests) or (
            self._request_start_s is not None
        )

    def _restart_clock(self) -> None:
        """Let the timeouts of a request begin when it is read on."""
        if self._is_reading_paused and self._request_start_s is not None:
            self._request_start_s = self._state.now_s()

    def _pause_reading(self) -> None:
        """Leave further requests in the system until this one is answered."""
        if not self._is_reading_paused:
            self._is_reading_paused = True
            transport: Any = self.transport
            transport.pauseProducing()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._is_busy:
            self._is_reading_paused = False
            transport: Any = self.transport
            transport.resumeProducing()

    def _key(self) -> bytes:
        for name, content in self._headers:
            if name == b'authorization':
                return content
        return b''

    def _give_way(self) -> None:
        """Make room in the memory, or refuse what is not being answered."""
        self._state.free_memory()
        if not self._state.memory.is_exceeded or self._is_closing:
            return
        has_queued = bool(self._pending_requests)
        if not has_queued and self._request_start_s is None:
            return
        self._pending_requests.clear()
        self._refuse(BadRequest.NO_MEMORY, 'requests of all callers')
        self._count_memory()

    def _count_memory(self) -> None:
        """Count what the connection holds now."""
        if self._parser is None or self._is_aborted:
            return
        held_bytes = (
            CONNECTION_BYTES
            + self._overhead.since_body_bytes
            + HEADER_OBJECT_BYTES * len(self._headers)
            + buffer_bytes(len(self._body))
            + sum(map(_request_bytes, self._pending_requests))
            + _request_bytes(self._in_hand)
            + unsent_bytes(self.transport)
        )
        self._state.memory.change(held_bytes - self._held_bytes)
        self._held_bytes = held_bytes

    def _release_memory(self) -> None:
        self._state.memory.change(-self._held_bytes)
        self._held_bytes = 0

    def check(self, now_s: float) -> None:
        """Apply the timeouts."""
        self._record_progress(now_s)
        self._count_memory()
        waited_s = now_s - self._waiting_since_s
        if self._is_writing_paused or (self._is_closing and not self._is_busy):
            if waited_s > WRITE_TIMEOUT_S:
                self.abort()
        elif not self._is_busy:
            self._check_receiving(now_s, waited_s)

    def _record_progress(self, now_s: float) -> None:
        """Record that the caller takes the response, however slowly."""
        unsent = unsent_bytes(self.transport)
        if unsent < self._unsent_bytes:
            self._waiting_since_s = now_s
        self._unsent_bytes = unsent

    def _check_receiving(self, now_s: float, waited_s: float) -> None:
        """Apply the timeouts of a connection that awaits a request."""
        limits = self._state.limits()
        if self._request_start_s is None:
            if waited_s > limits.idle_timeout_s:
                self._is_closing = True
                self.transport.loseConnection()  # type: ignore[union-attr]
        elif now_s - self._request_start_s > self._request_timeout_s(limits):
            self._refuse(
                BadRequest.TOO_SLOW, 'head' if self._is_in_head else 'body'
            )
            self._start_next()

    def _max_overhead_bytes(self) -> int:
        head_bytes = self._state.limits().head_bytes
        return min(MAX_OVERHEAD_BYTES, head_bytes + FRAMING_BYTES)

    def _request_timeout_s(self, limits: CallerLimits) -> float:
        if self._is_in_head:
            return limits.head_timeout_s
        return limits.idle_timeout_s

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Record when the request starts."""
        if self._request_start_s is None:
            self._request_start_s = self._state.now_s()

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, content: bytes) -> None:
        """Append a header."""
        self._count_head(len(name) + len(content) + 4)
        self._headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Check the stated length before any of the body is read."""
        self._is_in_head = False
        for name, content in self._headers:
            if name == b'content-length':
                self._check_length(content)
            elif name == b'expect':
                write_now(self.transport, _CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Append a part of the body, within the limits."""
        limits = self._state.limits()
        if self._body_bytes + len(body) > limits.body_bytes:
            self._stop_parsing(
                BadRequest.BODY_TOO_LARGE, f'received over {limits.body_bytes}'
            )
        self._body_bytes += len(body)
        self._overhead.add_body(len(body))
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        request = HttpRequest(
            method=self._parser.get_method().decode('latin-1'),
            path=self._url.decode('latin-1'),
            headers=tuple(self._headers),
            body=bytes(self._body),
            keeps_alive=self._parser.should_keep_alive(),
        )
        self._body_bytes = 0
        self._reset_request()
        self._request_start_s = None
        self._requests_received += 1
        self._pending_requests.append(request)
        if len(self._pending_requests) > MAX_PIPELINED:
            self._stop_parsing(BadRequest.MALFORMED, 'pipelined')

    def _reset_request(self) -> None:
        self._overhead.reset()
        self._url = b''
        self._headers: list[RawHeader] = []
        self._head_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._is_in_head = True

    def _count_head(self, size_bytes: int) -> None:
        self._head_bytes += size_bytes
        limit_bytes = self._state.limits().head_bytes
        if self._head_bytes > limit_bytes:
            self._stop_parsing(BadRequest.HEAD_TOO_LARGE, f'over {limit_bytes}')

    def _check_length(self, content: bytes) -> None:
        limit_bytes = self._state.limits().body_bytes
        if content.isdigit() and int(content) > limit_bytes:
            self._stop_parsing(
                BadRequest.BODY_TOO_LARGE,
                f'length of {int(content)} over {limit_bytes}',
            )

    def _stop_parsing(self, error: BadRequest, detail: str) -> None:
        self._parse_error = error
        self._parse_error_detail = detail
        raise _StopParsing

    def _refuse(self, error: BadRequest, detail: str) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self.fault = self._describe(detail)
        self._release_partial_request()
        self._pending_requests.append(error)

    def _describe(self, detail: str) -> RequestFault:
        age_s = 0.0
        if self._request_start_s is not None:
            age_s = self._state.now_s() - self._request_start_s
        return RequestFault(
            detail=detail,
            headers=tuple(self._headers),
            head_bytes=self._head_bytes,
            body_bytes=self._body_bytes,
            age_s=age_s,
            requests_before=self._requests_received,
        )

    def _release_partial_request(self) -> None:
        """Free an unfinished request."""
        self._body_bytes = 0
        self._headers = []
        self._body = bytearray()
        self._overhead.reset()
        self._count_memory()

    def _start_next(self) -> None:
        while (
            self._pending_requests
            and not self._is_busy
            and not self._is_writing_paused
        ):
            received = self._pending_requests.popleft()
            self._in_hand = received
            self._is_busy = True
            self._keeps_alive = (
                isinstance(received, HttpRequest) and received.keeps_alive
            )
            self._state.handler.request_received(self, received)


def _request_bytes(received: ReceivedRequest | None) -> int:
    """Return the memory of a complete request and of its copies in transit."""
    if not isinstance(received, HttpRequest):
        return 0
    return HEADER_OBJECT_BYTES * len(received.headers) + (
        (1 + TRANSIT_COPIES) * len(received.body)
    )


def _client_address(transport: Any) -> str:
    if not isinstance(transport, Server):
        return ''
    return str(transport.getPeer().host)


class _HttpServerFactory(ServerFactory):
    """Creates the connections of one address."""

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
    """Accept connections while the context is active.

    Args:
        address: Host and port; port 0 lets the operating system choose one.

    Yields:
        The port listened on.
    """
    host, _, port = address.rpartition(':')
    listener = listen(
        reactor, host, int(port), _HttpServerFactory(state), BACKLOG
    )
    try:
        yield listener.getHost().port
    finally:
        listener.stopListening()
        for connection in tuple(state.connections):
            connection.abort()
