"""Repeats of a fleet in any window of ten seconds, at several levels."""

import unittest
from random import Random

from retry_fleet import Fault, Level, RetryFleet, Surge
from retry_ranking_fleet import RankingFleet

LEVELS = (
    Level('gate', 12, 1, 0.01),
    Level('orders', 12, 2, 0.01),
    Level('prices', 10, 2, 0.005),
    Level('taxes', 5, 0, 0.05),
)
PATTERN = (
    Fault('taxes', 3.0, 5.0, 0.35),
    Fault('prices', 9.0, 4.0, 0.7),
    Fault('taxes', 18.0, 6.0, 0.5),
)
SURGES = (Surge(12.0, 4.0, 1.6),)
SLACK = 20
"""A fifth of the usual, as the traffic is about a fifth of what was measured."""

SEEDS = 200


def pattern_fleet(seed):
    return RetryFleet(
        LEVELS, 90, PATTERN, seed, seconds=30, slack=SLACK, surges=SURGES
    )


class RetryBudgetPatternTest(unittest.TestCase):
    """Two services reject one after the other, while traffic surges."""

    def test_budget_holds_at_all_levels(self):
        """The deepest service got 4,041 repeats where 3,966 were allowed.

        Calls of repeated runs were counted, but never refused: they came on
        top of the repeats of the deepest service's own rejected calls. The
        last check guards against a pattern without such calls.
        """
        for seed in range(3):
            fleet = pattern_fleet(seed).run()
            self.assertLessEqual(fleet.excess(), 0, seed)
            self.assertGreater(sum(fleet.counts[3].inherited), 50)

    def test_budget_is_used_where_calls_wait(self):
        """A quarter of it was kept back, as inherited repeats were guessed."""
        fault = Fault('taxes', 5.0, 25.0, 0.6)
        fleet = RetryFleet(LEVELS, 90, (fault,), 1, seconds=30, slack=SLACK)
        fleet.run()
        self.assertLessEqual(fleet.excess(), 0)
        self.assertGreaterEqual(fleet.used_share(3, 5.0, 15.0), 0.95)
        self.assertGreaterEqual(fleet.used_share(3, 5.0, 30.0), 0.95)


def random_fault(rng, levels):
    """Return rejections of any service: by all targets, by one or by load."""
    level = rng.choice(levels)
    by_load = rng.random() < 0.3
    return Fault(
        level.name,
        rng.choice((0.0, rng.uniform(0, 15))),
        rng.uniform(1, 10),
        rng.uniform(0.02, 0.2) if by_load else rng.choice((0.35, 0.7, 1.0)),
        target=rng.randrange(level.nodes) if rng.random() < 0.3 else None,
        by_load=by_load,
    )


def random_fleet(seed):
    rng = Random(seed)
    levels = [
        Level(name, rng.randint(2, 6), calls, 0.01)
        for name, calls in (('gate', 1), ('orders', 2), ('prices', 2))
    ]
    levels.append(Level('taxes', rng.randint(2, 6), 0, 0.03))
    surge = Surge(rng.uniform(0, 15), rng.uniform(1, 6), rng.uniform(0.2, 2.5))
    faults = [random_fault(rng, levels) for _ in range(rng.randint(1, 4))]
    fleet = RankingFleet(
        levels,
        rng.uniform(5, 50),
        faults,
        seed,
        seconds=18,
        slack=SLACK,
        surges=(surge,),
    )
    fleet.passes_deadline = rng.random() < 0.5
    for _ in range(rng.randrange(4)):
        node = rng.choice(rng.choice(fleet.nodes))
        fleet.at(rng.uniform(0, 18), node.restart, fleet)
    return fleet


class RetryBudgetSeedsTest(unittest.TestCase):
    """Rejections of any kind, at any services, also from the first second.

    Up to three nodes restart and forget what they have sent.
    """

    def test_budget_is_never_exceeded(self):
        """Guards against patterns that the one above doesn't have."""
        excess = {
            seed: random_fleet(seed).run().excess() for seed in range(SEEDS)
        }
        over = {seed: most for seed, most in excess.items() if most > 0}
        self.assertEqual(over, {})
