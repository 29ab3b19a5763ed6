"""Concurrency limit of one target, found from the node's own observations.

The limit never exceeds the declared slots. A cold target gets the declared
cold slots for the declared cold start, counted from the first sign of the
restart, and more only on successes of its own calls after that.

The node is the only sender to its target, so what a restart without warning
meets is bounded: calls in flight die with the old process, and until the
first sign (a reset, a refused connection, a new boot id) at most the free
part of the limit is sent. After a silence longer than a few answers the free
part shrinks to the cold slots until the next answer.
"""

import math
from dataclasses import dataclass

from rattanstile.process.serving.limit_controller import (
    DEFAULT_CONTROLLER,
    Controller,
    LimitController,
    WindowSeen,
)
from rattanstile.version.declaration import TargetLimits

WINDOW_S = 0.1
WINDOW_SAMPLES = 10
SILENCE_S = 1.0
SILENCE_LATENCIES = 4.0
LATENCY_GAIN = 0.1
WARM_UP_FACTOR = 2.0
FEWEST_CALLS = 1


@dataclass(slots=True)
class _Window:
    """What ended since the window began."""

    began_s: float
    latencies_s: float = 0.0
    successes: int = 0
    errors: int = 0
    peak: int = 0


@dataclass(frozen=True, slots=True)
class _Phase:
    """Where the limiter stood before a suspicion."""

    cold_since_s: float | None
    warming: bool
    limit: float


class TargetLimiter:
    """Limit of the calls at once on one target.

    Args:
        limits: What operators declare that the target bears.
        now_s: Monotonic seconds; the target counts as cold from here.
        controller: How the limit follows latency once the target is warm.
    """

    def __init__(
        self,
        limits: TargetLimits,
        now_s: float,
        controller: Controller = DEFAULT_CONTROLLER,
    ) -> None:
        """Begin with a cold target."""
        self.limits = limits
        self.in_flight = 0
        self.latency_s = 0.0
        self._controller = LimitController(controller)
        self._cold_since_s: float | None = now_s
        self._limit = float(limits.cold_slots)
        self._warming = True
        self._before_suspicion: _Phase | None = None
        self._heard_s = now_s
        self._window = _Window(now_s)
        self._settled_s = now_s

    @property
    def limit(self) -> int:
        """Return the calls at once that the target now bears."""
        found = min(int(self._limit), self.limits.slots)
        return max(found, self._fewest)

    @property
    def is_cold(self) -> bool:
        """Tell whether the declared cold start still runs or is not proved."""
        return self._cold_since_s is not None

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether one more call may be sent now."""
        return self.in_flight < self._limit_at(now_s)

    def started(self, now_s: float) -> None:
        """Count a call that was sent to the target."""
        if not self.in_flight and self._is_silent(now_s):
            self._window = _Window(now_s)
        self.in_flight += 1
        self._window.peak = max(self._window.peak, self.in_flight)

    def ended(self, now_s: float, latency_s: float, ok: bool) -> None:
        """Count the end of a call.

        Args:
            now_s: Monotonic seconds.
            latency_s: Seconds from `started` to the end.
            ok: Whether the target answered; False for an error of the target
                that speaks of overload (refused, timed out, reset).
        """
        self.in_flight = max(0, self.in_flight - 1)
        if ok:
            self._heard_s = now_s
            self._observe(latency_s)
        self._settle(now_s)
        if not ok:
            self._window.errors += 1
        elif now_s - latency_s >= self._settled_s:
            self._window.successes += 1
            self._window.latencies_s += latency_s
        if self._window_is_over(now_s):
            self._close_window(now_s)

    def released(self, now_s: float) -> None:
        """Count the end of a call that says nothing about the target."""
        self.in_flight = max(0, self.in_flight - 1)
        if self._window_is_over(now_s):
            self._close_window(now_s)

    def service_s(self, now_s: float) -> float:
        """Return the observed service time in seconds.

        It halves with each second without an answer, so that an old, long
        service time can't keep every call away for good.
        """
        silence_s = max(0.0, now_s - self._heard_s)
        return self.latency_s * math.exp2(-silence_s)

    def restarted(self, now_s: float) -> None:
        """Fall back to the cold slots: the target did restart."""
        self._before_suspicion = None
        self._controller.reset()
        self._fall_back(now_s)

    def restart_suspected(self, now_s: float) -> None:
        """Fall back to the cold slots: a sign of a restart was seen."""
        if self._before_suspicion is None:
            self._before_suspicion = _Phase(
                self._cold_since_s, self._warming, self._limit
            )
        self._fall_back(now_s)

    def restart_disproved(self, now_s: float) -> None:
        """Take `suspected` back: a later call met the boot known before."""
        before = self._before_suspicion
        if before is None:
            return
        self._before_suspicion = None
        self._cold_since_s = before.cold_since_s
        self._warming = before.warming
        self._limit = before.limit
        self._window = _Window(now_s)
        self._settled_s = now_s

    def _fall_back(self, now_s: float) -> None:
        self._cold_since_s = now_s
        self._warming = True
        self._limit = float(self.limits.cold_slots)
        self._window = _Window(now_s)
        self._settled_s = now_s

    @property
    def _fewest(self) -> int:
        return max(FEWEST_CALLS, min(self.limits.cold_slots, self.limits.slots))

    def _limit_at(self, now_s: float) -> int:
        if self._is_silent(now_s):
            return min(self.limit, self._fewest)
        return self.limit

    def _is_silent(self, now_s: float) -> bool:
        longest_s = max(SILENCE_S, SILENCE_LATENCIES * self.latency_s)
        return now_s - self._heard_s > longest_s

    def _settle(self, now_s: float) -> None:
        """Begin a window once a decrease of the limit has taken effect.

        Calls sent before then have met the calls at once of earlier.
        """
        if math.isinf(self._settled_s) and self.in_flight <= self.limit:
            self._settled_s = now_s
            self._window = _Window(now_s, peak=self.in_flight)

    def _observe(self, latency_s: float) -> None:
        if self.latency_s:
            self.latency_s += LATENCY_GAIN * (latency_s - self.latency_s)
        else:
            self.latency_s = latency_s

    def _window_is_over(self, now_s: float) -> bool:
        window = self._window
        fewest = min(WINDOW_SAMPLES, self.limit)
        if window.successes + window.errors < fewest:
            return False
        if window.successes and self._cold_start_is_over(now_s):
            return True
        return now_s - window.began_s >= max(WINDOW_S, self.latency_s)

    def _close_window(self, now_s: float) -> None:
        window = self._window
        self._window = _Window(now_s, peak=self.in_flight)
        if self._cold_since_s is not None:
            if not window.successes or not self._cold_start_is_over(now_s):
                return
            self._cold_since_s = None
            self._before_suspicion = None
        seen = self._seen(window)
        if self._warming:
            self._warm_up(seen)
        elif window.peak * 2 >= self._limit or seen.is_failing:
            self._adjust(seen)
        self._controller.follow(seen)

    def _seen(self, window: _Window) -> WindowSeen:
        mean_s = self.latency_s
        if window.successes:
            mean_s = window.latencies_s / window.successes
        return WindowSeen(mean_s, window.errors * 2 > window.successes)

    def _cold_start_is_over(self, now_s: float) -> bool:
        since_s = self._cold_since_s
        if since_s is None:
            return False
        return now_s - since_s >= self.limits.cold_start_s

    def _warm_up(self, seen: WindowSeen) -> None:
        if self._controller.is_congested(seen):
            self._warming = False
            self._adjust(seen)
            return
        self._limit = min(
            self._limit * WARM_UP_FACTOR, float(self.limits.slots)
        )
        self._warming = self._limit < self.limits.slots

    def _adjust(self, seen: WindowSeen) -> None:
        slots = self.limits.slots
        wanted = self._controller.adjust(self._limit, slots, seen)
        found = min(max(wanted, float(self._fewest)), float(slots))
        if found < self._limit:
            self._settled_s = math.inf
        self._limit = found
