"""Connections between the nodes of a fleet.

Each node opens one connection to every node that it knows, and sends its own
calls there; the answers come back on the same one. Connections are opened
again, with a growing pause, until the node is forgotten.
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
from rattanstile.process.decision_log import DecisionLog, Kind
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId

CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 1.0
"""A node that is back after a loss of power is met within a second."""
QUIET_S = 0.5
"""A connection that owes an answer and is this quiet is asked for a sign."""
UNRESPONSIVE_AFTER_S = 1.2
"""A connection this quiet gets no new calls; twice an ordinary hiccup."""
DEAD_S = 4.0
"""A connection this quiet is dropped; longer than most cuts are borne."""
UNANSWERED_MEMBER_S = 90.0
"""A node that answered nobody for so long is forgotten."""
BACKLOG = 512


class PeerHandler(Interface):
    """What a node does with what its peers send."""

    def peer_ready(self, link: 'PeerLink') -> None:
        """Learn that calls can be sent to the peer."""

    def peer_lost(self, link: 'PeerLink') -> None:
        """Learn that calls in hand at the peer get no answer."""

    def peer_joined(self, link: 'PeerLink') -> None:
        """Learn that the peer has opened a connection to this node."""

    def peer_left(self, link: 'PeerLink') -> None:
        """Learn that the peer's connection to this node is gone."""

    def peer_message(self, link: 'PeerLink', message: PeerMessage) -> None:
        """Take a message."""

    def hello(self) -> PeerHello:
        """Return this node's first message."""


class PeerLink(Protocol):
    """One connection between two nodes.

    Attributes:
        hello: The other end's first message; None before it.
        owed: Answers that the other end owes.
        heard_s: When the other end was last heard.
    """

    def __init__(self, pool: 'PeerPool', contact: '_Contact | None') -> None:
        """Begin before the connection is open."""
        self.hello: PeerHello | None = None
        self.awaited_responses = 0
        self.heard_s = pool.timers.now_s()
        self._owed_since_s = self.heard_s
        self._pool = pool
        self._contact = contact
        self._reader = PeerFrameReader()
        self._is_open = False
        self._is_pinged = False

    @property
    def is_inbound(self) -> bool:
        """Tell whether the other end opened the connection."""
        return self._contact is None

    @property
    def node_id(self) -> NodeId:
        """Return the other end's name; empty before its first message."""
        return NodeId('') if self.hello is None else self.hello.node_id

    def quiet_s(self, now_s: float) -> float:
        """Return for how long the other end has owed a sign of life."""
        if self.awaited_responses == 0:
            return 0
        return now_s - max(self.heard_s, self._owed_since_s)

    def expect_response(self) -> None:
        """Count an answer as owed."""
        if self.awaited_responses == 0:
            self._owed_since_s = self._pool.timers.now_s()
        self.awaited_responses += 1

    def send(self, message: PeerMessage) -> None:
        """Send a message, unless the connection is gone."""
        self.send_frame(encode_peer_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message, unless the connection is gone."""
        if self._is_open:
            write_now(self.transport, frame)

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._is_open:
            self.transport.abortConnection()  # type: ignore[union-attr]

    def check(self, now_s: float) -> None:
        """Ask a quiet peer for a sign of life, and drop a dead one."""
        quiet_s = self.quiet_s(now_s)
        if quiet_s > DEAD_S:
            self._pool.log.write(
                Kind.PEER,
                'peer_silent',
                node=self.node_id,
                quiet_s=round(quiet_s, 2),
                outcome='dropped',
            )
            self.abort()
        elif quiet_s > QUIET_S and not self._is_pinged:
            self._is_pinged = True
            self.send(PeerPing())

    # Twisted

    def connectionMade(self) -> None:  # noqa: N802
        """Say who this node is."""
        self._is_open = True
        set_liveness_options(self.transport)
        self._pool.links.add(self)
        self.send(self._pool.handler.hello())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take messages."""
        self.heard_s = self._pool.timers.now_s()
        self._is_pinged = False
        try:
            for message in self._reader.feed(data):
                self._take(message)
        except PeerFrameError as error:
            self._pool.log.write(
                Kind.PEER, 'peer_spoiled', node=self.node_id, why=error.message
            )
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Tell the owner."""
        self._is_open = False
        self._pool.links.discard(self)
        if self._contact is not None:
            self._contact.lost(self)
        elif self.hello is not None:
            self._pool.handler.peer_left(self)

    def _take(self, message: PeerMessage) -> None:
        match message:
            case PeerPing():
                self.send(PeerPong())
            case PeerPong():
                return
            case PeerHello():
                self._greeted(message)
            case _:
                if self.hello is not None:
                    self._pool.handler.peer_message(self, message)

    def _greeted(self, hello: PeerHello) -> None:
        self.hello = hello
        if self._contact is not None:
            self._contact.ready(self)
        else:
            self._pool.handler.peer_joined(self)


class _Contact:
    """A node that is known, and the connection that this one opens to it."""

    def __init__(self, pool: 'PeerPool', member: PeerMember) -> None:
        self.member = member
        self.link: PeerLink | None = None
        self.is_connecting = False
        self.is_forgotten = False
        self.has_left = False
        self.ready_s = 0.0
        self.backoff_s = FIRST_BACKOFF_S
        self.failing_since_s: float | None = None
        self._pool = pool

    def connect(self) -> None:
        if self.is_connecting or self.link is not None or self.is_forgotten:
            return
        self.is_connecting = True
        host, _, port = self.member.address.rpartition(':')
        self._pool.reactor.connectTCP(
            host,
            int(port),
            _ContactFactory(self, self._pool),
            CONNECT_TIMEOUT_S,
        )

    def ready(self, link: PeerLink) -> None:
        hello = link.hello
        if hello is None or self.is_forgotten:
            link.abort()
            return
        if hello.node_id != self.member.node_id:
            self._pool.renamed(self, hello)
            link.abort()
            return
        self.backoff_s = FIRST_BACKOFF_S
        self.failing_since_s = None
        self.has_left = False
        self.ready_s = self._pool.timers.now_s()
        self.link = link
        self._pool.handler.peer_ready(link)

    def lost(self, link: PeerLink) -> None:
        self.is_connecting = False
        was_ready = self.link is link
        self.link = None
        if was_ready:
            self._pool.handler.peer_lost(link)
        self.try_later()

    def try_later(self) -> None:
        self.is_connecting = False
        now_s = self._pool.timers.now_s()
        if self.failing_since_s is None:
            self.failing_since_s = now_s
        if now_s - self.failing_since_s > UNANSWERED_MEMBER_S:
            self._pool.forget(self.member.node_id)
        if self.is_forgotten:
            return
        pause_s = self.backoff_s * self._pool.rng.uniform(0.5, 1)
        self.backoff_s = min(self.backoff_s * 2, LONGEST_BACKOFF_S)
        self._pool.timers.after(pause_s, lambda _: self.connect())


class _ContactFactory(ClientFactory):
    """Builds the end of a connection that this node opens."""

    noisy = False

    def __init__(self, contact: _Contact, pool: 'PeerPool') -> None:
        self._contact = contact
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return PeerLink(self._pool, self._contact)

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._contact.try_later()


class PeerPool:
    """All connections of this node to others.

    Args:
        reactor: Opens and accepts the connections.
        timers: Gives the time.
        handler: Takes what peers send.
        rng: Spreads the pauses before connecting again.
    """

    def __init__(
        self,
        reactor: IReactorTCP,
        timers: TimerService,
        handler: PeerHandler,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        """Begin without peers."""
        self.reactor = reactor
        self.timers = timers
        self.handler = handler
        self.log = log
        self.rng = rng
        self.links: set[PeerLink] = set()
        self._contacts: dict[NodeId, _Contact] = {}

    def add_member(self, member: PeerMember) -> None:
        """Keep a connection to a node from now on."""
        known_members = self._contacts.get(member.node_id)
        if known_members is not None:
            if known_members.member.address == member.address:
                return
            self.forget(member.node_id)
        for other in tuple(self._contacts.values()):
            if other.member.address == member.address:
                self.forget(other.member.node_id)
        contact = _Contact(self, member)
        self._contacts[member.node_id] = contact
        contact.connect()

    def forget(self, node_id: NodeId) -> None:
        """Keep no connection to a node."""
        contact = self._contacts.pop(node_id, None)
        if contact is None:
            return
        contact.is_forgotten = True
        if contact.link is not None:
            contact.link.abort()

    def renamed(self, contact: _Contact, hello: PeerHello) -> None:
        """Learn that another node has the address of a known one."""
        self.forget(contact.member.node_id)
        self.add_member(
            PeerMember(
                hello.node_id, hello.address, hello.service, hello.domain
            )
        )

    def connect_now(self, node_id: NodeId) -> None:
        """Connect to a node now: it has just been heard."""
        contact = self._contacts.get(node_id)
        if contact is not None:
            contact.backoff_s = FIRST_BACKOFF_S
            contact.connect()

    def link_to(self, node_id: NodeId) -> PeerLink | None:
        """Return the open connection to a node, if there is one."""
        contact = self._contacts.get(node_id)
        return None if contact is None else contact.link

    def known_members(self) -> tuple[PeerMember, ...]:
        """Return all nodes that are known, connected or not."""
        return tuple(each.member for each in self._contacts.values())

    def mark_left(self, node_id: NodeId) -> None:
        """Learn that a node's process is about to end; it may come back."""
        contact = self._contacts.get(node_id)
        if contact is not None:
            contact.has_left = True

    def fleet_size(self) -> int:
        """Return how many nodes there may be, this one included."""
        return 1 + sum(not each.has_left for each in self._contacts.values())

    def connected(self) -> tuple[PeerMember, ...]:
        """Return the nodes that can be sent calls."""
        return tuple(
            each.member
            for each in self._contacts.values()
            if each.link is not None
        )

    def connected_since(self, since_s: float) -> tuple[NodeId, ...]:
        """Return the nodes that have been connected from a time on."""
        return tuple(
            node_id
            for node_id, each in self._contacts.items()
            if each.link is not None and each.ready_s <= since_s
        )

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to each node that is connected to this one."""
        frame = encode_peer_frame(message)
        for link in tuple(self.links):
            if link.is_inbound and link.hello is not None:
                link.send_frame(frame)

    def check(self, now_s: float) -> None:
        """Look for peers that have gone silent; called now and then."""
        for link in tuple(self.links):
            link.check(now_s)


class _PeerServerFactory(ServerFactory):
    """Builds the end of a connection that another node opens."""

    noisy = False

    def __init__(self, pool: PeerPool) -> None:
        self._pool = pool

    def buildProtocol(self, addr: Any) -> PeerLink:  # noqa: N802
        return PeerLink(self._pool, None)


@contextmanager
def serving_peers(
    reactor: IReactorTCP, address: str, pool: PeerPool
) -> Iterator[int]:
    """Accept connections of other nodes while the block runs.

    Yields:
        The port listened on.
    """
    host, _, port = address.rpartition(':')
    listener = reactor.listenTCP(
        int(port), _PeerServerFactory(pool), BACKLOG, host
    )
    try:
        yield listener.getHost().port  # type: ignore[attr-defined]
    finally:
        listener.stopListening()
        for link in tuple(pool.links):
            link.abort()
