"""Attribution of a target's outgoing calls to its routes."""

import heapq
import sys
import unittest
from random import Random

from rattanstile.process.mesh.admission.call_tree import CallAttribution
from rattanstile.process.mesh.admission.service_needs import RunKind


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


def calls_made(function):
    """Return how many Python functions a call of one makes, at any depth."""
    made = 0

    def count(frame, event, argument):
        nonlocal made
        made += event == 'call'

    sys.setprofile(count)
    try:
        function()
    finally:
        sys.setprofile(None)
    return made


def run_each(tree, routes, kinds, from_s=0.0, seconds=30):
    """Have each of some routes run once a second, and kinds be called."""
    for second in range(seconds):
        began_s = from_s + second
        for number, route in enumerate(routes):
            at_s = began_s + number / len(routes)
            tree.began(at_s, route)
            tree.called(at_s + 0.001, kinds[number % len(kinds)])
            tree.ended(at_s + 0.05, route)
            tree.step(at_s + 0.05)
    return from_s + seconds


class ManyRoutesTest(unittest.TestCase):
    """CONFIG: 350 more public routes that callers used hung the nodes.

    Each node fitted each kind of call over all pairs of routes: 887 of 2,140
    requests had no answer half a second after their timeout (review case 1).
    """

    def work_of_a_period(self, routes, kinds):
        tree = CallAttribution()
        names = [f'r-{number}' for number in range(routes)]
        called = [RunKind(f'k-{number}', 's') for number in range(kinds)]
        end_s = run_each(tree, names, called, seconds=3)
        return calls_made(
            lambda: [tree.step(end_s + step / 10) for step in range(1, 11)]
        )

    def test_work_grows_no_faster_than_routes_and_kinds(self):
        """It grew with kinds times the square of routes."""
        few = self.work_of_a_period(30, 30)
        many = self.work_of_a_period(90, 90)
        self.assertLessEqual(many, 3 * few)

    def test_nor_with_either_alone(self):
        """Routes that need a key run, and few kinds are called from here."""
        few = self.work_of_a_period(30, 3)
        self.assertLessEqual(self.work_of_a_period(90, 3), 3 * few)
        self.assertLessEqual(self.work_of_a_period(30, 9), 3 * few)

    def test_work_of_a_call_does_not_grow_with_routes(self):
        """Each outgoing call looked at all routes; each answer at all kinds."""
        tree = CallAttribution()
        names = [f'r-{number}' for number in range(300)]
        kinds = [RunKind(f'k-{number}', 's') for number in range(300)]
        end_s = run_each(tree, names, kinds, seconds=5)
        self.assertLess(calls_made(lambda: tree.called(end_s, kinds[0])), 10)
        self.assertLess(len(tree._reported), 33)

    def test_what_is_no_longer_used_is_forgotten(self):
        """Each version of the configuration has other routes."""
        tree = CallAttribution()
        end_s = 0.0
        for version in range(40):
            names = [f'v{version}-{number}' for number in range(50)]
            kinds = [RunKind(name, 's') for name in names]
            end_s = run_each(tree, names, kinds, end_s, seconds=30)
        self.assertLess(len(tree._routes), 500)
        self.assertLess(len(tree._outgoing), 500)
        for step in range(4000):
            tree.step(end_s + step / 10)
        self.assertEqual(len(tree._routes), 0)
        self.assertEqual(len(tree._outgoing), 0)

    def test_the_route_that_calls_is_found_among_many(self):
        """It is one of the busy ones; it came after all others."""
        quiet = tuple((f'q-{number}', 1, 0.02, 0) for number in range(100))
        tree = learn((*quiet, ('check', 60, 0.1, 4)), 40, seed=8)
        self.assertAlmostEqual(tree.calls_of('check')['fees'], 4, delta=0.8)
        wrong = sum(
            tree.calls_of(f'q-{number}').get('fees', 0) for number in range(100)
        )
        self.assertLess(wrong / 100, 2.0)

    def test_sums_are_kept_over_hours(self):
        """Their weight would grow beyond any number."""
        tree = CallAttribution()
        run_each(tree, ('check',), ('fees',), seconds=4 * 3600)
        self.assertAlmostEqual(tree.calls_of('check')['fees'], 1, delta=0.3)
