"""Tests of the queue, concurrency limit and cold-start rate limit."""

import unittest

from mesh_samples import served_call

from rattanstile.process.mesh.serving.target_gate import (
    TargetQueue,
    WaitingCall,
)
from rattanstile.request.exchange import NotRunReason


def make_queue(slots=20, cold_per_s=25.0):
    queue = TargetQueue()
    queue.slots = slots
    queue.cold_calls_per_s = cold_per_s
    return queue


def waiting(now_s, name='a', left_s=2.0, **changes):
    return WaitingCall(
        name, served_call(name, **changes), now_s, now_s + left_s
    )


class LimitTest(unittest.TestCase):
    """Limit of concurrent calls on the target."""

    def test_slots_are_left_free(self):
        """A target that is nearly full slows down."""
        queue = make_queue(slots=20)
        for number in range(25):
            queue.offer(0, waiting(0, str(number)), is_cold=False)
        taken = 0
        while queue.take(0, is_cold=False):
            taken += 1
        self.assertEqual(taken, 19)
        self.assertEqual(queue.waiting, 6)

    def test_an_ended_call_frees_its_slot(self):
        """The next call is sent when one ends."""
        queue = make_queue(slots=1)
        queue.offer(0, waiting(0, 'a'), is_cold=False)
        queue.offer(0, waiting(0, 'b'), is_cold=False)
        first = queue.take(0, is_cold=False)
        self.assertIsNone(queue.take(0, is_cold=False))
        queue.release(0.1, first, has_run=True)
        self.assertEqual(queue.take(0.1, is_cold=False).key, 'b')

    def test_the_most_urgent_goes_first(self):
        """The latency objective decides, not the order of arrival."""
        queue = make_queue(slots=1)
        queue.offer(
            0, waiting(0, 'slow', latency_objective_ms=1200), is_cold=False
        )
        queue.offer(
            0.01,
            waiting(0.01, 'quick', latency_objective_ms=150),
            is_cold=False,
        )
        self.assertEqual(queue.take(0.01, is_cold=False).key, 'quick')


class ColdTest(unittest.TestCase):
    """Rate limit of a cold target, in simulated time."""

    def test_no_second_has_more_than_the_cold_rate(self):
        """More calls than a cold target can run, over each sliding second."""
        queue = make_queue(slots=100, cold_per_s=25)
        sent = []
        for step in range(400):
            now_s = step * 0.01
            for number in range(5):
                queue.offer(
                    now_s,
                    waiting(now_s, f'{step}.{number}', 9.0, inner=True),
                    is_cold=True,
                )
            taken = queue.take(now_s, is_cold=True)
            while taken:
                sent.append(now_s)
                queue.release(now_s, taken, has_run=True)
                taken = queue.take(now_s, is_cold=True)
        worst = max(
            sum(1 for at_s in sent if start <= at_s < start + 1)
            for start in sent
        )
        self.assertLessEqual(worst, 25)
        self.assertGreater(len(sent), 60)

    def test_warm_calls_count_when_it_turns_cold(self):
        """Calls sent in the last second count against the cold rate."""
        queue = make_queue(slots=100, cold_per_s=25)
        for number in range(40):
            queue.offer(0, waiting(0, str(number)), is_cold=False)
        for _ in range(30):
            queue.release(0, queue.take(0, is_cold=False), has_run=True)
        self.assertIsNone(queue.take(0.5, is_cold=True))
        self.assertIsNotNone(queue.take(1.01, is_cold=True))


class RefusalTest(unittest.TestCase):
    """Calls that can't be served in time are refused."""

    def test_a_root_call_is_refused_at_once(self):
        """A call that would wait too long is refused on arrival."""
        queue = make_queue(slots=1)
        queue.service_s = 0.2
        found = [
            queue.offer(0, waiting(0, str(number)), is_cold=False)
            for number in range(8)
        ]
        self.assertEqual(found[0], None)
        self.assertEqual(found[-1], NotRunReason.QUEUE_FULL)

    def test_an_inner_call_waits_longer(self):
        """The calls above it have already run in part."""
        queue = make_queue(slots=1)
        queue.service_s = 0.2
        found = [
            queue.offer(0, waiting(0, str(number), inner=True), is_cold=False)
            for number in range(8)
        ]
        self.assertEqual(found[-1], None)

    def test_expired_calls_are_returned(self):
        """A call that expires in the queue has not run."""
        queue = make_queue(slots=1)
        queue.offer(0, waiting(0, 'a'), is_cold=False)
        queue.offer(0, waiting(0, 'b', left_s=0.5), is_cold=False)
        queue.take(0, is_cold=False)
        self.assertEqual(queue.pop_expired(0.4), [])
        self.assertEqual([one.key for one in queue.pop_expired(0.45)], ['b'])
        self.assertEqual(queue.waiting, 0)

    def test_the_arrival_rate_counts_a_moved_call_once(self):
        """The reported demand does not grow with the number of moves."""
        queue = make_queue(slots=10)
        for number in range(10):
            queue.offer(0, waiting(0, str(number), moves=number), is_cold=False)
        self.assertAlmostEqual(queue.offered_per_s(0), 1 / 0.3, places=3)
