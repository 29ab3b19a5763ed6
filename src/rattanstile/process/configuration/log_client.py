"""HTTP client of the platform's log."""

from collections.abc import Coroutine
from dataclasses import dataclass
from http import HTTPStatus
from io import BytesIO
from typing import Any

import msgspec
from result import Err, Ok, Result
from twisted.internet import error as internet_error
from twisted.internet.defer import CancelledError, Deferred, TimeoutError
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web._newclient import RequestGenerationFailed
from twisted.web.client import (
    URI,
    Agent,
    FileBodyProducer,
    HTTPConnectionPool,
    PartialDownloadError,
    RequestTransmissionFailed,
    ResponseFailed,
    readBody,
)
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer

from rattanstile.decoding import decode_untrusted
from rattanstile.errors import (
    RattanstileError,
    UnavailableError,
    UncertainError,
)
from rattanstile.request.ids import LogOffset

CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 8.0
MAX_CONNECTIONS = 4

_CONNECT_ERRORS = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
)
_LOST_RESPONSE_ERRORS = (
    internet_error.ConnectionClosed,
    ResponseFailed,
    RequestTransmissionFailed,
    RequestGenerationFailed,
    PartialDownloadError,
    CancelledError,
    TimeoutError,
)
_NO_RESPONSE_ERRORS = (*_CONNECT_ERRORS, *_LOST_RESPONSE_ERRORS)
_REFUSAL_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)


class LogUnavailable(UnavailableError):
    """The log did not accept the request; nothing was appended."""


class AppendUncertain(UncertainError):
    """The response to an append was lost; the record may be in the stream."""


class OffsetTooOld(RattanstileError):
    """The record at the requested offset is past retention.

    Attributes:
        oldest: Oldest offset that is still retained.
        next_offset: Offset that the next appended record will get.
    """

    def __init__(self, oldest: LogOffset, next_offset: LogOffset) -> None:
        """Store the offsets at which the stream begins and ends."""
        super().__init__(f'records before offset {oldest} are past retention')
        self.oldest = oldest
        self.next_offset = next_offset


@dataclass(frozen=True, slots=True)
class ReadBatch:
    """Records of a stream in offset order.

    Attributes:
        first: Offset of the first record, or the requested offset.
        oldest: Oldest offset that is still retained.
        next_offset: Offset that the next appended record will get, as seen by
            the replica that responded.
    """

    first: LogOffset
    records: tuple[bytes, ...]
    oldest: LogOffset
    next_offset: LogOffset


AppendResult = Result[LogOffset, LogUnavailable | AppendUncertain]
ReadResult = Result[ReadBatch, LogUnavailable | OffsetTooOld]


class _Page(msgspec.Struct):
    first_offset: int
    records: tuple[bytes, ...]
    oldest_offset: int
    next_offset: int


class _AppendResponse(msgspec.Struct):
    offset: int


_page_decoder = msgspec.json.Decoder(_Page)
_append_decoder = msgspec.json.Decoder(_AppendResponse)


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP addresses without a resolver and its threads."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Return the TCP endpoint of a URI's address."""
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode(), uri.port, CONNECT_TIMEOUT_S
        )


class LogClient:
    """Appends to and reads from streams over persistent connections.

    Args:
        reactor: The reactor.
        address: IP address and port, such as ``127.0.0.1:9400``.
        response_timeout_s: Timeout of a response, in addition to the time
            that a read asks the log to wait.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        """Create the client; connections are opened on first use."""
        self._reactor = reactor
        self._response_timeout_s = response_timeout_s
        self._streams_url = f'http://{address}/streams'
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        self._pool.retryAutomatically = False
        self._agent = Agent.usingEndpointFactory(
            reactor, _AddressEndpoints(reactor), self._pool
        )

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def append(self, stream: str, record: bytes) -> Deferred[AppendResult]:
        """Append a record; the log does not detect duplicates.

        Returns:
            The offset, or an error whose type says whether the record may
            have been appended.
        """
        return self._to_deferred(self._append(stream, record))

    def read(
        self, stream: str, from_offset: LogOffset, wait_s: float
    ) -> Deferred[ReadResult]:
        """Read from an offset, waiting up to `wait_s` for a first record."""
        return self._to_deferred(self._read(stream, from_offset, wait_s))

    def _to_deferred(
        self, coroutine: Coroutine[Deferred[Any], Any, Any]
    ) -> Deferred[Any]:
        return Deferred.fromCoroutine(coroutine)

    async def _append(self, stream: str, record: bytes) -> AppendResult:
        request: Deferred[IResponse] = self._agent.request(
            b'POST',
            f'{self._streams_url}/{stream}/records'.encode(),
            bodyProducer=FileBodyProducer(BytesIO(record)),
        )
        request.addTimeout(self._response_timeout_s, self._reactor)
        try:
            response = await request
        except _CONNECT_ERRORS as failure:
            return Err(
                LogUnavailable(
                    f'log unreachable; nothing was appended: {failure}'
                )
            )
        except _LOST_RESPONSE_ERRORS as failure:
            return Err(
                AppendUncertain(f'lost the response of the log: {failure!r}')
            )
        return await self._append_result(response)

    async def _append_result(self, response: IResponse) -> AppendResult:
        try:
            body = await self._read_body(response)
        except _LOST_RESPONSE_ERRORS as failure:
            return Err(
                AppendUncertain(f'lost the response of the log: {failure!r}')
            )
        if _is_refusal(response.code):
            return Err(
                LogUnavailable(
                    f'log returned status {response.code}; nothing was appended'
                )
            )
        return (
            decode_untrusted(_append_decoder.decode, body)
            .map(lambda appended: LogOffset(appended.offset))
            .map_err(
                lambda _: AppendUncertain(
                    f'log returned no offset with status {response.code}'
                )
            )
        )

    async def _read(
        self, stream: str, from_offset: LogOffset, wait_s: float
    ) -> ReadResult:
        query = f'from={from_offset}&wait_ms={int(wait_s * 1000)}'
        request: Deferred[IResponse] = self._agent.request(
            b'GET', f'{self._streams_url}/{stream}/records?{query}'.encode()
        )
        request.addTimeout(self._response_timeout_s + wait_s, self._reactor)
        try:
            response = await request
            body = await self._read_body(response)
        except _NO_RESPONSE_ERRORS as failure:
            return Err(LogUnavailable(f'no response from the log: {failure!r}'))
        return self._read_result(response.code, body)

    def _read_result(self, status: int, body: bytes) -> ReadResult:
        if status not in {HTTPStatus.OK, HTTPStatus.GONE}:
            return Err(LogUnavailable(f'log returned status {status}'))
        decoded = decode_untrusted(_page_decoder.decode, body)
        if isinstance(decoded, Err):
            why = decoded.err_value.message
            return Err(LogUnavailable(f'invalid response from the log: {why}'))
        page = decoded.ok_value
        oldest = LogOffset(page.oldest_offset)
        next_offset = LogOffset(page.next_offset)
        if status == HTTPStatus.GONE:
            return Err(OffsetTooOld(oldest, next_offset))
        return Ok(
            ReadBatch(
                LogOffset(page.first_offset), page.records, oldest, next_offset
            )
        )

    def _read_body(self, response: IResponse) -> Deferred[bytes]:
        body: Deferred[bytes] = readBody(response)
        return body.addTimeout(self._response_timeout_s, self._reactor)


def _is_refusal(status: int) -> bool:
    client_error = status // 100 == 4
    return client_error or status in _REFUSAL_STATUSES
