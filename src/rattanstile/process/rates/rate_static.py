"""The static part of each rate: it needs neither log nor owner."""

from dataclasses import dataclass, field

from rattanstile.process.rates.rate_shares import Share, SplitSchedule
from rattanstile.request.ids import OrganisationId


@dataclass(slots=True)
class _Bucket:
    updated_s: float
    tokens: float = 0.0

    def spend(self, now_s: float, share: Share) -> bool:
        passed_s = max(0.0, now_s - self.updated_s)
        earned = self.tokens + passed_s * share.rate_per_s
        self.tokens = min(earned, share.burst_tokens)
        self.updated_s = max(now_s, self.updated_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class StaticBuckets:
    """This node's static parts; each starts empty.

    A process that restarts, or takes over a slot, so gets no burst that the
    slot's earlier holder has spent.
    """

    schedule: SplitSchedule
    _slot: int | None = None
    _since_s: float = 0.0
    _buckets: dict[OrganisationId, _Bucket] = field(default_factory=dict)

    def set_slot(self, now_s: float, slot: int | None) -> None:
        """Take a slot, or none; another slot starts empty."""
        if slot != self._slot:
            self._slot = slot
            self._since_s = now_s
            self._buckets = {}

    def spend(self, now_s: float, organisation: OrganisationId) -> bool:
        """Spend one token if there is one."""
        if self._slot is None:
            return False
        share = self.schedule.slot_share(now_s, organisation, self._slot)
        bucket = self._buckets.setdefault(organisation, _Bucket(self._since_s))
        return bucket.spend(now_s, share)
