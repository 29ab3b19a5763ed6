"""Index of the calls in flight at an entry node."""

from collections.abc import Iterator
from heapq import heappop, heappush

from rattanstile.process.entry.entry_call import EntryCall
from rattanstile.request.ids import CallId, NodeId

_NO_NODE = NodeId('')


class CallsInFlight:
    """Index of calls by request, attempt, receiver and wake time."""

    def __init__(self) -> None:
        """Start with no calls."""
        self._calls: dict[int, EntryCall] = {}
        self._outstanding: dict[tuple[CallId, int], EntryCall] = {}
        self._by_receiver: dict[NodeId, dict[int, EntryCall]] = {}
        self._wake_heap: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._calls)

    def add(self, call: EntryCall) -> None:
        """Add a call."""
        self._calls[call.request.request_id] = call

    def remove(self, call: EntryCall) -> None:
        """Remove a call that has no outstanding attempt."""
        self.set_receiver(call, _NO_NODE)
        self._calls.pop(call.request.request_id, None)

    def of_request(self, request_id: int) -> EntryCall | None:
        """Return the call of a request, or None if there is none."""
        return self._calls.get(request_id)

    def of_attempt(self, call_id: CallId, attempt: int) -> EntryCall | None:
        """Return the call that waits for the reply to an attempt, if any."""
        return self._outstanding.get((call_id, attempt))

    def of_receiver(self, node_id: NodeId) -> list[EntryCall]:
        """Return the calls that were sent to a node or wait to be sent."""
        return list(self._by_receiver.get(node_id, {}).values())

    def add_attempt(self, call: EntryCall) -> None:
        """Register the current attempt of a call, to match its reply."""
        self._outstanding[call.call_id, call.attempt] = call

    def remove_attempt(self, call: EntryCall) -> None:
        """Unregister the current attempt, so that a late reply is ignored."""
        self._outstanding.pop((call.call_id, call.attempt), None)

    def set_receiver(self, call: EntryCall, node_id: NodeId) -> None:
        """Set the receiver of a call; an empty node id means no receiver."""
        request_id = call.request.request_id
        receiver_calls = self._by_receiver.get(call.receiver, {})
        receiver_calls.pop(request_id, None)
        if not receiver_calls:
            self._by_receiver.pop(call.receiver, None)
        call.receiver = node_id
        if node_id:
            self._by_receiver.setdefault(node_id, {})[request_id] = call

    def wake_at(self, call: EntryCall, wake_s: float) -> None:
        """Set the wake time of a call, replacing any previous one."""
        if call.wake_s == wake_s:
            return
        call.wake_s = wake_s
        heappush(self._wake_heap, (wake_s, call.request.request_id))

    def next_wake_s(self) -> float | None:
        """Return the earliest wake time, or None if no call has one."""
        while self._wake_heap:
            wake_s, request_id = self._wake_heap[0]
            call = self._calls.get(request_id)
            if call is not None and call.wake_s == wake_s:
                return wake_s
            heappop(self._wake_heap)
        return None

    def due(self, now_s: float) -> Iterator[EntryCall]:
        """Yield the calls whose wake time has passed.

        The next call is looked up only after the previous one was handled,
        so wake times that are set meanwhile are taken into account.
        """
        wake_s = self.next_wake_s()
        while wake_s is not None and wake_s <= now_s:
            _, request_id = heappop(self._wake_heap)
            call = self._calls[request_id]
            call.wake_s = 0
            yield call
            wake_s = self.next_wake_s()
