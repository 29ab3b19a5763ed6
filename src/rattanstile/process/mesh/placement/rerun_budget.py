"""Budget of repeated attempts for each service.

The load pattern: targets refuse calls or lose answers for some seconds, and a
repeated run makes all its calls again, so that a few repeats near the root are
many at the deepest service. The fleet may repeat a fraction of the requests of
any window of ten seconds. Each node stays within that fraction of its own first
attempts, and so does the fleet, however its load is spread over the nodes.

Calls that a repeated run makes are repeats too. They earn nothing, and budget
for them is reserved before the run is accepted; else the repeats of several
levels of a call graph would add up at the deepest service.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from rattanstile.process.mesh.placement.attempt_window import AttemptWindow
from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import ServiceName

EARNED_SHARE = 0.93
"""Share of the allowed ratio that is used. Which run has made a call is
inferred, so that some calls of repeated runs are not counted as repeats."""
SLACK_SHARE = 0.5
"""Share of the slack that is used; nodes that restart forget what they sent."""
NEGLIGIBLE_CALLS = 1e-6


@dataclass(frozen=True, slots=True)
class Reservation:
    """Budget for the calls that an accepted repeated run will make.

    Attributes:
        calls: Expected calls of the run, by service.
    """

    calls: tuple[ServiceUsage, ...] = ()


@dataclass(slots=True)
class _Reserved:
    """Reserved repeats of one service.

    Attributes:
        total: Repeats reserved by the accepted runs that have not ended.
        left: Part of them that has not been used by a call.
    """

    total: float = 0.0
    left: float = 0.0

    def add(self, calls: float) -> None:
        """Reserve the calls of a run."""
        self.total += calls
        self.left += calls

    def use(self) -> bool:
        """Use the reservation of one call; return whether there was one."""
        if self.left < NEGLIGIBLE_CALLS:
            return False
        self.left = max(0.0, self.left - 1)
        return True

    def release(self, calls: float) -> None:
        """Release the part of a run that has ended.

        Calls don't name their run, so the part is a mean over all runs.
        """
        if self.total < NEGLIGIBLE_CALLS:
            return
        self.left -= self.left * min(1.0, calls / self.total)
        self.total -= calls
        if self.total < NEGLIGIBLE_CALLS:
            self.total = 0.0
            self.left = 0.0


class _ServiceBudget:
    """Attempts and reservations of one service."""

    def __init__(self, rounding: float) -> None:
        self.rounding = rounding
        self.window = AttemptWindow()
        self.reserved = _Reserved()

    def is_idle(self, now_s: float) -> bool:
        """Return whether nothing is counted or reserved."""
        self.window.expire(now_s)
        return self.window.is_empty and not self.reserved.total


class RerunBudget:
    """Repeated attempts that this node may send.

    Attributes:
        ratio: Allowed repeats for each first attempt.

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
        self.ratio = ratio * EARNED_SHARE
        self._slack = slack * SLACK_SHARE
        self._draw = draw
        self._nodes = 1
        self._services: dict[ServiceName, _ServiceBudget] = {}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack."""
        self._nodes = max(1, count)

    def record_first_attempt(
        self, now_s: float, service: ServiceName, *, is_repeat: bool
    ) -> bool:
        """Record the first attempt of a request; return whether it is allowed.

        Args:
            now_s: Monotonic seconds.
            service: Where it is sent.
            is_repeat: Whether a repeated run makes the request. It uses what
                was reserved for the run, else what is left of the budget.
        """
        budget = self._budget(now_s, service)
        if not is_repeat:
            budget.window.add_first(now_s)
            return True
        if not budget.reserved.use():
            return self.spend(now_s, service)
        budget.window.add_repeat(now_s)
        return True

    def spend(self, now_s: float, service: ServiceName) -> bool:
        """Count one repeat if the budget allows it; return whether it does."""
        if self.left(now_s, service) < 1:
            return False
        self._budget(now_s, service).window.add_repeat(now_s)
        return True

    def refund(self, now_s: float, service: ServiceName) -> None:
        """Take back one repeat that has reached no target."""
        self._budget(now_s, service).window.remove_repeat(now_s)

    def left(self, now_s: float, service: ServiceName) -> float:
        """Return the repeats that are neither used nor reserved."""
        budget = self._budget(now_s, service)
        slack = self._slack / self._nodes + budget.rounding
        unused = budget.window.unused(now_s, self.ratio)
        return unused + slack - budget.reserved.left

    def left_by_service(self, now_s: float) -> dict[ServiceName, float]:
        """Return the repeats that are left of each service."""
        return {
            service: self.left(now_s, service) for service in self._services
        }

    def first_per_s(self, now_s: float, service: ServiceName) -> float:
        """Return the rate of recent first attempts."""
        return self._budget(now_s, service).window.recent_per_s(now_s)

    def reserve(
        self, now_s: float, calls: Iterable[ServiceUsage]
    ) -> Reservation | None:
        """Reserve the calls of a repeated run; None if one has no room."""
        wanted = tuple(calls)
        if any(
            self.left(now_s, usage.service) < usage.runs for usage in wanted
        ):
            return None
        for usage in wanted:
            self._budget(now_s, usage.service).reserved.add(usage.runs)
        return Reservation(wanted)

    def release(self, now_s: float, reservation: Reservation) -> None:
        """Release what a run that has ended did not use."""
        for usage in reservation.calls:
            self._budget(now_s, usage.service).reserved.release(usage.runs)

    def _budget(self, now_s: float, service: ServiceName) -> _ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            self._forget_idle(now_s)
            budget = _ServiceBudget(self._draw())
            self._services[service] = budget
        return budget

    def _forget_idle(self, now_s: float) -> None:
        """Forget the services that had no attempts within the window."""
        for service, budget in tuple(self._services.items()):
            if budget.is_idle(now_s):
                self._services.pop(service)
