"""Records of the platform's log, and their codec."""

import msgspec
from result import Err, Ok, Result

from rattanstile.errors import RattanstileError
from rattanstile.request.envelope import Member
from rattanstile.request.ids import (
    CallId,
    LogOffset,
    NodeId,
    OrganisationId,
    PlanId,
    RecordId,
    VersionNumber,
)
from rattanstile.version.change import DeclarationChange
from rattanstile.version.declaration import Declaration
from rattanstile.version.rate_records import (
    OwnerClaimRecord,
    OwnerStartedRecord,
)

CONFIGURATION_STREAM = 'configuration'
PLANS_STREAM = 'plans'
MEMBERS_STREAM = 'members'
RATES_STREAM = 'rates'


class MalformedRecord(RattanstileError):
    """The bytes of a record can't be read as one of the known types."""


class Accepted(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Which record made which version.

    Attributes:
        offset: Offset of the record in the configuration stream.
    """

    record_id: RecordId
    version: VersionNumber
    offset: LogOffset


class ConfigurationRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration'
):
    """A confirmed plan; takes effect only if `base` is then in force.

    Attributes:
        change: What the record changes against its base; the whole
            declaration would not fit the relay's bytes.
        operator: Who confirmed it, as told by the operator's own machine.
    """

    record_id: RecordId
    base: VersionNumber
    change: DeclarationChange
    plan_id: PlanId
    operator: str = ''


class AcceptedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record that made a version, as nodes hand it on to each other."""

    accepted: Accepted
    record: ConfigurationRecord


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """A whole version, so that older records may pass out of retention.

    Attributes:
        log_end: Offset up to which every record is folded into the version.
        recent: The last accepted records, oldest first.
    """

    record_id: RecordId
    version: VersionNumber
    declaration: Declaration
    log_end: LogOffset
    recent: tuple[Accepted, ...] = ()


class MarkRecord(msgspec.Struct, frozen=True, kw_only=True, tag='mark'):
    """Changes nothing; its offset tells a reader where the log ends."""

    record_id: RecordId


class PlanRecord(msgspec.Struct, frozen=True, kw_only=True, tag='plan'):
    """A plan that waits for its confirmation.

    Attributes:
        change: Against the base; a plan can only be confirmed on its base.
        differences: The lines shown to the operator.
    """

    record_id: RecordId
    plan_id: PlanId
    base: VersionNumber
    change: DeclarationChange
    differences: tuple[str, ...] = ()
    operator: str = ''


class JoinRecord(msgspec.Struct, frozen=True, kw_only=True, tag='join'):
    """A node announces itself and its target."""

    record_id: RecordId
    member: Member


class LeaveRecord(msgspec.Struct, frozen=True, kw_only=True, tag='leave'):
    """A member is gone for good.

    Attributes:
        member: The incarnation that leaves.
    """

    record_id: RecordId
    member: Member


class KeyBindingRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='key-binding'
):
    """Binds a caller's idempotency key to a home; the first record wins.

    Attributes:
        idempotency_key: SHA-256 of organisation and key, in hexadecimal.
    """

    record_id: RecordId
    organisation: OrganisationId
    idempotency_key: str
    call_id: CallId
    home: NodeId


Record = (
    ConfigurationRecord
    | SnapshotRecord
    | MarkRecord
    | PlanRecord
    | JoinRecord
    | LeaveRecord
    | OwnerClaimRecord
    | OwnerStartedRecord
    | KeyBindingRecord
)


_decoder = msgspec.msgpack.Decoder(Record)
_encoder = msgspec.msgpack.Encoder()


def encode_record(record: Record) -> bytes:
    """Return the bytes of a record as MessagePack."""
    return _encoder.encode(record)


def decode_record(record_bytes: bytes) -> Result[Record, MalformedRecord]:
    """Return the record, or an error for bytes that hold none."""
    try:
        record: Record = _decoder.decode(record_bytes)
    except (msgspec.DecodeError, msgspec.ValidationError) as failure:
        return Err(MalformedRecord(str(failure)))
    return Ok(record)
