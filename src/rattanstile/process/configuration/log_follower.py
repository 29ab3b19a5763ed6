"""Schedule of configuration stream reads, and the evidence they provide."""

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
OVERDUE_AFTER_S = 0.7
PROBE_PERIOD_S = 0.5
MAX_PENDING_READS = 16
CONFIRMATION_VALIDITY_S = 0.6
MARK_PERIOD_S = 0.5
MARK_TIMEOUT_S = 2.0
MIN_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 0.4


class LogFollower:
    """Schedules reads of the log and folds the records they return.

    A read that ends at the highest log end observed so far proves that
    nothing newer had been accepted when it was sent. A read that ends lower
    was answered by a stale replica and proves nothing. A read that failed, or
    is overdue by `OVERDUE_AFTER_S` beyond its wait, shows that the log was
    unreachable when it was sent. While a read is overdue, others are sent in
    parallel, so that a slow log does not delay reading a new version.

    A reader can't distinguish a stale replica that has stopped advancing from
    a log without new records. A read is therefore evidence only as long as
    another source confirms the end of the stream: a node of another failure
    domain that also reads the log or, if none responds, a mark appended by
    the reader itself.

    Args:
        fold: Shared with the relay.
        freshness: Collects the evidence.
        random: Source of the jitter of retries.

    Attributes:
        outage_s: Time at which the latest failed or overdue read was sent.
    """

    def __init__(
        self,
        fold: Fold,
        freshness: Freshness,
        random: Random,
    ) -> None:
        """Start without pending reads."""
        self.outage_s = NEVER_S
        self._fold = fold
        self._freshness = freshness
        self._random = random
        self._log_end = LogOffset(0)
        self._next_offset = LogOffset(0)
        self._read_id = 0
        self._pending: dict[int, tuple[float, float]] = {}
        self._next_read_s = NEVER_S
        self._confirmed_s = NEVER_S
        self._requires_confirmation = False
        self._end_read_s = NEVER_S
        self._mark_id = 0
        self._mark_sent_s = NEVER_S
        self._mark_pending = False

    @property
    def log_end(self) -> LogOffset:
        """Highest end of the stream observed so far."""
        return self._log_end

    def observe_log_end(self, log_end: LogOffset) -> None:
        """Record an end of the stream that a peer or an append reported."""
        self._log_end = max(self._log_end, log_end)

    def require_confirmation(self, required: bool) -> None:
        """Set whether another failure domain exists that must confirm reads."""
        self._requires_confirmation = required

    def confirm_log_end(self, at_s: float) -> None:
        """Record that another source knew of no higher end at a time."""
        self._confirmed_s = max(self._confirmed_s, at_s)

    def due_marks(self, now_s: float) -> list[AppendMark]:
        """Return the mark to append now, if one is due.

        A mark is due if a recent read reached the end of the stream, which
        must be confirmed and was not confirmed lately.
        """
        is_confirmed = now_s - self._confirmed_s <= CONFIRMATION_VALIDITY_S
        read_recently = (
            now_s - self._end_read_s <= CONFIRMATION_VALIDITY_S + READ_WAIT_S
        )
        period_s = MARK_TIMEOUT_S if self._mark_pending else MARK_PERIOD_S
        sent_recently = now_s - self._mark_sent_s < period_s
        if (
            is_confirmed
            or sent_recently
            or not (read_recently and self._requires_confirmation)
        ):
            return []
        self._mark_id += 1
        self._mark_sent_s = now_s
        self._mark_pending = True
        return [AppendMark(self._mark_id)]

    def on_mark(self, appended: MarkAppended) -> None:
        """Record the end of the stream that an appended mark shows."""
        if appended.mark_id != self._mark_id:
            return
        self._mark_pending = False
        if appended.offset is not None:
            self.observe_log_end(LogOffset(appended.offset + 1))
            self.confirm_log_end(self._mark_sent_s)

    def postpone(self, until_s: float) -> None:
        """Delay the next read until a time."""
        self._next_read_s = max(self._next_read_s, until_s)

    def tick(self, now_s: float) -> list[ReadLog]:
        """Return the read to send now, if one is due."""
        overdue_s = self._last_overdue_s(now_s)
        if overdue_s is not None:
            self.outage_s = max(self.outage_s, overdue_s)
        if now_s < self._next_read_s or not self._may_send(now_s):
            return []
        wait_s = 0.0 if self._pending else READ_WAIT_S
        return [self._read(now_s, wait_s)]

    def on_read(self, now_s: float, read: LogRead) -> list[AcceptedRecord]:
        """Fold the records of a read.

        Returns:
            The records that made new versions, oldest first.
        """
        started_s, _wait_s = self._pending.pop(read.read_id, (NEVER_S, 0.0))
        if read.oldest == 0:
            self._fold.observe_log_start()
        accepted: list[AcceptedRecord] = []
        for index, record in enumerate(read.records):
            accepted.extend(
                self._fold.offer(LogOffset(read.first + index), record)
            )
        batch_end = LogOffset(read.first + len(read.records))
        self._next_offset = max(self._next_offset, batch_end)
        if read.next_offset < self._log_end:
            self._retry_later(now_s)
            return accepted
        self._log_end = read.next_offset
        if self._fold.verified and self._fold.read_end >= read.next_offset:
            self._end_read_s = now_s
            self._freshness.record_domain_read(self._evidence_s(started_s))
        return accepted

    def on_too_old(self, now_s: float, read: LogReadTooOld) -> None:
        """Continue from the oldest record that is still retained."""
        self._pending.pop(read.read_id, None)
        self.observe_log_end(read.next_offset)
        self._next_offset = max(self._next_offset, read.oldest)

    def on_failed(self, now_s: float, read: LogReadFailed) -> None:
        """Record that the log was unreachable, and schedule a retry."""
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

    def _evidence_s(self, started_s: float) -> float:
        if not self._requires_confirmation:
            return started_s
        return min(started_s, self._confirmed_s + CONFIRMATION_VALIDITY_S)

    def _may_send(self, now_s: float) -> bool:
        if len(self._pending) >= MAX_PENDING_READS:
            return False
        return not self._pending or self._last_overdue_s(now_s) is not None

    def _last_overdue_s(self, now_s: float) -> float | None:
        overdue = [
            started_s
            for started_s, wait_s in self._pending.values()
            if now_s - started_s > wait_s + OVERDUE_AFTER_S
        ]
        return max(overdue, default=None)

    def _retry_later(self, now_s: float) -> None:
        self.postpone(
            now_s + self._random.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        )
