"""Records of the platform's log, and their codec."""

import msgspec
from result import Result

from rattanstile.decoding import decode_untrusted
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
    """The bytes can't be decoded as a record of any defined type."""


class Acceptance(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The version that a record made, and the offset of that record.

    Attributes:
        offset: Offset of the record in the configuration stream.
    """

    record_id: RecordId
    version: VersionNumber
    offset: LogOffset


class ConfigurationRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='configuration'
):
    """A confirmed plan; applied only if `base` is in force at its offset.

    Attributes:
        change: The change relative to the base; the whole declaration would
            exceed the bytes available to the relay.
        operator: Who confirmed it, as reported by the operator's own machine.
    """

    record_id: RecordId
    base: VersionNumber
    change: DeclarationChange
    plan_id: PlanId
    operator: str = ''


class AcceptedRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record that made a version, as forwarded between nodes."""

    accepted: Acceptance
    record: ConfigurationRecord


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """A whole version, so that older records may leave the log's retention.

    Attributes:
        log_end: Offset up to which every record is folded into the version.
        recent: The last accepted records, oldest first.
    """

    record_id: RecordId
    version: VersionNumber
    declaration: Declaration
    log_end: LogOffset
    recent: tuple[Acceptance, ...] = ()


class MarkRecord(msgspec.Struct, frozen=True, kw_only=True, tag='mark'):
    """A no-op record; its offset shows a reader where the log ends."""

    record_id: RecordId


class PlanRecord(msgspec.Struct, frozen=True, kw_only=True, tag='plan'):
    """A plan awaiting confirmation.

    Attributes:
        change: The change relative to the base; a plan can be confirmed only
            while its base is in force.
        differences: The lines shown to the operator.
    """

    record_id: RecordId
    plan_id: PlanId
    base: VersionNumber
    change: DeclarationChange
    differences: tuple[str, ...] = ()
    operator: str = ''


class JoinRecord(msgspec.Struct, frozen=True, kw_only=True, tag='join'):
    """The announcement of a node and its target."""

    record_id: RecordId
    member: Member


class LeaveRecord(msgspec.Struct, frozen=True, kw_only=True, tag='leave'):
    """The permanent departure of a member.

    Attributes:
        member: The incarnation that leaves.
    """

    record_id: RecordId
    member: Member


class KeyBindingRecord(
    msgspec.Struct, frozen=True, kw_only=True, tag='key-binding'
):
    """Binds a caller's idempotency key to a home node; the first record wins.

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
    """Return the decoded record, or an error if the bytes are malformed."""
    return decode_untrusted(_decoder.decode, record_bytes).map_err(
        lambda error: MalformedRecord(error.message)
    )
