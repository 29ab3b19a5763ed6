"""The grace period of a node counts from the signal, not from its handling."""

import unittest
from random import Random
from types import SimpleNamespace

from mesh_samples import RecordingLog
from transports import FakeReactor

from rattanstile.process.mesh.node import MeshNode
from rattanstile.process.mesh.ports import NodeAdapters
from rattanstile.process.mesh.settings import MeshSettings

SETTINGS = MeshSettings(
    node_id='n1',
    service='claims',
    failure_domain='east',
    target_address='127.0.0.1:1',
    caller_address='127.0.0.1:2',
    peer_address='127.0.0.1:3',
    ready_address='127.0.0.1:4',
    announcement_address='127.0.0.1:5',
    metrics_address='127.0.0.1:6',
    store_address='127.0.0.1:7',
    grace='6s',
    rerun_ratio=0.2,
    rerun_slack=49,
)


class DrainClockTest(unittest.TestCase):
    """A node without peers, on a virtual clock."""

    def setUp(self):
        self.reactor = FakeReactor()
        self.reactor.stop = lambda: self.stops.append(self.reactor.seconds())
        self.stops = []
        store = SimpleNamespace(decode_config=lambda document: None)
        adapters = NodeAdapters(None, None, None, store)
        self.node = MeshNode(
            self.reactor, SETTINGS, adapters, RecordingLog(), Random(1)
        )
        self.node.entry.roots = 1

    def advance(self, duration_s):
        with self.node.timers.every(0.05, self.node._tick):
            for _ in range(round(duration_s / 0.05)):
                self.reactor.advance(0.05)
                if self.stops:
                    return

    def test_node_that_was_busy_ends_within_the_grace_period(self):
        """It would have been killed, with what it still answered."""
        self.reactor.advance(10.0)
        signalled_s = self.reactor.seconds()
        self.reactor.advance(0.8)
        self.node.drain(signalled_s)
        self.advance(6.0)
        self.assertLess(self.stops[0] - signalled_s, 5.5)
