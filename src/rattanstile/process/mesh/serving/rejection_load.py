"""Whether a target rejects more calls the more of them it has.

The load patterns: a target rejects what exceeds a limit that it doesn't
announce, or it rejects each call with the same probability for seconds.
Against the former fewer calls at once help, and the service has less capacity
than its slots tell, which admission at the root must know. Against the latter
they gain nothing: the same part is rejected of fewer.

Within short periods, rejections are correlated with how busy the target was
when the call was sent (trend in proportions, Armitage, 1955). Periods are
combined (Stouffer, 1949), each with a bounded weight, so that a fault which
begins as load rises isn't taken for one that grows with it. If rejections grow
with the load, the limit is lowered by a factor, else raised by steps (additive
increase, multiplicative decrease; Chiu, Jain, 1989). It stays above the calls
that the target has lately run at once.
"""

import math
from dataclasses import dataclass

PERIOD_S = 0.2
MIN_CALLS = 8
"""Calls of a period that is counted."""
KEPT = 0.9
"""Factor on the weight of older periods at each new one: two seconds."""
MAX_PERIOD_SCORE = 2.0
MIN_SCORE = 4.0
"""Standard deviations, reached after four periods at the earliest, so that
rejections that don't depend on the load hardly ever reach it by chance."""
MIN_SLOPE = 0.3
"""Rejected part of a full target that exceeds the one of an idle target."""
LOWERED = 0.9
RAISED_SHARE = 0.01
FREE_RAISED_SHARE = 0.025
"""Steps of the limit in a period while the target rejects calls, and once it
has rejected none for `FREE_S`: half of the limit is then back after 4 s."""
FREE_S = 1.0
PEAK_KEPT_S = 5.0
"""Time constant of the calls that the target has run at once."""
PEAK_MARGIN = 1.15
MIN_SHARE = 0.1


@dataclass(eq=False, slots=True)
class _PeriodSums:
    """Sums over the calls of one period.

    Attributes:
        busy: Busy shares.
        busy_squares: Their squares.
        rejected_busy: Busy shares of the rejected calls.
    """

    calls: int = 0
    rejected: int = 0
    busy: float = 0.0
    busy_squares: float = 0.0
    rejected_busy: float = 0.0

    def add(self, busy_share: float, *, is_rejected: bool) -> None:
        self.calls += 1
        self.busy += busy_share
        self.busy_squares += busy_share**2
        if is_rejected:
            self.rejected += 1
            self.rejected_busy += busy_share

    @property
    def spread(self) -> float:
        """Return the sum of squared deviations of the busy shares."""
        return self.busy_squares - self.busy**2 / self.calls

    @property
    def common(self) -> float:
        """Return the sum of products of the deviations."""
        return self.rejected_busy - self.busy * self.rejected / self.calls

    @property
    def deviation(self) -> float:
        """Return the standard deviation of `common` without a trend."""
        share = self.rejected / self.calls
        variance = max(0.0, self.spread) * share * (1 - share)
        return math.sqrt(variance * self.calls / (self.calls - 1))


class _Trend:
    """Trend of the rejected part with the load, over recent periods."""

    def __init__(self) -> None:
        """Start without periods."""
        self._score = 0.0
        self._weight = 0.0
        self._common = 0.0
        self._spread = 0.0

    def add(self, period: _PeriodSums) -> None:
        """Add a period; one without a difference between calls tells none."""
        self._score *= KEPT
        self._weight *= KEPT**2
        self._common *= KEPT
        self._spread *= KEPT
        if period.calls < MIN_CALLS or not period.deviation:
            return
        score = period.common / period.deviation
        self._score += min(MAX_PERIOD_SCORE, max(-MAX_PERIOD_SCORE, score))
        self._weight += 1
        self._common += period.common
        self._spread += period.spread

    @property
    def is_growing(self) -> bool:
        """Return whether the rejected part grows with the load."""
        if self._score <= MIN_SCORE * math.sqrt(self._weight):
            return False
        return self._common > MIN_SLOPE * self._spread


class RejectionLoad:
    """Lowers the limit of a target whose rejections grow with its load.

    Attributes:
        limit_share: Share of the target's limit to use; 1 unless rejections
            grow with the load.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._updated_s = 0.0
        self.reset()

    def reset(self) -> None:
        """Forget the calls, because the target is another one."""
        self.limit_share = 1.0
        self._trend = _Trend()
        self._period = _PeriodSums()
        self._rejected_at_s = 0.0
        self._run_s = 0.0
        self._peak_calls = 0.0

    def record_run(
        self, now_s: float, busy_share: float, took_s: float, slots: float
    ) -> None:
        """Add a call that the target has run.

        Args:
            now_s: Monotonic seconds.
            busy_share: Calls on the target when it was sent, for each slot
                that is used without rejections.
            took_s: Seconds that it ran.
            slots: Slots that are used without rejections.
        """
        self._update(now_s, slots)
        self._run_s += took_s
        self._period.add(busy_share, is_rejected=False)

    def record_rejected(
        self, now_s: float, busy_share: float, slots: float
    ) -> None:
        """Add a call that the target has rejected; arguments as for a run."""
        self._update(now_s, slots)
        self._rejected_at_s = now_s
        self._period.add(busy_share, is_rejected=True)

    def _update(self, now_s: float, slots: float) -> None:
        passed_s = now_s - self._updated_s
        if passed_s < PERIOD_S:
            return
        self._updated_s = now_s
        self._trend.add(self._period)
        self._period = _PeriodSums()
        self._peak_calls *= math.exp(-passed_s / PEAK_KEPT_S)
        self._peak_calls = max(self._peak_calls, self._run_s / passed_s)
        self._run_s = 0.0
        is_free = now_s > self._rejected_at_s + FREE_S
        if self._trend.is_growing and not is_free:
            self._lower(slots)
        elif self.limit_share < 1:
            step = FREE_RAISED_SHARE if is_free else RAISED_SHARE
            raised = step * passed_s / PERIOD_S
            self.limit_share = min(1.0, self.limit_share + raised)

    def _lower(self, slots: float) -> None:
        run_share = self._peak_calls * PEAK_MARGIN / slots
        lowered_share = max(MIN_SHARE, run_share, self.limit_share * LOWERED)
        self.limit_share = min(self.limit_share, lowered_share)
