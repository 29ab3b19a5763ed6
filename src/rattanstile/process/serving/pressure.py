"""Pressure: which share of the calls to a service is shed.

Replies report the pressure; entries store it and shed calls by it.

A pressure is a number from 0 to 3. Its integer part is the lowest priority
still admitted, its fraction the share of that priority that is shed. All hops
of a call tree compare it with the same random draw, so a tree admitted at the
top is not shed by the same pressure further down. A single admission level
for both priority and a finer per-caller value is an idea from DAGOR (Zhou et
al., 2018).

Each organisation has its own pressure, so that one that sends too much is
shed before the others. The integer part is common to all: no call is shed
while calls of a lower priority are admitted.
"""

import math
from dataclasses import dataclass

from rattanstile.request.ids import (
    NodeId,
    OrganisationId,
    ServiceName,
)
from rattanstile.request.priority import Priority

DECAY_DELAY_S = 1.0
ADMITTED_DOUBLING_S = 1.0
MIN_ADMITTED_SHARE = 0.02
MAX_SHED_SHARE = 0.98
REPORT_TTL_S = 10.0


@dataclass(frozen=True, slots=True)
class CallClass:
    """Properties of a call that decide whether it is shed.

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
    """Return whether a call tree with this draw in [0, 1) is shed."""
    return draw < pressure - priority


def decay_pressure(pressure: float, doublings: float) -> float:
    """Return a pressure after a number of doublings of its admitted share.

    A priority that is fully admitted is followed by the next lower one, at
    `MIN_ADMITTED_SHARE` of its calls.
    """
    while pressure > 0:
        level = shed_level(pressure)
        admitted = _admitted_share(pressure)
        doublings_to_full = -math.log2(admitted)
        if doublings_to_full >= doublings:
            return level + 1 - admitted * 2**doublings
        doublings -= doublings_to_full
        pressure = float(level)
        if level is Priority.BACKGROUND:
            return 0.0
        pressure -= MIN_ADMITTED_SHARE
    return 0.0


@dataclass(frozen=True, slots=True)
class PressureReport:
    """Pressure that applied to a call, as its reply reports it.

    Attributes:
        pressure: Pressure of the call's own organisation.
        ceiling: Pressure of the organisation that is shed most.
        weight: Concurrency limit of the target that the ceiling applies to.
    """

    pressure: float
    ceiling: float
    weight: int = 1

    @property
    def level(self) -> Priority:
        """Return the lowest priority of which some calls are admitted."""
        return shed_level(self.ceiling)

    @property
    def relative_demand(self) -> float | None:
        """Return the organisation's demand divided by the largest demand.

        None if its calls are not shed, as only an upper bound is known then.
        """
        shed = self.pressure - self.level
        if shed <= 0:
            return None
        admitted = 1 - min(MAX_SHED_SHARE, shed)
        return min(1.0, _admitted_share(self.ceiling) / admitted)


@dataclass(frozen=True, slots=True)
class _RelativeDemand:
    """Demand of one organisation divided by the largest, at one level."""

    ratio: float
    level: Priority
    reported_s: float


class PressureTracker:
    """Pressure that replies reported to an entry for one service or route.

    The ceiling changes fast and is common to all organisations: a reply to
    any of them updates it. The demands of the organisations relative to each
    other change slowly.
    """

    def __init__(self) -> None:
        """Start without pressure."""
        self._reports: dict[NodeId, tuple[PressureReport, float]] = {}
        self._demands: dict[OrganisationId, _RelativeDemand] = {}
        self._last_report_s = -math.inf

    def record(
        self,
        now_s: float,
        node_id: NodeId,
        organisation: OrganisationId,
        report: PressureReport,
    ) -> None:
        """Store the report of a reply in place of the node's earlier one."""
        self._last_report_s = now_s
        self._reports[node_id] = (report, now_s)
        ratio = report.relative_demand
        if ratio is None:
            self._demands.pop(organisation, None)
        else:
            self._demands[organisation] = _RelativeDemand(
                ratio, report.level, now_s
            )

    def pressure_for(
        self, now_s: float, call_class: CallClass
    ) -> PressureReport:
        """Return the pressure that applies to a call.

        It is derived from the mean of the reported ceilings, weighted by
        capacity. For transactions it is derived from the lowest ceiling, so
        that the report of a single node does not shed a transaction that
        other nodes admit. The ceiling decays after `DECAY_DELAY_S` without a
        report.
        """
        ceiling = self._ceiling(now_s, call_class.priority)
        level = shed_level(ceiling)
        demand = self._demands.get(call_class.organisation)
        if demand is None or demand.level is not level:
            return PressureReport(float(level), ceiling)
        shed = 1 - _admitted_share(ceiling) / demand.ratio
        pressure = level + min(MAX_SHED_SHARE, max(0.0, shed))
        return PressureReport(pressure, ceiling)

    def drop_expired(self, now_s: float) -> bool:
        """Remove expired reports and return whether none is left."""
        if now_s - self._last_report_s > REPORT_TTL_S:
            self._reports.clear()
            self._demands.clear()
        for organisation, demand in list(self._demands.items()):
            if now_s - demand.reported_s > REPORT_TTL_S:
                self._demands.pop(organisation)
        return not self._reports

    def _ceiling(self, now_s: float, priority: Priority) -> float:
        fresh = [
            report
            for report, reported_s in self._reports.values()
            if self._last_report_s - reported_s <= REPORT_TTL_S
        ]
        if not fresh or now_s - self._last_report_s > REPORT_TTL_S:
            return 0.0
        if priority is Priority.TRANSACTION:
            ceiling = min(report.ceiling for report in fresh)
        else:
            total_weight = sum(report.weight for report in fresh)
            ceiling = (
                sum(report.ceiling * report.weight for report in fresh)
                / total_weight
            )
        decaying_s = now_s - self._last_report_s - DECAY_DELAY_S
        if decaying_s <= 0:
            return ceiling
        return decay_pressure(ceiling, decaying_s / ADMITTED_DOUBLING_S)


_TrackerKey = tuple[ServiceName, str]
OWN_PRESSURE_KEY = '='
"""Key of a service's own pressure; no path prefix equals it."""
ANY_NODE = NodeId('')
"""Node id under which subtree pressure is stored.

The node that passes it on adds nothing to it, so reports through different
nodes replace each other.
"""


class PressureTable:
    """Pressure reported to one entry, by service and by route."""

    def __init__(self) -> None:
        """Start without pressure."""
        self._trackers: dict[_TrackerKey, PressureTracker] = {}

    def pressure(self, now_s: float, call_class: CallClass) -> PressureReport:
        """Return the larger of the service's own and the route's pressure."""
        largest = PressureReport(0.0, 0.0)
        for key in (OWN_PRESSURE_KEY, call_class.route):
            tracker = self._trackers.get((call_class.service, key))
            if tracker:
                reported = tracker.pressure_for(now_s, call_class)
                largest = max(
                    largest, reported, key=lambda report: report.pressure
                )
        return largest

    def record_reply(
        self,
        now_s: float,
        call_class: CallClass,
        node_id: NodeId,
        own: PressureReport,
        subtree: PressureReport,
    ) -> None:
        """Store the pressure reported in the reply to a call.

        Args:
            now_s: Monotonic seconds.
            call_class: The call.
            node_id: The node that replied.
            own: Pressure of the replying node's own target.
            subtree: Pressure that applied to the calls made by the call.
        """
        self._record(now_s, call_class, OWN_PRESSURE_KEY, node_id, own)
        self._record(now_s, call_class, call_class.route, ANY_NODE, subtree)

    def drop_expired(self, now_s: float) -> None:
        """Remove expired reports, so that recent calls bound the memory."""
        for key, tracker in list(self._trackers.items()):
            if tracker.drop_expired(now_s):
                self._trackers.pop(key)

    def _record(
        self,
        now_s: float,
        call_class: CallClass,
        route: str,
        node_id: NodeId,
        report: PressureReport,
    ) -> None:
        key = (call_class.service, route)
        tracker = self._trackers.get(key)
        if tracker is None:
            if not report.ceiling:
                return
            tracker = self._trackers.setdefault(key, PressureTracker())
        tracker.record(now_s, node_id, call_class.organisation, report)


def _admitted_share(pressure: float) -> float:
    """Return the admitted share of the lowest priority admitted."""
    return max(MIN_ADMITTED_SHARE, 1 - (pressure - shed_level(pressure)))
