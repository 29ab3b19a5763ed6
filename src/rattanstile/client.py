"""The caller library: makes calls through entry nodes, over frames.

A call ends in a whole answer or in one of three typed errors: it did not
run, it failed, or it may have run. A call that is not idempotent has an id
before its first attempt, so that the attempts of one call never run twice.
"""

import random
import secrets
import threading
from collections.abc import Callable, Iterator, Sequence
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from itertools import count
from typing import Any, cast

import logbook
from result import Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorFromThreads
from twisted.internet.threads import blockingCallFromThread

from rattanstile.connection.call_outcomes import (
    Answer,
    CallError,
    FailedError,
    NotRunError,
    UnknownError,
)
from rattanstile.connection.call_retries import (
    CallRetries,
    Decision,
    EndCall,
    Retry,
)
from rattanstile.connection.entry_links import EntryLinks, EntryLinksOwner
from rattanstile.connection.frames import (
    CallerCancel,
    CallerReply,
    CallerRequest,
    IdGrant,
    IdGrantRequest,
    Message,
)
from rattanstile.connection.id_grants import IdGrants
from rattanstile.connection.link import PeerProtocol
from rattanstile.process.key_values import key_values
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.process.reactor import Reactor, installed_reactor
from rattanstile.process.timers import Timer, TimerService
from rattanstile.request.call_id import CallIdIssuer
from rattanstile.request.envelope import Header, Reply
from rattanstile.request.ids import CallId, Incarnation, ServiceName
from rattanstile.request.outcome import Outcome, Reason

__all__ = (
    'Answer',
    'BlockingClient',
    'CallError',
    'Client',
    'FailedError',
    'NotRunError',
    'UnknownError',
    'blocking_client',
)

DEFAULT_DEADLINE_S = 5.0
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))

_MS_PER_S = 1000
_ISSUER_BYTES = 12
_NO_CALL_ID = CallId('')

_log = logbook.Logger('client')

CallResult = Result[Answer, CallError]


@dataclass(frozen=True, slots=True)
class _Request:
    """What the user asked for."""

    service: ServiceName
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    parent: str
    idempotent: bool


@dataclass(slots=True, eq=False)
class _ClientCall:
    """One call, until its result is given."""

    request: _Request
    retries: CallRetries
    result: 'Deferred[CallResult]'
    call_id: CallId = _NO_CALL_ID
    attempt: int = 0
    link: PeerProtocol | None = None
    sequence: int = 0
    timers: list[Timer] = field(default_factory=list)
    is_over: bool = False


class Client(EntryLinksOwner):
    """Makes calls through a list of entry nodes.

    Use it within `running`; calls made outside wait until their deadline.

    Args:
        reactor: Opens the connections.
        entry_nodes: IP number and port for frames of each entry node.
        key: The organisation's key; empty for routes open to all.
        chance: Source of jitter; by default seeded by the system.
    """

    def __init__(
        self,
        reactor: Reactor,
        entry_nodes: Sequence[str],
        key: str = '',
        *,
        chance: random.Random | None = None,
    ) -> None:
        """Begin without connections."""
        self._timers = TimerService(reactor)
        self._key = key
        self._chance = chance or random.Random()
        self._links = EntryLinks(
            reactor, self._timers, entry_nodes, self, self._chance
        )
        self._grants = IdGrants(
            CallIdIssuer(secrets.token_hex(_ISSUER_BYTES), Incarnation(0))
        )
        self._buckets = EdgeBuckets()
        self._sequences = count(1)
        self._in_flight: dict[int, _ClientCall] = {}
        self._without_link: list[_ClientCall] = []
        self._without_id: dict[ServiceName, list[_ClientCall]] = {}
        self._asked: dict[ServiceName, PeerProtocol] = {}

    @contextmanager
    def running(self) -> Iterator['Client']:
        """Keep connections to entry nodes open while the block runs."""
        with self._links.running():
            yield self

    def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: Sequence[Header] = (),
        deadline_s: float = DEFAULT_DEADLINE_S,
        idempotent: bool | None = None,
        parent: str = '',
    ) -> 'Deferred[CallResult]':
        """Make a call.

        Args:
            path: Path behind the service's name, with the query.
            deadline_s: How long to wait, all attempts included.
            idempotent: Whether running it twice does no harm; by default
                what the method says.
            parent: Value of ``Rattanstile-Call`` of the call that this one
                is made for, where a target makes it.

        Returns:
            A Deferred of the answer or the error; it fails only when it is
            cancelled.
        """
        if idempotent is None:
            idempotent = method in IDEMPOTENT_METHODS
        request = _Request(
            service=ServiceName(service),
            method=method,
            path=path,
            headers=tuple(headers),
            body=body,
            parent=parent,
            idempotent=idempotent,
        )
        return self._begin(request, deadline_s).result

    def entry_ready(self) -> None:
        """Go on with the calls that wait for a connection."""
        waiting = self._without_link
        self._without_link = []
        for call in waiting:
            self._attempt(call)

    def entry_received(self, link: PeerProtocol, message: Message) -> None:
        """Take a reply or a grant; anything else is no answer to a call."""
        match message:
            case CallerReply():
                self._take_reply(link, message)
            case IdGrant():
                self._take_grant(message)

    def entry_lost(self, link: PeerProtocol) -> None:
        """Settle the attempts that left on a connection on another one."""
        for call in tuple(self._in_flight.values()):
            if call.link is link:
                self._in_flight.pop(call.sequence, None)
                self._follow(call, call.retries.lost(self._timers.now_s()))
        for service, asked in tuple(self._asked.items()):
            if asked is link:
                self._asked.pop(service)
                self._retry_without_id(service)

    def _begin(self, request: _Request, deadline_s: float) -> _ClientCall:
        retries = CallRetries(
            request.service,
            idempotent=request.idempotent,
            deadline_s=self._timers.now_s() + deadline_s,
            buckets=self._buckets,
            chance=self._chance,
        )
        call = _ClientCall(
            request=request,
            retries=retries,
            result=Deferred(lambda _: self._abandon(call)),
        )
        call.timers.append(
            self._timers.after(
                deadline_s, lambda _: self._follow(call, retries.timed_out())
            )
        )
        self._attempt(call)
        return call

    def _attempt(self, call: _ClientCall) -> None:
        if call.is_over:
            return
        link = self._links.pick(call.link)
        if link is None:
            self._without_link.append(call)
            return
        if not (call.request.idempotent or call.call_id):
            call_id = self._grants.issue(
                self._timers.now_s(), call.request.service
            )
            if call_id is None:
                self._ask_for_ids(call, link)
                return
            call.call_id = call_id
        self._send(call, link)

    def _send(self, call: _ClientCall, link: PeerProtocol) -> None:
        request = call.request
        remaining_s = call.retries.deadline_s - self._timers.now_s()
        call.link = link
        call.sequence = next(self._sequences)
        call.attempt = call.attempt + 1 if call.call_id else 1
        call.retries.sent()
        self._in_flight[call.sequence] = call
        link.send(
            CallerRequest(
                sequence=call.sequence,
                key=self._key,
                service=request.service,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                deadline_ms=max(int(remaining_s * _MS_PER_S), 1),
                call_id=call.call_id,
                attempt=call.attempt,
                parent=request.parent,
            )
        )

    def _ask_for_ids(self, call: _ClientCall, link: PeerProtocol) -> None:
        service = call.request.service
        self._without_id.setdefault(service, []).append(call)
        if service not in self._asked:
            self._asked[service] = link
            avoided = self._grants.suspected_home(self._timers.now_s(), service)
            link.send(IdGrantRequest(service=service, avoided=avoided))

    def _take_grant(self, granted: IdGrant) -> None:
        self._asked.pop(granted.service, None)
        if granted.home:
            self._grants.add(self._timers.now_s(), granted)
            self._retry_without_id(granted.service)
            return
        for call in self._without_id.pop(granted.service, []):
            call.retries.sent()
            refusal = _no_home()
            self._follow(
                call, call.retries.replied(self._timers.now_s(), refusal)
            )

    def _retry_without_id(self, service: ServiceName) -> None:
        for call in self._without_id.pop(service, []):
            self._attempt(call)

    def _take_reply(self, link: PeerProtocol, message: CallerReply) -> None:
        call = self._in_flight.get(message.sequence)
        if call is None or call.link is not link:
            _log.info(key_values('reply_ignored', sequence=message.sequence))
            return
        self._in_flight.pop(message.sequence)
        reply = message.reply
        self._grants.answered(call.request.service, call.call_id)
        if reply.reason is not None and not reply.reason.is_overload:
            self._grants.drop(call.request.service)
        now_s = self._timers.now_s()
        self._follow(call, call.retries.replied(now_s, reply))

    def _follow(self, call: _ClientCall, decision: Decision) -> None:
        if call.is_over:
            return
        match decision:
            case EndCall(result):
                self._end(call)
                call.result.callback(result)
            case Retry(delay_s, is_new_call):
                if is_new_call:
                    call.call_id = _NO_CALL_ID
                    call.attempt = 0
                call.timers.append(
                    self._timers.after(delay_s, lambda _: self._attempt(call))
                )

    def _abandon(self, call: _ClientCall) -> None:
        if not call.is_over:
            self._end(call)

    def _end(self, call: _ClientCall) -> None:
        call.is_over = True
        for timer in call.timers:
            timer.cancel()
        is_out = self._in_flight.pop(call.sequence, None) is call
        if is_out and call.link is not None:
            call.link.send(CallerCancel(sequence=call.sequence))


def _no_home() -> Reply:
    reason = Reason.NO_TARGET
    return Reply(
        call_id=_NO_CALL_ID,
        attempt=1,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        status=reason.status,
    )


class BlockingClient:
    """The caller library for code that runs outside the reactor's thread.

    Args:
        reactor: Runs in another thread.
        client: Used from the reactor's thread alone.
    """

    def __init__(self, reactor: Reactor, client: Client) -> None:
        """Keep the client."""
        self._reactor = reactor
        self._client = client

    def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes = b'',
        headers: Sequence[Header] = (),
        deadline_s: float = DEFAULT_DEADLINE_S,
        idempotent: bool | None = None,
    ) -> CallResult:
        """Make a call and wait for its end; see `Client.call`."""
        result: CallResult = _in_reactor(
            self._reactor,
            lambda: self._client.call(
                service,
                method,
                path,
                body=body,
                headers=headers,
                deadline_s=deadline_s,
                idempotent=idempotent,
            ),
        )
        return result


@contextmanager
def blocking_client(
    entry_nodes: Sequence[str], key: str = ''
) -> Iterator[BlockingClient]:
    """Yield a client for threads, with the reactor running in its own.

    The reactor's thread is started once and goes on until the process ends.
    """
    reactor = installed_reactor()
    _start_reactor(reactor)
    client = Client(reactor, entry_nodes, key)
    stack = ExitStack()
    _in_reactor(reactor, lambda: stack.enter_context(client.running()))
    try:
        yield BlockingClient(reactor, client)
    finally:
        _in_reactor(reactor, stack.close)


def _in_reactor(reactor: Reactor, action: Callable[[], Any]) -> Any:
    return blockingCallFromThread(cast(IReactorFromThreads, reactor), action)


def _start_reactor(reactor: Reactor) -> None:
    if reactor.running:
        return
    started = threading.Event()
    reactor.callWhenRunning(started.set)
    threading.Thread(
        target=reactor.run,
        kwargs={'installSignalHandlers': False},
        name='rattanstile-reactor',
        daemon=True,
    ).start()
    started.wait()
