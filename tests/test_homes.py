"""Reports of homes, as an entry node keeps them."""

import unittest

from rattanstile.process.entry.homes import MAX_HOME_REPORT_AGE_S, Homes
from rattanstile.process.messages import HomeReport
from rattanstile.request.call_id import ParsedCallId


def call_id_of(node, incarnation):
    """Return a call id that names this home."""
    return ParsedCallId(node, incarnation, 1, 'entry', 1, 1)


class HomesTest(unittest.TestCase):
    """Incarnations only rise; id epochs only rise within an incarnation."""

    def setUp(self):
        self.homes = Homes(max_homes=2)
        self.homes.seen(0, HomeReport('a', 10, 5))

    def test_later_incarnation_ends_the_earlier_one(self):
        self.assertFalse(self.homes.is_gone(call_id_of('a', 10)))
        self.assertTrue(self.homes.seen(1, HomeReport('a', 11, 1)))
        self.assertTrue(self.homes.is_gone(call_id_of('a', 10)))
        self.assertFalse(self.homes.is_gone(call_id_of('a', 11)))
        self.assertEqual(self.homes.home_of('a').id_epoch, 1)

    def test_late_report_of_earlier_incarnation_or_epoch_is_ignored(self):
        self.assertFalse(self.homes.seen(90, HomeReport('a', 9, 50)))
        self.assertFalse(self.homes.is_fresh('a', 90))
        self.homes.seen(1, HomeReport('a', 10, 4))
        self.assertEqual(self.homes.home_of('a').id_epoch, 5)

    def test_home_that_left_is_gone_and_not_fresh(self):
        self.homes.gone('a', 10)
        self.assertTrue(self.homes.is_gone(call_id_of('a', 10)))
        self.assertFalse(self.homes.is_fresh('a', 0))
        self.assertFalse(self.homes.seen(1, HomeReport('a', 10, 6)))
        self.assertFalse(self.homes.is_fresh('a', 1))

    def test_home_with_an_old_report_is_not_fresh(self):
        self.assertTrue(self.homes.is_fresh('a', MAX_HOME_REPORT_AGE_S))
        self.assertFalse(self.homes.is_fresh('a', MAX_HOME_REPORT_AGE_S + 1))

    def test_nodes_are_bounded_and_an_evicted_node_is_not_fresh(self):
        self.homes.seen(1, HomeReport('b', 1, 1))
        self.homes.seen(2, HomeReport('c', 1, 1))
        self.assertFalse(self.homes.is_fresh('a', 2))
        self.assertTrue(self.homes.is_fresh('b', 2))
