"""Grants the repeats of a small budget to the calls that finish most work.

The load pattern: for some seconds every target of the deepest service rejects
half of its calls at random, and a tree needs several such calls in sequence. A
budget of a fifth of the requests can't repeat all of them. First come, first
served spends it on trees that fail at a later call.

A repeat has a cost: the calls that its tree still needs, more for less urgent
requests. Costs are ranked by the recent demand for repeats. The budget earned
goes to the lowest costs, so the highest cost that is granted rises and falls
with what is left of the budget. All are granted while the budget is enough for
the demand, as when one target rejects or only few calls are rejected.
"""

import math
from dataclasses import dataclass, field
from enum import Enum, unique

from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.request.ids import ServiceName

COST_CLASSES = 64
CLASSES_PER_DOUBLING = 8
DEMAND_WINDOW_S = 0.5
"""Time constant of the smoothed demand for repeats."""
FORGOTTEN = 0.02
MIN_WINDOW_S = 0.02
MAX_REJECTED_SHARE = 0.8
KEPT_FOR_S = 0.1
"""Time for which lower costs find a repeat while the budget is used up: one
percent of the window."""
REJECTING_FOR_S = 8.0
"""Time for which rejections are expected to go on: what lower costs will need
beyond what is earned in it is kept for them."""
URGENCY_STEP = 0.1
"""Increase of the cost with each step of urgency. It ranks the more urgent of
two calls with as many calls left, and seldom turns the order of others."""
MAX_SERVICES = 200


@unique
class RepeatDecision(Enum):
    """Whether a rejected call is repeated.

    Attributes:
        KEPT: The budget is kept for calls with a lower cost.
        EXHAUSTED: The budget is used up.
    """

    GRANTED = 'granted'
    KEPT = 'kept'
    EXHAUSTED = 'exhausted'


def repeat_cost(calls_left: float, urgency: int) -> float:
    """Return the cost of repeating a call.

    Args:
        calls_left: Calls that its tree still needs, itself included.
        urgency: Priority of the root request; 0 is the most urgent.
    """
    return max(1.0, calls_left) * (1 + URGENCY_STEP * max(0, urgency))


def _cost_class(cost: float) -> int:
    number = round(CLASSES_PER_DOUBLING * math.log2(max(1.0, cost)))
    return min(number, COST_CLASSES - 1)


@dataclass(slots=True)
class _Demand:
    """Smoothed demand for repeats of one service.

    Attributes:
        calls: Repeats that recently rejected calls need, by class of cost.
        rejected: Number of recently rejected calls.
        granted: Number of them that were repeated.
        window_s: Time in which they were rejected, weighted alike.
        updated_s: Monotonic time of the last one.
    """

    calls: list[float] = field(
        default_factory=lambda: [0.0 for _ in range(COST_CLASSES)]
    )
    rejected: float = 0.0
    granted: float = 0.0
    window_s: float = 0.0
    updated_s: float = float('-inf')

    def add(self, now_s: float, cost_class: int) -> None:
        """Add one call that was rejected."""
        passed_s = now_s - self.updated_s
        kept = math.exp(-passed_s / DEMAND_WINDOW_S)
        if kept < FORGOTTEN:
            # The calls are rejected anew: the time without is no demand.
            passed_s = MIN_WINDOW_S
            kept = 0.0
        self.updated_s = now_s
        self.window_s = self.window_s * kept + passed_s
        self.rejected = self.rejected * kept + 1
        self.granted *= kept
        self.calls = [calls * kept for calls in self.calls]
        self.calls[cost_class] += 1

    def refuse(self, cost_class: int, first_per_s: float) -> None:
        """Add the further repeats that a refused call would have needed.

        Otherwise costs that are refused would seem to need less, and higher
        ones would be granted in their place.
        """
        attempts = first_per_s * min(self.window_s, DEMAND_WINDOW_S)
        attempts += self.granted
        rejected_share = self.rejected / max(attempts, self.rejected)
        share = min(MAX_REJECTED_SHARE, rejected_share)
        self.calls[cost_class] += share / (1 - share)

    def cheaper_per_s(self, cost_class: int) -> float:
        """Return the rate of rejected calls with a lower cost."""
        window_s = min(self.window_s, DEMAND_WINDOW_S)
        return sum(self.calls[:cost_class]) / window_s


class RepeatRanking:
    """Decides which rejected calls are repeated.

    Args:
        budget: Retry budget of each service.
    """

    def __init__(self, budget: RerunBudget) -> None:
        """Start without demand."""
        self._budget = budget
        self._demands: dict[ServiceName, _Demand] = {}

    def decide(
        self, now_s: float, service: ServiceName, cost: float
    ) -> RepeatDecision:
        """Count one repeat if it is granted; return the decision."""
        demand = self._demands.get(service)
        if demand is None:
            if len(self._demands) >= MAX_SERVICES:
                self._demands.clear()
            demand = self._demands.setdefault(service, _Demand())
        cost_class = _cost_class(cost)
        demand.add(now_s, cost_class)
        kept = self._kept(now_s, service, demand.cheaper_per_s(cost_class))
        left = self._budget.left(now_s, service)
        if left >= 1 + kept and self._budget.spend(now_s, service):
            demand.granted += 1
            return RepeatDecision.GRANTED
        demand.refuse(cost_class, self._budget.first_per_s(now_s, service))
        return RepeatDecision.EXHAUSTED if left < 1 else RepeatDecision.KEPT

    def _kept(
        self, now_s: float, service: ServiceName, cheaper_per_s: float
    ) -> float:
        """Return the repeats that are kept for calls with a lower cost."""
        earned_per_s = self._budget.ratio * self._budget.first_per_s(
            now_s, service
        )
        excess_per_s = max(0.0, cheaper_per_s - earned_per_s)
        return KEPT_FOR_S * cheaper_per_s + REJECTING_FOR_S * excess_per_s
