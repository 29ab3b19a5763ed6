"""Choice of the node that serves an attempt."""

import unittest
from collections import Counter
from random import Random

import msgspec
from mesh_samples import USABLE

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.process.mesh.placement import Candidate, choose


def candidate(name, domain='east', **changes):
    load = msgspec.structs.replace(USABLE, **changes)
    return Candidate(name, 'registry', domain, load)


def chosen(candidates, near_wait_s=0.1, count=1000):
    rng = Random(2)
    found = Counter()
    for _ in range(count):
        found[choose(candidates, 'east', near_wait_s, rng).node_id] += 1
    return found


class PlacementTest(unittest.TestCase):
    """Near first, unless calls would wait too long."""

    def test_none_without_candidates(self):
        """The request is held or refused."""
        self.assertIsNone(choose((), 'east', 0.1, Random(1)))

    def test_the_own_domain_serves(self):
        """Also where another is a little quicker."""
        far = candidate('far', 'west', service_us=10_000)
        found = chosen([candidate('near'), far])
        self.assertEqual(found['far'], 0)

    def test_a_long_queue_is_gone_round(self):
        """Calls spill to other domains."""
        near = candidate('near', held=60, wait_us=120_000)
        found = chosen([near, candidate('far', 'west')])
        self.assertGreater(found['far'], 950)

    def test_a_slow_target_gets_little(self):
        """But is tried now and then, and so found when it is quick again."""
        slow = candidate('slow', service_us=240_000)
        found = chosen([slow, candidate('quick')])
        self.assertGreater(found['quick'], 950)
        self.assertGreater(found['slow'], 0)

    def test_a_target_that_fails_calls_gets_little(self):
        """It refuses half of them at once, and looks idle."""
        grey = candidate('grey', failing_percent=50, service_us=5_000)
        found = chosen([grey, candidate('sound', held=8, wait_us=40_000)])
        self.assertGreater(found['sound'], 950)
        self.assertGreater(found['grey'], 0)

    def test_targets_that_all_fail_alike_are_all_used(self):
        """Their failures come from a deeper service."""
        pool = [candidate(name, failing_percent=40) for name in 'abc']
        found = chosen(pool)
        self.assertGreater(min(found.values()), 200)

    def test_a_new_target_is_tried(self):
        """It has told no time yet."""
        new = candidate('new', service_us=0)
        found = chosen([candidate('old'), new])
        self.assertGreater(found['new'], 900)

    def test_a_quiet_node_is_left_out(self):
        """Its calls may hang until the deadline."""
        quiet = candidate('quiet')
        quiet.is_quiet = True
        found = chosen([quiet, candidate('far', 'west')])
        self.assertEqual(found['quiet'], 0)

    def test_own_sends_count_until_news_comes(self):
        """So that a burst doesn't all go to one node."""
        one = candidate('one', limit=10)
        for _ in range(10):
            one.sent()
        self.assertGreater(one.expected_wait_s(), 0)
        one.told(USABLE, 1.0)
        self.assertEqual(one.expected_wait_s(), 0)

    def test_an_unknown_load_is_no_failure(self):
        """A peer that has just said hello."""
        self.assertGreater(
            Candidate('n', 'registry', 'east', TargetLoad()).expected_s('east'),
            0,
        )
