"""Pressure of one target, derived from the calls that its queue refuses.

At the lowest priority still admitted, each organisation may send a fair rate;
one whose demand is larger is shed down to it (max-min fairness). The fair
rate is the only control variable: it falls with the share of calls that the
queue refuses and rises while slots are free.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

from rattanstile.process.serving.pressure import MAX_SHED_SHARE, PressureReport
from rattanstile.request.envelope import Call
from rattanstile.request.ids import OrganisationId
from rattanstile.request.priority import Priority

WINDOW_S = 0.1
DEMAND_DECAY_S = 2.0
DECREASE_GAIN = 0.7
OCCUPANCY_SETPOINT = 0.5
OCCUPANCY_GAIN = 0.1
MIN_UTILISATION = 0.4
MIN_INCREASE_FACTOR = 1.02
INITIAL_ADMITTED_SHARE = 0.05
MIN_RATE_PER_S = 0.01
MIN_SERVED_SHARE = 0.8
MAX_PROTECTED_REFUSAL_SHARE = 0.06
PROTECTED_DEMAND_MARGIN = 1.2


@dataclass(slots=True)
class _DecayingSum:
    """A sum whose addends decay exponentially."""

    total: float = 0.0
    updated_s: float = 0.0

    def add(self, now_s: float, addend: float) -> None:
        self.total = self.value(now_s) + addend
        self.updated_s = now_s

    def value(self, now_s: float) -> float:
        age_s = max(0.0, now_s - self.updated_s)
        return self.total * math.exp(-age_s / DEMAND_DECAY_S)

    def rate_per_s(self, now_s: float) -> float:
        return self.value(now_s) / DEMAND_DECAY_S


@dataclass(slots=True)
class _Demand:
    """Demand of one organisation at one priority.

    Attributes:
        offered: Cost of its calls, including those shed at entries.
        arrived: Number of calls that reached the queue.
        refused: Number of calls that the queue refused.
    """

    offered: _DecayingSum = field(default_factory=_DecayingSum)
    arrived: _DecayingSum = field(default_factory=_DecayingSum)
    refused: _DecayingSum = field(default_factory=_DecayingSum)

    def rate_per_s(self, now_s: float) -> float:
        return self.offered.rate_per_s(now_s)

    def stop_decay(self, now_s: float) -> None:
        """Keep the estimate while entries shed all of the calls."""
        self.offered.updated_s = now_s

    def is_protected(self, now_s: float) -> bool:
        """Return whether the queue refuses almost none of its calls."""
        refused = self.refused.value(now_s)
        return refused <= MAX_PROTECTED_REFUSAL_SHARE * self.arrived.value(
            now_s
        )


@dataclass(slots=True)
class _Window:
    """Calls at the queue since the window began."""

    began_s: float
    arrived: Counter[Priority] = field(default_factory=Counter)
    refused: Counter[Priority] = field(default_factory=Counter)


class PressureGauge:
    """Pressure of one target, by organisation.

    Args:
        now_s: Monotonic seconds.
    """

    def __init__(self, now_s: float) -> None:
        """Start without pressure."""
        self._level = Priority.BACKGROUND
        self._fair_rate_per_s = math.inf
        self._now_s = now_s
        self._window = _Window(now_s)
        self._demands: dict[tuple[Priority, OrganisationId], _Demand] = {}
        self._served = {priority: _DecayingSum() for priority in Priority}

    @property
    def level(self) -> Priority:
        """Return the lowest priority of which some calls are admitted."""
        return self._level

    @property
    def max_pressure(self) -> float:
        """Return the pressure of the organisation that is shed most."""
        return self._level + self._shed_share(self._largest_demand())

    def report_for(
        self, organisation: OrganisationId, weight: int
    ) -> PressureReport:
        """Return the pressure to report in a reply.

        Args:
            organisation: Organisation of the call.
            weight: Concurrency limit of the target.
        """
        pressure = self.pressure_of(organisation)
        return PressureReport(pressure, self.max_pressure, weight)

    def pressure_of(self, organisation: OrganisationId) -> float:
        """Return the pressure that applies to an organisation's calls."""
        return self._level + self._shed_share(self._demand_of(organisation))

    def arrived(self, now_s: float, call: Call, cost: float = 1.0) -> None:
        """Record a call that reached the queue.

        Its demand is scaled up to include the calls that entries shed at the
        same pressure.

        Args:
            now_s: Monotonic seconds.
            call: The call.
            cost: Slot time relative to the mean of all calls.
        """
        self._now_s = now_s
        priority = call.priority
        self._window.arrived[priority] += 1
        shed = min(MAX_SHED_SHARE, max(0.0, call.shed_pressure - priority))
        demand = self._demands.setdefault(
            (priority, call.organisation), _Demand()
        )
        demand.offered.add(now_s, cost / (1 - shed))
        demand.arrived.add(now_s, 1.0)

    def dispatched(
        self, now_s: float, priority: Priority, cost: float = 1.0
    ) -> None:
        """Record the cost of a call that was sent to the target."""
        self._served[priority].add(now_s, cost)

    def refused(self, now_s: float, call: Call) -> None:
        """Record a call that the queue shed or dropped for its deadline."""
        self._window.refused[call.priority] += 1
        demand = self._demands.get((call.priority, call.organisation))
        if demand:
            demand.refused.add(now_s, 1.0)

    def is_due(self, now_s: float) -> bool:
        """Return whether the window is over and `update` will close it."""
        return now_s - self._window.began_s >= WINDOW_S

    def update(
        self, now_s: float, utilisation: float, occupancy: float
    ) -> None:
        """Close the window if it is over and adjust the pressure.

        Args:
            now_s: Monotonic seconds.
            utilisation: Calls in flight divided by the concurrency limit.
            occupancy: Queued calls divided by the capacity of the queue.
        """
        if not self.is_due(now_s):
            return
        window = self._window
        self._now_s = now_s
        self._window = _Window(now_s)
        self._hold_shed_demands(now_s)
        highest_refused = max(window.refused, default=Priority.BACKGROUND)
        if window.refused and highest_refused >= self._level:
            self._decrease_fair_rate(window, highest_refused)
        elif self._is_shedding:
            self._adjust_fair_rate(utilisation, occupancy)

    @property
    def _is_shedding(self) -> bool:
        return self._level > Priority.BACKGROUND or math.isfinite(
            self._fair_rate_per_s
        )

    def _decrease_fair_rate(self, window: _Window, priority: Priority) -> None:
        if priority > self._level:
            self._level = priority
            self._fair_rate_per_s = math.inf
        refused_share = window.refused[priority] / max(
            1, window.arrived[priority]
        )
        base_per_s = min(self._fair_rate_per_s, self._largest_demand())
        kept_share = 1 - DECREASE_GAIN * min(1.0, refused_share)
        self._fair_rate_per_s = max(
            self._min_fair_rate_per_s(),
            self._protected_rate_per_s(),
            base_per_s * kept_share,
        )

    def _min_fair_rate_per_s(self) -> float:
        """Return the lower bound of the fair rate.

        It admits `MIN_SERVED_SHARE` of the rate that the target now serves.
        Entries learn of a decrease with a delay; without this bound, the
        decreases made meanwhile would starve the target and organisations
        that stay within their share.
        """
        served_per_s = self._served[self._level].rate_per_s(self._now_s)
        min_per_s = fair_rate(
            self._level_demands(), MIN_SERVED_SHARE * served_per_s
        )
        return max(MIN_RATE_PER_S, min_per_s)

    def _protected_rate_per_s(self) -> float:
        """Return the largest protected demand, with a margin.

        No decrease goes below it. An organisation that is not shed now, and
        of whose calls the queue refuses almost none, does not cause the
        overload.
        """
        protected = [
            demand.rate_per_s(self._now_s)
            for (priority, _), demand in self._demands.items()
            if priority is self._level and demand.is_protected(self._now_s)
        ]
        unshed = [rate for rate in protected if rate <= self._fair_rate_per_s]
        return PROTECTED_DEMAND_MARGIN * max(unshed, default=0.0)

    def _adjust_fair_rate(self, utilisation: float, occupancy: float) -> None:
        if occupancy > 0:
            factor = 1 + OCCUPANCY_GAIN * (OCCUPANCY_SETPOINT - occupancy)
        else:
            factor = max(
                MIN_INCREASE_FACTOR, 1 / max(utilisation, MIN_UTILISATION)
            )
        self._fair_rate_per_s *= factor
        if self._fair_rate_per_s > self._largest_demand():
            self._admit_next_priority()

    def _admit_next_priority(self) -> None:
        """Admit the next lower priority, at first only a few of its calls."""
        self._fair_rate_per_s = math.inf
        if self._level is Priority.BACKGROUND:
            return
        self._level = Priority(self._level - 1)
        initial_per_s = INITIAL_ADMITTED_SHARE * self._largest_demand()
        if initial_per_s > MIN_RATE_PER_S:
            self._fair_rate_per_s = initial_per_s

    def _hold_shed_demands(self, now_s: float) -> None:
        for key, demand in list(self._demands.items()):
            if key[0] < self._level:
                demand.stop_decay(now_s)
            elif demand.rate_per_s(now_s) < MIN_RATE_PER_S:
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

    def _shed_share(self, demand_per_s: float) -> float:
        if demand_per_s <= self._fair_rate_per_s:
            return 0.0
        return min(MAX_SHED_SHARE, 1 - self._fair_rate_per_s / demand_per_s)


def fair_rate(demands: list[float], capacity: float) -> float:
    """Return the max-min fair rate.

    Args:
        demands: Demand of each organisation in calls per second.
        capacity: Calls per second to distribute.

    Returns:
        The rate in calls per second at which the demands, each cut off at
        this rate, add up to the capacity; the largest demand if all fit.
    """
    remaining = capacity
    ascending = sorted(demands)
    for index, demand in enumerate(ascending):
        equal_share = remaining / (len(ascending) - index)
        if demand > equal_share:
            return equal_share
        remaining -= demand
    return ascending[-1] if ascending else 0.0
