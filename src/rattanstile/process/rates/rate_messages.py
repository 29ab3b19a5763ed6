"""Records and messages that distribute an organisation's rate."""

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

# Control messages between nodes


class LoanRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='loan-ask'
):
    """A borrower reports the use of its loan and requests more tokens.

    Attributes:
        sequence: Sequence number of the borrower's request under this epoch.
        held: Unspent tokens that the borrower keeps; it returns all others.
        spent: Total tokens spent under this epoch so far.
        requested: Further tokens requested.
        needed: How many of these calls are waiting for now. The others save
            later calls a round trip; only a fraction of the owner's remaining
            tokens is lent for them.
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
    """The owner's response to the request with the same sequence number.

    Attributes:
        extended: Whether the held tokens get a new term as well.
        granted: Further tokens lent.
        left: Tokens left in the owner's bucket of the organisation.
        retry_after_ms: Delay before the next request if fewer tokens were
            granted than needed, else 0.
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
    """The receiver of a loan request holds no lease for shard and epoch."""

    shard: ShardId
    epoch: Epoch
    organisation: OrganisationId
    sequence: int


class LeaseRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='lease-ask'
):
    """An owner asks a witness to grant or renew the lease of its epoch."""

    shard: ShardId
    epoch: Epoch
    sequence: int
    witness: ProcessId


class LeaseGrant(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='lease'
):
    """A witness grants the lease: it had not sealed the epoch when asked."""

    shard: ShardId
    epoch: Epoch
    sequence: int


class SealRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='seal-ask'
):
    """A successor asks a witness to grant no more leases up to an epoch."""

    shard: ShardId
    epoch: Epoch
    witness: ProcessId


class SealResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='sealed'
):
    """The named witness grants no more leases up to the epoch."""

    shard: ShardId
    epoch: Epoch
    witness: ProcessId


class OwnersRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='owners-ask'
):
    """A borrower asks a peer for the owners of shards."""

    shards: tuple[ShardId, ...]


class OwnersResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag='owners'
):
    """The latest claims that the sender has read or received."""

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


# Inputs of the state machines besides ControlArrived, LogRecordRead and Ticked


@dataclass(frozen=True, slots=True)
class RatePeer:
    """A live node that may own a shard or act as a witness for it."""

    process: ProcessId
    failure_domain: FailureDomainId


@dataclass(frozen=True, slots=True)
class RatePeersChanged:
    """The live nodes known to this node, without itself."""

    peers: tuple[RatePeer, ...]


@dataclass(frozen=True, slots=True)
class ProcessGone:
    """A process is known to have ended, for example by its leave record."""

    process: ProcessId


@dataclass(frozen=True, slots=True)
class StaticSlotChanged:
    """The node's slot in the static split, or None while it has none."""

    slot: int | None


OwnerInput = (
    ControlArrived | LogRecordRead | RatePeersChanged | ProcessGone | Ticked
)
OwnerOutput = SendControl | AppendRecord
BorrowerInput = (
    ControlArrived
    | LogRecordRead
    | RatePeersChanged
    | StaticSlotChanged
    | Ticked
)


# Outputs of the borrower


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run if the clock, read after the decision, permits.

    The caller must not run the request at or after `valid_until_s`.
    """

    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Waiting:
    """A later step returns `Granted` or `Denied` within `MAX_WAIT_S`."""


@dataclass(frozen=True, slots=True)
class OverRate:
    """The organisation is over its rate."""

    retry_after_ms: int


Verdict = Admitted | Waiting | OverRate


@dataclass(frozen=True, slots=True)
class Granted:
    """A waiting request may run; see `Admitted`."""

    request_id: int
    valid_until_s: float


@dataclass(frozen=True, slots=True)
class Denied:
    """A waiting request got no token in time."""

    request_id: int
    retry_after_ms: int


BorrowerOutput = SendControl | Granted | Denied
