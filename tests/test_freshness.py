"""Evidence that no newer version exists, and its expiry."""

import unittest

from rattanstile.process.configuration.freshness import (
    MAX_EVIDENCE_AGE_S,
    Freshness,
)


class FreshnessTest(unittest.TestCase):
    """A node admits keyed calls only on recent evidence."""

    def setUp(self):
        self.freshness = Freshness('a')
        self.freshness.set_domains(frozenset('abc'))

    def test_keyed_calls_are_refused_without_evidence(self):
        self.assertFalse(self.freshness.admits(0.0))

    def test_keyed_calls_are_admitted_on_recent_log_evidence(self):
        self.freshness.record_log_evidence(0.0)
        self.assertTrue(self.freshness.admits(MAX_EVIDENCE_AGE_S))
        self.assertFalse(self.freshness.admits(MAX_EVIDENCE_AGE_S + 0.001))

    def test_older_evidence_is_ignored(self):
        self.freshness.record_log_evidence(10.0)
        self.freshness.record_log_evidence(5.0)
        self.assertEqual(self.freshness.age_s(11.0), 1.0)

    def test_outage_counts_only_once_every_domain_reported_it(self):
        self.freshness.record_domain_outage('a', 20.0)
        self.freshness.record_domain_outage('b', 20.0)
        self.assertFalse(self.freshness.admits(20.0))
        self.freshness.record_domain_outage('c', 19.0)
        self.assertTrue(self.freshness.admits(20.0))
        self.assertEqual(self.freshness.age_s(20.0), 1.0)

    def test_added_domain_must_report_the_outage_too(self):
        for domain in 'abc':
            self.freshness.record_domain_outage(domain, 20.0)
        self.freshness.set_domains(frozenset('abcd'))
        self.assertFalse(self.freshness.admits(20.0))

    def test_fleet_outage_reported_by_a_peer_counts(self):
        self.freshness.record_fleet_outage(20.0)
        self.assertTrue(self.freshness.admits(21.0))
