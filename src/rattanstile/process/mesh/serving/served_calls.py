"""Pending calls of a node's target, by key and by timeout."""

import heapq
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from rattanstile.connection.target_pool import TargetExchange
from rattanstile.process.mesh.placement.rerun_budget import Reservation
from rattanstile.process.mesh.placement.run_positions import Run
from rattanstile.process.mesh.serving.served_stream import ServedStream
from rattanstile.process.mesh.serving.waiting_call import WaitingCall
from rattanstile.request.exchange import EndingHandler

OVERDUE_MARGIN_S = 0.3
"""Time after its deadline until a call on the target is abandoned.

The target ends the call itself at the deadline, but its answer may be lost.
"""
STREAM_CHECK_S = 1.0


@dataclass(eq=False, slots=True)
class PendingCall:
    """A call that waits or runs.

    Attributes:
        waiting: The call as queued.
        on_end: Called once with the ending.
        exchange: The request to the target; None until it is sent.
        stream: The answer as it arrives, if its parts are passed on.
        reservation: Retry budget reserved for the calls of a repeated run;
            None for other runs.
        run: The run, from when it is sent to the target.
    """

    waiting: WaitingCall
    on_end: EndingHandler
    exchange: TargetExchange | None = None
    stream: ServedStream | None = None
    reservation: Reservation | None = None
    run: Run | None = None

    @property
    def is_streaming(self) -> bool:
        """Return whether parts of the answer have been passed on."""
        return self.stream is not None and self.stream.has_begun


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

    def get(self, key: Hashable) -> PendingCall | None:
        """Return the pending call with the key; None if it has ended."""
        return self._by_key.get(key)

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
        """Remove and yield the calls whose timeout has passed.

        An answer that arrives in parts may take longer; it ends with its
        caller's request, or when the target falls silent.
        """
        while self._timeouts and self._timeouts[0].at_s <= now_s:
            pending = heapq.heappop(self._timeouts).pending
            key = pending.waiting.key
            if self._by_key.get(key) is not pending:
                continue
            stream = pending.stream
            if stream is not None and stream.has_begun:
                if not stream.is_stalled(now_s):
                    self._check_again(now_s, pending)
                    continue
            self._by_key.pop(key)
            yield pending

    def _check_again(self, now_s: float, pending: PendingCall) -> None:
        at_s = now_s + STREAM_CHECK_S
        heapq.heappush(self._timeouts, _Timeout(at_s, pending))
