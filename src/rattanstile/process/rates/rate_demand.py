"""An entry node's estimate of one organisation's demand."""

import math
from dataclasses import dataclass

MEMORY_S = 0.25
"""Time constant of the estimate."""
PREFETCH_S = 0.15
"""Demand that a full purse covers."""
LOW_S = 0.06
"""Demand below which the purse is filled again."""
PREFETCH_MIN_PER_S = 5.0


@dataclass(slots=True)
class Demand:
    """A decaying count of requests."""

    _count: float = 0.0
    _counted_s: float = 0.0

    def count(self, now_s: float) -> None:
        """Count a request."""
        self._decay(now_s)
        self._count += 1.0

    def target(self, now_s: float) -> int:
        """Return how many tokens to hold."""
        self._decay(now_s)
        rate_per_s = self._count / MEMORY_S
        if rate_per_s < PREFETCH_MIN_PER_S:
            return 0
        return math.ceil(rate_per_s * PREFETCH_S)

    def wanted(self, now_s: float, covered: int, waiting: int) -> int:
        """Return how many tokens to ask for beside those held or asked for."""
        target = self.target(now_s)
        low = math.floor(target * LOW_S / PREFETCH_S)
        if covered - waiting > low or (covered >= waiting and target == 0):
            return 0
        return target + waiting - covered

    def _decay(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._counted_s)
        self._count *= math.exp(-passed_s / MEMORY_S)
        self._counted_s = max(now_s, self._counted_s)
