"""Inference of the run that makes an inner call."""

import unittest

from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.process.mesh.placement.repeat_ranking import (
    RepeatDecision,
    RepeatRanking,
    repeat_cost,
)
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.placement.run_positions import Run, RunPositions

TAXES = RunKind('tax', 'taxes')
CALLS = 3


class RunPositionsTest(unittest.TestCase):
    """Two runs of three calls each; a third route makes none."""

    def setUp(self):
        needs = {'orders': {TAXES: float(CALLS)}, 'health': {}}
        self.positions = RunPositions(needs.get)
        self.first = self.began('orders', 0.0, 9.0)
        self.second = self.began('orders', 0.1, 9.0)

    def began(self, route, now_s, deadline_s):
        run = Run(route, is_repeat=False, urgency=1, deadline_s=deadline_s)
        self.positions.began(now_s, run)
        return run

    def call(self, now_s, deadline_s=8.0):
        return self.positions.called(now_s, TAXES, deadline_s)

    def left(self, chain, now_s):
        return self.positions.calls_left(now_s, chain)[TAXES]

    def test_call_after_an_answer_continues_its_run(self):
        """The run that awaits an answer can't have made it."""
        one = self.call(0.003)
        other = self.call(0.103)
        self.positions.answered(0.15, one, has_failed=False)
        self.assertIs(self.call(0.153), one)
        self.assertAlmostEqual(self.left(one, 0.153), CALLS - 2)
        self.assertAlmostEqual(self.left(other, 0.153), CALLS - 1)

    def test_run_of_a_route_without_calls_makes_none(self):
        """It began just before, and runs for long."""
        chain = self.call(0.103)
        self.positions.answered(0.15, chain, has_failed=False)
        self.began('health', 0.151, 9.0)
        self.assertIs(self.call(0.1515), chain)

    def test_deadline_tells_runs_apart(self):
        """Both runs wait to continue, and the later one is first."""
        early = self.began('orders', 1.0, 3.0)
        late = self.began('orders', 1.001, 3.5)
        self.assertIs(self.call(1.003, 3.4995).run, late)
        self.assertIs(self.call(1.004, 2.9990).run, early)

    def test_all_runs_are_forgotten_when_they_end(self):
        """A mistaken run must neither stay nor be removed twice."""
        chains = [self.call(0.103), self.call(0.104)]
        for chain in chains:
            self.positions.answered(0.15, chain, has_failed=True)
        self.positions.ended(0.16, self.second, has_finished=False)
        self.positions.ended(0.17, self.first, has_finished=False)
        self.assertEqual(len(self.positions), 0)
        self.assertIsNone(self.call(0.2))


class RepeatRankingTest(unittest.TestCase):
    """Calls of several costs, and a budget for a part of them."""

    def setUp(self):
        self.budget = RerunBudget(0.2, 0, lambda: 0.0)
        self.ranking = RepeatRanking(self.budget)

    def grants(self, costs, requests, seconds=8):
        """Return how often each cost is granted, by cost."""
        granted = dict.fromkeys(costs, 0)
        for number in range(requests * seconds):
            now_s = 10 + number / requests
            self.budget.record_first_attempt(now_s, 'taxes', is_repeat=False)
            cost = costs[number % len(costs)]
            decision = self.ranking.decide(now_s, 'taxes', cost)
            granted[cost] += decision is RepeatDecision.GRANTED
        return granted

    def test_lowest_cost_gets_most(self):
        """The budget is a fifth of the calls, a half of which has each cost."""
        granted = self.grants((1.0, 4.0), 100)
        self.assertGreater(granted[1.0], 0.9 * 0.2 * 800)
        self.assertLess(granted[4.0], 0.02 * 0.2 * 800)

    def test_all_costs_are_granted_while_the_budget_suffices(self):
        """One of five targets rejects, and few calls are repeated."""
        self.grants((1.0,), 1)
        granted = 0
        for number in range(800):
            now_s = 30 + number / 100
            self.budget.record_first_attempt(now_s, 'taxes', is_repeat=False)
            if number > 100 and number % 10 == 0:
                cost = 1.0 + number % 40
                decision = self.ranking.decide(now_s, 'taxes', cost)
                granted += decision is RepeatDecision.GRANTED
        self.assertGreaterEqual(granted, 68)

    def test_urgency_ranks_calls_of_equal_progress(self):
        """An urgent request must not be served worse than a less urgent one."""
        costs = [repeat_cost(2.0, urgency) for urgency in range(4)]
        self.assertEqual(costs, sorted(set(costs)))
