"""Connections between the nodes of a fleet.

Each node opens one connection to every node that it knows and sends its own
calls on it; the responses arrive on the same connection. A lost connection is
reopened with exponential backoff until the node is removed.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from typing import Protocol as Interface

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.liveness import set_liveness_options
from rattanstile.connection.peer_messages import (
    PeerFrameError,
    PeerFrameReader,
    PeerHello,
    PeerMember,
    PeerMessage,
    PeerPing,
    PeerPong,
    encode_peer_frame,
)
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId

CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""A node that returns after a power loss is reconnected within a second."""
PING_AFTER_S = 0.5
"""Silence after which a connection with an awaited response is pinged."""
UNRESPONSIVE_AFTER_S = 1.2
"""Silence after which a connection gets no new calls; twice as long as an
ordinary short interruption."""
DROP_AFTER_S = 4.0
"""Silence after which a connection is closed; longer than most network
interruptions that must be tolerated."""
UNREACHABLE_MEMBER_TIMEOUT_S = 90.0
"""A node that can't be connected to for this long is removed."""
BACKLOG = 512


class PeerHandler(Interface):
    """Handles the messages and connection events of peers."""

    def peer_ready(self, link: 'PeerLink') -> None:
        """Handle a connection on which calls can be sent to the peer."""

    def peer_lost(self, link: 'PeerLink') -> None:
        """Handle a lost peer; calls in flight there get no response."""

    def peer_joined(self, link: 'PeerLink') -> None:
        """Handle a connection that the peer has opened to this node."""

    def peer_left(self, link: 'PeerLink') -> None:
        """Handle the loss of the connection that the peer opened."""

    def peer_message(self, link: 'PeerLink', message: PeerMessage) -> None:
        """Handle a message."""

    def hello(self) -> PeerHello:
        """Return the first message of this node."""


class PeerLink(Protocol):
    """One connection between two nodes.

    Attributes:
        hello: First message of the other end; None until it arrives.
        awaited_responses: Number of awaited responses.
        last_received_s: Monotonic time of the last bytes received.
    """

    def __init__(self, pool: 'PeerPool', peer: '_OutboundPeer | None') -> None:
        """Initialize without an open connection."""
        self.hello: PeerHello | None = None
        self.awaited_responses = 0
        self.last_received_s = pool.timers.now_s()
        self._awaiting_since_s = self.last_received_s
        self._pool = pool
        self._outbound_peer = peer
        self._reader = PeerFrameReader()
        self._is_open = False
        self._is_ping_sent = False

    @property
    def is_inbound(self) -> bool:
        """Return whether the other end opened the connection."""
        return self._outbound_peer is None

    @property
    def node_id(self) -> NodeId:
        """Return the id of the other node; empty before its first message."""
        return NodeId('') if self.hello is None else self.hello.node_id

    def quiet_s(self, now_s: float) -> float:
        """Return for how long nothing arrived while a response is awaited."""
        if self.awaited_responses == 0:
            return 0
        return now_s - max(self.last_received_s, self._awaiting_since_s)

    def expect_response(self) -> None:
        """Count one more awaited response."""
        if self.awaited_responses == 0:
            self._awaiting_since_s = self._pool.timers.now_s()
        self.awaited_responses += 1

    def send(self, message: PeerMessage) -> None:
        """Send a message, unless the connection is closed."""
        self.send_frame(encode_peer_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message, unless the connection is closed."""
        if self._is_open:
            write_now(self.transport, frame)

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._is_open:
            self.transport.abortConnection()  # type: ignore[union-attr]

    def check(self, now_s: float) -> None:
        """Ping a silent peer, and close the connection to a dead one."""
        quiet_s = self.quiet_s(now_s)
        if quiet_s > DROP_AFTER_S:
            self._pool.log.write(
                LineKind.PEER,
                'peer_silent',
                node=self.node_id,
                quiet_s=round(quiet_s, 2),
                outcome='dropped',
            )
            self.abort()
        elif quiet_s > PING_AFTER_S and not self._is_ping_sent:
            self._is_ping_sent = True
            self.send(PeerPing())

    # Twisted protocol interface

    def connectionMade(self) -> None:  # noqa: N802
        """Identify this node to the other end."""
        self._is_open = True
        set_liveness_options(self.transport)
        self._pool.links.add(self)
        self.send(self._pool.handler.hello())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle each complete message."""
        self.last_received_s = self._pool.timers.now_s()
        self._is_ping_sent = False
        try:
            for message in self._reader.feed(data):
                self._handle_message(message)
        except PeerFrameError as error:
            self._pool.log.write(
                LineKind.PEER,
                'peer_frame_invalid',
                node=self.node_id,
                why=error.message,
            )
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the loss of the connection."""
        self._is_open = False
        self._pool.links.discard(self)
        if self._outbound_peer is not None:
            self._outbound_peer.link_lost(self)
        elif self.hello is not None:
            self._pool.handler.peer_left(self)

    def _handle_message(self, message: PeerMessage) -> None:
        match message:
            case PeerPing():
                self.send(PeerPong())
            case PeerPong():
                return
            case PeerHello():
                self._handle_hello(message)
            case _:
                if self.hello is not None:
                    self._pool.handler.peer_message(self, message)

    def _handle_hello(self, hello: PeerHello) -> None:
        self.hello = hello
        if self._outbound_peer is not None:
            self._outbound_peer.link_ready(self)
        else:
            self._pool.handler.peer_joined(self)


class _OutboundPeer:
    """A known node and the outbound connection to it."""

    def __init__(self, pool: 'PeerPool', member: PeerMember) -> None:
        self.member = member
        self.link: PeerLink | None = None
        self.is_connecting = False
        self.is_removed = False
        self.has_left = False
        self.ready_at_s = 0.0
        self.backoff_s = FIRST_BACKOFF_S
        self.failing_since_s: float | None = None
        self._pool = pool

    def connect(self) -> None:
        if self.is_connecting or self.link is not None or self.is_removed:
            return
        self.is_connecting = True
        host, _, port = self.member.address.rpartition(':')
        self._pool.reactor.connectTCP(
            host,
            int(port),
            _OutboundFactory(self, self._pool),
            CONNECT_TIMEOUT_S,
        )

    def link_ready(self, link: PeerLink) -> None:
        hello = link.hello
        if hello is None or self.is_removed:
            link.abort()
            return
        if hello.node_id != self.member.node_id:
            self._pool.replace_member(self, hello)
            link.abort()
            return
        self.backoff_s = FIRST_BACKOFF_S
        self.failing_since_s = None
        self.has_left = False
        self.ready_at_s = self._pool.timers.now_s()
        self.link = link
        self._pool.handler.peer_ready(link)

    def link_lost(self, link: PeerLink) -> None:
        self.is_connecting = False
        was_ready = self.link is link
        self.link = None
        if was_ready:
            self._pool.handler.peer_lost(link)
        self.schedule_retry()

    def schedule_retry(self) -> None:
        self.is_connecting = False
        now_s = self._pool.timers.now_s()
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        if now_s - self.failing_since_s > UNREACHABLE_MEMBER_TIMEOUT_S:
            self._pool.remove_member(self.member.node_id)
        if self.is_removed:
            return
        delay_s = self.backoff_s * self._pool.rng.uniform(0.5, 1)
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)
        self._pool.timers.after(delay_s, lambda _: self.connect())


class _OutboundFactory(ClientFactory):
    """Builds the protocol of an outbound connection."""

    noisy = False

    def __init__(self, peer: _OutboundPeer, pool: 'PeerPool') -> None:
        self._outbound_peer = peer
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return PeerLink(self._pool, self._outbound_peer)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._outbound_peer.schedule_retry()


class PeerPool:
    """All connections between this node and its peers.

    Args:
        reactor: Opens the connections.
        timers: Clock and timers for the backoff.
        handler: Receives the messages and connection events.
        log: Receives the decisions on connections.
        rng: Source of the backoff jitter.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerService,
        handler: PeerHandler,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        """Initialize without peers."""
        self.reactor = reactor
        self.timers = timers
        self.handler = handler
        self.log = log
        self.rng = rng
        self.links: set[PeerLink] = set()
        self._outbound_peers: dict[NodeId, _OutboundPeer] = {}

    def add_member(self, member: PeerMember) -> None:
        """Add a node and keep a connection to it."""
        existing = self._outbound_peers.get(member.node_id)
        if existing is not None:
            if existing.member.address == member.address:
                return
            self.remove_member(member.node_id)
        for other in tuple(self._outbound_peers.values()):
            if other.member.address == member.address:
                self.remove_member(other.member.node_id)
        peer = _OutboundPeer(self, member)
        self._outbound_peers[member.node_id] = peer
        peer.connect()

    def remove_member(self, node_id: NodeId) -> None:
        """Remove a node and close the connection to it."""
        peer = self._outbound_peers.pop(node_id, None)
        if peer is None:
            return
        peer.is_removed = True
        if peer.link is not None:
            peer.link.abort()

    def replace_member(self, peer: _OutboundPeer, hello: PeerHello) -> None:
        """Replace a node whose address now belongs to another node."""
        self.remove_member(peer.member.node_id)
        self.add_member(
            PeerMember(
                hello.node_id, hello.address, hello.service, hello.domain
            )
        )

    def connect_now(self, node_id: NodeId) -> None:
        """Connect to a node without delay, since it has just connected."""
        peer = self._outbound_peers.get(node_id)
        if peer is not None:
            peer.backoff_s = FIRST_BACKOFF_S
            peer.connect()

    def link_to(self, node_id: NodeId) -> PeerLink | None:
        """Return the open connection to a node, if there is one."""
        peer = self._outbound_peers.get(node_id)
        return None if peer is None else peer.link

    def known_members(self) -> tuple[PeerMember, ...]:
        """Return all known nodes, connected or not."""
        return tuple(peer.member for peer in self._outbound_peers.values())

    def mark_left(self, node_id: NodeId) -> None:
        """Mark a node whose process is about to exit; it may return."""
        peer = self._outbound_peers.get(node_id)
        if peer is not None:
            peer.has_left = True

    def fleet_size(self) -> int:
        """Return the number of nodes, excluding those that have left.

        This node and nodes that are not connected are included.
        """
        return 1 + sum(
            not peer.has_left for peer in self._outbound_peers.values()
        )

    def connected(self) -> tuple[PeerMember, ...]:
        """Return the nodes to which calls can be sent."""
        return tuple(
            peer.member
            for peer in self._outbound_peers.values()
            if peer.link is not None
        )

    def connected_since(self, since_s: float) -> tuple[NodeId, ...]:
        """Return the nodes that have been connected since a given time."""
        return tuple(
            node_id
            for node_id, peer in self._outbound_peers.items()
            if peer.link is not None and peer.ready_at_s <= since_s
        )

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to each node that has connected to this one."""
        frame = encode_peer_frame(message)
        for link in tuple(self.links):
            if link.is_inbound and link.hello is not None:
                link.send_frame(frame)

    def check(self, now_s: float) -> None:
        """Check all connections for silent peers; called periodically."""
        for link in tuple(self.links):
            link.check(now_s)


class _InboundFactory(ServerFactory):
    """Builds the protocol of an inbound connection."""

    noisy = False

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return PeerLink(self._pool, None)


@contextmanager
def serving_peers(
    reactor: IReactorTCP, address: str, pool: PeerPool
) -> Iterator[int]:
    """Accept connections from other nodes while the block runs.

    Yields:
        The listening port.
    """
    host, _, port = address.rpartition(':')
    listener = reactor.listenTCP(
        int(port), _InboundFactory(pool), BACKLOG, host
    )
    try:
        yield listener.getHost().port  # type: ignore[attr-defined]
    finally:
        listener.stopListening()
        for link in tuple(pool.links):
            link.abort()
