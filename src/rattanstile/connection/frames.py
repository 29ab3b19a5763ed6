"""Frames between nodes, and between the caller library and a node.

A frame is a total length and an XXH32 checksum, four bytes each and
big-endian, then one MessagePack message.
"""

from collections.abc import Iterator
from enum import Enum, unique
from struct import Struct

import msgspec
from xxhash import xxh32_intdigest

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
    """The bytes received are no frame; the connection can't go on."""


class MessageTooLargeError(RattanstileError):
    """A message does not fit into a frame; nothing was sent."""


@unique
class Role(Enum):
    """What the end of a connection is."""

    CALLER = 'caller'
    NODE = 'node'


class Hello(msgspec.Struct, frozen=True, kw_only=True, tag='hello'):
    """First message of both ends.

    Attributes:
        node_id: Empty for a caller.
        id_epoch: The epoch that the node now writes into call ids.
    """

    role: Role
    node_id: NodeId = NodeId('')
    incarnation: int = 0
    id_epoch: int = 0
    failure_domain: FailureDomainId = FailureDomainId('')
    service: ServiceName = ServiceName('')


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, tag='beat'):
    """Asks the other end for a sign of life."""

    sequence: int
    id_epoch: int = 0


class HeartbeatAck(msgspec.Struct, frozen=True, kw_only=True, tag='ack'):
    """Answers the heartbeat of the same sequence number."""

    sequence: int
    id_epoch: int = 0


class DrainNotice(msgspec.Struct, frozen=True, kw_only=True, tag='farewell'):
    """The sender drains: it takes no new call, and still answers old ones."""


class CallerRequest(
    msgspec.Struct, frozen=True, kw_only=True, tag='caller-request'
):
    """One attempt of a call, as the caller library sends it.

    Attributes:
        sequence: Counts the requests of one connection.
        deadline_ms: Time left when the request was sent; 0 for the service's
            own.
        call_id: Set where an earlier attempt may have run, else empty.
        attempt: Counts the attempts of this call from 1.
        parent: Token of the call that a target is serving, else empty.
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
    """The end of the request with the same sequence number."""

    sequence: int
    reply: Reply


class CallerCancel(
    msgspec.Struct, frozen=True, kw_only=True, tag='caller-cancel'
):
    """The caller no longer waits for the request of this number."""

    sequence: int


class IdGrantRequest(msgspec.Struct, frozen=True, kw_only=True, tag='ids-wanted'):
    """The caller library asks for the right to issue call ids.

    Attributes:
        avoided: A home that left the caller's calls unanswered; empty for
            none.
    """

    service: ServiceName
    avoided: NodeId = NodeId('')


class IdGrant(msgspec.Struct, frozen=True, kw_only=True, tag='ids-granted'):
    """The right to issue call ids under one home, for a short term.

    Attributes:
        home: The node that alone may run the calls; empty when none serves.
        id_epoch: The home's id epoch, as the entry node last heard it.
        issuer: Name that the entry node gives the caller, for its logs.
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
    """Return the frame of a message.

    Raises:
        MessageTooLargeError: The frame would exceed `MAX_FRAME_BYTES`.
    """
    payload = _encoder.encode(message)
    total_bytes = len(payload) + _HEADER.size
    if total_bytes > MAX_FRAME_BYTES:
        raise MessageTooLargeError(
            f'a message of {total_bytes} bytes is too large'
        )
    return _HEADER.pack(total_bytes, xxh32_intdigest(payload)) + payload


class FrameReader:
    """Cuts the bytes of one connection into messages."""

    def __init__(self) -> None:
        """Begin with nothing received."""
        self._received = bytearray()

    def feed(self, received: bytes) -> Iterator[Message]:
        """Yield each message that the bytes complete.

        Raises:
            FrameError: A length, checksum or payload is wrong.
        """
        pending: bytes | bytearray = received
        if self._received:
            self._received += received
            pending = self._received
        start = 0
        while len(pending) - start >= _HEADER.size:
            total_bytes, checksum = _HEADER.unpack_from(pending, start)
            if not _HEADER.size < total_bytes <= MAX_FRAME_BYTES:
                raise FrameError(f'a frame of {total_bytes} bytes')
            end = start + total_bytes
            if len(pending) < end:
                break
            payload = pending[start + _HEADER.size : end]
            start = end
            yield _decode(bytes(payload), checksum)
        self._received = bytearray(pending[start:])


def _decode(payload: bytes, checksum: int) -> Message:
    if xxh32_intdigest(payload) != checksum:
        raise FrameError('a checksum differs')
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise FrameError(f'no known message: {error}') from error
