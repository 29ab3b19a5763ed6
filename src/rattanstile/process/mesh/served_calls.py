"""The calls that a node has in hand for its target, by key and by time."""

import heapq
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field

from rattanstile.connection.target_pool import TargetExchange
from rattanstile.process.mesh.target_gate import WaitingCall
from rattanstile.request.exchange import EndingHandler

OVERDUE_S = 0.3
"""A target answers by itself at the deadline; its answer may be lost."""


@dataclass(eq=False, slots=True)
class ServedInHand:
    """A call in hand.

    Attributes:
        exchange: None until the target has it.
    """

    waiting: WaitingCall
    ended: EndingHandler
    exchange: TargetExchange | None = None


@dataclass(order=True, slots=True)
class _Overdue:
    """When a call on the target is given up."""

    at_s: float
    served: ServedInHand = field(compare=False)


class ServedCalls:
    """Calls between their arrival at a node and their end."""

    def __init__(self) -> None:
        """Begin without calls."""
        self._by_key: dict[Hashable, ServedInHand] = {}
        self._overdue: list[_Overdue] = []

    def __len__(self) -> int:
        """Return how many calls wait or run."""
        return len(self._by_key)

    def __getitem__(self, key: Hashable) -> ServedInHand:
        """Return a call."""
        return self._by_key[key]

    def add(self, served: ServedInHand) -> None:
        """Take a call."""
        self._by_key[served.waiting.key] = served

    def pop(self, key: Hashable) -> ServedInHand | None:
        """Drop a call; None when it has ended."""
        return self._by_key.pop(key, None)

    def keys_of(self, owner: Hashable) -> list[Hashable]:
        """Return the keys of the calls that came in on one connection."""
        return [
            key
            for key in self._by_key
            if isinstance(key, tuple) and key[0] is owner
        ]

    def runs(self, served: ServedInHand) -> None:
        """Note when a call that goes to the target now is given up."""
        at_s = served.waiting.deadline_s + OVERDUE_S
        heapq.heappush(self._overdue, _Overdue(at_s, served))

    def overdue(self, now_s: float) -> Iterator[ServedInHand]:
        """Drop and yield the calls that the target should have ended."""
        while self._overdue and self._overdue[0].at_s <= now_s:
            served = heapq.heappop(self._overdue).served
            key = served.waiting.key
            if self._by_key.get(key) is served:
                self._by_key.pop(key)
                yield served
