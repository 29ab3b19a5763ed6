"""What an entry node knows of homes."""

import unittest

from rattanstile.process.entry.homes import MAX_HOME_REPORT_AGE_S, Homes
from rattanstile.process.messages import HomeSeen
from rattanstile.request.call_id import ParsedCallId


def named(node, incarnation):
    """Return an id that names this home."""
    return ParsedCallId(node, incarnation, 1, 'entry', 1, 1)


class HomesTest(unittest.TestCase):
    """Incarnations only rise, epochs only rise within one."""

    def setUp(self):
        self.homes = Homes(most_homes=2)
        self.homes.seen(0, HomeSeen('a', 10, 5))

    def test_later_incarnation_ends_the_earlier_one(self):
        self.assertFalse(self.homes.is_gone(named('a', 10)))
        self.assertTrue(self.homes.seen(1, HomeSeen('a', 11, 1)))
        self.assertTrue(self.homes.is_gone(named('a', 10)))
        self.assertFalse(self.homes.is_gone(named('a', 11)))
        self.assertEqual(self.homes.home_of('a').id_epoch, 1)

    def test_earlier_incarnation_and_epoch_heard_late_change_nothing(self):
        self.assertFalse(self.homes.seen(90, HomeSeen('a', 9, 50)))
        self.assertFalse(self.homes.is_fresh('a', 90))
        self.homes.seen(1, HomeSeen('a', 10, 4))
        self.assertEqual(self.homes.home_of('a').id_epoch, 5)

    def test_home_that_left_is_gone_and_not_fresh(self):
        self.homes.gone('a', 10)
        self.assertTrue(self.homes.is_gone(named('a', 10)))
        self.assertFalse(self.homes.is_fresh('a', 0))
        self.assertFalse(self.homes.seen(1, HomeSeen('a', 10, 6)))
        self.assertFalse(self.homes.is_fresh('a', 1))

    def test_home_heard_long_ago_is_not_fresh(self):
        self.assertTrue(self.homes.is_fresh('a', MAX_HOME_REPORT_AGE_S))
        self.assertFalse(self.homes.is_fresh('a', MAX_HOME_REPORT_AGE_S + 1))

    def test_nodes_kept_are_bounded_and_a_forgotten_one_is_not_fresh(self):
        self.homes.seen(1, HomeSeen('b', 1, 1))
        self.homes.seen(2, HomeSeen('c', 1, 1))
        self.assertFalse(self.homes.is_fresh('a', 2))
        self.assertTrue(self.homes.is_fresh('b', 2))
