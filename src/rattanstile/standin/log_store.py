"""Streams of the log stand-in, kept in memory."""

from collections import deque
from dataclasses import dataclass

import msgspec

DEFAULT_RETENTION_RECORDS = 100_000
DEFAULT_RETENTION_S = 86_400.0


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a read.

    Attributes:
        first_offset: Offset of the first of the records.
        oldest_offset: Oldest offset that is still kept.
        next_offset: Offset that the next record appended will get.
    """

    first_offset: int
    records: tuple[bytes, ...] = ()
    oldest_offset: int = 0
    next_offset: int = 0


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an append."""

    offset: int


@dataclass(frozen=True, slots=True)
class Retention:
    """How long a stream keeps its records."""

    records: int = DEFAULT_RETENTION_RECORDS
    seconds_s: float = DEFAULT_RETENTION_S


class Stream:
    """An append-only list of records of which the oldest are dropped."""

    def __init__(self, retention: Retention) -> None:
        """Start empty."""
        self._retention = retention
        self._kept: deque[tuple[float, bytes]] = deque()
        self._oldest = 0

    @property
    def next_offset(self) -> int:
        """Offset that the next record will get."""
        return self._oldest + len(self._kept)

    def append(self, now_s: float, record: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self._kept.append((now_s, record))
        self.drop_old(now_s)
        return offset

    def drop_old(self, now_s: float) -> None:
        """Drop the records that are past retention."""
        while self._kept and self._is_past(now_s):
            self._kept.popleft()
            self._oldest += 1

    def read(
        self, from_offset: int, limit: int, lag_records: int = 0
    ) -> LogPage:
        """Return the records from an offset on, as a replica sees them."""
        next_offset = max(self._oldest, self.next_offset - lag_records)
        first = max(from_offset, self._oldest)
        last = min(next_offset, first + limit)
        return LogPage(
            first_offset=first,
            records=tuple(
                self._kept[place - self._oldest][1]
                for place in range(first, last)
            ),
            oldest_offset=self._oldest,
            next_offset=next_offset,
        )

    def _is_past(self, now_s: float) -> bool:
        age_s = now_s - self._kept[0][0]
        return (
            len(self._kept) > self._retention.records
            or age_s > self._retention.seconds_s
        )
