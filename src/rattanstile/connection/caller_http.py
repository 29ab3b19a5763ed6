"""HTTP/1.1 connections of callers.

Requests of one connection are handled one after another, so that pipelined
requests are answered in order. Everything that callers can make the node
buffer is bounded: request head, body, total size of all bodies, unanswered
requests, connections.
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
    REQUEST_TIMEOUT,
    BodyBudget,
    CallerHttpRequest,
    ParseResult,
    RequestParser,
    RequestRefusal,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import CallId
from rattanstile.request.outcome import Outcome, Reason

MAX_CONNECTIONS = 2048
MAX_PIPELINED = 16
EVICTION_BATCH = 64
"""A search through all connections makes room for this part of them."""
CHECK_PERIOD_S = 1.0
# Timeouts, in checks: one check runs every CHECK_PERIOD_S.
REQUEST_TIMEOUT_CHECKS = 10
IDLE_TIMEOUT_CHECKS = 120
WRITE_TIMEOUT_CHECKS = 30
LINGER_TIMEOUT_CHECKS = 5

CallerHttpHandler = Callable[[CallerHttpRequest], Deferred[Reply]]

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_log = logbook.Logger('caller_http')


class CallerHttpConnection(Protocol):
    """A connection opened by a caller.

    Args:
        factory: Provides the handler and tracks the open connections.
    """

    def __init__(self, factory: 'CallerHttpFactory') -> None:
        """Initialize the connection before its first request."""
        self._factory = factory
        self._parser = RequestParser(factory.body_budget)
        self._pending_requests: deque[ParseResult] = deque()
        self._pending_reply: Deferred[Reply] | None = None
        self._elapsed_checks = 0
        self._is_writing_paused = False
        self._is_closing = False
        self._is_lost = False
        self._is_reading_paused = False

    def connectionMade(self) -> None:  # noqa: N802
        """Configure the transport and register the connection."""
        transport = cast(Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._factory.connections.add(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes; those after a refused request are discarded."""
        if self._is_closing:
            return
        if not self._parser.is_mid_request:
            self._elapsed_checks = 0
        parsed = self._parser.feed(data)
        self._pending_requests.extend(parsed)
        if parsed and isinstance(parsed[-1], RequestRefusal):
            self._is_closing = True
        self._start_next()
        if self._parser.expects_continue and self._is_idle():
            self._parser.expects_continue = False
            self._write(_CONTINUE)
        if len(self._pending_requests) > MAX_PIPELINED:
            self._pause_reading()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel the running request, since its caller is gone."""
        self._factory.connections.discard(self)
        self._is_closing = True
        self._is_lost = True
        self._drop_pending()
        if self._pending_reply is not None:
            self._pending_reply.cancel()

    @property
    def is_unfinished(self) -> bool:
        """Return whether it waits for the rest of a request."""
        return self._parser.is_mid_request and self.is_waiting

    @property
    def is_waiting(self) -> bool:
        """Return whether no request of it was read completely."""
        return self._is_idle() and not self._is_closing

    @property
    def elapsed_checks(self) -> int:
        """Return for how many checks it has been waiting."""
        return self._elapsed_checks

    def give_way(self) -> None:
        """Close the connection, on which no whole request waits."""
        self._is_closing = True
        self._abort()

    def check(self) -> None:
        """Apply the timeouts; called every `CHECK_PERIOD_S`."""
        self._elapsed_checks += 1
        if self._pending_reply is not None and not self._is_writing_paused:
            self._elapsed_checks = 0
        elif self._elapsed_checks >= self._max_checks():
            self._handle_timeout()

    def _max_checks(self) -> int:
        if self._is_lingering():
            return LINGER_TIMEOUT_CHECKS
        if self._is_writing_paused:
            return WRITE_TIMEOUT_CHECKS
        if self._parser.is_mid_request:
            return REQUEST_TIMEOUT_CHECKS
        return IDLE_TIMEOUT_CHECKS

    def _handle_timeout(self) -> None:
        is_slow = self._parser.is_mid_request and not self._is_writing_paused
        if is_slow and not self._is_lingering():
            self._refuse_timed_out()
        else:
            self._abort()

    def _is_lingering(self) -> bool:
        return self._is_closing and self._is_idle()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause replies: the caller reads too slowly."""
        self._is_writing_paused = True
        self._elapsed_checks = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume replies: the write buffer has been sent."""
        self._is_writing_paused = False
        self._elapsed_checks = 0
        self._start_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Ignore that the connection closes; `connectionLost` follows."""

    def _is_idle(self) -> bool:
        return self._pending_reply is None and not self._pending_requests

    def _start_next(self) -> None:
        while (
            self._pending_requests
            and self._pending_reply is None
            and not self._is_writing_paused
        ):
            parse_result = self._pending_requests.popleft()
            if isinstance(parse_result, RequestRefusal):
                self._write_refusal(parse_result)
            else:
                self._start_request(parse_result)
        if self._is_reading_paused and not self._pending_requests:
            self._is_reading_paused = False
            self.transport.resumeProducing()  # type: ignore[union-attr]

    def _pause_reading(self) -> None:
        self._is_reading_paused = True
        self.transport.pauseProducing()  # type: ignore[union-attr]

    def _start_request(self, request: CallerHttpRequest) -> None:
        try:
            pending_reply = self._factory.handler(request)
        except Exception:
            _log.exception(key_values('request_failed'))
            pending_reply = Deferred()
            pending_reply.callback(_unknown_reply())
        self._pending_reply = pending_reply
        pending_reply.addErrback(_reply_to_failure)
        pending_reply.addCallback(self._write_reply, request)
        pending_reply.addErrback(self._log_failure)

    def _write_reply(
        self, reply: Reply | None, request: CallerHttpRequest
    ) -> None:
        self._pending_reply = None
        self._elapsed_checks = 0
        self._factory.body_budget.release(len(request.body))
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
            self._start_next()
        else:
            self._close_after_reply()

    def _log_failure(self, failure: Failure) -> None:
        _log.error(key_values('reply_failed', cause=repr(failure.value)))
        self._abort()

    def _write_refusal(self, refusal: RequestRefusal) -> None:
        _log.info(
            key_values(
                'request_refused',
                status=refusal.status,
                reason=refusal.reason.value,
            )
        )
        reply = Reply(
            call_id=CallId(''),
            attempt=1,
            outcome=Outcome.NOT_RUN,
            reason=refusal.reason,
            status=refusal.status,
            retry_after_ms=refusal.retry_after_ms,
        )
        self._write(encode_reply(reply, is_head=False, keeps_alive=False))
        self._close_after_reply()

    def _refuse_timed_out(self) -> None:
        self._is_closing = True
        self._write_refusal(REQUEST_TIMEOUT)

    def _close_after_reply(self) -> None:
        """Close the write side after the last reply.

        The caller gets `LINGER_TIMEOUT_CHECKS` to read it and to close its
        own side; then `check` aborts the connection.
        """
        self._is_closing = True
        self._elapsed_checks = 0
        self._drop_pending()
        self.transport.loseWriteConnection()  # type: ignore[union-attr]

    def _drop_pending(self) -> None:
        self._parser.drop()
        for pending in self._pending_requests:
            if isinstance(pending, CallerHttpRequest):
                self._factory.body_budget.release(len(pending.body))
        self._pending_requests.clear()

    def _write(self, encoded: bytes) -> None:
        write_now(self.transport, encoded)

    def _abort(self) -> None:
        self.transport.abortConnection()  # type: ignore[union-attr]


def _reply_to_failure(failure: Failure) -> Reply | None:
    if isinstance(failure.value, CancelledError):
        return None
    _log.error(key_values('request_failed', cause=repr(failure.value)))
    return _unknown_reply()


def _unknown_reply() -> Reply:
    reason = Reason.CONNECTION_LOST
    return Reply(
        call_id=CallId(''),
        attempt=1,
        outcome=Outcome.UNKNOWN,
        reason=reason,
        status=reason.status,
    )


class CallerHttpFactory(ServerFactory):
    """Creates callers' connections, up to a limit.

    Args:
        handler: Handles a request; its Deferred is cancelled when the
            caller disconnects.
        max_connections: Maximum number of open connections; further ones are
            closed at once unless others give way.
    """

    noisy = False

    def __init__(
        self,
        handler: CallerHttpHandler,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        """Initialize the factory without connections."""
        self.handler = handler
        self.body_budget = BodyBudget()
        self.connections: set[CallerHttpConnection] = set()
        self._max_connections = max_connections

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> CallerHttpConnection | None:
        """Return a new connection, or None if there is no room for it."""
        if (
            len(self.connections) >= self._max_connections
            and not self._make_room()
        ):
            _log.warning(
                key_values(
                    'connection_refused', connections=len(self.connections)
                )
            )
            return None
        return CallerHttpConnection(self)

    def _make_room(self) -> bool:
        """Close some connections; return whether any could give way.

        The longest idle ones go first, then the unfinished requests that have
        been waited for the longest. Requests that were read completely stay.
        """
        waiting = [
            connection
            for connection in self.connections
            if connection.is_waiting
        ]
        waiting.sort(
            key=lambda connection: (
                connection.is_unfinished,
                -connection.elapsed_checks,
            )
        )
        batch = max(1, self._max_connections // EVICTION_BATCH)
        given_up = waiting[:batch]
        for connection in given_up:
            self.connections.discard(connection)
            connection.give_way()
        if given_up:
            _log.info(key_values('clients_closed', count=len(given_up)))
        return bool(given_up)

    def check(self, now_s: float) -> None:
        """Apply the timeouts of all connections."""
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
    """Accept callers' connections while the context is active.

    Args:
        port: Port to listen on; 0 lets the operating system choose one.
        max_connections: Maximum number of open connections.

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
