"""Queue, limit and cold pace in front of a target."""

import unittest

from mesh_samples import served_call

from rattanstile.process.mesh.target_gate import TargetGate, WaitingCall
from rattanstile.request.exchange import NotRunReason


def gate(slots=20, cold_per_s=25.0):
    made = TargetGate()
    made.slots = slots
    made.cold_calls_per_s = cold_per_s
    return made


def waiting(now_s, name='a', left_s=2.0, **changes):
    return WaitingCall(name, served_call(name, **changes), now_s, now_s + left_s)


class LimitTest(unittest.TestCase):
    """Calls at once on the target."""

    def test_slots_are_left_free(self):
        """A target that is nearly full slows down."""
        made = gate(slots=20)
        for number in range(25):
            made.offer(0, waiting(0, str(number)), is_cold=False)
        taken = 0
        while made.take(0, is_cold=False):
            taken += 1
        self.assertEqual(taken, 19)
        self.assertEqual(made.waiting, 6)

    def test_an_ended_call_makes_room(self):
        """The next call goes when one ends."""
        made = gate(slots=1)
        made.offer(0, waiting(0, 'a'), is_cold=False)
        made.offer(0, waiting(0, 'b'), is_cold=False)
        first = made.take(0, is_cold=False)
        self.assertIsNone(made.take(0, is_cold=False))
        made.ended(0.1, first, ran=True)
        self.assertEqual(made.take(0.1, is_cold=False).key, 'b')

    def test_the_most_urgent_goes_first(self):
        """Aim and priority decide, not the order of arrival."""
        made = gate(slots=1)
        made.offer(0, waiting(0, 'slow', aim_ms=1200), is_cold=False)
        made.offer(0.01, waiting(0.01, 'quick', aim_ms=150), is_cold=False)
        self.assertEqual(made.take(0.01, is_cold=False).key, 'quick')


class ColdTest(unittest.TestCase):
    """The pace of a cold target, replayed second by second."""

    def test_no_second_has_more_than_the_cold_rate(self):
        """A flood against a cold target, over every sliding second."""
        made = gate(slots=100, cold_per_s=25)
        sent = []
        for step in range(400):
            now_s = step * 0.01
            for number in range(5):
                made.offer(
                    now_s,
                    waiting(now_s, f'{step}.{number}', 9.0, inner=True),
                    is_cold=True,
                )
            taken = made.take(now_s, is_cold=True)
            while taken:
                sent.append(now_s)
                made.ended(now_s, taken, ran=True)
                taken = made.take(now_s, is_cold=True)
        worst = max(
            sum(1 for at_s in sent if start <= at_s < start + 1)
            for start in sent
        )
        self.assertLessEqual(worst, 25)
        self.assertGreater(len(sent), 60)

    def test_warm_calls_count_when_it_turns_cold(self):
        """What was sent in the last second is part of the pace."""
        made = gate(slots=100, cold_per_s=25)
        for number in range(40):
            made.offer(0, waiting(0, str(number)), is_cold=False)
        for _ in range(30):
            made.ended(0, made.take(0, is_cold=False), ran=True)
        self.assertIsNone(made.take(0.5, is_cold=True))
        self.assertIsNotNone(made.take(1.01, is_cold=True))


class RefusalTest(unittest.TestCase):
    """Calls that can't be served in time aren't taken."""

    def test_a_root_call_is_refused_at_once(self):
        """A wait beyond its aim is said at arrival, not at the deadline."""
        made = gate(slots=1)
        made.service_s = 0.2
        found = [
            made.offer(0, waiting(0, str(number)), is_cold=False)
            for number in range(8)
        ]
        self.assertEqual(found[0], None)
        self.assertEqual(found[-1], NotRunReason.QUEUE_FULL)

    def test_an_inner_call_waits_longer(self):
        """Work above it has run already."""
        made = gate(slots=1)
        made.service_s = 0.2
        found = [
            made.offer(0, waiting(0, str(number), inner=True), is_cold=False)
            for number in range(8)
        ]
        self.assertEqual(found[-1], None)

    def test_expired_calls_are_given_back(self):
        """A call whose time is up hasn't run."""
        made = gate(slots=1)
        made.offer(0, waiting(0, 'a'), is_cold=False)
        made.offer(0, waiting(0, 'b', left_s=0.5), is_cold=False)
        made.take(0, is_cold=False)
        self.assertEqual(made.expired(0.4), [])
        self.assertEqual([one.key for one in made.expired(0.45)], ['b'])
        self.assertEqual(made.waiting, 0)

    def test_offered_counts_a_moved_call_once(self):
        """Other nodes learn the demand, not how often it was moved."""
        made = gate(slots=10)
        for number in range(10):
            made.offer(0, waiting(0, str(number), moves=number), is_cold=False)
        self.assertAlmostEqual(made.offered_per_s(0), 1 / 0.3, places=3)
