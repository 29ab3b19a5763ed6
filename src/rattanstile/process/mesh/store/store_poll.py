"""Long polls of the operators' log, which end also if no answer comes.

An answer may be lost on a connection that stays open, and a store may turn a
node away without an answer: only the end of the wait shows either. The other
nodes of a failure domain rely on its first reader, which therefore waits for a
short time; its other readers wait for long, which costs few calls.
"""

from result import Result
from twisted.internet.defer import Deferred

from rattanstile.process.mesh.ports import (
    FleetStore,
    OperatorRecords,
    StoreError,
)

LONG_POLL_S = 25.0
"""Below the longest wait that the store allows."""
FIRST_READER_POLL_S = 1.25
HUNG_POLL_S = 3.0
"""Age at which the first reader gives up a poll that it began for long."""

PollResult = Result[OperatorRecords, StoreError]


class StorePoll:
    """At most one read of the operators' log.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: FleetStore) -> None:
        """Initialize without a read."""
        self._store = store
        self._pending: Deferred[PollResult] | None = None
        self._seen_s: float | None = None
        self._is_given_up = False

    async def records_after(
        self, offset: int, wait_s: float
    ) -> PollResult | None:
        """Return the records from an offset on; None if the read is given up.

        Args:
            offset: The first offset to read.
            wait_s: Longest wait for a record, in seconds.
        """
        self._is_given_up = False
        self._seen_s = None
        self._pending = Deferred.fromCoroutine(self._read(offset, wait_s))
        polled = await self._pending
        self._pending = None
        return None if self._is_given_up else polled

    def check(self, now_s: float, *, is_first_reader: bool) -> None:
        """Give up a read that hangs, if other nodes rely on this one.

        Args:
            now_s: Monotonic seconds; the age of a read counts from the first
                check after its start.
            is_first_reader: Whether they do.
        """
        if self._pending is None:
            return
        if self._seen_s is None:
            self._seen_s = now_s
        if is_first_reader and now_s - self._seen_s > HUNG_POLL_S:
            self._is_given_up = True
            self._pending.cancel()

    async def _read(self, offset: int, wait_s: float) -> PollResult:
        return await self._store.records_after(offset, wait_s)
