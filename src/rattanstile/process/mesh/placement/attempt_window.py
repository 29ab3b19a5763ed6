"""First attempts and repeats of one service within ten seconds.

The load pattern: the requests of a service become fewer just after many of
them were repeated. Trees that fail at their first call make no further ones,
and a surge of 1.6 times the usual traffic ends. A window that begins with the
repeats then holds fewer requests than the window before. So a repeat must fit
each window that it will be in: each part of the last ten seconds, together
with the requests that are expected until ten seconds after its beginning.
"""

from collections import deque
from dataclasses import dataclass

WINDOW_S = 10.0
"""Time over which attempts are counted."""
BUCKET_S = 0.1
RECENT_S = 1.0
EXPECTED_SHARE = 0.25
"""Share of the recent rate that is expected to continue. Trees of four calls
of which all are rejected make one; a surge of 1.6 times ends (0.62)."""


@dataclass(slots=True)
class _Bucket:
    """Attempts of a part of the window."""

    began_s: float
    first: int = 0
    repeats: int = 0


class AttemptWindow:
    """Attempts of one service at one node."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._buckets: deque[_Bucket] = deque()

    @property
    def is_empty(self) -> bool:
        """Return whether there were no attempts within the window."""
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
        """Drop the attempts that are older than the window."""
        oldest_s = now_s - WINDOW_S - BUCKET_S
        while self._buckets and self._buckets[0].began_s < oldest_s:
            self._buckets.popleft()

    def recent_per_s(self, now_s: float) -> float:
        """Return the rate of first attempts in the last second."""
        recent = 0
        for bucket in reversed(self._buckets):
            if now_s - bucket.began_s > RECENT_S:
                break
            recent += bucket.first
        return recent / RECENT_S

    def lasting_per_s(self, now_s: float) -> float:
        """Return the rate of first attempts: the lower of a short and a long.

        A short rise is not expected to last, and a fall is.
        """
        total = sum(bucket.first for bucket in self._buckets)
        return min(self.recent_per_s(now_s), total / WINDOW_S)

    def unused(self, now_s: float, ratio: float) -> float:
        """Return the repeats that fit all windows which include this moment.

        Windows begin anywhere in a bucket. So all of its repeats are counted,
        and none of its first attempts. Parts without repeats allow one, or a
        node with few requests could never send its first.

        Args:
            now_s: Monotonic seconds.
            ratio: Allowed repeats for each first attempt.
        """
        self.expire(now_s)
        expected_per_s = EXPECTED_SHARE * self.lasting_per_s(now_s)
        first = 0
        repeats = 0
        least = max(1.0, ratio * expected_per_s * WINDOW_S)
        for bucket in reversed(self._buckets):
            repeats += bucket.repeats
            ahead_s = max(0.0, bucket.began_s + WINDOW_S - now_s)
            unused = ratio * (first + expected_per_s * ahead_s) - repeats
            least = min(least, unused if repeats else max(1.0, unused))
            first += bucket.first
        return min(least, ratio * first - repeats)

    def _bucket(self, now_s: float) -> _Bucket:
        buckets = self._buckets
        if not buckets or now_s - buckets[-1].began_s >= BUCKET_S:
            self.expire(now_s)
            buckets.append(_Bucket(now_s))
        return buckets[-1]
