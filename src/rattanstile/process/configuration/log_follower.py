"""Follows the configuration stream: when to read, and what a read proves."""

from random import Random

from rattanstile.process.configuration.freshness import NEVER_S, Freshness
from rattanstile.process.configuration.relay_messages import (
    AppendMark,
    LogRead,
    LogReadFailed,
    LogReadTooOld,
    MarkAppended,
    ReadLog,
)
from rattanstile.request.ids import LogOffset
from rattanstile.version.fold import Fold
from rattanstile.version.records import AcceptedRecord

READ_WAIT_S = 0.5
SLOW_AFTER_S = 0.7
PROBE_PERIOD_S = 0.5
MAX_PENDING_READS = 16
VOUCHED_FOR_S = 0.6
MARK_PERIOD_S = 0.5
MARK_TIMEOUT_S = 2.0
RETRY_MIN_S = 0.15
RETRY_MAX_S = 0.4


class LogFollower:
    """Decides reads of the log and folds what they bring.

    A read that ends at the highest offset ever heard of proves, for the
    moment it was sent, that nothing newer was accepted. One that ends lower
    was answered by an old replica and proves nothing. A read that failed, or
    hangs for `SLOW_AFTER_S` beyond its wait, shows the log as out of hearing
    when it was sent; while one hangs, more are sent beside it, since a slow
    log must not keep a new version from being read.

    A reader can't tell an old replica that stands still from a log that does.
    So a read counts only as long as something else vouches for the end of the
    stream: a node of another failure domain that reads the log too, or, where
    none is heard, a mark appended by the reader itself.

    Args:
        fold: Shared with the relay.
        freshness: Collects the evidence.
        random: Spreads retries.

    Attributes:
        outage_s: When the last read was sent that failed or hangs.
    """

    def __init__(
        self,
        fold: Fold,
        freshness: Freshness,
        random: Random,
    ) -> None:
        """Start without any read."""
        self.outage_s = NEVER_S
        self._fold = fold
        self._freshness = freshness
        self._random = random
        self._log_end = LogOffset(0)
        self._next_offset = LogOffset(0)
        self._read_id = 0
        self._pending: dict[int, tuple[float, float]] = {}
        self._next_read_s = NEVER_S
        self._vouched_s = NEVER_S
        self._needs_voucher = False
        self._read_s = NEVER_S
        self._mark_id = 0
        self._mark_sent_s = NEVER_S
        self._mark_pending = False

    @property
    def log_end(self) -> LogOffset:
        """Highest end of the stream ever heard of."""
        return self._log_end

    def observe_log_end(self, log_end: LogOffset) -> None:
        """Learn from a peer how far the stream reaches."""
        self._log_end = max(self._log_end, log_end)

    def require_confirmation(self, needed: bool) -> None:
        """Set whether there is another failure domain to vouch."""
        self._needs_voucher = needed

    def confirm_log_end(self, at_s: float) -> None:
        """Learn that a reader elsewhere knew no higher end at a time."""
        self._vouched_s = max(self._vouched_s, at_s)

    def due_marks(self, now_s: float) -> list[AppendMark]:
        """Return the mark that is due, if any."""
        vouched = now_s - self._vouched_s <= VOUCHED_FOR_S
        reads = now_s - self._read_s <= VOUCHED_FOR_S + READ_WAIT_S
        period_s = MARK_TIMEOUT_S if self._mark_pending else MARK_PERIOD_S
        recent = now_s - self._mark_sent_s < period_s
        if vouched or recent or not (reads and self._needs_voucher):
            return []
        self._mark_id += 1
        self._mark_sent_s = now_s
        self._mark_pending = True
        return [AppendMark(self._mark_id)]

    def on_mark(self, marked: MarkAppended) -> None:
        """Learn from an offset how far the stream reaches."""
        if marked.mark_id != self._mark_id:
            return
        self._mark_pending = False
        if marked.offset is not None:
            self.observe_log_end(LogOffset(marked.offset + 1))
            self.confirm_log_end(self._mark_sent_s)

    def postpone(self, until_s: float) -> None:
        """Send no read before a time."""
        self._next_read_s = max(self._next_read_s, until_s)

    def tick(self, now_s: float) -> list[ReadLog]:
        """Return the read that is due, if any."""
        hanging_s = self._hanging_since_s(now_s)
        if hanging_s is not None:
            self.outage_s = max(self.outage_s, hanging_s)
        if now_s < self._next_read_s or not self._may_send(now_s):
            return []
        wait_s = 0.0 if self._pending else READ_WAIT_S
        return [self._read(now_s, wait_s)]

    def on_read(self, now_s: float, read: LogRead) -> list[AcceptedRecord]:
        """Fold what a read brought."""
        started_s, _wait_s = self._pending.pop(read.read_id, (NEVER_S, 0.0))
        if read.oldest == 0:
            self._fold.see_start()
        made: list[AcceptedRecord] = []
        for place, record in enumerate(read.records):
            made.extend(self._fold.offer(LogOffset(read.first + place), record))
        read_to = LogOffset(read.first + len(read.records))
        self._next_offset = max(self._next_offset, read_to)
        if read.next_offset < self._log_end:
            self._retry_later(now_s)
            return made
        self._log_end = read.next_offset
        if self._fold.verified and self._fold.read_end >= read.next_offset:
            self._read_s = now_s
            self._freshness.record_domain_read(self._proven_s(started_s))
        return made

    def on_too_old(self, now_s: float, read: LogReadTooOld) -> None:
        """Go on from the oldest record kept."""
        self._pending.pop(read.read_id, None)
        self.observe_log_end(read.next_offset)
        self._next_offset = max(self._next_offset, read.oldest)

    def on_failed(self, now_s: float, read: LogReadFailed) -> None:
        """Note that the log was out of hearing, and try again soon."""
        started_s, _wait_s = self._pending.pop(read.read_id, (NEVER_S, 0.0))
        self.outage_s = max(self.outage_s, started_s)
        self._retry_later(now_s)

    def _read(self, now_s: float, wait_s: float) -> ReadLog:
        self._read_id += 1
        self._pending[self._read_id] = (now_s, wait_s)
        self._next_read_s = now_s
        if wait_s == 0:
            self._next_read_s += PROBE_PERIOD_S
        self._next_offset = max(self._next_offset, self._fold.read_end)
        return ReadLog(self._read_id, self._next_offset, wait_s)

    def _proven_s(self, started_s: float) -> float:
        if not self._needs_voucher:
            return started_s
        return min(started_s, self._vouched_s + VOUCHED_FOR_S)

    def _may_send(self, now_s: float) -> bool:
        if len(self._pending) >= MAX_PENDING_READS:
            return False
        return not self._pending or self._hanging_since_s(now_s) is not None

    def _hanging_since_s(self, now_s: float) -> float | None:
        hanging = [
            started_s
            for started_s, wait_s in self._pending.values()
            if now_s - started_s > wait_s + SLOW_AFTER_S
        ]
        return max(hanging, default=None)

    def _retry_later(self, now_s: float) -> None:
        self.postpone(now_s + self._random.uniform(RETRY_MIN_S, RETRY_MAX_S))
