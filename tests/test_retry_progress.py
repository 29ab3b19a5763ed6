"""Repeats that finish most trees, at the same budget."""

import unittest

from retry_fleet import Fault, Level, RetryFleet
from retry_ranking_fleet import RankingFleet

LEVELS = (Level('orders', 4, 4, 0.003), Level('taxes', 5, 0, 0.05))
"""About 35 runs are in progress on each node while no call is rejected."""
FAULT = Fault('taxes', 0.0, 8.5, 0.55)
ROOTS_PER_S = 640
SLACK = 50
SEEDS = range(1, 5)


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
            self.assertGreaterEqual(fleet.used_share(1, 0.0, 8.5), 0.9)

    def test_urgent_trees_finish_first(self):
        """The most urgent class was served worst: its inner calls had none."""
        finished = [finished_trees(self.ranked, each) for each in range(4)]
        self.assertEqual(finished, sorted(finished, reverse=True))

    def test_more_trees_finish_without_deadlines_of_the_root(self):
        """Positions are then inferred from the times of calls alone."""
        fleets = run_pattern(OwnDeadlineFleet)
        ratio = finished_trees(fleets) / finished_trees(self.in_order)
        self.assertGreaterEqual(ratio, 1.5)
