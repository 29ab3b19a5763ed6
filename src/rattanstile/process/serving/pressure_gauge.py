"""Pressure of one target, found from what its queue saw.

At the lowest priority still admitted, each organisation may send a fair rate;
one whose demand is larger is shed down to it (max-min fairness). The fair
rate is the one control variable: it falls with what the queue had to shed and
rises while slots are free.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

from rattanstile.process.serving.pressure import LARGEST_SHARE, PressureReport
from rattanstile.request.envelope import Call
from rattanstile.request.ids import OrganisationId
from rattanstile.request.priority import Priority

WINDOW_S = 0.1
DEMAND_MEMORY_S = 2.0
CUT_GAIN = 0.7
OCCUPANCY_WANTED = 0.5
OCCUPANCY_GAIN = 0.1
LEAST_BUSY = 0.4
LEAST_RISE = 1.02
FIRST_ADMITTED_SHARE = 0.05
SMALLEST_RATE_PER_S = 0.01
LEAST_OF_SERVED = 0.8
SPARED_SHARE = 0.06
SPARED_MARGIN = 1.2


@dataclass(slots=True)
class _Decaying:
    """A sum in which each addend fades."""

    total: float = 0.0
    at_s: float = 0.0

    def add(self, now_s: float, addend: float) -> None:
        self.total = self.value(now_s) + addend
        self.at_s = now_s

    def value(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.at_s)
        return self.total * math.exp(-age_s / DEMAND_MEMORY_S)

    def rate_per_s(self, now_s: float) -> float:
        return self.value(now_s) / DEMAND_MEMORY_S


@dataclass(slots=True)
class _Demand:
    """What one organisation wants, of one priority.

    Attributes:
        wanted: Cost of its calls, those shed at entries included.
        arrived: Calls that reached the queue.
        refused: Calls that the queue had to drop.
    """

    wanted: _Decaying = field(default_factory=_Decaying)
    arrived: _Decaying = field(default_factory=_Decaying)
    refused: _Decaying = field(default_factory=_Decaying)

    def rate_per_s(self, now_s: float) -> float:
        return self.wanted.rate_per_s(now_s)

    def hold(self, now_s: float) -> None:
        """Keep the estimate of calls that are all shed elsewhere."""
        self.wanted.at_s = now_s

    def is_spared(self, now_s: float) -> bool:
        """Tell whether the queue drops next to none of its calls."""
        refused = self.refused.value(now_s)
        return refused <= SPARED_SHARE * self.arrived.value(now_s)


@dataclass(slots=True)
class _Window:
    """What the queue saw since the window began."""

    began_s: float
    arrived: Counter[Priority] = field(default_factory=Counter)
    refused: Counter[Priority] = field(default_factory=Counter)


class PressureGauge:
    """Pressure of one target, by organisation.

    Args:
        now_s: Monotonic seconds.
    """

    def __init__(self, now_s: float) -> None:
        """Begin without pressure."""
        self._level = Priority.BACKGROUND
        self._fair_per_s = math.inf
        self._now_s = now_s
        self._window = _Window(now_s)
        self._demands: dict[tuple[Priority, OrganisationId], _Demand] = {}
        self._served = {one: _Decaying() for one in Priority}

    @property
    def level(self) -> Priority:
        """Return the lowest priority of which some calls are admitted."""
        return self._level

    @property
    def max_pressure(self) -> float:
        """Return the pressure of the organisation that is shed most."""
        return self._level + self._share(self._largest_demand())

    def report_for(self, organisation: OrganisationId, weight: int) -> PressureReport:
        """Return what a reply to an organisation's call tells.

        Args:
            organisation: Whose call it was.
            weight: Calls at once that the target bears.
        """
        pressure = self.pressure_of(organisation)
        return PressureReport(pressure, self.max_pressure, weight)

    def pressure_of(self, organisation: OrganisationId) -> float:
        """Return the pressure that calls of an organisation meet."""
        return self._level + self._share(self._demand_of(organisation))

    def arrived(self, now_s: float, call: Call, cost: float = 1.0) -> None:
        """Count a call that reached the queue.

        It stands for those that entries shed under the same pressure.

        Args:
            now_s: Monotonic seconds.
            call: The call.
            cost: Its slot time relative to the mean of all calls.
        """
        self._now_s = now_s
        priority = call.priority
        self._window.arrived[priority] += 1
        shed = min(LARGEST_SHARE, max(0.0, call.shed_pressure - priority))
        demand = self._demands.setdefault(
            (priority, call.organisation), _Demand()
        )
        demand.wanted.add(now_s, cost / (1 - shed))
        demand.arrived.add(now_s, 1.0)

    def dispatched(
        self, now_s: float, priority: Priority, cost: float = 1.0
    ) -> None:
        """Count a call that was sent to the target, with its cost."""
        self._served[priority].add(now_s, cost)

    def refused(self, now_s: float, call: Call) -> None:
        """Count a call that the queue shed or dropped for its deadline."""
        self._window.refused[call.priority] += 1
        demand = self._demands.get((call.priority, call.organisation))
        if demand:
            demand.refused.add(now_s, 1.0)

    def is_due(self, now_s: float) -> bool:
        """Tell whether the window is over, so that `update` closes it."""
        return now_s - self._window.began_s >= WINDOW_S

    def update(self, now_s: float, busy: float, occupancy: float) -> None:
        """Close the window when it is over.

        Args:
            now_s: Monotonic seconds.
            busy: Calls in flight over the limit.
            occupancy: Calls that wait over the queue's capacity.
        """
        if not self.is_due(now_s):
            return
        window = self._window
        self._now_s = now_s
        self._window = _Window(now_s)
        self._hold_shed_demands(now_s)
        max_pressure = max(window.refused, default=Priority.BACKGROUND)
        if window.refused and max_pressure >= self._level:
            self._cut(window, max_pressure)
        elif self._is_shedding:
            self._follow_queue(busy, occupancy)

    @property
    def _is_shedding(self) -> bool:
        return self._level > Priority.BACKGROUND or math.isfinite(
            self._fair_per_s
        )

    def _cut(self, window: _Window, max_pressure: Priority) -> None:
        if max_pressure > self._level:
            self._level = max_pressure
            self._fair_per_s = math.inf
        share = window.refused[max_pressure] / max(1, window.arrived[max_pressure])
        base_per_s = min(self._fair_per_s, self._largest_demand())
        kept = 1 - CUT_GAIN * min(1.0, share)
        self._fair_per_s = max(
            self._least_fair_per_s(), self._spared_per_s(), base_per_s * kept
        )

    def _least_fair_per_s(self) -> float:
        """Return the fair rate at which most of what is served is wanted.

        Entries learn of a cut late; without this floor the cuts made
        meanwhile would starve the target, and organisations within their
        share with it.
        """
        served_per_s = self._served[self._level].rate_per_s(self._now_s)
        least_per_s = fair_rate(
            self._level_demands(), LEAST_OF_SERVED * served_per_s
        )
        return max(SMALLEST_RATE_PER_S, least_per_s)

    def _spared_per_s(self) -> float:
        """Return the largest demand that no cut is to go below.

        An organisation that is not shed now, and of whose calls the queue
        drops next to none, is not what fills the queue.
        """
        spared = [
            demand.rate_per_s(self._now_s)
            for (priority, _), demand in self._demands.items()
            if priority is self._level and demand.is_spared(self._now_s)
        ]
        unshed = [one for one in spared if one <= self._fair_per_s]
        return SPARED_MARGIN * max(unshed, default=0.0)

    def _follow_queue(self, busy: float, occupancy: float) -> None:
        if occupancy > 0:
            factor = 1 + OCCUPANCY_GAIN * (OCCUPANCY_WANTED - occupancy)
        else:
            factor = max(LEAST_RISE, 1 / max(busy, LEAST_BUSY))
        self._fair_per_s *= factor
        if self._fair_per_s > self._largest_demand():
            self._admit_lower()

    def _admit_lower(self) -> None:
        """Begin to admit the next lower priority, a few calls at first."""
        self._fair_per_s = math.inf
        if self._level is Priority.BACKGROUND:
            return
        self._level = Priority(self._level - 1)
        first_per_s = FIRST_ADMITTED_SHARE * self._largest_demand()
        if first_per_s > SMALLEST_RATE_PER_S:
            self._fair_per_s = first_per_s

    def _hold_shed_demands(self, now_s: float) -> None:
        for key, demand in list(self._demands.items()):
            if key[0] < self._level:
                demand.hold(now_s)
            elif demand.rate_per_s(now_s) < SMALLEST_RATE_PER_S:
                self._demands.pop(key)

    def _demand_of(self, organisation: OrganisationId) -> float:
        demand = self._demands.get((self._level, organisation))
        return demand.rate_per_s(self._now_s) if demand else 0.0

    def _largest_demand(self) -> float:
        return max(self._level_demands(), default=0.0)

    def _level_demands(self) -> list[float]:
        return [
            demand.rate_per_s(self._now_s)
            for (priority, _), demand in self._demands.items()
            if priority is self._level
        ]

    def _share(self, demand_per_s: float) -> float:
        if demand_per_s <= self._fair_per_s:
            return 0.0
        return min(LARGEST_SHARE, 1 - self._fair_per_s / demand_per_s)


def fair_rate(demands: list[float], capacity: float) -> float:
    """Return the max-min fair rate.

    Args:
        demands: Calls a second that each organisation wants.
        capacity: Calls a second to share out.

    Returns:
        The rate up to which each gets what it wants so that the sum is the
        capacity; the largest demand when all fit.
    """
    left = capacity
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        equal = left / (len(ascending) - index)
        if demand > equal:
            return equal
        left -= demand
    return ascending[-1] if ascending else 0.0
