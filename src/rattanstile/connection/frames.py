"""Messages and their frames, between nodes and from callers to nodes.

A frame consists of the total frame length and an XXH32 checksum of the
payload, four bytes each in big-endian order, and one MessagePack message as
the payload.
"""

from collections.abc import Iterator
from enum import Enum, unique
from struct import Struct

import msgspec
from result import Err
from xxhash import xxh32_intdigest

from rattanstile.decoding import decode_untrusted
from rattanstile.errors import RattanstileError
from rattanstile.request.envelope import Call, Cancel, Header, Reply
from rattanstile.request.ids import (
    CallId,
    FailureDomainId,
    NodeId,
    ServiceName,
)

MAX_FRAME_BYTES = 2 * 1024 * 1024
_HEADER = Struct('>II')


class FrameError(RattanstileError):
    """Received bytes are not a valid frame; the connection is unusable."""


class MessageTooLargeError(RattanstileError):
    """A message exceeds the frame size limit; nothing was sent."""


@unique
class Role(Enum):
    """Role of one end of a connection."""

    CALLER = 'caller'
    NODE = 'node'


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag='hello'):
    """First message that each end of a connection sends.

    Attributes:
        node_id: Empty for a caller.
        id_epoch: Epoch that the node currently writes into call ids.
    """

    role: Role
    node_id: NodeId = NodeId('')
    incarnation: int = 0
    id_epoch: int = 0
    failure_domain: FailureDomainId = FailureDomainId('')
    service: ServiceName = ServiceName('')


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag='beat'):
    """Requests an acknowledgement, which shows that the other end is alive."""

    sequence: int
    id_epoch: int = 0


class HeartbeatAck(msgspec.Struct, frozen=True, kw_only=True, tag='ack'):
    """Acknowledges the heartbeat with the same sequence number."""

    sequence: int
    id_epoch: int = 0


class DrainNotice(msgspec.Struct, frozen=True, kw_only=True, tag='farewell'):
    """The sender drains: it accepts no new calls but completes earlier ones."""


class CallerRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='caller-request'
):
    """One attempt of a call, sent by the caller library.

    Attributes:
        sequence: Number of the request on its connection.
        deadline_ms: Time left until the deadline when the request was sent; 0
            for the default of the service.
        call_id: Set if an earlier attempt may have run, otherwise empty.
        attempt: Number of this attempt of the call, from 1.
        parent: Token of the call during which a target makes this one,
            otherwise empty.
    """

    sequence: int
    key: str = ''
    service: ServiceName
    method: str = 'GET'
    path: str = '/'
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    deadline_ms: int = 0
    call_id: CallId = CallId('')
    attempt: int = 1
    parent: str = ''


class CallerReply(
    msgspec.Struct, frozen=True, kw_only=True, tag='caller-reply'
):
    """Result of the request with the same sequence number."""

    sequence: int
    reply: Reply


class CallerCancel(
    msgspec.Struct, frozen=True, kw_only=True, tag='caller-cancel'
):
    """The caller no longer waits for the request with this number."""

    sequence: int


class IdGrantRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='ids-wanted'
):
    """Requests the right to issue call ids, for the caller library.

    Attributes:
        avoided: Home that left calls of the caller unanswered and is not to
            be chosen; empty for none.
    """

    service: ServiceName
    avoided: NodeId = NodeId('')


class IdGrant(msgspec.Struct, frozen=True, kw_only=True, tag='ids-granted'):
    """Grants the right to issue call ids for one home, for a short time.

    Attributes:
        home: The only node that may run the calls; empty if no node is
            available.
        id_epoch: Id epoch that the entry node last received from the home.
        issuer: Name that the entry node assigns to the caller, for its logs.
    """

    service: ServiceName
    home: NodeId
    incarnation: int = 0
    id_epoch: int = 0
    issuer: str = ''


Message = (
    Hello
    | Call
    | Reply
    | Cancel
    | Heartbeat
    | HeartbeatAck
    | DrainNotice
    | CallerRequest
    | CallerReply
    | CallerCancel
    | IdGrantRequest
    | IdGrant
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_frame(message: Message) -> bytes:
    """Encode a message as a frame.

    Raises:
        MessageTooLargeError: The frame would exceed `MAX_FRAME_BYTES`.
    """
    payload = _encoder.encode(message)
    total_bytes = len(payload) + _HEADER.size
    if total_bytes > MAX_FRAME_BYTES:
        raise MessageTooLargeError(
            f'message frame of {total_bytes} bytes is too large'
        )
    return _HEADER.pack(total_bytes, xxh32_intdigest(payload)) + payload


class FrameReader:
    """Decodes the byte stream of one connection into messages."""

    def __init__(self) -> None:
        """Initialize with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, received: bytes) -> Iterator[Message]:
        """Yield each message that the received bytes complete.

        Raises:
            FrameError: A length, checksum or payload is invalid.
        """
        pending: bytes | bytearray = received
        if self._buffer:
            self._buffer += received
            pending = self._buffer
        start = 0
        while len(pending) - start >= _HEADER.size:
            total_bytes, checksum = _HEADER.unpack_from(pending, start)
            if not _HEADER.size < total_bytes <= MAX_FRAME_BYTES:
                raise FrameError(f'invalid frame length of {total_bytes} bytes')
            end = start + total_bytes
            if len(pending) < end:
                break
            payload = pending[start + _HEADER.size : end]
            start = end
            yield _decode(bytes(payload), checksum)
        self._buffer = bytearray(pending[start:])


def _decode(payload: bytes, checksum: int) -> Message:
    if xxh32_intdigest(payload) != checksum:
        raise FrameError('frame checksum mismatch')
    decoded = decode_untrusted(_decoder.decode, payload)
    if isinstance(decoded, Err):
        raise FrameError(f'invalid message: {decoded.err_value.message}')
    return decoded.ok_value
