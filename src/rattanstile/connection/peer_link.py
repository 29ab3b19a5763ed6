"""One connection between two nodes."""

from dataclasses import dataclass
from typing import Any
from typing import Protocol as Interface

from twisted.internet.protocol import Protocol

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.liveness import watch_remote_end
from rattanstile.connection.peer_messages import (
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    PeerFrameError,
    PeerFrameReader,
    PeerHello,
    PeerMember,
    PeerMessage,
    PeerPing,
    PeerPong,
    encode_peer_frame,
)
from rattanstile.connection.peer_traffic import PeerTraffic
from rattanstile.connection.request_memory import (
    CONNECTION_BYTES,
    MemoryShare,
    buffer_bytes,
)
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import FailureDomainId, NodeId

PING_AFTER_S = 0.5
"""Silence after which a connection with an awaited response is pinged."""
UNRESPONSIVE_AFTER_S = 1.2
"""Silence after which a connection gets no new calls; twice as long as an
ordinary short interruption."""
DROP_AFTER_S = 4.0
"""Silence after which a connection is closed; longer than most network
interruptions that must be tolerated."""


@dataclass(frozen=True, slots=True)
class NodePlace:
    """Identity and failure domain of the node that owns the connections."""

    node_id: NodeId
    domain: FailureDomainId


class LinkOwner(Interface):
    """What a connection needs of the pool that it belongs to."""

    timers: TimerService
    log: DecisionLog
    links: set['PeerLink']
    memory: MemoryShare
    traffic: PeerTraffic
    place: NodePlace

    def link_opened(self, link: 'PeerLink') -> None:
        """Handle the first message of the other end."""

    def link_lost(self, link: 'PeerLink') -> None:
        """Handle a closed connection."""

    def message_received(self, link: 'PeerLink', message: PeerMessage) -> None:
        """Handle a message other than those of the connection itself."""

    def hello(self) -> PeerHello:
        """Return the first message of this node."""

    def limit_frames(self, link: 'PeerLink') -> None:
        """Have large frames wait if the memory doesn't suffice for all."""


class PeerLink(Protocol):
    """One connection between two nodes.

    Attributes:
        hello: First message of the other end; None until it arrives.
        expected_id: ID of the node that was to be connected to; empty if the
            other end opened the connection.
        awaited_responses: Number of awaited responses.
        last_received_s: Monotonic time of the last bytes received.
        opened_s: Monotonic time at which it was opened.
        unneeded_since_s: Monotonic time since when nothing is sent on it; None
            while it is in use.

    Args:
        owner: The pool that it belongs to.
        member: The node that is connected to; None if the other end opens it.
    """

    def __init__(self, owner: LinkOwner, member: PeerMember | None) -> None:
        """Initialize without an open connection."""
        self.hello: PeerHello | None = None
        self.is_outbound = member is not None
        self.expected_id = NodeId('') if member is None else member.node_id
        self.awaited_responses = 0
        self.last_received_s = owner.timers.now_s()
        self.unneeded_since_s: float | None = None
        self.opened_s = self.last_received_s
        self._awaiting_since_s = self.last_received_s
        self._owner = owner
        self._domain = None if member is None else member.domain
        self._reader = PeerFrameReader()
        self._reader.max_frame_bytes = MAX_HELLO_BYTES
        self._is_open = False
        self._is_ping_sent = False
        self._held_bytes = 0
        self._is_reading_paused = False

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the unfinished frame."""
        return self._reader.buffered_bytes

    @property
    def node_id(self) -> NodeId:
        """Return the id of the other node; empty before its first message."""
        return NodeId('') if self.hello is None else self.hello.node_id

    @property
    def is_near(self) -> bool:
        """Return whether the other node is in the same failure domain."""
        domain = self._domain if self.hello is None else self.hello.domain
        return domain == self._owner.place.domain

    def quiet_s(self, now_s: float) -> float:
        """Return for how long nothing arrived while a response is awaited."""
        if self.awaited_responses == 0:
            return 0
        return now_s - max(self.last_received_s, self._awaiting_since_s)

    def expect_response(self) -> None:
        """Count one more awaited response."""
        if self.awaited_responses == 0:
            self._awaiting_since_s = self._owner.timers.now_s()
        self.awaited_responses += 1

    def response_received(self) -> None:
        """Count one awaited response less; also for one not awaited longer."""
        self.awaited_responses = max(0, self.awaited_responses - 1)

    def send(self, message: PeerMessage) -> None:
        """Send a message, unless the connection is closed."""
        self.send_frame(encode_peer_frame(message), message)

    def send_frame(self, frame: bytes, message: PeerMessage) -> None:
        """Send an encoded message, unless the connection is closed."""
        if self._is_open:
            traffic = self._owner.traffic
            traffic.add(message, len(frame), is_near=self.is_near)
            write_now(self.transport, frame)

    def abort(self) -> None:
        """Close the connection immediately."""
        if self._is_open:
            self.transport.abortConnection()  # type: ignore[union-attr]

    def pause_reading(self) -> None:
        """Leave the rest of a frame in the system."""
        if not self._is_reading_paused and self._is_open:
            self._is_reading_paused = True
            self.transport.pauseProducing()  # type: ignore[union-attr]

    def resume_reading(self) -> None:
        """Read on."""
        if self._is_reading_paused and self._is_open:
            self._is_reading_paused = False
            self.transport.resumeProducing()  # type: ignore[union-attr]

    def check(self, now_s: float) -> None:
        """Ping a silent peer, and close the connection to a dead one.

        Silence counts while a response or the rest of a frame is awaited.
        """
        if self._is_reading_paused:
            # The other end is not silent: this one doesn't listen.
            self.last_received_s = now_s
        quiet_s = self.quiet_s(now_s)
        if self.hello is None:
            # The other end may be paused, while its kernel accepts, or no
            # node at all that sends a byte from time to time.
            quiet_s = now_s - self.opened_s
        elif self.buffered_bytes > 0:
            # Other large frames may wait for the rest of this one.
            quiet_s = max(quiet_s, now_s - self.last_received_s)
        if quiet_s > DROP_AFTER_S:
            self._owner.log.write(
                LineKind.PEER,
                'peer_silent',
                node=self.node_id or self.expected_id,
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
        watch_remote_end(self.transport)
        self._owner.links.add(self)
        self.send(self._owner.hello())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle each complete message."""
        self.last_received_s = self._owner.timers.now_s()
        self._is_ping_sent = False
        try:
            for message in self._reader.feed(data):
                self._handle_message(message)
        except PeerFrameError as error:
            self._owner.log.write(
                LineKind.PEER,
                'peer_frame_invalid',
                node=self.node_id,
                why=error.message,
            )
            self.abort()
        self._count_memory()
        self._owner.limit_frames(self)

    def frame_taken(self) -> None:
        """Count the frame being handled no longer: its receiver does."""
        if self._is_open:
            self._owner.memory.change(CONNECTION_BYTES - self._held_bytes)
            self._held_bytes = CONNECTION_BYTES

    def _count_memory(self) -> None:
        """Count what the connection holds now."""
        held_bytes = CONNECTION_BYTES + buffer_bytes(self.buffered_bytes)
        if held_bytes != self._held_bytes and self._is_open:
            self._owner.memory.change(held_bytes - self._held_bytes)
            self._held_bytes = held_bytes

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the loss of the connection."""
        self._is_open = False
        self._owner.memory.change(-self._held_bytes)
        self._held_bytes = 0
        self._owner.links.discard(self)
        self._owner.link_lost(self)

    def _handle_message(self, message: PeerMessage) -> None:
        match message:
            case PeerPing():
                self.send(PeerPong())
            case PeerPong():
                return
            case PeerHello():
                self.hello = message
                self._reader.max_frame_bytes = MAX_FRAME_BYTES
                self._owner.link_opened(self)
            case _:
                if self.hello is not None:
                    self._owner.message_received(self, message)
