"""Which nodes read the store."""

import unittest

from rattanstile.process.mesh.store_readers import (
    READERS_IN_DOMAIN,
    StoreReaders,
)

NODES = [f'n{number:02}' for number in range(26)]


def readers(nodes, refused=()):
    """Return the nodes that read, each asked by itself."""
    found = []
    for node in nodes:
        others = [one for one in nodes if one != node]
        view = StoreReaders(node, lambda others=others: others)
        for one in refused:
            view.told(one, can_read=False)
        if view.is_reader():
            found.append(node)
    return found


class ReadersTest(unittest.TestCase):
    """A failure domain of 26 nodes."""

    def test_a_few_read(self):
        """Each change would else be read 26 times."""
        self.assertEqual(len(readers(NODES)), READERS_IN_DOMAIN)

    def test_others_take_over_from_those_that_are_refused(self):
        """The store turns a third of the nodes away."""
        refused = NODES[-9:]
        found = set(readers(NODES, refused)) - set(refused)
        self.assertEqual(len(found), READERS_IN_DOMAIN)

    def test_a_node_that_can_read_again_counts(self):
        """The store is back."""
        view = StoreReaders('n00', lambda: NODES[1:])
        for one in NODES[1:]:
            view.told(one, can_read=False)
        self.assertTrue(view.is_reader())
        for one in NODES[1:]:
            view.told(one, can_read=True)
        self.assertFalse(view.is_reader())

    def test_a_lonely_node_reads_for_itself(self):
        """All its links are gone."""
        self.assertEqual(readers(['n00']), ['n00'])
