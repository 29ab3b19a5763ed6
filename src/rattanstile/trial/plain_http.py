"""A plain HTTP/1.1 client that costs the driver of a trial little."""

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
IDLE_MAX = 256


@dataclass(slots=True)
class _Pool:
    """Idle connections to one address."""

    idle: list['_Connection'] = field(default_factory=list)


class PlainHttp:
    """Sends requests over kept connections, one at a time on each."""

    def __init__(self, reactor: Reactor) -> None:
        """Open no connection yet."""
        self._reactor = reactor
        self._pools: dict[str, _Pool] = {}

    async def ask(
        self, address: str, request: bytes, timeout_s: float
    ) -> TargetAnswer:
        """Send the bytes of a request and return the answer.

        Raises:
            ConnectError: The connection was refused; nothing was sent.
            ConnectionLost: No whole answer came in time.
            AnswerCutError: The answer was cut short.
        """
        pool = self._pools.setdefault(address, _Pool())
        connection = await self._connection(address, pool)
        answer = await connection.ask(request, self._reactor, timeout_s)
        if connection.is_usable and len(pool.idle) < IDLE_MAX:
            pool.idle.append(connection)
        return answer

    async def _connection(self, address: str, pool: _Pool) -> '_Connection':
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
    """One connection."""

    def __init__(self) -> None:
        self._reader = AnswerReader()
        self._waiting: Deferred[TargetAnswer] | None = None
        self._is_open = True

    @property
    def is_usable(self) -> bool:
        return self._is_open and self._reader.keeps_alive

    async def ask(
        self, request: bytes, reactor: Reactor, timeout_s: float
    ) -> TargetAnswer:
        waiting: Deferred[TargetAnswer] = Deferred()
        self._waiting = waiting
        self._reader.expect(is_head=False)
        self.transport.write(request)  # type: ignore[union-attr]
        delayed = reactor.callLater(timeout_s, self._give_up)
        try:
            return await waiting
        finally:
            if delayed.active():
                delayed.cancel()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        try:
            answer = self._reader.feed(data)
        except AnswerCutError as error:
            self._end(Failure(error))
            self._give_up()
            return
        if answer is not None:
            self._end(answer)

    def connectionLost(  # noqa: N802
        self, reason: Failure = connectionDone
    ) -> None:
        self._is_open = False
        if reason.check(ConnectionDone):
            reason = Failure(ConnectionLost())
        self._end(reason)

    def _give_up(self) -> None:
        self._is_open = False
        self.transport.abortConnection()  # type: ignore[union-attr]

    def _end(self, ended: TargetAnswer | Failure) -> None:
        waiting = self._waiting
        self._waiting = None
        if waiting is None:
            return
        if isinstance(ended, Failure):
            waiting.errback(ended)
        else:
            waiting.callback(ended)
