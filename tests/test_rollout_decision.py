"""Decision on rollouts without a network: bounds, evidence and states."""

import unittest
from random import Random
from statistics import median

from rollout_worlds import ROUTES, SHARE, Trial, World

from rattanstile.connection.peer_messages import RouteCounts, VersionTargets
from rattanstile.process.mesh.rollout.count_increments import CountIncrements
from rattanstile.process.mesh.rollout.exposure_credit import (
    MAX_KEPT_CALLS,
    ExposureCredit,
)
from rattanstile.process.mesh.rollout.rollout_progress import (
    FleetRollout,
    RolloutProgress,
    RolloutReason,
)
from rattanstile.process.mesh.rollout.rollout_verdict import (
    RolloutState,
    Verdict,
)
from rattanstile.version.fleet_config import RolloutOrder

SEEDS = 1000
MIN_RIGHT_SHARE = 0.99
MAX_MEDIAN_BAD = 50
BOTH = VersionTargets(4, 0, 1000, 4, 3, 800)
MOVED = VersionTargets(4, 0, 1000, 0, 0, 800)


def world(seed, **changes):
    """Return a good version in a fleet of any of several sizes."""
    rng = Random(seed)
    fields = {
        'duration_s': rng.choice((12.0, 16.0, 24.0)),
        'requests_per_s': rng.uniform(200, 600),
        'nodes': rng.choice((6, 14, 30)),
        'base_failing_share': rng.choice((0.0, 0.005, 0.02)),
    }
    return World(**{**fields, **changes})


def burst(rng):
    start = rng.uniform(0, 0.5)
    return (start, start + 0.2)


GOOD_KINDS = {
    'calm': lambda rng: {},
    'burst': lambda rng: {'burst': burst(rng)},
    'failing domain': lambda rng: {'failing_domain': 'east'},
    'cold targets': lambda rng: {'cold_share': rng.uniform(0.05, 0.12)},
}
BAD_KINDS = {
    'at once': lambda rng: {'failing_share': rng.uniform(0.25, 1)},
    'at once, in a burst': lambda rng: {
        'failing_share': rng.uniform(0.25, 1),
        'burst': burst(rng),
    },
    'at once, in a failing domain': lambda rng: {
        'failing_share': rng.uniform(0.25, 1),
        'failing_domain': 'east',
    },
    'at once, cold targets': lambda rng: {
        'failing_share': rng.uniform(0.25, 1),
        'cold_share': rng.uniform(0.05, 0.12),
    },
    'later': lambda rng: {
        'failing_share': rng.uniform(0.3, 1),
        'bad_from': rng.uniform(0.05, 0.2),
    },
    'under load': lambda rng: {
        'failing_share': rng.uniform(0.3, 1),
        'bad_above_per_s': rng.uniform(8, 14),
    },
    'on one route': lambda rng: {
        'failing_share': rng.uniform(0.4, 1),
        'bad_route': rng.choice(ROUTES),
    },
    'slow': lambda rng: {'slow_factor': rng.uniform(3, 8)},
    'slow, in a burst': lambda rng: {
        'slow_factor': rng.uniform(3, 8),
        'burst': burst(rng),
    },
}


def results(kind):
    return [
        Trial(world(seed, **kind(Random(-seed))), seed).run()
        for seed in range(SEEDS)
    ]


class ManySeedsTest(unittest.TestCase):
    """A version is judged by a few calls, as soon as they suffice."""

    def test_good_versions_are_completed_in_half_of_the_time(self):
        """A burst or a failing domain was taken for a fault of the version."""
        for name, kind in GOOD_KINDS.items():
            with self.subTest(name):
                ended = results(kind)
                right = sum(
                    each.verdict is Verdict.COMPLETED and each.ended_at <= 0.5
                    for each in ended
                )
                self.assertGreaterEqual(right, MIN_RIGHT_SHARE * SEEDS)
                self.assertTrue(all(each.is_within_bound for each in ended))

    def test_bad_versions_are_rolled_back(self):
        """Before many bad answers, and without calls later than 5 s after."""
        for name, kind in BAD_KINDS.items():
            with self.subTest(name):
                ended = results(kind)
                right = sum(
                    each.verdict is Verdict.ROLLED_BACK for each in ended
                )
                self.assertGreaterEqual(right, MIN_RIGHT_SHARE * SEEDS)
                bad_answers = median(each.bad_answers for each in ended)
                self.assertLess(bad_answers, MAX_MEDIAN_BAD)
                self.assertFalse(any(each.sent_late for each in ended))
                self.assertTrue(all(each.is_within_bound for each in ended))


class ExposureCreditTest(unittest.TestCase):
    """The bound holds at each moment, whatever the nodes know."""

    def test_spent_calls_stay_within_the_share_over_restarts(self):
        """A node that restarts begins with nothing; the sum stays below."""
        for seed in range(100):
            rng = Random(seed)
            credits = [ExposureCredit(SHARE) for _ in range(20)]
            requests = spent = 0
            for _ in range(3000):
                node = rng.randrange(len(credits))
                if rng.random() < 0.01:
                    credits[node] = ExposureCredit(SHARE)
                if rng.random() < 0.7:
                    requests += 1
                    credits[node].earn()
                spent += credits[node].spend()
                self.assertLessEqual(spent, SHARE * requests + 1e-9)

    def test_credit_of_a_long_wait_is_not_spent_at_once(self):
        """Targets may appear late: hundreds of calls would reach them."""
        credit = ExposureCredit(SHARE)
        for _ in range(1000):
            credit.earn()
        spent = sum(credit.spend() for _ in range(100))
        self.assertEqual(spent, MAX_KEPT_CALLS)


def progress(duration_s=10.0):
    return RolloutProgress(RolloutOrder('registry', 'v2', duration_s), 0.0)


def fleet(targets=BOTH, verdict=Verdict.NONE):
    return FleetRollout(100.0, targets, verdict)


def counts(calls, failed, *, is_new, route='list'):
    latencies = (0, 0, calls - failed) + (0,) * 13
    return RouteCounts(route, 'east', is_new, calls, failed, latencies)


class RolloutProgressTest(unittest.TestCase):
    """Each order ends in one final state, which is never changed."""

    def accepted(self):
        moving = progress()
        for _ in range(10):
            moving.add_counts(
                (counts(50, 0, is_new=False), counts(6, 0, is_new=True))
            )
        moving.step(4.0, fleet())
        self.assertIs(moving.verdict, Verdict.ACCEPTED)
        return moving

    def test_old_targets_are_empty_before_completed(self):
        """They stop without draining: calls in flight would be lost."""
        moving = self.accepted()
        self.assertIs(moving.status_to_store(), RolloutState.RUNNING)
        moving.step(4.5, fleet(VersionTargets(4, 0, 1000, 0, 1, 800)))
        self.assertIs(moving.status_to_store(), RolloutState.RUNNING)
        moving.step(5.0, fleet(MOVED))
        self.assertIs(moving.status_to_store(), RolloutState.COMPLETED)
        self.assertIs(moving.verdict, Verdict.ACCEPTED)
        moving.status_acknowledged(RolloutState.COMPLETED)
        self.assertIs(moving.verdict, Verdict.COMPLETED)

    def test_cold_or_few_targets_are_not_accepted(self):
        """They could not take the load of the old ones."""
        for targets in (
            VersionTargets(4, 1, 1000, 4, 3, 800),
            VersionTargets(4, 0, 700, 4, 3, 800),
            VersionTargets(1, 0, 1000, 4, 3, 800),
        ):
            moving = progress()
            for _ in range(10):
                moving.add_counts(
                    (counts(50, 0, is_new=False), counts(6, 0, is_new=True))
                )
            moving.step(4.0, fleet(targets))
            self.assertIs(moving.verdict, Verdict.NONE)
            moving.step(8.0, fleet(targets))
            self.assertIs(moving.reason, RolloutReason.NO_CAPACITY)

    def test_accepted_version_that_never_takes_over_is_rolled_back(self):
        """The old targets open again before the deadline."""
        moving = self.accepted()
        moving.step(9.1, fleet(BOTH))
        self.assertIs(moving.status_to_store(), RolloutState.ROLLED_BACK)

    def test_append_of_completed_in_flight_is_not_contradicted(self):
        """It may have been done although no answer came."""
        moving = self.accepted()
        moving.step(5.0, fleet(MOVED))
        moving.step(9.9, fleet(BOTH))
        self.assertIs(moving.status_to_store(), RolloutState.COMPLETED)

    def test_targets_that_never_appear(self):
        """The order ends before its deadline all the same."""
        moving = progress()
        moving.step(7.6, fleet(VersionTargets(old_targets=4)))
        self.assertIs(moving.reason, RolloutReason.NEVER_APPEARED)
        self.assertIs(moving.status_to_store(), RolloutState.ROLLED_BACK)

    def test_no_target_of_another_version(self):
        """There is nothing to compare with, and nothing to move."""
        moving = progress()
        moving.step(0.1, fleet(MOVED))
        moving.step(1.7, fleet(MOVED))
        moving.step(1.8, fleet(MOVED))
        self.assertIs(moving.status_to_store(), RolloutState.COMPLETED)

    def test_withdrawn_order_is_rolled_back_unless_final(self):
        """A withdrawal after `completed` must not contradict it."""
        moving = progress()
        moving.withdraw()
        self.assertIs(moving.status_to_store(), RolloutState.ROLLED_BACK)
        moving = self.accepted()
        moving.status_acknowledged(RolloutState.COMPLETED)
        moving.withdraw()
        self.assertIs(moving.verdict, Verdict.COMPLETED)

    def test_next_decider_continues_from_the_verdict(self):
        """The one before was killed between the verdict and its status."""
        taken_over = progress()
        taken_over.step(4.0, fleet(verdict=Verdict.REJECTED))
        self.assertIs(taken_over.status_to_store(), RolloutState.ROLLED_BACK)
        taken_over.step(4.1, fleet(verdict=Verdict.ACCEPTED))
        self.assertIs(taken_over.status_to_store(), RolloutState.ROLLED_BACK)

    def test_reports_without_calls_forget_nothing(self):
        """With ten domains the old version's calls were forgotten at once."""
        moving = progress()
        moving.add_counts((counts(40, 0, is_new=False),))
        for _ in range(10):
            moving.add_counts(())
        moving.add_counts((counts(6, 0, is_new=True),))
        self.assertEqual(moving.comparison.new_calls, 6)

    def test_calls_of_the_old_version_are_forgotten_with_time(self):
        """Nothing recent is left to compare with once its targets close."""
        moving = progress()
        moving.step(0.0, fleet())
        moving.add_counts((counts(40, 0, is_new=False),))
        moving.step(2.0, fleet())
        moving.add_counts((counts(6, 0, is_new=True),))
        self.assertEqual(moving.comparison.new_calls, 0)

    def test_failures_that_the_old_version_shows_too(self):
        """A service further down fails half of all calls for a while."""
        moving = progress()
        for _ in range(20):
            moving.add_counts(
                (counts(40, 20, is_new=False), counts(6, 3, is_new=True))
            )
        moving.step(2.0, fleet())
        self.assertIs(moving.verdict, Verdict.NONE)


class CountIncrementsTest(unittest.TestCase):
    """Cumulative counts of delegates that change."""

    def test_new_delegate_with_fewer_reports_adds_nothing_twice(self):
        """Its counts fall, and rise again as its nodes report to it."""
        increments = CountIncrements()
        total = 0
        for calls in (10, 4, 9, 12):
            added = increments.added('east', (counts(calls, 0, is_new=True),))
            total += sum(each.calls for each in added)
        self.assertEqual(total, 12)


if __name__ == '__main__':
    unittest.main()
