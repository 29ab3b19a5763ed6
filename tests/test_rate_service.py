"""Rates of a node, around the two machines."""

import unittest

from twisted.internet.task import Clock

from rattanstile.process.control_messages import ControlArrived, SendControl
from rattanstile.process.rates.rate_messages import (
    Admitted,
    Denied,
    Granted,
    OverRate,
    Waiting,
)
from rattanstile.process.rates.rate_service import RETRY_AFTER_MS, RateService
from rattanstile.process.timers import TimerService


class FakeBorrower:
    """Answers as told, and may let time pass while it does."""

    def __init__(self, clock):
        self.clock = clock
        self.verdict = Waiting()
        self.outputs = []
        self.takes_s = 0.0
        self.seen = []

    def admit(self, now_s, organisation, number):
        self.clock.advance(self.takes_s)
        return self.verdict

    def take_outputs(self):
        outputs, self.outputs = self.outputs, []
        return outputs

    def step(self, now_s, message):
        self.seen.append(message)
        return self.take_outputs()


class FakeOwner:
    """Decides nothing."""

    def step(self, now_s, message):
        return []

    def owned_shards(self, now_s):
        return ()


class RateServiceTest(unittest.TestCase):
    """The clock is read after the decision, and messages find their way."""

    def setUp(self):
        self.clock = Clock()
        self.borrower = FakeBorrower(self.clock)
        self.sent = []
        self.decided = []
        self.rates = RateService(
            'n',
            self.borrower,
            FakeOwner(),
            TimerService(self.clock),
            self.sent.append,
            self.sent.append,
        )
        self.rates.decided = lambda *given: self.decided.append(given)

    def test_token_that_ended_while_the_process_slept_is_not_used(self):
        self.borrower.verdict = Admitted(valid_until_s=1.0)
        self.assertTrue(self.rates.admit(0.0, 'o', 1).granted)
        self.borrower.takes_s = 2.0
        late = self.rates.admit(0.0, 'o', 2)
        self.assertFalse(late.granted)
        self.assertEqual(late.retry_after_ms, RETRY_AFTER_MS)

    def test_waiting_and_refused_calls_are_told_apart(self):
        self.assertTrue(self.rates.admit(0.0, 'o', 1).waits)
        self.borrower.verdict = OverRate(70)
        self.assertEqual(self.rates.admit(0.0, 'o', 1).retry_after_ms, 70)

    def test_ends_of_waits_are_told_unless_the_token_ended(self):
        self.clock.advance(5)
        self.borrower.outputs = [Granted(1, 6.0), Granted(2, 4.0), Denied(3, 9)]
        self.rates.take(ControlArrived('m', None))
        self.assertEqual(self.decided, [(1, None), (2, RETRY_AFTER_MS), (3, 9)])

    def test_message_to_the_own_node_arrives_after_the_step(self):
        self.borrower.outputs = [SendControl('n', 'own'), SendControl('m', 'x')]
        self.rates.admit(0.0, 'o', 1)
        self.assertEqual(self.sent, [SendControl('m', 'x')])
        self.assertEqual(self.borrower.seen, [])
        self.clock.advance(0)
        self.assertEqual(self.borrower.seen, [ControlArrived('n', 'own')])
