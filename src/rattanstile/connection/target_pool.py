"""Connections to the target beside the node, one call at a time on each."""

from collections import deque
from collections.abc import Callable

from twisted.internet.interfaces import IReactorTCP

from rattanstile.connection.http_client import (
    MAX_BODY_BYTES,
    BodySink,
    ExchangeCallback,
    ExchangeFailure,
    HttpClientConnection,
    ResponseCheck,
)
from rattanstile.connection.http_connect import connect_http
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.process.timers import TimerService

CONNECT_TIMEOUT_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
"""Keep-alive timeout assumed for a target that states none."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Time before the keep-alive timeout at which a connection is closed: the
timeout is stated in whole seconds, and a request may cross the close."""


class TargetExchange:
    """One request to the target.

    Args:
        encoded_request: The bytes of the request.
        on_end: Called once, with the response or the failure.
        is_head: Whether the response has no body.
        check_response: See `HttpClientConnection.send`.
        body_sink: See `HttpClientConnection.send`.
        max_body_bytes: See `HttpClientConnection.send`.
    """

    def __init__(
        self,
        encoded_request: bytes,
        on_end: ExchangeCallback,
        *,
        is_head: bool,
        check_response: ResponseCheck | None,
        body_sink: BodySink | None,
        max_body_bytes: int,
    ) -> None:
        """Start without a connection."""
        self.encoded_request = encoded_request
        self.on_end = on_end
        self.is_head = is_head
        self.check_response = check_response
        self.body_sink = body_sink
        self.max_body_bytes = max_body_bytes
        self.connection: HttpClientConnection | None = None
        self.is_over = False

    def pause(self) -> None:
        """Stop reading the response."""
        if self.connection is not None and not self.is_over:
            self.connection.pause()

    def resume(self) -> None:
        """Continue to read the response."""
        if self.connection is not None and not self.is_over:
            self.connection.resume()


class TargetPool:
    """Sends requests to one address.

    Args:
        reactor: Opens the connections.
        timers: Clock.
        address: Host and port of the target.
    """

    def __init__(
        self, reactor: IReactorTCP, timers: TimerService, address: str
    ) -> None:
        """Start without connections."""
        self.connection_limit = 64
        self._reactor = reactor
        self._timers = timers
        self._address = address
        self._open: set[HttpClientConnection] = set()
        self._idle: list[HttpClientConnection] = []
        self._waiting: deque[TargetExchange] = deque()
        self._connecting = 0

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def send(
        self,
        encoded_request: bytes,
        on_end: ExchangeCallback,
        *,
        is_head: bool = False,
        check_response: ResponseCheck | None = None,
        body_sink: BodySink | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> TargetExchange:
        """Send a request on an idle connection, or on a new one."""
        exchange = TargetExchange(
            encoded_request,
            on_end,
            is_head=is_head,
            check_response=check_response,
            body_sink=body_sink,
            max_body_bytes=max_body_bytes,
        )
        connection = self._take_idle()
        if connection is None:
            self._waiting.append(exchange)
            self._connect_for_waiting()
        else:
            self._begin(connection, exchange)
        return exchange

    def abandon(self, exchange: TargetExchange) -> None:
        """Cancel a request and close the connection that carries it."""
        if exchange.is_over:
            return
        if exchange.connection is not None:
            exchange.connection.abandon()
            return
        exchange.is_over = True
        self._waiting.remove(exchange)
        exchange.on_end(ExchangeFailure.UNSENT)

    def check(self, now_s: float) -> None:
        """Close idle connections that the target is about to close."""
        kept = []
        for connection in self._idle:
            if self._is_fresh(connection, now_s):
                kept.append(connection)
            else:
                connection.abort()
        self._idle = kept

    def _take_idle(self) -> HttpClientConnection | None:
        now_s = self._timers.now_s()
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable and self._is_fresh(connection, now_s):
                return connection
            connection.abort()
        return None

    def _is_fresh(self, connection: HttpClientConnection, now_s: float) -> bool:
        keep_alive_s = connection.keep_alive_s
        if keep_alive_s is None:
            keep_alive_s = DEFAULT_KEEP_ALIVE_S
        max_idle_s = max(keep_alive_s - KEEP_ALIVE_MARGIN_S, keep_alive_s / 2)
        return now_s - connection.idle_since_s < max_idle_s

    def _connect_for_waiting(self) -> None:
        while (
            self._connecting < len(self._waiting)
            and len(self._open) + self._connecting < self.connection_limit
        ):
            self._connecting += 1
            connect_http(
                self._reactor,
                self._address,
                CONNECT_TIMEOUT_S,
                self._connected,
                self._connection_lost,
            )

    def _connected(self, connection: HttpClientConnection | None) -> None:
        self._connecting -= 1
        if connection is None:
            self._fail_waiting()
            return
        self._open.add(connection)
        self._release(connection)

    def _fail_waiting(self) -> None:
        """Fail requests that no pending connection can take; none was sent."""
        while len(self._waiting) > self._connecting:
            exchange = self._waiting.popleft()
            exchange.is_over = True
            exchange.on_end(ExchangeFailure.UNSENT)

    def _connection_lost(self, connection: HttpClientConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._connect_for_waiting()

    def _release(self, connection: HttpClientConnection) -> None:
        if self._waiting:
            self._begin(connection, self._waiting.popleft())
        else:
            connection.idle_since_s = self._timers.now_s()
            self._idle.append(connection)

    def _begin(
        self, connection: HttpClientConnection, exchange: TargetExchange
    ) -> None:
        exchange.connection = connection
        connection.send(
            exchange.encoded_request,
            self._end_handler(connection, exchange),
            is_head=exchange.is_head,
            check_response=exchange.check_response,
            body_sink=exchange.body_sink,
            max_body_bytes=exchange.max_body_bytes,
        )
        # The socket has it, or the transport's buffer.
        exchange.encoded_request = b''

    def _end_handler(
        self, connection: HttpClientConnection, exchange: TargetExchange
    ) -> Callable[[HttpResponse | ExchangeFailure], None]:
        def handle_end(result: HttpResponse | ExchangeFailure) -> None:
            exchange.is_over = True
            if isinstance(result, HttpResponse):
                if result.keeps_alive and connection.is_usable:
                    self._release(connection)
                else:
                    connection.abort()
            exchange.on_end(result)
            # What waits for the answer refers to the exchange.
            exchange.on_end = _ignore_end
            exchange.body_sink = None

        return handle_end


def _ignore_end(result: HttpResponse | ExchangeFailure) -> None:
    """Do nothing: the exchange is over."""
