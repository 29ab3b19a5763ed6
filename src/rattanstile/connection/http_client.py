"""HTTP/1.1 client connections: one request at a time, whole responses."""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, unique
from typing import Any

import httptools
from twisted.internet import error as internet_error
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.liveness import set_liveness_options
from rattanstile.request.exchange import RawHeader

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024

_FIRST_FINAL_STATUS = 200
_NO_BODY = frozenset((204, 304))


@unique
class ExchangeFailure(Enum):
    """Why a request got no whole response."""

    UNSENT = 'unsent'
    RESET = 'reset'
    CUT = 'cut'
    SPOILED = 'spoiled'
    ABANDONED = 'abandoned'


ResponseCheck = Callable[[HttpResponse], bool]
ExchangeEnd = Callable[[HttpResponse | ExchangeFailure], None]


class _StopParsing(Exception):  # noqa: N818
    """Leaves httptools' parser from within a callback."""


class HttpClientConnection(Protocol):
    """One connection to a server.

    Attributes:
        idle_since_s: When the last response ended; set by the owner.
        keep_alive_s: How long the server keeps it idle; None when unknown.
    """

    def __init__(self, on_lost: Callable[['HttpClientConnection'], None]):
        """Begin before the first request."""
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._on_lost = on_lost
        self._ended: ExchangeEnd | None = None
        self._is_own: ResponseCheck | None = None
        self._is_head = False
        self._is_lost = False
        self._is_spoiled = False
        self._completed: HttpResponse | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._begin()

    @property
    def is_usable(self) -> bool:
        """Tell whether the connection can carry another request."""
        return not self._is_lost and not self._is_spoiled

    def send(
        self,
        written: bytes,
        ended: ExchangeEnd,
        *,
        is_head: bool = False,
        answers_request: ResponseCheck | None = None,
    ) -> None:
        """Send a request.

        Args:
            written: The request.
            ended: Told the response or the failure, once.
            is_head: Whether the response has no body.
            is_own: Tells whether a response answers this request; others
                are passed over.
        """
        self._ended = ended
        self._is_own = answers_request
        self._is_head = is_head
        write_now(self.transport, written)

    def abandon(self) -> None:
        """End the exchange and the connection without a response."""
        self._finish(ExchangeFailure.ABANDONED)
        self.abort()

    def abort(self) -> None:
        """Drop the connection at once."""
        self._is_spoiled = True
        if not self._is_lost:
            self.transport.abortConnection()  # type: ignore[union-attr]

    # Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Watch for a server that goes silent."""
        set_liveness_options(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; those that nobody asked for spoil the connection."""
        if self._is_spoiled:
            return
        if self._ended is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_spoiled = True
        self._hand_on()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the exchange; without a length, a clean close ends the body."""
        self._is_lost = True
        is_clean = reason is not None and reason.check(
            internet_error.ConnectionDone
        )
        has_begun = bool(self._status)
        if self._is_until_close and is_clean and not self._is_spoiled:
            self._complete(keeps_alive=False)
            self._hand_on()
        failure = ExchangeFailure.CUT if has_begun else ExchangeFailure.RESET
        self._finish(failure)
        self._on_lost(self)

    # httptools

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header."""
        self._head_bytes += len(name) + len(content)
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _StopParsing
        self._headers.append((name.lower(), content))

    def on_status(self, phrase: bytes) -> None:
        """Keep the reason phrase."""
        self._phrase += phrase

    def on_headers_complete(self) -> None:
        """Learn the status, and whether a length is stated."""
        self._status = self._parser.get_status_code()
        names = [name for name, _ in self._headers]
        self._is_until_close = (
            self._status >= _FIRST_FINAL_STATUS
            and self._status not in _NO_BODY
            and b'content-length' not in names
            and b'transfer-encoding' not in names
        )
        if self._is_head and self._status >= _FIRST_FINAL_STATUS:
            self._complete(keeps_alive=False)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._body_bytes += len(body)
        if self._body_bytes > MAX_BODY_BYTES:
            raise _StopParsing
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End the response, unless it was an interim one."""
        if self._status < _FIRST_FINAL_STATUS:
            self._begin()
            return
        self._complete(keeps_alive=self._parser.should_keep_alive())

    def _complete(self, *, keeps_alive: bool) -> None:
        """Keep a response until all bytes that came with it are looked at."""
        response = HttpResponse(
            status=self._status,
            phrase=self._phrase,
            headers=tuple(self._headers),
            body=b''.join(self._body),
            keeps_alive=keeps_alive,
        )
        self._begin()
        if self._completed is not None:
            # A second response on one request: nobody asked for it.
            self._is_spoiled = True
        elif self._is_own is None or self._is_own(response):
            self._completed = response

    def _hand_on(self) -> None:
        """End the exchange with its response, or with the spoiled bytes."""
        response = self._completed
        if response is None:
            if self._is_spoiled:
                self._finish(ExchangeFailure.SPOILED)
                self.abort()
            return
        self._completed = None
        is_between = not (self._headers or self._status)
        keeps_alive = (
            response.keeps_alive and not self._is_spoiled and is_between
        )
        self._is_spoiled = not keeps_alive
        self._keep_timeout(response)
        self._finish(replace(response, keeps_alive=keeps_alive))

    def _keep_timeout(self, response: HttpResponse) -> None:
        content = response.header(b'keep-alive')
        if content is None:
            return
        for part in content.split(b','):
            name, _, amount = part.strip().partition(b'=')
            if name.lower() == b'timeout' and amount.isdigit():
                self.keep_alive_s = float(amount)

    def _finish(self, end: HttpResponse | ExchangeFailure) -> None:
        ended = self._ended
        self._ended = None
        if ended is not None:
            ended(end)

    def _begin(self) -> None:
        self._status = 0
        self._phrase = b''
        self._headers: list[RawHeader] = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_until_close = False


class _ClientFactory(ClientFactory):
    """Builds one connection and tells how connecting ended."""

    noisy = False

    def __init__(
        self,
        on_open: Callable[[HttpClientConnection | None], None],
        on_lost: Callable[[HttpClientConnection], None],
    ) -> None:
        self._on_open = on_open
        self._on_lost = on_lost

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> HttpClientConnection:
        return _Announcing(self._on_open, self._on_lost)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._on_open(None)


class _Announcing(HttpClientConnection):
    """Tells its owner when it is open."""

    def __init__(
        self,
        on_open: Callable[[HttpClientConnection | None], None],
        on_lost: Callable[[HttpClientConnection], None],
    ) -> None:
        super().__init__(on_lost)
        self._on_open = on_open

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._on_open(self)


def connect_http(
    reactor: IReactorTCP,
    address: str,
    timeout_s: float,
    on_open: Callable[[HttpClientConnection | None], None],
    on_lost: Callable[[HttpClientConnection], None],
) -> None:
    """Open a connection.

    Args:
        address: Host and port.
        timeout_s: Longest time to connect.
        on_open: Told the connection, or None when it can't be opened.
        on_lost: Told when an open connection has ended.
    """
    host, _, port = address.rpartition(':')
    reactor.connectTCP(
        host, int(port), _ClientFactory(on_open, on_lost), timeout_s
    )
