"""Retry budget, also in a call tree with returned and lost loans."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    multiple,
    rule,
)

from rattanstile.request.budget import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    """A try is held, lent, spent or lost, never copied."""

    def test_larger_half_is_lent(self):
        budget = RetryBudget(3)
        self.assertEqual((budget.lend(), budget.tries), (2, 1))
        self.assertEqual((budget.lend(), budget.tries), (1, 0))
        self.assertEqual((budget.lend(), budget.tries), (0, 0))

    def test_spending_stops_when_the_budget_is_empty(self):
        budget = RetryBudget(2)
        spent = [budget.spend() for _ in range(4)]
        self.assertEqual(spent, [True, True, False, False])

    def test_returned_tries_are_clamped_to_the_loan(self):
        budget = RetryBudget(4)
        lent = budget.lend()
        budget.reclaim(lent, 99)
        self.assertEqual(budget.tries, 4)
        budget.reclaim(budget.lend(), -5)
        self.assertEqual(budget.tries, 2)

    def test_negative_budget_counts_as_zero(self):
        self.assertEqual(RetryBudget(-3).tries, 0)


class BudgetTree(RuleBasedStateMachine):
    """Calls split their budget among child calls and spend it, in any order."""

    calls = Bundle('calls')

    def __init__(self):
        """Start without a call."""
        super().__init__()
        self.total = 0
        self.spent = 0
        self.running = {}

    @rule(target=calls, tries=st.integers(0, 8))
    def root(self, tries):
        if self.running:
            return multiple()
        budget = RetryBudget(tries)
        self.total += tries
        self.running[id(budget)] = (budget, None, tries)
        return budget

    @rule(target=calls, parent=calls)
    def child(self, parent):
        if id(parent) not in self.running:
            return multiple()
        lent = parent.lend()
        budget = RetryBudget(lent)
        self.running[id(budget)] = (budget, parent, lent)
        return budget

    @rule(call=calls)
    def spend(self, call):
        if id(call) in self.running and call.spend():
            self.spent += 1

    @rule(call=calls, lost=st.booleans())
    def end(self, call, lost):
        _, parent, lent = self.running.pop(id(call), (None, None, 0))
        if parent is not None and not lost and id(parent) in self.running:
            parent.reclaim(lent, call.tries)

    @invariant()
    def spent_and_held_stay_within_the_budget(self):
        held = sum(budget.tries for budget, _, _ in self.running.values())
        assert self.spent + held <= self.total


BudgetTreeTest = BudgetTree.TestCase
BudgetTreeTest.settings = settings(
    derandomize=True,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
