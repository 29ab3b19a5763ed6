"""A fake of the platform's log that loses answers and falls behind."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from random import Random

from rattanstile.process.entry.binding import (
    AppendCompleted,
    AppendUnconfirmed,
    AppendRecord,
    AppendFailed,
    ReadFailed,
    ReadStream,
    ReadCompleted,
)


class Loop:
    """A virtual clock with the events to come."""

    def __init__(self) -> None:
        """Start at zero."""
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Have an event happen later."""
        at_s = self.now_s + delay_s
        heappush(self._events, (at_s, next(self._order), event))

    def run(self, until_s: float, is_over: Callable[[], bool]) -> None:
        """Let the events happen until it is over."""
        while self._events and not is_over():
            at_s, _, event = heappop(self._events)
            if at_s > until_s:
                return
            self.now_s = at_s
            event()


class Log:
    """The platform's log: down at times, answers lost, replicas behind."""

    def __init__(self, loop: Loop, rng: Random) -> None:
        """Start empty and up."""
        self._loop = loop
        self._rng = rng
        self._streams: dict[str, list[bytes]] = {}
        self.is_down = False

    def append(
        self, wanted: AppendRecord, answer: Callable[[object], None]
    ) -> None:
        """Append, and answer truly unless the answer is lost."""
        fate = self._rng.random()
        if self.is_down:
            refused = AppendFailed(wanted.record_id)
            self._loop.after(0.005, lambda: answer(refused))
        elif fate < 0.15:
            self._loop.after(0.3, lambda: answer(AppendUnconfirmed(wanted.record_id)))
            if fate < 0.1:
                late_s = self._rng.choice((0.002, 0.6))
                self._loop.after(late_s, lambda: self._take(wanted))
        else:
            self._loop.after(
                0.005,
                lambda: self._answer_later(
                    answer, AppendCompleted(wanted.record_id, self._take(wanted))
                ),
            )

    def _answer_later(
        self, answer: Callable[[object], None], message: object
    ) -> None:
        delay_s = self._rng.uniform(0.001, 0.02)
        self._loop.after(delay_s, lambda: answer(message))

    def _take(self, wanted: AppendRecord) -> int:
        records = self._streams.setdefault(wanted.stream, [])
        records.append(wanted.record)
        return len(records) - 1

    def read(
        self, wanted: ReadStream, answer: Callable[[object], None]
    ) -> None:
        """Give the records that a replica has."""
        if self.is_down:
            self._loop.after(0.005, lambda: answer(ReadFailed(wanted.stream)))
            return
        records = self._streams.get(wanted.stream, [])
        seen = records
        if self._rng.random() < 0.2:
            seen = records[: self._rng.randint(0, len(records))]
        read = ReadCompleted(
            stream=wanted.stream,
            first=wanted.from_offset,
            records=tuple(seen[wanted.from_offset :]),
            oldest=0,
            next_offset=len(seen),
        )
        self._loop.after(0.005, lambda: answer(read))
