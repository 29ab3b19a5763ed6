"""Fold of the log stream `rates`: who owns each shard."""

from dataclasses import dataclass, field

from rattanstile.version.rate_records import (
    Epoch,
    OwnerClaimRecord,
    OwnerStartedRecord,
    RateRecord,
    ShardId,
)

CLAIMS_OPEN_MAX = 16
"""Claims after the last one known to have started; more are not made."""


@dataclass(slots=True)
class ClaimFold:
    """The claims of each shard from the last one known to have started."""

    _claims: dict[ShardId, list[OwnerClaimRecord]] = field(default_factory=dict)

    def apply(self, record: RateRecord) -> bool:
        """Apply the next record of the stream.

        Returns:
            Whether the record changed the fold: a claim for an epoch that is
            taken, or that leaves one out, changes nothing.
        """
        match record:
            case OwnerClaimRecord():
                return self._apply_claim(record)
            case OwnerStartedRecord():
                return self._apply_started(record)

    def add_peer_claim(self, claim: OwnerClaimRecord) -> bool:
        """Take a claim that a peer has read, if it is later than all known."""
        known = self.current(claim.shard)
        if known is not None and claim.epoch <= known.epoch:
            return False
        self._claims.setdefault(claim.shard, []).append(claim)
        return True

    def current(self, shard: ShardId) -> OwnerClaimRecord | None:
        """Return the latest claim, or None for a shard never claimed."""
        claims = self._claims.get(shard)
        return claims[-1] if claims else None

    def next_epoch(self, shard: ShardId) -> Epoch:
        """Return the epoch that the next claim has to name."""
        known = self.current(shard)
        return Epoch(known.epoch + 1) if known else Epoch(1)

    def before(
        self, shard: ShardId, epoch: Epoch
    ) -> tuple[OwnerClaimRecord, ...]:
        """Return the earlier claims whose owners may still hold a lease."""
        return tuple(
            claim
            for claim in self._claims.get(shard, ())
            if claim.epoch < epoch
        )

    def is_full(self, shard: ShardId) -> bool:
        """Tell whether another claim would leave the fold's bound."""
        return len(self._claims.get(shard, ())) >= CLAIMS_OPEN_MAX

    def all_current(self) -> tuple[OwnerClaimRecord, ...]:
        """Return the latest claim of each shard."""
        return tuple(claims[-1] for claims in self._claims.values())

    def _apply_claim(self, claim: OwnerClaimRecord) -> bool:
        known = self.current(claim.shard)
        if known is not None and claim.epoch != known.epoch + 1:
            return False
        self._claims.setdefault(claim.shard, []).append(claim)
        return True

    def _apply_started(self, record: OwnerStartedRecord) -> bool:
        claims = self._claims.get(record.shard, [])
        kept = [claim for claim in claims if claim.epoch >= record.epoch]
        if not kept or len(kept) == len(claims):
            return False
        self._claims[record.shard] = kept
        return True
