"""Messages into and out of the relay, and those between nodes."""

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
        sequence: Told again in the reply, which it so dates.
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
    """The answer to a query; carries what the asker lacks.

    Attributes:
        log_age_ms: Age of the last hearing of the log; -1 for never.
        domain_read_ms: The same, read by the sender's failure domain itself.
        own_outage_ms: How long ago the sender itself, as a reader, tried the
            log in vain; -1 for never.
        domain_outage_ms: How long ago the log was last known to be out of
            hearing in the sender's failure domain; -1 for never.
        fleet_outage_ms: The same for every failure domain.
        log_end: Offset up to which the sender has read the log.
        accepted: Versions that follow the asker's, oldest first.
        snapshot: Set where the asker lacks more than `accepted` can carry.
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
    """A version just accepted, on its way down the tree."""

    accepted: AcceptedRecord


RelayMessage = FreshnessQuery | FreshnessReply | VersionPush


@dataclass(frozen=True, slots=True)
class RelayMember:
    """A node that the relay may talk to."""

    node_id: NodeId
    failure_domain: FailureDomainId


# Into the relay


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members known: the whole own domain and some of each other one."""

    members: tuple[RelayMember, ...]


@dataclass(frozen=True, slots=True)
class RelayReceived:
    """A message of a peer."""

    sender: NodeId
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class LogRead:
    """A read of the log came back.

    Attributes:
        read_id: As given in `ReadLog`.
        first: Offset of the first record.
    """

    read_id: int
    first: LogOffset
    records: tuple[Record | None, ...]
    oldest: LogOffset
    next_offset: LogOffset


@dataclass(frozen=True, slots=True)
class LogReadTooOld:
    """Records from the offset asked for on are past retention."""

    read_id: int
    oldest: LogOffset
    next_offset: LogOffset


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """The log did not answer a read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class MarkAppended:
    """The log took a mark, or did not answer (no offset)."""

    mark_id: int
    offset: LogOffset | None


@dataclass(frozen=True, slots=True)
class RelayTicked:
    """Time went by; wanted about each `TICK_S`."""


RelayInput = (
    MembersChanged
    | RelayReceived
    | LogRead
    | LogReadTooOld
    | LogReadFailed
    | MarkAppended
    | RelayTicked
)


# Out of the relay


@dataclass(frozen=True, slots=True)
class SendControl:
    """Send a message to a node; it may be lost."""

    receiver: NodeId
    message: RelayMessage


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the configuration stream from an offset on."""

    read_id: int
    from_offset: LogOffset
    wait_s: float


@dataclass(frozen=True, slots=True)
class AppendSnapshot:
    """Append a snapshot to the configuration stream; it may fail."""

    snapshot: SnapshotRecord


@dataclass(frozen=True, slots=True)
class AppendMark:
    """Append a mark to the configuration stream, and tell its offset."""

    mark_id: int


@dataclass(frozen=True, slots=True)
class VersionAccepted:
    """A version is in force at this node from now on."""

    version: VersionNumber
    declaration: Declaration


RelayOutput = (
    SendControl | ReadLog | AppendSnapshot | AppendMark | VersionAccepted
)
