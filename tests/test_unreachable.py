"""Tests of the back-off for unreachable nodes."""

import unittest

from rattanstile.process.membership.unreachable import UnreachableNodes


class UnreachableNodesTest(unittest.TestCase):
    """Back-off after failures, and probes after it."""

    def setUp(self):
        self.unreachable = UnreachableNodes(0.5, 4.0, max_nodes=2)

    def back_off_tenths(self, now_s):
        """Return the rest of the back-off in tenths of a second."""
        tenths = range(100)
        return sum(
            self.unreachable.is_backed_off('a', now_s + tenth / 10)
            for tenth in tenths
        )

    def test_back_off_doubles_up_to_the_maximum(self):
        back_offs = []
        for now_s in range(0, 50, 10):
            self.unreachable.failed('a', now_s)
            back_offs.append(self.back_off_tenths(now_s))
        self.assertEqual(back_offs, [5, 10, 20, 40, 40])

    def test_failures_during_back_off_count_once(self):
        for _ in range(5):
            self.unreachable.failed('a', 0)
        self.assertEqual(self.back_off_tenths(0), 5)

    def test_single_attempt_probes_the_node_after_back_off(self):
        self.unreachable.failed('a', 0)
        self.unreachable.sent('a', 0.6)
        self.assertEqual(self.unreachable.backed_off(0.6), {'a'})
        self.unreachable.failed('a', 0.7)
        self.assertEqual(self.back_off_tenths(0.7), 10)

    def test_success_ends_the_back_off(self):
        self.unreachable.failed('a', 0)
        self.unreachable.succeeded('a')
        self.assertEqual(self.unreachable.backed_off(0), frozenset())

    def test_number_of_nodes_is_bounded(self):
        for node in 'abc':
            self.unreachable.failed(node, 0)
        self.assertEqual(self.unreachable.backed_off(0), {'b', 'c'})
