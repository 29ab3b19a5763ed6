"""Calls to the store when a node starts, and when the store refuses it."""

import unittest
from random import Random
from types import SimpleNamespace

from mesh_samples import RecordingLog
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.mesh.fleet.fleet_join import FleetJoin, JoinHandlers
from rattanstile.process.mesh.ports import (
    FleetMembers,
    HistoryGoneError,
    OperatorRecords,
    StoreUnavailableError,
)
from rattanstile.process.mesh.serving.past_incarnations import TargetDeparture
from rattanstile.process.mesh.store.store_follower import StoreFollower
from rattanstile.process.mesh.store.store_retry import StoreRetry

OWN = PeerMember('n1', '10.0.0.1:1', 'registry', 'east')
OTHER = PeerMember('n2', '10.0.0.2:1', 'registry', 'east')


class FakeStore:
    """A store with a member list that records the calls made to it."""

    def __init__(self, members):
        self.by_id = {member.node_id: member for member in members}
        self.calls = []
        self.era = 1

    async def members(self):
        self.calls.append('members')
        return Ok(FleetMembers(dict(self.by_id), 0, self.era))

    async def announce(self, member):
        self.calls.append('announce')
        self.by_id[member.node_id] = member
        return Ok(self.era)


class JoinTest(unittest.TestCase):
    """Store calls of a starting node."""

    def join(self, *members, is_new_fleet=False):
        self.found_members = []
        self.restored = []
        self.store = FakeStore(members)
        clock = Clock()
        joining = FleetJoin(
            self.store,
            StoreRetry(clock, Random(1)),
            JoinHandlers(
                lambda: OWN,
                lambda members: self.found_members.extend(members),
                self.restored.append,
            ),
            RecordingLog(),
            is_new_fleet=is_new_fleet,
        )
        self.joined = Deferred.fromCoroutine(joining.join())
        clock.advance(1.0)
        self.assertTrue(self.joined.called)

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

    def test_node_of_a_new_fleet_makes_two_calls(self):
        """No earlier run can have stored anything to read first."""
        self.join(OTHER, is_new_fleet=True)
        self.assertEqual(self.store.calls, ['announce', 'members'])
        self.assertIn(OTHER, self.found_members)
        self.assertEqual(self.restored, [TargetDeparture('', 0)])

    def test_restores_target_that_left(self):
        """The departure was announced to an earlier run of the node."""
        self.join(PeerMember('n1', '10.0.0.1:1', 'registry', 'east', 'i-1', 10))
        self.assertEqual(self.restored, [TargetDeparture('i-1', 10)])


class UnexpectedErrorTest(unittest.TestCase):
    """Errors that no caller expects: what follows the store must go on."""

    def setUp(self):
        self.clock = Clock()
        self.log = RecordingLog()
        self.failures_left = 1
        self.restored = []
        self.applied = []
        self.store = FakeStore([OTHER])
        self.store.newest_records = self.read
        self.store.records_after = self.wait
        retry = StoreRetry(self.clock, Random(1))
        joining = FleetJoin(
            self.store,
            retry,
            JoinHandlers(lambda: OWN, self.members_read, self.restored.append),
            self.log,
            is_new_fleet=False,
        )
        self.state = SimpleNamespace(
            state=SimpleNamespace(offset=0, era=0),
            apply_snapshot=self.apply,
            apply_records=self.apply,
        )
        role = SimpleNamespace(
            is_reader=lambda: True,
            is_first_reader=lambda: False,
            read_begins=lambda wait_s: None,
            read_applied=lambda **_: None,
            set_store_readable=lambda can_read: None,
        )
        self.follower = StoreFollower(
            self.store, retry, self.state, role, joining, self.log
        )

    def fail_once(self):
        if self.failures_left:
            self.failures_left -= 1
            raise RuntimeError('odd entry')

    def members_read(self, members):
        if self.fails_in == 'join':
            self.fail_once()

    def apply(self, records, source):
        if self.fails_in == 'follow':
            self.fail_once()
        self.applied.append(records)
        return True

    async def read(self):
        return Ok(OperatorRecords((), 0))

    async def wait(self, offset, wait_s):
        await deferLater(self.clock, 1.0)
        return await self.read()

    def run_node(self, fails_in):
        self.fails_in = fails_in
        self.follower.start()
        while self.clock.seconds() < 5:
            self.clock.advance(0.05)
        self.follower.stop()

    def test_join_goes_on(self):
        """The node was never announced, and its target never probed."""
        self.run_node('join')
        self.assertIn('n1', self.store.by_id)
        self.assertEqual(self.restored[-1], TargetDeparture('', 0))
        self.assertIn('store_task_failed', self.log.events())

    def test_following_goes_on(self):
        """No later configuration came into force."""
        self.run_node('follow')
        self.assertGreater(len(self.applied), 1)
        self.assertIn('store_task_failed', self.log.events())

    def test_repeated_failures_are_delayed(self):
        """Each of them reads the store."""
        self.failures_left = 1000
        self.run_node('join')
        self.assertLess(len(self.store.calls), 10)

    def test_undisturbed_node_joins_once(self):
        """Without an error nothing is begun again."""
        self.run_node('nowhere')
        self.assertEqual(self.store.calls, ['members', 'announce', 'members'])
        self.assertNotIn('store_task_failed', self.log.events())


class StartTest(unittest.TestCase):
    """A node that starts among others that have the operators' state."""

    def setUp(self):
        self.clock = Clock()
        self.calls = 0
        self.readable = []
        self.confirmed = 0
        self.has_more = False
        self.is_reader = False
        self.is_down = False
        self.gone_in_era = None
        self.era = 0
        self.log = RecordingLog()
        self.state = SimpleNamespace(
            state=SimpleNamespace(offset=0, era=0),
            apply_snapshot=lambda *_: True,
            apply_records=lambda *_: True,
        )
        store = SimpleNamespace(
            newest_records=self.read, records_after=self.wait
        )
        role = SimpleNamespace(
            is_reader=lambda: self.is_reader,
            is_first_reader=lambda: False,
            set_store_readable=lambda can_read: self.readable.append(can_read),
            read_begins=lambda wait_s: None,
            read_applied=self.confirm,
        )
        retry = StoreRetry(self.clock, Random(1))
        follower = StoreFollower(store, retry, self.state, role, None, self.log)
        self.following = Deferred.fromCoroutine(follower._follow())

    async def read(self, *_):
        self.calls += 1
        if self.gone_in_era is not None:
            return Err(HistoryGoneError('/v1/log-read', self.gone_in_era))
        if self.is_down:
            return Err(StoreUnavailableError('refused'))
        return Ok(OperatorRecords((), 0, self.era, self.has_more))

    def confirm(self, *, has_records=False):
        self.confirmed += 1

    def lost_reasons(self):
        return [
            fields['why']
            for event, fields in self.log.lines
            if event == 'store_lost'
        ]

    async def wait(self, offset, wait_s):
        await deferLater(self.clock, 1.0)
        return await self.read()

    def run_until(self, until_s):
        while self.clock.seconds() < until_s:
            self.clock.advance(0.05)

    def test_part_of_the_records_confirms_nothing(self):
        """The newest version may be among those that are left to read."""
        self.is_reader = True
        self.run_until(0.5)
        self.has_more = True
        self.run_until(2.0)
        confirmed = self.confirmed
        self.run_until(6.0)
        self.assertEqual(self.confirmed, confirmed)
        self.has_more = False
        self.run_until(9.0)
        self.assertGreater(self.confirmed, confirmed)

    def test_copy_of_another_node_saves_the_read(self):
        """195 nodes that lost power read the records 195 times."""
        self.run_until(0.4)
        self.state.state.offset = 7
        self.run_until(5.0)
        self.assertEqual(self.calls, 0)

    def test_node_without_readers_reads_for_itself(self):
        """The readers of its domain have reported that the store refuses them."""
        self.run_until(2.0)
        self.assertEqual(self.calls, 0)
        self.is_reader = True
        self.run_until(2.3)
        self.assertGreater(self.calls, 0)

    def test_refused_reader_says_so_from_the_start(self):
        """The others counted on it for as long as the store refused it."""
        self.is_reader = True
        self.is_down = True
        self.run_until(1.0)
        self.assertEqual(self.readable, [False])
        self.is_down = False
        self.run_until(3.0)
        self.assertEqual(self.readable, [False, True])

    def test_log_tells_a_restored_store_from_expired_records(self):
        """Both were logged as the path of the read that was refused."""
        self.is_reader = True
        self.state.state.era = 3
        for era in (3, 4):
            self.run_until(self.clock.seconds() + 2.0)
            self.gone_in_era = era
            self.run_until(self.clock.seconds() + 2.0)
            self.gone_in_era = None
        self.assertEqual(
            self.lost_reasons(), ['history_gone', 'store_restored']
        )
        self.assertEqual(self.readable, [])
