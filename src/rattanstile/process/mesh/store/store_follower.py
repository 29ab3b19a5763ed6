"""Follows the operators' log in the store."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Err
from twisted.internet.defer import Deferred

from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.fleet.fleet_join import FleetJoin
from rattanstile.process.mesh.ports import (
    FleetStore,
    HistoryGoneError,
    OperatorRecords,
    StoreError,
)
from rattanstile.process.mesh.store.operator_state import OperatorState
from rattanstile.process.mesh.store.store_poll import (
    FIRST_READER_POLL_S,
    LONG_POLL_S,
    PollResult,
    StorePoll,
)
from rattanstile.process.mesh.store.store_retry import (
    FIRST_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    StoreRetry,
)
from rattanstile.request.ids import NO_ERA, StoreEra

BATCH_DELAY_S = 0.3
"""Delay after a change, so that a burst of changes takes few reads; a small
part of the time within which a version must be in force."""
READER_CHECK_PERIOD_S = 0.5
"""How often a node checks whether it is to read the store; after a start the
other nodes connect within this time."""
LINKS_WAIT_S = 0.3
"""Time after a start in which the nodes of a domain connect to each other, so
that only its readers read the operators' records."""


class ReaderRole(Protocol):
    """Decides whether this node reads the store, and reports if it can."""

    def is_reader(self) -> bool:
        """Return whether this node is to read the operators' log."""

    def is_first_reader(self) -> bool:
        """Return whether the other readers of its domain rely on this one."""

    def set_store_readable(self, *, can_read: bool) -> None:
        """Record whether the store answers this node."""

    def read_begins(self, wait_s: float) -> None:
        """Record that a read begins, which may wait that many seconds."""

    def read_applied(self, *, has_records: bool = False) -> None:
        """Record that the state is as new as the answer to that read.

        Args:
            has_records: Whether records may have ended its wait.
        """


class StoreFollower:
    """Keeps this node up to date with the store.

    Args:
        store: The platform's store.
        retry: Repeats the calls to it.
        operator_state: Applies the operators' records.
        reader_role: Decides whether this node reads the operators' log.
        joining: Makes this node a member of the fleet.
        log: Receives a line for each change of reachability.
    """

    def __init__(
        self,
        store: FleetStore,
        retry: StoreRetry,
        operator_state: OperatorState,
        reader_role: ReaderRole,
        joining: FleetJoin,
        log: DecisionLog,
    ) -> None:
        """Initialize without having read anything."""
        self.is_reachable = False
        self._store = store
        self._retry = retry
        self._operator_state = operator_state
        self._reader_role = reader_role
        self._joining = joining
        self._log = log
        self._is_reported_readable = True
        self._poll = StorePoll(store)
        self._has_position = False
        self._is_era_compared = False
        self._read_era = NO_ERA
        self._retry_delay_s = FIRST_RETRY_DELAY_S
        self._tasks: list[Deferred[None]] = []

    def start(self) -> None:
        """Start following the operators' log and join the fleet."""
        for name, task in (
            ('follow', self._follow),
            ('join', self._joining.join),
        ):
            self._tasks.append(
                Deferred.fromCoroutine(self._run_to_end(name, task))
            )

    def stop(self) -> None:
        """Stop before the next read."""
        self._retry.is_running = False

    def check(self, now_s: float) -> None:
        """Give up a read that hangs; called periodically."""
        self._poll.check(
            now_s, is_first_reader=self._reader_role.is_first_reader()
        )

    async def _run_to_end(
        self, name: str, task: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a task; begin it again after an error that it didn't expect."""
        while self._retry.is_running:
            try:
                return await task()
            except Exception as error:
                self._log.write(
                    LineKind.STORE,
                    'store_task_failed',
                    task=name,
                    why=repr(error),
                )
            await self._retry.sleep(MAX_RETRY_DELAY_S)

    async def _follow(self) -> None:
        await self._wait_for_copy()
        self._has_position = self._operator_state.state.offset > 0
        while self._retry.is_running:
            if self._is_known and not self._reader_role.is_reader():
                self._is_era_compared = False
                await self._retry.sleep(READER_CHECK_PERIOD_S)
                continue
            wait_s = await self._read_once()
            if wait_s:
                await self._retry.sleep(wait_s)

    @property
    def _is_known(self) -> bool:
        """Return whether this node has the operators' state."""
        return self._has_position or self._operator_state.state.offset > 0

    async def _read_once(self) -> float:
        """Read and apply records; return the seconds until the next read."""
        read = await self._read()
        if read is None:
            self._is_era_compared = False
            return 0.0
        if isinstance(read, Err):
            return self._read_failed(read.err_value)
        self._read_succeeded()
        if self._has_position:
            return self._apply_records(read.ok_value)
        self._has_position = True
        if self._operator_state.apply_snapshot(read.ok_value, 'store'):
            self._reader_role.read_applied()
            self._retry_delay_s = FIRST_RETRY_DELAY_S
            return READER_CHECK_PERIOD_S
        return self._back_off_s()

    def _apply_records(self, records: OperatorRecords) -> float:
        # A peer may have told of the next log while this read waited.
        is_same_log = records.era == self._read_era
        if is_same_log and self._operator_state.apply_records(records, 'store'):
            if not records.has_more:
                has_records = bool(records.records)
                self._reader_role.read_applied(has_records=has_records)
            self._retry_delay_s = FIRST_RETRY_DELAY_S
            return BATCH_DELAY_S if records.records else 0.0
        if records.era < self._operator_state.state.era:
            # A late answer: a peer has told of the newer era.
            return self._back_off_s()
        # The offset belongs to another log.
        self._has_position = False
        return FIRST_RETRY_DELAY_S

    def _back_off_s(self) -> float:
        """Return the delay after a read that gave nothing, and double it."""
        delay_s = self._retry_delay_s
        self._retry_delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        return delay_s

    async def _wait_for_copy(self) -> None:
        """Wait for the state while other nodes of the domain read it.

        The load pattern: all nodes start within a moment, after a power loss.
        If each of them read the records, a large configuration would be read
        as often as there are nodes.
        """
        await self._retry.sleep(LINKS_WAIT_S)
        while self._retry.is_running and not self._reader_role.is_reader():
            if self._operator_state.state.offset:
                return
            await self._retry.sleep(FIRST_RETRY_DELAY_S)

    def _read(self) -> Awaitable[PollResult | None]:
        """Read what is new; the result is None if the read is given up."""
        if self._has_position:
            state = self._operator_state.state
            self._read_era = state.era
            wait_s = self._wait_s()
            self._reader_role.read_begins(wait_s)
            return self._poll.records_after(state.offset, wait_s)
        self._reader_role.read_begins(0)
        return self._store.newest_records()

    def _wait_s(self) -> float:
        """Return how long the next read may wait for a record.

        The store may have been restored since the last answer, and end at this
        offset: its era is compared before a read that waits. The answer also
        shows at once that a store is well again.
        """
        if not self._is_era_compared:
            return 0
        if self._reader_role.is_first_reader():
            return FIRST_READER_POLL_S
        return LONG_POLL_S

    def _read_failed(self, error: StoreError) -> float:
        """Record a failed read; without records there, read the newest.

        Returns:
            Seconds until the next read.
        """
        is_gone = isinstance(error, HistoryGoneError)
        self._is_era_compared = False
        if self.is_reachable:
            why = error.message
            if isinstance(error, HistoryGoneError):
                why = self._gone_reason(error.era)
            self._log.write(LineKind.STORE, 'store_lost', why=why)
        self.is_reachable = False
        if is_gone:
            self._has_position = False
            return FIRST_RETRY_DELAY_S
        self._report_readable(can_read=False)
        return self._back_off_s()

    def _gone_reason(self, era: StoreEra) -> str:
        if era == self._operator_state.state.era:
            return 'history_gone'
        return 'store_restored'

    def _read_succeeded(self) -> None:
        if not self.is_reachable:
            self._log.write(
                LineKind.STORE,
                'store_regained',
                offset=self._operator_state.state.offset,
            )
        self.is_reachable = True
        self._is_era_compared = True
        self._report_readable(can_read=True)

    def _report_readable(self, *, can_read: bool) -> None:
        """Tell the other nodes, which rely on this one until they know."""
        if can_read != self._is_reported_readable:
            self._is_reported_readable = can_read
            self._reader_role.set_store_readable(can_read=can_read)
