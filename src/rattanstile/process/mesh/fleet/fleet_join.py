"""Joins the fleet: reads the member list and announces the node there.

The load pattern: all nodes of a fleet start within a moment, or learn within
one that the store was restored from a copy and may have lost their entries.
Each call of a node is then made as often as there are nodes.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.ports import (
    NO_MEMBERS,
    FleetMembers,
    FleetStore,
)
from rattanstile.process.mesh.serving.past_incarnations import (
    NO_DEPARTURE,
    TargetDeparture,
)
from rattanstile.process.mesh.store.store_retry import (
    FIRST_RETRY_DELAY_S,
    StoreRetry,
)
from rattanstile.request.ids import NO_ERA, StoreEra

SIMULTANEOUS_START_S = 0.4
"""Nodes of a new fleet announce themselves within this time."""
MIN_REWRITE_S = 1.0
"""Nodes store their entries again within this time, or longer in a fleet of
more than `REWRITES_PER_S`."""
REWRITES_PER_S = 100
"""A quarter of the writes that the store takes."""


@dataclass(frozen=True, slots=True)
class JoinHandlers:
    """What joining needs of the node.

    Attributes:
        member: Returns the member entry of this node.
        on_members_read: Called with the nodes in the member list.
        restore_departure: Called with the target that left during an earlier
            run of this node; `NO_DEPARTURE` if there was none.
    """

    member: Callable[[], PeerMember]
    on_members_read: Callable[[Iterable[PeerMember]], None]
    restore_departure: Callable[[TargetDeparture], None]


class FleetJoin:
    """Makes this node a member of the fleet.

    Args:
        store: The platform's store.
        retry: Repeats the calls to it.
        handlers: The node's part.
        log: Receives a line for each read of the member list.
        is_new_fleet: Whether the whole fleet starts for the first time, so
            that no node has announced itself before.
    """

    def __init__(
        self,
        store: FleetStore,
        retry: StoreRetry,
        handlers: JoinHandlers,
        log: DecisionLog,
        *,
        is_new_fleet: bool,
    ) -> None:
        """Initialize without having read anything."""
        self._store = store
        self._retry = retry
        self._handlers = handlers
        self._log = log
        self._is_new_fleet = is_new_fleet
        self._era = NO_ERA
        self._stored_era: StoreEra | None = None
        self._member_count = 0
        self._is_rewriting = False

    async def join(self) -> None:
        """Read the members, and announce this node unless it is one."""
        await self._join()
        self._rewrite_if_lost()

    def era_seen(self, era: StoreEra) -> None:
        """Store the member entry again if a restored store may lack it."""
        self._era = max(self._era, era)
        self._rewrite_if_lost()

    async def persist_member(self) -> None:
        """Store the member entry for other nodes and for later runs."""
        era = await self._retry.until_ok(
            lambda: self._store.announce(self._handlers.member())
        )
        if era is not None:
            self._stored_era = max(era, self._stored_era or NO_ERA)

    async def _join(self) -> None:
        if self._is_new_fleet:
            self._handlers.restore_departure(NO_DEPARTURE)
            await self.persist_member()
            await self._retry.sleep(SIMULTANEOUS_START_S)
            await self._read_members()
            return
        members = await self._read_members()
        earlier = members.by_id.get(self._handlers.member().node_id)
        departed = NO_DEPARTURE
        if earlier is not None:
            departed = TargetDeparture(earlier.left, earlier.left_born_ms)
        self._handlers.restore_departure(departed)
        if earlier == self._handlers.member():
            self._stored_era = members.era
            return
        await self.persist_member()
        # Nodes that start at the same time were missing from the first read.
        await self._read_members()

    @property
    def _is_entry_lost(self) -> bool:
        """Return whether the entry was stored before the store's last era."""
        return self._stored_era is not None and self._stored_era < self._era

    def _rewrite_if_lost(self) -> None:
        if self._is_entry_lost and not self._is_rewriting:
            self._is_rewriting = True
            Deferred.fromCoroutine(self._rewrite())

    async def _rewrite(self) -> None:
        """Store the entry again, and read those of nodes that did the same."""
        spread_s = max(MIN_REWRITE_S, self._member_count / REWRITES_PER_S)
        await self._retry.spread(spread_s)
        while self._retry.is_running and self._is_entry_lost:
            await self.persist_member()
            await self._retry.sleep(FIRST_RETRY_DELAY_S)
        self._is_rewriting = False
        await self._read_members()

    async def _read_members(self) -> FleetMembers:
        members = await self._retry.until_ok(self._store.members) or NO_MEMBERS
        self._log.write(
            LineKind.PEER,
            'members_read',
            count=len(members.by_id),
            unreadable=members.unreadable,
        )
        self._member_count = max(self._member_count, len(members.by_id))
        self._handlers.on_members_read(members.by_id.values())
        return members
