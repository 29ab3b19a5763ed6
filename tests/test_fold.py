"""Tests of the fold of the configuration stream."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanstile.version.change import DeclarationChange
from rattanstile.version.fold import MAX_PENDING_RECORDS, Fold
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
        fold.observe_log_start()
    for index, record in enumerate(records):
        fold.offer(start + index, record)
    return fold


class FoldTest(unittest.TestCase):
    """Only a record based on the version in force makes a version."""

    def test_first_of_two_records_with_the_same_base_wins(self):
        fold = folded([change('one', 0, 5), change('two', 0, 9)])
        self.assertEqual((fold.version, fold.declaration.max_hops), (1, 5))
        self.assertIsNone(fold.version_of('two'))

    def test_record_appended_twice_is_applied_once(self):
        fold = folded([change('one', 0), change('one', 0), change('two', 1)])
        self.assertEqual(fold.version, 2)

    def test_record_offered_again_changes_nothing(self):
        fold = folded([change('one', 0), change('two', 1)])
        self.assertEqual(fold.offer(0, change('one', 0)), [])
        self.assertEqual(fold.version, 2)

    def test_unreadable_record_occupies_its_offset(self):
        fold = folded([None, change('one', 0)])
        self.assertEqual((fold.version, fold.read_end), (1, 2))

    def test_version_is_unverified_without_start_or_snapshot(self):
        fold = folded([change('later', 7)], start=20)
        self.assertFalse(fold.verified)
        self.assertEqual(fold.version, 0)

    def test_snapshot_lets_pending_records_be_folded(self):
        peer_fold = folded([change('one', 0), change('two', 1)])
        fold = folded([change('three', 2), peer_fold.snapshot('snap')], start=2)
        self.assertTrue(fold.verified)
        self.assertEqual(fold.version, 3)

    def test_record_after_a_gap_waits_as_the_gap_may_hold_the_winner(self):
        fold = folded([change('one', 0)])
        fold.offer(5, change('loser', 1, 9))
        self.assertEqual(fold.version, 1)
        peer_fold = folded([change('one', 0), change('winner', 1, 7)])
        fold.apply_snapshot(peer_fold.snapshot('snap'))
        fold.observe_peer_version(2, 6)
        self.assertEqual((fold.version, fold.declaration.max_hops), (2, 7))

    def test_old_snapshot_never_lowers_the_version(self):
        old = folded([change('one', 0)]).snapshot('snap')
        fold = folded([change('one', 0), change('two', 1, 8)])
        fold.apply_snapshot(old)
        self.assertEqual((fold.version, fold.declaration.max_hops), (2, 8))

    def test_only_the_next_version_is_accepted_from_a_peer(self):
        peer_fold = Fold()
        peer_fold.observe_log_start()
        first = peer_fold.offer(0, change('one', 0))[0]
        second = peer_fold.offer(1, change('two', 1))[0]
        fold = folded([])
        self.assertFalse(fold.apply_accepted(second))
        self.assertTrue(fold.apply_accepted(first))
        self.assertTrue(fold.apply_accepted(second))
        self.assertEqual((fold.version, fold.read_end), (2, 2))

    def test_number_of_pending_records_is_bounded(self):
        fold = Fold()
        for offset in range(10, 20 + MAX_PENDING_RECORDS):
            fold.offer(offset, change('one', 0))
        self.assertLessEqual(len(fold._pending), MAX_PENDING_RECORDS)


class FoldPropertyTest(unittest.TestCase):
    """The version is the log's, in whatever order the records arrive."""

    @settings(derandomize=True, database=None, max_examples=150, deadline=None)
    @given(
        bases=st.lists(st.integers(0, 5), max_size=12),
        order=st.randoms(use_true_random=False),
    )
    def test_any_order_and_repetition_gives_the_same_version(
        self, bases, order
    ):
        records = [
            change(f'record{index}', base, index + 1)
            for index, base in enumerate(bases)
        ]
        in_order = folded(records)
        offered = list(enumerate(records)) * 2
        order.shuffle(offered)
        fold = folded([])
        version = 0
        for offset, record in offered:
            fold.offer(offset, record)
            self.assertGreaterEqual(fold.version, version)
            version = fold.version
        self.assertEqual(fold.version, in_order.version)
        self.assertEqual(fold.declaration, in_order.declaration)
