"""What a node reads and writes in the store when it starts."""

import unittest
from random import Random
from types import SimpleNamespace

from mesh_samples import LinesKept
from result import Ok
from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.mesh.ports import FleetMembers
from rattanstile.process.mesh.store_follower import StoreFollower
from rattanstile.process.mesh.target_watch import TargetDeparture

OWN = PeerMember('n1', '10.0.0.1:1', 'registry', 'east')
OTHER = PeerMember('n2', '10.0.0.2:1', 'registry', 'east')


class Store:
    """Members, and the calls that were made."""

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
    """The first calls of a node that starts."""

    def join(self, *members):
        self.found = []
        self.recalled = []
        self.store = Store(members)
        follower = StoreFollower(
            Clock(),
            self.store,
            None,
            lambda: OWN,
            lambda members: self.found.extend(members),
            self.recalled.append,
            SimpleNamespace(),
            LinesKept(),
            Random(1),
        )
        joining = follower._join()
        with self.assertRaises(StopIteration):
            joining.send(None)

    def test_a_new_node_is_found_by_those_that_start_with_it(self):
        """It reads again after it has written."""
        self.join(OTHER)
        self.assertEqual(self.store.calls, ['members', 'announce', 'members'])
        self.assertIn(OTHER, self.found)

    def test_a_node_that_is_back_reads_once(self):
        """82 nodes that lost power made 246 calls."""
        self.join(OTHER, OWN)
        self.assertEqual(self.store.calls, ['members'])
        self.assertIn(OTHER, self.found)

    def test_it_recalls_which_target_left(self):
        """An earlier run of the node was told so."""
        self.join(PeerMember('n1', '10.0.0.1:1', 'registry', 'east', 'i-1', 10))
        self.assertEqual(self.recalled, [TargetDeparture('i-1', 10)])
