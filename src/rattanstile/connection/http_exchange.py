"""Calls with timeouts to one HTTP server, over persistent connections."""

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP

from rattanstile.connection.http_client import (
    ExchangeFailure,
    HttpClientConnection,
)
from rattanstile.connection.http_connect import connect_http
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.process.timers import TimerService

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 2
MAX_IDLE_S = 8.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Twice as much as is read from a log at once."""

ExchangeResult = HttpResponse | ExchangeFailure


class HttpExchanger:
    """Sends calls to one address.

    Args:
        reactor: Opens the connections.
        timers: Clock and timeouts.
        address: Host and port of the server.
    """

    def __init__(
        self, reactor: IReactorTCP, timers: TimerService, address: str
    ) -> None:
        """Start without connections."""
        self.address = address
        self._reactor = reactor
        self._timers = timers
        self._idle: list[HttpClientConnection] = []

    def send(
        self, encoded_request: bytes, timeout_s: float
    ) -> 'Deferred[ExchangeResult]':
        """Send a call and return its result; the Deferred never fails.

        Cancelling the Deferred abandons the call, as a timeout does.
        """
        call = _Call(self, encoded_request)
        call.timer = self._timers.after(timeout_s, lambda _: call.time_out())
        connection = self._take_idle()
        if connection is None:
            connect_http(
                self._reactor,
                self.address,
                CONNECT_TIMEOUT_S,
                call.connected,
                self._connection_lost,
                is_remote=True,
            )
        else:
            call.connected(connection)
        return call.result

    def release(self, connection: HttpClientConnection) -> None:
        """Return a connection to the pool, or close it."""
        if connection.is_usable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            connection.idle_since_s = self._timers.now_s()
            self._idle.append(connection)
        else:
            connection.abort()

    def _take_idle(self) -> HttpClientConnection | None:
        now_s = self._timers.now_s()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now_s - connection.idle_since_s
            if connection.is_usable and idle_s < MAX_IDLE_S:
                return connection
            connection.abort()
        return None

    def _connection_lost(self, connection: HttpClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)


class _Call:
    """One call, until its result is delivered."""

    def __init__(self, owner: HttpExchanger, encoded_request: bytes) -> None:
        self.result: Deferred[ExchangeResult] = Deferred(
            lambda _: self.time_out()
        )
        self.timer: object = None
        self._owner = owner
        self._encoded_request = encoded_request
        self._connection: HttpClientConnection | None = None
        self._is_over = False

    def connected(self, connection: HttpClientConnection | None) -> None:
        if connection is None:
            self._end(ExchangeFailure.UNSENT)
        elif self._is_over:
            connection.abort()
        else:
            self._connection = connection
            connection.send(
                self._encoded_request,
                self._exchange_ended,
                max_body_bytes=MAX_RESPONSE_BYTES,
            )

    def time_out(self) -> None:
        if self._is_over:
            return
        if self._connection is None:
            self._end(ExchangeFailure.UNSENT)
        else:
            self._connection.abandon()

    def _exchange_ended(self, result: ExchangeResult) -> None:
        connection = self._connection
        if connection is not None and isinstance(result, HttpResponse):
            self._owner.release(connection)
        self._end(result)

    def _end(self, result: ExchangeResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        self.timer.cancel()  # type: ignore[attr-defined]
        self.result.callback(result)
