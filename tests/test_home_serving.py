"""Home table and serving machine together: cancels, copies, restarts."""

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
from rattanstile.request.call_id import ParsedCallId
from rattanstile.request.envelope import Call, Cancel
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import (
    Declaration,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

VERSION = VersionInForce(
    1,
    Declaration(
        organisations=(
            Organisation(
                name='one', rate_per_s=9, burst_calls=9, keys=('digest',)
            ),
        ),
        services=(
            Service(
                name='claims',
                routes=(Route(kind='claim', idempotent=False),),
                limits=TargetLimits(slots=1),
            ),
        ),
    ),
)


def copy(sequence=1, attempt=1, remaining_ms=5000):
    """Return a copy of a claim whose home is `home`, incarnation 7."""
    parsed = ParsedCallId('home', 7, 1, 'entry', 1, sequence)
    return Call(
        call_id=parsed.render(),
        attempt=attempt,
        organisation='one',
        key_digest='digest',
        service='claims',
        method='POST',
        path='/',
        idempotent=False,
        remaining_ms=remaining_ms,
        home='home',
    )


class HomeServingTest(unittest.TestCase):
    """One slot: the first call runs, the second waits."""

    def setUp(self):
        self.start(7)

    def start(self, incarnation):
        identity = ServingIdentity('home', 'home', 'fd', 'claims')
        table = HomeTable(0, 'home', incarnation)
        self.serving = ServingMachine(identity, lambda: VERSION, 0, table)

    def step(self, serving_input, now_s=0.0):
        return self.serving.step(now_s, serving_input)

    def arrive(self, call, sender='entry', now_s=0.0):
        return self.step(CallArrived(call, sender), now_s)

    def told(self, outputs):
        """Return whom each reply goes to and what it says."""
        return [
            (output.receiver, output.reply.attempt, output.reply.outcome)
            for output in outputs
            if isinstance(output, SendReply)
        ]

    def run_one_queue_one(self):
        (dispatched,) = self.arrive(copy())
        self.assertIsInstance(dispatched, Dispatch)
        self.assertEqual(self.arrive(copy(2)), [])

    def answer(self, now_s=0.0):
        answered = TargetAnswered(copy().call_id, 200, (), b'done')
        return self.step(answered, now_s)

    def cancel(self, call, sender='entry'):
        cancel = Cancel(call_id=call.call_id, attempt=call.attempt)
        return self.step(CancelArrived(cancel, sender))

    def test_copies_through_two_nodes_get_one_run(self):
        self.run_one_queue_one()
        self.assertEqual(self.arrive(copy(attempt=1), 'other'), [])
        told = self.told(self.answer())
        whole = Outcome.WHOLE
        self.assertEqual(told, [('entry', 1, whole), ('other', 1, whole)])

    def test_cancel_of_one_attempt_leaves_the_call_to_the_other(self):
        self.run_one_queue_one()
        self.arrive(copy(2, attempt=2), 'other')
        self.assertEqual(self.cancel(copy(2)), [])
        outputs = self.answer()
        self.assertIn(
            copy(2).call_id,
            [
                output.call.call_id
                for output in outputs
                if isinstance(output, Dispatch)
            ],
        )

    def test_copy_of_a_cancelled_queued_call_never_runs(self):
        self.run_one_queue_one()
        told = self.told(self.cancel(copy(2)))
        self.assertEqual(told, [('entry', 1, Outcome.NOT_RUN)])
        self.answer()
        told = self.told(self.arrive(copy(2, attempt=2), 'other'))
        self.assertEqual(told, [('other', 2, Outcome.NOT_RUN)])

    def test_cancel_that_crosses_the_dispatch_is_never_not_run(self):
        self.run_one_queue_one()
        self.assertEqual(self.cancel(copy()), [CancelDispatch(copy().call_id)])
        self.assertEqual(self.arrive(copy(attempt=2), 'other'), [])
        failed = TargetFailed(copy().call_id, TargetFailure.CANCELLED)
        outcomes = {outcome for _, _, outcome in self.told(self.step(failed))}
        self.assertEqual(outcomes, {Outcome.UNKNOWN})
        told = self.told(self.arrive(copy(attempt=3), 'third'))
        self.assertEqual(told, [('third', 3, Outcome.UNKNOWN)])

    def test_answer_that_beats_its_cancel_is_kept(self):
        self.run_one_queue_one()
        self.cancel(copy())
        self.answer()
        told = self.told(self.arrive(copy(attempt=2), 'other'))
        self.assertEqual(told, [('other', 2, Outcome.WHOLE)])

    def test_answer_after_the_deadline_is_there_for_a_copy(self):
        self.arrive(copy(remaining_ms=100))
        told = self.told(self.step(Ticked(), 0.2))
        self.assertEqual(told, [('entry', 1, Outcome.UNKNOWN)])
        self.answer(0.3)
        told = self.told(self.arrive(copy(attempt=2), 'other', 0.4))
        self.assertEqual(told, [('other', 2, Outcome.WHOLE)])

    def test_draining_home_lets_copies_join_and_refuses_new_calls(self):
        self.run_one_queue_one()
        self.step(DrainBegan())
        self.assertEqual(self.arrive(copy(attempt=2), 'other'), [])
        told = self.told(self.arrive(copy(3)))
        self.assertEqual(told, [('entry', 1, Outcome.NOT_RUN)])
        self.assertEqual(len(self.told(self.answer())), 2)

    def test_restarted_home_runs_no_call_of_the_earlier_one(self):
        self.run_one_queue_one()
        self.start(8)
        for sequence in (1, 2, 3):
            (output,) = self.arrive(copy(sequence, attempt=2))
            self.assertIs(output.reply.outcome, Outcome.UNKNOWN)
            self.assertIs(output.reply.reason, Reason.HOME_GONE)
