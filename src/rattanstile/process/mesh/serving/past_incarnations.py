"""Incarnations of a target that are over, whose messages may still arrive.

A message may be seconds late, the clock of the VM may have been set back
between two incarnations, and a target may start again under the ID that it
had. An incarnation is therefore remembered as what it is, and not merely as
what started before another one.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.request.ids import TargetId

MAX_LATENESS_S = 30.0
"""Messages of a target arrive at most this late."""
MAX_PAST_INCARNATIONS = 64


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a target.

    Attributes:
        target_id: Usually differs between incarnations; empty for none.
        born_ms: Start by the target's clock; 0 if it is not known.
    """

    target_id: TargetId
    born_ms: int


NO_INCARNATION = Incarnation(TargetId(''), 0)


@dataclass(frozen=True, slots=True)
class TargetDeparture:
    """An incarnation of a target that deregistered or began to drain.

    Attributes:
        born_ms: Start of the incarnation by the target's clock.
        is_latest: Whether the start is not known, and `born_ms` the time of
            the departure: the incarnation started then or earlier.
    """

    target_id: TargetId
    born_ms: int
    is_latest: bool = False


NO_DEPARTURE = TargetDeparture(TargetId(''), 0)


@unique
class PastKind(Enum):
    """Why an incarnation is over."""

    DEPARTED = 'departed'
    REPLACED = 'replaced'
    DOUBTFUL = 'doubtful'
    """Replaced by one that seems to have started before it."""


@dataclass(frozen=True, slots=True)
class _PastIncarnation:
    departure: TargetDeparture
    kind: PastKind
    since_s: float

    def includes(
        self, now_s: float, incarnation: Incarnation, *, is_born_ahead: bool
    ) -> bool:
        """Return whether an incarnation that announces itself is this one."""
        if incarnation.target_id != self.departure.target_id:
            return False
        is_exact = incarnation.born_ms == self.departure.born_ms
        is_recent = now_s - self.since_s <= MAX_LATENESS_S
        if self.kind is not PastKind.DEPARTED:
            return is_exact and is_recent
        if is_exact:
            return True
        is_possible = incarnation.born_ms < self.departure.born_ms or (
            self.departure.is_latest and is_born_ahead
        )
        return is_possible and is_recent


class PastIncarnations:
    """Remembers the last incarnations that are over."""

    def __init__(self) -> None:
        """Initialize without any."""
        self._past: deque[_PastIncarnation] = deque(
            maxlen=MAX_PAST_INCARNATIONS
        )

    def add_departure(self, now_s: float, departure: TargetDeparture) -> None:
        """Remember an incarnation that deregistered or began to drain."""
        self._add(_PastIncarnation(departure, PastKind.DEPARTED, now_s))

    def add_replaced(
        self, now_s: float, incarnation: Incarnation, *, is_doubtful: bool
    ) -> None:
        """Remember an incarnation whose place another one has taken.

        Args:
            incarnation: Not remembered unless its start is known.
            is_doubtful: Whether the other one seems to have started before.
        """
        if not incarnation.born_ms:
            return
        kind = PastKind.DOUBTFUL if is_doubtful else PastKind.REPLACED
        replaced = TargetDeparture(incarnation.target_id, incarnation.born_ms)
        if not any(
            past.departure == replaced and past.kind is PastKind.DEPARTED
            for past in self._past
        ):
            self._add(_PastIncarnation(replaced, kind, now_s))

    def forget_replaced(self, target_id: TargetId) -> None:
        """Forget that others took the place of a target, as it answers."""
        kept = [
            past
            for past in self._past
            if past.kind is PastKind.DEPARTED
            or past.departure.target_id != target_id
        ]
        self._past = deque(kept, maxlen=MAX_PAST_INCARNATIONS)

    def kind_of(
        self, now_s: float, incarnation: Incarnation, *, is_born_ahead: bool
    ) -> PastKind | None:
        """Return why an incarnation is over; None if it isn't known to be.

        Args:
            is_born_ahead: Whether its start lies ahead of the VM's clock.
        """
        kinds = {
            past.kind
            for past in self._past
            if past.includes(now_s, incarnation, is_born_ahead=is_born_ahead)
        }
        return next((kind for kind in PastKind if kind in kinds), None)

    def has_left(self, target_id: TargetId) -> bool:
        """Return whether an incarnation with an ID is known to have left."""
        return any(
            past.kind is PastKind.DEPARTED
            and past.departure.target_id == target_id
            for past in self._past
        )

    def _add(self, added: _PastIncarnation) -> None:
        """Add one in place of what is known of the same incarnation."""
        for past in tuple(self._past):
            is_same = (
                past.departure.target_id == added.departure.target_id
                and past.departure.born_ms == added.departure.born_ms
            )
            if is_same:
                self._past.remove(past)
        self._past.append(added)
