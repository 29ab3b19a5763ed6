"""Recent share of a target's calls that fail.

The load pattern: a target rejects, drops or fails some of its calls while it
reports itself as healthy. Its calls end quickly, so by its load alone it would
look better than the other targets of its service.
"""

import math

GAIN = 0.05
"""Weight of one call: about the last twenty calls count."""
FORGET_S = 4.0
"""Time constant with which the share of a target without calls decays, so that
the target is trusted again."""


class FailingShare:
    """Exponential moving average over calls that also decays with time."""

    def __init__(self) -> None:
        """Start without failures."""
        self._share = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float, *, is_failed: bool) -> None:
        """Record the end of a call."""
        share = self.share(now_s)
        self._share = share + GAIN * (is_failed - share)

    def share(self, now_s: float) -> float:
        """Return the share of failed calls, 0 to 1."""
        passed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._share *= math.exp(-passed_s / FORGET_S)
        return self._share
