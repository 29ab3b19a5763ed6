"""Client of the platform's log."""

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

from rattanstile.errors import (
    RattanstileError,
    UnavailableError,
    UncertainError,
)
from rattanstile.request.ids import LogOffset

CONNECT_TIMEOUT_S = 2.0
ANSWER_TIMEOUT_S = 8.0
MAX_CONNECTIONS = 4

_NOT_SENT = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
)
_LOST = (
    internet_error.ConnectionClosed,
    ResponseFailed,
    RequestTransmissionFailed,
    RequestGenerationFailed,
    PartialDownloadError,
    CancelledError,
    TimeoutError,
)
_NOT_ANSWERED = (*_NOT_SENT, *_LOST)
_NOT_TAKEN = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)


class LogUnavailable(UnavailableError):
    """The log did not take the request; nothing was appended."""


class AppendUncertain(UncertainError):
    """The answer to an append is lost; the record may be in the stream."""


class OffsetTooOld(RattanstileError):
    """Records from the offset asked for on are past retention.

    Attributes:
        oldest: Oldest offset that is still kept.
    """

    def __init__(self, oldest: LogOffset, next_offset: LogOffset) -> None:
        """Keep where the stream begins and ends."""
        super().__init__(f'records before offset {oldest} are past retention')
        self.oldest = oldest
        self.next_offset = next_offset


@dataclass(frozen=True, slots=True)
class ReadBatch:
    """Records of a stream in the order of their offsets.

    Attributes:
        first: Offset of the first record, or the offset asked for.
        oldest: Oldest offset that is still kept.
        next_offset: Offset that the next record appended will get, as the
            replica that answered sees it.
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


class _AppendAnswer(msgspec.Struct):
    offset: int


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Connects to IP numbers without a resolver and its threads."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Return the endpoint of an address."""
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode(), uri.port, CONNECT_TIMEOUT_S
        )


class LogClient:
    """Appends to and reads from streams over persistent connections.

    Args:
        reactor: The reactor.
        address: IP number and port, such as ``127.0.0.1:9400``.
        answer_timeout_s: Longest wait for an answer beyond a read's own wait.
    """

    def __init__(
        self,
        reactor: Any,
        address: str,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        """Open no connection yet."""
        self._reactor = reactor
        self._answer_timeout_s = answer_timeout_s
        self._base = f'http://{address}/streams'
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
        """Append a record; the log doesn't recognise one sent twice.

        Returns:
            The offset, or an error that tells whether the record may be in.
        """
        return self._started(self._append(stream, record))

    def read(
        self, stream: str, from_offset: LogOffset, wait_s: float
    ) -> Deferred[ReadResult]:
        """Read from an offset on, waiting up to `wait_s` for a first record."""
        return self._started(self._read(stream, from_offset, wait_s))

    def _started(
        self, coroutine: Coroutine[Deferred[Any], Any, Any]
    ) -> Deferred[Any]:
        return Deferred.fromCoroutine(coroutine)

    async def _append(self, stream: str, record: bytes) -> AppendResult:
        request: Deferred[IResponse] = self._agent.request(
            b'POST',
            f'{self._base}/{stream}/records'.encode(),
            bodyProducer=FileBodyProducer(BytesIO(record)),
        )
        request.addTimeout(self._answer_timeout_s, self._reactor)
        try:
            response = await request
        except _NOT_SENT as failure:
            return Err(
                LogUnavailable(
                    f'log not reached, nothing was appended: {failure}'
                )
            )
        except _LOST as failure:
            return Err(AppendUncertain(f'answer of the log lost: {failure!r}'))
        return await self._append_answer(response)

    async def _append_answer(self, response: IResponse) -> AppendResult:
        try:
            body = await self._body(response)
        except _LOST as failure:
            return Err(AppendUncertain(f'answer of the log lost: {failure!r}'))
        if _is_refusal(response.code):
            return Err(
                LogUnavailable(
                    f'log answered {response.code}, nothing was appended'
                )
            )
        try:
            answer = msgspec.json.decode(body, type=_AppendAnswer)
        except msgspec.MsgspecError:
            return Err(AppendUncertain(f'log answered {response.code}'))
        return Ok(LogOffset(answer.offset))

    async def _read(
        self, stream: str, from_offset: LogOffset, wait_s: float
    ) -> ReadResult:
        query = f'from={from_offset}&wait_ms={int(wait_s * 1000)}'
        request: Deferred[IResponse] = self._agent.request(
            b'GET', f'{self._base}/{stream}/records?{query}'.encode()
        )
        request.addTimeout(self._answer_timeout_s + wait_s, self._reactor)
        try:
            response = await request
            body = await self._body(response)
        except _NOT_ANSWERED as failure:
            return Err(LogUnavailable(f'log not reached: {failure!r}'))
        return self._page(response.code, body)

    def _page(self, status: int, body: bytes) -> ReadResult:
        if status not in {HTTPStatus.OK, HTTPStatus.GONE}:
            return Err(LogUnavailable(f'log answered {status}'))
        try:
            page = msgspec.json.decode(body, type=_Page)
        except msgspec.MsgspecError as failure:
            return Err(LogUnavailable(f'answer of the log broken: {failure}'))
        oldest = LogOffset(page.oldest_offset)
        next_offset = LogOffset(page.next_offset)
        if status == HTTPStatus.GONE:
            return Err(OffsetTooOld(oldest, next_offset))
        return Ok(
            ReadBatch(
                LogOffset(page.first_offset), page.records, oldest, next_offset
            )
        )

    def _body(self, response: IResponse) -> Deferred[bytes]:
        body: Deferred[bytes] = readBody(response)
        return body.addTimeout(self._answer_timeout_s, self._reactor)


def _is_refusal(status: int) -> bool:
    client_error = status // 100 == 4
    return client_error or status in _NOT_TAKEN
