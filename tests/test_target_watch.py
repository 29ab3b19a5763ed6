"""What a node believes of the target beside it."""

import unittest

from rattanstile.process.mesh.target_watch import (
    NO_DEPARTURE,
    Announcement,
    TargetChange,
    ProbeResult,
    TargetDeparture,
    TargetState,
    TargetWatch,
)


def told(target_id='i-1', sequence=1, born_ms=10, **changes):
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
        """With its slots and its cold time."""
        watch = TargetWatch('registry')
        self.assertEqual(watch.announced(0, told(cold_s=3.0)), TargetChange.NEW)
        self.assertTrue(watch.is_usable)
        self.assertTrue(watch.is_cold(2.9))
        self.assertFalse(watch.is_cold(3.0))

    def test_a_late_word_of_an_earlier_incarnation_is_ignored(self):
        """It was held up by a cut and comes after its successor's."""
        watch = TargetWatch('registry')
        watch.announced(0, told('i-2', born_ms=20))
        late = told('i-1', sequence=9, born_ms=10)
        self.assertEqual(watch.announced(1, late), TargetChange.NOTHING)
        self.assertEqual(watch.target_id, 'i-2')

    def test_the_same_id_may_be_born_again(self):
        """Its sequence starts anew."""
        watch = TargetWatch('registry')
        watch.announced(0, told(sequence=40, born_ms=10))
        again = told(sequence=1, born_ms=30, cold_s=3.0)
        self.assertEqual(watch.announced(5, again), TargetChange.NEW)
        self.assertTrue(watch.is_cold(6))

    def test_a_draining_target_is_left_alone(self):
        """And so it stays when an older word arrives."""
        watch = TargetWatch('registry')
        watch.announced(0, told(sequence=1))
        drains = told(sequence=3, state=TargetState.DRAINING)
        self.assertEqual(watch.announced(1, drains), TargetChange.LEAVING)
        watch.announced(1.1, told(sequence=2))
        self.assertFalse(watch.is_usable)


class ProbeTest(unittest.TestCase):
    """Probes after a restart of the node, or of the target."""

    def test_nothing_is_probed_before_the_past_is_known(self):
        """The node may have been told that the target goes."""
        watch = TargetWatch('registry')
        self.assertFalse(watch.wants_probe(0))
        watch.restore_departure(NO_DEPARTURE)
        self.assertTrue(watch.wants_probe(0))

    def test_a_target_that_left_is_not_used_again(self):
        """It answers as healthy until it ends: hunt, scale-1 60144322154."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertFalse(watch.wants_probe(0))
        heard = watch.probed(0, ProbeResult('i-1', is_healthy=True, cold_s=None))
        self.assertEqual(heard, TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_nor_after_a_late_word_of_it(self):
        """A restarted node knows no sequence: trouble-3 183784791010.

        The target deregistered and ran on; its last heartbeat came later.
        """
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=True, cold_s=None))
        watch.deregistered(TargetDeparture('i-1', 10))
        self.assertEqual(watch.announced(2.2, told()), TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_nor_after_a_late_word_that_comes_after_a_restart(self):
        """The leaving was told to an earlier run of the node."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertEqual(watch.announced(0.5, told()), TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_a_later_incarnation_of_the_same_id_is_used(self):
        """It was born after the one that left."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertEqual(watch.announced(0, told(born_ms=30)), TargetChange.NEW)
        self.assertTrue(watch.is_usable)

    def test_its_successor_is(self):
        """Another incarnation at the same address."""
        watch = TargetWatch('registry')
        watch.restore_departure(TargetDeparture('i-1', 10))
        self.assertEqual(watch.announced(0, told('i-2')), TargetChange.NEW)
        self.assertTrue(watch.is_usable)

    def test_a_suspected_target_is_probed_with_growing_pauses(self):
        """Each probe takes a slot."""
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.announced(0, told())
        watch.suspect(1.0)
        asked = [
            step for step in range(100) if watch.wants_probe(1 + step / 20)
        ]
        self.assertFalse(watch.is_usable)
        self.assertLess(len(asked), 12)
        watch.probed(6.0, ProbeResult('i-1', is_healthy=True, cold_s=1.0))
        self.assertTrue(watch.is_usable)
        self.assertTrue(watch.is_cold(6.9))

    def test_an_unhealthy_answer_changes_nothing(self):
        """As does one that names no target."""
        watch = TargetWatch('registry')
        watch.restore_departure(NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=False, cold_s=None))
        watch.probed(0, ProbeResult('', is_healthy=True, cold_s=None))
        self.assertFalse(watch.is_usable)
