"""Leases on shards that outlast an outage of the log.

Who owns a shard is agreed in the log. How long an owner may go on unheard is
bounded by a majority of the witnesses that its claim names (after C. Gray and
D. Cheriton, "Leases", SOSP 1989): each vouch is worth `LEASE_S` from the
moment the owner asked. A successor has the earlier claims' witnesses sealed,
then waits until no vouch and no loan given before can still be in force. No
two clocks are compared.

A lease renewed in the log would end in its first outage. An owner that went
on because no peer hears the log would lend beside its successor where the two
are cut off from each other. Witnesses keep no data, need no operator, and
who they are is agreed in the log; restarted ones vouch for nothing earlier.
"""

from dataclasses import dataclass, field

from rattanstile.process.rates.rate_bucket import LOAN_TERM_S
from rattanstile.process.rates.rate_messages import (
    LeaseRequest,
    LeaseGrant,
    SealResponse,
    SealRequest,
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
SEAL_EVERY_S = 0.1
TAKEOVER_WAIT_S = (LEASE_S + LOAN_TERM_S) * 1.03
REQUESTS_KEPT = 8
WITHOUT_LOG_MAX_S = 1200.0
"""How long an owner goes on after the last claim that it read back."""
TAKEOVER_UNSEALED_S = (WITHOUT_LOG_MAX_S + LOAN_TERM_S) * 1.03
"""After it a claimant need not hear of witnesses that are gone for good."""


def bounding_witnesses(claim: OwnerClaimRecord) -> tuple[ProcessId, ...]:
    """Return whose majority bounds the lease: the owner, if it names none."""
    return claim.witnesses or (claim.owner,)


def majority(claim: OwnerClaimRecord) -> int:
    """Return how many of the witnesses are a majority."""
    return len(bounding_witnesses(claim)) // 2 + 1


@dataclass(slots=True)
class Lease:
    """The owner's lease on one epoch of a shard."""

    claim: OwnerClaimRecord
    _sequence: int = 0
    _asked_s: dict[int, float] = field(default_factory=dict)
    _vouched_until_s: dict[NodeId, float] = field(default_factory=dict)

    def ask(self, now_s: float) -> list[tuple[NodeId, LeaseRequest]]:
        """Return a request to each witness."""
        self._sequence += 1
        self._asked_s[self._sequence] = now_s
        self._asked_s.pop(self._sequence - REQUESTS_KEPT, None)
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

    def vouched(self, sender: NodeId, message: LeaseGrant) -> None:
        """Take a vouch: it counts from when it was asked for."""
        asked_s = self._asked_s.get(message.sequence)
        if asked_s is None:
            return
        known_s = self._vouched_until_s.get(sender, 0.0)
        self._vouched_until_s[sender] = max(known_s, asked_s + LEASE_S)

    def until_s(self) -> float:
        """Return the time before which a majority vouches."""
        ends = sorted(
            (
                self._vouched_until_s.get(witness.node_id, 0.0)
                for witness in bounding_witnesses(self.claim)
            ),
            reverse=True,
        )
        return ends[majority(self.claim) - 1]

    def silent(self, now_s: float) -> tuple[ProcessId, ...]:
        """Return the witnesses whose vouch is over."""
        return tuple(
            witness
            for witness in bounding_witnesses(self.claim)
            if self._vouched_until_s.get(witness.node_id, 0.0) <= now_s
        )


@dataclass(slots=True)
class Sealing:
    """Has the witnesses of earlier claims sealed, before taking over.

    Attributes:
        claims: The claims whose owners may still hold a lease.
        read_s: When the claim that follows them was read.
    """

    claims: tuple[OwnerClaimRecord, ...]
    read_s: float
    _sealed: dict[ProcessId, Epoch] = field(default_factory=dict)
    _sealed_s: float | None = None

    def ask(self) -> list[tuple[NodeId, SealRequest]]:
        """Return a request to each witness of a claim that may be in force."""
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

    def sealed(self, now_s: float, witness: ProcessId, epoch: Epoch) -> None:
        """Count a witness that will not vouch up to the epoch any more."""
        known = self._sealed.get(witness, epoch)
        self._sealed[witness] = max(epoch, known)
        if self._sealed_s is None and all(map(self._is_over, self.claims)):
            self._sealed_s = now_s

    def gone(self, now_s: float, witness: ProcessId) -> None:
        """Count a witness that has ended for certain."""
        if self.claims:
            self.sealed(now_s, witness, self.claims[-1].epoch)

    def is_done(self, now_s: float) -> bool:
        """Tell whether no earlier lease or loan can still be in force."""
        if not self.claims or now_s >= self.read_s + TAKEOVER_UNSEALED_S:
            return True
        return (
            self._sealed_s is not None
            and now_s >= self._sealed_s + TAKEOVER_WAIT_S
        )

    def _has_sealed(self, witness: ProcessId, claim: OwnerClaimRecord) -> bool:
        return self._sealed.get(witness, Epoch(0)) >= claim.epoch

    def _is_over(self, claim: OwnerClaimRecord) -> bool:
        witnesses = bounding_witnesses(claim)
        count = sum(self._has_sealed(one, claim) for one in witnesses)
        return count >= majority(claim)


@dataclass(slots=True)
class Witness:
    """What this process has promised about other nodes' epochs."""

    me: ProcessId
    _sealed: dict[ShardId, Epoch] = field(default_factory=dict)
    _heard: dict[ShardId, tuple[Epoch, float]] = field(default_factory=dict)

    def vouch(self, now_s: float, message: LeaseRequest) -> LeaseGrant | None:
        """Answer an owner, or not at all if the epoch is sealed."""
        is_other_run = message.witness != self.me
        if is_other_run or message.epoch <= self._sealed.get(message.shard, 0):
            return None
        self._heard[message.shard] = (message.epoch, now_s)
        return LeaseGrant(
            shard=message.shard, epoch=message.epoch, sequence=message.sequence
        )

    def seal(self, message: SealRequest) -> SealResponse | None:
        """Promise never to vouch again up to the epoch named.

        An earlier run of this node can't vouch any more: it is sealed.
        """
        if message.witness.node_id != self.me.node_id:
            return None
        sealed = max(message.epoch, self._sealed.get(message.shard, 0))
        self._sealed[message.shard] = Epoch(sealed)
        return SealResponse(
            shard=message.shard, epoch=message.epoch, witness=message.witness
        )

    def heard_s(self, shard: ShardId, epoch: Epoch) -> float | None:
        """Return when the owner of an epoch last asked, or None for never."""
        heard_epoch, heard_s = self._heard.get(shard, (None, None))
        return heard_s if heard_epoch == epoch else None
