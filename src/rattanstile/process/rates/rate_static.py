"""Static share of each rate, usable without the log or a shard owner."""

from dataclasses import dataclass, field

from rattanstile.process.rates.rate_shares import Share, SplitSchedule
from rattanstile.request.ids import OrganisationId


@dataclass(slots=True)
class _Bucket:
    updated_s: float
    tokens: float = 0.0

    def spend(self, now_s: float, share: Share) -> bool:
        elapsed_s = max(0.0, now_s - self.updated_s)
        uncapped = self.tokens + elapsed_s * share.rate_per_s
        self.tokens = min(uncapped, share.burst_tokens)
        self.updated_s = max(now_s, self.updated_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class StaticBuckets:
    """Token buckets of this node's static shares; each starts empty.

    A process that restarts or takes over a slot therefore gets no burst that
    the previous holder of the slot has already spent.
    """

    schedule: SplitSchedule
    _slot: int | None = None
    _assigned_s: float = 0.0
    _buckets: dict[OrganisationId, _Bucket] = field(default_factory=dict)

    def set_slot(self, now_s: float, slot: int | None) -> None:
        """Set or clear the slot; a changed slot starts with empty buckets."""
        if slot != self._slot:
            self._slot = slot
            self._assigned_s = now_s
            self._buckets = {}

    def spend(self, now_s: float, organisation: OrganisationId) -> bool:
        """Spend one token if available, and return whether there was one."""
        if self._slot is None:
            return False
        share = self.schedule.slot_share(now_s, organisation, self._slot)
        bucket = self._buckets.setdefault(
            organisation, _Bucket(self._assigned_s)
        )
        return bucket.spend(now_s, share)
