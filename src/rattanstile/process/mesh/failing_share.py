"""Share of its calls that a target fails, of late.

The load pattern it answers: a target refuses, drops or fails a part of its
calls while it says that it is healthy. Its calls are quick to end, so by its
load alone it would look better than the others of its service.
"""

import math

GAIN = 0.05
"""Weight of one call: about the last twenty count."""
FORGET_S = 4.0
"""Time constant with which a target that gets no calls is believed again."""


class FailingShare:
    """A mean over calls that also fades with time."""

    def __init__(self) -> None:
        """Begin with a target that fails nothing."""
        self._share = 0.0
        self._at_s = 0.0

    def add(self, now_s: float, *, is_failed: bool) -> None:
        """Count the end of a call."""
        share = self.share(now_s)
        self._share = share + GAIN * (is_failed - share)

    def share(self, now_s: float) -> float:
        """Return the share, 0 to 1."""
        passed_s = now_s - self._at_s
        self._at_s = now_s
        self._share *= math.exp(-passed_s / FORGET_S)
        return self._share
