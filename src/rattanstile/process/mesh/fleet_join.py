"""Joins the fleet: reads the member list and announces the node there.

The load pattern: all nodes of a fleet start within a moment. Each call of a
node is then made as often as there are nodes.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.ports import NO_MEMBERS, FleetStore
from rattanstile.process.mesh.store_retry import StoreRetry
from rattanstile.process.mesh.target_watch import NO_DEPARTURE, TargetDeparture
from rattanstile.request.ids import NodeId

SIMULTANEOUS_START_S = 0.4
"""Nodes of a new fleet announce themselves within this time."""


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

    async def join(self) -> None:
        """Read the members, and announce this node unless it is one."""
        if self._is_new_fleet:
            self._handlers.restore_departure(NO_DEPARTURE)
            await self.persist_member()
            await self._retry.sleep(SIMULTANEOUS_START_S)
            await self._read_members()
            return
        members = await self._read_members()
        earlier = members.get(self._handlers.member().node_id)
        departed = NO_DEPARTURE
        if earlier is not None:
            departed = TargetDeparture(earlier.left, earlier.left_born_ms)
        self._handlers.restore_departure(departed)
        if earlier == self._handlers.member():
            return
        await self.persist_member()
        # Nodes that start at the same time were missing from the first read.
        await self._read_members()

    async def persist_member(self) -> None:
        """Store the member entry for other nodes and for later runs."""
        await self._retry.until_ok(
            lambda: self._store.announce(self._handlers.member())
        )

    async def _read_members(self) -> Mapping[NodeId, PeerMember]:
        members = await self._retry.until_ok(self._store.members) or NO_MEMBERS
        self._log.write(
            LineKind.PEER,
            'members_read',
            count=len(members.by_id),
            unreadable=members.unreadable,
        )
        self._handlers.on_members_read(members.by_id.values())
        return members.by_id
