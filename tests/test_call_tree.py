"""Which routes make a target call which others."""

import heapq
import unittest
from random import Random

from rattanstile.process.mesh.call_tree import CallAttribution


def learn(kinds, seconds, seed):
    """Play runs; each kind is (route, per_s, run_s, calls of 'fees')."""
    rng = Random(seed)
    tree = CallAttribution()
    events = []
    for number, (route, per_s, run_s, calls) in enumerate(kinds):
        at_s = 0.0
        while at_s < seconds:
            at_s += rng.expovariate(per_s)
            took_s = run_s * rng.uniform(0.6, 1.4)
            heapq.heappush(events, (at_s, number, 'began', route))
            heapq.heappush(events, (at_s + took_s, number, 'ended', route))
            for call in range(calls):
                when_s = at_s + took_s * (call + 0.5) / calls
                heapq.heappush(events, (when_s, number, 'called', 'fees'))
    while events:
        at_s, _, what, name = heapq.heappop(events)
        if at_s > seconds:
            break
        getattr(tree, what)(at_s, name)
        tree.step(at_s)
    return tree


class TreeTest(unittest.TestCase):
    """Runs of two routes on one target, one of which calls another."""

    def test_calls_are_ascribed_to_the_route_that_makes_them(self):
        """Maps call nothing; each check calls four times."""
        kinds = (('map', 24, 0.15, 0), ('check', 110, 0.1, 4))
        tree = learn(kinds, 20, seed=5)
        self.assertAlmostEqual(tree.calls_of('check')['fees'], 4, delta=0.6)
        self.assertLess(tree.calls_of('map').get('fees', 0), 2.0)

    def test_what_all_make_together_is_right_from_the_start(self):
        """Before the routes are told apart, and with runs that still run."""
        kinds = (('map', 24, 0.15, 0), ('check', 110, 0.1, 4))
        tree = learn(kinds, 1.0, seed=6)
        total = 24 * tree.calls_of('map').get('fees', 0)
        total += 110 * tree.calls_of('check').get('fees', 0)
        self.assertAlmostEqual(total / 440, 1, delta=0.3)

    def test_a_route_alone_is_exact(self):
        """Nothing else can have called."""
        tree = learn((('claim', 20, 0.2, 8),), 10, seed=7)
        self.assertAlmostEqual(tree.calls_of('claim')['fees'], 8, delta=0.5)
