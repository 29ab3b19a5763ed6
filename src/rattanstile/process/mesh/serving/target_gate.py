"""Queue, concurrency limit and cold-start rate limit of the local target.

Handles more calls than the target has slots for, or than it can run while
cold. Calls wait here, where they can still go to another node, rather than
on the target, which never answers some of the calls that it can't queue. The
queue is ordered by soft deadline: arrival time plus the latency objective,
lengthened for less urgent priorities, less the service time of the route. A
root call that can't end within its latency objective is refused on arrival,
or as soon as that is foreseen, while another node can still serve it in time.
"""

import math
from collections import deque
from collections.abc import Callable

from rattanstile.process.mesh.serving.rejection_load import RejectionLoad
from rattanstile.process.mesh.serving.route_times import RouteTimes
from rattanstile.process.mesh.serving.wait_order import (
    OTHERS_SHARE,
    QueuedWork,
    WaitOrder,
)
from rattanstile.process.mesh.serving.waiting_call import Rank, WaitingCall
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
"""Share of its latency objective that a root call may wait at most; beyond it
the call is refused."""
MIN_ROOT_WAIT_S = 0.02
LATE_CHECK_CALLS = 1000
LATE_CHECK_S = 0.1
"""Time between two checks for late calls, for each of so many that wait, as a
check looks at all of them; there is one at each tick while fewer wait."""
TRUNCATION_MARGIN_SHARE = 0.05
"""Share of its latency objective by which the expected start of a waiting call
must exceed the latest one, as service times vary."""
COLD_WINDOW_S = 1.0
COLD_RATE_SHARE = 0.9
"""Share of the cold rate that is used, as calls bunch up on the way to the
target."""
DEFAULT_COLD_CALLS_PER_S = 20.0
MIN_SERVICE_S = 0.004
EXPIRY_MARGIN_S = 0.06
"""Time before its deadline at which a waiting call is returned; more than a
tick, so that its entry node learns in time that it has not run."""


class TargetQueue:
    """Decides which call is sent to the target next, and when.

    Attributes:
        slots: Concurrent calls that the target accepts.
        cold_calls_per_s: Calls a second that it can run while cold; 0 if its
            service declares no limit for that time.
        in_flight: Number of calls on the target.
        waiting: Number of calls in the queue.
        service_s: Smoothed service time of a call on the target, over all
            routes.
        run_count: Number of calls that the target has run.
        route_times: Service times by route.
        rejections: Whether the target rejects more calls under load.
        late_count: Number of waiting calls that were removed because they
            would have started late.
    """

    def __init__(self) -> None:
        """Initialize with an empty queue."""
        self.slots = 0
        self.cold_calls_per_s = DEFAULT_COLD_CALLS_PER_S
        self.in_flight = 0
        self.waiting = 0
        self.service_s = INITIAL_SERVICE_S
        self.run_count = 0
        self.route_times = RouteTimes()
        self.rejections = RejectionLoad()
        self.late_count = 0
        self._order = WaitOrder()
        self._late_due_s = 0.0
        self._recent_starts_s: deque[float] = deque()
        self._offered_per_s = 0.0
        self._offered_at_s = 0.0

    @property
    def limit(self) -> int:
        """Return the limit of concurrent calls on the target."""
        limit_share = self.rejections.limit_share
        return max(1, math.floor(self._usable_slots * limit_share))

    @property
    def highest_limit(self) -> int:
        """Return the limit while rejections don't grow with the load."""
        return max(1, math.floor(self._usable_slots))

    @property
    def _usable_slots(self) -> float:
        return self.slots * USABLE_SLOT_SHARE

    @property
    def limits_cold_calls(self) -> bool:
        """Return whether the target takes fewer calls while it is cold."""
        return self.cold_calls_per_s > 0

    def offer(
        self, now_s: float, waiting: WaitingCall, *, is_cold: bool
    ) -> NotRunReason | None:
        """Queue a call, or return why it can't be served in time.

        A call that was moved here is not counted in the arrival rate again.
        """
        if not waiting.call.moves:
            self.count_offered(now_s)
        self._set_times(now_s, waiting)
        if self.waiting >= MAX_WAITING_CALLS:
            return NotRunReason.QUEUE_FULL
        allowed_s = waiting.latest_start_s - now_s
        if self.expected_wait_s(is_cold=is_cold) > allowed_s:
            if self._rank_wait_s(waiting.rank, is_cold=is_cold) > allowed_s:
                return NotRunReason.QUEUE_FULL
            self._order.is_scarce = True
        self.waiting += 1
        order_s = now_s + _soft_timeout_s(waiting.call) - waiting.run_s
        self._order.add(waiting, order_s)
        return None

    def take(self, now_s: float, *, is_cold: bool) -> WaitingCall | None:
        """Remove and return the next call to send; None if none may be sent."""
        if self.in_flight >= self.limit:
            return None
        if is_cold and not self._has_cold_capacity(now_s):
            return None
        waiting = self._order.take()
        if waiting is not None:
            self.waiting -= 1
            self._record_start(now_s, waiting)
        return waiting

    def pop_expired(self, now_s: float) -> list[WaitingCall]:
        """Remove and return the waiting calls with too little time left."""
        return self._pop(
            lambda waiting: now_s + EXPIRY_MARGIN_S >= waiting.deadline_s
        )

    def pop_late(self, now_s: float, *, is_cold: bool) -> list[WaitingCall]:
        """Remove and return the waiting calls that would start late.

        Only root calls are removed: nothing of them has run, so another node
        can still serve them in time.
        """
        if not self.waiting:
            self._order.is_scarce = False
            return []
        if now_s < self._late_due_s:
            return []
        checks = self.waiting // LATE_CHECK_CALLS
        self._late_due_s = now_s + checks * LATE_CHECK_S
        self._order.is_scarce = self._has_late(now_s, is_cold=is_cold)
        if not self._order.is_scarce:
            return []
        self._order.lower_late(now_s)
        late = self._late_roots(now_s, is_cold=is_cold)
        for waiting in late:
            self.cancel(waiting)
        self.late_count += len(late)
        return late

    def pop_later(self, end_s: float) -> list[WaitingCall]:
        """Remove and return the waiting calls that may end after a time."""
        return self._pop(lambda waiting: waiting.deadline_s > end_s)

    def _pop(
        self, is_chosen: Callable[[WaitingCall], bool]
    ) -> list[WaitingCall]:
        removed = [
            waiting
            for waiting in self._order.in_any_order()
            if is_chosen(waiting)
        ]
        for waiting in removed:
            self.cancel(waiting)
        return removed

    def pop_all(self) -> list[WaitingCall]:
        """Remove and return all waiting calls."""
        return self._pop(lambda waiting: True)

    def cancel(self, waiting: WaitingCall) -> None:
        """Remove a call from the queue, unless it was sent."""
        if not waiting.is_removed and waiting.started_s is None:
            self._order.remove(waiting)
            self.waiting -= 1

    def forget_target(self) -> None:
        """Forget what was learned about the target, as another one took over.

        The smoothed service time stays, as the best guess for the new one.
        """
        self.rejections.reset()
        self.route_times = RouteTimes()
        self.run_count = 0

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
            self.route_times.record(waiting.call.route, took_s)

    def record_answer(
        self, now_s: float, waiting: WaitingCall, *, is_rejected: bool
    ) -> None:
        """Record whether the target ran or rejected a call."""
        slots = max(1.0, self._usable_slots)
        busy_share = waiting.in_flight_before / slots
        if is_rejected:
            self.rejections.record_rejected(now_s, busy_share, slots)
        elif waiting.started_s is not None:
            took_s = now_s - waiting.started_s
            self.rejections.record_run(now_s, busy_share, took_s, slots)

    def expected_wait_s(self, *, is_cold: bool) -> float:
        """Return how long a call would wait behind all that wait now."""
        return self._wait_s(self._order.total(), is_cold=is_cold)

    @property
    def is_scarce(self) -> bool:
        """Return whether some waiting call can't start in time."""
        return self._order.is_scarce

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

    def _wait_s(self, ahead: QueuedWork, *, is_cold: bool) -> float:
        """Return how long a call waits that has this work before it."""
        if is_cold:
            rate_per_s = max(self.cold_calls_per_s * COLD_RATE_SHARE, 1)
            return (len(self._recent_starts_s) + ahead.calls) / rate_per_s - 1
        if self.in_flight + ahead.calls < self.limit:
            return 0
        return (ahead.work_s + self.service_s) / self.limit

    def _rank_wait_s(self, rank: Rank, *, is_cold: bool) -> float:
        """Return how long a call would wait under scarcity."""
        return self._wait_s(self._order.ahead_of(rank), is_cold=is_cold)

    def _set_times(self, now_s: float, waiting: WaitingCall) -> None:
        """Set the expected service time and the latest start of a call."""
        left_s = waiting.deadline_s - now_s
        route = self.route_times.of_route(waiting.call.route)
        waiting.run_s = self.service_s if route is None else route.mean_s
        waiting.latest_start_s = waiting.deadline_s - min(
            waiting.run_s, left_s / 2
        )
        objective_s = waiting.call.latency_objective_ms / 1000
        allowed_s = max(objective_s * MAX_ROOT_WAIT_SHARE, MIN_ROOT_WAIT_S)
        if route is not None:
            waiting.is_late = objective_s - route.mean_s < MIN_ROOT_WAIT_S
            if not waiting.is_late:
                slack_s = max(MIN_ROOT_WAIT_S, objective_s - route.usual_max_s)
                allowed_s = min(allowed_s, slack_s)
        waiting.start_by_s = min(waiting.latest_start_s, now_s + allowed_s)
        if not waiting.call.inner:
            waiting.latest_start_s = waiting.start_by_s

    def _has_late(self, now_s: float, *, is_cold: bool) -> bool:
        """Return whether a call starts late in the order by time."""
        ahead = QueuedWork()
        for waiting in self._order.by_time():
            start_s = now_s + self._wait_s(ahead, is_cold=is_cold)
            if start_s > waiting.start_by_s + _margin_s(waiting):
                return True
            ahead = ahead.plus(waiting)
        return False

    def _late_roots(self, now_s: float, *, is_cold: bool) -> list[WaitingCall]:
        """Return the root calls that start late in the order by rank.

        All ranks but the first one have a share of the target at least.
        """
        late: list[WaitingCall] = []
        ahead = QueuedWork()
        others_ahead = QueuedWork()
        in_order = self._order.by_rank()
        for waiting in in_order:
            is_other = waiting.rank != in_order[0].rank
            wait_s = self._wait_s(ahead, is_cold=is_cold)
            if is_other:
                others_wait_s = self._wait_s(others_ahead, is_cold=is_cold)
                wait_s = min(wait_s, others_wait_s / OTHERS_SHARE)
            by_s = waiting.latest_start_s + _margin_s(waiting)
            if not waiting.call.inner and now_s + wait_s > by_s:
                late.append(waiting)
                continue
            ahead = ahead.plus(waiting)
            if is_other:
                others_ahead = others_ahead.plus(waiting)
        return late

    def _has_cold_capacity(self, now_s: float) -> bool:
        sent = self._recent_starts_s
        while sent and sent[0] <= now_s - COLD_WINDOW_S:
            sent.popleft()
        return len(sent) < max(1, int(self.cold_calls_per_s * COLD_RATE_SHARE))

    def _record_start(self, now_s: float, waiting: WaitingCall) -> None:
        waiting.started_s = now_s
        waiting.in_flight_before = self.in_flight
        self.in_flight += 1
        self._recent_starts_s.append(now_s)
        while self._recent_starts_s[0] <= now_s - COLD_WINDOW_S:
            self._recent_starts_s.popleft()


def _soft_timeout_s(call: ServedCall) -> float:
    latency_objective_s = call.latency_objective_ms / 1000
    return latency_objective_s * (1 + PRIORITY_STEP_SHARE * call.priority)


def _margin_s(waiting: WaitingCall) -> float:
    return waiting.call.latency_objective_ms / 1000 * TRUNCATION_MARGIN_SHARE
