"""Pressure: what a service sheds, told on replies, kept at entries.

A pressure is a number from 0 to 3. Its whole part is the lowest priority
still admitted, its fraction the share shed of that priority. All hops of a
call tree compare it with one draw of the tree, so a tree admitted at the top
is not shed by the same pressure further down. The idea of one level for both
priority and a finer per-caller value is that of DAGOR (Zhou et al., 2018).

Each organisation has its own pressure, raised by what the queue shed of its
calls only, so that one that sends too much is shed before the others. The
whole part is common: no call is shed while lower priorities are admitted.
"""

from collections import Counter
from dataclasses import dataclass, field

from rattanstile.request.ids import (
    NodeId,
    OrganisationId,
    ServiceName,
)
from rattanstile.request.priority import Priority

WINDOW_S = 0.1
HIGHEST_PRESSURE = float(len(Priority))
RISE_GAIN = 0.5
FEWEST_STEP = 0.02
LEAST_BUSY = 0.5
OCCUPANCY_WANTED = 0.5
OCCUPANCY_GAIN = 0.05
HOLD_S = 0.5
DECAY_PER_S = 1.0
FORGET_S = 3.0


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


@dataclass(slots=True)
class _Lane:
    """Pressure of one organisation, and what the window saw of it."""

    pressure: float = 0.0
    arrived: Counter[Priority] = field(default_factory=Counter)
    refused: int = 0

    @property
    def admitted(self) -> float:
        return 1 - (self.pressure - shed_level(self.pressure))

    def rise(self) -> None:
        lowest = min(self.arrived, default=Priority.BACKGROUND)
        self.pressure = max(self.pressure, float(lowest))
        level = shed_level(self.pressure)
        share = min(1.0, self.refused / max(1, self.arrived[level]))
        self.step(max(FEWEST_STEP, RISE_GAIN * self.admitted * share))

    def fall(self, busy: float) -> None:
        admitted = self.admitted
        wanted = admitted / max(busy, LEAST_BUSY) - admitted
        self.step(-max(FEWEST_STEP, wanted))

    def step(self, change: float) -> None:
        changed = self.pressure + change
        self.pressure = min(HIGHEST_PRESSURE, max(0.0, changed))

    def clear(self) -> None:
        self.arrived.clear()
        self.refused = 0


class PressureGauge:
    """Pressure of one target, from what its queue saw.

    Args:
        now_s: Monotonic seconds.
    """

    def __init__(self, now_s: float) -> None:
        """Begin without pressure."""
        self._began_s = now_s
        self._lanes: dict[OrganisationId, _Lane] = {}
        self._level = Priority.BACKGROUND

    @property
    def level(self) -> Priority:
        """Return the lowest priority of which some calls are admitted."""
        return self._level

    @property
    def highest(self) -> float:
        """Return the pressure of the organisation that is shed most."""
        return max(
            (lane.pressure for lane in self._lanes.values()), default=0.0
        )

    def pressure_of(self, organisation: OrganisationId) -> float:
        """Return the pressure that calls of an organisation meet."""
        lane = self._lanes.get(organisation)
        return max(lane.pressure if lane else 0.0, float(self._level))

    def arrived(self, organisation: OrganisationId, priority: Priority) -> None:
        """Count a call that reached the queue."""
        self._lanes.setdefault(organisation, _Lane()).arrived[priority] += 1

    def refused(self, organisation: OrganisationId) -> None:
        """Count a call that the queue shed or dropped for its deadline."""
        self._lanes.setdefault(organisation, _Lane()).refused += 1

    def update(self, now_s: float, busy: float, occupancy: float) -> None:
        """Close the window when it is over.

        Args:
            now_s: Monotonic seconds.
            busy: Calls in flight over the limit.
            occupancy: Calls that wait over the queue's capacity.
        """
        if now_s - self._began_s < WINDOW_S:
            return
        self._began_s = now_s
        for organisation, lane in list(self._lanes.items()):
            self._update_lane(lane, busy, occupancy)
            if not lane.pressure and not lane.arrived:
                self._lanes.pop(organisation)
            lane.clear()
        self._level = shed_level(self.highest)

    def _update_lane(self, lane: _Lane, busy: float, occupancy: float) -> None:
        if lane.refused:
            lane.rise()
        elif not lane.pressure:
            return
        elif occupancy > 0:
            lane.step(OCCUPANCY_GAIN * (occupancy - OCCUPANCY_WANTED))
        else:
            lane.fall(busy)


@dataclass(frozen=True, slots=True)
class _Told:
    """What one node told last."""

    pressure: float
    weight: int
    told_s: float

    def decayed(self, now_s: float) -> float:
        held_s = now_s - self.told_s - HOLD_S
        return max(0.0, self.pressure - DECAY_PER_S * max(0.0, held_s))


class PressureMemory:
    """What replies told an entry about one service and organisation."""

    def __init__(self) -> None:
        """Begin without pressure."""
        self._told: dict[NodeId, _Told] = {}

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
        self._told[node_id] = _Told(pressure, max(1, weight), now_s)

    def pressure(self, now_s: float, priority: Priority) -> float:
        """Return the pressure that a call of this priority meets.

        It is the mean by capacity of what the nodes told last, less what has
        decayed; the least of it where transactions would be shed, so that no
        single node's word sheds one.
        """
        self._forget(now_s)
        if not self._told:
            return 0.0
        decayed = [
            (told.decayed(now_s), told.weight) for told in self._told.values()
        ]
        if priority is Priority.TRANSACTION:
            return min(pressure for pressure, _ in decayed)
        weights = sum(weight for _, weight in decayed)
        return sum(one * weight for one, weight in decayed) / weights

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing is remembered."""
        return not self._told

    def _forget(self, now_s: float) -> None:
        for node_id, told in list(self._told.items()):
            if now_s - told.told_s > FORGET_S:
                self._told.pop(node_id)


_MemoryKey = tuple[ServiceName, OrganisationId, str]
OWN = '='
"""Key of a service's own pressure, which is no path prefix."""


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
        self._tell(now_s, key, node_id, subtree, 1)

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
