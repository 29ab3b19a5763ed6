"""Tests of membership: precedence of updates, joins, leaves, suspicion."""

import unittest
from random import Random

from bench.membership_world import MemberFleet, member_of
from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.membership.members import MemberTable
from rattanstile.process.membership.membership import Membership
from rattanstile.process.membership.membership_messages import (
    Ack,
    LeaveBegan,
    MemberLost,
    MembersChanged,
    MemberState,
    Ping,
    Update,
)
from rattanstile.process.messages import Ticked
from rattanstile.request.ids import NodeId
from rattanstile.version.records import JoinRecord, LeaveRecord

ME, OTHER = member_of(0, 1, 1), member_of(1, 1, 1)


def update(member=OTHER, state=MemberState.ALIVE, refutation=0):
    """Return an update about a member."""
    return Update(member.node_id, member.incarnation, state, refutation, member)


def receive_updates(machine, *updates, now_s=1.0):
    """Deliver updates to a state machine and return its outputs."""
    ping = Ping(1, OTHER.incarnation, updates)
    return machine.step(now_s, ControlArrived(OTHER.node_id, ping))


class MemberTableTest(unittest.TestCase):
    """Precedence of updates."""

    def table(self, *updates):
        """Return a table after the updates were applied in turn."""
        table = MemberTable()
        for applied in updates:
            table.apply(0.0, applied)
        return table

    def state(self, *updates):
        """Return the state after the updates."""
        return self.table(*updates).get(OTHER.node_id).state

    def test_refutation_overrides_suspicion(self):
        suspect = update(state=MemberState.SUSPECT)
        self.assertEqual(
            self.state(update(), suspect, update(refutation=1)),
            MemberState.ALIVE,
        )

    def test_old_suspicion_does_not_override_refutation(self):
        suspect = update(state=MemberState.SUSPECT)
        self.assertEqual(
            self.state(update(refutation=1), suspect), MemberState.ALIVE
        )

    def test_left_incarnation_stays_left(self):
        left = update(state=MemberState.LEFT)
        self.assertEqual(
            self.state(update(), left, update(refutation=9)), MemberState.LEFT
        )

    def test_larger_incarnation_is_another_member(self):
        newer = member_of(1, 1, 1, incarnation=2)
        table = self.table(update(state=MemberState.LEFT), update(newer))
        self.assertEqual(table.get(OTHER.node_id).member, newer)
        self.assertFalse(table.apply(0.0, update(OTHER)))


class MembershipTest(unittest.TestCase):
    """Joins, leaves and suspicion at one state machine."""

    def machine(self):
        """Return a started state machine."""
        machine = Membership(ME, (NodeId('seed'),), Random(1))
        machine.step(0.0, Ticked())
        return machine

    def test_joins_by_log_and_by_seed(self):
        machine = Membership(ME, (NodeId('seed'),), Random(1))
        outputs = machine.step(0.0, Ticked())
        records = [
            output for output in outputs if isinstance(output, AppendRecord)
        ]
        sends = [
            output for output in outputs if isinstance(output, SendControl)
        ]
        self.assertIsInstance(records[0].record, JoinRecord)
        self.assertEqual(sends[0].receiver, 'seed')

    def test_join_record_adds_member(self):
        machine = self.machine()
        record = JoinRecord(record_id='j', member=OTHER)
        machine.step(1.0, LogRecordRead('members', record))
        self.assertIn(OTHER, machine.members(OTHER.service))

    def test_leaving_member_gets_no_work_but_is_not_lost(self):
        machine = self.machine()
        receive_updates(machine, update())
        record = LeaveRecord(record_id='l', member=OTHER)
        outputs = machine.step(2.0, LogRecordRead('members', record))
        self.assertNotIn(OTHER, machine.members(OTHER.service))
        self.assertTrue(
            any(
                isinstance(output, MembersChanged)
                and OTHER not in output.members
                for output in outputs
            )
        )
        self.assertFalse(
            any(isinstance(output, MemberLost) for output in outputs)
        )

    def test_restart_ends_the_earlier_incarnation(self):
        machine = self.machine()
        receive_updates(machine, update())
        outputs = receive_updates(
            machine, update(member_of(1, 1, 1, incarnation=2))
        )
        self.assertIn(
            MemberLost(OTHER.node_id, OTHER.incarnation, True), outputs
        )

    def test_refutes_suspicion_of_itself(self):
        machine = self.machine()
        outputs = receive_updates(machine, update(ME, MemberState.SUSPECT, 3))
        (ack,) = [
            output.message
            for output in outputs
            if isinstance(output, SendControl)
            and isinstance(output.message, Ack)
        ]
        (own,) = [sent for sent in ack.updates if sent.node_id == ME.node_id]
        self.assertEqual((own.state, own.refutation), (MemberState.ALIVE, 4))

    def test_leaving_node_does_not_refute_and_is_recorded(self):
        machine = self.machine()
        receive_updates(machine, update())
        outputs = machine.step(2.0, LeaveBegan())
        records = [
            output for output in outputs if isinstance(output, AppendRecord)
        ]
        self.assertIsInstance(records[0].record, LeaveRecord)
        self.assertNotIn(ME, machine.members(ME.service))


class MemberFleetTest(unittest.TestCase):
    """A few state machines that exchange messages."""

    def test_new_node_joins_while_log_is_down(self):
        fleet = MemberFleet(1, 6, 2, 2)
        fleet.world.run(10.0)
        fleet.log_up = False
        joined = fleet.start(member_of(6, 2, 2))
        fleet.world.run(20.0)
        near = [
            node
            for node in fleet.live()
            if node.member.failure_domain == joined.member.failure_domain
        ]
        for node in near:
            self.assertIn(joined.member, node.machine.neighbours())
            self.assertIn(node.member, joined.machine.neighbours())

    def test_paused_node_returns_as_the_same_member(self):
        fleet = MemberFleet(1, 6, 2, 2)
        fleet.world.run(10.0)
        victim = next(iter(fleet.live()))
        victim.paused = True
        fleet.world.run(20.0)
        victim.resume()
        fleet.world.run(25.0)
        near = [
            node
            for node in fleet.live()
            if node.member.failure_domain == victim.member.failure_domain
        ]
        for node in near:
            self.assertIn(victim.member, node.machine.neighbours())
            self.assertFalse(any(lost.ended for _, lost in node.lost))
