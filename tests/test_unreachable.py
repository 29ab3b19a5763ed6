"""Memory of unreachable nodes."""

import unittest

from rattanstile.process.membership.unreachable import UnreachableNodes


class UnreachableMemoryTest(unittest.TestCase):
    """A node that can't be reached is left alone for a while."""

    def setUp(self):
        self.memory = UnreachableNodes(0.5, 4.0, most_nodes=2)

    def back_off_s(self, now_s):
        """Return for how many tenths of a second the node is left alone."""
        tenths = range(100)
        return sum(
            self.memory.is_backed_off('a', now_s + tenth / 10)
            for tenth in tenths
        )

    def test_back_off_doubles_up_to_the_longest(self):
        seen = []
        for now_s in range(0, 50, 10):
            self.memory.failed('a', now_s)
            seen.append(self.back_off_s(now_s))
        self.assertEqual(seen, [5, 10, 20, 40, 40])

    def test_failures_of_one_event_count_once(self):
        for _ in range(5):
            self.memory.failed('a', 0)
        self.assertEqual(self.back_off_s(0), 5)

    def test_single_attempt_tries_the_node_again(self):
        self.memory.failed('a', 0)
        self.memory.sent('a', 0.6)
        self.assertEqual(self.memory.backed_off(0.6), {'a'})
        self.memory.failed('a', 0.7)
        self.assertEqual(self.back_off_s(0.7), 10)

    def test_answer_ends_the_back_off(self):
        self.memory.failed('a', 0)
        self.memory.succeeded('a')
        self.assertEqual(self.memory.backed_off(0), frozenset())

    def test_nodes_remembered_are_bounded(self):
        for node in 'abc':
            self.memory.failed(node, 0)
        self.assertEqual(self.memory.backed_off(0), {'b', 'c'})
