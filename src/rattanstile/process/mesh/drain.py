"""The order in which a node that is told to stop gives its work up.

The load pattern it answers: nodes are restarted one after the other under
load, each while requests are open. Callers are sent elsewhere only after two
questions for readiness, a second apart, have failed; until then they come.
The target runs on, so it is kept in reach for the longer part of that time.
"""

from enum import Enum, unique

SERVE_ON_S = 1.4
"""For so long the target goes on with calls of other nodes."""
LONGEST_FINISH_S = 2.5
"""So much of the grace time is kept for what still runs."""
SHORTEST_S = 2.3
IDLE_S = 0.3
"""Time without any work in hand after which none is expected."""
GRACE_MARGIN_S = 0.6
"""The platform kills the process at the end of the grace time."""


@unique
class DrainStep(Enum):
    """What a draining node does."""

    SERVE_ON = 'serve-on'
    FINISH = 'finish'
    END = 'end'


class Drain:
    """Decides when a draining node ends.

    Args:
        began_s: Monotonic time of the signal.
        grace_s: Time from the signal until the process is killed.
    """

    def __init__(self, began_s: float, grace_s: float) -> None:
        """Begin to drain."""
        self.began_s = began_s
        self._grace_s = grace_s
        self._idle_since_s: float | None = None

    def step(self, now_s: float, roots: int, in_hand: int) -> DrainStep:
        """Return what to do now.

        Args:
            now_s: Monotonic seconds.
            roots: Callers' requests that have not ended.
            in_hand: All requests and calls that have not ended.
        """
        passed_s = now_s - self.began_s
        left_s = self._grace_s - passed_s
        if left_s <= GRACE_MARGIN_S:
            return DrainStep.END
        if passed_s < SERVE_ON_S or (roots and left_s > LONGEST_FINISH_S):
            self._idle_since_s = None
            return DrainStep.SERVE_ON
        if in_hand:
            self._idle_since_s = None
            return DrainStep.FINISH
        if self._idle_since_s is None:
            self._idle_since_s = now_s
        is_idle = now_s - self._idle_since_s >= IDLE_S
        if is_idle and passed_s >= SHORTEST_S:
            return DrainStep.END
        return DrainStep.FINISH
