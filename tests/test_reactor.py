"""The reactor's clock while the time of day is set."""

import subprocess
import sys
import unittest

PROGRAM = """
import signal, sys, time

true_time = time.time
offset_s = 0.0
time.time = lambda: true_time() + offset_s

from rattanstile.process.reactor import installed_reactor

reactor = installed_reactor()
fired = []

def set_clock():
    global offset_s
    offset_s = float(sys.argv[1])

signal.alarm(10)
reactor.callLater(0.02, set_clock)
reactor.callLater(0.1, fired.append, 'soon')
reactor.callLater(60, fired.append, 'late')
reactor.callLater(0.3, reactor.stop)
reactor.run()
print(fired)
"""


class ClockTest(unittest.TestCase):
    """Timers of a process whose VM sets its clock."""

    def fired(self, offset_s):
        finished = subprocess.run(
            [sys.executable, '-c', PROGRAM, str(offset_s)],
            capture_output=True,
            text=True,
            check=False,
        )
        return finished.stdout.strip()

    def test_timers_fire_after_the_clock_was_set_back(self):
        """They waited for as long as it was set back."""
        self.assertEqual(self.fired(-3600), "['soon']")

    def test_no_timer_fires_early_after_it_was_set_forward(self):
        """Calls that had just begun were ended by their timeouts."""
        self.assertEqual(self.fired(3600), "['soon']")
