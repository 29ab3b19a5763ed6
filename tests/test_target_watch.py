"""Tests of the state of the local target."""

import unittest

from rattanstile.process.mesh.target_watch import (
    NO_DEPARTURE,
    Announcement,
    ProbeResult,
    TargetChange,
    TargetDeparture,
    TargetState,
    TargetWatch,
)
from rattanstile.request.ids import TargetId


def announcement(target_id='i-1', sequence=1, born_ms=10, **changes):
    fields = {
        'target_id': target_id,
        'service': 'registry',
        'address': '10.0.0.1:80',
        'slots': 10,
        'state': TargetState.READY,
        'sequence': sequence,
        'cold_s': 0.0,
        'born_ms': born_ms,
    }
    return Announcement(**{**fields, **changes})


class AnnouncementTest(unittest.TestCase):
    """Announcements, in and out of order."""

    def test_a_ready_target_is_used(self):
        """The announced cold time applies."""
        watch = TargetWatch('registry')
        self.assertEqual(
            watch.announced(0, announcement(cold_s=3.0)), TargetChange.NEW
        )
        self.assertTrue(watch.is_usable)
        self.assertTrue(watch.is_cold(2.9))
        self.assertFalse(watch.is_cold(3.0))

    def test_a_late_announcement_of_an_earlier_incarnation_is_ignored(self):
        """A network partition delayed it until after its successor's."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement('i-2', born_ms=20))
        late = announcement('i-1', sequence=9, born_ms=10)
        self.assertEqual(watch.announced(1, late), TargetChange.NOTHING)
        self.assertEqual(watch.target_id, 'i-2')

    def test_an_incarnation_may_seem_to_start_before_its_predecessor(self):
        """The clock of its VM was set back; its drain went unnoticed.

        The predecessor's late announcements are still ignored.
        """
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.announced(0, announcement('i-1', sequence=9, born_ms=9000))
        watch.suspect(5)
        watch.probed(6, ProbeResult(TargetId('i-2'), True, 1.0))
        drains = announcement('i-2', born_ms=7000, state=TargetState.DRAINING)
        late = announcement('i-1', sequence=10, born_ms=9000)
        self.assertEqual(watch.announced(7, late), TargetChange.NOTHING)
        self.assertEqual(watch.announced(8, drains), TargetChange.LEAVING)

    def test_a_new_incarnation_may_have_the_same_id(self):
        """Its sequence numbers start again."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=40, born_ms=10))
        again = announcement(sequence=1, born_ms=30, cold_s=3.0)
        self.assertEqual(watch.announced(5, again), TargetChange.NEW)
        self.assertTrue(watch.is_cold(6))

    def test_a_draining_target_is_not_used(self):
        """Also after an older announcement arrives late."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=1))
        draining = announcement(sequence=3, state=TargetState.DRAINING)
        self.assertEqual(watch.announced(1, draining), TargetChange.LEAVING)
        watch.announced(1.1, announcement(sequence=2))
        self.assertFalse(watch.is_usable)


class ProbeTest(unittest.TestCase):
    """Probes after a restart of the node, or of the target."""

    def test_there_is_no_probe_before_the_departure_is_restored(self):
        """The target may have deregistered before the node restarted."""
        watch = TargetWatch('registry')
        self.assertFalse(watch.poll_probe_due(0))
        watch.restore_departure(NO_DEPARTURE)
        self.assertTrue(watch.poll_probe_due(0))

    def test_a_target_that_left_is_not_used_again(self):
        """It answers probes as healthy until it exits: scale-1 60144322154.

        A restarted node must not use it again.
        """
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertFalse(watch.poll_probe_due(0))
        change = watch.probed(
            0, ProbeResult('i-1', is_healthy=True, cold_s=None)
        )
        self.assertEqual(change, TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_a_foreign_deregistration_does_not_hide_the_departure(self):
        """It was what a restarted node read, and the target was used again."""
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=True, cold_s=None))
        watch.deregistered(TargetDeparture('i-1', 0))
        foreign = watch.deregistered(TargetDeparture('odd', 0))
        self.assertEqual(foreign, TargetChange.NOTHING)
        self.assertEqual(watch.last_departure.target_id, 'i-1')

    def test_a_successor_may_deregister_as_its_first_message(self):
        """Its late heartbeat must not make it usable."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement('i-1', state=TargetState.DRAINING))
        watch.deregistered(TargetDeparture('i-2', 20))
        late = announcement('i-2', born_ms=20)
        self.assertEqual(watch.announced(1, late), TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_a_late_announcement_does_not_restore_a_target_that_left(self):
        """Sequence numbers are lost at a restart: trouble-3 183784791010.

        The target deregisters and runs on; its last heartbeat arrives later
        and must not make the target usable.
        """
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=True, cold_s=None))
        watch.deregistered(TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(2.2, announcement()), TargetChange.NOTHING
        )
        self.assertFalse(watch.is_usable)

    def test_nor_does_one_that_arrives_after_a_restart(self):
        """The target deregistered before the node restarted."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(0.5, announcement()), TargetChange.NOTHING
        )
        self.assertFalse(watch.is_usable)

    def test_a_later_incarnation_of_the_same_id_is_used(self):
        """It started after the incarnation that left."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(0, announcement(born_ms=30)), TargetChange.NEW
        )
        self.assertTrue(watch.is_usable)

    def test_a_successor_is_used(self):
        """It has another id at the same address."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(0, announcement('i-2')), TargetChange.NEW
        )
        self.assertTrue(watch.is_usable)

    def test_a_suspected_target_is_probed_with_backoff(self):
        """Probes become rarer, as each of them takes a slot."""
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.announced(0, announcement())
        watch.suspect(1.0)
        probe_steps = [
            step for step in range(100) if watch.poll_probe_due(1 + step / 20)
        ]
        self.assertFalse(watch.is_usable)
        self.assertLess(len(probe_steps), 12)
        watch.probed(6.0, ProbeResult('i-1', is_healthy=True, cold_s=1.0))
        self.assertTrue(watch.is_usable)
        self.assertTrue(watch.is_cold(6.9))

    def test_an_unhealthy_response_changes_nothing(self):
        """Neither does a response without a target id."""
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=False, cold_s=None))
        watch.probed(0, ProbeResult('', is_healthy=True, cold_s=None))
        self.assertFalse(watch.is_usable)
