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
LARGEST_SHARE = 0.98
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
        admitted = _admitted(pressure)
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
class PressureReport:
    """What a reply tells of the pressure that its call met.

    Attributes:
        pressure: That of the call's own organisation.
        ceiling: That of the organisation that is shed most.
        weight: Calls at once that the ceiling speaks for.
    """

    pressure: float
    ceiling: float
    weight: int = 1

    @property
    def level(self) -> Priority:
        """Return the lowest priority of which some calls are admitted."""
        return shed_level(self.ceiling)

    @property
    def demand(self) -> float | None:
        """Return the organisation's demand over the largest one.

        None when it is not shed at all, so that only a bound is known.
        """
        shed = self.pressure - self.level
        if shed <= 0:
            return None
        admitted = 1 - min(LARGEST_SHARE, shed)
        return min(1.0, _admitted(self.ceiling) / admitted)


@dataclass(frozen=True, slots=True)
class _Demand:
    """Demand of one organisation over the largest one, at one level."""

    demand: float
    level: Priority
    told_s: float


class PressureMemory:
    """What replies told an entry about one service or route.

    The ceiling moves fast and is common: any organisation's reply renews it.
    The demands of the organisations relative to each other move slowly.
    """

    def __init__(self) -> None:
        """Begin without pressure."""
        self._ceilings: dict[NodeId, tuple[PressureReport, float]] = {}
        self._demands: dict[OrganisationId, _Demand] = {}
        self._heard_s = -math.inf

    def record_reply(
        self,
        now_s: float,
        node_id: NodeId,
        organisation: OrganisationId,
        record_reply: PressureReport,
    ) -> None:
        """Keep what a reply told, in place of the node's earlier word."""
        self._heard_s = now_s
        self._ceilings[node_id] = (record_reply, now_s)
        demand = record_reply.demand
        if demand is None:
            self._demands.pop(organisation, None)
        else:
            self._demands[organisation] = _Demand(demand, record_reply.level, now_s)

    def met(self, now_s: float, asked: CallClass) -> PressureReport:
        """Return the pressure that a call meets.

        It follows from the mean ceiling by capacity, relaxed when none has
        told anything for a while; from the least ceiling where transactions
        would be shed, so that no single node's word sheds one.
        """
        ceiling = self._ceiling(now_s, asked.priority)
        level = shed_level(ceiling)
        demand = self._demands.get(asked.organisation)
        if demand is None or demand.level is not level:
            return PressureReport(float(level), ceiling)
        shed = 1 - _admitted(ceiling) / demand.demand
        pressure = level + min(LARGEST_SHARE, max(0.0, shed))
        return PressureReport(pressure, ceiling)

    def drop_expired(self, now_s: float) -> bool:
        """Drop what is too old; tell whether nothing is left."""
        if now_s - self._heard_s > FORGET_S:
            self._ceilings.clear()
            self._demands.clear()
        for organisation, demand in list(self._demands.items()):
            if now_s - demand.told_s > FORGET_S:
                self._demands.pop(organisation)
        return not self._ceilings

    def _ceiling(self, now_s: float, priority: Priority) -> float:
        fresh = [
            record_reply
            for record_reply, told_s in self._ceilings.values()
            if self._heard_s - told_s <= FORGET_S
        ]
        if not fresh or now_s - self._heard_s > FORGET_S:
            return 0.0
        if priority is Priority.TRANSACTION:
            ceiling = min(record_reply.ceiling for record_reply in fresh)
        else:
            weights = sum(record_reply.weight for record_reply in fresh)
            ceiling = sum(one.ceiling * one.weight for one in fresh) / weights
        silent_s = now_s - self._heard_s - HOLD_S
        if silent_s <= 0:
            return ceiling
        return relaxed(ceiling, silent_s / DOUBLING_S)


_MemoryKey = tuple[ServiceName, str]
OWN = '='
"""Key of a service's own pressure, which is no path prefix."""
ANY_NODE = NodeId('')
"""Source of subtree pressure: the node between adds nothing to it."""


class PressureTable:
    """All that one entry remembers, by service and by route."""

    def __init__(self) -> None:
        """Begin without pressure."""
        self._memories: dict[_MemoryKey, PressureMemory] = {}

    def pressure(self, now_s: float, asked: CallClass) -> PressureReport:
        """Return the larger of the service's own and the route's pressure."""
        found = PressureReport(0.0, 0.0)
        for key in (OWN, asked.route):
            memory = self._memories.get((asked.service, key))
            if memory:
                record_reply = memory.met(now_s, asked)
                found = max(found, record_reply, key=lambda one: one.pressure)
        return found

    def record_reply(
        self,
        now_s: float,
        asked: CallClass,
        node_id: NodeId,
        own: PressureReport,
        subtree: PressureReport,
    ) -> None:
        """Keep what the reply to a call told.

        Args:
            now_s: Monotonic seconds.
            asked: The call.
            node_id: The node that replied.
            own: What it told of its own target.
            subtree: What it told of the calls that the call made.
        """
        self._tell(now_s, asked, OWN, node_id, own)
        self._tell(now_s, asked, asked.route, ANY_NODE, subtree)

    def drop_expired(self, now_s: float) -> None:
        """Drop what is too old; keeps memory bounded by recent calls."""
        for key, memory in list(self._memories.items()):
            if memory.drop_expired(now_s):
                self._memories.pop(key)

    def _tell(
        self,
        now_s: float,
        asked: CallClass,
        route: str,
        node_id: NodeId,
        record_reply: PressureReport,
    ) -> None:
        key = (asked.service, route)
        memory = self._memories.get(key)
        if memory is None:
            if not record_reply.ceiling:
                return
            memory = self._memories.setdefault(key, PressureMemory())
        memory.record_reply(now_s, node_id, asked.organisation, record_reply)


def _admitted(pressure: float) -> float:
    """Return the share admitted of the lowest priority admitted."""
    return max(FIRST_ADMITTED, 1 - (pressure - shed_level(pressure)))
