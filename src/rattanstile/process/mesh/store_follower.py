"""Follows the operators' log, and finds the other nodes, in the store."""

from collections.abc import Awaitable, Callable, Iterable, Mapping
from random import Random
from typing import Protocol, TypeVar

from result import Err, Ok, Result
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import deferLater

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.decision_log import DecisionLog, Kind
from rattanstile.process.mesh.operator_state import OperatorWords
from rattanstile.process.mesh.ports import (
    NO_MEMBERS,
    FleetStore,
    HistoryGoneError,
    OperatorRecords,
    StoreError,
)
from rattanstile.process.mesh.target_watch import NO_DEPARTURE, TargetDeparture
from rattanstile.request.ids import NodeId

LONG_READ_S = 25.0
"""Below the longest wait that the store allows."""
SETTLE_S = 0.3
"""Pause after a change, so that a storm of them costs few reads; a small
part of the time within which a version is to be in force."""
FIRST_PAUSE_S = 0.15
LONGEST_PAUSE_S = 1.0
"""A store that is back is noticed within a second."""

READER_PERIOD_S = 0.5
"""How often a node looks whether it is to read the store; after a start the
others are met within it."""


class Reading(Protocol):
    """Shares the reading of the store out among the nodes."""

    def is_reader(self) -> bool:
        """Tell whether this node is to read what operators state."""

    def store_answers(self, *, can_read: bool) -> None:
        """Learn that the store begins or ceases to answer this node."""


_Found = TypeVar('_Found')


class StoreFollower:
    """Keeps this node up to date with the store.

    Args:
        store: The platform's.
        words: Takes the operators' records.
        member: This node.
        found: Told the nodes that have announced themselves.
        recall: Told the target that left while an earlier run of this node
            was beside it.
        reading: Who reads what operators state, and who is told by others.
    """

    def __init__(
        self,
        clock: IReactorTime,
        store: FleetStore,
        words: OperatorWords,
        member: Callable[[], PeerMember],
        found: Callable[[Iterable[PeerMember]], None],
        restore_departure: Callable[[TargetDeparture], None],
        reading: Reading,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        """Begin without having read anything."""
        self.is_reachable = False
        self._clock = clock
        self._store = store
        self._words = words
        self._member = member
        self._found = found
        self._recall = restore_departure
        self._reading = reading
        self._log = log
        self._rng = rng
        self._is_running = True
        self._tasks: list[Deferred[None]] = []

    def start(self) -> None:
        """Begin to read."""
        for task in (self._follow(), self._join()):
            self._tasks.append(Deferred.fromCoroutine(task))

    def stop(self) -> None:
        """Read nothing more."""
        self._is_running = False

    async def keep_member(self) -> None:
        """Write what later runs and other nodes are to know of this one."""
        await self._until_done(lambda: self._store.announce(self._member()))

    async def _join(self) -> None:
        before = await self._read_members()
        earlier = before.get(self._member().node_id)
        left = NO_DEPARTURE
        if earlier is not None:
            left = TargetDeparture(earlier.left, earlier.left_born_ms)
        self._recall(left)
        self._found(before.values())
        if earlier == self._member():
            return
        await self.keep_member()
        # Nodes that start together have not read each other.
        members = await self._read_members()
        self._found(members.values())

    async def _read_members(self) -> Mapping[NodeId, PeerMember]:
        members = await self._until_done(self._store.members) or NO_MEMBERS
        self._log.write(
            Kind.PEER,
            'members_read',
            count=len(members.by_id),
            unreadable=members.unreadable,
        )
        return members.by_id

    async def _follow(self) -> None:
        is_known = False
        pause_s = FIRST_PAUSE_S
        while self._is_running:
            if is_known and not self._reading.is_reader():
                await self._sleep(READER_PERIOD_S)
                continue
            read = await self._read(is_known=is_known)
            if isinstance(read, Err):
                is_known = self._failed(read.err_value) and is_known
                await self._sleep(pause_s)
                pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
                continue
            self._reached()
            pause_s = FIRST_PAUSE_S
            if is_known:
                self._words.take(read.ok_value, 'store')
                if read.ok_value.records:
                    await self._sleep(SETTLE_S)
            else:
                self._words.take_newest(read.ok_value, 'store')
                await self._sleep(READER_PERIOD_S)
            is_known = True

    def _read(
        self, *, is_known: bool
    ) -> Awaitable[Result[OperatorRecords, StoreError]]:
        if is_known:
            return self._store.records_after(
                self._words.state.offset, LONG_READ_S
            )
        return self._store.newest_records()

    def _failed(self, error: StoreError) -> bool:
        """Note a failure; tell whether the offset can be kept."""
        if self.is_reachable:
            self._log.write(Kind.STORE, 'store_lost', why=error.message)
            self._reading.store_answers(can_read=False)
        self.is_reachable = False
        return not isinstance(error, HistoryGoneError)

    def _reached(self) -> None:
        if not self.is_reachable:
            self._log.write(
                Kind.STORE, 'store_regained', offset=self._words.state.offset
            )
            self._reading.store_answers(can_read=True)
        self.is_reachable = True

    async def _until_done(
        self, call: Callable[[], Awaitable[Result[_Found, StoreError]]]
    ) -> _Found | None:
        pause_s = FIRST_PAUSE_S
        while self._is_running:
            done = await call()
            if isinstance(done, Ok):
                return done.ok_value
            await self._sleep(pause_s)
            pause_s = min(pause_s * 2, LONGEST_PAUSE_S)
        return None

    async def _sleep(self, pause_s: float) -> None:
        spread = self._rng.uniform(0.7, 1)
        await deferLater(self._clock, pause_s * spread)
