"""Contexts of the calls that a target runs."""

import unittest

from rattanstile.process.entry.contexts import CallContexts
from rattanstile.request.envelope import Call
from rattanstile.request.priority import Priority


def call(call_id='x', **changes):
    """Return a call of organisation `one`, two hops deep."""
    parts = {
        'attempt': 1,
        'organisation': 'one',
        'key_digest': 'digest',
        'service': 'claims',
        'method': 'GET',
        'path': '/',
        'priority': Priority.TRANSACTION,
        'remaining_ms': 9,
        'tries_left': 3,
        'hops': 2,
        'home': 'h',
        'shed_draw': 0.5,
    }
    return Call(call_id=call_id, **(parts | changes))


class CallContextsTest(unittest.TestCase):
    """A token identifies a call while it runs."""

    def setUp(self):
        self.contexts = CallContexts(max_contexts=2)
        self.token = self.contexts.begin(10.0, call(), 500).unwrap()

    def test_child_inherits_from_its_parent(self):
        share = self.contexts.child(self.token).unwrap()
        self.assertEqual(
            (share.parent, share.organisation, share.key_digest, share.hops),
            ('x', 'one', 'digest', 3),
        )
        self.assertEqual(
            (share.priority, share.deadline_s, share.shed_draw),
            (Priority.TRANSACTION, 10.5, 0.5),
        )

    def test_children_split_the_budget_and_return_the_rest(self):
        first = self.contexts.child(self.token).unwrap()
        second = self.contexts.child(self.token).unwrap()
        third = self.contexts.child(self.token).unwrap()
        self.assertEqual((first.tries, second.tries, third.tries), (2, 1, 0))
        self.contexts.child_ended(self.token, first, 1, whole=True)
        end = self.contexts.end('x')
        self.assertEqual((end.tries_unspent, end.failed_below), (1, False))

    def test_failed_child_is_reported(self):
        share = self.contexts.child(self.token).unwrap()
        self.contexts.child_ended(self.token, share, 0, whole=False)
        self.assertTrue(self.contexts.end('x').failed_below)

    def test_token_is_invalid_after_the_end(self):
        share = self.contexts.child(self.token).unwrap()
        self.contexts.end('x')
        self.assertTrue(self.contexts.child(self.token).is_err())
        self.contexts.child_ended(self.token, share, 2, whole=True)
        self.assertEqual(self.contexts.end('x').tries_unspent, 0)

    def test_tokens_are_opaque_and_unique(self):
        other = self.contexts.begin(0, call('y'), 1).unwrap()
        self.assertNotEqual(self.token, other)
        self.assertGreaterEqual(len(other), 32)
        for call_value in ('one', 'digest', 'claims'):
            self.assertNotIn(call_value, other)

    def test_running_calls_are_bounded(self):
        self.contexts.begin(0, call('y'), 1)
        self.assertTrue(self.contexts.begin(0, call('z'), 1).is_err())
        self.contexts.end('y')
        self.assertTrue(self.contexts.begin(0, call('z'), 1).is_ok())
        self.assertEqual(len(self.contexts), 2)

    def test_second_begin_of_a_call_ends_the_first(self):
        self.contexts.begin(0, call(), 1)
        self.assertEqual(len(self.contexts), 1)
        self.assertTrue(self.contexts.child(self.token).is_err())
