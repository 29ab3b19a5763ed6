"""The steps in which a node that receives a stop signal drains.

In a rolling restart under load each node stops while requests are open.
Callers are rerouted only after two readiness checks, one second apart, have
failed, and not at all while most nodes of the failure domain stop; until then
their requests keep arriving on open connections. The target keeps running, so
it stays reachable for the longer part of that time. After that, a request that
could be cut off by the end of the process is refused: so its caller knows that
it has not run.
"""

from enum import Enum, unique

KEEP_SERVING_S = 1.4
"""Minimum time for which the target still accepts calls of other nodes."""
MAX_FINISH_S = 2.5
"""Part of the grace period reserved for finishing calls in progress."""
MAX_ACCEPT_ALL_S = 2.9
"""Callers have been rerouted by then, if there is a node to go to."""
MAX_ACCEPT_ALL_SHARE = 0.5
"""The rest of a short grace period is left to requests in progress."""
MIN_DRAIN_S = 2.3
MIN_IDLE_S = 0.3
"""Time without work in progress after which no more is expected."""
GRACE_MARGIN_S = 0.6
"""The platform kills the process at the end of the grace period."""


@unique
class DrainStep(Enum):
    """What a draining node does now."""

    KEEP_SERVING = 'keep-serving'
    FINISH = 'finish'
    END = 'end'


class Drain:
    """Decides when a draining node stops serving and when it ends.

    Args:
        began_s: Monotonic time of the signal.
        grace_s: Time from the signal until the process is killed.
    """

    def __init__(self, began_s: float, grace_s: float) -> None:
        """Start the drain."""
        self.began_s = began_s
        self._grace_s = grace_s
        self._idle_since_s: float | None = None

    def step(
        self, now_s: float, root_requests: int, in_progress: int
    ) -> DrainStep:
        """Return the step for the present time and work.

        Args:
            now_s: Monotonic seconds.
            root_requests: Callers' requests in progress.
            in_progress: Requests and calls at a target or a peer, and unsent
                responses.
        """
        elapsed_s = now_s - self.began_s
        remaining_s = self._grace_s - elapsed_s
        if remaining_s <= GRACE_MARGIN_S:
            return DrainStep.END
        if elapsed_s < KEEP_SERVING_S or (
            root_requests and remaining_s > MAX_FINISH_S
        ):
            self._idle_since_s = None
            return DrainStep.KEEP_SERVING
        if root_requests or in_progress:
            self._idle_since_s = None
            return DrainStep.FINISH
        if self._idle_since_s is None:
            self._idle_since_s = now_s
        is_idle = now_s - self._idle_since_s >= MIN_IDLE_S
        if is_idle and elapsed_s >= MIN_DRAIN_S:
            return DrainStep.END
        return DrainStep.FINISH

    def end_s(self, now_s: float) -> float | None:
        """Return the time by which a request that begins now must end.

        Returns:
            Monotonic seconds; None while requests of any length are accepted.
        """
        accept_all_s = min(
            MAX_ACCEPT_ALL_S, self._grace_s * MAX_ACCEPT_ALL_SHARE
        )
        if now_s - self.began_s < accept_all_s:
            return None
        return self.began_s + self._grace_s - GRACE_MARGIN_S
