"""Serving state machine."""

import unittest

from rattanstile.process.messages import (
    CallArrived,
    CancelArrived,
    CancelDispatch,
    Dispatch,
    DrainBegan,
    SendReply,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
    Ticked,
)
from rattanstile.process.serving.home_table import HomeTable
from rattanstile.process.serving.serving import ServingIdentity, ServingMachine
from rattanstile.request.envelope import Call, Cancel
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.request.priority import Priority
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

IDENTITY = ServingIdentity('node-1', 'node-1', 'no-east-1', 'claims')


def declaration(**changes):
    parts = {
        'organisations': (
            Organisation(
                name='north', rate_per_s=9, burst_calls=9, keys=('k',)
            ),
        ),
        'services': (
            Service(
                name='claims',
                routes=(Route(path='/'),),
                limits=TargetLimits(slots=4, cold_slots=1, cold_start_s=1.0),
            ),
        ),
        'failure_domains': (FailureDomain(name='no-east-1', region='no'),),
    }
    return Declaration(**(parts | changes))


class ServingHarness:
    """Serving state machine whose version in force can be replaced."""

    def __init__(self):
        self.version = VersionInForce(1, declaration())
        table = HomeTable(0.0, 'node-1', 7)
        self.machine = ServingMachine(
            IDENTITY, lambda: self.version, 0.0, table
        )

    def put_in_force(self, **changes):
        self.version = VersionInForce(2, declaration(**changes))

    def arrive(self, now_s, name, **fields):
        values = {
            'call_id': name,
            'attempt': 1,
            'organisation': 'north',
            'key_digest': 'k',
            'service': 'claims',
            'method': 'GET',
            'path': '/',
            'remaining_ms': 5000,
            'home': 'node-1',
        }
        call = Call(**(values | fields))
        return self.machine.step(now_s, CallArrived(call, 'entry'))

    def answer(self, now_s, name, **fields):
        return self.machine.step(
            now_s, TargetAnswered(name, 200, (), b'whole', **fields)
        )


def dispatched_ids(outputs):
    return [
        output.call.call_id
        for output in outputs
        if isinstance(output, Dispatch)
    ]


def replies(outputs):
    return [
        (output.reply.call_id, output.reply.outcome, output.reply.reason)
        for output in outputs
        if isinstance(output, SendReply)
    ]


class ServingMachineTest(unittest.TestCase):
    """Calls are checked twice, and one reported not run never ran."""

    def setUp(self):
        self.node = ServingHarness()

    def test_call_runs_and_its_answer_comes_back(self):
        self.assertEqual(dispatched_ids(self.node.arrive(0.0, 'a')), ['a'])
        self.assertEqual(
            replies(self.node.answer(0.1, 'a')), [('a', Outcome.WHOLE, None)]
        )
        self.assertTrue(self.node.machine.is_idle)

    def test_cold_target_gets_its_cold_slots_only(self):
        self.node.arrive(0.0, 'a')
        self.assertEqual(dispatched_ids(self.node.arrive(0.0, 'b')), [])
        self.assertEqual(dispatched_ids(self.node.answer(0.1, 'a')), ['b'])

    def test_key_withdrawn_while_queued_is_refused_before_dispatch(self):
        self.node.arrive(0.0, 'a')
        self.node.arrive(0.0, 'b')
        self.node.put_in_force(
            organisations=(
                Organisation(name='north', rate_per_s=9, burst_calls=9),
            )
        )
        outputs = self.node.answer(0.1, 'a')
        self.assertEqual(dispatched_ids(outputs), [])
        self.assertIn(
            ('b', Outcome.NOT_RUN, Reason.KEY_REFUSED), replies(outputs)
        )

    def test_call_queued_when_its_failure_domain_is_taken_out_is_refused(self):
        self.node.arrive(0.0, 'a')
        self.node.arrive(0.0, 'b')
        self.node.put_in_force(
            failure_domains=(
                FailureDomain(name='no-east-1', region='no', in_service=False),
            )
        )
        self.assertIn(
            ('b', Outcome.NOT_RUN, Reason.OUT_OF_SERVICE),
            replies(self.node.answer(0.1, 'a')),
        )

    def test_keyless_call_runs_only_on_a_route_open_to_all(self):
        outputs = self.node.arrive(0.0, 'a', organisation='', key_digest='')
        self.assertEqual(
            replies(outputs), [('a', Outcome.NOT_RUN, Reason.KEY_REFUSED)]
        )

    def test_queued_call_past_its_deadline_is_reported_not_run(self):
        self.node.arrive(0.0, 'a')
        self.node.arrive(0.0, 'b', remaining_ms=200)
        self.assertEqual(
            replies(self.node.machine.step(0.3, Ticked())),
            [('b', Outcome.NOT_RUN, Reason.DEADLINE)],
        )

    def test_cancel_of_a_queued_call_reports_not_run(self):
        self.node.arrive(0.0, 'a')
        self.node.arrive(0.0, 'b')
        cancel = CancelArrived(Cancel(call_id='b', attempt=1), 'entry')
        self.assertEqual(
            replies(self.node.machine.step(0.1, cancel)),
            [('b', Outcome.NOT_RUN, Reason.CANCELLED)],
        )
        self.assertEqual(dispatched_ids(self.node.answer(0.2, 'a')), [])

    def test_cancel_of_a_running_call_never_reports_not_run(self):
        self.node.arrive(0.0, 'a')
        cancel = CancelArrived(Cancel(call_id='a', attempt=1), 'entry')
        self.assertEqual(
            self.node.machine.step(0.1, cancel), [CancelDispatch('a')]
        )
        failed = TargetFailed('a', TargetFailure.CANCELLED)
        self.assertEqual(
            replies(self.node.machine.step(0.2, failed)),
            [('a', Outcome.UNKNOWN, Reason.CANCELLED)],
        )

    def test_second_attempt_of_a_running_call_joins_it(self):
        self.node.arrive(0.0, 'a')
        self.assertEqual(self.node.arrive(0.1, 'a', attempt=2), [])
        outputs = self.node.answer(0.2, 'a')
        self.assertEqual([output.reply.attempt for output in outputs], [1, 2])

    def test_draining_node_refuses_new_calls_and_finishes_its_own(self):
        self.node.arrive(0.0, 'a')
        self.node.arrive(0.0, 'b')
        self.node.machine.step(0.1, DrainBegan())
        self.assertEqual(
            replies(self.node.arrive(0.1, 'c')),
            [('c', Outcome.NOT_RUN, Reason.DRAINING)],
        )
        self.assertEqual(dispatched_ids(self.node.answer(0.2, 'a')), ['b'])
        self.node.answer(0.3, 'b')
        self.assertTrue(self.node.machine.is_idle)

    def test_running_call_past_its_deadline_keeps_its_slot(self):
        self.node.arrive(0.0, 'a', remaining_ms=100)
        outputs = self.node.machine.step(0.2, Ticked())
        self.assertEqual(
            replies(outputs), [('a', Outcome.UNKNOWN, Reason.DEADLINE)]
        )
        self.assertIn(CancelDispatch('a'), outputs)
        self.assertEqual(dispatched_ids(self.node.arrive(0.3, 'b')), [])
        self.assertEqual(replies(self.node.answer(0.4, 'a')), [])

    def test_each_joined_attempt_has_its_own_deadline(self):
        self.node.arrive(0.0, 'a', remaining_ms=100)
        self.node.arrive(0.0, 'a', attempt=2, remaining_ms=900)
        outputs = self.node.machine.step(0.2, Ticked())
        self.assertEqual(
            [output.reply.attempt for output in outputs],
            [1],
            'first attempt only',
        )
        outputs = self.node.answer(0.3, 'a')
        self.assertEqual(
            [
                (output.reply.attempt, output.reply.outcome)
                for output in outputs
            ],
            [(2, Outcome.WHOLE)],
        )

    def test_transaction_evicts_a_lookup_from_a_full_queue(self):
        for number in range(9):
            self.node.arrive(0.0, f'lookup-{number}')
        outputs = self.node.arrive(
            0.0, 'payment', priority=Priority.TRANSACTION
        )
        self.assertEqual(
            replies(outputs), [('lookup-8', Outcome.NOT_RUN, Reason.SHED)]
        )
        self.assertEqual(
            dispatched_ids(self.node.answer(0.1, 'lookup-0')), ['payment']
        )
