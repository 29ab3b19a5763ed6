"""Messages between nodes of a fleet, and their frames.

A frame is a length of four bytes, big-endian, and one MessagePack message.
Messages are arrays without field names: their bytes between failure domains
are what the fleet pays most for.
"""

from collections.abc import Iterator
from struct import Struct

import msgspec

from rattanstile.errors import RattanstileError
from rattanstile.request.exchange import (
    ServedCall,
    ServiceUsage,
    WholeAnswer,
)
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    OrganisationId,
    ServiceName,
    TargetId,
)

MAX_FRAME_BYTES = 72 * 1024 * 1024
"""The largest body that operators allow, and its head."""

_LENGTH = Struct('>I')


class PeerFrameError(RattanstileError):
    """The bytes received are no frame; the connection can't go on."""


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """How a target and the queue before it are.

    Attributes:
        is_usable: Whether the target takes new calls.
        held: Calls on the target and in the queue.
        limit: Calls at once that the target bears.
        service_us: Microseconds that a call takes on it, in the mean.
        wait_us: Microseconds that a new call would wait.
        offered_deci_per_s: Tenths of calls a second that arrive, those
            refused included.
        capacity_deci_per_s: Tenths of calls a second that the target
            serves.
        failing_percent: Share of its calls that the target fails of late.
    """

    is_usable: bool = False
    pending_calls: int = 0
    limit: int = 1
    service_us: int = 0
    wait_us: int = 0
    offered_deci_per_s: int = 0
    capacity_deci_per_s: int = 0
    failing_percent: int = 0


class PeerHello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message of both ends.

    Attributes:
        incarnation: Differs between two runs of the process.
        offset: See `ConfigNotice`.
        reads: See `ConfigNotice`.
    """

    node_id: NodeId
    address: str
    service: ServiceName
    domain: FailureDomainId
    incarnation: int
    offset: int
    load: TargetLoad
    reads: bool = True


class CallRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One attempt; `sequence` counts the attempts of the sender."""

    sequence: int
    call: ServedCall


class CallCancellation(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Nobody waits for the attempt any more."""

    sequence: int


class CallResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The end of an attempt.

    Attributes:
        answer: The target's, or None.
        not_run: Number of a `NotRunReason`; 0 for none.
        unknown: Number of an `UnknownReason`; 0 for none.
        usage: What a run of the route takes; empty when told not long ago.
    """

    sequence: int
    answer: WholeAnswer | None
    not_run: int
    unknown: int
    load: TargetLoad
    usage: tuple[ServiceUsage, ...] = ()


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The sender's target has changed."""

    service: ServiceName
    load: TargetLoad


class ConfigNotice(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The sender knows the operators' log up to this offset.

    Attributes:
        reads: Whether the sender reads the log, and is answered.
    """

    offset: int
    reads: bool = True


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The sender can't read the operators' log itself."""

    offset: int


class ConfigResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """What operators state, as of an offset of their log.

    Attributes:
        packed: The configuration as it was published, by zlib.
    """

    offset: int
    packed: bytes
    evacuated: tuple[FailureDomainId, ...]


class DemandReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Requests a second of each organisation at the sender.

    Attributes:
        sequence: Larger in each later report.
        calls_per_s: Calls of each service that the sender's root requests
            would make, if all were let in.
    """

    sequence: int
    demand_per_s: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]


class RateSharesResponse(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Parts of each organisation's rate that the receiver may hand out.

    Attributes:
        calls_per_s: What all reporting nodes said of each service.
        nodes: How many nodes there are.
    """

    sequence: int
    organisation_shares: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    nodes: int


class ShutdownNotice(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The sender's process is about to end."""


class PeerPing(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Asks for a sign of life."""


class PeerPong(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers a ping."""


class PeerMember(msgspec.Struct, frozen=True, array_like=True):
    """Where a node is reached, and what it serves.

    Attributes:
        left: The last target of the node that said that it goes.
        left_born_ms: Start of that incarnation, by the target's clock.
    """

    node_id: NodeId
    address: str
    service: ServiceName
    domain: FailureDomainId
    left: TargetId = TargetId('')
    left_born_ms: int = 0


class MembersRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """The sender has started, and can't read the other nodes itself."""


class MembersResponse(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Nodes that the sender is connected to."""

    members: tuple[PeerMember, ...]


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The sender's part of an organisation's rate is used up."""

    sequence: int
    organisation: OrganisationId


class TokenResponse(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Answers `TokenWanted`; without a token, when there may be one."""

    sequence: int
    is_granted: bool
    wait_ms: int


PeerMessage = (
    PeerHello
    | CallRequest
    | CallCancellation
    | CallResponse
    | StatusReport
    | ConfigNotice
    | ConfigRequest
    | ConfigResponse
    | DemandReport
    | RateSharesResponse
    | ShutdownNotice
    | PeerPing
    | PeerPong
    | MembersRequest
    | MembersResponse
    | TokenRequest
    | TokenResponse
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    PeerMessage
)


def encode_peer_frame(message: PeerMessage) -> bytes:
    """Return the frame of a message."""
    payload = _encoder.encode(message)
    return _LENGTH.pack(len(payload)) + payload


class PeerFrameReader:
    """Cuts the bytes of one connection into messages."""

    def __init__(self) -> None:
        """Begin with nothing received."""
        self._pending = bytearray()

    def feed(self, received: bytes) -> Iterator[PeerMessage]:
        """Yield each message that the bytes complete.

        Raises:
            PeerFrameError: A length or payload is wrong.
        """
        pending: bytes | bytearray = received
        if self._pending:
            self._pending += received
            pending = self._pending
        start = 0
        while len(pending) - start >= _LENGTH.size:
            size_bytes = _LENGTH.unpack_from(pending, start)[0]
            if size_bytes > MAX_FRAME_BYTES:
                raise PeerFrameError(f'a frame of {size_bytes} bytes')
            begin = start + _LENGTH.size
            if len(pending) < begin + size_bytes:
                break
            start = begin + size_bytes
            yield _decode(bytes(pending[begin:start]))
        self._pending = bytearray(pending[start:])


def _decode(payload: bytes) -> PeerMessage:
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise PeerFrameError(f'no known message: {error}') from error
