"""Connections between the nodes of a fleet.

The nodes of one failure domain share one connection for each pair, on which
both send calls. A connection to another domain carries the calls of the node
that opened it; it exists while that node keeps it (see
`rattanstile.process.mesh.fleet.link_plan`) and is closed once it is idle. A
lost connection that is kept is reopened with exponential backoff.
"""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Any
from typing import Protocol as Interface

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory, ServerFactory

from rattanstile.connection.accepting import listen
from rattanstile.connection.peer_link import LinkOwner, NodePlace, PeerLink
from rattanstile.connection.peer_messages import (
    PeerHello,
    PeerMember,
    PeerMessage,
    encode_peer_frame,
)
from rattanstile.connection.peer_traffic import PeerTraffic
from rattanstile.connection.request_memory import MemoryShare
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId

CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""A node that returns after a power loss is reconnected within a second."""
PASSIVE_DELAY_S = 0.15
"""Time in which the node with the smaller ID of a pair opens the connection;
then the other one does."""
REDUNDANT_LINK_S = 2.0
"""How long a connection that is no longer used stays open: the other end may
not know yet."""
FAILURE_MEMORY_S = 10.0
"""Time after which a node that is no longer connected to may be tried again."""
UNREACHABLE_MEMBER_TIMEOUT_S = 90.0
"""A node that can't be connected to for this long is removed."""
BACKLOG = 512
LARGE_FRAME_BYTES = 64 * 1024
"""Frames above this wait while the memory doesn't suffice for all."""
MAX_UNNAMED_LINKS = 96
"""Nodes name themselves at once; whoever doesn't keeps others out."""


class PeerHandler(Interface):
    """Handles the messages and connection events of peers."""

    def peer_ready(self, link: PeerLink) -> None:
        """Handle a connection on which calls can be sent to the peer."""

    def peer_joined(self, link: PeerLink) -> None:
        """Handle a connection that the peer has opened to this node."""

    def peer_lost(self, link: PeerLink) -> None:
        """Handle a lost connection; its calls, both ways, get no response."""

    def peer_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Handle a message."""

    def serves_calls_of(self, link: PeerLink) -> bool:
        """Return whether calls received on a connection are in progress."""

    def hello(self) -> PeerHello:
        """Return the first message of this node."""


class _Peer:
    """A known node and the connection on which calls are sent to it."""

    def __init__(self, pool: 'PeerPool', member: PeerMember) -> None:
        self.member = member
        self.link: PeerLink | None = None
        self.is_near = member.domain == pool.place.domain
        self.is_kept = False
        self.is_connecting = False
        self.is_removed = False
        self.has_left = False
        self.ready_at_s = 0.0
        self.backoff_s = FIRST_BACKOFF_S
        self.failing_since_s: float | None = None
        self.failed_at_s = 0.0
        self._pool = pool

    def keep(self) -> None:
        """Open the connection and keep it open."""
        if self.is_kept:
            return
        self.is_kept = True
        # One end of a pair comes first, so that rarely both connect.
        is_passive = self.is_near and (
            self.member.node_id < self._pool.place.node_id
        )
        if is_passive:
            self._pool.timers.after(PASSIVE_DELAY_S, lambda _: self.connect())
        else:
            self.connect()

    def connect(self) -> None:
        if self.is_connecting or self.link is not None:
            return
        if self.is_removed or not self.is_kept:
            return
        self.is_connecting = True
        host, _, port = self.member.address.rpartition(':')
        self._pool.reactor.connectTCP(
            host,
            int(port),
            _OutboundFactory(self, self._pool),
            CONNECT_TIMEOUT_S,
        )

    def use(self, link: PeerLink) -> None:
        """Send calls on this connection from now on."""
        self.is_connecting = False
        self.backoff_s = FIRST_BACKOFF_S
        self.failing_since_s = None
        self.has_left = False
        if self.link is None:
            self.ready_at_s = self._pool.timers.now_s()
        self.link = link

    def schedule_retry(self) -> None:
        self.is_connecting = False
        if self.link is not None:
            return
        now_s = self._pool.timers.now_s()
        self.failed_at_s = now_s
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        if now_s - self.failing_since_s > UNREACHABLE_MEMBER_TIMEOUT_S:
            self._pool.remove_member(self.member.node_id)
        if self.is_removed or not self.is_kept:
            return
        delay_s = self.backoff_s * self._pool.rng.uniform(0.5, 1)
        self.backoff_s = min(self.backoff_s * 2, MAX_BACKOFF_S)
        self._pool.timers.after(delay_s, lambda _: self.connect())


class _OutboundFactory(ClientFactory):
    """Builds the protocol of an outbound connection."""

    noisy = False

    def __init__(self, peer: _Peer, pool: 'PeerPool') -> None:
        self._peer = peer
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return PeerLink(self._pool, self._peer.member)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._peer.schedule_retry()


class PeerPool(LinkOwner):
    """All connections between this node and its peers.

    Attributes:
        links: All open connections.
        traffic: What was sent on them.
        members_version: Changes with the known nodes.

    Args:
        reactor: Opens the connections.
        timers: Clock and timers for the backoff.
        place: This node.
        handler: Receives the messages and connection events.
        log: Receives the decisions on connections.
        rng: Source of the backoff jitter.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerService,
        place: NodePlace,
        handler: PeerHandler,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        """Initialize without peers."""
        self.reactor = reactor
        self.timers = timers
        self.place = place
        self.handler = handler
        self.log = log
        self.rng = rng
        self.links: set[PeerLink] = set()
        self.max_unnamed_links = MAX_UNNAMED_LINKS
        self.memory = MemoryShare()
        self.unnamed_dropped = 0
        self.traffic = PeerTraffic()
        self.members_version = 0
        self._peers: dict[NodeId, _Peer] = {}
        self._by_address: dict[str, NodeId] = {}

    # Members

    def add_member(self, member: PeerMember) -> None:
        """Add a node; a connection to it is opened when it is kept.

        A node that is connected is where it has said itself; what an entry
        says otherwise is out of date.
        """
        holder_id = self._by_address.get(member.address, member.node_id)
        for node_id in (member.node_id, holder_id):
            if self.link_to(node_id) is not None:
                return
        self._add_present(member)

    def _add_present(self, member: PeerMember) -> None:
        """Add a node, in place of any that had its ID or address before."""
        if member.node_id == self.place.node_id or not member.has_address:
            return
        known = self._peers.get(member.node_id)
        if known is not None:
            if known.member.address == member.address:
                return
            self.remove_member(member.node_id)
        other_id = self._by_address.get(member.address)
        if other_id is not None:
            self.remove_member(other_id)
        self._peers[member.node_id] = _Peer(self, member)
        self._by_address[member.address] = member.node_id
        self.members_version += 1

    def remove_member(self, node_id: NodeId) -> None:
        """Remove a node and close the connection to it."""
        peer = self._peers.pop(node_id, None)
        if peer is None:
            return
        self._by_address.pop(peer.member.address, None)
        self.members_version += 1
        peer.is_removed = True
        if peer.link is not None:
            peer.link.abort()

    def known_members(self) -> tuple[PeerMember, ...]:
        """Return all known nodes, connected or not."""
        return tuple(peer.member for peer in self._peers.values())

    def present_members(self) -> tuple[PeerMember, ...]:
        """Return the known nodes that have not announced that they exit."""
        return tuple(
            peer.member for peer in self._peers.values() if not peer.has_left
        )

    def mark_left(self, node_id: NodeId) -> None:
        """Mark a node whose process is about to exit; it may return."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.has_left = True

    # Connections

    def keep_only(self, node_ids: Iterable[NodeId]) -> None:
        """Keep connections to these nodes; close others once they are idle."""
        wanted = set(node_ids)
        for node_id, peer in tuple(self._peers.items()):
            if node_id in wanted:
                peer.keep()
            else:
                peer.is_kept = False

    def connect_now(self, node_id: NodeId) -> None:
        """Connect to a kept node without delay, since it is known to live."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.backoff_s = FIRST_BACKOFF_S
            peer.connect()

    def link_to(self, node_id: NodeId) -> PeerLink | None:
        """Return the connection for calls to a node, if there is one."""
        peer = self._peers.get(node_id)
        return None if peer is None else peer.link

    def is_failing(self, node_id: NodeId, for_s: float) -> bool:
        """Return whether connecting to a node has failed for some time."""
        peer = self._peers.get(node_id)
        if peer is None:
            return False
        if peer.failing_since_s is None:
            return False
        now_s = self.timers.now_s()
        if not peer.is_kept and now_s - peer.failed_at_s > FAILURE_MEMORY_S:
            return False
        return now_s - peer.failing_since_s >= for_s

    def connected(self) -> tuple[PeerMember, ...]:
        """Return the nodes to which calls can be sent."""
        return tuple(
            peer.member
            for peer in self._peers.values()
            if peer.link is not None
        )

    def connected_since(self, since_s: float) -> tuple[PeerMember, ...]:
        """Return the nodes that have been connected since a given time."""
        return tuple(
            peer.member
            for peer in self._peers.values()
            if peer.link is not None and peer.ready_at_s <= since_s
        )

    def broadcast(self, message: PeerMessage, *, near_only: bool) -> None:
        """Send a message to each node that may send calls to this one.

        Args:
            message: The message.
            near_only: Whether only nodes of this failure domain receive it.
        """
        frame = encode_peer_frame(message)
        for link in tuple(self.links):
            if link.hello is None or not self._sends_calls(link):
                continue
            if link.is_near or not near_only:
                link.send_frame(frame, message)

    def check(self, now_s: float) -> None:
        """Check all connections for silent peers; called periodically."""
        for link in tuple(self.links):
            link.check(now_s)
            self.limit_frames(link)
            if link.is_outbound and link.hello is not None:
                self._close_if_unneeded(now_s, link)

    def limit_frames(self, link: PeerLink) -> None:
        """Have a large frame wait while memory lacks, but for the largest.

        That one goes on, so that its memory is free again when it is whole.
        """
        if not self.memory.is_exceeded:
            link.resume_reading()
            return
        if link.buffered_bytes < LARGE_FRAME_BYTES:
            return
        most_bytes = max(each.buffered_bytes for each in self.links)
        if link.buffered_bytes < most_bytes:
            link.pause_reading()
        else:
            link.resume_reading()

    def accept(self) -> PeerLink:
        """Return a connection that another node opens.

        The oldest ones that haven't named their node give way to it.
        """
        unnamed = [
            link
            for link in self.links
            if link.hello is None and not link.is_outbound
        ]
        excess = len(unnamed) + 1 - self.max_unnamed_links
        if excess > 0:
            unnamed.sort(key=lambda link: link.opened_s)
            for link in unnamed[:excess]:
                self._drop_unnamed(link)
        return PeerLink(self, None)

    def _drop_unnamed(self, link: PeerLink) -> None:
        self.unnamed_dropped += 1
        self.links.discard(link)
        self.log.write(
            LineKind.CLIENT,
            'clients_closed',
            listener='nodes',
            count=1,
            max_open=self.max_unnamed_links,
        )
        link.abort()

    # Events of connections

    def link_opened(self, link: PeerLink) -> None:
        """Handle the first message of the other end."""
        hello = link.hello
        if hello is None:
            return
        member = PeerMember(
            hello.node_id, hello.address, hello.service, hello.domain
        )
        if link.is_outbound and link.expected_id != hello.node_id:
            # The address now belongs to another node.
            self.remove_member(link.expected_id)
            self._add_present(member)
            link.abort()
            return
        self._add_present(member)
        peer = self._peers.get(hello.node_id)
        if peer is None:
            link.abort()
            return
        peer.has_left = False
        if link.is_outbound or peer.is_near:
            self._use(peer, link, hello)
        if not link.is_outbound:
            self.handler.peer_joined(link)

    def link_lost(self, link: PeerLink) -> None:
        """Handle a closed connection."""
        node_id = link.node_id or link.expected_id
        peer = self._peers.get(node_id)
        was_used = peer is not None and peer.link is link
        if peer is not None and was_used:
            peer.link = None
        if link.hello is not None:
            self.handler.peer_lost(link)
        if peer is not None and (was_used or link.is_outbound):
            peer.schedule_retry()

    def message_received(self, link: PeerLink, message: PeerMessage) -> None:
        """Handle a message other than those of the connection itself."""
        self.handler.peer_message(link, message)

    def hello(self) -> PeerHello:
        """Return the first message of this node."""
        return self.handler.hello()

    def _use(self, peer: _Peer, link: PeerLink, hello: PeerHello) -> None:
        current = peer.link
        if current is not None and current.hello is not None:
            if current.hello.incarnation != hello.incarnation:
                # The process at the other end of the old one has ended.
                peer.link = None
                current.abort()
            elif not self._is_preferred(link, hello.node_id):
                return
        peer.use(link)
        self.handler.peer_ready(link)

    def _is_preferred(self, link: PeerLink, node_id: NodeId) -> bool:
        """Return whether both ends use this one of two connections."""
        return link.is_outbound == (self.place.node_id < node_id)

    def _sends_calls(self, link: PeerLink) -> bool:
        return link.is_near or not link.is_outbound

    def _close_if_unneeded(self, now_s: float, link: PeerLink) -> None:
        """Close a connection that nothing is sent on, once it is idle."""
        peer = self._peers.get(link.node_id)
        is_needed = peer is not None and peer.link is link and peer.is_kept
        if is_needed:
            link.unneeded_since_s = None
            return
        if link.unneeded_since_s is None:
            link.unneeded_since_s = now_s
        is_idle = link.awaited_responses == 0 and (
            not self.handler.serves_calls_of(link)
        )
        if is_idle and now_s - link.unneeded_since_s >= REDUNDANT_LINK_S:
            link.abort()


class _InboundFactory(ServerFactory):
    """Builds the protocol of an inbound connection."""

    noisy = False

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return self._pool.accept()


@contextmanager
def serving_peers(
    reactor: IReactorTCP, address: str, pool: PeerPool
) -> Iterator[int]:
    """Accept connections from other nodes while the block runs.

    Yields:
        The listening port.
    """
    host, _, port = address.rpartition(':')
    listener = listen(reactor, host, int(port), _InboundFactory(pool), BACKLOG)
    try:
        yield listener.getHost().port
    finally:
        listener.stopListening()
        for link in tuple(pool.links):
            link.abort()
