"""Messages between the nodes of a fleet, and their frames.

A frame consists of a payload length, four bytes in big-endian order, and one
MessagePack message. Messages are arrays without field names, because traffic
between failure domains is the largest cost of the fleet.
"""

from collections.abc import Iterator
from socket import AF_INET, AF_INET6, inet_pton
from struct import Struct

import msgspec
from result import Err

from rattanstile.decoding import decode_untrusted
from rattanstile.errors import RattanstileError
from rattanstile.request.exchange import (
    AnswerHead,
    ServedCall,
    ServiceUsage,
    WholeAnswer,
)
from rattanstile.request.ids import (
    NO_ERA,
    FailureDomainId,
    NodeId,
    OrganisationId,
    ServiceName,
    StoreEra,
    TargetId,
    TargetVersion,
)

MAX_FRAME_BYTES = 72 * 1024 * 1024
"""Room for the largest body that operators can allow, and its headers."""
MAX_HELLO_BYTES = 16 * 1024
"""Whoever connects is unknown until its first message has been read."""

MAX_PORT = 65535
MAX_PORT_DIGITS = 5

_LENGTH = Struct('>I')


class PeerFrameError(RattanstileError):
    """Received bytes are not a valid frame; the connection is unusable."""


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target and its queue.

    Attributes:
        is_usable: Whether the target accepts new calls.
        pending_calls: Calls in flight at the target and waiting in the queue.
        limit: Concurrency limit of the target.
        service_us: Mean service time of a call, in microseconds.
        wait_us: Expected queueing time of a new call, in microseconds.
        offered_deci_per_s: Arrival rate including refused calls, in tenths
            of a call per second.
        capacity_deci_per_s: Rate that the target can serve, in tenths of a
            call per second.
        failing_percent: Percentage of recent calls that failed at the target.
        cold_ms: Time until the target is warm; 0 if it is.
        route_code: Number of the route of the latest call that ended, see
            `route_code` in `serving.reported_times`; 0 for none.
        route_deci_ms: Usual time of the target for that route, in tenths of
            a millisecond.
        pace_percent: Present time of a call in percent of its usual time.
    """

    is_usable: bool = False
    pending_calls: int = 0
    limit: int = 1
    service_us: int = 0
    wait_us: int = 0
    offered_deci_per_s: int = 0
    capacity_deci_per_s: int = 0
    failing_percent: int = 0
    cold_ms: int = 0
    route_code: int = 0
    route_deci_ms: int = 0
    pace_percent: int = 100


class PeerHello(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """First message that each end of a connection sends.

    Attributes:
        incarnation: Differs between runs of the process.
        offset: See `ConfigNotice`.
        reads: See `ConfigNotice`.
        takes_parts: Whether it accepts answers in parts.
        era: See `ConfigNotice`.
        version: See `ConfigNotice`.
        kept: See `ConfigNotice`.
        confirmed_ms: See `ConfigNotice`.
        target_version: Version of the target; empty if unknown.
    """

    node_id: NodeId
    address: str
    service: ServiceName
    domain: FailureDomainId
    incarnation: int
    offset: int
    load: TargetLoad
    reads: bool = True
    takes_parts: bool = False
    era: StoreEra = NO_ERA
    version: int = 0
    kept: tuple[FailureDomainId, ...] = ()
    confirmed_ms: int | None = None
    target_version: TargetVersion = TargetVersion('')


class CallRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """One attempt; `sequence` is its number among those of the sender.

    Attributes:
        is_exposed: Whether the sender has paid for it with its credit for the
            target version of a rollout.
    """

    sequence: int
    call: ServedCall
    is_exposed: bool = False


class CallCancellation(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The result of the attempt is no longer awaited."""

    sequence: int


class CallResponse(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Result of an attempt.

    Attributes:
        answer: Response of the target, or None.
        not_run: Value of a `NotRunReason`; 0 for none.
        unknown: Value of an `UnknownReason`; 0 for none.
        usage: Service usage of one run of the route; empty if it was sent
            recently.
        streamed_status: Status of the answer whose parts were all sent
            before; 0 for none.
        not_run_detail: Value of a `NotRunReason` that older nodes don't know;
            `not_run` is then the reason that they treat alike; 0 for none.
    """

    sequence: int
    answer: WholeAnswer | None
    not_run: int
    unknown: int
    load: TargetLoad
    usage: tuple[ServiceUsage, ...] = ()
    streamed_status: int = 0
    not_run_detail: int = 0


class AnswerStart(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """Start of an answer in parts; a `CallResponse` ends it."""

    sequence: int
    head: AnswerHead


class AnswerPart(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Next bytes of an answer in parts."""

    sequence: int
    part: bytes


class AnswerCredit(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """The caller has taken that many more bytes of an answer in parts."""

    sequence: int
    size_bytes: int


class StatusReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Current service, load and version of the sender's target."""

    service: ServiceName
    load: TargetLoad
    target_version: TargetVersion = TargetVersion('')


class ConfigNotice(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The sender has the operators' log up to this offset.

    Attributes:
        reads: Whether the sender reads the log from the store and the store
            responds.
        era: Era of the store that the offset belongs to.
        version: Number of the configuration in force; 0 for none. A node may
            know a newer one than the log has, after the store was restored.
        kept: See `rattanstile.version.fleet_config.FleetState`.
        confirmed_ms: Time since a read of the sender has shown this to be the
            newest; None if none has.
    """

    offset: int
    reads: bool = True
    era: StoreEra = NO_ERA
    version: int = 0
    kept: tuple[FailureDomainId, ...] = ()
    confirmed_ms: int | None = None


class ConfigRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Requests the operators' state if it is newer than the sender's.

    Sent by a node that doesn't read the operators' log itself or can't read it,
    or that knows less than the receiver after the store was restored.

    Attributes:
        era: See `ConfigNotice`.
        version: See `ConfigNotice`.
    """

    offset: int
    era: StoreEra = NO_ERA
    version: int = 0


class KeptEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """A failure domain of which the log says the opposite.

    Attributes:
        left_ms: Time for which the opposite stays in force.
    """

    domain: FailureDomainId
    left_ms: int


class PeerOrder(msgspec.Struct, frozen=True, array_like=True):
    """An order to move a service to another version.

    Attributes:
        age_ms: Time since the order.
        verdict: Value of the latest `Verdict` that the sender has heard of.
    """

    service: ServiceName
    version: TargetVersion
    duration_ms: int
    age_ms: int
    verdict: int = 0


class ConfigResponse(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """State that the operators have set, as of an offset of their log.

    Attributes:
        packed: The configuration as published, compressed with zlib.
        evacuated: Failure domains that get no new work.
        era: See `ConfigNotice`.
        kept: Of which failure domains the log says the opposite.
        settled: Failure domains that were decided since the store was restored.
        confirmed_ms: See `ConfigNotice`.
        orders: Rollouts that operators have ordered; None if the sender
            doesn't know of rollouts.
    """

    offset: int
    packed: bytes
    evacuated: tuple[FailureDomainId, ...]
    era: StoreEra = NO_ERA
    kept: tuple[KeptEvacuation, ...] = ()
    settled: tuple[FailureDomainId, ...] = ()
    confirmed_ms: int | None = None
    orders: tuple[PeerOrder, ...] | None = None


class ServiceDigest(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service in one failure domain, summed over its targets.

    Attributes:
        targets: Nodes of the service, usable or not.
        usable: Targets that accept new calls.
        offered_deci_per_s: See `TargetLoad`; the sum over usable targets.
        capacity_deci_per_s: See `TargetLoad`; the sum over usable targets.
        wait_us: Mean queueing time of a call, in microseconds.
        failing_percent: Lowest percentage of any usable target.
        cold_ms: Mean time until its cold targets are warm; 0 if none is cold.
    """

    service: ServiceName
    targets: int
    usable: int
    offered_deci_per_s: int
    capacity_deci_per_s: int
    wait_us: int
    failing_percent: int
    cold_ms: int


class DomainDigest(msgspec.Struct, frozen=True, array_like=True):
    """What other failure domains know of one.

    Attributes:
        age_ms: Time since its delegate worked it out.
        nodes: Nodes of the domain that have not left.
        services: Only services that the receiver uses.
    """

    domain: FailureDomainId
    age_ms: int
    nodes: int
    services: tuple[ServiceDigest, ...]


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answered and failed calls of one route since the order of a rollout.

    Attributes:
        route: Name of the route.
        domain: Failure domain of the targets that got the calls.
        is_new: Whether these are targets of the new version.
        calls: Calls that ended, failed ones included.
        failed: Calls that failed at the target.
        latencies: Successful calls by latency; see
            `rattanstile.process.mesh.rollout.version_counts`.
    """

    route: str
    domain: FailureDomainId
    is_new: bool
    calls: int
    failed: int
    latencies: tuple[int, ...]


class VersionTargets(msgspec.Struct, frozen=True, array_like=True):
    """Targets of the old and the new version, summed over the nodes.

    Attributes:
        new_targets: Targets of the new version that accept calls.
        new_cold: Those of them that are not warm yet.
        new_deci_per_s: Rate that the warm ones can serve, in tenths of a call
            per second.
        old_targets: Targets of other versions that accept calls, or whose
            node has not confirmed that they are closed.
        old_in_flight: Calls waiting or running at targets of other versions.
        offered_deci_per_s: Arrival rate at all targets, in tenths of a call
            per second.
    """

    new_targets: int = 0
    new_cold: int = 0
    new_deci_per_s: int = 0
    old_targets: int = 0
    old_in_flight: int = 0
    offered_deci_per_s: int = 0


class RolloutReport(msgspec.Struct, frozen=True, array_like=True):
    """What the sender, or its failure domain, knows of a rollout.

    Attributes:
        version: Target version of the order.
        verdict: Value of the latest `Verdict` that the sender has heard of.
        requests: Requests to the service that were answered since the order.
        counts: Since the order.
    """

    service: ServiceName
    version: TargetVersion
    verdict: int
    requests: int
    counts: tuple[RouteCounts, ...]
    targets: VersionTargets


class RolloutDirective(msgspec.Struct, frozen=True, array_like=True):
    """Decision on a rollout, from the node that decides.

    Attributes:
        version: Target version of the order.
        verdict: Value of a `Verdict`.
        spend_ppm: Probability, in millionths, with which a request is sent to
            the new version if the sender's credit allows it.
        age_ms: Time since the order.
    """

    service: ServiceName
    version: TargetVersion
    verdict: int
    spend_ppm: int
    age_ms: int


class DemandReport(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Demand of each organisation at the sender, in requests per second.

    Sent to the delegate of the sender's failure domain.

    Attributes:
        sequence: Increases with each report.
        calls_per_s: Calls to each service that the root requests at the
            sender would make if all were admitted.
        load: Load of the sender's target.
        rollouts: Of the orders in force.
    """

    sequence: int
    demand_per_s: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    load: TargetLoad | None = None
    rollouts: tuple[RolloutReport, ...] = ()


class DomainReport(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Demand and load of a failure domain, summed over its nodes.

    Sent by the delegate of the domain to the allocator of the rates.

    Attributes:
        sequence: Increases with each report.
        reporting: Nodes whose recent reports are included.
        demand_per_s: See `DemandReport`.
        calls_per_s: See `DemandReport`.
        rollouts: Of the orders in force.
    """

    sequence: int
    reporting: int
    demand_per_s: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    digest: DomainDigest
    rollouts: tuple[RolloutReport, ...] = ()


class RateSharesResponse(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Shares of each organisation's rate that the receiver may use.

    The response to a `DemandReport` or a `DomainReport`; the shares of a domain
    are those of all its nodes together.

    Attributes:
        calls_per_s: Demand for calls to each service, summed over the reports
            of all nodes.
        nodes: Number of nodes in the fleet.
        lease_ms: How long the shares stay valid without an update.
        digests: Load of the other failure domains.
        is_for_domain: Whether it responds to a `DomainReport`.
        rollouts: Of the orders in force.
    """

    sequence: int
    organisation_shares: dict[OrganisationId, float]
    calls_per_s: dict[ServiceName, float]
    nodes: int
    lease_ms: int
    digests: tuple[DomainDigest, ...] = ()
    is_for_domain: bool = False
    rollouts: tuple[RolloutDirective, ...] = ()


class FleetLoad(msgspec.Struct, frozen=True, array_like=True, tag=22):
    """Demand and load of the fleet, from a delegate to the nodes of its domain.

    Sent while the demand for a service is near its capacity, and with a new
    verdict on a rollout, so that nodes don't wait for the response to their
    next report. See `RateSharesResponse`.
    """

    calls_per_s: dict[ServiceName, float]
    nodes: int
    digests: tuple[DomainDigest, ...]
    rollouts: tuple[RolloutDirective, ...] = ()


class ShutdownNotice(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The process of the sender is about to exit."""


class PeerPing(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Requests a response that shows that the other end is alive."""


class PeerPong(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Response to a ping."""


class PeerMember(msgspec.Struct, frozen=True, array_like=True):
    """Address of a node and the service that it serves.

    Attributes:
        left: Last target of the node that deregistered or began to drain.
        left_born_ms: Start of that incarnation by the target's clock.
    """

    node_id: NodeId
    address: str
    service: ServiceName
    domain: FailureDomainId
    left: TargetId = TargetId('')
    left_born_ms: int = 0

    @property
    def has_address(self) -> bool:
        """Return whether the address is an IP address and a port."""
        host, _, port = self.address.rpartition(':')
        return _is_ip_address(host) and _is_port(port)


def _is_ip_address(text: str) -> bool:
    """Return whether no look-up of a name is needed.

    Look-ups take threads, for which the end of the process waits.
    """
    family = AF_INET6 if ':' in text else AF_INET
    try:
        inet_pton(family, text)
    except (OSError, ValueError):
        return False
    return True


def _is_port(text: str) -> bool:
    is_number = text.isascii() and text.isdigit()
    return is_number and len(text) <= MAX_PORT_DIGITS and int(text) <= MAX_PORT


class MembersRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Requests the nodes that the receiver knows.

    Sent after the start by a node that has not read the nodes from the store.
    """


class MembersResponse(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """Nodes that the sender knows, connected or not."""

    members: tuple[PeerMember, ...]


class TokenRequest(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Requests a token because the sender's share of a rate is used up."""

    sequence: int
    organisation: OrganisationId


class TokenResponse(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """Response to a token request.

    `wait_ms` is the time until the granted token may be used or, if none is
    granted, until the next request.
    """

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
    | DomainReport
    | RateSharesResponse
    | FleetLoad
    | ShutdownNotice
    | PeerPing
    | PeerPong
    | MembersRequest
    | MembersResponse
    | TokenRequest
    | TokenResponse
    | AnswerStart
    | AnswerPart
    | AnswerCredit
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[PeerMessage] = msgspec.msgpack.Decoder(
    PeerMessage
)


def encode_peer_frame(message: PeerMessage) -> bytes:
    """Encode a message as a frame."""
    payload = _encoder.encode(message)
    return _LENGTH.pack(len(payload)) + payload


class PeerFrameReader:
    """Decodes the byte stream of one connection into messages.

    Attributes:
        max_frame_bytes: Limit of the next message.
    """

    def __init__(self) -> None:
        """Initialize with an empty buffer."""
        self.max_frame_bytes = MAX_FRAME_BYTES
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the unfinished message."""
        return len(self._buffer)

    def feed(self, received: bytes) -> Iterator[PeerMessage]:
        """Yield each message that the received bytes complete.

        Raises:
            PeerFrameError: A length or payload is invalid.
        """
        pending: bytes | bytearray = received
        if self._buffer:
            self._buffer += received
            pending = self._buffer
        start = 0
        while len(pending) - start >= _LENGTH.size:
            size_bytes = _LENGTH.unpack_from(pending, start)[0]
            if size_bytes > self.max_frame_bytes:
                raise PeerFrameError(
                    f'invalid frame length of {size_bytes} bytes'
                )
            payload_start = start + _LENGTH.size
            if len(pending) < payload_start + size_bytes:
                break
            start = payload_start + size_bytes
            yield _decode(bytes(pending[payload_start:start]))
        if pending is self._buffer:
            # A large message arrives in many pieces: no copy for each.
            del self._buffer[:start]
        else:
            self._buffer = bytearray(pending[start:])


def _decode(payload: bytes) -> PeerMessage:
    decoded = decode_untrusted(_decoder.decode, payload)
    if isinstance(decoded, Err):
        raise PeerFrameError(f'invalid message: {decoded.err_value.message}')
    return decoded.ok_value
