"""In-memory streams of the log stand-in."""

from collections import deque
from dataclasses import dataclass

import msgspec

DEFAULT_RETENTION_RECORDS = 100_000
DEFAULT_RETENTION_S = 86_400.0


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Response to a read.

    Attributes:
        first_offset: Offset of the first record in `records`.
        oldest_offset: Oldest offset within retention.
        next_offset: Offset of the next record, as the replica sees it.
    """

    first_offset: int
    records: tuple[bytes, ...] = ()
    oldest_offset: int = 0
    next_offset: int = 0


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Response to an append."""

    offset: int


@dataclass(frozen=True, slots=True)
class Retention:
    """Highest number and age of the records that a stream keeps."""

    records: int = DEFAULT_RETENTION_RECORDS
    max_age_s: float = DEFAULT_RETENTION_S


class Stream:
    """Append-only sequence of records, without those past retention."""

    def __init__(self, retention: Retention) -> None:
        """Initialize without records."""
        self._retention = retention
        self._records: deque[tuple[float, bytes]] = deque()
        self._oldest_offset = 0

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self._oldest_offset + len(self._records)

    def append(self, now_s: float, record: bytes) -> int:
        """Append a record and return its offset."""
        offset = self.next_offset
        self._records.append((now_s, record))
        self.drop_old(now_s)
        return offset

    def drop_old(self, now_s: float) -> None:
        """Drop the records that are past retention."""
        while self._records and self._is_oldest_expired(now_s):
            self._records.popleft()
            self._oldest_offset += 1

    def read(
        self, from_offset: int, max_records: int, lag_records: int = 0
    ) -> LogPage:
        """Return records from an offset on, as a lagging replica sees them.

        Args:
            from_offset: First offset to read.
            max_records: Highest number of records to return.
            lag_records: Number of newest records that the replica lacks.
        """
        next_offset = max(self._oldest_offset, self.next_offset - lag_records)
        first = max(from_offset, self._oldest_offset)
        last = min(next_offset, first + max_records)
        return LogPage(
            first_offset=first,
            records=tuple(
                self._records[offset - self._oldest_offset][1]
                for offset in range(first, last)
            ),
            oldest_offset=self._oldest_offset,
            next_offset=next_offset,
        )

    def _is_oldest_expired(self, now_s: float) -> bool:
        age_s = now_s - self._records[0][0]
        return (
            len(self._records) > self._retention.records
            or age_s > self._retention.max_age_s
        )
