"""Shedding in front of the entry machine."""

import unittest
from random import Random

from rattanstile.process.entry.shedding import SheddingEntry
from rattanstile.process.messages import (
    CallRequested,
    Finished,
    ReplyArrived,
    SendCall,
)
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.request.priority import Priority
from rattanstile.version.declaration import (
    Declaration,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

ROUTES = (
    Route(path='/', kind='lookup'),
    Route(path='/pay', kind='payment', idempotent=False),
)
VERSION = VersionInForce(
    1,
    Declaration(
        services=(
            Service(name='claims', routes=ROUTES, limits=TargetLimits(slots=4)),
        )
    ),
)


class SendsAll:
    """An entry machine that sends every request to one node."""

    def step(self, now_s, entry_input):
        if not isinstance(entry_input, CallRequested):
            return []
        call = Call(
            call_id=str(entry_input.request_id),
            attempt=1,
            organisation=entry_input.organisation,
            key_digest='',
            service=entry_input.service,
            method=entry_input.method,
            path=entry_input.path,
            priority=entry_input.route.request_kind.priority,
            remaining_ms=1000,
            home='n1',
            shed_draw=entry_input.shed_draw,
            shed_pressure=entry_input.shed_pressure,
        )
        return [SendCall(call, 'n1')]


def requested(number, route=ROUTES[0], **fields):
    values = {
        'request_id': number,
        'call_id': '',
        'attempt': 1,
        'organisation': 'north',
        'key_digest': '',
        'service': 'claims',
        'method': 'GET',
        'path': route.path,
        'headers': (),
        'body': b'',
        'route': route,
        'remaining_ms': 1000,
        'tries_left': 1,
        'hops': 0,
    }
    return CallRequested(**(values | fields))


class SheddingEntryTest(unittest.TestCase):
    """Calls are refused under the pressure that replies told."""

    def setUp(self):
        self.entry = SheddingEntry(SendsAll(), lambda: VERSION, Random(1))

    def tell(self, pressure, number=1, **fields):
        self.entry.step(0.0, requested(number))
        reply = Reply(
            call_id=str(number),
            attempt=1,
            outcome=Outcome.WHOLE,
            pressure=pressure,
            pressure_ceiling=pressure,
            limit=4,
            **fields,
        )
        self.entry.step(0.0, ReplyArrived(reply, 'n1'))

    def sent(self, *args, **fields):
        (output,) = self.entry.step(0.1, requested(*args, **fields))
        return output

    def test_call_passes_without_pressure(self):
        self.assertIsInstance(self.sent(2), SendCall)

    def test_share_of_the_marginal_priority_is_shed(self):
        self.tell(1.4)
        shed = sum(
            isinstance(self.sent(number), Finished) for number in range(2, 502)
        )
        self.assertLess(abs(shed - 200), 40)

    def test_refusal_says_shed_and_not_run_and_tells_the_pressure(self):
        self.tell(1.98)
        finished = self.sent(2, shed_draw=0.5)
        self.assertEqual(finished.reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(finished.reply.reason, Reason.SHED)
        self.assertGreater(finished.reply.retry_after_ms, 0)
        self.assertAlmostEqual(finished.reply.pressure, 1.98)

    def test_payment_passes_while_lookups_are_shed(self):
        self.tell(2.0)
        self.assertIsInstance(self.sent(2, shed_draw=0.9), Finished)
        passed = self.sent(3, ROUTES[1], shed_draw=0.0)
        self.assertIsInstance(passed, SendCall)

    def test_later_attempt_is_never_said_not_run_by_the_entry(self):
        self.tell(1.98)
        finished = self.sent(2, shed_draw=0.1, attempt=2)
        self.assertEqual(finished.reply.outcome, Outcome.UNKNOWN)

    def test_tree_that_was_admitted_is_not_shed_below_by_the_same(self):
        self.tell(1.5)
        passed = self.sent(2, shed_draw=0.51)
        self.assertEqual(passed.call.shed_draw, 0.51)
        self.assertAlmostEqual(passed.call.shed_pressure, 1.5)
        below = self.sent(3, shed_draw=0.45, hops=1)
        self.assertIsInstance(below, SendCall)

    def test_pressure_of_calls_further_down_sheds_this_route(self):
        self.tell(0.0, subtree_pressure=1.9, subtree_ceiling=1.9)
        self.assertIsInstance(self.sent(2, shed_draw=0.8), Finished)
        passed = self.sent(3, ROUTES[1], shed_draw=0.8)
        self.assertIsInstance(passed, SendCall)

    def test_child_keeps_the_priority_of_its_parent(self):
        self.tell(1.9)
        passed = self.sent(2, shed_draw=0.1, priority=Priority.TRANSACTION)
        self.assertIsInstance(passed, SendCall)
