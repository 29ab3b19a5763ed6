"""Buffer of the last accepted records, for forwarding to peers."""

from collections import deque
from collections.abc import Iterable

from rattanstile.request.ids import VersionNumber
from rattanstile.version.records import AcceptedRecord

MAX_BUFFERED_RECORDS = 256
MAX_FORWARDED_RECORDS = 32


class AcceptedRecordBuffer:
    """The last accepted records in version order, possibly with gaps."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: deque[AcceptedRecord] = deque(
            maxlen=MAX_BUFFERED_RECORDS
        )

    def extend(self, accepted: Iterable[AcceptedRecord]) -> None:
        """Add records; the oldest are dropped when the buffer is full."""
        self._records.extend(accepted)

    def between(
        self, older: VersionNumber, newer: VersionNumber
    ) -> tuple[AcceptedRecord, ...]:
        """Return the records that lead from one version to another.

        Returns:
            An empty tuple if one of them is missing, or if there are more
            than `MAX_FORWARDED_RECORDS`.
        """
        newer_records = tuple(
            record
            for record in self._records
            if record.accepted.version > older
        )
        is_complete = len(newer_records) == newer - older
        return (
            newer_records
            if is_complete and len(newer_records) <= MAX_FORWARDED_RECORDS
            else ()
        )
