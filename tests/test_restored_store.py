"""Decisions after the store was restored from an older copy."""

import base64
import json
import unittest
from collections import Counter
from random import Random
from types import SimpleNamespace

from mesh_samples import RecordingLog, config
from result import Err, Ok
from test_config_spread import Fleet, Node
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.peer_messages import ConfigNotice, PeerMember
from rattanstile.platform.store import PlatformStore
from rattanstile.process.mesh.fleet.fleet_join import FleetJoin, JoinHandlers
from rattanstile.process.mesh.placement.evacuations import (
    KEEP_EVACUATED_S,
    KEEP_WITHDRAWN_S,
    Evacuations,
)
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    FleetMembers,
    HistoryGoneError,
    OperatorRecord,
    OperatorRecords,
    StoreUnavailableError,
)
from rattanstile.process.mesh.store.operator_state import (
    OperatorState,
    StateCopy,
)
from rattanstile.process.mesh.store.store_follower import StoreFollower
from rattanstile.process.mesh.store.store_retry import StoreRetry
from rattanstile.version.fleet_config import LogPosition

MAX_EVACUATION_S = 5.0
"""Time within which an evacuation, or its end, is in force."""
WEST_EVACUATED = DomainEvacuated('west', is_evacuated=True)
WEST_WITHDRAWN = DomainEvacuated('west', is_evacuated=False)
IN_FORCE_S = 4.0


def decode(document):
    if document == b'bad':
        return Err(ConfigUnreadableError('no configuration'))
    return Ok(config(number=int(document)))


def published(version):
    return ConfigPublished(str(version).encode())


def records(era, end, *changes):
    return OperatorRecords(
        tuple(OperatorRecord(offset, change) for offset, change in changes),
        end,
        era,
    )


class OperatorStateTest(unittest.TestCase):
    """A node that has read six records in era 1; the last was version 11."""

    def setUp(self):
        self.clock = Clock()
        self.log = RecordingLog()
        self.operator_state = OperatorState(
            decode, lambda before: None, self.log, self.clock.seconds
        )
        self.operator_state.apply_snapshot(
            records(1, 6, (5, published(11))), 'store'
        )

    @property
    def version(self):
        return self.operator_state.state.version

    @property
    def evacuated(self):
        return self.operator_state.state.evacuated

    def apply_snapshot(self, *args):
        return self.operator_state.apply_snapshot(records(*args), 'store')

    def apply_records(self, *args):
        return self.operator_state.apply_records(records(*args), 'store')

    def pass_time(self, seconds):
        self.clock.advance(seconds)
        self.operator_state.check(self.clock.seconds())

    def test_version_in_a_shorter_log_is_in_force(self):
        """Records that end below the known offset were ignored."""
        self.apply_snapshot(2, 3, (2, published(13)))
        self.assertEqual(self.version, 13)
        self.apply_records(2, 4, (3, published(14)))
        self.assertEqual(self.version, 14)

    def test_older_version_of_the_copy_is_not_in_force(self):
        """A confirmed change came back older."""
        self.apply_snapshot(2, 3, (2, published(9)))
        self.assertEqual(self.version, 11)
        self.apply_records(2, 4, (3, published(10)))
        self.assertEqual(self.version, 11)

    def test_unreadable_record_of_the_copy_is_not_in_force(self):
        """The last one stays, and what is published later comes in force."""
        self.apply_snapshot(2, 3, (2, ConfigPublished(b'bad')))
        self.assertEqual(self.version, 11)
        self.apply_records(2, 4, (3, published(12)))
        self.assertEqual(self.version, 12)

    def test_records_at_an_offset_assigned_again_are_not_applied(self):
        """Those before them in the new log would be skipped."""
        self.assertFalse(self.apply_records(2, 7, (6, published(12))))
        self.assertEqual(self.operator_state.state.position, LogPosition(1, 6))
        self.assertIn('snapshot_ignored', self.log.events())

    def test_late_answer_of_the_lost_log_is_not_applied(self):
        """It was on its way while the store was restored."""
        self.apply_snapshot(2, 3)
        self.assertFalse(self.apply_snapshot(1, 9, (8, published(12))))
        self.assertFalse(self.apply_records(1, 9, (8, published(12))))
        self.assertEqual(self.operator_state.state.position, LogPosition(2, 3))

    def test_records_already_applied_change_nothing(self):
        """Two reads of the same records, the first one answered last."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_records(1, 8, (7, WEST_WITHDRAWN))
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.assertEqual(self.evacuated, frozenset())

    def test_evacuation_that_the_copy_lacks_stays(self):
        """Until its record is written again and then withdrawn."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_snapshot(2, 3, (2, published(9)))
        self.assertEqual(self.evacuated, {'west'})
        self.apply_records(2, 4, (3, WEST_EVACUATED))
        self.pass_time(KEEP_EVACUATED_S)
        self.assertEqual(self.evacuated, {'west'})
        self.apply_records(2, 5, (4, WEST_WITHDRAWN))
        self.assertEqual(self.evacuated, frozenset())

    def test_withdrawal_in_the_new_log_ends_a_kept_evacuation(self):
        """The record decides, not the end of the time."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_snapshot(2, 3)
        self.apply_records(2, 4, (3, WEST_WITHDRAWN))
        self.assertEqual(self.evacuated, frozenset())

    def test_kept_evacuation_ends(self):
        """The operators may never write it again."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_snapshot(2, 3)
        self.pass_time(KEEP_EVACUATED_S - 0.1)
        self.assertEqual(self.evacuated, {'west'})
        self.pass_time(0.1)
        self.assertEqual(self.evacuated, frozenset())

    def test_evacuation_that_was_withdrawn_is_not_taken_up_again(self):
        """The copy still has it; after a while the store's word counts."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_records(1, 8, (7, WEST_WITHDRAWN))
        self.apply_snapshot(2, 4, (3, WEST_EVACUATED))
        self.assertEqual(self.evacuated, frozenset())
        self.pass_time(KEEP_WITHDRAWN_S)
        self.assertEqual(self.evacuated, {'west'})

    def test_evacuation_beyond_the_known_offset_is_in_force_at_once(self):
        """It can't be one of which the withdrawal is known."""
        self.apply_snapshot(2, 8, (7, WEST_EVACUATED))
        self.assertEqual(self.evacuated, {'west'})

    def test_expired_records_withdraw_an_evacuation(self):
        """Without a restore, newest records without one withdraw it."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_snapshot(1, 9)
        self.assertEqual(self.evacuated, frozenset())

    def test_second_restore_keeps_what_the_first_kept(self):
        """Two copies, one after the other, each without the evacuation."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_snapshot(2, 3)
        self.apply_snapshot(3, 2)
        self.assertEqual(self.evacuated, {'west'})

    def test_second_restore_does_not_prolong_what_the_first_kept(self):
        """A withdrawal between them was held back for 23 s: domain unused."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        self.apply_snapshot(2, 3)
        self.pass_time(MAX_EVACUATION_S - 1)
        self.apply_snapshot(3, 2)
        self.pass_time(1)
        self.assertEqual(self.evacuated, frozenset())

    def test_peer_at_the_same_position_adds_what_it_keeps(self):
        """A node that started after the restore knows only the copy."""
        self.apply_snapshot(2, 3)
        kept = Evacuations(frozenset(), {'west': 5.0})
        copy = StateCopy(LogPosition(2, 3), b'13', kept)
        self.operator_state.apply_copy(copy, 'peer')
        self.assertEqual(self.evacuated, {'west'})
        self.assertEqual(self.version, 13)
        self.pass_time(5.0)
        self.assertEqual(self.evacuated, frozenset())
        self.operator_state.apply_copy(copy, 'peer')
        self.assertEqual(self.evacuated, frozenset())

    def test_peer_of_an_older_era_gives_only_its_newer_version(self):
        """It has not heard of the restore yet."""
        self.apply_snapshot(2, 3)
        copy = StateCopy(
            LogPosition(1, 9), b'13', Evacuations(frozenset({'west'}))
        )
        self.operator_state.apply_copy(copy, 'peer')
        self.assertEqual(self.version, 13)
        self.assertEqual(self.evacuated, frozenset())
        self.assertEqual(self.operator_state.state.position, LogPosition(2, 3))

    def test_what_a_peer_has_seen_decided_is_not_kept(self):
        """A node that was cut off hears of the restore late."""
        self.apply_records(1, 7, (6, WEST_EVACUATED))
        decided = Evacuations(settled=frozenset({'west'}))
        copy = StateCopy(LogPosition(2, 9), b'13', decided)
        self.operator_state.apply_copy(copy, 'peer')
        self.assertEqual(self.evacuated, frozenset())

    def test_first_read_of_a_node_takes_the_copy_s_word(self):
        """It has nothing to keep."""
        fresh = OperatorState(
            decode, lambda before: None, self.log, self.clock.seconds
        )
        fresh.apply_snapshot(records(2, 3, (1, WEST_EVACUATED)), 'store')
        self.assertEqual(fresh.state.evacuated, {'west'})
        self.assertEqual(fresh.state.kept, frozenset())


class RestorableFleet(Fleet):
    """A fleet whose store is restored.

    Attributes:
        era: Era of the store.
        notices: Number of notices sent from one node to another.
    """

    def __init__(self):
        self.era = 1
        self.notices = Counter()
        self.evacuations = {}
        super().__init__()

    def restore(self, end):
        self.era += 1
        del self.published[end:]
        self.evacuations = {
            domain: offset
            for domain, offset in self.evacuations.items()
            if offset < end
        }

    def evacuate(self, domain):
        self.evacuations[domain] = len(self.published)
        self.publish(self.published[-1])

    def restart(self, node_id):
        earlier = self.nodes[node_id]
        self.nodes[node_id] = Node(self, earlier.member, self.clock)
        self.nodes[node_id].plan = earlier.plan

    def deliver(self, source, target, message):
        if isinstance(message, ConfigNotice):
            self.notices[source, target] += 1
        super().deliver(source, target, message)

    def _read(self, node):
        end = len(self.published)
        if node.state.state.position < LogPosition(self.era, end):
            newest = [
                OperatorRecord(offset, DomainEvacuated(domain, True))
                for domain, offset in self.evacuations.items()
            ]
            if self.published:
                newest.append(
                    OperatorRecord(end - 1, published(self.published[-1]))
                )
            node.state.apply_snapshot(
                OperatorRecords(tuple(newest), end, self.era), 'store'
            )


class SpreadTest(unittest.TestCase):
    """Versions 1 to 4 were in force in 39 nodes; the copy has version 1."""

    def setUp(self):
        self.fleet = RestorableFleet()
        for version in range(1, 5):
            self.fleet.publish(version)
        self.fleet.run(5)
        self.assertEqual(self.fleet.behind(4), set())

    def readers(self):
        return [
            node_id
            for node_id, node in self.fleet.nodes.items()
            if node.relay.is_reader()
        ]

    def test_next_version_is_in_force_in_time(self):
        """At an offset that all nodes had read."""
        self.fleet.restore(1)
        self.fleet.run(1)
        self.fleet.publish(5)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.behind(5), set())

    def test_nodes_that_the_store_refuses_learn_of_the_era(self):
        """Their entries are lost as well, and they write them again."""
        self.fleet.refused = {
            node_id
            for node_id in self.fleet.nodes
            if node_id.startswith('east')
        }
        self.fleet.restore(1)
        self.fleet.run(IN_FORCE_S)
        eras = {node.state.state.era for node in self.fleet.nodes.values()}
        self.assertEqual(eras, {2})

    def test_restarted_readers_get_the_lost_version(self):
        """Only nodes that don't read know it; offsets are equal."""
        restarted = [*self.readers(), 'east-00', 'south-00', 'west-00']
        self.fleet.restore(1)
        for version in (1, 1, 1):
            self.fleet.publish(version)
        for node_id in restarted:
            self.fleet.restart(node_id)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.behind(4), set())

    def test_restarted_node_gets_the_lost_evacuation(self):
        """The position and the version are those of its peers."""
        self.fleet.evacuate('west')
        self.fleet.run(IN_FORCE_S)
        self.fleet.restore(4)
        self.fleet.run(2)
        for node_id in (*self.readers(), 'south-03'):
            self.fleet.restart(node_id)
        self.fleet.run(IN_FORCE_S)
        evacuated = {
            node_id
            for node_id, node in self.fleet.nodes.items()
            if node.state.state.evacuated == {'west'}
        }
        self.assertEqual(evacuated, set(self.fleet.nodes))

    def test_nodes_that_lack_different_things_don_t_flood_each_other(self):
        """Each notice that lacks something is answered, but not at once."""
        first, second = self.readers()[:2]
        self.fleet.restore(1)
        self.fleet.run(2)
        for node_id, domain in ((first, 'west'), (second, 'south')):
            state = self.fleet.nodes[node_id].state
            kept = Evacuations(frozenset(), {domain: 60.0})
            state.apply_copy(StateCopy(LogPosition(2, 1), b'4', kept), 'peer')
        self.fleet.notices.clear()
        self.fleet.nodes[first].relay.broadcast_notice()
        self.fleet.run(2)
        self.assertLess(self.fleet.notices[first, second], 12)
        self.assertEqual(
            self.fleet.nodes[first].state.state.evacuated, {'west', 'south'}
        )


class RestorableLog:
    """The operators' topic of a store.

    Attributes:
        reads: Offset and wait of each read; None for the newest records.
        is_away: Whether calls are refused; waiting reads end at once.
        breaks_reads: Whether a restore ends the reads that wait.
    """

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.log = [published(version) for version in (3, 7, 11)]
        self.reads = []
        self.is_away = False
        self.breaks_reads = True

    async def newest_records(self):
        self.reads.append(None)
        await deferLater(self.clock, 0.01)
        if self.is_away:
            return Err(StoreUnavailableError('away'))
        end = len(self.log)
        newest = {
            getattr(change, 'domain', 'config'): (offset, change)
            for offset, change in enumerate(self.log)
        }
        return Ok(records(self.era, end, *newest.values()))

    async def records_after(self, offset, wait_s):
        self.reads.append((offset, wait_s))
        era = self.era
        until_s = self.clock.seconds() + wait_s
        await deferLater(self.clock, 0.01)
        while True:
            is_broken = self.breaks_reads and era != self.era
            if self.is_away or is_broken:
                return Err(StoreUnavailableError('reset'))
            if offset > len(self.log):
                return Err(HistoryGoneError('past the end', self.era))
            found = list(enumerate(self.log))[offset:]
            if found or self.clock.seconds() >= until_s:
                return Ok(records(self.era, len(self.log), *found))
            await deferLater(self.clock, 0.05)


class FollowerTest(unittest.TestCase):
    """A reader of the store."""

    def setUp(self):
        self.clock = Clock()
        self.store = RestorableLog(self.clock)
        self.log = RecordingLog()
        self.operator_state = OperatorState(
            decode, lambda before: None, self.log, self.clock.seconds
        )
        self.is_reader = True
        role = SimpleNamespace(
            is_reader=lambda: self.is_reader,
            is_first_reader=lambda: False,
            set_store_readable=lambda can_read: None,
            read_begins=lambda wait_s: None,
            read_applied=lambda **_: None,
        )
        follower = StoreFollower(
            self.store,
            StoreRetry(self.clock, Random(1)),
            self.operator_state,
            role,
            None,
            self.log,
        )
        self.following = Deferred.fromCoroutine(follower._follow())
        self.run_for(3)
        self.assertEqual(self.operator_state.state.version, 11)

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def restore(self, end, *appended):
        self.store.is_away = True
        self.run_for(2)
        self.store.era += 1
        del self.store.log[end:]
        self.store.log.extend(published(version) for version in appended)
        self.store.is_away = False
        self.store.reads.clear()

    def test_version_of_a_shorter_log(self):
        """A read from the known offset is refused as gone."""
        self.restore(1, 13)
        self.run_for(2)
        self.assertEqual(self.operator_state.state.version, 13)

    def test_version_of_a_log_that_ends_at_the_known_offset(self):
        """A read that waits there would have waited for 25 s."""
        self.restore(2, 13)
        self.run_for(2)
        self.assertEqual(self.operator_state.state.version, 13)

    def test_node_that_becomes_a_reader_again(self):
        """The store was restored while others read; their word was lost."""
        self.is_reader = False
        self.store.log.append(published(12))
        self.run_for(1)
        self.restore(3, 13)
        self.is_reader = True
        self.run_for(2)
        self.assertEqual(self.operator_state.state.version, 13)

    def test_version_before_the_known_offset_of_a_longer_log(self):
        """Read on, only the record behind it would have been seen."""
        self.restore(1, 13, 12, 12)
        self.store.log[3] = ConfigPublished(b'bad')
        self.store.newest_records = self.newest_of_longer_log
        self.run_for(2)
        self.assertEqual(self.operator_state.state.version, 13)

    async def newest_of_longer_log(self):
        return Ok(records(2, 4, (1, published(13))))

    def test_late_answer_from_an_offset_of_the_lost_log(self):
        """A peer has told of the new log; records in between were skipped."""
        self.store.breaks_reads = False
        self.store.era = 2
        self.store.log = [
            published(3),
            WEST_EVACUATED,
            published(12),
            published(13),
        ]
        copy = StateCopy(LogPosition(2, 1), b'11', Evacuations())
        self.operator_state.apply_copy(copy, 'peer')
        self.run_for(2)
        self.assertEqual(self.operator_state.state.version, 13)
        self.assertEqual(self.operator_state.state.evacuated, {'west'})

    def test_newest_records_are_read_soon_after_an_outage(self):
        """The delay of the last failed read, a second, came before them."""
        self.restore(1, 13)
        answered_s = None
        for _ in range(60):
            if self.operator_state.state.version == 13:
                break
            self.run_for(0.05)
            if answered_s is None and self.store.reads:
                answered_s = self.clock.seconds()
        self.assertLess(self.clock.seconds() - answered_s, 0.3)

    def test_store_that_goes_back_without_an_era_is_read_rarely(self):
        """Refused and ignored in turn, up to ten times a second."""
        self.store.is_away = True
        self.run_for(1)
        del self.store.log[1:]
        self.store.is_away = False
        self.run_for(5)
        self.store.reads.clear()
        self.run_for(10)
        self.assertLessEqual(len(self.store.reads), 20)

    def test_reads_after_a_restore_are_few(self):
        """308 calls of 14 nodes until the end of the day."""
        self.restore(1)
        self.run_for(10)
        self.assertLessEqual(len(self.store.reads), 3)

    def test_log_names_the_restore(self):
        """With both eras and offsets."""
        self.restore(1)
        self.run_for(2)
        restored = [
            fields
            for event, fields in self.log.lines
            if event == 'store_restored'
        ]
        self.assertEqual(len(restored), 1)
        self.assertEqual(restored[0]['era_before'], 1)
        self.assertEqual(restored[0]['era'], 2)
        self.assertEqual(restored[0]['offset_before'], 3)
        self.assertEqual(restored[0]['offset'], 1)


class MemberStore:
    """The members' topic of a store; answers after a short time."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.by_id = {}
        self.announced_s = []

    async def members(self):
        return Ok(FleetMembers(dict(self.by_id), 0, self.era))

    async def announce(self, member):
        self.announced_s.append(self.clock.seconds())
        self.by_id[member.node_id] = member
        era = self.era
        await deferLater(self.clock, 0.1)
        return Ok(era)


class RejoinTest(unittest.TestCase):
    """Nodes that have stored their entries in era 1."""

    def setUp(self):
        self.clock = Clock()
        self.store = MemberStore(self.clock)
        self.found = []
        self.entries = {}
        self.nodes = [self.node(f'n{number}') for number in range(20)]
        self.run_for(2)
        self.store.announced_s.clear()

    def node(self, node_id):
        self.entries[node_id] = PeerMember(
            node_id, f'{node_id}:1', 'registry', 'east'
        )
        joining = FleetJoin(
            self.store,
            StoreRetry(self.clock, Random(node_id)),
            JoinHandlers(
                lambda: self.entries[node_id],
                self.found.append,
                lambda departure: None,
            ),
            RecordingLog(),
            is_new_fleet=False,
        )
        Deferred.fromCoroutine(joining.join())
        return joining

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.05)):
            self.clock.advance(0.05)

    def restore(self):
        self.store.era += 1
        self.store.by_id.clear()
        for node in self.nodes:
            node.era_seen(self.store.era)

    def test_entries_are_stored_again_spread_over_time(self):
        """Each once, and not all at once."""
        self.restore()
        began_s = self.clock.seconds()
        self.run_for(3)
        self.assertEqual(len(self.store.by_id), 20)
        delays_s = [at_s - began_s for at_s in self.store.announced_s]
        self.assertEqual(len(delays_s), 20)
        self.assertLess(max(delays_s), 1.2)
        self.assertGreater(max(delays_s) - min(delays_s), 0.5)

    def test_departure_is_stored_again(self):
        """A later run of the node believes it."""
        self.entries['n0'] = PeerMember(
            'n0', 'n0:1', 'registry', 'east', 'i-1', 10
        )
        self.restore()
        self.run_for(3)
        self.assertEqual(self.store.by_id['n0'].left, 'i-1')

    def test_members_that_were_lost_are_read_again(self):
        """A node that joined meanwhile found only the copy's members."""
        self.found.clear()
        self.restore()
        self.run_for(3)
        self.assertEqual(len(self.found), 20)

    def test_acknowledgement_of_the_lost_log_does_not_count(self):
        """The answer was on its way while the store was restored."""
        node = self.nodes[3]
        Deferred.fromCoroutine(node.persist_member())
        self.restore()
        self.run_for(3)
        self.assertIn('n3', self.store.by_id)

    def test_late_acknowledgement_after_the_entry_is_stored_again(self):
        """It was taken for the last one, and the entry stored once more."""
        self.restore()
        self.run_for(3)
        self.store.announced_s.clear()
        self.store.era = 1
        Deferred.fromCoroutine(self.nodes[3].persist_member())
        self.run_for(0.5)
        self.store.era = 2
        self.nodes[3].era_seen(2)
        self.run_for(3)
        self.assertEqual(len(self.store.announced_s), 1)

    def test_same_era_stores_nothing(self):
        """Each change of the configuration reports the era."""
        for node in self.nodes:
            node.era_seen(1)
        self.run_for(3)
        self.assertEqual(self.store.announced_s, [])


class EraTest(unittest.TestCase):
    """The era in the answers of the platform's store."""

    def read(self, *responses):
        waiting = list(responses)

        def send(request, timeout_s):
            answered = Deferred()
            answered.callback(waiting.pop(0))
            return answered

        store = PlatformStore(SimpleNamespace(send=send))
        outcomes = []
        Deferred.fromCoroutine(store.newest_records()).addCallback(
            outcomes.append
        )
        return outcomes[0]

    def page(self, era, key, *, has_more=False):
        item = {
            'key': key,
            'value': base64.b64encode(b'{}').decode(),
            'offset': 0,
        }
        body = {'items': [item], 'end': 5, 'hasMore': has_more}
        headers = () if era is None else ((b'store-era', era),)
        return HttpResponse(200, b'OK', headers, json.dumps(body).encode())

    def test_era_of_the_answer(self):
        """Zero for a store that names none."""
        self.assertEqual(self.read(self.page(b'7', 'config')).ok_value.era, 7)
        self.assertEqual(self.read(self.page(None, 'config')).ok_value.era, 0)

    def test_invalid_era_is_an_unavailable_store(self):
        """It can't be compared."""
        for era in (b'', b'x', b'-1', b'9' * 5000):
            error = self.read(self.page(era, 'config')).err_value
            self.assertIsInstance(error, StoreUnavailableError)

    def test_pages_of_two_eras_are_not_joined(self):
        """The store was restored between them."""
        outcome = self.read(
            self.page(b'1', 'config', has_more=True), self.page(b'2', 'other')
        )
        self.assertIsInstance(outcome.err_value, StoreUnavailableError)

    def test_gone_records_name_the_era(self):
        """A read past the end of a restored log."""
        gone = HttpResponse(410, b'Gone', ((b'store-era', b'3'),), b'')
        self.assertEqual(self.read(gone).err_value.era, 3)
