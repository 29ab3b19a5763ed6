"""Tests of the state of the local target."""

import unittest

from rattanstile.process.mesh.serving.past_incarnations import (
    MAX_LATENESS_S,
    MAX_PAST_INCARNATIONS,
    NO_DEPARTURE,
    TargetDeparture,
)
from rattanstile.process.mesh.serving.target_watch import (
    MAX_SILENCE_S,
    Announcement,
    ProbeResult,
    TargetChange,
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
        watch.restore_departure(0, NO_DEPARTURE)
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
        watch.restore_departure(0, NO_DEPARTURE)
        self.assertTrue(watch.poll_probe_due(0))

    def test_a_target_that_left_is_not_used_again(self):
        """It answers probes as healthy until it exits: scale-1 60144322154.

        A restarted node must not use it again.
        """
        watch = TargetWatch('registry')
        watch.restore_departure(0, TargetDeparture('i-1', 10))
        self.assertFalse(watch.poll_probe_due(0))
        change = watch.probed(
            0, ProbeResult('i-1', is_healthy=True, cold_s=None)
        )
        self.assertEqual(change, TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_a_foreign_deregistration_does_not_hide_the_departure(self):
        """It was what a restarted node read, and the target was used again."""
        watch = TargetWatch('registry')
        watch.restore_departure(0, NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=True, cold_s=None))
        watch.deregistered(1, TargetDeparture('i-1', 0))
        foreign = watch.deregistered(1, TargetDeparture('odd', 0))
        self.assertEqual(foreign, TargetChange.NOTHING)
        self.assertEqual(watch.last_departure.target_id, 'i-1')

    def test_a_successor_may_deregister_as_its_first_message(self):
        """Its late heartbeat must not make it usable."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement('i-1', state=TargetState.DRAINING))
        watch.deregistered(1, TargetDeparture('i-2', 20))
        late = announcement('i-2', born_ms=20)
        self.assertEqual(watch.announced(1, late), TargetChange.NOTHING)
        self.assertFalse(watch.is_usable)

    def test_a_late_announcement_does_not_restore_a_target_that_left(self):
        """Sequence numbers are lost at a restart: trouble-3 183784791010.

        The target deregisters and runs on; its last heartbeat arrives later
        and must not make the target usable.
        """
        watch = TargetWatch('registry')
        watch.restore_departure(0, NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=True, cold_s=None))
        watch.deregistered(1, TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(2.2, announcement()), TargetChange.NOTHING
        )
        self.assertFalse(watch.is_usable)

    def test_nor_does_one_that_arrives_after_a_restart(self):
        """The target deregistered before the node restarted."""
        watch = TargetWatch('registry')
        watch.restore_departure(0, TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(0.5, announcement()), TargetChange.NOTHING
        )
        self.assertFalse(watch.is_usable)

    def test_a_later_incarnation_of_the_same_id_is_used(self):
        """It started after the incarnation that left."""
        watch = TargetWatch('registry')
        watch.restore_departure(0, TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(0, announcement(born_ms=30)), TargetChange.NEW
        )
        self.assertTrue(watch.is_usable)

    def test_a_successor_is_used(self):
        """It has another id at the same address."""
        watch = TargetWatch('registry')
        watch.restore_departure(0, TargetDeparture('i-1', 10))
        self.assertEqual(
            watch.announced(0, announcement('i-2')), TargetChange.NEW
        )
        self.assertTrue(watch.is_usable)

    def test_a_suspected_target_is_probed_with_backoff(self):
        """Probes become rarer, as each of them takes a slot."""
        watch = TargetWatch('registry')
        watch.restore_departure(0, NO_DEPARTURE)
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
        watch.restore_departure(0, NO_DEPARTURE)
        watch.probed(0, ProbeResult('i-1', is_healthy=False, cold_s=None))
        watch.probed(0, ProbeResult('', is_healthy=True, cold_s=None))
        self.assertFalse(watch.is_usable)


class OrderOfIncarnationsTest(unittest.TestCase):
    """DRAIN: messages late, in any order, across clock steps and restarts."""

    DRAINING = TargetState.DRAINING

    def test_target_starts_again_after_the_clock_was_set_back(self):
        """Its ID is the same; its drain was acknowledged and ignored."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=9000))
        watch.suspect(1)
        watch.announced(2, announcement(sequence=1, born_ms=7000))
        self.assertTrue(watch.is_usable)
        drains = announcement(sequence=2, born_ms=7000, state=self.DRAINING)
        self.assertEqual(watch.announced(3, drains), TargetChange.LEAVING)
        self.assertFalse(watch.is_usable)

    def test_its_drain_counts_though_nothing_else_came(self):
        """No call had noticed that the one before had ended."""
        for target_id in ('i-1', 'i-2'):
            watch = TargetWatch('registry')
            watch.announced(0, announcement(sequence=9, born_ms=9000))
            drains = announcement(target_id, born_ms=7000, state=self.DRAINING)
            self.assertEqual(watch.announced(1, drains), TargetChange.LEAVING)
            self.assertFalse(watch.is_usable)

    def test_nor_does_a_late_word_of_the_one_before_restore_it(self):
        """It seems to have started later."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=9000))
        watch.suspect(1)
        watch.announced(2, announcement(sequence=1, born_ms=7000))
        drains = announcement(sequence=2, born_ms=7000, state=self.DRAINING)
        watch.announced(3, drains)
        watch.announced(4, announcement(sequence=10, born_ms=9000))
        self.assertFalse(watch.is_usable)

    def test_incarnation_that_seems_earlier_is_used_after_a_silence(self):
        """Before, it can't be told from a late word of an earlier one."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=9000))
        for second in (1, 2, MAX_SILENCE_S):
            early = announcement('i-2', sequence=second, born_ms=7000)
            self.assertEqual(
                watch.announced(second, early), TargetChange.NOTHING
            )
        live = announcement('i-2', sequence=5, born_ms=7000)
        change = watch.announced(MAX_SILENCE_S + 1, live)
        self.assertEqual(change, TargetChange.NEW)

    def test_target_whose_earlier_run_seemed_to_leave_is_used_again(self):
        """A drain of an earlier run came late; the live one goes on."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=9000))
        late = announcement(sequence=3, born_ms=7000, state=self.DRAINING)
        watch.announced(1, late)
        self.assertFalse(watch.is_usable)
        for second in (2, 3.5, 5, 6.5):
            live = announcement(sequence=int(second * 10), born_ms=9000)
            watch.announced(second, live)
        self.assertTrue(watch.is_usable)

    def test_departure_without_a_start_includes_later_runs(self):
        """The run that is known may be over, and the next one leave."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=10))
        watch.deregistered(1, TargetDeparture('i-1', 500, is_latest=True))
        for born_ms in (10, 400, 500):
            late = announcement(sequence=20, born_ms=born_ms)
            watch.announced(2, late)
            self.assertFalse(watch.is_usable, born_ms)

    def test_target_with_the_id_of_one_that_left_long_ago_is_used(self):
        """The clock was set back meanwhile, so that it seems to be it."""
        watch = TargetWatch('registry')
        watch.restore_departure(0, TargetDeparture('i-1', 9000))
        early = announcement(born_ms=7000)
        watch.announced(MAX_LATENESS_S, early)
        self.assertFalse(watch.is_usable)
        watch.announced(MAX_LATENESS_S + 1, early)
        self.assertTrue(watch.is_usable)

    def test_departure_is_known_before_the_earlier_one_is_restored(self):
        """The store answers late; what left meanwhile was forgotten."""
        watch = TargetWatch('registry', awaits_departure=True)
        watch.deregistered(1, TargetDeparture('i-1', 500, is_latest=True))
        watch.restore_departure(2, TargetDeparture('i-0', 10))
        watch.announced(3, announcement(born_ms=400))
        self.assertFalse(watch.is_usable)
        self.assertEqual(watch.last_departure.target_id, 'i-1')
        watch.announced(4, announcement('i-0', born_ms=10))
        self.assertFalse(watch.is_usable)

    def test_one_word_before_the_departure_is_restored_is_not_believed(self):
        """It may be late; the store is away while the node starts again."""
        watch = TargetWatch('registry', awaits_departure=True)
        watch.announced(1, announcement(sequence=4, born_ms=10))
        self.assertFalse(watch.is_usable)
        watch.restore_departure(3, TargetDeparture('i-1', 10))
        self.assertFalse(watch.is_usable)
        watch.announced(4, announcement(sequence=5, born_ms=10))
        self.assertFalse(watch.is_usable)

    def test_target_is_used_when_no_departure_is_restored(self):
        """Or when it has announced itself twice, while the store is away."""
        restored = TargetWatch('registry', awaits_departure=True)
        restored.announced(1, announcement(sequence=4))
        restored.restore_departure(2, NO_DEPARTURE)
        self.assertTrue(restored.is_usable)
        waiting = TargetWatch('registry', awaits_departure=True)
        waiting.announced(1, announcement(sequence=4))
        waiting.announced(2.5, announcement(sequence=5))
        self.assertTrue(waiting.is_usable)

    def test_restored_departure_does_not_stop_a_later_run(self):
        """It announced itself before the store answered."""
        watch = TargetWatch('registry', awaits_departure=True)
        watch.announced(1, announcement(sequence=1, born_ms=30))
        watch.restore_departure(2, TargetDeparture('i-1', 10))
        self.assertTrue(watch.is_usable)

    def test_late_deregistration_of_an_earlier_run(self):
        """It names its start; the run in use goes on."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=10))
        watch.announced(1, announcement(sequence=1, born_ms=30))
        change = watch.deregistered(2, TargetDeparture('i-1', 10))
        self.assertEqual(change, TargetChange.NOTHING)
        self.assertTrue(watch.is_usable)

    def test_departure_is_stored_once(self):
        """A target drains and then deregisters: one call to the store."""
        watch = TargetWatch('registry')
        watch.announced(0, announcement(sequence=9, born_ms=10))
        watch.announced(1, announcement(sequence=10, state=self.DRAINING))
        stored = watch.last_departure
        watch.deregistered(2, TargetDeparture('i-1', 500, is_latest=True))
        self.assertEqual(watch.last_departure, stored)
        watch.announced(3, announcement(sequence=11, born_ms=10))
        self.assertFalse(watch.is_usable)

    def test_many_targets_are_not_kept(self):
        """Each start has an ID of its own."""
        watch = TargetWatch('registry')
        for number in range(1, 1000):
            watch.announced(number, announcement(f'i-{number}', 1, number))
            watch.deregistered(number, TargetDeparture(f'x-{number}', 1))
        self.assertLessEqual(len(watch._past._past), MAX_PAST_INCARNATIONS)


class AddressUsedAgainTest(unittest.TestCase):
    """ROUTE: a target of another service got the calls of the one before.

    From its probe until its first heartbeat it ran 5 or 6 of them (review
    case 3).
    """

    def probe(self, watch, now_s, target_id):
        return watch.probed(now_s, ProbeResult(target_id, True, None))

    def test_another_target_is_not_used_until_it_announces_itself(self):
        """A health response names no service."""
        watch = TargetWatch('till')
        watch.restore_departure(0, NO_DEPARTURE)
        watch.announced(0, announcement('i-1', service='till'))
        watch.suspect(1)
        for now_s in (3.5, 4.0, 4.5):
            self.assertEqual(
                self.probe(watch, now_s, 'i-next'), TargetChange.NOTHING
            )
            self.assertFalse(watch.is_usable)
        first = announcement('i-next', born_ms=20, service='repair-desk')
        self.assertEqual(watch.announced(5, first), TargetChange.NEW)
        self.assertEqual(watch.service, 'repair-desk')
        self.assertTrue(watch.is_usable)

    def test_also_if_the_one_before_was_known_by_a_probe_only(self):
        """The node had started again."""
        watch = TargetWatch('till')
        watch.restore_departure(0, NO_DEPARTURE)
        self.probe(watch, 0.2, 'i-1')
        self.assertTrue(watch.is_usable)
        watch.suspect(1)
        self.probe(watch, 3.5, 'i-next')
        self.assertFalse(watch.is_usable)

    def test_same_target_is_used_again_at_its_probe(self):
        """Its connections were reset."""
        watch = TargetWatch('till')
        watch.restore_departure(0, NO_DEPARTURE)
        watch.announced(0, announcement('i-1'))
        watch.suspect(1)
        self.probe(watch, 1.1, 'i-1')
        self.assertTrue(watch.is_usable)

    def test_changed_settings_come_before_the_target(self):
        """Neither a probe nor a call may reach it under the service before."""
        watch = TargetWatch('till')
        watch.restore_departure(0, NO_DEPARTURE)
        watch.announced(0, announcement('i-1', service='till'))
        watch.settings_named(2, 'repair-desk')
        self.assertFalse(watch.is_usable)
        self.probe(watch, 2.2, 'i-1')
        self.assertFalse(watch.is_usable)
        known = TargetWatch('till')
        known.announced(0, announcement('i-1', service='repair-desk'))
        known.settings_named(1, 'repair-desk')
        self.assertTrue(known.is_usable)
        unknown = TargetWatch('till')
        unknown.restore_departure(0, NO_DEPARTURE)
        unknown.settings_named(1, 'repair-desk')
        self.probe(unknown, 2, 'i-next')
        self.assertEqual(unknown.service, 'repair-desk')
        self.assertTrue(unknown.is_usable)
