"""The caller library: makes calls through entry nodes, using frames.

A call ends with a complete answer or one of three typed errors: it did not
run, it failed, or it may have run. A call that is not idempotent gets an id
before its first attempt, so that its attempts never run it twice.
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
    """A call as its caller specified it."""

    service: ServiceName
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    parent: str
    idempotent: bool


@dataclass(slots=True, eq=False)
class _ClientCall:
    """State of a call until its result is delivered.

    Attributes:
        attempt: Counts the attempts under the same call id from 1; stays 1
            without an id.
        link: Connection of the latest attempt.
        sequence: Number of the latest attempt's request.
    """

    request: _Request
    retries: CallRetries
    result: 'Deferred[CallResult]'
    call_id: CallId = _NO_CALL_ID
    attempt: int = 0
    link: PeerProtocol | None = None
    sequence: int = 0
    timers: list[Timer] = field(default_factory=list)
    is_finished: bool = False


class Client(EntryLinksOwner):
    """Makes calls through a list of entry nodes.

    Use it within `running`; calls made outside it have no connection and
    wait until their deadline.

    Args:
        reactor: Reactor that opens the connections.
        entry_nodes: IP address and frame port of each entry node.
        key: The organisation's key; empty for routes that are open to all.
        chance: Random source of jitter and of the choice of entry nodes;
            by default seeded by the system.
    """

    def __init__(
        self,
        reactor: Reactor,
        entry_nodes: Sequence[str],
        key: str = '',
        *,
        chance: random.Random | None = None,
    ) -> None:
        """Create a client without connections."""
        self._timers = TimerService(reactor)
        self._key = key
        self._rng = chance or random.Random()
        self._links = EntryLinks(
            reactor, self._timers, entry_nodes, self, self._rng
        )
        self._grants = IdGrants(
            CallIdIssuer(secrets.token_hex(_ISSUER_BYTES), Incarnation(0))
        )
        self._buckets = EdgeBuckets()
        self._sequences = count(1)
        self._in_flight: dict[int, _ClientCall] = {}
        self._calls_awaiting_link: list[_ClientCall] = []
        self._calls_awaiting_id: dict[ServiceName, list[_ClientCall]] = {}
        self._id_request_links: dict[ServiceName, PeerProtocol] = {}

    @contextmanager
    def running(self) -> Iterator['Client']:
        """Keep connections to entry nodes open inside the block."""
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
            path: Path after the service's name, with the query string.
            deadline_s: Time limit for all attempts together.
            idempotent: Whether the call may safely run twice; by default
                true for the methods in `IDEMPOTENT_METHODS`.
            parent: For a call made by a target, the ``Rattanstile-Call``
                value of the call that the target is serving.

        Returns:
            A Deferred that fires with the answer or the error. It fails only
            if it is cancelled.
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
        return self._start_call(request, deadline_s).result

    def entry_ready(self) -> None:
        """Start attempts of the calls that wait for a connection."""
        waiting = self._calls_awaiting_link
        self._calls_awaiting_link = []
        for call in waiting:
            self._start_attempt(call)

    def entry_received(self, link: PeerProtocol, message: Message) -> None:
        """Handle a reply or a grant of ids, and ignore other messages."""
        match message:
            case CallerReply():
                self._handle_reply(link, message)
            case IdGrant():
                self._handle_grant(message)

    def entry_lost(self, link: PeerProtocol) -> None:
        """Retry or end calls of a lost connection and repeat id requests."""
        for call in tuple(self._in_flight.values()):
            if call.link is link:
                self._in_flight.pop(call.sequence, None)
                self._apply_decision(
                    call, call.retries.lost(self._timers.now_s())
                )
        for service, request_link in tuple(self._id_request_links.items()):
            if request_link is link:
                self._id_request_links.pop(service)
                self._resume_calls_awaiting_id(service)

    def _start_call(self, request: _Request, deadline_s: float) -> _ClientCall:
        retries = CallRetries(
            request.service,
            idempotent=request.idempotent,
            deadline_s=self._timers.now_s() + deadline_s,
            buckets=self._buckets,
            chance=self._rng,
        )
        call = _ClientCall(
            request=request,
            retries=retries,
            result=Deferred(lambda _: self._cancel_call(call)),
        )
        call.timers.append(
            self._timers.after(
                deadline_s,
                lambda _: self._apply_decision(call, retries.timed_out()),
            )
        )
        self._start_attempt(call)
        return call

    def _start_attempt(self, call: _ClientCall) -> None:
        if call.is_finished:
            return
        link = self._links.pick(call.link)
        if link is None:
            self._calls_awaiting_link.append(call)
            return
        if not (call.request.idempotent or call.call_id):
            call_id = self._grants.issue(
                self._timers.now_s(), call.request.service
            )
            if call_id is None:
                self._request_ids(call, link)
                return
            call.call_id = call_id
        self._send_attempt(call, link)

    def _send_attempt(self, call: _ClientCall, link: PeerProtocol) -> None:
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

    def _request_ids(self, call: _ClientCall, link: PeerProtocol) -> None:
        service = call.request.service
        self._calls_awaiting_id.setdefault(service, []).append(call)
        if service not in self._id_request_links:
            self._id_request_links[service] = link
            suspected_home = self._grants.suspected_home(
                self._timers.now_s(), service
            )
            link.send(IdGrantRequest(service=service, avoided=suspected_home))

    def _handle_grant(self, grant: IdGrant) -> None:
        self._id_request_links.pop(grant.service, None)
        if grant.home:
            self._grants.add(self._timers.now_s(), grant)
            self._resume_calls_awaiting_id(grant.service)
            return
        for call in self._calls_awaiting_id.pop(grant.service, []):
            call.retries.sent()
            refusal = _no_target_reply()
            self._apply_decision(
                call, call.retries.replied(self._timers.now_s(), refusal)
            )

    def _resume_calls_awaiting_id(self, service: ServiceName) -> None:
        for call in self._calls_awaiting_id.pop(service, []):
            self._start_attempt(call)

    def _handle_reply(self, link: PeerProtocol, message: CallerReply) -> None:
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
        self._apply_decision(call, call.retries.replied(now_s, reply))

    def _apply_decision(self, call: _ClientCall, decision: Decision) -> None:
        if call.is_finished:
            return
        match decision:
            case EndCall(result):
                self._finish(call)
                call.result.callback(result)
            case Retry(delay_s, is_new_call):
                if is_new_call:
                    call.call_id = _NO_CALL_ID
                    call.attempt = 0
                call.timers.append(
                    self._timers.after(
                        delay_s, lambda _: self._start_attempt(call)
                    )
                )

    def _cancel_call(self, call: _ClientCall) -> None:
        if not call.is_finished:
            self._finish(call)

    def _finish(self, call: _ClientCall) -> None:
        call.is_finished = True
        for timer in call.timers:
            timer.cancel()
        was_in_flight = self._in_flight.pop(call.sequence, None) is call
        if was_in_flight and call.link is not None:
            call.link.send(CallerCancel(sequence=call.sequence))


def _no_target_reply() -> Reply:
    reason = Reason.NO_TARGET
    return Reply(
        call_id=_NO_CALL_ID,
        attempt=1,
        outcome=Outcome.NOT_RUN,
        reason=reason,
        status=reason.status,
    )


class BlockingClient:
    """A blocking client for code outside the reactor's thread.

    Args:
        reactor: Reactor that runs in another thread.
        client: Client that is used only from the reactor's thread.
    """

    def __init__(self, reactor: Reactor, client: Client) -> None:
        """Store the reactor and the client."""
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
        """Make a call and block until its result; see `Client.call`."""
        result: CallResult = _call_in_reactor(
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
    """Yield a blocking client, with the reactor in a thread of its own.

    The reactor thread is started once and runs until the process ends.
    """
    reactor = installed_reactor()
    _start_reactor(reactor)
    client = Client(reactor, entry_nodes, key)
    stack = ExitStack()
    _call_in_reactor(reactor, lambda: stack.enter_context(client.running()))
    try:
        yield BlockingClient(reactor, client)
    finally:
        _call_in_reactor(reactor, stack.close)


def _call_in_reactor(reactor: Reactor, action: Callable[[], Any]) -> Any:
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
