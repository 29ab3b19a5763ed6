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


def fleet_with_first_version(seed=1):
    fleet = Fleet(SMALL, Random(seed))
    fleet.log.append(first_record())
    fleet.run(3)
    return fleet


def versions(fleet):
    return {node.relay.fold.version for node in fleet.nodes.values()}


def admitting_nodes(fleet):
    return {
        name
        for name, node in fleet.nodes.items()
        if node.relay.freshness.admits(fleet.now_s)
    }


class RelayTreeTest(unittest.TestCase):
    """Each member computes the same bounded tree."""

    def test_depth_and_fan_out_are_bounded(self):
        names = [f'node{index}' for index in range(778)]
        trees = {name: RelayTree(name, names) for name in names}
        parents = {
            name: tree.parent_candidates()[0]
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

    def test_single_node_reads_the_log(self):
        self.assertTrue(RelayTree('one', ()).reads_log)


class RelayTest(unittest.TestCase):
    """Nodes learn each version, or refuse keyed calls if they cannot."""

    def test_change_reaches_every_node(self):
        fleet = fleet_with_first_version()
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(4)
        self.assertEqual(versions(fleet), {2})
        self.assertEqual(admitting_nodes(fleet), set(fleet.nodes))

    def test_lost_pushes_are_repaired(self):
        fleet = fleet_with_first_version()
        fleet.loss = 0.4
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(7)
        self.assertEqual(versions(fleet), {2})

    def test_isolated_node_refuses_keyed_calls_within_seconds(self):
        fleet = fleet_with_first_version()
        for other in ('a', 'b', 'c', 'log'):
            fleet.cut('a1', other)
        fleet.run(7)
        self.assertEqual(admitting_nodes(fleet), set(fleet.nodes) - {'a1'})

    def test_nodes_admit_keyed_calls_while_only_the_log_is_down(self):
        fleet = fleet_with_first_version()
        fleet.log.down = True
        fleet.run(60)
        self.assertEqual(admitting_nodes(fleet), set(fleet.nodes))

    def test_nodes_refuse_keyed_calls_if_log_and_a_domain_are_cut_off(self):
        fleet = fleet_with_first_version()
        for other in ('a', 'b', 'log'):
            fleet.cut('c', other)
        fleet.log.down = True
        fleet.run(10)
        self.assertEqual(admitting_nodes(fleet), set())

    def test_domain_cut_off_from_the_log_learns_from_other_domains(self):
        fleet = fleet_with_first_version()
        fleet.cut('b', 'log')
        fleet.run(10)
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(14)
        self.assertEqual(versions(fleet), {2})
        self.assertEqual(admitting_nodes(fleet), set(fleet.nodes))

    def test_restarted_node_gets_the_version_from_peers_in_a_log_outage(self):
        fleet = fleet_with_first_version()
        fleet.log.down = True
        fleet.run(6)
        fleet.restart('a1')
        self.assertFalse(fleet.nodes['a1'].relay.fold.verified)
        fleet.run(10)
        self.assertEqual(versions(fleet), {1})
        self.assertIn('a1', admitting_nodes(fleet))

    def test_resumed_node_refuses_keyed_calls(self):
        fleet = fleet_with_first_version()
        fleet.pause('a0')
        fleet.run(20)
        fleet.resume('a0')
        self.assertNotIn('a0', admitting_nodes(fleet))

    def test_domain_that_reads_a_lagging_replica_learns_from_others(self):
        fleet = fleet_with_first_version()
        for name in ('a0', 'a1', 'a2'):
            fleet.log.lag_records[name] = 3
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(7)
        self.assertEqual(versions(fleet), {2})

    def test_stalled_replica_is_detected_without_other_domains(self):
        fleet = fleet_with_first_version()
        domain_nodes = ('a0', 'a1', 'a2')
        for name in domain_nodes:
            fleet.log.stopped_at[name] = 1
        fleet.cut('a', 'b')
        fleet.cut('a', 'c')
        fleet.log.append(change_record('two', 1, WITHDRAWAL))
        fleet.run(7)
        self.assertFalse(admitting_nodes(fleet) & set(domain_nodes))
        self.assertEqual(
            admitting_nodes(fleet), set(fleet.nodes) - set(domain_nodes)
        )

    def restart_after_retention(self, with_snapshot):
        fleet = fleet_with_first_version()
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

    def test_restarted_fleet_loads_the_snapshot_from_the_log(self):
        fleet = self.restart_after_retention(with_snapshot=True)
        self.assertEqual(versions(fleet), {2})
        self.assertEqual(admitting_nodes(fleet), set(fleet.nodes))

    def test_restarted_fleet_without_a_snapshot_stays_unverified(self):
        fleet = self.restart_after_retention(with_snapshot=False)
        verified = [node.relay.fold.verified for node in fleet.nodes.values()]
        self.assertFalse(any(verified))

    def test_random_schedules_keep_versions_and_time_bounds(self):
        for seed in range(12):
            findings = Trial(seed, Relay).run()
            self.assertEqual(
                (findings.fell, findings.late, findings.admitted_late),
                (0, 0, 0),
                seed,
            )


class RelayMessagesTest(unittest.TestCase):
    """Messages and outputs of a single relay."""

    def relay(self, nodes=('one',)):
        relay = Relay(RelayMember('one', 'a'), Random(1))
        members = tuple(RelayMember(name, 'a') for name in nodes)
        relay.step(0.0, MembersChanged(members))
        return relay

    def read(self, relay, now_s=0.0):
        outputs = relay.step(now_s, RelayTicked())
        return next(output for output in outputs if isinstance(output, ReadLog))

    def test_no_version_is_verified_before_the_log_is_read(self):
        relay = self.relay()
        self.assertFalse(relay.fold.verified)
        self.assertFalse(relay.freshness.admits(0.0))

    def test_version_read_from_the_log_is_reported_once(self):
        relay = self.relay()
        read_request = self.read(relay)
        read = LogRead(read_request.read_id, 0, (first_record(),), 0, 1)
        accepted = [
            output
            for output in relay.step(0.1, read)
            if isinstance(output, VersionAccepted)
        ]
        self.assertEqual([output.version for output in accepted], [1])
        self.assertIn(KEY.digest, accepted[0].declaration.organisations[0].keys)

    def test_reply_without_a_pending_query_is_ignored(self):
        relay = self.relay(('one', 'two', 'three'))
        reply = self.reply(99)
        relay.step(1.0, RelayReceived('two', reply))
        self.assertFalse(relay.fold.verified)

    def test_reply_counts_as_of_the_time_its_query_was_sent(self):
        members = [RelayMember(f'b{index}', 'b') for index in range(30)]
        own_member = next(
            member for member in members if not self.is_reader(member, members)
        )
        relay = Relay(own_member, Random(1))
        relay.step(0.0, MembersChanged(tuple(members)))
        query_output = next(
            output
            for output in relay.step(0.0, RelayTicked())
            if isinstance(output, SendControl)
        )
        reply = self.reply(query_output.message.sequence)
        relay.step(10.0, RelayReceived(query_output.receiver, reply))
        self.assertEqual(relay.fold.version, 1)
        self.assertFalse(relay.freshness.admits(10.0))

    def test_single_reader_cannot_report_a_domain_outage(self):
        members = (
            RelayMember('one', 'a'),
            RelayMember('two', 'a'),
            RelayMember('far', 'b'),
        )
        relay = Relay(members[0], Random(1))
        relay.step(0.0, MembersChanged(members))
        read_request = self.read(relay)
        relay.step(0.1, LogReadFailed(read_request.read_id))
        self.assertEqual(self.reported_outage_ms(relay, 1.0), -1)
        query_output = next(
            output
            for output in relay.step(1.5, RelayTicked())
            if isinstance(output, SendControl) and output.receiver == 'two'
        )
        reply = self.reply(query_output.message.sequence, own_outage_ms=100)
        relay.step(1.5, RelayReceived('two', reply))
        self.assertEqual(self.reported_outage_ms(relay, 2.0), 2000)

    def is_reader(self, own_member, members):
        return RelayTree(
            own_member.node_id, [member.node_id for member in members]
        ).reads_log

    def reply(self, sequence, **fields):
        fold = Fold()
        fold.observe_log_start()
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

    def reported_outage_ms(self, relay, now_s):
        relay.step(now_s, RelayTicked())
        query = FreshnessQuery(sequence=1, version=-1)
        outputs = relay.step(now_s, RelayReceived('far', query))
        return outputs[0].message.domain_outage_ms

    def test_query_without_a_version_gets_a_snapshot(self):
        relay = self.relay()
        read_request = self.read(relay)
        relay.step(
            0.1, LogRead(read_request.read_id, 0, (first_record(),), 0, 1)
        )
        query = FreshnessQuery(sequence=1, version=-1)
        outputs = relay.step(0.2, RelayReceived('two', query))
        reply = next(
            output for output in outputs if isinstance(output, SendControl)
        )
        self.assertEqual(reply.message.snapshot.version, 1)
        self.assertEqual(reply.message.log_age_ms, 200)

    def test_read_past_retention_continues_at_the_oldest_record(self):
        relay = self.relay()
        read_request = self.read(relay)
        relay.step(0.1, LogReadTooOld(read_request.read_id, 40, 50))
        self.assertEqual(self.read(relay, 0.2).from_offset, 40)
        self.assertFalse(relay.fold.verified)

    def test_snapshot_is_appended_before_retention_ends(self):
        relay = self.relay()
        read_request = self.read(relay)
        relay.step(
            0.1, LogRead(read_request.read_id, 0, (first_record(),), 0, 1)
        )
        outputs = relay.step(2 * SNAPSHOT_PERIOD_S, RelayTicked())
        snapshots = [
            output.snapshot
            for output in outputs
            if isinstance(output, AppendSnapshot)
        ]
        self.assertEqual([snapshot.version for snapshot in snapshots], [1])
        self.assertNotEqual(snapshots[0].declaration, Declaration())
