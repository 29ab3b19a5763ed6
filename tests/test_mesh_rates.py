"""Rates of organisations over the fleet."""

import unittest
from random import Random

from mesh_samples import organisation

from rattanstile.process.mesh.rate_limiter import RateKeeper, RatePool
from rattanstile.process.mesh.rate_allocator import RateSharer

NODES = 14
WINDOW_S = 5.0
NORTH = organisation('north', rate_per_s=100.0)
ALLOWED = (NORTH.rate_per_s * WINDOW_S + NORTH.burst_calls) * 1.1 + 20
"""Of the users' rules: requests in any five seconds."""


class Fleet:
    """Nodes that share one organisation's rate, on a virtual clock.

    Nodes in `cut` reach no other node.
    """

    def __init__(self, demand_per_s, seed=1, organisation=NORTH):
        """Take each node's requests a second."""
        self.nodes = len(demand_per_s)
        self.organisation = organisation
        self.demand_per_s = demand_per_s
        self.keepers = [RateKeeper() for _ in range(self.nodes)]
        self.sharers = [RateSharer() for _ in range(self.nodes)]
        self.pools = [RatePool() for _ in range(self.nodes)]
        self.admitted_s = []
        self.refused = 0
        self.cut = set()
        self._chance = Random(seed)
        for keeper in self.keepers:
            keeper.set_node_count(self.nodes)
            keeper.know(0, (organisation,))

    def run(self, from_s, until_s, step_s=0.01):
        now_s = from_s
        report_s = from_s
        while now_s < until_s:
            for node in range(self.nodes):
                expected = self.demand_per_s[node] * step_s
                if self._chance.random() < expected:
                    self._ask(now_s, node)
            if now_s >= report_s:
                report_s += 0.5
                self._report(now_s)
            now_s += step_s

    def worst_window(self):
        return max(
            sum(1 for at_s in self.admitted_s if 0 <= at_s - start < WINDOW_S)
            for start in self.admitted_s[::7]
        )

    def _group(self, node):
        if node in self.cut:
            return (node,)
        return tuple(one for one in range(self.nodes) if one not in self.cut)

    def _ask(self, now_s, node):
        verdict = self.keepers[node].take(now_s, self.organisation)
        sharer = min(self._group(node))
        is_admitted = verdict.is_admitted
        if not is_admitted and verdict.may_use_pool:
            given = self.pools[sharer].take(now_s, self.organisation)
            is_admitted = given.is_granted
            if not is_admitted:
                self.keepers[node].pool_was_dry(
                    now_s, self.organisation, given.wait_s
                )
        if is_admitted:
            self.admitted_s.append(now_s)
        else:
            self.refused += 1

    def _report(self, now_s):
        for node, keeper in enumerate(self.keepers):
            sharer = min(self._group(node))
            demand = keeper.demand(now_s)
            self.sharers[sharer].reported(now_s, node, demand, {})
            if sharer == node:
                shared = self.sharers[node]
                shared.share(now_s, self.nodes, {'north': self.organisation})
                self.pools[node].know(
                    now_s,
                    (self.organisation,),
                    shared.reachable(now_s, self.nodes),
                    shared.held,
                )
            else:
                self.pools[node].stop()
            keeper.shared(now_s, self.sharers[sharer].parts_of(node))


class RateTest(unittest.TestCase):
    """Demand below, at and above the rate, wherever it comes in."""

    def test_nothing_within_the_rate_is_refused(self):
        """Nine tenths of the rate, at three of fourteen nodes."""
        demand = [0.0] * NODES
        demand[2], demand[5], demand[9] = 60.0, 20.0, 10.0
        fleet = Fleet(demand)
        fleet.run(0, 3)
        fleet.refused = 0
        fleet.admitted_s.clear()
        fleet.run(3, 15)
        total = fleet.refused + len(fleet.admitted_s)
        self.assertLess(fleet.refused / total, 0.01)

    def test_nor_where_many_nodes_are_each_seldom_asked(self):
        """A small organisation in a fleet of 82: the grown Vedlott's calm day.

        Parts that never added up to one request were lost to it.
        """
        small = organisation('north', rate_per_s=16.0)
        fleet = Fleet([0.8 * 16.0 / 82] * 82, organisation=small)
        fleet.run(0, 10)
        fleet.refused = 0
        fleet.admitted_s.clear()
        fleet.run(10, 22)
        total = fleet.refused + len(fleet.admitted_s)
        self.assertLess(fleet.refused / total, 0.01)

    def test_no_window_has_more_than_is_allowed(self):
        """Eight times the rate, that moves from node to node."""
        fleet = Fleet([800 / NODES] * NODES)
        fleet.run(0, 6)
        fleet.demand_per_s = [0.0] * 10 + [200.0] * 4
        fleet.run(6, 12)
        self.assertLessEqual(fleet.worst_window(), ALLOWED)

    def test_nor_while_nodes_are_cut_off(self):
        """They reach nobody, and are asked like the others."""
        for cut in ({0, 3, 6, 9, 12}, {0}, {0, 1}, set(range(7)), {13}):
            fleet = Fleet([800 / NODES] * NODES)
            fleet.run(0, 4)
            fleet.cut = cut
            fleet.run(4, 12)
            fleet.cut = set()
            fleet.run(12, 18)
            with self.subTest(cut=cut):
                self.assertLessEqual(fleet.worst_window(), ALLOWED)

    def test_a_new_process_begins_with_nothing(self):
        """What its predecessor admitted counts in the same window."""
        keeper = RateKeeper()
        keeper.set_node_count(NODES)
        keeper.know(0, (NORTH,))
        self.assertFalse(keeper.take(0, NORTH).is_admitted)

    def test_what_did_not_run_is_given_back(self):
        """A request that was refused for another reason."""
        keeper = RateKeeper()
        keeper.know(0, (NORTH,))
        while keeper.take(0.05, NORTH).is_admitted:
            continue
        keeper.give_back(NORTH)
        self.assertTrue(keeper.take(0.05, NORTH).is_admitted)

    def test_a_token_that_comes_soon_is_waited_for(self):
        """Rather than refused; what comes later is."""
        pool = RatePool()
        pool.know(0.0, (NORTH,), 1, {})
        waits = []
        while (taken := pool.take(0.0, NORTH)).is_granted:
            waits.append(taken.wait_s)
        self.assertEqual(waits[0], 0)
        self.assertGreater(waits[-1], 0.05)
        self.assertLessEqual(waits[-1], 0.1)
        self.assertLess(len(waits), 0.3 * NORTH.rate_per_s)
        self.assertGreater(taken.wait_s, 0.1)

    def test_no_rate_means_no_limit(self):
        """Nothing is counted."""
        keeper = RateKeeper()
        free = organisation('free', rate_per_s=0)
        for _ in range(1000):
            self.assertTrue(keeper.take(0, free).is_admitted)
