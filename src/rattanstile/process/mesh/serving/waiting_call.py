"""A call at the local target, and its rank among those that wait."""

from dataclasses import dataclass

from rattanstile.request.exchange import ServedCall

MAX_URGENCY = 7
"""Less urgent calls count as this urgent, which bounds the number of ranks."""


@dataclass(eq=False, slots=True)
class WaitingCall:
    """A call that waits for the target or runs on it.

    Attributes:
        key: Identifies the call at this node.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time until which the result is awaited.
        started_s: Monotonic time at which it was sent; None while it waits.
        is_removed: Whether it was cancelled or expired while waiting.
        run_s: Expected service time.
        start_by_s: Monotonic time; started later, it ends late.
        latest_start_s: Monotonic time after which it is not started.
        in_flight_before: Calls on the target when it was sent.
        is_late: Whether it ends late even if it starts at once.
    """

    key: object
    call: ServedCall
    arrived_s: float
    deadline_s: float
    started_s: float | None = None
    is_removed: bool = False
    run_s: float = 0.0
    start_by_s: float = float('inf')
    latest_start_s: float = float('inf')
    in_flight_before: int = 0
    is_late: bool = False

    @property
    def rank(self) -> 'Rank':
        """Return its rank while some calls can't start in time."""
        call = self.call
        return Rank(urgency_of(call), self.is_late, not call.inner)


@dataclass(frozen=True, order=True, slots=True)
class Rank:
    """Calls among which only time decides; the lowest goes first."""

    urgency: int
    is_late: bool
    is_root: bool


def urgency_of(call: ServedCall) -> int:
    """Return the priority of its root request, within bounds."""
    return min(MAX_URGENCY, max(0, call.root_priority))
