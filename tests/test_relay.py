"""Relay of the configuration between nodes."""

import unittest
from random import Random

from bench.configuration_schedules import (
    KEY,
    SMALL,
    WITHDRAWAL,
    Trial,
    change_record,
    first_record,
)
from bench.relay_fleet import Fleet
from rattanstile.process.configuration.relay import Relay
from rattanstile.process.configuration.relay_messages import (
    AppendSnapshot,
    FreshnessQuery,
    FreshnessReply,
    LogRead,
    LogReadFailed,
    LogReadTooOld,
    MembersChanged,
    ReadLog,
    RelayMember,
    RelayReceived,
    RelayTicked,
    SendControl,
    VersionAccepted,
)
from rattanstile.process.configuration.relay_tree import MAX_DEPTH, RelayTree
from rattanstile.process.configuration.snapshot_timer import SNAPSHOT_PERIOD_S
from rattanstile.version.declaration import Declaration
from rattanstile.version.fold import Fold


def fleet_with_a_version(seed=1):
    fleet = Fleet(SMALL, Random(seed))
    fleet.log.append(first_record())
    fleet.run(3)
    return fleet


def versions(fleet):
    return {node.relay.fold.version for node in fleet.nodes.values()}


def open_nodes(fleet):
    return {
        name
        for name, node in fleet.nodes.items()
        if node.relay.freshness.admits(fleet.now_s)
    }


class RelayTreeTest(unittest.TestCase):
    """Each member works out the same bounded tree."""

    def test_parents_lie_above_and_no_node_has_too_many_children(self):
        names = [f'node{place}' for place in range(778)]
        trees = {name: RelayTree(name, names) for name in names}
        parents = {
            name: tree.sources()[0]
            for name, tree in trees.items()
            if not tree.reads_log
        }
        children = {}
        for parent in parents.values():
            children[parent] = children.get(parent, 0) + 1
        self.assertLessEqual(max(children.values()), trees[names[0]].fan_out)
        for name in names:
            depth = 0
            while name in parents:
                name = parents[name]
                depth += 1
            self.assertLessEqual(depth, MAX_DEPTH)

    def test_a_lone_node_reads_the_log(self):
        self.assertTrue(RelayTree('one', ()).reads_log)


class RelayTest(unittest.TestCase):
    """Every node learns each version, and closes when it can't."""

    def test_change_reaches_every_node(self):
        fleet = fleet_with_a_version()
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(4)
        self.assertEqual(versions(fleet), {2})
        self.assertEqual(open_nodes(fleet), set(fleet.nodes))

    def test_lost_pushes_are_repaired(self):
        fleet = fleet_with_a_version()
        fleet.loss = 0.4
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(7)
        self.assertEqual(versions(fleet), {2})

    def test_node_cut_off_from_everybody_closes_within_seconds(self):
        fleet = fleet_with_a_version()
        for far in ('a', 'b', 'c', 'log'):
            fleet.cut('a1', far)
        fleet.run(7)
        self.assertEqual(open_nodes(fleet), set(fleet.nodes) - {'a1'})

    def test_nodes_go_on_while_only_the_log_is_out(self):
        fleet = fleet_with_a_version()
        fleet.log.down = True
        fleet.run(60)
        self.assertEqual(open_nodes(fleet), set(fleet.nodes))

    def test_nodes_close_when_the_log_and_a_domain_cannot_be_heard(self):
        fleet = fleet_with_a_version()
        for far in ('a', 'b', 'log'):
            fleet.cut('c', far)
        fleet.log.down = True
        fleet.run(10)
        self.assertEqual(open_nodes(fleet), set())

    def test_domain_cut_from_the_log_alone_hears_the_others(self):
        fleet = fleet_with_a_version()
        fleet.cut('b', 'log')
        fleet.run(10)
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(14)
        self.assertEqual(versions(fleet), {2})
        self.assertEqual(open_nodes(fleet), set(fleet.nodes))

    def test_started_node_takes_the_version_from_peers_in_an_outage(self):
        fleet = fleet_with_a_version()
        fleet.log.down = True
        fleet.run(6)
        fleet.restart('a1')
        self.assertFalse(fleet.nodes['a1'].relay.fold.verified)
        fleet.run(10)
        self.assertEqual(versions(fleet), {1})
        self.assertIn('a1', open_nodes(fleet))

    def test_paused_node_is_closed_when_it_goes_on(self):
        fleet = fleet_with_a_version()
        fleet.pause('a0')
        fleet.run(20)
        fleet.resume('a0')
        self.assertNotIn('a0', open_nodes(fleet))

    def test_domain_that_reads_an_old_replica_learns_from_the_others(self):
        fleet = fleet_with_a_version()
        for name in ('a0', 'a1', 'a2'):
            fleet.log.lag_records[name] = 3
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(7)
        self.assertEqual(versions(fleet), {2})

    def test_old_replica_is_found_out_also_when_no_other_domain_is_heard(self):
        fleet = fleet_with_a_version()
        near = ('a0', 'a1', 'a2')
        for name in near:
            fleet.log.stopped_at[name] = 1
        fleet.cut('a', 'b')
        fleet.cut('a', 'c')
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(7)
        self.assertFalse(open_nodes(fleet) & set(near))
        self.assertEqual(open_nodes(fleet), set(fleet.nodes) - set(near))

    def restarted_after_retention(self, with_snapshot):
        fleet = fleet_with_a_version()
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(4)
        if with_snapshot:
            fold = fleet.nodes['a0'].relay.fold
            fleet.log.append(fold.snapshot('snap'))
        fleet.log.oldest = 2
        for name in fleet.nodes:
            fleet.restart(name)
        fleet.run(8)
        return fleet

    def test_all_nodes_started_anew_take_the_snapshot_of_the_log(self):
        fleet = self.restarted_after_retention(with_snapshot=True)
        self.assertEqual(versions(fleet), {2})
        self.assertEqual(open_nodes(fleet), set(fleet.nodes))

    def test_all_nodes_started_anew_without_a_snapshot_refuse(self):
        fleet = self.restarted_after_retention(with_snapshot=False)
        verified = [node.relay.fold.verified for node in fleet.nodes.values()]
        self.assertFalse(any(verified))

    def test_random_schedules_keep_the_version_and_the_key(self):
        for seed in range(12):
            seen = Trial(seed, Relay).run()
            self.assertEqual(
                (seen.fell, seen.late, seen.admitted_late), (0, 0, 0), seed
            )


class RelayMessagesTest(unittest.TestCase):
    """What one machine answers."""

    def relay(self, nodes=('one',)):
        relay = Relay(RelayMember('one', 'a'), Random(1))
        members = tuple(RelayMember(name, 'a') for name in nodes)
        relay.step(0.0, MembersChanged(members))
        return relay

    def read(self, relay, now_s=0.0):
        outputs = relay.step(now_s, RelayTicked())
        return next(one for one in outputs if isinstance(one, ReadLog))

    def test_nothing_is_in_force_before_the_log_is_read(self):
        relay = self.relay()
        self.assertFalse(relay.fold.verified)
        self.assertFalse(relay.freshness.admits(0.0))

    def test_version_of_the_log_is_told_once(self):
        relay = self.relay()
        wanted = self.read(relay)
        read = LogRead(wanted.read_id, 0, (first_record(),), 0, 1)
        told = [
            one
            for one in relay.step(0.1, read)
            if isinstance(one, VersionAccepted)
        ]
        self.assertEqual([one.version for one in told], [1])
        self.assertIn(KEY.digest, told[0].declaration.organisations[0].keys)

    def test_reply_that_answers_no_query_is_ignored(self):
        relay = self.relay(('one', 'two', 'three'))
        reply = self.reply(99)
        relay.step(1.0, RelayReceived('two', reply))
        self.assertFalse(relay.fold.verified)

    def test_reply_is_dated_by_the_sending_of_its_query(self):
        members = [RelayMember(f'b{place}', 'b') for place in range(30)]
        own = next(one for one in members if not self.reads(one, members))
        relay = Relay(own, Random(1))
        relay.step(0.0, MembersChanged(tuple(members)))
        asked = next(
            one
            for one in relay.step(0.0, RelayTicked())
            if isinstance(one, SendControl)
        )
        reply = self.reply(asked.message.sequence)
        relay.step(10.0, RelayReceived(asked.receiver, reply))
        self.assertEqual(relay.fold.version, 1)
        self.assertFalse(relay.freshness.admits(10.0))

    def test_one_reader_alone_does_not_speak_for_its_domain(self):
        members = (
            RelayMember('one', 'a'),
            RelayMember('two', 'a'),
            RelayMember('far', 'b'),
        )
        relay = Relay(members[0], Random(1))
        relay.step(0.0, MembersChanged(members))
        wanted = self.read(relay)
        relay.step(0.1, LogReadFailed(wanted.read_id))
        self.assertEqual(self.told_outage_ms(relay, 1.0), -1)
        asked = next(
            one
            for one in relay.step(1.5, RelayTicked())
            if isinstance(one, SendControl) and one.receiver == 'two'
        )
        reply = self.reply(asked.message.sequence, own_outage_ms=100)
        relay.step(1.5, RelayReceived('two', reply))
        self.assertEqual(self.told_outage_ms(relay, 2.0), 2000)

    def reads(self, own, members):
        return RelayTree(
            own.node_id, [one.node_id for one in members]
        ).reads_log

    def reply(self, sequence, **fields):
        fold = Fold()
        fold.see_start()
        fold.offer(0, first_record())
        ages = {
            'log_age_ms': 0,
            'domain_read_ms': 0,
            'own_outage_ms': -1,
            'domain_outage_ms': -1,
            'fleet_outage_ms': -1,
        }
        ages.update(fields)
        return FreshnessReply(
            sequence=sequence,
            version=1,
            log_end=1,
            snapshot=fold.snapshot('snap'),
            **ages,
        )

    def told_outage_ms(self, relay, now_s):
        relay.step(now_s, RelayTicked())
        query = FreshnessQuery(sequence=1, version=-1)
        answers = relay.step(now_s, RelayReceived('far', query))
        return answers[0].message.domain_outage_ms

    def test_asker_without_a_version_gets_a_snapshot(self):
        relay = self.relay()
        wanted = self.read(relay)
        relay.step(0.1, LogRead(wanted.read_id, 0, (first_record(),), 0, 1))
        query = FreshnessQuery(sequence=1, version=-1)
        answers = relay.step(0.2, RelayReceived('two', query))
        reply = next(one for one in answers if isinstance(one, SendControl))
        self.assertEqual(reply.message.snapshot.version, 1)
        self.assertEqual(reply.message.log_age_ms, 200)

    def test_reader_overrun_by_retention_goes_on_from_the_oldest(self):
        relay = self.relay()
        wanted = self.read(relay)
        relay.step(0.1, LogReadTooOld(wanted.read_id, 40, 50))
        self.assertEqual(self.read(relay, 0.2).from_offset, 40)
        self.assertFalse(relay.fold.verified)

    def test_snapshot_is_appended_before_retention_ends(self):
        relay = self.relay()
        wanted = self.read(relay)
        relay.step(0.1, LogRead(wanted.read_id, 0, (first_record(),), 0, 1))
        outputs = relay.step(2 * SNAPSHOT_PERIOD_S, RelayTicked())
        snapshots = [
            one.snapshot for one in outputs if isinstance(one, AppendSnapshot)
        ]
        self.assertEqual([one.version for one in snapshots], [1])
        self.assertNotEqual(snapshots[0].declaration, Declaration())
