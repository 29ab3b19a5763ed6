"""One connection that carries frames, and the watch over its liveness.

Each end watches the other inside the connection: while an answer is awaited
and nothing arrives, a heartbeat is sent; while still nothing arrives, the
connection is silent and is closed. Silence is counted in checks, not in
seconds, so that a process that was itself paused blames nobody.
"""

from collections.abc import Callable
from typing import Any, Protocol, cast

import logbook
from twisted.internet.protocol import Protocol as TwistedProtocol

from rattanstile.connection.direct_write import write_now
from rattanstile.connection.frames import (
    CallerCancel,
    CallerReply,
    CallerRequest,
    DrainNotice,
    FrameError,
    FrameReader,
    Heartbeat,
    HeartbeatAck,
    Hello,
    IdGrant,
    IdGrantRequest,
    Message,
    Role,
    encode_frame,
)
from rattanstile.process.key_values import key_values
from rattanstile.request.envelope import Call, Cancel, Reply

CHECK_PERIOD_S = 0.25
HEARTBEAT_AFTER_CHECKS = 2
SILENT_AFTER_CHECKS = 6
IDLE_HEARTBEAT_AFTER_CHECKS = 240
MAX_UNSENT_BYTES = 4 * 1024 * 1024

_BEAT = 'heartbeat'
_FROM_CALLER = (CallerRequest, CallerCancel, IdGrantRequest)
_FROM_NODE = (Call, Cancel, Reply, DrainNotice, CallerReply, IdGrant)

HelloSource = Callable[[], Hello]

_log = logbook.Logger('link')


class LinkOwner(Protocol):
    """What a connection reports to."""

    def link_opened(self, link: 'PeerProtocol') -> None:
        """Learn that the connection is open and the other end unnamed."""

    def link_ready(self, link: 'PeerProtocol', hello: Hello) -> None:
        """Learn that the other end has named itself."""

    def link_received(self, link: 'PeerProtocol', message: Message) -> None:
        """Take a message."""

    def link_lost(self, link: 'PeerProtocol') -> None:
        """Learn that the connection is closed or silent."""

    def link_heard_epoch(self, link: 'PeerProtocol', id_epoch: int) -> None:
        """Learn the id epoch that the other end told in a heartbeat."""


class PeerProtocol(TwistedProtocol):
    """One end of a connection that carries frames.

    Args:
        owner: Told of each message and of the end.
        hello: Gives what this end says of itself, at any time.
    """

    def __init__(self, owner: LinkOwner, hello: HelloSource) -> None:
        """Begin unconnected."""
        self.peer: Hello | None = None
        self._owner = owner
        self._hello = hello
        self._reader = FrameReader()
        self._awaited: set[str | int] = set()
        self._quiet_checks = 0
        self._beats_sent = 0
        self._is_over = False
        self._is_paused = False
        self._unsent_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Name this end to the other."""
        transport = cast(Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._owner.link_opened(self)
        self.send(self._hello())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Hand each complete message on."""
        self._quiet_checks = 0
        try:
            for message in self._reader.feed(data):
                self._take(message)
        except FrameError as error:
            _log.warning(key_values('frame_refused', cause=error.message))
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the end, once."""
        self._end()

    def send(self, message: Message) -> None:
        """Send a message, unless the connection is over.

        Raises:
            MessageTooLargeError: The message is too large for a frame.
        """
        if self._is_over:
            return
        frame = encode_frame(message)
        self._note_sent(message)
        write_now(self.transport, frame)
        if self._is_paused:
            self._count_unsent(len(frame))

    def abort(self) -> None:
        """Close at once and report the end."""
        if not self._is_over:
            self.transport.abortConnection()  # type: ignore[union-attr]
            self._end()

    def check(self) -> None:
        """Look for silence; called each `CHECK_PERIOD_S`."""
        self._quiet_checks += 1
        waits = bool(self._awaited) or self._is_paused or self.peer is None
        beat_after = (
            HEARTBEAT_AFTER_CHECKS if waits else IDLE_HEARTBEAT_AFTER_CHECKS
        )
        if waits and self._quiet_checks >= SILENT_AFTER_CHECKS:
            _log.warning(key_values('connection_silent', peer=self.peer_name))
            self.abort()
        elif self._quiet_checks == beat_after:
            self._beat()

    def pauseProducing(self) -> None:  # noqa: N802
        """Learn that the other end reads more slowly than this one writes."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Learn that everything written has left."""
        self._is_paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Learn that the connection closes."""

    @property
    def peer_name(self) -> str:
        """Return who is at the other end, for logs."""
        return self.peer.node_id or 'caller' if self.peer else 'unnamed'

    def _count_unsent(self, size_bytes: int) -> None:
        self._unsent_bytes += size_bytes
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            _log.warning(key_values('connection_unread', peer=self.peer_name))
            self.abort()

    def _beat(self) -> None:
        self._beats_sent += 1
        epoch = self._hello().id_epoch
        self.send(Heartbeat(sequence=self._beats_sent, id_epoch=epoch))

    def _note_sent(self, message: Message) -> None:
        match message:
            case Call():
                self._await(message.call_id)
            case CallerRequest():
                self._await(message.sequence)
            case IdGrantRequest():
                self._await(message.service)
            case Heartbeat():
                self._await(_BEAT)
            case Cancel():
                self._awaited.discard(message.call_id)
            case CallerCancel():
                self._awaited.discard(message.sequence)

    def _await(self, name: str | int) -> None:
        if not self._awaited:
            self._quiet_checks = 0
        self._awaited.add(name)

    def _take(self, message: Message) -> None:
        if self._is_over:
            return
        match message:
            case Reply():
                self._awaited.discard(message.call_id)
            case CallerReply():
                self._awaited.discard(message.sequence)
            case IdGrant():
                self._awaited.discard(message.service)
            case Heartbeat():
                self._answer_beat(message)
                return
            case HeartbeatAck():
                self._awaited.discard(_BEAT)
                self._owner.link_heard_epoch(self, message.id_epoch)
                return
            case Hello():
                self._learn_peer(message)
                return
        self._pass_on(message)

    def _pass_on(self, message: Message) -> None:
        if self.peer is None:
            raise FrameError('a message before the hello')
        allowed = _FROM_CALLER if self.peer.role is Role.CALLER else _FROM_NODE
        if not isinstance(message, allowed):
            raise FrameError('a message that this role may not send')
        try:
            self._owner.link_received(self, message)
        except Exception:
            # One message's failure is not the other calls' on this link.
            _log.exception(key_values('message_failed', peer=self.peer_name))

    def _learn_peer(self, hello: Hello) -> None:
        if self.peer is not None:
            raise FrameError('a second hello')
        self.peer = hello
        self._owner.link_ready(self, hello)

    def _answer_beat(self, beat: Heartbeat) -> None:
        epoch = self._hello().id_epoch
        self.send(HeartbeatAck(sequence=beat.sequence, id_epoch=epoch))
        self._owner.link_heard_epoch(self, beat.id_epoch)

    def _end(self) -> None:
        if not self._is_over:
            self._is_over = True
            self._owner.link_lost(self)
