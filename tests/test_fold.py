"""Fold of the configuration stream."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanstile.version.change import DeclarationChange
from rattanstile.version.fold import MAX_UNPLACED, Fold
from rattanstile.version.records import ConfigurationRecord


def change(name, base, hops=5):
    return ConfigurationRecord(
        record_id=name,
        base=base,
        plan_id=name,
        change=DeclarationChange(max_hops=hops),
    )


def folded(records, start=0):
    fold = Fold()
    if not start:
        fold.see_start()
    for place, record in enumerate(records):
        fold.offer(start + place, record)
    return fold


class FoldTest(unittest.TestCase):
    """Only a record on the base in force makes a version."""

    def test_first_of_two_records_on_one_base_wins(self):
        fold = folded([change('one', 0, 5), change('two', 0, 9)])
        self.assertEqual((fold.version, fold.declaration.max_hops), (1, 5))
        self.assertIsNone(fold.version_of('two'))

    def test_record_appended_twice_counts_once(self):
        fold = folded([change('one', 0), change('one', 0), change('two', 1)])
        self.assertEqual(fold.version, 2)

    def test_record_offered_again_changes_nothing(self):
        fold = folded([change('one', 0), change('two', 1)])
        self.assertEqual(fold.offer(0, change('one', 0)), [])
        self.assertEqual(fold.version, 2)

    def test_record_that_cannot_be_read_takes_its_offset(self):
        fold = folded([None, change('one', 0)])
        self.assertEqual((fold.version, fold.read_end), (1, 2))

    def test_nothing_is_verified_without_start_or_snapshot(self):
        fold = folded([change('later', 7)], start=20)
        self.assertFalse(fold.verified)
        self.assertEqual(fold.version, 0)

    def test_snapshot_gives_waiting_records_their_place(self):
        whole = folded([change('one', 0), change('two', 1)])
        fold = folded([change('three', 2), whole.snapshot('snap')], start=2)
        self.assertTrue(fold.verified)
        self.assertEqual(fold.version, 3)

    def test_record_behind_a_gap_waits_since_a_winner_may_lie_in_it(self):
        fold = folded([change('one', 0)])
        fold.offer(5, change('loser', 1, 9))
        self.assertEqual(fold.version, 1)
        whole = folded([change('one', 0), change('winner', 1, 7)])
        fold.take_snapshot(whole.snapshot('snap'))
        fold.agree(2, 6)
        self.assertEqual((fold.version, fold.declaration.max_hops), (2, 7))

    def test_old_snapshot_never_lowers_the_version(self):
        old = folded([change('one', 0)]).snapshot('snap')
        fold = folded([change('one', 0), change('two', 1, 8)])
        fold.take_snapshot(old)
        self.assertEqual((fold.version, fold.declaration.max_hops), (2, 8))

    def test_peer_hands_on_only_the_next_version(self):
        made = Fold()
        made.see_start()
        first = made.offer(0, change('one', 0))[0]
        second = made.offer(1, change('two', 1))[0]
        fold = folded([])
        self.assertFalse(fold.take_accepted(second))
        self.assertTrue(fold.take_accepted(first))
        self.assertTrue(fold.take_accepted(second))
        self.assertEqual((fold.version, fold.read_end), (2, 2))

    def test_records_kept_behind_a_gap_are_bounded(self):
        fold = Fold()
        for offset in range(10, 20 + MAX_UNPLACED):
            fold.offer(offset, change('one', 0))
        self.assertLessEqual(len(fold._unplaced), MAX_UNPLACED)


class FoldPropertyTest(unittest.TestCase):
    """However the records arrive, the version is the log's."""

    @settings(derandomize=True, database=None, max_examples=150, deadline=None)
    @given(
        bases=st.lists(st.integers(0, 5), max_size=12),
        order=st.randoms(use_true_random=False),
    )
    def test_any_order_and_repetition_gives_one_version(self, bases, order):
        records = [
            change(f'record{place}', base, place + 1)
            for place, base in enumerate(bases)
        ]
        straight = folded(records)
        offered = list(enumerate(records)) * 2
        order.shuffle(offered)
        fold = folded([])
        version = 0
        for offset, record in offered:
            fold.offer(offset, record)
            self.assertGreaterEqual(fold.version, version)
            version = fold.version
        self.assertEqual(fold.version, straight.version)
        self.assertEqual(fold.declaration, straight.declaration)
