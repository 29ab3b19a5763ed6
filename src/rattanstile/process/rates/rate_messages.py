"""Records and messages by which an organisation's rate is shared out."""

from dataclasses import dataclass

import msgspec

from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.request.ids import (
    FailureDomainId,
    Incarnation,
    OrganisationId,
)
from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    ProcessId,
    RateRecord,
    ShardId,
)
from rattanstile.version.records import RATES_STREAM

__all__ = ('RATES_STREAM', 'ProcessId', 'RateRecord')

# Between nodes


class LoanRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='loan-ask'
):
    """A borrower accounts for its loan and asks for more.

    Attributes:
        sequence: Counts the requests of this borrower under this epoch.
        held: Unspent tokens that the borrower keeps; it gave up all others.
        spent: All tokens spent under this epoch so far.
        wanted: Further tokens asked for.
        needed: How many of them calls wait for now; the others are to save
            later calls the way, and are lent only where there are plenty.
    """

    shard: ShardId
    epoch: Epoch
    organisation: OrganisationId
    incarnation: Incarnation
    sequence: int
    held: int
    spent: int
    requested: int
    needed: int = 0


class LoanGrant(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='loan'
):
    """The owner's answer to the request with the same sequence.

    Attributes:
        extended: Whether the tokens held have a new term too.
        granted: Further tokens lent.
        left: Tokens left in the shard.
        retry_after_ms: When to ask again, if fewer came than were wanted.
    """

    shard: ShardId
    epoch: Epoch
    organisation: OrganisationId
    sequence: int
    extended: bool
    granted: int
    left: int
    retry_after_ms: int


class LoanRefused(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag='loan-refused',
):
    """The receiver holds no lease for the shard and epoch."""

    shard: ShardId
    epoch: Epoch
    organisation: OrganisationId
    sequence: int


class LeaseRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='lease-ask'
):
    """An owner asks a witness to vouch for its epoch."""

    shard: ShardId
    epoch: Epoch
    sequence: int
    witness: ProcessId


class LeaseGrant(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='lease'
):
    """The witness had not sealed the epoch when it got the request."""

    shard: ShardId
    epoch: Epoch
    sequence: int


class SealRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='seal-ask'
):
    """A later claimant asks a witness never to vouch again up to an epoch."""

    shard: ShardId
    epoch: Epoch
    witness: ProcessId


class SealResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='sealed'
):
    """The named witness will not vouch up to the epoch any more."""

    shard: ShardId
    epoch: Epoch
    witness: ProcessId


class OwnersRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='owners-ask'
):
    """A borrower asks a peer who owns the shards."""

    shards: tuple[ShardId, ...]


class OwnersResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='owners'
):
    """The latest claims that the sender has read or been told."""

    claims: tuple[OwnerClaimRecord, ...]


RateMessage = (
    LoanRequest
    | LoanGrant
    | LoanRefused
    | LeaseRequest
    | LeaseGrant
    | SealRequest
    | SealResponse
    | OwnersRequest
    | OwnersResponse
)


# Into the machines, beside ControlArrived, LogRecordRead and Ticked


@dataclass(frozen=True, slots=True)
class RatePeer:
    """A live node that may own a shard or witness for it."""

    process: ProcessId
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class RatePeersChanged:
    """The live nodes known here, this node itself left out."""

    peers: tuple[RatePeer, ...]


@dataclass(frozen=True, slots=True)
class ProcessGone:
    """A process has ended for certain, such as by its own leave record."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class StaticSlotChanged:
    """The node's place in the static split, or None while it has none."""

    slot: int | None


OwnerInput = (
    ControlArrived | LogRecordRead | RatePeersChanged | ProcessGone | Ticked
)
OwnerOutput = SendControl | AppendRecord
BorrowerInput = (
    ControlArrived | LogRecordRead | RatePeersChanged | StaticSlotChanged | Ticked
)


# Out of the borrower


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go on if the clock, read afterwards, is below a time.

    A shell that finds `valid_until_s` passed must not run the request.
    """

    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Waiting:
    """`Granted` or `Denied` follows from a step within `HOLD_S`."""


@dataclass(frozen=True, slots=True)
class OverRate:
    """The organisation is over its rate."""

    retry_after_ms: int


Verdict = Admitted | Waiting | OverRate


@dataclass(frozen=True, slots=True)
class Granted:
    """A waiting request may go on; see `Admitted`."""

    request_id: int
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Denied:
    """A waiting request found no token in time."""

    request_id: int
    retry_after_ms: int


BorrowerOutput = SendControl | Granted | Denied
