"""A minimal HTTP/1.1 client with low overhead for the load generator."""

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from rattanstile.connection.target_answer import (
    AnswerCutError,
    AnswerReader,
    TargetAnswer,
)
from rattanstile.process.reactor import Reactor
from rattanstile.process.settings import parse_address

CONNECT_TIMEOUT_S = 2
MAX_IDLE_CONNECTIONS = 256


@dataclass(slots=True)
class _Pool:
    """Pool of idle connections to one address."""

    idle: list['_Connection'] = field(default_factory=list)


class PlainHttp:
    """Sends requests over pooled connections, one at a time on each."""

    def __init__(self, reactor: Reactor) -> None:
        """Initialise the client; connections are opened on demand."""
        self._reactor = reactor
        self._pools: dict[str, _Pool] = {}

    async def send_request(
        self, address: str, request: bytes, timeout_s: float
    ) -> TargetAnswer:
        """Send an encoded request and return the response.

        Raises:
            ConnectError: The connection was refused; nothing was sent.
            ConnectionLost: No complete response arrived within the timeout,
                or the connection was closed.
            AnswerCutError: The response is truncated or malformed.
        """
        pool = self._pools.setdefault(address, _Pool())
        connection = await self._usable_connection(address, pool)
        response = await connection.send_request(
            request, self._reactor, timeout_s
        )
        if connection.is_usable and len(pool.idle) < MAX_IDLE_CONNECTIONS:
            pool.idle.append(connection)
        return response

    async def _usable_connection(
        self, address: str, pool: _Pool
    ) -> '_Connection':
        while pool.idle:
            idle = pool.idle.pop()
            if idle.is_usable:
                return idle
        parsed = parse_address(address)
        endpoint = TCP4ClientEndpoint(
            self._reactor, parsed.host, parsed.port, CONNECT_TIMEOUT_S
        )
        opened: _Connection = await connectProtocol(endpoint, _Connection())
        return opened


class _Connection(Protocol):
    """A connection with at most one request in flight."""

    def __init__(self) -> None:
        self._reader = AnswerReader()
        self._pending: Deferred[TargetAnswer] | None = None
        self._is_open = True

    @property
    def is_usable(self) -> bool:
        return self._is_open and self._reader.keeps_alive

    async def send_request(
        self, request: bytes, reactor: Reactor, timeout_s: float
    ) -> TargetAnswer:
        pending: Deferred[TargetAnswer] = Deferred()
        self._pending = pending
        self._reader.expect(is_head=False)
        self.transport.write(request)  # type: ignore[union-attr]
        timeout = reactor.callLater(timeout_s, self._abort)
        try:
            return await pending
        finally:
            if timeout.active():
                timeout.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            response = self._reader.feed(data)
        except AnswerCutError as error:
            self._settle(Failure(error))
            self._abort()
            return
        if response is not None:
            self._settle(response)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        self._is_open = False
        if reason.check(ConnectionDone):
            reason = Failure(ConnectionLost())
        self._settle(reason)

    def _abort(self) -> None:
        self._is_open = False
        self.transport.abortConnection()  # type: ignore[union-attr]

    def _settle(self, result: TargetAnswer | Failure) -> None:
        pending = self._pending
        self._pending = None
        if pending is None:
            return
        if isinstance(result, Failure):
            pending.errback(result)
        else:
            pending.callback(result)
