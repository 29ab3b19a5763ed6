"""The connections of a node with its peers and with the caller library."""

import random
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any, cast

import logbook
from result import Err
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, ServerFactory

from rattanstile.connection.caller_request import validate_request
from rattanstile.connection.frames import (
    CallerRequest,
    DrainNotice,
    Hello,
    Message,
    Role,
)
from rattanstile.connection.link import (
    CHECK_PERIOD_S,
    HelloSource,
    LinkOwner,
    PeerProtocol,
)
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import PeerLost
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Member
from rattanstile.request.ids import NodeId

CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
MAX_QUEUED_MESSAGES = 1024
MAX_INBOUND_LINKS = 2048

_log = logbook.Logger('peer')


@dataclass(frozen=True, slots=True)
class PeerReady:
    """A connection to a node is open and the node has named itself."""

    node_id: NodeId
    incarnation: int
    id_epoch: int


@dataclass(frozen=True, slots=True)
class EpochReceived:
    """A node told its id epoch in a heartbeat."""

    node_id: NodeId
    id_epoch: int


@dataclass(frozen=True, slots=True)
class MessageArrived:
    """A node sent a message."""

    sender: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class CallerMessageArrived:
    """A caller sent a message; the answer goes to `link`."""

    link: PeerProtocol
    message: Message


@dataclass(frozen=True, slots=True)
class CallerLost:
    """A caller's connection is gone; nobody waits for its calls."""

    link: PeerProtocol


PeerEvent = (
    PeerReady
    | PeerLost
    | EpochReceived
    | MessageArrived
    | CallerMessageArrived
    | CallerLost
)
PeerHandler = Callable[[PeerEvent], None]


class PeerPool:
    """One persistent connection to each peer, and those that others opened.

    Calls and cancels leave on the connection that this node opened. Replies
    return on the one that the sender of the call opened.

    Args:
        reactor: Opens the connections.
        timers: Gives the time for checks and back-off.
        hello: Gives what this node says of itself.
        handler: Takes every event.
        chance: Source of the jitter of the back-off.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerService,
        hello: HelloSource,
        handler: PeerHandler,
        chance: random.Random,
    ) -> None:
        """Begin without connections."""
        self.reactor = reactor
        self.timers = timers
        self.hello = hello
        self.handler = handler
        self.chance = chance
        self._outbound: dict[NodeId, _OutboundPeer] = {}
        self._inbound = _InboundLinks(self)

    def send(self, member: Member, message: Message) -> None:
        """Send a message to a peer, connecting first where needed.

        The peer is reported lost with ``connected=False`` when the message
        could not be sent.

        Raises:
            MessageTooLargeError: The message is too large for a frame.
        """
        peer = self._outbound.get(member.node_id)
        if peer is None or peer.member.address != member.address:
            peer = self._replace(member)
        peer.send(message)

    def reply(self, node_id: NodeId, message: Message) -> bool:
        """Send a reply on the connection that a node opened.

        Returns:
            False when the node has none open; the reply is dropped.
        """
        link = self._inbound.named.get(node_id)
        if link is None:
            _log.info(key_values('reply_dropped', receiver=node_id))
            return False
        link.send(message)
        return True

    def forget(self, node_id: NodeId) -> None:
        """Close the connection to a node, such as one that has left."""
        peer = self._outbound.pop(node_id, None)
        if peer is not None and peer.close():
            self.handler(PeerLost(node_id, connected=False))

    def _replace(self, member: Member) -> '_OutboundPeer':
        """Connect to another address; what was not sent goes there."""
        earlier = self._outbound.pop(member.node_id, None)
        unsent = earlier.close() if earlier else ()
        peer = _OutboundPeer(self, member)
        self._outbound[member.node_id] = peer
        for message in unsent:
            peer.send(message)
        return peer

    def announce_drain(self) -> None:
        """Tell every end that opened a connection that this node drains."""
        for link in tuple(self._inbound.links):
            link.send(DrainNotice())

    @contextmanager
    def running(self) -> Iterator[None]:
        """Look for silent connections; close all when the block ends."""
        with self.timers.every(CHECK_PERIOD_S, self._check):
            try:
                yield
            finally:
                self._close()

    def accept(self) -> PeerProtocol | None:
        """Return the end of a new connection, or None when there are many."""
        return self._inbound.accept()

    def _close(self) -> None:
        for node_id in tuple(self._outbound):
            self.forget(node_id)
        self._inbound.close()

    def _check(self, now_s: float) -> None:
        self._inbound.check()
        for peer in tuple(self._outbound.values()):
            peer.check()


class _OutboundPeer(LinkOwner):
    """The connection that this node opens to one peer."""

    def __init__(self, pool: PeerPool, member: Member) -> None:
        self.member = member
        self._pool = pool
        self._link: PeerProtocol | None = None
        self._queued: deque[Message] = deque()
        self._refused: deque[Message] = deque()
        self._is_ready = False
        self._is_connecting = False
        self._is_closed = False
        self._is_failing = False
        self._may_connect_at_s = 0.0
        self._backoff_s = FIRST_BACKOFF_S

    def send(self, message: Message) -> None:
        if self._is_failing:
            self._refused.append(message)
        elif self._is_ready:
            cast(PeerProtocol, self._link).send(message)
        elif len(self._queued) >= MAX_QUEUED_MESSAGES:
            self._fail_later()
        else:
            self._queued.append(message)
            self._connect()

    def check(self) -> None:
        if self._link is not None:
            self._link.check()

    def close(self) -> tuple[Message, ...]:
        """Close for good and return the messages that were never sent.

        From now on nothing but the loss of an open connection is reported: a
        report that nothing was sent would cover what its successor sends.
        """
        self._is_closed = True
        unsent = (*self._refused, *self._queued)
        self._refused.clear()
        self._queued.clear()
        if self._link is not None:
            self._link.abort()
        return unsent

    def connect_failed(self) -> None:
        self._is_connecting = False
        self._back_off()
        self._fail()

    def link_opened(self, link: PeerProtocol) -> None:
        self._is_connecting = False
        self._link = link

    def link_ready(self, link: PeerProtocol, hello: Hello) -> None:
        if self._is_closed or hello.node_id != self.member.node_id:
            _log.warning(
                key_values(
                    'peer_refused',
                    expected=self.member.node_id,
                    found=hello.node_id,
                )
            )
            link.abort()
            return
        self._is_ready = True
        self._backoff_s = FIRST_BACKOFF_S
        self._pool.handler(
            PeerReady(hello.node_id, hello.incarnation, hello.id_epoch)
        )
        while self._queued:
            link.send(self._queued.popleft())

    def link_received(self, link: PeerProtocol, message: Message) -> None:
        self._pool.handler(MessageArrived(self.member.node_id, message))

    def link_heard_epoch(self, link: PeerProtocol, id_epoch: int) -> None:
        self._pool.handler(EpochReceived(self.member.node_id, id_epoch))

    def link_lost(self, link: PeerProtocol) -> None:
        was_ready = self._is_ready
        self._is_ready = False
        self._link = None
        self._back_off()
        if was_ready:
            self._pool.handler(PeerLost(self.member.node_id))
        else:
            self._fail()

    def _connect(self) -> None:
        if self._is_connecting or self._link is not None:
            return
        if self._pool.timers.now_s() < self._may_connect_at_s:
            self._fail_later()
            return
        self._is_connecting = True
        host, _, port = self.member.address.rpartition(':')
        self._pool.reactor.connectTCP(
            host.strip('[]'),
            int(port),
            _LinkFactory(self, self._pool),
            CONNECT_TIMEOUT_S,
        )

    def _back_off(self) -> None:
        spread = self._pool.chance.uniform(0.5, 1)
        self._may_connect_at_s = (
            self._pool.timers.now_s() + self._backoff_s * spread
        )
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)

    def _fail_later(self) -> None:
        # A sender never hears back from inside its own call of `send`; until
        # then nothing is sent, so that "unconnected" is true of all it covers.
        self._is_failing = True
        self._refused.extend(self._queued)
        self._queued.clear()
        self._pool.timers.after(0, lambda now_s: self._report_unsent())

    def _fail(self) -> None:
        if self._queued:
            self._queued.clear()
            self._report_unsent()

    def _report_unsent(self) -> None:
        if self._is_closed:
            return
        self._is_failing = False
        self._refused.clear()
        self._pool.handler(PeerLost(self.member.node_id, connected=False))


class _LinkFactory(ClientFactory):
    """Builds the end of a connection that this node opens."""

    noisy = False

    def __init__(self, peer: _OutboundPeer, pool: PeerPool) -> None:
        self._peer = peer
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerProtocol:  # noqa: N802
        return PeerProtocol(self._peer, self._pool.hello)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._peer.connect_failed()


class _InboundLinks(LinkOwner):
    """The connections that peers and callers opened to this node."""

    def __init__(self, pool: PeerPool) -> None:
        self.links: set[PeerProtocol] = set()
        self.named: dict[NodeId, PeerProtocol] = {}
        self._pool = pool

    def accept(self) -> PeerProtocol | None:
        if len(self.links) >= MAX_INBOUND_LINKS:
            _log.warning(
                key_values('connection_refused', links=len(self.links))
            )
            return None
        return PeerProtocol(self, self._pool.hello)

    def check(self) -> None:
        for link in tuple(self.links):
            link.check()

    def close(self) -> None:
        for link in tuple(self.links):
            link.abort()

    def link_opened(self, link: PeerProtocol) -> None:
        self.links.add(link)

    def link_ready(self, link: PeerProtocol, hello: Hello) -> None:
        if hello.role is Role.NODE:
            self.named[hello.node_id] = link

    def link_received(self, link: PeerProtocol, message: Message) -> None:
        peer = cast(Hello, link.peer)
        if peer.role is Role.NODE:
            self._pool.handler(MessageArrived(peer.node_id, message))
        elif isinstance(message, CallerRequest):
            self._take_request(link, message)
        else:
            self._pool.handler(CallerMessageArrived(link, message))

    def _take_request(self, link: PeerProtocol, request: CallerRequest) -> None:
        checked = validate_request(request)
        if isinstance(checked, Err):
            link.send(checked.err_value)
        else:
            self._pool.handler(CallerMessageArrived(link, checked.ok_value))

    def link_heard_epoch(self, link: PeerProtocol, id_epoch: int) -> None:
        peer = link.peer
        if peer is not None and peer.role is Role.NODE:
            self._pool.handler(EpochReceived(peer.node_id, id_epoch))

    def link_lost(self, link: PeerProtocol) -> None:
        self.links.discard(link)
        peer = link.peer
        if peer is None:
            return
        if peer.role is Role.CALLER:
            self._pool.handler(CallerLost(link))
        elif self.named.get(peer.node_id) is link:
            self.named.pop(peer.node_id)


class _InboundFactory(ServerFactory):
    """Builds the end of a connection that another process opens."""

    noisy = False

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerProtocol | None:  # noqa: N802
        return self._pool.accept()


@contextmanager
def listening_for_peers(
    reactor: IReactorTCP, host: str, port: int, pool: PeerPool
) -> Iterator[int]:
    """Accept connections for the pool while the block runs.

    Args:
        port: 0 for a port that the system chooses.

    Yields:
        The port listened on.
    """
    listener = reactor.listenTCP(port, _InboundFactory(pool), interface=host)
    try:
        yield cast(IPv4Address, listener.getHost()).port
    finally:
        listener.stopListening()
