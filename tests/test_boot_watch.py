"""Detection of target restarts."""

import unittest

from rattanstile.process.serving.boot_watch import BootWatch
from rattanstile.process.serving.limiter import TargetLimiter
from rattanstile.version.declaration import TargetLimits

LIMITS = TargetLimits(slots=8, cold_slots=2, cold_start_s=1.0)
WARM_S = 4.0


class BootWatchTest(unittest.TestCase):
    """A restart makes the target cold; an unchanged boot id reverses that."""

    def setUp(self):
        self.limiter = TargetLimiter(LIMITS, 0.0)
        now_s = 0.0
        while now_s < WARM_S:
            while self.limiter.has_free_slot(now_s):
                self.limiter.started(now_s)
            now_s += 0.05
            for _ in range(self.limiter.in_flight):
                self.limiter.ended(now_s, 0.05, ok=True)
        self.watch = BootWatch('target-1', self.limiter, 0.0)
        self.watch.record_answer(WARM_S, 'boot-1', WARM_S)

    def test_warm_target_has_its_slots(self):
        self.assertEqual(self.limiter.limit, 8)

    def test_new_boot_id_in_an_answer_means_cold(self):
        self.watch.record_answer(5.0, 'boot-2', 4.9)
        self.assertEqual(self.limiter.limit, 2)
        self.watch.record_answer(5.1, 'boot-2', 5.05)
        self.assertEqual(self.limiter.limit, 2)

    def test_same_boot_after_a_reset_restores_the_limit(self):
        self.watch.suspect_restart(5.0)
        self.assertEqual(self.limiter.limit, 2)
        self.watch.record_answer(5.2, 'boot-1', 5.1)
        self.assertEqual(self.limiter.limit, 8)

    def test_answer_to_a_call_sent_before_the_reset_is_no_proof(self):
        self.watch.suspect_restart(5.0)
        self.watch.record_answer(5.2, 'boot-1', 4.9)
        self.assertEqual(self.limiter.limit, 2)

    def test_suspicion_remains_for_a_target_without_boot_ids(self):
        self.watch.suspect_restart(5.0)
        self.watch.record_answer(5.2, '', 5.1)
        self.assertEqual(self.limiter.limit, 2)

    def test_reported_restart_means_cold(self):
        self.watch.record_restart(5.0, 'boot-2')
        self.assertEqual(self.limiter.limit, 2)
