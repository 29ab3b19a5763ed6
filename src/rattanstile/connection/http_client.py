"""HTTP/1.1 client connections: one request at a time, complete responses."""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum, unique
from typing import Any
from typing import Protocol as Interface

import httptools
from twisted.internet import error as internet_error
from twisted.internet.protocol import Protocol

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.liveness import watch_local_end, watch_remote_end
from rattanstile.connection.overhead import OverheadMeter
from rattanstile.request.exchange import RawHeader

MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_WHOLE_BODY_BYTES = 128 * 1024
"""A longer body is passed on in parts, if somebody takes them."""
MAX_HEADERS = 500
"""Short ones take many times their size in memory."""
MAX_STRAY_BYTES = 512 * 1024
"""Bytes of bodies that arrive for earlier requests while one waits: some whole
answers. A target that sends more doesn't answer."""

_FIRST_FINAL_STATUS = 200
_NO_BODY = frozenset((204, 304))


@unique
class ExchangeFailure(Enum):
    """Why a request got no complete response.

    Attributes:
        UNSENT: No part of the request was sent.
        RESET: The connection closed before the head of a response was read.
        CUT: The connection closed within a response.
        SPOILED: The bytes received are not a valid response within the size
            limits.
        ABANDONED: The sender of the request cancelled it.
    """

    UNSENT = 'unsent'
    RESET = 'reset'
    CUT = 'cut'
    SPOILED = 'spoiled'
    ABANDONED = 'abandoned'


@unique
class ResponseMatch(Enum):
    """How a response relates to the request in flight.

    Attributes:
        OWN: It answers the request.
        LAST: It answers the request; if it came once more, it could be taken
            for the answer to a later request, so the connection ends.
        OTHER: It answers an earlier request, and is ignored.
        UNIDENTIFIED: It names no request. It can only answer the request if
            the connection has carried no other.
    """

    OWN = 'own'
    LAST = 'last'
    OTHER = 'other'
    UNIDENTIFIED = 'unidentified'


ResponseCheck = Callable[[HttpResponse], ResponseMatch]


class BodySink(Interface):
    """Receives a large response in parts, before the exchange ends.

    If the exchange ends with a response, the parts are its whole body.
    """

    def begin_body(
        self, response: HttpResponse, length_bytes: int | None
    ) -> bool:
        """Receive the response without its body.

        Args:
            response: The response; more of its body follows in parts.
            length_bytes: Length of the body; None if it isn't stated.

        Returns:
            Whether the response is accepted; otherwise the exchange fails.
        """

    def add_body_part(self, part: bytes) -> None:
        """Receive the next bytes of the body."""


ExchangeCallback = Callable[[HttpResponse | ExchangeFailure], None]


_OWN_RESPONSES = frozenset((ResponseMatch.OWN, ResponseMatch.LAST))


class _StopParsing(Exception):  # noqa: N818
    """Aborts httptools' parser from within a callback."""


class HttpClientConnection(Protocol):
    """One connection to a server.

    Attributes:
        idle_since_s: Monotonic time at which the last response ended; set by
            the owner.
        keep_alive_s: How long the server keeps an idle connection open; None
            when unknown.
    """

    def __init__(
        self,
        on_lost: Callable[['HttpClientConnection'], None],
        *,
        is_remote: bool = False,
    ) -> None:
        """Start without a request in flight.

        Args:
            on_lost: Called when the connection has closed.
            is_remote: Whether the server is on another VM.
        """
        self._is_remote = is_remote
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None
        self._on_lost = on_lost
        self._on_end: ExchangeCallback | None = None
        self._check_response: ResponseCheck | None = None
        self._body_sink: BodySink | None = None
        self._max_body_bytes = MAX_BODY_BYTES
        self._stray_bytes = 0
        self._is_streaming = False
        self._is_paused = False
        self._sent_requests = 0
        self._overhead = OverheadMeter()
        self._has_other_response = False
        self._is_head = False
        self._is_lost = False
        self._is_unusable = False
        self._completed: HttpResponse | None = None
        self._parser: Any = httptools.HttpResponseParser(self)
        self._reset_response()

    @property
    def is_usable(self) -> bool:
        """Return whether the connection can carry another request."""
        return not self._is_lost and not self._is_unusable

    def send(
        self,
        encoded_request: bytes,
        on_end: ExchangeCallback,
        *,
        is_head: bool = False,
        check_response: ResponseCheck | None = None,
        body_sink: BodySink | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Send a request.

        Args:
            encoded_request: The bytes of the request.
            on_end: Called once, with the response or the failure.
            is_head: Whether the response has no body.
            check_response: Returns how a response relates to this request;
                None accepts any response.
            body_sink: Receives a large body in parts; None keeps any body
                until it is complete.
            max_body_bytes: Limit of a body that is kept.
        """
        self._on_end = on_end
        self._max_body_bytes = max_body_bytes
        self._stray_bytes = 0
        self._check_response = check_response
        self._body_sink = body_sink
        self._is_streaming = False
        self._sent_requests += 1
        self._overhead.reset()
        self._is_head = is_head
        write_now(self.transport, encoded_request)

    def pause(self) -> None:
        """Stop reading, so that the server has to wait."""
        if not self._is_lost:
            self._is_paused = True
            self.transport.pauseProducing()  # type: ignore[union-attr]

    def resume(self) -> None:
        """Continue to read."""
        if self._is_paused and not self._is_lost:
            self._is_paused = False
            self.transport.resumeProducing()  # type: ignore[union-attr]

    def abandon(self) -> None:
        """End the exchange and the connection without a response."""
        self._finish(ExchangeFailure.ABANDONED)
        self.abort()

    def abort(self) -> None:
        """Abort the connection immediately."""
        self._is_unusable = True
        if not self._is_lost:
            self.transport.abortConnection()  # type: ignore[union-attr]

    # Callbacks of Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Let the kernel detect a server that goes silent."""
        if self._is_remote:
            watch_remote_end(self.transport)
        else:
            watch_local_end(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; abort the connection if no request is in flight."""
        if self._is_unusable:
            return
        if self._on_end is None:
            self.abort()
            return
        self._overhead.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._is_unusable = True
        if self._overhead.is_exceeded():
            self._is_unusable = True
        self._deliver_response()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the exchange; a clean close ends a body without a length."""
        self._is_lost = True
        is_clean = reason is not None and reason.check(
            internet_error.ConnectionDone
        )
        has_response_begun = bool(self._status)
        if self._body_ends_at_close and is_clean and not self._is_unusable:
            self._complete(keeps_alive=False)
            self._deliver_response()
        failure = (
            ExchangeFailure.CUT if has_response_begun else ExchangeFailure.RESET
        )
        self._finish(failure)
        self._release()
        self._on_lost(self)

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Record the first byte of a head; the parser keeps the rest of it."""
        self._has_begun = True

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header, within the limit."""
        if len(self._headers) >= MAX_HEADERS:
            raise _StopParsing
        self._headers.append((name.lower(), content))

    def on_status(self, phrase: bytes) -> None:
        """Store a part of the reason phrase."""
        self._phrase += phrase

    def on_headers_complete(self) -> None:
        """Record the status, and whether a close delimits the body."""
        self._status = self._parser.get_status_code()
        names = [name for name, _ in self._headers]
        self._body_ends_at_close = (
            self._status >= _FIRST_FINAL_STATUS
            and self._status not in _NO_BODY
            and b'content-length' not in names
            and b'transfer-encoding' not in names
        )
        if self._status < _FIRST_FINAL_STATUS:
            return
        response = self._response(keeps_alive=True, body=b'')
        self._is_stray = self._match(response) not in _OWN_RESPONSES
        if self._is_head:
            self._complete(keeps_alive=False)

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, unless it answers another request."""
        if self._is_stray:
            self._drop_stray(body)
            return
        self._body_bytes += len(body)
        self._overhead.add_body(len(body))
        if self._is_streaming and self._body_sink is not None:
            if self._on_end is not None:
                self._body_sink.add_body_part(body)
            return
        if self._body_bytes > self._max_body_bytes:
            raise _StopParsing
        self._body.append(body)
        if self._body_bytes > MAX_WHOLE_BODY_BYTES:
            self._begin_streaming()

    def _drop_stray(self, body: bytes) -> None:
        self._stray_bytes += len(body)
        if self._stray_bytes > MAX_STRAY_BYTES:
            raise _StopParsing
        self._overhead.add_body(len(body))

    def _begin_streaming(self) -> None:
        """Pass on what has arrived of a body, and what follows, in parts."""
        sink = self._body_sink
        if sink is None or self._on_end is None or self._completed is not None:
            return
        response = self._response(keeps_alive=True, body=b'')
        length = response.header(b'content-length')
        length_bytes = None
        if length is not None and length.isdigit():
            length_bytes = int(length)
        if not sink.begin_body(response, length_bytes):
            raise _StopParsing
        self._is_streaming = True
        arrived = b''.join(self._body)
        self._body.clear()
        sink.add_body_part(arrived)

    def on_message_complete(self) -> None:
        """Complete the response, or discard an interim one."""
        if self._status < _FIRST_FINAL_STATUS:
            self._reset_response()
            return
        self._complete(keeps_alive=self._parser.should_keep_alive())

    def _complete(self, *, keeps_alive: bool) -> None:
        """Hold a response until all bytes received with it are parsed."""
        response = self._response(
            keeps_alive=keeps_alive, body=b''.join(self._body)
        )
        self._reset_response()
        if self._completed is not None:
            # A second response to one request: no request matches it.
            self._is_unusable = True
            return
        match self._match(response):
            case ResponseMatch.OWN:
                self._completed = response
            case ResponseMatch.LAST:
                self._completed = replace(response, keeps_alive=False)
            case ResponseMatch.OTHER:
                self._has_other_response = True
            case ResponseMatch.UNIDENTIFIED:
                self._is_unusable = True

    def _response(self, *, keeps_alive: bool, body: bytes) -> HttpResponse:
        return HttpResponse(
            status=self._status,
            phrase=self._phrase,
            headers=tuple(self._headers),
            body=body,
            keeps_alive=keeps_alive,
        )

    def _match(self, response: HttpResponse) -> ResponseMatch:
        if self._check_response is None:
            return ResponseMatch.OWN
        found = self._check_response(response)
        if found is ResponseMatch.UNIDENTIFIED and self._sent_requests == 1:
            return ResponseMatch.OWN
        return found

    def _deliver_response(self) -> None:
        """End the exchange with its response, or after invalid bytes."""
        response = self._completed
        if response is None:
            if self._is_unusable:
                self._finish(ExchangeFailure.SPOILED)
                self.abort()
            return
        self._completed = None
        # The rest of a begun head would be read from the next response.
        keeps_alive = (
            response.keeps_alive
            and not self._is_unusable
            and not self._has_other_response
            and not self._has_begun
        )
        self._is_unusable = not keeps_alive
        self._record_keep_alive(response)
        self._finish(replace(response, keeps_alive=keeps_alive))

    def _record_keep_alive(self, response: HttpResponse) -> None:
        content = response.header(b'keep-alive')
        if content is None:
            return
        for part in content.split(b','):
            name, _, amount = part.strip().partition(b'=')
            if name.lower() == b'timeout' and amount.isdigit():
                self.keep_alive_s = float(amount)

    def _finish(self, result: HttpResponse | ExchangeFailure) -> None:
        self.resume()
        on_end = self._on_end
        self._on_end = None
        if on_end is not None:
            on_end(result)

    def _release(self) -> None:
        """Free what was received; the parser and this refer to each other."""
        self._reset_response()
        self._parser = None
        self._body_sink = None

    def _reset_response(self) -> None:
        self._has_begun = False
        self._status = 0
        self._phrase = b''
        self._headers: list[RawHeader] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._is_stray = False
        self._body_ends_at_close = False
