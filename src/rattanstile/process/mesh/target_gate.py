"""Queue, limit and cold pace in front of the target beside the node.

The load pattern it answers: more calls arrive than the target has slots, or
than it bears while cold. Calls wait here, where they can still be given to
another node, and not on the target, which never answers some of those that
it can't queue. The order is by urgency: the time of arrival and the time
within which an answer has its worth, earliest sum first.
"""

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

from rattanstile.request.exchange import NotRunReason, ServedCall

USED_SLOTS = 0.95
"""Targets slow down when nearly full; a new connection holds a slot too."""
FIRST_SERVICE_S = 0.03
SERVICE_GAIN = 0.05
OFFERED_WINDOW_S = 0.3
"""Time constant of the rate at which calls arrive."""
MOST_WAITING = 3000
PRIORITY_STEP = 0.25
"""A step of priority puts a call behind by this part of its aim."""
ROOT_WAIT_SHARE = 0.6
"""A root call that would wait longer than this part of its aim is refused."""
COLD_WINDOW_S = 1.0
COLD_SHARE = 0.9
"""Part of the cold rate that is used; arrivals bunch on their way."""
UNKNOWN_COLD_CALLS_PER_S = 20.0
SHORTEST_CALL_S = 0.004
LAST_START_S = 0.06
"""A call that still waits this long before its deadline is given back: more
than a tick, so that its entry node learns in time that it has not run."""


@dataclass(eq=False, slots=True)
class WaitingCall:
    """A call at the gate.

    Attributes:
        key: What `cancel` is called with.
        deadline_s: Monotonic time at which nobody waits any more.
    """

    key: object
    call: ServedCall
    arrived_s: float
    deadline_s: float
    started_s: float | None = None
    is_gone: bool = False


@dataclass(order=True, slots=True)
class _Place:
    urgency_s: float
    sequence: int
    waiting: WaitingCall = field(compare=False)


class TargetGate:
    """Decides which call goes to the target next, and when.

    Attributes:
        slots: Calls at once that the target takes.
        cold_calls_per_s: What it bears while cold.
        in_flight: Calls on the target.
    """

    def __init__(self) -> None:
        """Begin with nothing waiting."""
        self.slots = 0
        self.cold_calls_per_s = UNKNOWN_COLD_CALLS_PER_S
        self.in_flight = 0
        self.waiting = 0
        self.service_s = FIRST_SERVICE_S
        self.ran = 0
        self._heap: list[_Place] = []
        self._sequence = 0
        self._cold_sent: deque[float] = deque()
        self._offered_per_s = 0.0
        self._offered_at_s = 0.0

    @property
    def limit(self) -> int:
        """Return the calls at once that the target is given."""
        return max(1, math.floor(self.slots * USED_SLOTS))

    def offer(
        self, now_s: float, waiting: WaitingCall, *, is_cold: bool
    ) -> NotRunReason | None:
        """Take a call in, or tell why it can't be served in time."""
        if not waiting.call.moves:
            self._offered_per_s = (
                self.offered_per_s(now_s) + 1 / OFFERED_WINDOW_S
            )
        left_s = waiting.deadline_s - now_s
        expected_s = self.expected_wait_s(is_cold=is_cold)
        allowed_s = left_s - min(self.service_s, left_s / 2)
        if not waiting.call.inner:
            aim_s = waiting.call.aim_ms / 1000
            allowed_s = min(allowed_s, max(aim_s * ROOT_WAIT_SHARE, 0.02))
        if expected_s > allowed_s or self.waiting >= MOST_WAITING:
            return NotRunReason.QUEUE_FULL
        self._sequence += 1
        self.waiting += 1
        urgency_s = now_s + _patience_s(waiting.call)
        heapq.heappush(self._heap, _Place(urgency_s, self._sequence, waiting))
        return None

    def take(self, now_s: float, *, is_cold: bool) -> WaitingCall | None:
        """Return the next call to send now, if one may be sent."""
        if self.in_flight >= self.limit:
            return None
        if is_cold and not self._cold_room(now_s):
            return None
        while self._heap:
            waiting = heapq.heappop(self._heap).waiting
            if waiting.is_gone:
                continue
            self.waiting -= 1
            self._started(now_s, waiting)
            return waiting
        return None

    def expired(self, now_s: float) -> list[WaitingCall]:
        """Return the waiting calls whose time doesn't suffice any more."""
        gone = [
            place.waiting
            for place in self._heap
            if not place.waiting.is_gone
            and now_s + LAST_START_S >= place.waiting.deadline_s
        ]
        for waiting in gone:
            self.cancel(waiting)
        return gone

    def emptied(self) -> list[WaitingCall]:
        """Return all waiting calls: none of them will be sent."""
        gone = [
            place.waiting for place in self._heap if not place.waiting.is_gone
        ]
        self._heap.clear()
        self.waiting = 0
        return gone

    def cancel(self, waiting: WaitingCall) -> None:
        """Drop a waiting call."""
        if not waiting.is_gone and waiting.started_s is None:
            waiting.is_gone = True
            self.waiting -= 1

    def ended(self, now_s: float, waiting: WaitingCall, *, ran: bool) -> None:
        """Count the end of a call on the target."""
        self.in_flight -= 1
        if ran and waiting.started_s is not None:
            took_s = now_s - waiting.started_s
            self.ran += 1
            gain = max(SERVICE_GAIN, 1 / self.ran)
            self.service_s += gain * (took_s - self.service_s)

    def expected_wait_s(self, *, is_cold: bool) -> float:
        """Return how long a call that arrives now would wait."""
        if is_cold:
            pace = max(self.cold_calls_per_s * COLD_SHARE, 1)
            return (len(self._cold_sent) + self.waiting) / pace - 1
        if self.in_flight + self.waiting < self.limit:
            return 0
        return (self.waiting + 1) * self.service_s / self.limit

    def offered_per_s(self, now_s: float) -> float:
        """Return the rate at which calls arrive, those refused included."""
        passed_s = now_s - self._offered_at_s
        self._offered_at_s = now_s
        self._offered_per_s *= math.exp(-passed_s / OFFERED_WINDOW_S)
        return self._offered_per_s

    def capacity_per_s(self, *, is_cold: bool) -> float:
        """Return the calls a second that the target serves."""
        warm_per_s = self.limit / max(self.service_s, SHORTEST_CALL_S)
        if is_cold:
            return min(warm_per_s, self.cold_calls_per_s * COLD_SHARE)
        return warm_per_s

    def _cold_room(self, now_s: float) -> bool:
        sent = self._cold_sent
        while sent and sent[0] <= now_s - COLD_WINDOW_S:
            sent.popleft()
        return len(sent) < max(1, int(self.cold_calls_per_s * COLD_SHARE))

    def _started(self, now_s: float, waiting: WaitingCall) -> None:
        waiting.started_s = now_s
        self.in_flight += 1
        self._cold_sent.append(now_s)
        while self._cold_sent[0] <= now_s - COLD_WINDOW_S:
            self._cold_sent.popleft()


def _patience_s(call: ServedCall) -> float:
    aim_s = call.aim_ms / 1000
    return aim_s * (1 + PRIORITY_STEP * call.priority)
