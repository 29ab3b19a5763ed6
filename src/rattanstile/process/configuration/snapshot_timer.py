"""When a reader of the log appends a snapshot of the configuration."""

from random import Random

from rattanstile.process.configuration.relay_messages import LogRead
from rattanstile.version.fold import Fold
from rattanstile.version.records import SnapshotRecord

SNAPSHOT_AFTER_RECORDS = 2_000
SNAPSHOT_PERIOD_S = 3_600.0
SNAPSHOT_JITTER_S = 60.0


class SnapshotTimer:
    """Tells when a snapshot is due; whoever appends first spares the others.

    Both limits lie well below the retention of the log. Two snapshots of one
    version do no harm, so the readers need no election, only different
    delays.

    Args:
        random: Spreads the readers.
        after_records: Records since the last snapshot that make one due.
        period_s: Time since the last snapshot that makes one due.
    """

    def __init__(
        self,
        random: Random,
        after_records: int = SNAPSHOT_AFTER_RECORDS,
        period_s: float = SNAPSHOT_PERIOD_S,
    ) -> None:
        """Start as if a snapshot had just been seen."""
        self._random = random
        self._after_records = after_records
        self._period_s = period_s
        self._records = 0
        self._due_s: float | None = None

    def see_records(self, now_s: float, read: LogRead) -> None:
        """Count records read and notice snapshots among them."""
        for record in read.records:
            self._records += 1
            if isinstance(record, SnapshotRecord):
                self._start_over(now_s)
        if self._records > self._after_records:
            soon_s = now_s + self._jitter_s()
            self._due_s = min(self._due_s or soon_s, soon_s)

    def is_due(self, now_s: float, fold: Fold) -> bool:
        """Tell, once for each time it is due, that a snapshot is wanted."""
        if self._due_s is None:
            self._start_over(now_s)
        due = now_s >= (self._due_s or 0.0)
        if not due or not fold.verified or not fold.version:
            return False
        self._start_over(now_s)
        return True

    def _start_over(self, now_s: float) -> None:
        self._records = 0
        self._due_s = now_s + self._period_s + self._jitter_s()

    def _jitter_s(self) -> float:
        return self._random.uniform(0, SNAPSHOT_JITTER_S)
