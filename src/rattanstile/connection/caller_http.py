"""HTTP/1.1 connections of callers.

Requests of one connection are handled one after another, so that pipelined
ones are answered in order. All that a caller can make the node hold is
bounded: head, body, bodies of all callers, unanswered requests, connections.
"""

from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, cast

import logbook
from twisted.internet.address import IPv4Address
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import (
    IReactorTCP,
)
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.http_reply import encode_reply
from rattanstile.connection.http_request import (
    TIMED_OUT,
    BodyBudget,
    CallerHttpRequest,
    Parsed,
    RequestParser,
    RequestRefused,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import CallId
from rattanstile.request.outcome import Outcome, Reason

MAX_CONNECTIONS = 2048
MAX_PIPELINED = 16
CHECK_PERIOD_S = 1.0
REQUEST_CHECKS = 10
IDLE_CHECKS = 120
UNREAD_CHECKS = 30
LINGER_CHECKS = 5

CallerHttpHandler = Callable[[CallerHttpRequest], Deferred[Reply]]

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_log = logbook.Logger('caller_http')


class CallerHttpConnection(Protocol):
    """One caller's connection.

    Args:
        factory: Gives the handler and counts connections.
    """

    def __init__(self, factory: 'CallerHttpFactory') -> None:
        """Begin before the first request."""
        self._owner = factory
        self._parser = RequestParser(factory.bodies)
        self._waiting: deque[Parsed] = deque()
        self._running: Deferred[Reply] | None = None
        self._checks = 0
        self._is_unread = False
        self._is_over = False
        self._is_lost = False
        self._is_reading_paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection."""
        transport = cast(Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._owner.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes; those behind a refused request are thrown away."""
        if self._is_over:
            return
        if not self._parser.is_mid_request:
            self._checks = 0
        parsed = self._parser.feed(data)
        self._waiting.extend(parsed)
        if parsed and isinstance(parsed[-1], RequestRefused):
            self._is_over = True
        self._run_next()
        if self._parser.wants_continue and self._is_free():
            self._parser.wants_continue = False
            self._write(_CONTINUE)
        if len(self._waiting) > MAX_PIPELINED:
            self._pause_reading()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel what runs; nobody waits for it."""
        self._owner.connections.discard(self)
        self._is_over = True
        self._is_lost = True
        self._drop_waiting()
        if self._running is not None:
            self._running.cancel()

    def check(self) -> None:
        """Look for a caller that is slow or gone; once `CHECK_PERIOD_S`."""
        self._checks += 1
        if self._running is not None and not self._is_unread:
            self._checks = 0
        elif self._checks >= self._checks_allowed():
            self._give_up()

    def _checks_allowed(self) -> int:
        if self._lingers():
            return LINGER_CHECKS
        if self._is_unread:
            return UNREAD_CHECKS
        if self._parser.is_mid_request:
            return REQUEST_CHECKS
        return IDLE_CHECKS

    def _give_up(self) -> None:
        is_slow = self._parser.is_mid_request and not self._is_unread
        if is_slow and not self._lingers():
            self._refuse_slow()
        else:
            self._abort()

    def _lingers(self) -> bool:
        return self._is_over and self._is_free()

    def pauseProducing(self) -> None:  # noqa: N802
        """Learn that the caller reads more slowly than it is answered."""
        self._is_unread = True
        self._checks = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Learn that the caller has read all that was written."""
        self._is_unread = False
        self._checks = 0
        self._run_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Learn that the connection closes."""

    def _is_free(self) -> bool:
        return self._running is None and not self._waiting

    def _run_next(self) -> None:
        while self._waiting and self._running is None and not self._is_unread:
            following = self._waiting.popleft()
            if isinstance(following, RequestRefused):
                self._answer_refused(following)
            else:
                self._run(following)
        if self._is_reading_paused and not self._waiting:
            self._is_reading_paused = False
            self.transport.resumeProducing()  # type: ignore[union-attr]

    def _pause_reading(self) -> None:
        self._is_reading_paused = True
        self.transport.pauseProducing()  # type: ignore[union-attr]

    def _run(self, request: CallerHttpRequest) -> None:
        try:
            running = self._owner.handler(request)
        except Exception:
            _log.exception(key_values('request_failed'))
            running = Deferred()
            running.callback(_unknown())
        self._running = running
        running.addErrback(_settle_failure)
        running.addCallback(self._answer, request)
        running.addErrback(self._log_failure)

    def _answer(self, reply: Reply | None, request: CallerHttpRequest) -> None:
        self._running = None
        self._checks = 0
        self._owner.bodies.give_back(len(request.body))
        if reply is None or self._is_lost:
            return
        self._write(
            encode_reply(
                reply,
                is_head=request.method == 'HEAD',
                keeps_alive=request.keeps_alive,
            ),
        )
        if request.keeps_alive:
            self._run_next()
        else:
            self._finish()

    def _log_failure(self, failure: Failure) -> None:
        _log.error(key_values('reply_failed', cause=repr(failure.value)))
        self._abort()

    def _answer_refused(self, refused: RequestRefused) -> None:
        _log.info(
            key_values(
                'request_refused',
                status=refused.status,
                reason=refused.reason.value,
            )
        )
        reply = Reply(
            call_id=CallId(''),
            attempt=1,
            outcome=Outcome.NOT_RUN,
            reason=refused.reason,
            status=refused.status,
            retry_after_ms=refused.retry_after_ms,
        )
        self._write(encode_reply(reply, is_head=False, keeps_alive=False))
        self._finish()

    def _refuse_slow(self) -> None:
        self._is_over = True
        self._answer_refused(TIMED_OUT)

    def _finish(self) -> None:
        """Close once the caller has had time to read the last reply."""
        self._is_over = True
        self._checks = 0
        self._drop_waiting()
        self.transport.loseWriteConnection()  # type: ignore[union-attr]

    def _drop_waiting(self) -> None:
        self._parser.drop()
        for waiting in self._waiting:
            if isinstance(waiting, CallerHttpRequest):
                self._owner.bodies.give_back(len(waiting.body))
        self._waiting.clear()

    def _write(self, encoded: bytes) -> None:
        write_now(self.transport, encoded)

    def _abort(self) -> None:
        self.transport.abortConnection()  # type: ignore[union-attr]


def _settle_failure(failure: Failure) -> Reply | None:
    if isinstance(failure.value, CancelledError):
        return None
    _log.error(key_values('request_failed', cause=repr(failure.value)))
    return _unknown()


def _unknown() -> Reply:
    reason = Reason.CONNECTION_LOST
    return Reply(
        call_id=CallId(''),
        attempt=1,
        outcome=Outcome.UNKNOWN,
        reason=reason,
        status=reason.status,
    )


class CallerHttpFactory(ServerFactory):
    """Builds callers' connections, up to a limit.

    Args:
        handler: Runs a request; its Deferred is cancelled when the caller
            goes away.
        max_connections: Further connections are closed at once.
    """

    noisy = False

    def __init__(
        self,
        handler: CallerHttpHandler,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Begin without connections."""
        self.handler = handler
        self.bodies = BodyBudget()
        self.connections: set[CallerHttpConnection] = set()
        self._max_connections = max_connections

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> CallerHttpConnection | None:
        """Return the connection, or None when there are too many."""
        if len(self.connections) >= self._max_connections:
            _log.warning(
                key_values(
                    'connection_refused', connections=len(self.connections)
                )
            )
            return None
        return CallerHttpConnection(self)

    def check(self, now_s: float) -> None:
        """Look for callers that are slow or gone."""
        for connection in tuple(self.connections):
            connection.check()


@contextmanager
def listening_for_callers(
    reactor: IReactorTCP,
    timers: TimerService,
    host: str,
    port: int,
    handler: CallerHttpHandler,
    max_connections: int = MAX_CONNECTIONS,
) -> Iterator[int]:
    """Serve callers while the block runs.

    Args:
        port: 0 for a port that the system chooses.

    Yields:
        The port listened on.
    """
    factory = CallerHttpFactory(handler, max_connections)
    listener = reactor.listenTCP(port, factory, interface=host)
    try:
        with timers.every(CHECK_PERIOD_S, factory.check):
            yield cast(IPv4Address, listener.getHost()).port
    finally:
        listener.stopListening()
