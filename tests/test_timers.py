"""Timer service."""

import unittest

from twisted.internet.task import Clock

from rattanstile.process.timers import TimerService


class TimerServiceTest(unittest.TestCase):
    """Subscribers get time from the clock given."""

    def test_subscriber_is_called_each_period_until_the_block_ends(self):
        clock = Clock()
        timers = TimerService(clock)
        seen = []
        with timers.every(0.5, seen.append):
            clock.pump([0.5, 0.5])
        clock.advance(5)
        self.assertEqual(seen, [0.5, 1.0])

    def test_failing_handler_keeps_its_subscription(self):
        clock = Clock()
        timers = TimerService(clock)
        seen = []

        def handler(now_s):
            seen.append(now_s)
            raise ValueError

        with timers.every(1.0, handler):
            clock.pump([1.0, 1.0])
        self.assertEqual(seen, [1.0, 2.0])

    def test_cancelled_timer_never_fires(self):
        clock = Clock()
        seen = []
        timer = TimerService(clock).after(1.0, seen.append)
        timer.cancel()
        clock.advance(2)
        self.assertEqual(seen, [])
