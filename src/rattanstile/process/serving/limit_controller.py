"""How the limit of a warm target follows latency and errors."""

import math
from dataclasses import dataclass

SHORTEST_LATENCY_S = 1e-6
STEEPEST_DECREASE = 0.5
HELPED_SHARE = 0.5
MOST_USELESS_DECREASES = 2
BASELINE_GAIN = 0.3


@dataclass(frozen=True, slots=True)
class Aimd:
    """Additive increase, multiplicative decrease, each decrease a trial.

    A decrease that does not shorten the latency shows that the calls at once
    are not what makes the target slow. After a few of those the latency found
    becomes the baseline and the limit returns to where it stood.

    Attributes:
        tolerance: Latency over the baseline that counts as congestion.
        decrease: Factor on the limit of a congested window.
        increase: Share of the slots added by a window that is not congested.
    """

    tolerance: float = 1.6
    decrease: float = 0.8
    increase: float = 0.1


@dataclass(frozen=True, slots=True)
class Gradient:
    """Limit follows the ratio of long-term to recent latency.

    The form is that of the gradient limiter of Netflix's concurrency-limits:
    ``limit * gradient + sqrt(limit)``, smoothed.

    Attributes:
        tolerance: Latency over the baseline that is not congestion.
        smoothing: Share of the new limit taken in each window.
        drift: Share of the gap that the baseline closes in each window.
    """

    tolerance: float = 1.5
    smoothing: float = 0.5
    drift: float = 0.05


Controller = Aimd | Gradient
DEFAULT_CONTROLLER: Controller = Aimd()


@dataclass(frozen=True, slots=True)
class WindowSeen:
    """What ended in one window.

    Attributes:
        mean_s: Mean latency of the successes in seconds.
        is_failing: Whether errors prevail.
    """

    mean_s: float
    is_failing: bool


@dataclass(frozen=True, slots=True)
class _Trial:
    """Limit and latency before a decrease."""

    limit: float
    mean_s: float


class LimitController:
    """State of one controller.

    Args:
        controller: How the limit follows what is seen.
    """

    def __init__(self, controller: Controller) -> None:
        """Begin without a baseline."""
        self._controller = controller
        self._baseline_s = 0.0
        self._trial: _Trial | None = None
        self._useless = 0

    def reset(self) -> None:
        """Forget the baseline: the target is another one now."""
        self._baseline_s = 0.0
        self._trial = None
        self._useless = 0

    def is_congested(self, seen: WindowSeen) -> bool:
        """Tell whether the window speaks of too many calls at once."""
        if seen.is_failing:
            return True
        if not self._baseline_s:
            return False
        return seen.mean_s > self._controller.tolerance * self._baseline_s

    def follow(self, seen: WindowSeen) -> None:
        """Let the baseline follow a window."""
        if not self._baseline_s:
            self._baseline_s = seen.mean_s
            return
        gap_s = seen.mean_s - self._baseline_s
        if gap_s < 0:
            self._baseline_s += BASELINE_GAIN * gap_s
            return
        match self._controller:
            case Gradient(drift=drift):
                self._baseline_s += drift * gap_s

    def adjust(self, limit: float, slots: int, seen: WindowSeen) -> float:
        """Return the limit wanted after a window.

        Args:
            limit: The limit of the window.
            slots: What operators declare.
            seen: What ended in it.
        """
        match self._controller:
            case Aimd() as aimd:
                return self._aimd(aimd, limit, slots, seen)
            case Gradient() as gradient:
                return self._gradient(gradient, limit, seen)

    def _aimd(
        self, aimd: Aimd, limit: float, slots: int, seen: WindowSeen
    ) -> float:
        if not self.is_congested(seen):
            self._trial = None
            self._useless = 0
            return limit + max(1.0, aimd.increase * slots)
        if self._trial and not seen.is_failing:
            before = self._trial
            if not _has_helped(before, limit, seen):
                self._useless += 1
            if self._useless >= MOST_USELESS_DECREASES:
                self._baseline_s = seen.mean_s
                self._trial = None
                self._useless = 0
                return before.limit
        self._trial = _Trial(limit, seen.mean_s)
        return limit * aimd.decrease

    def _gradient(
        self, gradient: Gradient, limit: float, seen: WindowSeen
    ) -> float:
        shortest_s = max(seen.mean_s, SHORTEST_LATENCY_S)
        ratio = gradient.tolerance * self._baseline_s / shortest_s
        if seen.is_failing:
            ratio = STEEPEST_DECREASE
        factor = min(1.0, max(STEEPEST_DECREASE, ratio))
        wanted = limit * factor + math.sqrt(limit)
        return limit + gradient.smoothing * (wanted - limit)


def _has_helped(before: _Trial, limit: float, seen: WindowSeen) -> bool:
    """Tell whether latency fell as it does when calls wait in the target."""
    expected = before.mean_s * (1 - limit / before.limit)
    return before.mean_s - seen.mean_s >= HELPED_SHARE * expected
