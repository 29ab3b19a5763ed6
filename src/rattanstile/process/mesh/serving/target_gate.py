"""Queue, concurrency limit and cold-start rate limit of the local target.

Handles more calls than the target has slots for, or than it can run while
cold. Calls wait here, where they can still go to another node, rather than
on the target, which never answers some of the calls that it can't queue. The
queue is ordered by soft deadline: arrival time plus the latency objective,
lengthened for less urgent priorities.
"""

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from rattanstile.request.exchange import NotRunReason, ServedCall

USABLE_SLOT_SHARE = 0.95
"""Share of the slots that is used: targets slow down when nearly full, and a
new connection occupies a slot too."""
INITIAL_SERVICE_S = 0.03
SERVICE_GAIN = 0.05
OFFERED_WINDOW_S = 0.3
"""Time constant of the smoothed arrival rate."""
MAX_WAITING_CALLS = 3000
PRIORITY_STEP_SHARE = 0.25
"""Share of its latency objective by which each priority level delays a call."""
MAX_ROOT_WAIT_SHARE = 0.6
"""Share of its latency objective that a root call may wait; beyond it the
call is refused."""
COLD_WINDOW_S = 1.0
COLD_RATE_SHARE = 0.9
"""Share of the cold rate that is used, as calls bunch up on the way to the
target."""
DEFAULT_COLD_CALLS_PER_S = 20.0
MIN_SERVICE_S = 0.004
EXPIRY_MARGIN_S = 0.06
"""Time before its deadline at which a waiting call is returned; more than a
tick, so that its entry node learns in time that it has not run."""


@dataclass(eq=False, slots=True)
class WaitingCall:
    """A call that waits for the target or runs on it.

    Attributes:
        key: Identifies the call at this node.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time until which the result is awaited.
        started_s: Monotonic time at which it was sent; None while it waits.
        is_removed: Whether it was cancelled or expired while waiting.
    """

    key: object
    call: ServedCall
    arrived_s: float
    deadline_s: float
    started_s: float | None = None
    is_removed: bool = False


@dataclass(order=True, slots=True)
class _QueueEntry:
    soft_deadline_s: float
    sequence: int
    waiting: WaitingCall = field(compare=False)


class TargetQueue:
    """Decides which call is sent to the target next, and when.

    Attributes:
        slots: Concurrent calls that the target accepts.
        cold_calls_per_s: Calls a second that it can run while cold.
        in_flight: Number of calls on the target.
        waiting: Number of calls in the queue.
        service_s: Smoothed service time of a call on the target.
        run_count: Number of calls that the target has run.
    """

    def __init__(self) -> None:
        """Initialize with an empty queue."""
        self.slots = 0
        self.cold_calls_per_s = DEFAULT_COLD_CALLS_PER_S
        self.in_flight = 0
        self.waiting = 0
        self.service_s = INITIAL_SERVICE_S
        self.run_count = 0
        self._heap: list[_QueueEntry] = []
        self._sequence = 0
        self._recent_starts_s: deque[float] = deque()
        self._offered_per_s = 0.0
        self._offered_at_s = 0.0

    @property
    def limit(self) -> int:
        """Return the limit of concurrent calls on the target."""
        return max(1, math.floor(self.slots * USABLE_SLOT_SHARE))

    def offer(
        self, now_s: float, waiting: WaitingCall, *, is_cold: bool
    ) -> NotRunReason | None:
        """Queue a call, or return why it can't be served in time.

        A call that was moved here is not counted in the arrival rate again.
        """
        if not waiting.call.moves:
            self.count_offered(now_s)
        left_s = waiting.deadline_s - now_s
        expected_s = self.expected_wait_s(is_cold=is_cold)
        allowed_s = left_s - min(self.service_s, left_s / 2)
        if not waiting.call.inner:
            latency_objective_s = waiting.call.latency_objective_ms / 1000
            allowed_s = min(
                allowed_s, max(latency_objective_s * MAX_ROOT_WAIT_SHARE, 0.02)
            )
        if expected_s > allowed_s or self.waiting >= MAX_WAITING_CALLS:
            return NotRunReason.QUEUE_FULL
        self._sequence += 1
        self.waiting += 1
        soft_deadline_s = now_s + _soft_timeout_s(waiting.call)
        heapq.heappush(
            self._heap, _QueueEntry(soft_deadline_s, self._sequence, waiting)
        )
        return None

    def take(self, now_s: float, *, is_cold: bool) -> WaitingCall | None:
        """Remove and return the next call to send; None if none may be sent."""
        if self.in_flight >= self.limit:
            return None
        if is_cold and not self._has_cold_capacity(now_s):
            return None
        while self._heap:
            waiting = heapq.heappop(self._heap).waiting
            if waiting.is_removed:
                continue
            self.waiting -= 1
            self._record_start(now_s, waiting)
            return waiting
        return None

    def pop_expired(self, now_s: float) -> list[WaitingCall]:
        """Remove and return the waiting calls with too little time left."""
        return self._pop(
            lambda waiting: now_s + EXPIRY_MARGIN_S >= waiting.deadline_s
        )

    def pop_later(self, end_s: float) -> list[WaitingCall]:
        """Remove and return the waiting calls that may end after a time."""
        return self._pop(lambda waiting: waiting.deadline_s > end_s)

    def _pop(
        self, is_chosen: Callable[[WaitingCall], bool]
    ) -> list[WaitingCall]:
        removed = [
            entry.waiting
            for entry in self._heap
            if not entry.waiting.is_removed and is_chosen(entry.waiting)
        ]
        for waiting in removed:
            self.cancel(waiting)
        return removed

    def pop_all(self) -> list[WaitingCall]:
        """Remove and return all waiting calls."""
        removed = [
            entry.waiting
            for entry in self._heap
            if not entry.waiting.is_removed
        ]
        self._heap.clear()
        self.waiting = 0
        return removed

    def cancel(self, waiting: WaitingCall) -> None:
        """Remove a call from the queue, unless it was sent."""
        if not waiting.is_removed and waiting.started_s is None:
            waiting.is_removed = True
            self.waiting -= 1

    def release(
        self, now_s: float, waiting: WaitingCall, *, has_run: bool
    ) -> None:
        """Free the slot of a call that ended on the target.

        Args:
            now_s: Monotonic seconds.
            waiting: The call that ended.
            has_run: Whether the target ran it, so that its service time
                counts.
        """
        self.in_flight -= 1
        if has_run and waiting.started_s is not None:
            took_s = now_s - waiting.started_s
            self.run_count += 1
            gain = max(SERVICE_GAIN, 1 / self.run_count)
            self.service_s += gain * (took_s - self.service_s)

    def expected_wait_s(self, *, is_cold: bool) -> float:
        """Return how long a call that arrives now would wait."""
        if is_cold:
            rate_per_s = max(self.cold_calls_per_s * COLD_RATE_SHARE, 1)
            return (len(self._recent_starts_s) + self.waiting) / rate_per_s - 1
        if self.in_flight + self.waiting < self.limit:
            return 0
        return (self.waiting + 1) * self.service_s / self.limit

    def count_offered(self, now_s: float) -> None:
        """Count a call in the arrival rate."""
        self._offered_per_s = self.offered_per_s(now_s) + 1 / OFFERED_WINDOW_S

    def offered_per_s(self, now_s: float) -> float:
        """Return the smoothed arrival rate, including refused calls."""
        passed_s = now_s - self._offered_at_s
        self._offered_at_s = now_s
        self._offered_per_s *= math.exp(-passed_s / OFFERED_WINDOW_S)
        return self._offered_per_s

    def capacity_per_s(self, *, is_cold: bool) -> float:
        """Return the calls a second that the target can serve."""
        warm_per_s = self.limit / max(self.service_s, MIN_SERVICE_S)
        if is_cold:
            return min(warm_per_s, self.cold_calls_per_s * COLD_RATE_SHARE)
        return warm_per_s

    def _has_cold_capacity(self, now_s: float) -> bool:
        sent = self._recent_starts_s
        while sent and sent[0] <= now_s - COLD_WINDOW_S:
            sent.popleft()
        return len(sent) < max(1, int(self.cold_calls_per_s * COLD_RATE_SHARE))

    def _record_start(self, now_s: float, waiting: WaitingCall) -> None:
        waiting.started_s = now_s
        self.in_flight += 1
        self._recent_starts_s.append(now_s)
        while self._recent_starts_s[0] <= now_s - COLD_WINDOW_S:
            self._recent_starts_s.popleft()


def _soft_timeout_s(call: ServedCall) -> float:
    latency_objective_s = call.latency_objective_ms / 1000
    return latency_objective_s * (1 + PRIORITY_STEP_SHARE * call.priority)
