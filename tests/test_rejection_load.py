"""Replays of a target that rejects calls, in simulated time."""

import heapq
import unittest
from random import Random

from mesh_samples import served_call

from rattanstile.process.mesh.serving.rejection_load import RejectionLoad
from rattanstile.process.mesh.serving.target_gate import TargetQueue
from rattanstile.process.mesh.serving.waiting_call import WaitingCall

SLOTS = 40
RUN_S = 0.02
REJECT_S = 0.002


def all_alike(_):
    """Reject as in a fault that has nothing to do with load."""
    return 0.55


def above_ten(running):
    """Reject all beyond a limit that the target doesn't announce."""
    return 1.0 if running >= 10 else 0.0


def with_load(running):
    """Reject a part that grows with what is running."""
    return min(0.9, running / 30)


class Replay:
    """Calls that arrive at random; those refused are not offered again."""

    def __init__(self, rejected_share, load=1.1, seconds=20, seed=3):
        """Play it."""
        self.rng = Random(seed)
        self.rejected_share = rejected_share
        self.queue = TargetQueue()
        self.queue.slots = SLOTS
        self.queue.service_s = RUN_S
        self.running = 0
        self.offered = 0
        self.served = 0
        self.rejected = 0
        self.refused = 0
        self.lowest = 1.0
        self.events = []
        self.count = 0
        at_s = 0.0
        while at_s < seconds:
            per_s = load * SLOTS / RUN_S * (0.4 + 0.6 * (at_s % 2 < 1))
            at_s += self.rng.expovariate(per_s)
            self.add(at_s, self.arrive, None)
        for tick in range(int(seconds / 0.05)):
            self.add(tick * 0.05, self.tick, None)
        while self.events:
            now_s, _, handle, subject = heapq.heappop(self.events)
            handle(now_s, subject)
            self.send(now_s)
            self.lowest = min(self.lowest, self.limit_share())

    def limit_share(self):
        return self.queue.rejections.limit_share

    def add(self, at_s, handle, subject):
        self.count += 1
        heapq.heappush(self.events, (at_s, self.count, handle, subject))

    def arrive(self, now_s, _):
        self.offered += 1
        call = served_call(inner=True, latency_objective_ms=300)
        waiting = WaitingCall(self.count, call, now_s, now_s + 0.6)
        if self.queue.offer(now_s, waiting, is_cold=False):
            self.refused += 1

    def tick(self, now_s, _):
        self.refused += len(self.queue.pop_expired(now_s))

    def send(self, now_s):
        waiting = self.queue.take(now_s, is_cold=False)
        while waiting:
            if self.rng.random() < self.rejected_share(self.running):
                self.add(now_s + REJECT_S, self.reject, waiting)
            else:
                self.running += 1
                took_s = RUN_S * self.rng.uniform(0.7, 1.3)
                self.add(now_s + took_s, self.end, waiting)
            waiting = self.queue.take(now_s, is_cold=False)

    def reject(self, now_s, waiting):
        self.rejected += 1
        self.queue.release(now_s, waiting, has_run=False)
        self.queue.record_answer(now_s, waiting, is_rejected=True)

    def end(self, now_s, waiting):
        self.running -= 1
        self.served += 1
        self.queue.release(now_s, waiting, has_run=True)
        self.queue.record_answer(now_s, waiting, is_rejected=False)


class RejectionTest(unittest.TestCase):
    """Demand that rises and falls each second, up to a tenth too high."""

    def test_rejections_that_have_nothing_to_do_with_load_change_nothing(self):
        """Fewer calls at once would only serve fewer."""
        for seed in range(20):
            replay = Replay(all_alike, seconds=5, seed=seed)
            self.assertEqual(replay.lowest, 1.0)
            self.assertEqual(replay.refused, 0)

    def test_the_capacity_is_that_of_the_limit_which_is_not_announced(self):
        """Ten calls of 20 ms are 500 a second; 1,947 were reported."""
        replay = Replay(above_ten)
        capacity_per_s = replay.queue.capacity_per_s(is_cold=False)
        self.assertGreater(capacity_per_s, 450)
        self.assertLess(capacity_per_s, 650)

    def test_fewer_calls_are_rejected_and_none_served_less(self):
        """21,386 calls were rejected by the target, and 9,420 served."""
        replay = Replay(above_ten)
        self.assertLess(replay.rejected, 18_000)
        self.assertGreater(replay.served, 9_420)

    def test_rejections_that_grow_with_load_mean_less_capacity(self):
        """1,857 a second were reported; it never serves more than 750."""
        replay = Replay(with_load)
        self.assertLess(replay.queue.capacity_per_s(is_cold=False), 1000)
        self.assertGreater(replay.served, 14_424)

    def test_a_target_that_rejects_nothing_keeps_its_limit(self):
        """All demand is served."""
        replay = Replay(lambda _: 0.0)
        self.assertEqual(replay.lowest, 1.0)
        self.assertEqual(replay.served, replay.offered)

    def test_the_limit_is_soon_back_once_nothing_is_rejected(self):
        """A target that has mended must not be used in part for long."""
        load = RejectionLoad()
        for call in range(400):
            busy_share = call % 2 * 0.9
            if busy_share:
                load.record_rejected(call / 100, busy_share, 38.0)
            else:
                load.record_run(call / 100, busy_share, RUN_S, 38.0)
        self.assertLess(load.limit_share, 0.5)
        for call in range(400, 1500):
            load.record_run(call / 100, 0.1, RUN_S, 38.0)
        self.assertEqual(load.limit_share, 1.0)
