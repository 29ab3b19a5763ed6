"""Selection of the nodes that read the store."""

import unittest

from rattanstile.process.mesh.store.store_readers import (
    HEARTBEAT_TIMEOUT_S,
    READERS_PER_DOMAIN,
    StoreReaders,
)

NODES = [f'n{number:02}' for number in range(26)]


class FakeDomain:
    """Nodes of a failure domain that receive each other's heartbeats."""

    def __init__(self):
        self.now_s = 0.0
        self.refused = set()
        self.silent = set()
        self.readers_by_node = {
            node: StoreReaders(
                node,
                lambda node=node: [other for other in NODES if other != node],
            )
            for node in NODES
        }

    def readers(self):
        return {
            node
            for node, node_readers in self.readers_by_node.items()
            if node_readers.is_reader(self.now_s)
        }

    def run(self, seconds):
        """Advance time; each reader sends its heartbeats to all nodes."""
        for _ in range(int(seconds / 0.25)):
            self.now_s += 0.25
            for node, node_readers in self.readers_by_node.items():
                if (
                    node_readers.is_heartbeat_due(self.now_s)
                    and node not in self.silent
                ):
                    self._send_notice(node)

    def _send_notice(self, node):
        reads = node not in self.refused
        for node_readers in self.readers_by_node.values():
            node_readers.record_notice(self.now_s, node, reads=reads)


class ReadersTest(unittest.TestCase):
    """A failure domain with 26 nodes."""

    def setUp(self):
        self.domain = FakeDomain()

    def test_all_nodes_read_before_first_heartbeat(self):
        """A node without heartbeats of other readers reads for itself."""
        self.assertEqual(self.domain.readers(), set(NODES))

    def test_few_nodes_read(self):
        """Otherwise each change would be read 26 times."""
        self.domain.run(4)
        self.assertEqual(self.domain.readers(), set(NODES[-3:]))

    def test_others_replace_readers_refused_by_store(self):
        """The store refuses a third of the nodes."""
        self.domain.run(4)
        self.domain.refused = set(NODES[-9:])
        self.domain.run(4)
        active_readers = self.domain.readers() - self.domain.refused
        self.assertEqual(len(active_readers), READERS_PER_DOMAIN)

    def test_others_replace_silent_readers(self):
        """Their connections are open but transfer nothing."""
        self.domain.run(4)
        self.domain.silent = set(NODES[-3:])
        self.domain.run(HEARTBEAT_TIMEOUT_S + 1)
        active_readers = self.domain.readers() - self.domain.silent
        self.assertGreaterEqual(len(active_readers), READERS_PER_DOMAIN)

    def test_recovered_readers_read_again(self):
        """The replacements stop reading."""
        self.domain.silent = set(NODES[-3:])
        self.domain.run(5)
        self.domain.silent = set()
        self.domain.run(5)
        self.assertEqual(self.domain.readers(), set(NODES[-3:]))
