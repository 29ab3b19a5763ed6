"""Follows the operators' log in the store."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from result import Err, Result
from twisted.internet.defer import Deferred

from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.fleet_join import FleetJoin
from rattanstile.process.mesh.operator_state import OperatorState
from rattanstile.process.mesh.ports import (
    FleetStore,
    HistoryGoneError,
    OperatorRecords,
    StoreError,
)
from rattanstile.process.mesh.store_retry import (
    FIRST_RETRY_DELAY_S,
    MAX_RETRY_DELAY_S,
    StoreRetry,
)

LONG_POLL_S = 25.0
"""Long-poll timeout; below the longest wait that the store allows."""
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

    def set_store_readable(self, *, can_read: bool) -> None:
        """Record whether the store answers this node."""


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
        has_offset = self._operator_state.state.offset > 0
        delay_s = FIRST_RETRY_DELAY_S
        while self._retry.is_running:
            if has_offset and not self._reader_role.is_reader():
                await self._retry.sleep(READER_CHECK_PERIOD_S)
                continue
            read = await self._read(has_offset=has_offset)
            if isinstance(read, Err):
                has_offset = self._read_failed(read.err_value) and has_offset
                await self._retry.sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            self._read_succeeded()
            delay_s = FIRST_RETRY_DELAY_S
            if has_offset:
                self._operator_state.apply_records(read.ok_value, 'store')
                if read.ok_value.records:
                    await self._retry.sleep(BATCH_DELAY_S)
            else:
                self._operator_state.apply_snapshot(read.ok_value, 'store')
                await self._retry.sleep(READER_CHECK_PERIOD_S)
            has_offset = True

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

    def _read(
        self, *, has_offset: bool
    ) -> Awaitable[Result[OperatorRecords, StoreError]]:
        if has_offset:
            return self._store.records_after(
                self._operator_state.state.offset, LONG_POLL_S
            )
        return self._store.newest_records()

    def _read_failed(self, error: StoreError) -> bool:
        """Record a failed read and return whether the offset is still valid."""
        if self.is_reachable:
            self._log.write(LineKind.STORE, 'store_lost', why=error.message)
        self.is_reachable = False
        self._report_readable(can_read=False)
        return not isinstance(error, HistoryGoneError)

    def _read_succeeded(self) -> None:
        if not self.is_reachable:
            self._log.write(
                LineKind.STORE,
                'store_regained',
                offset=self._operator_state.state.offset,
            )
        self.is_reachable = True
        self._report_readable(can_read=True)

    def _report_readable(self, *, can_read: bool) -> None:
        """Tell the other nodes, which rely on this one until they know."""
        if can_read != self._is_reported_readable:
            self._is_reported_readable = can_read
            self._reader_role.set_store_readable(can_read=can_read)
