"""Pressure: what a service sheds, as replies tell it and entries keep it.

A pressure is a number from 0 to 3. Its whole part is the lowest priority
still admitted, its fraction the share shed of that priority. All hops of a
call tree compare it with one draw of the tree, so a tree admitted at the top
is not shed by the same pressure further down. The idea of one level for both
priority and a finer per-caller value is that of DAGOR (Zhou et al., 2018).

Each organisation has its own pressure, so that one that sends too much is
shed before the others. The whole part is common to all: no call is shed while
lower priorities are admitted.
"""

import math
from dataclasses import dataclass

from rattanstile.request.ids import (
    NodeId,
    OrganisationId,
    ServiceName,
)
from rattanstile.request.priority import Priority

HOLD_S = 1.0
DOUBLING_S = 1.0
FIRST_ADMITTED = 0.02
FORGET_S = 10.0


@dataclass(frozen=True, slots=True)
class CallClass:
    """What shedding looks at in a call.

    Attributes:
        route: Path prefix of the call's route.
        draw: `Call.shed_draw` of the call tree.
    """

    service: ServiceName
    organisation: OrganisationId
    priority: Priority
    route: str = ''
    draw: float = 1.0


def shed_level(pressure: float) -> Priority:
    """Return the lowest priority of which some calls are admitted."""
    return Priority(min(int(pressure), Priority.TRANSACTION.value))


def is_shed(pressure: float, priority: Priority, draw: float) -> bool:
    """Tell whether a call tree with this draw in [0, 1) is shed."""
    return draw < pressure - priority


def relaxed(pressure: float, doublings: float) -> float:
    """Return a pressure after its admitted share doubled some times."""
    while pressure > 0:
        level = shed_level(pressure)
        admitted = max(FIRST_ADMITTED, 1 - (pressure - level))
        needed = -math.log2(admitted)
        if needed >= doublings:
            return level + 1 - admitted * 2**doublings
        doublings -= needed
        pressure = float(level)
        if level is Priority.BACKGROUND:
            return 0.0
        pressure -= FIRST_ADMITTED
    return 0.0


@dataclass(frozen=True, slots=True)
class _Told:
    """What one node told last."""

    pressure: float
    weight: int
    told_s: float


class PressureMemory:
    """What replies told an entry about one service and organisation."""

    def __init__(self) -> None:
        """Begin without pressure."""
        self._told: dict[NodeId, _Told] = {}
        self._heard_s = -math.inf

    def told(
        self, now_s: float, node_id: NodeId, pressure: float, weight: int
    ) -> None:
        """Keep what a reply told, in place of the node's earlier word.

        Args:
            now_s: Monotonic seconds.
            node_id: The node that replied.
            pressure: The pressure told.
            weight: Calls at once that the pressure speaks for.
        """
        self._heard_s = now_s
        self._told[node_id] = _Told(pressure, max(1, weight), now_s)

    def pressure(self, now_s: float, priority: Priority) -> float:
        """Return the pressure that a call of this priority meets.

        It is the mean by capacity of what the nodes told last, relaxed when
        none has told anything for a while; the least of it where transactions
        would be shed, so that no single node's word sheds one.
        """
        self._forget(now_s)
        if not self._told:
            return 0.0
        if priority is Priority.TRANSACTION:
            kept = min(told.pressure for told in self._told.values())
        else:
            weights = sum(told.weight for told in self._told.values())
            weighted = sum(
                told.pressure * told.weight for told in self._told.values()
            )
            kept = weighted / weights
        silent_s = max(0.0, now_s - self._heard_s - HOLD_S)
        return relaxed(kept, silent_s / DOUBLING_S) if silent_s else kept

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is remembered."""
        return not self._told

    def _forget(self, now_s: float) -> None:
        if now_s - self._heard_s > FORGET_S:
            self._told.clear()
            return
        if len(self._told) > 1:
            for node_id, told in list(self._told.items()):
                if self._heard_s - told.told_s > FORGET_S:
                    self._told.pop(node_id)


_MemoryKey = tuple[ServiceName, OrganisationId, str]
OWN = '='
"""Key of a service's own pressure, which is no path prefix."""
ANY_NODE = NodeId('')
"""Source of subtree pressure: the node between adds nothing to it."""


class PressureBook:
    """All that one entry remembers, by service, organisation and route."""

    def __init__(self) -> None:
        """Begin without pressure."""
        self._memories: dict[_MemoryKey, PressureMemory] = {}

    def pressure(self, now_s: float, asked: CallClass) -> float:
        """Return the larger of the service's own and the route's pressure."""
        keys = (self._key(asked, OWN), self._key(asked, asked.route))
        memories = [self._memories.get(key) for key in keys]
        return max(
            memory.pressure(now_s, asked.priority) if memory else 0.0
            for memory in memories
        )

    def told(
        self,
        now_s: float,
        asked: CallClass,
        node_id: NodeId,
        own: float,
        subtree: float,
        weight: int,
    ) -> None:
        """Keep what the reply to a call told.

        Args:
            now_s: Monotonic seconds.
            asked: The call.
            node_id: The node that replied.
            own: `Reply.pressure`.
            subtree: `Reply.subtree_pressure`.
            weight: `Reply.limit`.
        """
        self._tell(now_s, self._key(asked, OWN), node_id, own, weight)
        key = self._key(asked, asked.route)
        self._tell(now_s, key, ANY_NODE, subtree, 1)

    def forget(self, now_s: float) -> None:
        """Drop what is too old; keeps memory bounded by recent calls."""
        for key, memory in list(self._memories.items()):
            memory.pressure(now_s, Priority.LOOKUP)
            if memory.is_empty:
                self._memories.pop(key)

    def _tell(
        self,
        now_s: float,
        key: _MemoryKey,
        node_id: NodeId,
        pressure: float,
        weight: int,
    ) -> None:
        memory = self._memories.get(key)
        if memory is None:
            if not pressure:
                return
            memory = self._memories.setdefault(key, PressureMemory())
        memory.told(now_s, node_id, pressure, weight)

    def _key(self, asked: CallClass, route: str) -> _MemoryKey:
        return (asked.service, asked.organisation, route)
