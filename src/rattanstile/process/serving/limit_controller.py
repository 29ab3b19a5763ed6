"""Controllers that adapt the concurrency limit of a warm target.

Their input is the latency and the errors of the calls of one window.
"""

import math
from dataclasses import dataclass

MIN_LATENCY_S = 1e-6
MIN_GRADIENT = 0.5
MIN_REDUCTION_SHARE = 0.5
MAX_INEFFECTIVE_DECREASES = 2
BASELINE_GAIN = 0.3


@dataclass(frozen=True, slots=True)
class Aimd:
    """Additive increase, multiplicative decrease.

    The effect of each decrease is checked. A decrease that does not reduce the
    latency shows that concurrency is not what makes the target slow. After
    `MAX_INEFFECTIVE_DECREASES` of them the measured latency becomes the
    baseline and the limit from before the latest decrease is restored.

    Attributes:
        tolerance: Ratio of latency to baseline above which a window is
            congested.
        decrease: Factor applied to the limit after a congested window.
        increase: Share of the slots added to the limit after a window without
            congestion.
    """

    tolerance: float = 1.6
    decrease: float = 0.8
    increase: float = 0.1


@dataclass(frozen=True, slots=True)
class Gradient:
    """Adapts the limit to the ratio of baseline to recent latency.

    The formula is that of the gradient limiter of Netflix's concurrency-limits:
    ``limit * gradient + sqrt(limit)``, smoothed.

    Attributes:
        tolerance: Ratio of latency to baseline up to which a window is not
            congested.
        smoothing: Weight of the new limit in the moving average, per window.
        drift: Share of the gap to a higher latency by which the baseline
            rises in each window.
    """

    tolerance: float = 1.5
    smoothing: float = 0.5
    drift: float = 0.05


Controller = Aimd | Gradient
DEFAULT_CONTROLLER: Controller = Aimd()


@dataclass(frozen=True, slots=True)
class WindowSummary:
    """Summary of the calls that ended in one window.

    Attributes:
        mean_latency_s: Mean latency of the successful calls in seconds.
        is_failing: Whether errors exceed half the number of successes.
    """

    mean_latency_s: float
    is_failing: bool


@dataclass(frozen=True, slots=True)
class _StateBeforeDecrease:
    """Limit and mean latency before a decrease."""

    limit: float
    mean_latency_s: float


class LimitController:
    """Computes the limit of one target with one controller.

    Args:
        controller: Algorithm and parameters.
    """

    def __init__(self, controller: Controller) -> None:
        """Start without a baseline."""
        self._controller = controller
        self._baseline_s = 0.0
        self._before_decrease: _StateBeforeDecrease | None = None
        self._ineffective_decreases = 0

    def reset(self) -> None:
        """Clear the baseline, which does not apply to a restarted target."""
        self._baseline_s = 0.0
        self._before_decrease = None
        self._ineffective_decreases = 0

    def is_congested(self, summary: WindowSummary) -> bool:
        """Return whether the window shows too many concurrent calls."""
        if summary.is_failing:
            return True
        if not self._baseline_s:
            return False
        return (
            summary.mean_latency_s
            > self._controller.tolerance * self._baseline_s
        )

    def update_baseline(self, summary: WindowSummary) -> None:
        """Update the baseline with the latency of a window."""
        if not self._baseline_s:
            self._baseline_s = summary.mean_latency_s
            return
        gap_s = summary.mean_latency_s - self._baseline_s
        if gap_s < 0:
            self._baseline_s += BASELINE_GAIN * gap_s
            return
        match self._controller:
            case Gradient(drift=drift):
                self._baseline_s += drift * gap_s

    def adjust(self, limit: float, slots: int, summary: WindowSummary) -> float:
        """Return the unbounded limit for the next window.

        Args:
            limit: Concurrency limit during the window.
            slots: Declared slots of the target.
            summary: Summary of the window.
        """
        match self._controller:
            case Aimd() as aimd:
                return self._aimd_limit(aimd, limit, slots, summary)
            case Gradient() as gradient:
                return self._gradient_limit(gradient, limit, summary)

    def _aimd_limit(
        self, aimd: Aimd, limit: float, slots: int, summary: WindowSummary
    ) -> float:
        if not self.is_congested(summary):
            self._before_decrease = None
            self._ineffective_decreases = 0
            return limit + max(1.0, aimd.increase * slots)
        if self._before_decrease and not summary.is_failing:
            before = self._before_decrease
            if not _was_effective(before, limit, summary):
                self._ineffective_decreases += 1
            if self._ineffective_decreases >= MAX_INEFFECTIVE_DECREASES:
                self._baseline_s = summary.mean_latency_s
                self._before_decrease = None
                self._ineffective_decreases = 0
                return before.limit
        self._before_decrease = _StateBeforeDecrease(
            limit, summary.mean_latency_s
        )
        return limit * aimd.decrease

    def _gradient_limit(
        self, gradient: Gradient, limit: float, summary: WindowSummary
    ) -> float:
        latency_s = max(summary.mean_latency_s, MIN_LATENCY_S)
        ratio = gradient.tolerance * self._baseline_s / latency_s
        if summary.is_failing:
            ratio = MIN_GRADIENT
        factor = min(1.0, max(MIN_GRADIENT, ratio))
        next_limit = limit * factor + math.sqrt(limit)
        return limit + gradient.smoothing * (next_limit - limit)


def _was_effective(
    before: _StateBeforeDecrease, limit: float, summary: WindowSummary
) -> bool:
    """Return whether a decrease reduced the latency.

    Where calls queue in the target, latency falls in proportion to the limit;
    at least `MIN_REDUCTION_SHARE` of that reduction is required.
    """
    expected_drop_s = before.mean_latency_s * (1 - limit / before.limit)
    return (
        before.mean_latency_s - summary.mean_latency_s
        >= MIN_REDUCTION_SHARE * expected_drop_s
    )
