"""Leases on shards that outlast an outage of the log.

The log decides who owns a shard. A majority of the witnesses that the
owner's claim names bounds how long the owner may go on without contact
(after C. Gray and D. Cheriton, "Leases", SOSP 1989): each grant is valid for
`LEASE_S` from the moment the owner requested it. A successor seals the epochs
of the earlier claims at their witnesses, then waits until no lease grant and
no loan made before can still be valid. No two clocks are compared.

A lease renewed in the log would expire in the log's first outage. An owner
that continued because none of its peers reaches the log would lend at the
same time as its successor if the two are partitioned from each other.
Witnesses store no data, need no operator, and are agreed in the log; a
restarted witness grants nothing for its earlier run.
"""

from dataclasses import dataclass, field

from rattanstile.process.rates.rate_bucket import LOAN_TERM_S
from rattanstile.process.rates.rate_messages import (
    LeaseGrant,
    LeaseRequest,
    SealRequest,
    SealResponse,
)
from rattanstile.request.ids import NodeId
from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    ProcessId,
    ShardId,
)

LEASE_S = 0.6
RENEW_PERIOD_S = 0.2
SEAL_RETRY_S = 0.1
TAKEOVER_WAIT_S = (LEASE_S + LOAN_TERM_S) * 1.03
MAX_PENDING_REQUESTS = 8
MAX_WITHOUT_LOG_S = 1200.0
"""How long an owner may lend on its latest claim read back from the log."""
UNSEALED_TAKEOVER_WAIT_S = (MAX_WITHOUT_LOG_S + LOAN_TERM_S) * 1.03
"""This long after its claim was read, a claimant takes over without the seals
of witnesses that are permanently gone."""


def bounding_witnesses(claim: OwnerClaimRecord) -> tuple[ProcessId, ...]:
    """Return the processes whose majority bounds the lease.

    This is the owner itself if the claim names no witness.
    """
    return claim.witnesses or (claim.owner,)


def majority(claim: OwnerClaimRecord) -> int:
    """Return the smallest number of witnesses that is a majority."""
    return len(bounding_witnesses(claim)) // 2 + 1


@dataclass(slots=True)
class Lease:
    """The owner's lease on one epoch of a shard."""

    claim: OwnerClaimRecord
    _sequence: int = 0
    _requested_s: dict[int, float] = field(default_factory=dict)
    _granted_until_s: dict[NodeId, float] = field(default_factory=dict)

    def request_renewal(
        self, now_s: float
    ) -> list[tuple[NodeId, LeaseRequest]]:
        """Return a lease request for each witness."""
        self._sequence += 1
        self._requested_s[self._sequence] = now_s
        self._requested_s.pop(self._sequence - MAX_PENDING_REQUESTS, None)
        return [
            (
                witness.node_id,
                LeaseRequest(
                    shard=self.claim.shard,
                    epoch=self.claim.epoch,
                    sequence=self._sequence,
                    witness=witness,
                ),
            )
            for witness in bounding_witnesses(self.claim)
        ]

    def record_grant(self, sender: NodeId, message: LeaseGrant) -> None:
        """Record a witness's grant, valid from the time of the request."""
        requested_s = self._requested_s.get(message.sequence)
        if requested_s is None:
            return
        recorded_s = self._granted_until_s.get(sender, 0.0)
        self._granted_until_s[sender] = max(recorded_s, requested_s + LEASE_S)

    def until_s(self) -> float:
        """Return the time until which a majority has granted the lease."""
        ends_s = sorted(
            (
                self._granted_until_s.get(witness.node_id, 0.0)
                for witness in bounding_witnesses(self.claim)
            ),
            reverse=True,
        )
        return ends_s[majority(self.claim) - 1]

    def silent_witnesses(self, now_s: float) -> tuple[ProcessId, ...]:
        """Return the witnesses whose grant is missing or has expired."""
        return tuple(
            witness
            for witness in bounding_witnesses(self.claim)
            if self._granted_until_s.get(witness.node_id, 0.0) <= now_s
        )


@dataclass(slots=True)
class Takeover:
    """Seals the epochs of earlier claims at their witnesses, then waits.

    Attributes:
        claims: The claims whose owners may still hold a lease.
        claim_read_s: When the claim that follows them was read.
    """

    claims: tuple[OwnerClaimRecord, ...]
    claim_read_s: float
    _sealed_epochs: dict[ProcessId, Epoch] = field(default_factory=dict)
    _all_sealed_s: float | None = None

    def seal_requests(self) -> list[tuple[NodeId, SealRequest]]:
        """Return a request for each witness whose seal is still missing."""
        return [
            (
                witness.node_id,
                SealRequest(
                    shard=claim.shard, epoch=claim.epoch, witness=witness
                ),
            )
            for claim in self.claims
            for witness in bounding_witnesses(claim)
            if not self._has_sealed(witness, claim)
        ]

    def record_sealed(
        self, now_s: float, witness: ProcessId, epoch: Epoch
    ) -> None:
        """Record that a witness grants no more leases up to the epoch."""
        recorded_epoch = self._sealed_epochs.get(witness, epoch)
        self._sealed_epochs[witness] = max(epoch, recorded_epoch)
        if self._all_sealed_s is None and all(
            map(self._is_sealed, self.claims)
        ):
            self._all_sealed_s = now_s

    def record_gone(self, now_s: float, witness: ProcessId) -> None:
        """Count a witness that has certainly ended as sealed."""
        if self.claims:
            self.record_sealed(now_s, witness, self.claims[-1].epoch)

    def is_done(self, now_s: float) -> bool:
        """Return whether no earlier lease or loan can still be valid."""
        if (
            not self.claims
            or now_s >= self.claim_read_s + UNSEALED_TAKEOVER_WAIT_S
        ):
            return True
        return (
            self._all_sealed_s is not None
            and now_s >= self._all_sealed_s + TAKEOVER_WAIT_S
        )

    def _has_sealed(self, witness: ProcessId, claim: OwnerClaimRecord) -> bool:
        return self._sealed_epochs.get(witness, Epoch(0)) >= claim.epoch

    def _is_sealed(self, claim: OwnerClaimRecord) -> bool:
        witnesses = bounding_witnesses(claim)
        count = sum(self._has_sealed(witness, claim) for witness in witnesses)
        return count >= majority(claim)


@dataclass(slots=True)
class Witness:
    """This process as a witness: grants leases on epochs not yet sealed."""

    local_process: ProcessId
    _sealed_epochs: dict[ShardId, Epoch] = field(default_factory=dict)
    _last_requests: dict[ShardId, tuple[Epoch, float]] = field(
        default_factory=dict
    )

    def grant_lease(
        self, now_s: float, message: LeaseRequest
    ) -> LeaseGrant | None:
        """Return the grant for an owner.

        Returns:
            None if the epoch is sealed or the request names another process,
            such as an earlier run of this node.
        """
        is_other_process = message.witness != self.local_process
        if is_other_process or message.epoch <= self._sealed_epochs.get(
            message.shard, 0
        ):
            return None
        self._last_requests[message.shard] = (message.epoch, now_s)
        return LeaseGrant(
            shard=message.shard, epoch=message.epoch, sequence=message.sequence
        )

    def seal(self, message: SealRequest) -> SealResponse | None:
        """Seal all epochs up to the requested one: grant no more leases.

        A request addressed to an earlier run of this node is confirmed too,
        since that run can grant no more leases.
        """
        if message.witness.node_id != self.local_process.node_id:
            return None
        sealed_epoch = max(
            message.epoch, self._sealed_epochs.get(message.shard, 0)
        )
        self._sealed_epochs[message.shard] = Epoch(sealed_epoch)
        return SealResponse(
            shard=message.shard, epoch=message.epoch, witness=message.witness
        )

    def last_request_s(self, shard: ShardId, epoch: Epoch) -> float | None:
        """Return when an epoch's owner last requested its lease, or None."""
        last_epoch, requested_s = self._last_requests.get(shard, (None, None))
        return requested_s if last_epoch == epoch else None
