"""A connection that carries frames and detects a silent other end.

Each end sends a heartbeat when it awaits a response and nothing arrives. If
still nothing arrives, the connection is considered silent and is closed. An
idle connection sends a heartbeat after a longer time.
Silence is counted in checks rather than in seconds, so that a pause of this
process is not mistaken for a failure of the other end.
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

_HEARTBEAT = 'heartbeat'
_CALLER_MESSAGES = (CallerRequest, CallerCancel, IdGrantRequest)
_NODE_MESSAGES = (Call, Cancel, Reply, DrainNotice, CallerReply, IdGrant)

HelloSource = Callable[[], Hello]

_log = logbook.Logger('link')


class LinkOwner(Protocol):
    """Receives the events of connections."""

    def link_opened(self, link: 'PeerProtocol') -> None:
        """Handle a new connection whose other end is not yet identified."""

    def link_ready(self, link: 'PeerProtocol', hello: Hello) -> None:
        """Handle the hello that identifies the other end."""

    def link_received(self, link: 'PeerProtocol', message: Message) -> None:
        """Handle a message."""

    def link_lost(self, link: 'PeerProtocol') -> None:
        """Handle the loss of the connection, closed or silent."""

    def link_received_epoch(self, link: 'PeerProtocol', id_epoch: int) -> None:
        """Handle the id epoch from a heartbeat or acknowledgement."""


class PeerProtocol(TwistedProtocol):
    """One end of a connection that carries frames.

    Args:
        owner: Receives the messages and the other events.
        hello: Returns the current hello of this end; called at any time.
    """

    def __init__(self, owner: LinkOwner, hello: HelloSource) -> None:
        """Initialize without a connection."""
        self.peer: Hello | None = None
        self._owner = owner
        self._hello = hello
        self._reader = FrameReader()
        self._awaited_responses: set[str | int] = set()
        self._silent_checks = 0
        self._heartbeats_sent = 0
        self._is_closed = False
        self._is_paused = False
        self._unsent_bytes = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Identify this end to the other one."""
        transport = cast(Any, self.transport)
        transport.setTcpNoDelay(True)
        transport.registerProducer(self, True)
        self._owner.link_opened(self)
        self.send(self._hello())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle each complete message."""
        self._silent_checks = 0
        try:
            for message in self._reader.feed(data):
                self._handle_message(message)
        except FrameError as error:
            _log.warning(key_values('frame_refused', cause=error.message))
            self.abort()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the loss of the connection, once."""
        self._report_loss()

    def send(self, message: Message) -> None:
        """Send a message, unless the connection is closed.

        Raises:
            MessageTooLargeError: The message is too large for a frame.
        """
        if self._is_closed:
            return
        frame = encode_frame(message)
        self._track_sent(message)
        write_now(self.transport, frame)
        if self._is_paused:
            self._count_unsent(len(frame))

    def abort(self) -> None:
        """Close the connection immediately and report its loss."""
        if not self._is_closed:
            self.transport.abortConnection()  # type: ignore[union-attr]
            self._report_loss()

    def check(self) -> None:
        """Check for silence; called every `CHECK_PERIOD_S`."""
        self._silent_checks += 1
        expects_data = (
            bool(self._awaited_responses)
            or self._is_paused
            or self.peer is None
        )
        heartbeat_after = (
            HEARTBEAT_AFTER_CHECKS
            if expects_data
            else IDLE_HEARTBEAT_AFTER_CHECKS
        )
        if expects_data and self._silent_checks >= SILENT_AFTER_CHECKS:
            _log.warning(key_values('connection_silent', peer=self.peer_name))
            self.abort()
        elif self._silent_checks == heartbeat_after:
            self._send_heartbeat()

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the other end reads more slowly than this one writes."""
        self._is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that all written bytes have been sent."""
        self._is_paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing when the connection closes."""

    @property
    def peer_name(self) -> str:
        """Return the name of the other end, for logs."""
        return self.peer.node_id or 'caller' if self.peer else 'unnamed'

    def _count_unsent(self, size_bytes: int) -> None:
        self._unsent_bytes += size_bytes
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            _log.warning(
                key_values('connection_send_buffer_full', peer=self.peer_name)
            )
            self.abort()

    def _send_heartbeat(self) -> None:
        self._heartbeats_sent += 1
        epoch = self._hello().id_epoch
        self.send(Heartbeat(sequence=self._heartbeats_sent, id_epoch=epoch))

    def _track_sent(self, message: Message) -> None:
        match message:
            case Call():
                self._expect_response(message.call_id)
            case CallerRequest():
                self._expect_response(message.sequence)
            case IdGrantRequest():
                self._expect_response(message.service)
            case Heartbeat():
                self._expect_response(_HEARTBEAT)
            case Cancel():
                self._awaited_responses.discard(message.call_id)
            case CallerCancel():
                self._awaited_responses.discard(message.sequence)

    def _expect_response(self, response_key: str | int) -> None:
        if not self._awaited_responses:
            self._silent_checks = 0
        self._awaited_responses.add(response_key)

    def _handle_message(self, message: Message) -> None:
        if self._is_closed:
            return
        match message:
            case Reply():
                self._awaited_responses.discard(message.call_id)
            case CallerReply():
                self._awaited_responses.discard(message.sequence)
            case IdGrant():
                self._awaited_responses.discard(message.service)
            case Heartbeat():
                self._acknowledge_heartbeat(message)
                return
            case HeartbeatAck():
                self._awaited_responses.discard(_HEARTBEAT)
                self._owner.link_received_epoch(self, message.id_epoch)
                return
            case Hello():
                self._handle_hello(message)
                return
        self._dispatch(message)

    def _dispatch(self, message: Message) -> None:
        if self.peer is None:
            raise FrameError('message received before the hello')
        allowed = (
            _CALLER_MESSAGES
            if self.peer.role is Role.CALLER
            else _NODE_MESSAGES
        )
        if not isinstance(message, allowed):
            raise FrameError(
                'message type not allowed for the role of the sender'
            )
        try:
            self._owner.link_received(self, message)
        except Exception:
            # An error in one message must not fail other calls on this link.
            _log.exception(key_values('message_failed', peer=self.peer_name))

    def _handle_hello(self, hello: Hello) -> None:
        if self.peer is not None:
            raise FrameError('duplicate hello')
        self.peer = hello
        self._owner.link_ready(self, hello)

    def _acknowledge_heartbeat(self, heartbeat: Heartbeat) -> None:
        epoch = self._hello().id_epoch
        self.send(HeartbeatAck(sequence=heartbeat.sequence, id_epoch=epoch))
        self._owner.link_received_epoch(self, heartbeat.id_epoch)

    def _report_loss(self) -> None:
        if not self._is_closed:
            self._is_closed = True
            self._owner.link_lost(self)
