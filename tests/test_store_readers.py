"""Which nodes read the store."""

import unittest

from rattanstile.process.mesh.store_readers import (
    READERS_IN_DOMAIN,
    SIGN_LASTS_S,
    StoreReaders,
)

NODES = [f'n{number:02}' for number in range(26)]


class Domain:
    """The nodes of a failure domain, which hear each other's signs."""

    def __init__(self):
        self.now_s = 0.0
        self.refused = set()
        self.silent = set()
        self.views = {
            node: StoreReaders(
                node, lambda node=node: [one for one in NODES if one != node]
            )
            for node in NODES
        }

    def readers(self):
        return {
            node
            for node, view in self.views.items()
            if view.is_reader(self.now_s)
        }

    def run(self, seconds):
        """Let time pass; each reader tells all others that it reads."""
        for _ in range(int(seconds / 0.25)):
            self.now_s += 0.25
            for node, view in self.views.items():
                if view.is_sign_due(self.now_s) and node not in self.silent:
                    self._tell(node)

    def _tell(self, node):
        reads = node not in self.refused
        for view in self.views.values():
            view.told(self.now_s, node, reads=reads)


class ReadersTest(unittest.TestCase):
    """A failure domain of 26 nodes."""

    def setUp(self):
        self.domain = Domain()

    def test_all_read_until_they_have_met(self):
        """A node that has heard nobody relies on nobody."""
        self.assertEqual(self.domain.readers(), set(NODES))

    def test_a_few_read(self):
        """Each change would else be read 26 times."""
        self.domain.run(4)
        self.assertEqual(self.domain.readers(), set(NODES[-3:]))

    def test_others_take_over_from_those_that_are_refused(self):
        """The store turns a third of the nodes away."""
        self.domain.run(4)
        self.domain.refused = set(NODES[-9:])
        self.domain.run(4)
        found = self.domain.readers() - self.domain.refused
        self.assertEqual(len(found), READERS_IN_DOMAIN)

    def test_others_take_over_from_those_that_are_silent(self):
        """Their connections are open and carry nothing."""
        self.domain.run(4)
        self.domain.silent = set(NODES[-3:])
        self.domain.run(SIGN_LASTS_S + 1)
        found = self.domain.readers() - self.domain.silent
        self.assertGreaterEqual(len(found), READERS_IN_DOMAIN)

    def test_the_first_read_again_when_they_are_back(self):
        """The others stop."""
        self.domain.silent = set(NODES[-3:])
        self.domain.run(5)
        self.domain.silent = set()
        self.domain.run(5)
        self.assertEqual(self.domain.readers(), set(NODES[-3:]))
