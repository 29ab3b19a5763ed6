"""Short queue in front of one target.

Priority comes first. Within a priority, organisations take turns by deficit
round robin (Shreedhar and Varghese, 1995), where a call costs what its
organisation's calls have cost lately. A call that can no longer meet its
deadline leaves unrun.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from rattanstile.request.envelope import Call
from rattanstile.request.ids import CallId, NodeId, OrganisationId
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority

QUANTUM = 1.0
TRANSACTION_ROOM = 2

_HIGHEST_FIRST = tuple(reversed(Priority))


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A call that waits.

    Attributes:
        sender: The node that gets the reply.
        deadline_s: Monotonic seconds by which the answer must be out.
        cost: Slot time of the call relative to the mean of all calls.
    """

    call: Call
    sender: NodeId
    deadline_s: float
    arrived_s: float
    cost: float = 1.0


@dataclass(frozen=True, slots=True)
class DroppedCall:
    """A call that left the queue unrun."""

    queued: QueuedCall
    reason: Reason


@dataclass(slots=True)
class _Lane:
    """Calls of one organisation within one priority."""

    calls: deque[QueuedCall] = field(default_factory=deque)
    deficit: float = 0.0


class _Level:
    """Calls of one priority, fair by organisation."""

    def __init__(self) -> None:
        self.length = 0
        self._lanes: OrderedDict[OrganisationId, _Lane] = OrderedDict()

    def push(self, queued: QueuedCall) -> None:
        organisation = queued.call.organisation
        lane = self._lanes.setdefault(organisation, _Lane())
        lane.calls.append(queued)
        self.length += 1

    def pop(self) -> QueuedCall:
        while True:
            organisation, lane = next(iter(self._lanes.items()))
            cost = lane.calls[0].cost
            if lane.deficit >= cost:
                lane.deficit -= cost
                return self._take(organisation, lane.calls.popleft())
            lane.deficit += QUANTUM
            if lane.deficit < cost:
                self._lanes.move_to_end(organisation)

    def waiting(self, organisation: OrganisationId) -> float:
        """Return the slot time that an organisation's calls wait for."""
        calls = self._lanes[organisation].calls
        return len(calls) * calls[-1].cost

    def longest(self) -> OrganisationId:
        return max(self._lanes, key=self.waiting)

    def pop_newest(self, organisation: OrganisationId) -> QueuedCall:
        return self._take(organisation, self._lanes[organisation].calls.pop())

    def remove(self, queued: QueuedCall) -> None:
        organisation = queued.call.organisation
        self._lanes[organisation].calls.remove(queued)
        self._take(organisation, queued)

    def __iter__(self) -> Iterator[QueuedCall]:
        for lane in self._lanes.values():
            yield from lane.calls

    def _take(self, organisation: OrganisationId, queued: QueuedCall) -> QueuedCall:
        self.length -= 1
        lane = self._lanes[organisation]
        if not lane.calls:
            self._lanes.pop(organisation)
        elif lane.deficit < lane.calls[0].cost:
            self._lanes.move_to_end(organisation)
        return queued


class AdmissionQueue:
    """Calls that wait for a slot of the target."""

    def __init__(self) -> None:
        """Begin empty."""
        self._levels = {one: _Level() for one in Priority}

    def __len__(self) -> int:
        """Return how many calls wait."""
        return sum(level.length for level in self._levels.values())

    def offer(self, queued: QueuedCall, capacity: int) -> DroppedCall | None:
        """Queue a call; return the call that had to go, if any.

        A full queue drops the newest call of the lowest priority, of the
        organisation that has most slot time waiting; this may be the call
        offered. Transactions alone may wait in larger number, so that none is
        dropped while other nodes of the service still have lookups to drop.

        Args:
            queued: The call that arrived.
            capacity: Most calls that may wait now.
        """
        self._levels[queued.call.priority].push(queued)
        if len(self) <= capacity:
            return None
        lowest = next(one for one in Priority if self._levels[one].length)
        if lowest is Priority.TRANSACTION:
            if len(self) <= TRANSACTION_ROOM * capacity:
                return None
        level = self._levels[lowest]
        victim = level.pop_newest(level.longest())
        return DroppedCall(victim, Reason.SHED)

    def take(self) -> QueuedCall | None:
        """Take the call that is next in turn, or None when none waits."""
        for priority in _HIGHEST_FIRST:
            if self._levels[priority].length:
                return self._levels[priority].pop()
        return None

    def expire(self, now_s: float, service_s: float) -> list[DroppedCall]:
        """Remove the calls whose deadline can't be met any more.

        Args:
            now_s: Monotonic seconds.
            service_s: Observed service time of the target in seconds.
        """
        return [
            self._drop(one, Reason.DEADLINE)
            for one in self._all()
            if now_s + service_s > one.deadline_s
        ]

    def cancel(self, call_id: CallId, attempt: int) -> QueuedCall | None:
        """Remove an attempt that its caller gave up; None if not queued."""
        for one in self._all():
            if one.call.call_id == call_id and one.call.attempt == attempt:
                return self._drop(one, Reason.CANCELLED).queued
        return None

    def _all(self) -> list[QueuedCall]:
        return [one for level in self._levels.values() for one in level]

    def _drop(self, queued: QueuedCall, reason: Reason) -> DroppedCall:
        self._levels[queued.call.priority].remove(queued)
        return DroppedCall(queued, reason)
