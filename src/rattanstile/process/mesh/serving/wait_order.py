"""Order of the calls that wait for a target.

The load pattern: demand exceeds a target for seconds, by calls of differing
urgency and length. While all waiting calls can start in time, the earliest
latest start goes first, which meets all of them if any order does. When some
can't, that order spends the target on one call after the other that ends late
(Locke, 1986). Then the more urgent go first; within equal urgency those that
can still end in time, and of these the calls of trees that have begun, as
their work would be lost. A share of the target's time stays for the others,
so that none starves.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from rattanstile.process.mesh.serving.waiting_call import Rank, WaitingCall

OTHERS_SHARE = 0.15
"""Share of the target's time for calls of lower rank under scarcity; as much
as each request class keeps at the admission of roots."""
ROUNDING_S = 1e-6


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """Waiting calls and the sum of their service times."""

    calls: int = 0
    work_s: float = 0.0

    def plus(self, waiting: WaitingCall) -> 'QueuedWork':
        """Return the work with one more call."""
        return QueuedWork(self.calls + 1, self.work_s + waiting.run_s)


@dataclass(order=True, slots=True)
class _Entry:
    order_s: float
    sequence: int
    waiting: WaitingCall = field(compare=False)
    is_lowered: bool = field(default=False, compare=False)

    def order(self) -> tuple[float, int]:
        """Return the key by which it is sorted, faster than comparisons."""
        return (self.order_s, self.sequence)

    @property
    def is_waiting(self) -> bool:
        """Return whether the call still waits with this rank."""
        return not self.is_lowered and not self.waiting.is_removed


@dataclass(eq=False, slots=True)
class _RankQueue:
    """Waiting calls of one rank; others stay until they are first."""

    heap: list[_Entry] = field(default_factory=list)
    calls: int = 0
    work_s: float = 0.0

    def first(self) -> _Entry:
        while not self.heap[0].is_waiting:
            heapq.heappop(self.heap)
        return self.heap[0]

    def entries(self) -> list[_Entry]:
        return [entry for entry in self.heap if entry.is_waiting]

    def subtract(self, waiting: WaitingCall) -> None:
        self.calls -= 1
        self.work_s -= waiting.run_s


class WaitOrder:
    """Waiting calls, in the order in which they are to be sent.

    Attributes:
        is_scarce: Whether some waiting call can't start in time, so that rank
            decides.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self.is_scarce = False
        self._ranks: dict[Rank, _RankQueue] = {}
        self._sequence = 0
        self._others_credit_s = 0.0

    def add(self, waiting: WaitingCall, order_s: float) -> None:
        """Add a call.

        Args:
            waiting: The call; what its rank depends on stays as it is.
            order_s: Monotonic time by which it is ordered.
        """
        self._sequence += 1
        queue = self._ranks.setdefault(waiting.rank, _RankQueue())
        heapq.heappush(queue.heap, _Entry(order_s, self._sequence, waiting))
        queue.calls += 1
        queue.work_s += waiting.run_s

    def remove(self, waiting: WaitingCall) -> None:
        """Remove a call that waits."""
        waiting.is_removed = True
        self._subtract(waiting)

    def take(self) -> WaitingCall | None:
        """Remove and return the first call; None if none waits."""
        if not self._ranks:
            self._others_credit_s = 0.0
            return None
        queue = self._ranks[self._next_rank()]
        waiting = queue.first().waiting
        heapq.heappop(queue.heap)
        self._subtract(waiting)
        return waiting

    def lower_late(self, now_s: float) -> None:
        """Lower the rank of the calls that end late by now."""
        for rank in tuple(self._ranks):
            if rank.is_late:
                continue
            for entry in self._ranks[rank].entries():
                if entry.waiting.start_by_s < now_s:
                    self._lower(entry)

    def total(self) -> QueuedWork:
        """Return the work of all waiting calls."""
        return _sum_of(self._ranks.values())

    def ahead_of(self, rank: Rank) -> QueuedWork:
        """Return the work before a new call of a rank under scarcity."""
        return _sum_of(
            queue for other, queue in self._ranks.items() if other <= rank
        )

    def by_time(self) -> list[WaitingCall]:
        """Return the waiting calls in the order while all are in time."""
        entries = sorted(self._entries(), key=_Entry.order)
        return [entry.waiting for entry in entries]

    def in_any_order(self) -> list[WaitingCall]:
        """Return the waiting calls."""
        return [entry.waiting for entry in self._entries()]

    def by_rank(self) -> list[WaitingCall]:
        """Return the waiting calls in the order under scarcity."""
        waiting: list[WaitingCall] = []
        for rank in sorted(self._ranks):
            entries = sorted(self._ranks[rank].entries(), key=_Entry.order)
            waiting.extend(entry.waiting for entry in entries)
        return waiting

    def _entries(self) -> list[_Entry]:
        entries: list[_Entry] = []
        for queue in self._ranks.values():
            entries.extend(queue.entries())
        return entries

    def _next_rank(self) -> Rank:
        if not self.is_scarce or len(self._ranks) == 1:
            return min(self._ranks, key=self._first_entry)
        ranks = sorted(self._ranks)
        other = min(
            ranks[1:], key=lambda rank: (rank.is_late, self._first_entry(rank))
        )
        other_s = self._first_entry(other).waiting.run_s
        if self._others_credit_s + ROUNDING_S >= other_s:
            self._others_credit_s -= other_s
            return other
        first_s = self._first_entry(ranks[0]).waiting.run_s
        self._others_credit_s += first_s * OTHERS_SHARE / (1 - OTHERS_SHARE)
        return ranks[0]

    def _first_entry(self, rank: Rank) -> _Entry:
        return self._ranks[rank].first()

    def _lower(self, entry: _Entry) -> None:
        waiting = entry.waiting
        self._subtract(waiting)
        entry.is_lowered = True
        waiting.is_late = True
        self.add(waiting, entry.order_s)

    def _subtract(self, waiting: WaitingCall) -> None:
        queue = self._ranks[waiting.rank]
        queue.subtract(waiting)
        if not queue.calls:
            self._ranks.pop(waiting.rank)


def _sum_of(queues: Iterable[_RankQueue]) -> QueuedWork:
    calls = 0
    work_s = 0.0
    for queue in queues:
        calls += queue.calls
        work_s += queue.work_s
    return QueuedWork(calls, work_s)
