"""Budget of repeated attempts for each service.

The load pattern: targets refuse calls or lose answers for some seconds, and a
repeated run makes all its calls again, so that a few repeats near the root are
many at the deepest service. The fleet may repeat a fraction of the first
attempts of a window. Each node stays within that fraction of its own first
attempts, and so does the fleet, however its load is spread over the nodes.
Calls that a repeated run makes are counted as repeats as well.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from rattanstile.request.ids import ServiceName

WINDOW_S = 10.0
"""Time over which attempts are counted."""
BUCKET_S = 0.5
EARNED_SHARE = 0.75
"""Share of the allowed ratio that is used: which calls a repeated run makes is
estimated."""
SLACK_SHARE = 0.5
"""Share of the slack that is used; nodes that restart forget what they sent."""


@dataclass(slots=True)
class _Bucket:
    """Attempts of a part of the window."""

    began_s: float
    first: int = 0
    repeats: int = 0


class _ServiceAttempts:
    """Attempts of one service within the window."""

    def __init__(self, rounding: float) -> None:
        self.rounding = rounding
        self.first = 0
        self.repeats = 0
        self._buckets: deque[_Bucket] = deque()

    def add(self, now_s: float, *, first: int = 0, repeats: int = 0) -> None:
        """Count attempts."""
        self.expire(now_s)
        buckets = self._buckets
        if not buckets or now_s - buckets[-1].began_s >= BUCKET_S:
            buckets.append(_Bucket(now_s))
        buckets[-1].first += first
        buckets[-1].repeats += repeats
        self.first += first
        self.repeats += repeats

    @property
    def is_idle(self) -> bool:
        """Return whether there were no attempts within the window."""
        return not self._buckets

    def expire(self, now_s: float) -> None:
        """Drop the attempts that are older than the window."""
        while self._buckets and now_s - self._buckets[0].began_s > WINDOW_S:
            oldest = self._buckets.popleft()
            self.first -= oldest.first
            self.repeats -= oldest.repeats


class RerunBudget:
    """Repeated attempts that this node may send.

    Args:
        ratio: Allowed repeats for each first attempt.
        slack: Repeats that the fleet may send in addition, in a window.
        draw: Returns a uniform random number below 1. It rounds the node's
            part of the slack, which may be less than one repeat.
    """

    def __init__(
        self, ratio: float, slack: float, draw: Callable[[], float]
    ) -> None:
        """Start without attempts."""
        self._earned = ratio * EARNED_SHARE
        self._slack = slack * SLACK_SHARE
        self._draw = draw
        self._nodes = 1
        self._services: dict[ServiceName, _ServiceAttempts] = {}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack."""
        self._nodes = max(1, count)

    def record_first_attempt(
        self, now_s: float, service: ServiceName, *, is_repeat: bool
    ) -> None:
        """Record the first attempt of a request.

        Args:
            now_s: Monotonic seconds.
            service: Where it is sent.
            is_repeat: Whether a repeated run makes the request.
        """
        attempts = self._attempts(now_s, service)
        attempts.add(now_s, first=1, repeats=int(is_repeat))

    def spend(self, now_s: float, service: ServiceName) -> bool:
        """Count one repeat if the budget allows it; return whether it does."""
        attempts = self._attempts(now_s, service)
        attempts.expire(now_s)
        slack = self._slack / self._nodes + attempts.rounding
        if attempts.repeats + 1 > self._earned * attempts.first + slack:
            return False
        attempts.add(now_s, repeats=1)
        return True

    def _attempts(self, now_s: float, service: ServiceName) -> _ServiceAttempts:
        attempts = self._services.get(service)
        if attempts is None:
            self._forget_idle(now_s)
            attempts = _ServiceAttempts(self._draw())
            self._services[service] = attempts
        return attempts

    def _forget_idle(self, now_s: float) -> None:
        """Forget the services that had no attempts within the window."""
        for service, attempts in tuple(self._services.items()):
            attempts.expire(now_s)
            if attempts.is_idle:
                self._services.pop(service)
