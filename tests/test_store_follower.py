"""Reads and writes of the store when a node starts."""

import unittest
from random import Random
from types import SimpleNamespace

from mesh_samples import RecordingLog
from result import Ok
from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.mesh.ports import FleetMembers
from rattanstile.process.mesh.store_follower import StoreFollower
from rattanstile.process.mesh.target_watch import TargetDeparture

OWN = PeerMember('n1', '10.0.0.1:1', 'registry', 'east')
OTHER = PeerMember('n2', '10.0.0.2:1', 'registry', 'east')


class FakeStore:
    """A store with a member list that records the calls made to it."""

    def __init__(self, members):
        self.by_id = {member.node_id: member for member in members}
        self.calls = []

    async def members(self):
        self.calls.append('members')
        return Ok(FleetMembers(dict(self.by_id), 0))

    async def announce(self, member):
        self.calls.append('announce')
        self.by_id[member.node_id] = member
        return Ok(None)


class JoinTest(unittest.TestCase):
    """Store calls of a starting node."""

    def join(self, *members):
        self.found_members = []
        self.restored = []
        self.store = FakeStore(members)
        follower = StoreFollower(
            Clock(),
            self.store,
            None,
            lambda: OWN,
            lambda members: self.found_members.extend(members),
            self.restored.append,
            SimpleNamespace(),
            RecordingLog(),
            Random(1),
        )
        joining = follower._join()
        with self.assertRaises(StopIteration):
            joining.send(None)

    def test_new_node_reads_members_again_after_announcing(self):
        """Nodes that start together are missing from the first read."""
        self.join(OTHER)
        self.assertEqual(self.store.calls, ['members', 'announce', 'members'])
        self.assertIn(OTHER, self.found_members)

    def test_unchanged_node_reads_members_once(self):
        """Without this, 82 nodes that lost power made 246 store calls."""
        self.join(OTHER, OWN)
        self.assertEqual(self.store.calls, ['members'])
        self.assertIn(OTHER, self.found_members)

    def test_restores_target_that_left(self):
        """The departure was announced to an earlier run of the node."""
        self.join(PeerMember('n1', '10.0.0.1:1', 'registry', 'east', 'i-1', 10))
        self.assertEqual(self.restored, [TargetDeparture('i-1', 10)])
