"""Crowds of clients that no operator controls, against processes of nodes.

A crowd whose bytes were within the limits ended a node for want of memory, or
took all descriptors so that nobody else was answered. Each test runs one shape
of `rattanstile.standin.crowd_shapes` and checks what doesn't depend on the speed
of the machine: lives, peak memory, descriptors, one answer, memory afterwards.
"""

import threading
import time
import unittest
from pathlib import Path

from platform_fleet import API_KEY, HOST, PlatformFleet, config_document

from rattanstile.standin.crowd_shapes import (
    CROWD_SHAPES_BY_NAME,
    CrowdIdentity,
    CrowdListener,
)
from rattanstile.trial.crowd import Crowd

SEED = 1
KB = 1024
MB = 1024 * KB
MAX_NODE_BYTES = 128 * MB
"""Memory that a node may use."""
MAX_CLIENT_BYTES = 150 * KB
"""Share of one client: 600 clients and a node at rest (38 MB) within 128 MB."""
MAX_DESCRIPTORS = 256
MAX_OPEN = MAX_DESCRIPTORS * 7 // 8
"""An eighth stays free for the store, nodes, the target and operators."""
MAX_BODY_BYTES = 8 * MB
"""Documented limit of bodies; heads get 3 s and idle connections 15 s."""
MAX_REMAINING = 1.5
"""Memory after the crowd has left, in relation to that before it."""
SEND_S = 20.0
SEND_SLOWLY_S = 2.0
"""Less than the timeout of heads: clients that send slowly are still there."""
HOLD_S = 1.0
TRIES = 5
"""A node near its limits may refuse; a caller tries again."""
TRIES_AFTER = 20
"""Targets finish first what the crowd has asked for."""
SAMPLE_PERIOD_S = 0.02

ADDRESS_FIELDS = {
    CrowdListener.CALLERS: 'caller_address',
    CrowdListener.NODES: 'peer_address',
    CrowdListener.ANNOUNCEMENTS: 'announcement_address',
}


def status_bytes(pid, field):
    """Return a size from /proc/PID/status."""
    status = Path(f'/proc/{pid}/status').read_text()
    return int(status.partition(f'{field}:')[2].split()[0]) * KB


class DescriptorWatch:
    """Samples the open descriptors of processes in a thread."""

    def __init__(self, pids):
        self.most = 0
        self._pids = pids
        self._is_over = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *args):
        self._is_over.set()
        self._thread.join()

    def _sample(self):
        while not self._is_over.wait(SAMPLE_PERIOD_S):
            for pid in self._pids:
                try:
                    count = len(list(Path(f'/proc/{pid}/fd').iterdir()))
                except OSError:
                    continue
                self.most = max(self.most, count)


class CrowdTest(unittest.TestCase):
    """Nodes of few descriptors, and one crowd on the first of them."""

    def start(self, node_count):
        self.fleet = PlatformFleet(
            node_count, max_descriptors=MAX_DESCRIPTORS, slots=40
        )
        self.fleet.start()
        self.addCleanup(self.fleet.stop)
        self.fleet.publish(
            config_document(
                version=2,
                idle_timeout='15000ms',
                header_timeout='3000ms',
                max_body_bytes=MAX_BODY_BYTES,
            )
        )
        for node_index in range(node_count):
            self.fleet.wait_until(
                lambda index=node_index: (
                    'version=2' in self.fleet.read_log(index)
                )
            )
        self.pids = [
            process.pid for process in self.fleet.node_processes.values()
        ]

    def is_answered(self, tries):
        """Return whether an ordinary request is served in some tries."""
        for _ in range(tries):
            try:
                if self.fleet.call().status == 200:
                    return True
            except OSError:
                pass
            time.sleep(HOLD_S / TRIES)
        return False

    def node_bytes(self, field='VmRSS'):
        return max(status_bytes(pid, field) for pid in self.pids)

    def run_crowd(self, name, node_count=1, max_bytes=None):
        """Run a crowd, print what was measured, and check all of it."""
        shape = CROWD_SHAPES_BY_NAME[name]
        self.start(node_count)
        before_bytes = self.node_bytes()
        if max_bytes is None:
            max_bytes = before_bytes + shape.connections * MAX_CLIENT_BYTES
        address = self.fleet.node_settings[0][ADDRESS_FIELDS[shape.listener]]
        crowd = Crowd(address, shape, CrowdIdentity(HOST, API_KEY), SEED)
        self.addCleanup(crowd.close)
        with DescriptorWatch(self.pids) as descriptors:
            crowd.connect()
            crowd.run(SEND_SLOWLY_S if shape.parts_per_s else SEND_S)
            crowd.hold(HOLD_S)
            answered_beside = self.is_answered(TRIES_AFTER)
        counts = crowd.counts
        crowd.close()
        answered_after = self.is_answered(TRIES_AFTER)
        lives = [
            process.poll() is None
            for process in self.fleet.node_processes.values()
        ]
        self.assertTrue(all(lives), 'a node has ended')
        peak_bytes = self.node_bytes('VmHWM')
        after_bytes = self.memory_back(before_bytes)
        print(
            f'{name}: {counts.connected} connected, {counts.refused} refused,'
            f' {counts.closed} closed,'
            f' {counts.sent_bytes / MB:.1f} MB sent; memory'
            f' {before_bytes / MB:.1f} MB, peak {peak_bytes / MB:.1f} of'
            f' {max_bytes / MB:.1f} MB, after {after_bytes / MB:.1f} MB;'
            f' descriptors {descriptors.most} of {MAX_OPEN}; answered beside'
            f' {answered_beside}, after {answered_after}'
        )
        self.assertLess(peak_bytes, min(max_bytes, MAX_NODE_BYTES))
        self.assertLessEqual(descriptors.most, MAX_OPEN)
        self.assertTrue(answered_beside, 'beside the crowd')
        self.assertTrue(answered_after, 'after the crowd')
        self.assertLess(after_bytes, MAX_REMAINING * before_bytes)

    def memory_back(self, before_bytes):
        """Return the memory once it has come back, or after all polls."""
        try:
            self.fleet.wait_until(
                lambda: self.node_bytes() < MAX_REMAINING * before_bytes
            )
        except AssertionError:
            pass
        return self.node_bytes()

    def test_one_byte_chunks(self):
        """Each byte cost nine in a list."""
        self.run_crowd('one-byte-chunks')

    def test_small_chunks(self):
        """Each chunk of two bytes cost an object of 35."""
        self.run_crowd('small-chunks')

    def test_large_chunks(self):
        """Bodies that stop short kept their descriptors."""
        self.run_crowd('large-chunks')

    def test_extensions(self):
        """They are read and dropped, and the body never ends."""
        self.run_crowd('extensions')

    def test_trailers(self):
        """The parser holds them."""
        self.run_crowd('trailers')

    def test_many_headers(self):
        """Short headers cost forty times their length."""
        self.run_crowd('many-headers')

    def test_slow_heads(self):
        """One header each second."""
        self.run_crowd('slow-heads')

    def test_pipelined(self):
        """Requests wait behind one that isn't answered yet."""
        self.run_crowd('pipelined')

    def test_unread_answers(self):
        """Answers stay in the node while nobody reads them."""
        self.run_crowd('unread-answers')

    def test_large_bodies(self):
        """Each was held several times on its way to the target."""
        self.run_crowd('large-bodies', 2, MAX_NODE_BYTES)

    def test_unknown_nodes(self):
        """A first message that stops short kept its connection for good."""
        self.run_crowd('unknown-nodes')

    def test_announcements(self):
        """The listener of the target's heartbeats takes the same bodies."""
        self.run_crowd('announcements')
