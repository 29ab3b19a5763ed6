"""When a reader of the log appends a snapshot of the configuration."""

from random import Random

from rattanstile.process.configuration.relay_messages import LogRead
from rattanstile.version.fold import Fold
from rattanstile.version.records import SnapshotRecord

SNAPSHOT_AFTER_RECORDS = 2_000
SNAPSHOT_PERIOD_S = 3_600.0
SNAPSHOT_JITTER_S = 60.0


class SnapshotTimer:
    """Decides when a snapshot is due.

    Each snapshot read from the log restarts the timer, so the first reader to
    append one saves the others from doing so. Both limits are well below the
    retention of the log. Two snapshots of one version are harmless, so the
    readers need no election, only different delays.

    Args:
        random: Gives each reader a different delay.
        after_records: Records since the last snapshot after which one is due.
        period_s: Time since the last snapshot after which one is due.
    """

    def __init__(
        self,
        random: Random,
        after_records: int = SNAPSHOT_AFTER_RECORDS,
        period_s: float = SNAPSHOT_PERIOD_S,
    ) -> None:
        """Start as if a snapshot had just been read."""
        self._random = random
        self._after_records = after_records
        self._period_s = period_s
        self._records = 0
        self._due_s: float | None = None

    def count_records(self, now_s: float, read: LogRead) -> None:
        """Count the records read; a snapshot among them restarts the timer."""
        for record in read.records:
            self._records += 1
            if isinstance(record, SnapshotRecord):
                self._restart(now_s)
        if self._records > self._after_records:
            soon_s = now_s + self._jitter_s()
            self._due_s = min(self._due_s or soon_s, soon_s)

    def is_due(self, now_s: float, fold: Fold) -> bool:
        """Return whether a snapshot is due; if so, restart the timer."""
        if self._due_s is None:
            self._restart(now_s)
        due = now_s >= (self._due_s or 0.0)
        if not due or not fold.verified or not fold.version:
            return False
        self._restart(now_s)
        return True

    def _restart(self, now_s: float) -> None:
        self._records = 0
        self._due_s = now_s + self._period_s + self._jitter_s()

    def _jitter_s(self) -> float:
        return self._random.uniform(0, SNAPSHOT_JITTER_S)
