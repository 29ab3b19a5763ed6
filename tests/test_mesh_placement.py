"""Tests of the choice of the node that serves an attempt."""

import unittest
from collections import Counter
from random import Random

import msgspec
from mesh_samples import USABLE

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.process.mesh.placement.placement import Candidate, choose


def candidate(name, domain='east', **changes):
    load = msgspec.structs.replace(USABLE, **changes)
    return Candidate(name, 'registry', domain, load)


def chosen(candidates, max_local_wait_s=0.1, count=1000):
    rng = Random(2)
    counts = Counter()
    for _ in range(count):
        counts[choose(candidates, 'east', max_local_wait_s, rng).node_id] += 1
    return counts


class PlacementTest(unittest.TestCase):
    """The local failure domain is preferred, unless its wait is too long."""

    def test_none_without_candidates(self):
        """The request is then held or refused."""
        self.assertIsNone(choose((), 'east', 0.1, Random(1)))

    def test_the_local_domain_is_preferred(self):
        """Also if a target in another domain is a little faster."""
        far = candidate('far', 'west', service_us=10_000)
        counts = chosen([candidate('near'), far])
        self.assertEqual(counts['far'], 0)

    def test_a_long_queue_is_avoided(self):
        """Calls overflow to other failure domains."""
        near = candidate('near', pending_calls=60, wait_us=120_000)
        counts = chosen([near, candidate('far', 'west')])
        self.assertGreater(counts['far'], 950)

    def test_a_slow_target_gets_few_calls(self):
        """It still gets some calls, which show when it is fast again."""
        slow = candidate('slow', service_us=240_000)
        counts = chosen([slow, candidate('quick')])
        self.assertGreater(counts['quick'], 950)
        self.assertGreater(counts['slow'], 0)

    def test_a_failing_target_gets_few_calls(self):
        """It refuses half of its calls immediately, and so looks idle."""
        grey = candidate('grey', failing_percent=50, service_us=5_000)
        counts = chosen(
            [grey, candidate('sound', pending_calls=8, wait_us=40_000)]
        )
        self.assertGreater(counts['sound'], 950)
        self.assertGreater(counts['grey'], 0)

    def test_targets_that_fail_equally_are_all_used(self):
        """Their failures are caused by a deeper service."""
        pool = [candidate(name, failing_percent=40) for name in 'abc']
        counts = chosen(pool)
        self.assertGreater(min(counts.values()), 200)

    def test_a_new_target_gets_calls(self):
        """It has reported no service time yet."""
        new = candidate('new', service_us=0)
        counts = chosen([candidate('old'), new])
        self.assertGreater(counts['new'], 900)

    def test_an_unresponsive_node_is_not_chosen(self):
        """Its calls may get no answer until the deadline."""
        quiet = candidate('quiet')
        quiet.is_unresponsive = True
        counts = chosen([quiet, candidate('far', 'west')])
        self.assertEqual(counts['quiet'], 0)

    def test_sends_count_until_the_next_load_report(self):
        """So a burst is not sent to one node as a whole."""
        one = candidate('one', limit=10)
        for _ in range(10):
            one.count_sent()
        self.assertGreater(one.expected_wait_s(), 0)
        one.update_load(USABLE, 1.0)
        self.assertEqual(one.expected_wait_s(), 0)

    def test_an_unknown_load_has_an_expected_latency(self):
        """The default load gives a positive latency, not an error."""
        self.assertGreater(
            Candidate('n', 'registry', 'east', TargetLoad()).expected_s('east'),
            0,
        )
