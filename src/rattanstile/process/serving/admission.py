"""Short queue in front of one target.

Calls of a higher priority are dispatched first. Within a priority,
organisations share the slots by deficit round robin (Shreedhar and Varghese,
1995); the cost of a call is the recent mean cost of its organisation's calls.
A call that can no longer meet its deadline is dropped without being run.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from rattanstile.request.envelope import Call
from rattanstile.request.ids import CallId, NodeId, OrganisationId
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority

QUANTUM = 1.0  # in units of the mean cost of all calls
TRANSACTION_CAPACITY_FACTOR = 2

_HIGHEST_FIRST = tuple(reversed(Priority))


@dataclass(frozen=True, slots=True)
class QueuedCall:
    """A queued call.

    Attributes:
        sender: The node that the reply is sent to.
        deadline_s: Monotonic seconds by which the reply must be sent.
        arrived_s: Monotonic seconds at which the call arrived.
        cost: Slot time of the call relative to the mean of all calls.
    """

    call: Call
    sender: NodeId
    deadline_s: float
    arrived_s: float
    cost: float = 1.0


@dataclass(frozen=True, slots=True)
class DroppedCall:
    """A call that was removed from the queue without being run."""

    queued: QueuedCall
    reason: Reason


@dataclass(slots=True)
class _OrganisationQueue:
    """Queued calls of one organisation at one priority."""

    calls: deque[QueuedCall] = field(default_factory=deque)
    deficit: float = 0.0


class _PriorityLevel:
    """Queued calls of one priority, shared fairly among organisations."""

    def __init__(self) -> None:
        self.length = 0
        self._queues: OrderedDict[OrganisationId, _OrganisationQueue] = (
            OrderedDict()
        )

    def push(self, queued: QueuedCall) -> None:
        organisation = queued.call.organisation
        queue = self._queues.setdefault(organisation, _OrganisationQueue())
        queue.calls.append(queued)
        self.length += 1

    def pop(self) -> QueuedCall:
        while True:
            organisation, queue = next(iter(self._queues.items()))
            cost = queue.calls[0].cost
            if queue.deficit >= cost:
                queue.deficit -= cost
                return self._update_after_removal(
                    organisation, queue.calls.popleft()
                )
            queue.deficit += QUANTUM
            if queue.deficit < cost:
                self._queues.move_to_end(organisation)

    def backlog(self, organisation: OrganisationId) -> float:
        """Return the slot time that an organisation's queued calls will use.

        It is an estimate in units of the mean slot time of all calls.
        """
        calls = self._queues[organisation].calls
        return len(calls) * calls[-1].cost

    def most_backlogged(self) -> OrganisationId:
        return max(self._queues, key=self.backlog)

    def pop_newest(self, organisation: OrganisationId) -> QueuedCall:
        return self._update_after_removal(
            organisation, self._queues[organisation].calls.pop()
        )

    def remove(self, queued: QueuedCall) -> None:
        organisation = queued.call.organisation
        self._queues[organisation].calls.remove(queued)
        self._update_after_removal(organisation, queued)

    def __iter__(self) -> Iterator[QueuedCall]:
        for queue in self._queues.values():
            yield from queue.calls

    def _update_after_removal(
        self, organisation: OrganisationId, queued: QueuedCall
    ) -> QueuedCall:
        self.length -= 1
        queue = self._queues[organisation]
        if not queue.calls:
            self._queues.pop(organisation)
        elif queue.deficit < queue.calls[0].cost:
            self._queues.move_to_end(organisation)
        return queued


class AdmissionQueue:
    """Calls waiting for a free slot of the target."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._levels = {priority: _PriorityLevel() for priority in Priority}

    def __len__(self) -> int:
        """Return the number of queued calls."""
        return sum(level.length for level in self._levels.values())

    def offer(self, queued: QueuedCall, capacity: int) -> DroppedCall | None:
        """Queue a call and return the call dropped to make room, if any.

        A full queue drops a call of the lowest queued priority: the newest one
        of the organisation with the largest backlog in slot time. This may be
        the offered call. A queue that holds only transactions may grow to
        `TRANSACTION_CAPACITY_FACTOR` times its capacity, so that no
        transaction is dropped while other nodes of the service still have
        lookups to drop.

        Args:
            queued: The call that arrived.
            capacity: Maximum number of queued calls.
        """
        self._levels[queued.call.priority].push(queued)
        if len(self) <= capacity:
            return None
        lowest = next(
            priority for priority in Priority if self._levels[priority].length
        )
        if lowest is Priority.TRANSACTION:
            if len(self) <= TRANSACTION_CAPACITY_FACTOR * capacity:
                return None
        level = self._levels[lowest]
        newest = level.pop_newest(level.most_backlogged())
        return DroppedCall(newest, Reason.SHED)

    def take(self) -> QueuedCall | None:
        """Remove and return the next call to dispatch; None if empty."""
        for priority in _HIGHEST_FIRST:
            if self._levels[priority].length:
                return self._levels[priority].pop()
        return None

    def expire(self, now_s: float, service_s: float) -> list[DroppedCall]:
        """Remove and return the calls that can no longer meet their deadline.

        Args:
            now_s: Monotonic seconds.
            service_s: Observed service time of the target in seconds.
        """
        return [
            self._drop(queued, Reason.DEADLINE)
            for queued in self._queued_calls()
            if now_s + service_s > queued.deadline_s
        ]

    def cancel(self, call_id: CallId, attempt: int) -> QueuedCall | None:
        """Remove and return a cancelled attempt; None if not queued."""
        for queued in self._queued_calls():
            if (
                queued.call.call_id == call_id
                and queued.call.attempt == attempt
            ):
                return self._drop(queued, Reason.CANCELLED).queued
        return None

    def _queued_calls(self) -> list[QueuedCall]:
        return [queued for level in self._levels.values() for queued in level]

    def _drop(self, queued: QueuedCall, reason: Reason) -> DroppedCall:
        self._levels[queued.call.priority].remove(queued)
        return DroppedCall(queued, reason)
