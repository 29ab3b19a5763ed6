"""Attribution of a target's outgoing calls to its routes."""

import heapq
import unittest
from random import Random

from rattanstile.process.mesh.call_tree import CallAttribution


def learn(kinds, seconds, seed):
    """Simulate runs; each kind is (route, per_s, run_s, calls of 'fees')."""
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
        at_s, _, event, name = heapq.heappop(events)
        if at_s > seconds:
            break
        getattr(tree, event)(at_s, name)
        tree.step(at_s)
    return tree


class TreeTest(unittest.TestCase):
    """Two routes run on one target, and only one of them calls a third."""

    def test_calls_are_attributed_to_the_route_that_makes_them(self):
        """A run of `map` makes no calls; a run of `check` makes four."""
        kinds = (('map', 24, 0.15, 0), ('check', 110, 0.1, 4))
        tree = learn(kinds, 20, seed=5)
        self.assertAlmostEqual(tree.calls_of('check')['fees'], 4, delta=0.6)
        self.assertLess(tree.calls_of('map').get('fees', 0), 2.0)

    def test_the_total_over_all_routes_is_right_from_the_start(self):
        """So before the routes can be distinguished, with runs in progress."""
        kinds = (('map', 24, 0.15, 0), ('check', 110, 0.1, 4))
        tree = learn(kinds, 1.0, seed=6)
        total = 24 * tree.calls_of('map').get('fees', 0)
        total += 110 * tree.calls_of('check').get('fees', 0)
        self.assertAlmostEqual(total / 440, 1, delta=0.3)

    def test_a_single_route_is_exact(self):
        """No other route can have made the calls."""
        tree = learn((('claim', 20, 0.2, 8),), 10, seed=7)
        self.assertAlmostEqual(tree.calls_of('claim')['fees'], 8, delta=0.5)
