"""Tests of load shedding in front of the entry machine."""

import unittest
from random import Random

from rattanstile.process.entry.shedding import SheddingEntry
from rattanstile.process.messages import (
    CallRequested,
    ReplyArrived,
    RequestCompleted,
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


class SendingEntry:
    """Entry machine that sends every request to the same node."""

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


def call_request(request_id, route=ROUTES[0], **fields):
    values = {
        'request_id': request_id,
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
    """Calls are shed by the pressure that replies reported."""

    def setUp(self):
        self.entry = SheddingEntry(SendingEntry(), lambda: VERSION, Random(1))

    def report_pressure(self, pressure, request_id=1, **fields):
        self.entry.step(0.0, call_request(request_id))
        reply = Reply(
            call_id=str(request_id),
            attempt=1,
            outcome=Outcome.WHOLE,
            pressure=pressure,
            pressure_ceiling=pressure,
            limit=4,
            **fields,
        )
        self.entry.step(0.0, ReplyArrived(reply, 'n1'))

    def step_request(self, *args, **fields):
        (output,) = self.entry.step(0.1, call_request(*args, **fields))
        return output

    def test_call_is_sent_without_pressure(self):
        self.assertIsInstance(self.step_request(2), SendCall)

    def test_share_of_the_marginal_priority_is_shed(self):
        self.report_pressure(1.4)
        shed_count = sum(
            isinstance(self.step_request(request_id), RequestCompleted)
            for request_id in range(2, 502)
        )
        self.assertLess(abs(shed_count - 200), 40)

    def test_refusal_is_shed_and_not_run_and_reports_the_pressure(self):
        self.report_pressure(1.98)
        finished = self.step_request(2, shed_draw=0.5)
        self.assertEqual(finished.reply.outcome, Outcome.NOT_RUN)
        self.assertEqual(finished.reply.reason, Reason.SHED)
        self.assertGreater(finished.reply.retry_after_ms, 0)
        self.assertAlmostEqual(finished.reply.pressure, 1.98)

    def test_payment_is_sent_while_lookups_are_shed(self):
        self.report_pressure(2.0)
        self.assertIsInstance(
            self.step_request(2, shed_draw=0.9), RequestCompleted
        )
        sent = self.step_request(3, ROUTES[1], shed_draw=0.0)
        self.assertIsInstance(sent, SendCall)

    def test_shed_later_attempt_is_unknown(self):
        self.report_pressure(1.98)
        finished = self.step_request(2, shed_draw=0.1, attempt=2)
        self.assertEqual(finished.reply.outcome, Outcome.UNKNOWN)

    def test_child_of_an_admitted_tree_is_not_shed_by_equal_pressure(self):
        self.report_pressure(1.5)
        sent = self.step_request(2, shed_draw=0.51)
        self.assertEqual(sent.call.shed_draw, 0.51)
        self.assertAlmostEqual(sent.call.shed_pressure, 1.5)
        child = self.step_request(3, shed_draw=0.45, hops=1)
        self.assertIsInstance(child, SendCall)

    def test_subtree_pressure_sheds_calls_of_the_same_route(self):
        self.report_pressure(0.0, subtree_pressure=1.9, subtree_ceiling=1.9)
        self.assertIsInstance(
            self.step_request(2, shed_draw=0.8), RequestCompleted
        )
        sent = self.step_request(3, ROUTES[1], shed_draw=0.8)
        self.assertIsInstance(sent, SendCall)

    def test_child_keeps_the_priority_of_its_parent(self):
        self.report_pressure(1.9)
        sent = self.step_request(
            2, shed_draw=0.1, priority=Priority.TRANSACTION
        )
        self.assertIsInstance(sent, SendCall)
