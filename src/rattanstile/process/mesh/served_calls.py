"""Pending calls of a node's target, by key and by timeout."""

import heapq
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from rattanstile.connection.target_pool import TargetExchange
from rattanstile.process.mesh.target_gate import WaitingCall
from rattanstile.request.exchange import EndingHandler

OVERDUE_MARGIN_S = 0.3
"""Time after its deadline until a call on the target is abandoned.

The target ends the call itself at the deadline, but its answer may be lost.
"""


@dataclass(eq=False, slots=True)
class PendingCall:
    """A call that waits or runs.

    Attributes:
        waiting: The call as queued.
        on_end: Called once with the ending.
        exchange: The request to the target; None until it is sent.
    """

    waiting: WaitingCall
    on_end: EndingHandler
    exchange: TargetExchange | None = None


@dataclass(order=True, slots=True)
class _Timeout:
    """Monotonic time at which a call on the target is abandoned."""

    at_s: float
    pending: PendingCall = field(compare=False)


class PendingCalls:
    """Calls that wait for the target or run on it."""

    def __init__(self) -> None:
        """Initialize without calls."""
        self._by_key: dict[Hashable, PendingCall] = {}
        self._timeouts: list[_Timeout] = []

    def __len__(self) -> int:
        """Return how many calls wait or run."""
        return len(self._by_key)

    def __getitem__(self, key: Hashable) -> PendingCall:
        """Return the pending call with the key."""
        return self._by_key[key]

    def add(self, pending: PendingCall) -> None:
        """Add a call."""
        self._by_key[pending.waiting.key] = pending

    def pop(self, key: Hashable) -> PendingCall | None:
        """Remove and return a call; None if it has ended."""
        return self._by_key.pop(key, None)

    def keys_of(self, owner: Hashable) -> list[Hashable]:
        """Return the keys of the calls received on one connection."""
        return [
            key
            for key in self._by_key
            if isinstance(key, tuple) and key[0] is owner
        ]

    def start_timeout(self, pending: PendingCall) -> None:
        """Start the timeout of a call that is sent to the target."""
        at_s = pending.waiting.deadline_s + OVERDUE_MARGIN_S
        heapq.heappush(self._timeouts, _Timeout(at_s, pending))

    def pop_overdue(self, now_s: float) -> Iterator[PendingCall]:
        """Remove and yield the calls whose timeout has passed."""
        while self._timeouts and self._timeouts[0].at_s <= now_s:
            pending = heapq.heappop(self._timeouts).pending
            key = pending.waiting.key
            if self._by_key.get(key) is pending:
                self._by_key.pop(key)
                yield pending
