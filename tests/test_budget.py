"""The retry budget, also as a tree of loans that are returned or lost."""

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

    def test_larger_half_goes_down(self):
        budget = RetryBudget(3)
        self.assertEqual((budget.lend(), budget.tries), (2, 1))
        self.assertEqual((budget.lend(), budget.tries), (1, 0))
        self.assertEqual((budget.lend(), budget.tries), (0, 0))

    def test_nothing_is_spent_beyond_the_budget(self):
        budget = RetryBudget(2)
        spent = [budget.spend() for _ in range(4)]
        self.assertEqual(spent, [True, True, False, False])

    def test_return_beyond_the_loan_or_below_zero_is_cut(self):
        budget = RetryBudget(4)
        lent = budget.lend()
        budget.reclaim(lent, 99)
        self.assertEqual(budget.tries, 4)
        budget.reclaim(budget.lend(), -5)
        self.assertEqual(budget.tries, 2)

    def test_negative_budget_is_none(self):
        self.assertEqual(RetryBudget(-3).tries, 0)


class BudgetTree(RuleBasedStateMachine):
    """Calls split their budget among children and spend it, in any order."""

    calls = Bundle('calls')

    def __init__(self):
        """Start a tree with one root."""
        super().__init__()
        self.total = 0
        self.spent = 0
        self.live = {}

    @rule(target=calls, tries=st.integers(0, 8))
    def root(self, tries):
        if self.live:
            return multiple()
        budget = RetryBudget(tries)
        self.total += tries
        self.live[id(budget)] = (budget, None, tries)
        return budget

    @rule(target=calls, parent=calls)
    def child(self, parent):
        if id(parent) not in self.live:
            return multiple()
        lent = parent.lend()
        budget = RetryBudget(lent)
        self.live[id(budget)] = (budget, parent, lent)
        return budget

    @rule(call=calls)
    def spend(self, call):
        if id(call) in self.live and call.spend():
            self.spent += 1

    @rule(call=calls, lost=st.booleans())
    def end(self, call, lost):
        _, parent, lent = self.live.pop(id(call), (None, None, 0))
        if parent is not None and not lost and id(parent) in self.live:
            parent.reclaim(lent, call.tries)

    @invariant()
    def spent_and_held_stay_within_the_budget(self):
        held = sum(budget.tries for budget, _, _ in self.live.values())
        assert self.spent + held <= self.total


BudgetTreeTest = BudgetTree.TestCase
BudgetTreeTest.settings = settings(
    derandomize=True,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
