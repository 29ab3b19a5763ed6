"""Concurrency limit of one target, derived from the node's own observations.

The limit never exceeds the declared slots. A cold target is limited to the
declared cold slots for the declared cold start, counted from the first sign
of a restart. After that the limit rises only with successful calls.

The node is the only sender to its target, which bounds the load that a target
gets after an unannounced restart: calls in flight fail with the old process,
and until the first sign of the restart (a reset, a refused connection, a new
boot id) the node sends at most as many calls as the limit leaves free. After
a time without a success that is long compared with the latency, the limit is
reduced to the cold slots until the next success.
"""

import math
from dataclasses import dataclass

from rattanstile.process.serving.limit_controller import (
    DEFAULT_CONTROLLER,
    Controller,
    LimitController,
    WindowSummary,
)
from rattanstile.version.declaration import TargetLimits

WINDOW_S = 0.1
MIN_WINDOW_SAMPLES = 10
MIN_STALE_S = 1.0
STALE_LATENCIES = 4.0
LATENCY_GAIN = 0.1
WARM_UP_FACTOR = 2.0
MIN_LIMIT = 1


@dataclass(slots=True)
class _Window:
    """Calls that ended since the window began."""

    began_s: float
    total_latency_s: float = 0.0
    successes: int = 0
    errors: int = 0
    peak_in_flight: int = 0


@dataclass(frozen=True, slots=True)
class _LimiterState:
    """State of the limiter before a suspected restart."""

    cold_since_s: float | None
    warming: bool
    limit: float


class TargetLimiter:
    """Concurrency limiter of one target.

    Args:
        limits: Declared limits of the target.
        now_s: Monotonic seconds; the cold start is counted from this time.
        controller: Algorithm that adapts the limit once the target is warm.
    """

    def __init__(
        self,
        limits: TargetLimits,
        now_s: float,
        controller: Controller = DEFAULT_CONTROLLER,
    ) -> None:
        """Start with a cold target."""
        self.limits = limits
        self.in_flight = 0
        self.latency_s = 0.0
        self._controller = LimitController(controller)
        self._cold_since_s: float | None = now_s
        self._limit = float(limits.cold_slots)
        self._warming = True
        self._state_before_suspicion: _LimiterState | None = None
        self._last_success_s = now_s
        self._window = _Window(now_s)
        self._settled_s = now_s

    @property
    def limit(self) -> int:
        """Return the current concurrency limit."""
        bounded = min(int(self._limit), self.limits.slots)
        return max(bounded, self._min_limit)

    @property
    def is_cold(self) -> bool:
        """Return whether the target still counts as cold.

        A cold start ends with the first window that closes with a success
        after the declared cold start has passed.
        """
        return self._cold_since_s is not None

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether one more call may be sent now."""
        return self.in_flight < self._effective_limit(now_s)

    def started(self, now_s: float) -> None:
        """Record that a call was sent to the target."""
        if not self.in_flight and self._is_stale(now_s):
            self._window = _Window(now_s)
        self.in_flight += 1
        self._window.peak_in_flight = max(
            self._window.peak_in_flight, self.in_flight
        )

    def ended(self, now_s: float, latency_s: float, ok: bool) -> None:
        """Record the end of a call.

        Args:
            now_s: Monotonic seconds.
            latency_s: Seconds from the start of the call to its end.
            ok: Whether the target answered; False for an error that indicates
                overload of the target (refused, timed out, reset).
        """
        self.in_flight = max(0, self.in_flight - 1)
        if ok:
            self._last_success_s = now_s
            self._observe(latency_s)
        self._settle(now_s)
        if not ok:
            self._window.errors += 1
        elif now_s - latency_s >= self._settled_s:
            self._window.successes += 1
            self._window.total_latency_s += latency_s
        if self._window_is_over(now_s):
            self._close_window(now_s)

    def released(self, now_s: float) -> None:
        """Record the end of a call that is no evidence about the target."""
        self.in_flight = max(0, self.in_flight - 1)
        if self._window_is_over(now_s):
            self._close_window(now_s)

    def service_s(self, now_s: float) -> float:
        """Return the observed service time in seconds.

        It halves with each second without a success. It is measured only on
        calls, so without the decay an old, long value could have every call
        refused for its deadline forever.
        """
        since_success_s = max(0.0, now_s - self._last_success_s)
        return self.latency_s * math.exp2(-since_success_s)

    def restarted(self, now_s: float) -> None:
        """Reset to the cold slots after a confirmed restart."""
        self._state_before_suspicion = None
        self._controller.reset()
        self._reset_to_cold(now_s)

    def restart_suspected(self, now_s: float) -> None:
        """Reset to the cold slots after a sign of a restart.

        The state before the first sign is kept and restored if the restart is
        disproved.
        """
        if self._state_before_suspicion is None:
            self._state_before_suspicion = _LimiterState(
                self._cold_since_s, self._warming, self._limit
            )
        self._reset_to_cold(now_s)

    def restart_disproved(self, now_s: float) -> None:
        """Undo the reset: a later call was answered by the same boot."""
        saved = self._state_before_suspicion
        if saved is None:
            return
        self._state_before_suspicion = None
        self._cold_since_s = saved.cold_since_s
        self._warming = saved.warming
        self._limit = saved.limit
        self._window = _Window(now_s)
        self._settled_s = now_s

    def _reset_to_cold(self, now_s: float) -> None:
        self._cold_since_s = now_s
        self._warming = True
        self._limit = float(self.limits.cold_slots)
        self._window = _Window(now_s)
        self._settled_s = now_s

    @property
    def _min_limit(self) -> int:
        return max(MIN_LIMIT, min(self.limits.cold_slots, self.limits.slots))

    def _effective_limit(self, now_s: float) -> int:
        if self._is_stale(now_s):
            return min(self.limit, self._min_limit)
        return self.limit

    def _is_stale(self, now_s: float) -> bool:
        max_fresh_s = max(MIN_STALE_S, STALE_LATENCIES * self.latency_s)
        return now_s - self._last_success_s > max_fresh_s

    def _settle(self, now_s: float) -> None:
        """Start a window once a decrease of the limit has taken effect.

        Calls sent before that ran at the earlier, higher concurrency, so
        their latency is not counted.
        """
        if math.isinf(self._settled_s) and self.in_flight <= self.limit:
            self._settled_s = now_s
            self._window = _Window(now_s, peak_in_flight=self.in_flight)

    def _observe(self, latency_s: float) -> None:
        if self.latency_s:
            self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)
        else:
            self.latency_s = latency_s

    def _window_is_over(self, now_s: float) -> bool:
        window = self._window
        min_samples = min(MIN_WINDOW_SAMPLES, self.limit)
        if window.successes + window.errors < min_samples:
            return False
        if window.successes and self._cold_start_is_over(now_s):
            return True
        return now_s - window.began_s >= max(WINDOW_S, self.latency_s)

    def _close_window(self, now_s: float) -> None:
        window = self._window
        self._window = _Window(now_s, peak_in_flight=self.in_flight)
        if self._cold_since_s is not None:
            if not window.successes or not self._cold_start_is_over(now_s):
                return
            self._cold_since_s = None
            self._state_before_suspicion = None
        summary = self._summarise(window)
        if self._warming:
            self._warm_up(summary)
        elif window.peak_in_flight * 2 >= self._limit or summary.is_failing:
            self._adjust(summary)
        self._controller.update_baseline(summary)

    def _summarise(self, window: _Window) -> WindowSummary:
        mean_latency_s = self.latency_s
        if window.successes:
            mean_latency_s = window.total_latency_s / window.successes
        return WindowSummary(
            mean_latency_s, window.errors * 2 > window.successes
        )

    def _cold_start_is_over(self, now_s: float) -> bool:
        since_s = self._cold_since_s
        if since_s is None:
            return False
        return now_s - since_s >= self.limits.cold_start_s

    def _warm_up(self, summary: WindowSummary) -> None:
        if self._controller.is_congested(summary):
            self._warming = False
            self._adjust(summary)
            return
        self._limit = min(
            self._limit * WARM_UP_FACTOR, float(self.limits.slots)
        )
        self._warming = self._limit < self.limits.slots

    def _adjust(self, summary: WindowSummary) -> None:
        slots = self.limits.slots
        next_limit = self._controller.adjust(self._limit, slots, summary)
        bounded = min(max(next_limit, float(self._min_limit)), float(slots))
        if bounded < self._limit:
            self._settled_s = math.inf
        self._limit = bounded
