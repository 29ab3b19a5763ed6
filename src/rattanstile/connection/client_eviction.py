"""Which connections give way when a listener has no room for another.

Addresses crowds whose connections stay open with requests that don't end.
Idle connections go first, then unfinished requests: those without progress
before others, and among them those of the address or key that has the most.
A request that was read completely stays until it is answered; a caller that
doesn't read its answer comes last.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Any

MIN_BYTES_PER_S = 1024
"""Progress below which an unfinished request is stalled. Only near a limit:
otherwise a body may take all of its timeout."""
STALLED_AFTER_S = 1.0
UNREAD_AFTER_S = 0.5
"""Time without progress after which the rest of an answer is given up, near a
limit only: otherwise callers may read late."""


@unique
class ClientState(Enum):
    """What a connection is doing.

    Attributes:
        REFUSED: It was accepted and closed, as none could give way.
    """

    IDLE = 'idle'
    UNFINISHED = 'unfinished'
    UNREAD = 'unread'
    BUSY = 'busy'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class ClientView:
    """A connection, as far as the choice depends on it.

    Attributes:
        connection: The connection.
        since_s: When it became idle, the request began, or the answer was
            last taken from.
        last_received_s: When the last bytes arrived.
        received_bytes: Bytes of the unfinished request.
        is_in_head: Whether its head is unfinished.
        address: Address of the client.
        key: Value of its authorization header; empty for none.
    """

    connection: Any
    state: ClientState
    since_s: float
    last_received_s: float = 0.0
    received_bytes: int = 0
    is_in_head: bool = False
    address: str = ''
    key: bytes = b''


@dataclass(frozen=True, slots=True)
class EvictionRules:
    """When a request has too little progress.

    Attributes:
        head_timeout_s: Time that a head may take.
        min_bytes_per_s: Progress of an unfinished request.
    """

    head_timeout_s: float
    min_bytes_per_s: float = MIN_BYTES_PER_S


def evict_for_descriptor(
    views: Iterable[ClientView], now_s: float, rules: EvictionRules
) -> list[ClientView]:
    """Return the connections that may be closed, the first ones first."""
    every = tuple(views)
    idle = [view for view in every if view.state is ClientState.IDLE]
    idle.sort(key=lambda view: view.since_s)
    return [
        *idle,
        *_unfinished(every, now_s, rules),
        *_unread(every, now_s),
    ]


def evict_for_memory(
    views: Iterable[ClientView], now_s: float, rules: EvictionRules
) -> list[ClientView]:
    """Return the connections to close for memory, the first ones first.

    Requests that make progress stay: they would give way to each other.
    """
    every = tuple(views)
    stalled = [
        view
        for view in _unfinished(every, now_s, rules)
        if is_stalled(view, now_s, rules)
    ]
    return [*stalled, *_unread(every, now_s)]


def evict_unread(views: Iterable[ClientView], now_s: float) -> list[ClientView]:
    """Return the connections whose answers are not read.

    Answers in parts keep their calls at the target, whose slots then lack for
    callers that read.
    """
    return _unread(tuple(views), now_s)


def is_stalled(view: ClientView, now_s: float, rules: EvictionRules) -> bool:
    """Return whether an unfinished request makes too little progress."""
    age_s = now_s - view.since_s
    if view.is_in_head and age_s > rules.head_timeout_s:
        return True
    if now_s - view.last_received_s > STALLED_AFTER_S:
        return True
    return age_s > STALLED_AFTER_S and (
        view.received_bytes < rules.min_bytes_per_s * age_s
    )


def _unfinished(
    views: tuple[ClientView, ...], now_s: float, rules: EvictionRules
) -> list[ClientView]:
    unfinished = [
        view for view in views if view.state is ClientState.UNFINISHED
    ]
    addresses = Counter(view.address for view in unfinished)
    keys = Counter(view.key for view in unfinished if view.key)

    def order(view: ClientView) -> tuple[bool, int, int, float]:
        return (
            not is_stalled(view, now_s, rules),
            -addresses[view.address],
            -keys[view.key],
            view.since_s,
        )

    return sorted(unfinished, key=order)


def _unread(views: tuple[ClientView, ...], now_s: float) -> list[ClientView]:
    unread = [
        view
        for view in views
        if view.state is ClientState.UNREAD
        and now_s - view.since_s > UNREAD_AFTER_S
    ]
    return sorted(unread, key=lambda view: view.since_s)
