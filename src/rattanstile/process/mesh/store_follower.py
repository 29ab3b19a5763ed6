"""Follows the operators' log in the store and reads the member list there."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from random import Random
from typing import Protocol, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.operator_state import OperatorState
from rattanstile.process.mesh.ports import (
    NO_MEMBERS,
    FleetStore,
    HistoryGoneError,
    OperatorRecords,
    StoreError,
)
from rattanstile.process.mesh.target_watch import NO_DEPARTURE, TargetDeparture
from rattanstile.request.ids import NodeId

LONG_POLL_S = 25.0
"""Long-poll timeout; below the longest wait that the store allows."""
BATCH_DELAY_S = 0.3
"""Delay after a change, so that a burst of changes takes few reads; a small
part of the time within which a version must be in force."""
FIRST_RETRY_DELAY_S = 0.15
MAX_RETRY_DELAY_S = 1.0
"""A store that recovers is detected within one second."""

READER_CHECK_PERIOD_S = 0.5
"""How often a node checks whether it is to read the store; after a start the
other nodes connect within this time."""


class ReaderRole(Protocol):
    """Decides whether this node reads the store, and reports if it can."""

    def is_reader(self) -> bool:
        """Return whether this node is to read the operators' log."""

    def set_store_readable(self, *, can_read: bool) -> None:
        """Record whether the store answers this node."""


_Value = TypeVar('_Value')


class StoreFollower:
    """Keeps this node up to date with the store.

    Args:
        clock: Schedules the delays between reads.
        store: The platform's store.
        operator_state: Applies the operators' records.
        member: Returns the member entry of this node.
        on_members_read: Called with the nodes in the member list.
        restore_departure: Called with the target that left during an earlier
            run of this node; `NO_DEPARTURE` if there was none.
        reader_role: Decides whether this node reads the operators' log.
        log: Receives a line for each read of the member list and for each
            change of reachability.
        rng: Adds jitter to the delays.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: FleetStore,
        operator_state: OperatorState,
        member: Callable[[], PeerMember],
        on_members_read: Callable[[Iterable[PeerMember]], None],
        restore_departure: Callable[[TargetDeparture], None],
        reader_role: ReaderRole,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        """Initialize without having read anything."""
        self.is_reachable = False
        self._clock = clock
        self._store = store
        self._operator_state = operator_state
        self._member = member
        self._on_members_read = on_members_read
        self._restore_departure = restore_departure
        self._reader_role = reader_role
        self._log = log
        self._rng = rng
        self._is_running = True
        self._tasks: list[Deferred[None]] = []

    def start(self) -> None:
        """Start following the operators' log and join the member list."""
        for task in (self._follow(), self._join()):
            self._tasks.append(Deferred.fromCoroutine(task))

    def stop(self) -> None:
        """Stop before the next read."""
        self._is_running = False

    async def persist_member(self) -> None:
        """Store the member entry for other nodes and for later runs."""
        await self._call_until_ok(lambda: self._store.announce(self._member()))

    async def _join(self) -> None:
        members_by_id = await self._read_members()
        earlier = members_by_id.get(self._member().node_id)
        departed = NO_DEPARTURE
        if earlier is not None:
            departed = TargetDeparture(earlier.left, earlier.left_born_ms)
        self._restore_departure(departed)
        self._on_members_read(members_by_id.values())
        if earlier == self._member():
            return
        await self.persist_member()
        # Nodes that start at the same time were missing from the first read.
        members = await self._read_members()
        self._on_members_read(members.values())

    async def _read_members(self) -> Mapping[NodeId, PeerMember]:
        members = await self._call_until_ok(self._store.members) or NO_MEMBERS
        self._log.write(
            LineKind.PEER,
            'members_read',
            count=len(members.by_id),
            unreadable=members.unreadable,
        )
        return members.by_id

    async def _follow(self) -> None:
        has_offset = False
        delay_s = FIRST_RETRY_DELAY_S
        while self._is_running:
            if has_offset and not self._reader_role.is_reader():
                await self._sleep(READER_CHECK_PERIOD_S)
                continue
            read = await self._read(has_offset=has_offset)
            if isinstance(read, Err):
                has_offset = self._read_failed(read.err_value) and has_offset
                await self._sleep(delay_s)
                delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
                continue
            self._read_succeeded()
            delay_s = FIRST_RETRY_DELAY_S
            if has_offset:
                self._operator_state.apply_records(read.ok_value, 'store')
                if read.ok_value.records:
                    await self._sleep(BATCH_DELAY_S)
            else:
                self._operator_state.apply_snapshot(read.ok_value, 'store')
                await self._sleep(READER_CHECK_PERIOD_S)
            has_offset = True

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
            self._reader_role.set_store_readable(can_read=False)
        self.is_reachable = False
        return not isinstance(error, HistoryGoneError)

    def _read_succeeded(self) -> None:
        if not self.is_reachable:
            self._log.write(
                LineKind.STORE,
                'store_regained',
                offset=self._operator_state.state.offset,
            )
            self._reader_role.set_store_readable(can_read=True)
        self.is_reachable = True

    async def _call_until_ok(
        self, call: Callable[[], Awaitable[Result[_Value, StoreError]]]
    ) -> _Value | None:
        delay_s = FIRST_RETRY_DELAY_S
        while self._is_running:
            outcome = await call()
            if isinstance(outcome, Ok):
                return outcome.ok_value
            await self._sleep(delay_s)
            delay_s = min(delay_s * 2, MAX_RETRY_DELAY_S)
        return None

    async def _sleep(self, delay_s: float) -> None:
        jitter = self._rng.uniform(0.7, 1)
        await deferLater(self._clock, delay_s * jitter)
