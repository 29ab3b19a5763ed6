"""First attempts and repeats of one service, and the repeats that still fit.

The load pattern: the requests of a service become fewer just after many of
them were repeated. Trees that fail at their first call make no further ones,
and a surge of 1.6 times the usual traffic ends. The budget of a window of ten
seconds is therefore earned by its own requests, by those of the window before,
or by those of the one that begins half a window earlier, whichever are most. A
repeat must fit every window that it is in, by the requests known so far and a
quarter of those that would follow at the present rate.
"""

from collections import deque
from dataclasses import dataclass
from itertools import accumulate, repeat
from math import sqrt

WINDOW_S = 10.0
"""Time over which attempts are counted."""
BUCKET_S = 0.1
WINDOW_BUCKETS = round(WINDOW_S / BUCKET_S)
HALF_WINDOW_BUCKETS = WINDOW_BUCKETS // 2
KEPT_BUCKETS = 2 * WINDOW_BUCKETS + 1
"""A window that begins ten seconds ago is earned by the one before it."""
RECENT_BUCKETS = round(1.0 / BUCKET_S)
EXPECTED_SHARE = 0.25
"""Share of the recent rate that is expected to continue. Trees of four calls
of which all are rejected make one; a surge of 1.6 times ends (0.62)."""
CLEAR_DEVIATIONS = 2.0
"""Standard deviations of a count of independent requests by which another one
must exceed it."""


@dataclass(slots=True)
class _Bucket:
    """Attempts of a part of the window.

    Attributes:
        number: Its start, in multiples of `BUCKET_S`.
    """

    number: int
    first: int = 0
    repeats: int = 0


class AttemptWindow:
    """Attempts of one service at one node."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._buckets: deque[_Bucket] = deque()

    @property
    def is_empty(self) -> bool:
        """Return whether there were no attempts that still count."""
        return not self._buckets

    def add_first(self, now_s: float) -> None:
        """Count a first attempt."""
        self._bucket(now_s).first += 1

    def add_repeat(self, now_s: float) -> None:
        """Count a repeat."""
        self._bucket(now_s).repeats += 1

    def remove_repeat(self, now_s: float) -> None:
        """Remove the latest repeat."""
        self.expire(now_s)
        for bucket in reversed(self._buckets):
            if bucket.repeats:
                bucket.repeats -= 1
                return

    def expire(self, now_s: float) -> None:
        """Drop the attempts that are in no window which includes this moment.

        Those of the window before count as long as they may earn repeats.
        """
        oldest = _number(now_s) - KEPT_BUCKETS
        while self._buckets and self._buckets[0].number < oldest:
            self._buckets.popleft()

    def recent_per_s(self, now_s: float) -> float:
        """Return the rate of first attempts in the last second."""
        oldest = _number(now_s) - RECENT_BUCKETS
        recent = 0
        for bucket in reversed(self._buckets):
            if bucket.number < oldest:
                break
            recent += bucket.first
        return recent / (RECENT_BUCKETS * BUCKET_S)

    def lasting_per_s(self, now_s: float) -> float:
        """Return the rate of first attempts: the lower of a short and a long.

        A short rise is not expected to last, and a fall is.
        """
        oldest = _number(now_s) - WINDOW_BUCKETS
        total = sum(
            bucket.first for bucket in self._buckets if bucket.number >= oldest
        )
        return min(self.recent_per_s(now_s), total / WINDOW_S)

    def unused(self, now_s: float, ratio: float) -> float:
        """Return the repeats that fit all windows which include this moment.

        A window may begin anywhere in a bucket. So all repeats of its first
        bucket are counted, and none of its first attempts.

        Args:
            now_s: Monotonic seconds.
            ratio: Allowed repeats for each first attempt.
        """
        self.expire(now_s)
        current = _number(now_s)
        if self._buckets:
            # A caller may pass the time at which its own step began.
            current = max(current, self._buckets[-1].number)
        expected_per_s = EXPECTED_SHARE * self.lasting_per_s(now_s)
        earned = _Earned(self._buckets, current, expected_per_s * BUCKET_S)
        repeats_in = {
            bucket.number: bucket.repeats
            for bucket in self._buckets
            if bucket.repeats
        }
        least = float('inf')
        repeats = 0
        for number in range(current, current - WINDOW_BUCKETS - 1, -1):
            repeats += repeats_in.get(number, 0)
            requests = earned.by_window_from(number)
            least = min(least, ratio * requests - repeats)
        return least

    def _bucket(self, now_s: float) -> _Bucket:
        number = _number(now_s)
        buckets = self._buckets
        if not buckets or buckets[-1].number < number:
            self.expire(now_s)
            buckets.append(_Bucket(number))
        return buckets[-1]


class _Earned:
    """Requests that earn the budget of a window.

    Args:
        buckets: The attempts known so far.
        current: Number of the bucket of this moment.
        expected: Requests that are expected in each later bucket.
    """

    def __init__(
        self, buckets: deque[_Bucket], current: int, expected: float
    ) -> None:
        self._oldest = current - KEPT_BUCKETS
        first = list(repeat(0.0, KEPT_BUCKETS + 1))
        for bucket in buckets:
            first[bucket.number - self._oldest] = bucket.first
        first.extend(repeat(expected, WINDOW_BUCKETS))
        self._sums = [0.0, *accumulate(first)]

    def by_window_from(self, number: int) -> float:
        """Return the requests for a window that begins in a bucket.

        Those of the window before, unless others are clearly more. If each
        node took the largest of three counts that differ by chance, their sum
        would exceed the largest sum.
        """
        most = self._between(number - WINDOW_BUCKETS + 1, number)
        for begin in (number - HALF_WINDOW_BUCKETS, number):
            requests = self._between(begin + 1, begin + WINDOW_BUCKETS)
            if requests > most + CLEAR_DEVIATIONS * sqrt(max(most, 1)):
                most = requests
        return most

    def _between(self, begin: int, end: int) -> float:
        """Return the requests of the buckets from one up to another."""
        last = len(self._sums) - 1
        first_index = min(last, max(0, begin - self._oldest))
        end_index = min(last, max(first_index, end - self._oldest))
        return self._sums[end_index] - self._sums[first_index]


def _number(now_s: float) -> int:
    return int(now_s // BUCKET_S)
