"""Estimate of one organisation's demand on an entry node."""

import math
from dataclasses import dataclass

TIME_CONSTANT_S = 0.25
"""Time constant of the exponential decay."""
PREFETCH_TARGET_S = 0.15
"""Seconds of demand that the held tokens cover after a refill."""
LOW_WATERMARK_S = 0.06
"""Seconds of demand at or below which more tokens are requested."""
MIN_PREFETCH_RATE_PER_S = 5.0


@dataclass(slots=True)
class Demand:
    """Exponentially decaying count of requests."""

    _count: float = 0.0
    _updated_s: float = 0.0

    def count(self, now_s: float) -> None:
        """Count a request."""
        self._decay(now_s)
        self._count += 1.0

    def tokens_to_hold(self, now_s: float) -> int:
        """Return how many tokens to hold for the estimated demand."""
        self._decay(now_s)
        rate_per_s = self._count / TIME_CONSTANT_S
        if rate_per_s < MIN_PREFETCH_RATE_PER_S:
            return 0
        return math.ceil(rate_per_s * PREFETCH_TARGET_S)

    def tokens_to_request(
        self, now_s: float, covered_tokens: int, waiting: int
    ) -> int:
        """Return how many tokens to request.

        Args:
            now_s: Monotonic seconds.
            covered_tokens: Tokens held or already requested.
            waiting: Requests that wait for a token.
        """
        desired_tokens = self.tokens_to_hold(now_s)
        low_watermark = math.floor(
            desired_tokens * LOW_WATERMARK_S / PREFETCH_TARGET_S
        )
        if covered_tokens - waiting > low_watermark or (
            covered_tokens >= waiting and desired_tokens == 0
        ):
            return 0
        return desired_tokens + waiting - covered_tokens

    def _decay(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_s)
        self._count *= math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._updated_s = max(now_s, self._updated_s)
