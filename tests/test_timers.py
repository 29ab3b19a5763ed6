"""Tests of the timer service."""

import unittest

from twisted.internet.task import Clock

from rattanstile.process.timers import TimerService


class TimerServiceTest(unittest.TestCase):
    """Handlers are called with the time of the given clock."""

    def test_handler_is_called_every_period_until_the_block_ends(self):
        clock = Clock()
        timers = TimerService(clock)
        call_times_s = []
        with timers.every(0.5, call_times_s.append):
            clock.pump([0.5, 0.5])
        clock.advance(5)
        self.assertEqual(call_times_s, [0.5, 1.0])

    def test_failing_handler_keeps_its_subscription(self):
        clock = Clock()
        timers = TimerService(clock)
        call_times_s = []

        def handler(now_s):
            call_times_s.append(now_s)
            raise ValueError

        with timers.every(1.0, handler):
            clock.pump([1.0, 1.0])
        self.assertEqual(call_times_s, [1.0, 2.0])

    def test_cancelled_timer_never_fires(self):
        clock = Clock()
        call_times_s = []
        timer = TimerService(clock).after(1.0, call_times_s.append)
        timer.cancel()
        clock.advance(2)
        self.assertEqual(call_times_s, [])
