"""How long the local target takes for each route, usually and at the moment.

Handles targets of one service that differ in speed, and targets that slow
down for less than a second. The mean over all calls doesn't show either, as
routes of one service differ by a factor of 30 and their mix varies.
"""

import math
from dataclasses import dataclass
from zlib import crc32

HORIZON_S = 15.0
"""Time constant of the usual time of a route; long compared with moments of
slowness."""
SLOW_PACE = 1.3
SLOW_WEIGHT = 0.1
"""Weight of calls in the usual time while the pace is above `SLOW_PACE`, so
that it varies little with how many moments of slowness lie in the horizon. A
target that stays slow still becomes usual."""
PACE_GAIN = 1 / 12
"""Weight of one call in the pace, so that tens of calls show a change."""
PACE_CALL_S = 0.1
"""Calls that take longer weigh less in the pace, as most of their time lies
before the present moment."""
PACE_EXPIRY_S = 1.0
"""Age of the last call from which on the pace is unknown."""
MAX_RATIO = 4.0
"""Bound of the effect that a single call has on the pace."""
MAX_ROUTES = 64
DECI_MS_PER_S = 10_000
MAX_DECI_MS = 65_535
MAX_PACE_PERCENT = 400
PERCENT = 100


@dataclass(eq=False, slots=True)
class _RouteTime:
    """Decayed sum of the times of one route."""

    code: int
    weight: float = 0.0
    sum_s: float = 0.0
    updated_s: float = 0.0

    @property
    def mean_s(self) -> float:
        return self.sum_s / self.weight if self.weight else 0.0

    def add(self, now_s: float, took_s: float, weight: float) -> None:
        decay = math.exp((self.updated_s - now_s) / HORIZON_S)
        self.updated_s = now_s
        self.weight = self.weight * decay + weight
        self.sum_s = self.sum_s * decay + took_s * weight


def route_code(route: str) -> int:
    """Return a number from 1 to 65,535 that stands for a route in reports."""
    return crc32(route.encode()) % 0xFFFF + 1


class ReportedTimes:
    """Times of the local target by route, for its load reports.

    Attributes:
        last_code: `route_code` of the latest call that ended; 0 for none.
        last_deci_ms: Usual time of its route, in tenths of a millisecond.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self.last_code = 0
        self.last_deci_ms = 0
        self._times: dict[str, _RouteTime] = {}
        self._pace = 1.0
        self._ended_s = float('-inf')

    def record(self, now_s: float, route: str, took_s: float) -> None:
        """Record the time that the target took for a call.

        Args:
            now_s: Monotonic seconds.
            route: Name of the route.
            took_s: Time between the call to the target and its answer.
        """
        time = self._times.get(route)
        if time is None:
            if len(self._times) >= MAX_ROUTES:
                self._times.pop(next(iter(self._times)))
            time = _RouteTime(route_code(route))
            self._times[route] = time
        usual_s = time.mean_s
        if usual_s > 0:
            if now_s - self._ended_s > PACE_EXPIRY_S:
                self._pace = 1.0
            gain = PACE_GAIN * min(1.0, PACE_CALL_S / usual_s)
            ratio = min(took_s / usual_s, MAX_RATIO)
            self._pace += gain * (ratio - self._pace)
        self._ended_s = now_s
        is_slow = self._pace > SLOW_PACE
        time.add(now_s, took_s, SLOW_WEIGHT if is_slow else 1.0)
        self.last_code = time.code
        self.last_deci_ms = min(int(time.mean_s * DECI_MS_PER_S), MAX_DECI_MS)

    def pace_percent(self, now_s: float) -> int:
        """Return the present time of a call in percent of its usual time."""
        if now_s - self._ended_s > PACE_EXPIRY_S:
            return PERCENT
        return min(int(self._pace * PERCENT), MAX_PACE_PERCENT)
