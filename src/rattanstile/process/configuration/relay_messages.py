"""Inputs and outputs of the relay, and its messages between nodes."""

from dataclasses import dataclass

import msgspec

from rattanstile.request.ids import (
    FailureDomainId,
    LogOffset,
    NodeId,
    VersionNumber,
)
from rattanstile.version.declaration import Declaration
from rattanstile.version.records import (
    AcceptedRecord,
    Record,
    SnapshotRecord,
)

NO_AGE = -1
UNVERIFIED = VersionNumber(-1)


class FreshnessQuery(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='rq'
):
    """Asks a peer for its version and the age of its evidence.

    Attributes:
        sequence: Repeated in the reply, so that the reply counts as of the
            time this query was sent.
        version: Version at the sender; -1 before a verified one.
    """

    sequence: int
    version: VersionNumber


class FreshnessReply(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='rr',
):
    """Reply to a query; carries the versions that the querying node lacks.

    Attributes:
        sequence: Copied from the query.
        version: Version at the sender; -1 before a verified one.
        log_age_ms: Age of the latest evidence that the sender has every
            version in the log; -1 for never.
        domain_read_ms: The same, from a read made in the sender's failure
            domain.
        own_outage_ms: How long ago the sender itself, as a reader, last sent
            a read of the log that failed or hung; -1 for never.
        domain_outage_ms: How long ago the sender's failure domain was last
            known not to reach the log; -1 for never.
        fleet_outage_ms: The same for all failure domains.
        log_end: Offset up to which the sender has read the log.
        accepted: Versions that follow that of the query, oldest first.
        snapshot: Set where the querying node lacks more than `accepted` can
            carry, or has no verified version.
    """

    sequence: int
    version: VersionNumber
    log_age_ms: int
    domain_read_ms: int
    own_outage_ms: int
    domain_outage_ms: int
    fleet_outage_ms: int
    log_end: LogOffset
    accepted: tuple[AcceptedRecord, ...] = ()
    snapshot: SnapshotRecord | None = None


class VersionPush(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='rp'
):
    """A newly accepted version, on its way down the relay tree.

    Sent to the nodes of the own failure domain that queried recently.
    """

    accepted: AcceptedRecord


RelayMessage = FreshnessQuery | FreshnessReply | VersionPush


@dataclass(frozen=True, slots=True)
class RelayMember:
    """A node that the relay may contact."""

    node_id: NodeId
    failure_domain: FailureDomainId


# Inputs of the relay


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Known members: all of the own domain, some of each other domain."""

    members: tuple[RelayMember, ...]


@dataclass(frozen=True, slots=True)
class RelayReceived:
    """A message arrived from a peer."""

    sender: NodeId
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class LogRead:
    """A read of the log returned.

    Attributes:
        read_id: Copied from `ReadLog`.
        first: Offset of the first record.
        records: Records read; None stands for one that cannot be decoded.
        oldest: Oldest offset that the log still holds.
        next_offset: End of the stream, as the replica that was read shows it.
    """

    read_id: int
    first: LogOffset
    records: tuple[Record | None, ...]
    oldest: LogOffset
    next_offset: LogOffset


@dataclass(frozen=True, slots=True)
class LogReadTooOld:
    """The requested offset is past retention; `oldest` is still held."""

    read_id: int
    oldest: LogOffset
    next_offset: LogOffset


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """A read of the log failed."""

    read_id: int


@dataclass(frozen=True, slots=True)
class MarkAppended:
    """A mark was appended to the log; without an offset, the append failed."""

    mark_id: int
    offset: LogOffset | None


@dataclass(frozen=True, slots=True)
class RelayTicked:
    """Time has passed; expected about once per `TICK_S`."""


RelayInput = (
    MembersChanged
    | RelayReceived
    | LogRead
    | LogReadTooOld
    | LogReadFailed
    | MarkAppended
    | RelayTicked
)


# Outputs of the relay


@dataclass(frozen=True, slots=True)
class SendControl:
    """Send a message to a node; it may be lost."""

    receiver: NodeId
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the configuration stream, starting at an offset."""

    read_id: int
    from_offset: LogOffset
    wait_s: float


@dataclass(frozen=True, slots=True)
class AppendSnapshot:
    """Append a snapshot to the configuration stream; it may fail."""

    snapshot: SnapshotRecord


@dataclass(frozen=True, slots=True)
class AppendMark:
    """Append a mark to the configuration stream, and report its offset."""

    mark_id: int


@dataclass(frozen=True, slots=True)
class VersionAccepted:
    """A version has taken effect at this node."""

    version: VersionNumber
    declaration: Declaration


RelayOutput = (
    SendControl | ReadLog | AppendSnapshot | AppendMark | VersionAccepted
)
