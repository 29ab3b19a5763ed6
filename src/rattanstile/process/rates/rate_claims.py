"""Claims on each shard, folded from the log stream `rates`."""

from dataclasses import dataclass, field

from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    OwnerStartedRecord,
    RateRecord,
    ShardId,
)

MAX_OPEN_CLAIMS = 16
"""Claims of a shard, from the last one known to have started on.

No candidate makes a further claim at this bound.
"""


@dataclass(slots=True)
class ClaimFold:
    """The claims of each shard, from the last one known to have started on."""

    _claims: dict[ShardId, list[OwnerClaimRecord]] = field(default_factory=dict)

    def apply(self, record: RateRecord) -> bool:
        """Apply the next record of the stream.

        Returns:
            Whether the record changed the fold. A claim for an epoch that is
            already taken, or that skips an epoch, changes nothing.
        """
        match record:
            case OwnerClaimRecord():
                return self._apply_claim(record)
            case OwnerStartedRecord():
                return self._apply_started(record)

    def add_peer_claim(self, claim: OwnerClaimRecord) -> bool:
        """Add a claim reported by a peer, if it is later than all others.

        Returns:
            Whether the claim was added.
        """
        latest = self.current(claim.shard)
        if latest is not None and claim.epoch <= latest.epoch:
            return False
        self._claims.setdefault(claim.shard, []).append(claim)
        return True

    def current(self, shard: ShardId) -> OwnerClaimRecord | None:
        """Return the latest claim, or None for a shard never claimed."""
        claims = self._claims.get(shard)
        return claims[-1] if claims else None

    def next_epoch(self, shard: ShardId) -> Epoch:
        """Return the epoch that the next claim must name."""
        latest = self.current(shard)
        return Epoch(latest.epoch + 1) if latest else Epoch(1)

    def earlier_claims(
        self, shard: ShardId, epoch: Epoch
    ) -> tuple[OwnerClaimRecord, ...]:
        """Return the earlier claims whose owners may still hold a lease."""
        return tuple(
            claim
            for claim in self._claims.get(shard, ())
            if claim.epoch < epoch
        )

    def is_full(self, shard: ShardId) -> bool:
        """Return whether the shard has `MAX_OPEN_CLAIMS` claims."""
        return len(self._claims.get(shard, ())) >= MAX_OPEN_CLAIMS

    def all_current(self) -> tuple[OwnerClaimRecord, ...]:
        """Return the latest claim of each shard."""
        return tuple(claims[-1] for claims in self._claims.values())

    def _apply_claim(self, claim: OwnerClaimRecord) -> bool:
        latest = self.current(claim.shard)
        if latest is not None and claim.epoch != latest.epoch + 1:
            return False
        self._claims.setdefault(claim.shard, []).append(claim)
        return True

    def _apply_started(self, record: OwnerStartedRecord) -> bool:
        claims = self._claims.get(record.shard, [])
        retained = [claim for claim in claims if claim.epoch >= record.epoch]
        if not retained or len(retained) == len(claims):
            return False
        self._claims[record.shard] = retained
        return True
