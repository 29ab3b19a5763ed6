"""The rate service of a node, with fake state machines."""

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
    """Returns preset verdicts and outputs, and may advance the clock."""

    def __init__(self, clock):
        self.clock = clock
        self.verdict = Waiting()
        self.outputs = []
        self.admit_duration_s = 0.0
        self.messages = []

    def admit(self, now_s, organisation, number):
        self.clock.advance(self.admit_duration_s)
        return self.verdict

    def take_outputs(self):
        outputs, self.outputs = self.outputs, []
        return outputs

    def step(self, now_s, message):
        self.messages.append(message)
        return self.take_outputs()


class FakeOwner:
    """Returns no outputs and owns no shards."""

    def step(self, now_s, message):
        return []

    def owned_shards(self, now_s):
        return ()


class RateServiceTest(unittest.TestCase):
    """The clock is read after the decision; messages are delivered."""

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
        self.rates.decided = lambda *decision: self.decided.append(decision)

    def test_token_that_expired_while_suspended_is_not_used(self):
        self.borrower.verdict = Admitted(valid_until_s=1.0)
        self.assertTrue(self.rates.admit(0.0, 'o', 1).granted)
        self.borrower.admit_duration_s = 2.0
        admission = self.rates.admit(0.0, 'o', 2)
        self.assertFalse(admission.granted)
        self.assertEqual(admission.retry_after_ms, RETRY_AFTER_MS)

    def test_waiting_and_refused_calls_are_distinguished(self):
        self.assertTrue(self.rates.admit(0.0, 'o', 1).waits)
        self.borrower.verdict = OverRate(70)
        self.assertEqual(self.rates.admit(0.0, 'o', 1).retry_after_ms, 70)

    def test_decisions_are_reported_and_expired_tokens_refused(self):
        self.clock.advance(5)
        self.borrower.outputs = [Granted(1, 6.0), Granted(2, 4.0), Denied(3, 9)]
        self.rates.take(ControlArrived('m', None))
        self.assertEqual(self.decided, [(1, None), (2, RETRY_AFTER_MS), (3, 9)])

    def test_message_to_the_same_node_is_delivered_after_the_step(self):
        self.borrower.outputs = [SendControl('n', 'own'), SendControl('m', 'x')]
        self.rates.admit(0.0, 'o', 1)
        self.assertEqual(self.sent, [SendControl('m', 'x')])
        self.assertEqual(self.borrower.messages, [])
        self.clock.advance(0)
        self.assertEqual(self.borrower.messages, [ControlArrived('n', 'own')])
