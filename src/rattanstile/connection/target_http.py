"""Persistent HTTP/1.1 connections to the target beside the node."""

from collections import deque
from dataclasses import dataclass
from typing import Any

import logbook
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.http_rules import headers_for_target
from rattanstile.connection.liveness import watch_local_end
from rattanstile.connection.target_answer import (
    AnswerCutError,
    AnswerReader,
    TargetAnswer,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import TargetFailure
from rattanstile.process.timers import Timer, TimerService
from rattanstile.request.envelope import Header

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_S = 20.0

_MS_PER_S = 1000
_log = logbook.Logger('target_http')


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A call as it is sent to the target.

    Attributes:
        token: Identifies the call to the node when the target makes child
            calls.
        timeout_s: Time left for the call, also stated to the target.
    """

    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    token: str
    timeout_s: float


TargetResult = TargetAnswer | TargetFailure


class TargetSessions:
    """Runs calls on the target, one at a time on each connection.

    Args:
        reactor: Opens the connections.
        timers: Clock and timeouts.
        host: IP address of the target.
        port: Port of the target.
        max_connections: Limit of open connections; further calls wait for one.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerService,
        host: str,
        port: int,
        max_connections: int,
    ) -> None:
        """Start without connections."""
        self._reactor = reactor
        self._timers = timers
        self._host = host
        self._port = port
        self._max_connections = max_connections
        self._open_connections = 0
        self._connecting = 0
        self._idle: list[_TargetConnection] = []
        self._waiting: deque[_Run] = deque()
        self._is_closed = False

    def run(self, request: TargetRequest) -> Deferred[TargetResult]:
        """Run a call on the target.

        Returns:
            A Deferred of the complete answer or of the kind of failure; it
            never fails. Cancelling it closes the call's connection.
        """
        run = _Run(self, request, self._timers)
        connection = self._take_idle()
        if connection is not None:
            connection.begin(run)
            return run.result
        self._waiting.append(run)
        self._connect_for_waiting()
        return run.result

    def close(self) -> None:
        """Close idle connections now, and busy ones after their call."""
        self._is_closed = True
        for connection in tuple(self._idle):
            connection.abort()

    def connection_opened(self, connection: '_TargetConnection') -> None:
        """Assign the first call to a new connection."""
        self._connecting -= 1
        self.connection_freed(connection)

    def connect_failed(self) -> None:
        """Fail one waiting call, of which nothing was sent."""
        self._connecting -= 1
        self._open_connections -= 1
        if self._waiting:
            self._waiting.popleft().end(TargetFailure.NOT_SENT)
        self._connect_for_waiting()

    def connection_freed(self, connection: '_TargetConnection') -> None:
        """Assign the next call to a connection, or keep it idle."""
        if self._waiting:
            connection.begin(self._waiting.popleft())
        elif self._is_closed:
            connection.abort()
        else:
            self._idle.append(connection)
            self._close_oldest_idle(connection.answered_s - MAX_IDLE_S)

    def connection_dropped(self, connection: '_TargetConnection') -> None:
        """Remove a connection that takes no further call."""
        if connection in self._idle:
            self._idle.remove(connection)

    def connection_lost(self) -> None:
        """Replace a closed connection if calls wait for one."""
        self._open_connections -= 1
        self._connect_for_waiting()

    def run_withdrawn(self, run: '_Run') -> None:
        """Remove a call that ended while it waited for a connection."""
        if run in self._waiting:
            self._waiting.remove(run)

    def run_timed_out(self, began_s: float) -> None:
        """Close idle connections without an answer since `began_s`.

        The cause that made one connection silent may affect them as well.
        """
        for connection in tuple(self._idle):
            if connection.answered_s < began_s:
                connection.abort()

    def _take_idle(self) -> '_TargetConnection | None':
        oldest_s = self._timers.now_s() - MAX_IDLE_S
        while self._idle:
            connection = self._idle.pop()
            if connection.answered_s >= oldest_s:
                return connection
            connection.abort()
        return None

    def _close_oldest_idle(self, since_s: float) -> None:
        # The first idle connection has the oldest answer.
        oldest = self._idle[0]
        if oldest.answered_s < since_s:
            oldest.abort()

    def _connect_for_waiting(self) -> None:
        if len(self._waiting) <= self._connecting:
            return
        if self._open_connections >= self._max_connections:
            return
        self._connecting += 1
        self._open_connections += 1
        self._reactor.connectTCP(
            self._host,
            self._port,
            _TargetFactory(self, self._timers),
            CONNECT_TIMEOUT_S,
        )


class _Run:
    """One call on the target, until its result is delivered."""

    def __init__(
        self,
        sessions: TargetSessions,
        request: TargetRequest,
        timers: TimerService,
    ) -> None:
        self.request = request
        self.result: Deferred[TargetResult] = Deferred(self._cancel)
        self.connection: _TargetConnection | None = None
        self._sessions = sessions
        self._began_s = timers.now_s()
        self._timer: Timer = timers.after(request.timeout_s, self._time_out)
        self._is_over = False

    def end(self, result: TargetResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._timer.cancel()
        self.result.callback(result)

    def _time_out(self, now_s: float) -> None:
        self._stop(TargetFailure.TIMEOUT)
        self._sessions.run_timed_out(self._began_s)

    def _cancel(self, result: Deferred[TargetResult]) -> None:
        self._stop(TargetFailure.CANCELLED)

    def _stop(self, failure: TargetFailure) -> None:
        connection = self.connection
        if connection is None:
            self._sessions.run_withdrawn(self)
            self.end(TargetFailure.NOT_SENT)
            return
        self.end(failure)
        connection.abort()


class _TargetConnection(Protocol):
    """One connection to the target."""

    def __init__(self, sessions: TargetSessions, timers: TimerService) -> None:
        self.answered_s = timers.now_s()
        self._sessions = sessions
        self._timers = timers
        self._reader = AnswerReader()
        self._run: _Run | None = None
        self._has_answer_begun = False
        self._is_aborted = False

    def connectionMade(self) -> None:  # noqa: N802
        watch_local_end(self.transport)
        self._sessions.connection_opened(self)

    def begin(self, run: _Run) -> None:
        request = run.request
        run.connection = self
        self._run = run
        self._has_answer_begun = False
        self._reader.expect(is_head=request.method == 'HEAD')
        write_now(self.transport, encode_request(request))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._has_answer_begun = True
        try:
            answer = self._reader.feed(data)
        except AnswerCutError:
            self._end_run(TargetFailure.ANSWER_CUT)
            self.abort()
            return
        if answer is None:
            return
        if self._answers_other_call(answer):
            _log.warning(key_values('answer_mismatched'))
            self._end_run(TargetFailure.ANSWER_CUT)
            self.abort()
            return
        self.answered_s = self._timers.now_s()
        self._end_run(answer)
        if self._reader.keeps_alive:
            self._sessions.connection_freed(self)
        else:
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._is_aborted = True
        self._end_run(
            TargetFailure.ANSWER_CUT
            if self._has_answer_begun
            else TargetFailure.RESET,
        )
        self._sessions.connection_dropped(self)
        self._sessions.connection_lost()

    def abort(self) -> None:
        if not self._is_aborted:
            self._is_aborted = True
            self._sessions.connection_dropped(self)
            self.transport.abortConnection()  # type: ignore[union-attr]

    def _answers_other_call(self, answer: TargetAnswer) -> bool:
        run = self._run
        return (
            run is not None
            and bool(answer.token)
            and answer.token != run.request.token
        )

    def _end_run(self, result: TargetResult) -> None:
        run = self._run
        self._run = None
        if run is not None:
            run.end(result)


class _TargetFactory(ClientFactory):
    """Builds one connection."""

    noisy = False

    def __init__(self, sessions: TargetSessions, timers: TimerService) -> None:
        self._sessions = sessions
        self._timers = timers

    def buildProtocol(self, addr: Any) -> _TargetConnection:  # noqa: N802
        return _TargetConnection(self._sessions, self._timers)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._sessions.connect_failed()


def encode_request(request: TargetRequest) -> bytes:
    """Return the HTTP/1.1 request that carries a call to the target."""
    remaining_ms = max(int(request.timeout_s * _MS_PER_S), 1)
    lines = [
        f'{request.method} {request.path} HTTP/1.1',
        'Host: target',
        f'Rattanstile-Call: {request.token}',
        f'Rattanstile-Deadline-Ms: {remaining_ms}',
        f'Content-Length: {len(request.body)}',
    ]
    for name, content in headers_for_target(request.headers):
        lines.append(f'{name}: {content}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1') + request.body
