"""The calls that an entry node has in hand, found by what happens to them."""

from collections.abc import Iterator
from heapq import heappop, heappush

from rattanstile.process.entry.entry_call import EntryCall
from rattanstile.request.ids import CallId, NodeId

_NOBODY = NodeId('')


class CallsInHand:
    """Finds calls by request, by attempt, by receiver and by wake time."""

    def __init__(self) -> None:
        """Start with none."""
        self._calls: dict[int, EntryCall] = {}
        self._outstanding: dict[tuple[CallId, int], EntryCall] = {}
        self._by_receiver: dict[NodeId, dict[int, EntryCall]] = {}
        self._wakes: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return how many calls are in hand."""
        return len(self._calls)

    def take(self, call: EntryCall) -> None:
        """Take a call in."""
        self._calls[call.request.request_id] = call

    def forget(self, call: EntryCall) -> None:
        """Let a call go; its attempts have ended."""
        self.receive_from(call, _NOBODY)
        self._calls.pop(call.request.request_id, None)

    def of_request(self, request_id: int) -> EntryCall | None:
        """Return the call of a request, or None."""
        return self._calls.get(request_id)

    def of_attempt(self, call_id: CallId, attempt: int) -> EntryCall | None:
        """Return the call that waits for the reply to this attempt."""
        return self._outstanding.get((call_id, attempt))

    def of_receiver(self, node_id: NodeId) -> list[EntryCall]:
        """Return the calls that are with a node, or wait to go to it."""
        return list(self._by_receiver.get(node_id, {}).values())

    def attempt_began(self, call: EntryCall) -> None:
        """Have the call found by its attempt."""
        self._outstanding[call.call_id, call.attempt] = call

    def attempt_ended(self, call: EntryCall) -> None:
        """Drop whatever reply still comes to the attempt."""
        self._outstanding.pop((call.call_id, call.attempt), None)

    def receive_from(self, call: EntryCall, node_id: NodeId) -> None:
        """Set the node that the call is with; an empty id for none."""
        request_id = call.request.request_id
        known = self._by_receiver.get(call.receiver, {})
        known.pop(request_id, None)
        if not known:
            self._by_receiver.pop(call.receiver, None)
        call.receiver = node_id
        if node_id:
            self._by_receiver.setdefault(node_id, {})[request_id] = call

    def wake_at(self, call: EntryCall, wake_s: float) -> None:
        """Set when the call is due, in place of any earlier time."""
        if call.wake_s == wake_s:
            return
        call.wake_s = wake_s
        heappush(self._wakes, (wake_s, call.request.request_id))

    def next_wake_s(self) -> float | None:
        """Return when the next call is due, or None while none waits."""
        while self._wakes:
            wake_s, request_id = self._wakes[0]
            call = self._calls.get(request_id)
            if call is not None and call.wake_s == wake_s:
                return wake_s
            heappop(self._wakes)
        return None

    def due(self, now_s: float) -> Iterator[EntryCall]:
        """Yield the calls that are due, each after the one before is done."""
        wake_s = self.next_wake_s()
        while wake_s is not None and wake_s <= now_s:
            _, request_id = heappop(self._wakes)
            call = self._calls[request_id]
            call.wake_s = 0
            yield call
            wake_s = self.next_wake_s()
