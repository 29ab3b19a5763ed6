"""Split of a rate over static slots and shards."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanstile.process.rates.rate_shares import (
    RAISE_DELAY_S,
    SplitSchedule,
    shard_count,
    split_rate,
)
from rattanstile.version.declaration import Organisation


def organisation(rate=100.0, burst=100, name='o'):
    """Return an organisation."""
    return Organisation(name=name, rate_per_s=rate, burst_calls=burst)


class SplitTest(unittest.TestCase):
    """The shares never add up to more than the organisation's rate."""

    @settings(derandomize=True, database=None, max_examples=200, deadline=None)
    @given(st.floats(0.1, 1e6), st.integers(1, 10**6), st.integers(1, 16_384))
    def test_shares_stay_within_rate_and_burst(self, rate, burst, max_nodes):
        split = split_rate(organisation(rate, burst), max_nodes)
        slots = split.slots
        shards = len(split.shards)
        total_rate = (
            slots * split.slot_share.rate_per_s
            + shards * split.shard_share.rate_per_s
        )
        total_burst = (
            slots * split.slot_share.burst_tokens
            + shards * split.shard_share.burst_tokens
        )
        self.assertLessEqual(total_rate, rate * (1 + 1e-9))
        self.assertLessEqual(total_burst, burst * (1 + 1e-9))
        self.assertLess(max(split.shards), shard_count(max_nodes))

    def test_slot_has_at_least_one_whole_token_or_none(self):
        for burst in (1, 10, 39, 40, 500):
            share = split_rate(organisation(burst=burst), 64).share_of_slot(0)
            self.assertTrue(
                share.burst_tokens >= 1 or share.burst_tokens == 0, burst
            )


class SplitScheduleTest(unittest.TestCase):
    """Rates are lowered at once, and raised once all nodes have the version."""

    def schedule(self, now_s, rate):
        """Return a schedule with a first version."""
        schedule = SplitSchedule()
        schedule.replace(now_s, [organisation(rate)], 16, is_first_version=True)
        return schedule

    def rate(self, schedule, now_s):
        """Return the rate of the organisation's first shard."""
        shard = schedule.shards_of('o')[0]
        return schedule.shard_share(now_s, 'o', shard).rate_per_s

    def test_lowered_rate_takes_effect_at_once(self):
        schedule = self.schedule(0.0, 100.0)
        before = self.rate(schedule, 10.0)
        schedule.replace(10.0, [organisation(50.0)], 16, is_first_version=False)
        self.assertAlmostEqual(self.rate(schedule, 10.0), before / 2)

    def test_raised_rate_takes_effect_after_the_delay(self):
        schedule = self.schedule(0.0, 100.0)
        before = self.rate(schedule, 10.0)
        schedule.replace(
            10.0, [organisation(200.0)], 16, is_first_version=False
        )
        early_s = 10.0 + RAISE_DELAY_S - 0.1
        self.assertAlmostEqual(self.rate(schedule, early_s), before)
        self.assertAlmostEqual(self.rate(schedule, early_s + 0.2), 2 * before)

    def test_restarted_node_has_no_share_until_the_delay_is_over(self):
        schedule = SplitSchedule()
        schedule.replace(0.0, [organisation()], 16, is_first_version=False)
        self.assertEqual(self.rate(schedule, 1.0), 0.0)

    def test_changes_of_other_organisations_do_not_change_a_share(self):
        schedule = self.schedule(0.0, 100.0)
        before = self.rate(schedule, 10.0)
        for change in range(20):
            now_s = 10.0 + change
            other = organisation(50.0 + change, name='other')
            schedule.replace(
                now_s, [organisation(), other], 16, is_first_version=False
            )
            self.assertEqual(self.rate(schedule, now_s), before)
            self.assertTrue(schedule.is_ready(now_s))

    def test_removed_organisation_has_no_share(self):
        schedule = self.schedule(0.0, 100.0)
        shard = schedule.shards_of('o')[0]
        schedule.replace(10.0, [], 16, is_first_version=False)
        self.assertEqual(schedule.shard_share(10.0, 'o', shard).rate_per_s, 0.0)
