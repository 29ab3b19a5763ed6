"""Repeats that finish most trees, at the same budget."""

import unittest

from retry_fleet import Fault, Level, Node, RetryFleet

from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.process.mesh.placement.repeat_ranking import (
    RepeatDecision,
    RepeatRanking,
    repeat_cost,
)
from rattanstile.process.mesh.placement.run_positions import Run, RunPositions

LEVELS = (Level('orders', 4, 4, 0.003), Level('taxes', 5, 0, 0.05))
"""About 35 runs are in progress on each node while no call is rejected."""
FAULT = Fault('taxes', 0.0, 8.5, 0.55)
ROOTS_PER_S = 640
SLACK = 50
SEEDS = range(1, 5)
OWN_DEADLINE_S = 1.5
TAXES = RunKind('taxes', 'taxes')


class RankingNode(Node):
    """A node that infers positions and ranks repeats, as the product does."""

    def __init__(self, fleet, level, index):
        super().__init__(fleet, level, index)
        needs = {TAXES: 4.0} if level == 0 else {}
        self.positions = RunPositions(lambda route: needs)
        self.ranking = RepeatRanking(self.budget)


class RankingFleet(RetryFleet):
    """Repeats calls by progress and urgency."""

    def new_node(self, level, index):
        return RankingNode(self, level, index)

    passes_deadline = True

    def run_began(self, call, node):
        call.run = Run(
            self.levels[call.level].name,
            is_repeat=call.is_repeat,
            urgency=call.urgency,
            deadline_s=call.deadline_s,
        )
        node.positions.began(self.now_s, call.run)

    def infer(self, inner, call, node):
        inner.deadline_s = self.now_s + OWN_DEADLINE_S
        if self.passes_deadline:
            # Whole milliseconds of the time left, as a message carries them.
            left_ms = int((call.deadline_s - self.now_s) * 1000)
            inner.deadline_s = self.now_s + left_ms / 1000
        inner.origin = node.positions.called(
            self.now_s, TAXES, inner.deadline_s
        )
        inner.is_repeat = inner.origin.run.is_repeat

    def may_repeat(self, call):
        origin = call.origin
        left = call.node.positions.calls_left(self.now_s, origin).values()
        cost = repeat_cost(1 + sum(left), origin.run.urgency)
        decision = call.node.ranking.decide(
            self.now_s, self.levels[call.level].name, cost
        )
        return decision is RepeatDecision.GRANTED

    def inner_ended(self, inner, is_ok):
        inner.node.positions.answered(
            self.now_s, inner.origin, has_failed=not is_ok
        )

    def end_run(self, call, node, reservation, is_ok):
        node.positions.ended(self.now_s, call.run, has_finished=is_ok)
        super().end_run(call, node, reservation, is_ok)


class OwnDeadlineFleet(RankingFleet):
    """Targets set a deadline of their own on each call."""

    passes_deadline = False


def run_pattern(fleet_class):
    """Return the fleets of the pattern, one for each seed."""
    return [
        fleet_class(
            LEVELS, ROOTS_PER_S, (FAULT,), seed, seconds=8.5, slack=SLACK
        ).run()
        for seed in SEEDS
    ]


def finished_trees(fleets, urgency=None):
    return sum(
        ok
        for fleet in fleets
        for _, root_urgency, ok in fleet.roots
        if urgency in {None, root_urgency}
    )


class RetryProgressTest(unittest.TestCase):
    """A tree needs four calls, each of which is rejected with 0.55."""

    @classmethod
    def setUpClass(cls):
        cls.in_order = run_pattern(RetryFleet)
        cls.ranked = run_pattern(RankingFleet)

    def test_more_trees_finish(self):
        """First come, first served spent repeats on trees that fail later.

        The best policy of the model finishes 1.9 times as many trees.
        """
        ratio = finished_trees(self.ranked) / finished_trees(self.in_order)
        self.assertGreaterEqual(ratio, 1.8)

    def test_budget_holds(self):
        """The ranking takes no repeat that the budget doesn't have."""
        for fleet in self.ranked:
            self.assertLessEqual(fleet.excess(), 0)

    def test_budget_is_used(self):
        """What is kept for better calls must not be left over."""
        for fleet in self.ranked:
            self.assertGreaterEqual(fleet.used_share(1, 0.0, 8.5), 0.95)

    def test_urgent_trees_finish_first(self):
        """The most urgent class was served worst: its inner calls had none."""
        finished = [finished_trees(self.ranked, each) for each in range(4)]
        self.assertEqual(finished, sorted(finished, reverse=True))

    def test_more_trees_finish_without_deadlines_of_the_root(self):
        """Positions are then inferred from the times of calls alone."""
        fleets = run_pattern(OwnDeadlineFleet)
        ratio = finished_trees(fleets) / finished_trees(self.in_order)
        self.assertGreaterEqual(ratio, 1.5)
