"""Evidence that no version is newer, and when it is too old."""

import unittest

from rattanstile.process.configuration.freshness import CLOSE_AFTER_S, Freshness


class FreshnessTest(unittest.TestCase):
    """A node admits keyed calls only on recent evidence."""

    def setUp(self):
        self.freshness = Freshness('a')
        self.freshness.know_domains(frozenset('abc'))

    def test_closed_before_any_evidence(self):
        self.assertFalse(self.freshness.admits(0.0))

    def test_open_while_the_log_was_heard_lately(self):
        self.freshness.hear_log(0.0)
        self.assertTrue(self.freshness.admits(CLOSE_AFTER_S))
        self.assertFalse(self.freshness.admits(CLOSE_AFTER_S + 0.001))

    def test_older_evidence_changes_nothing(self):
        self.freshness.hear_log(10.0)
        self.freshness.hear_log(5.0)
        self.assertEqual(self.freshness.age_s(11.0), 1.0)

    def test_outage_counts_only_when_every_domain_is_heard(self):
        self.freshness.see_domain_outage('a', 20.0)
        self.freshness.see_domain_outage('b', 20.0)
        self.assertFalse(self.freshness.admits(20.0))
        self.freshness.see_domain_outage('c', 19.0)
        self.assertTrue(self.freshness.admits(20.0))
        self.assertEqual(self.freshness.age_s(20.0), 1.0)

    def test_domain_that_becomes_known_must_be_heard_too(self):
        for domain in 'abc':
            self.freshness.see_domain_outage(domain, 20.0)
        self.freshness.know_domains(frozenset('abcd'))
        self.assertFalse(self.freshness.admits(20.0))

    def test_outage_told_by_a_peer_counts(self):
        self.freshness.see_fleet_outage(20.0)
        self.assertTrue(self.freshness.admits(21.0))
