"""Home table and serving machine: cancels, later attempts, restarts."""

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


def claim_call(sequence=1, attempt=1, remaining_ms=5000):
    """Return an attempt of a claim whose home is `home`, incarnation 7."""
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
    """The target has one slot: the first call runs, the second is queued."""

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

    def replies_sent(self, outputs):
        """Return receiver, attempt and outcome of each reply."""
        return [
            (output.receiver, output.reply.attempt, output.reply.outcome)
            for output in outputs
            if isinstance(output, SendReply)
        ]

    def run_one_queue_one(self):
        (dispatched,) = self.arrive(claim_call())
        self.assertIsInstance(dispatched, Dispatch)
        self.assertEqual(self.arrive(claim_call(2)), [])

    def answer(self, now_s=0.0):
        answered = TargetAnswered(claim_call().call_id, 200, (), b'done')
        return self.step(answered, now_s)

    def cancel(self, call, sender='entry'):
        cancel = Cancel(call_id=call.call_id, attempt=call.attempt)
        return self.step(CancelArrived(cancel, sender))

    def test_attempts_through_two_nodes_share_one_run(self):
        self.run_one_queue_one()
        self.assertEqual(self.arrive(claim_call(attempt=1), 'other'), [])
        replies_sent = self.replies_sent(self.answer())
        whole = Outcome.WHOLE
        self.assertEqual(
            replies_sent, [('entry', 1, whole), ('other', 1, whole)]
        )

    def test_call_still_runs_after_cancel_of_one_of_two_attempts(self):
        self.run_one_queue_one()
        self.arrive(claim_call(2, attempt=2), 'other')
        self.assertEqual(self.cancel(claim_call(2)), [])
        outputs = self.answer()
        self.assertIn(
            claim_call(2).call_id,
            [
                output.call.call_id
                for output in outputs
                if isinstance(output, Dispatch)
            ],
        )

    def test_later_attempt_of_a_cancelled_queued_call_never_runs(self):
        self.run_one_queue_one()
        replies_sent = self.replies_sent(self.cancel(claim_call(2)))
        self.assertEqual(replies_sent, [('entry', 1, Outcome.NOT_RUN)])
        self.answer()
        replies_sent = self.replies_sent(
            self.arrive(claim_call(2, attempt=2), 'other')
        )
        self.assertEqual(replies_sent, [('other', 2, Outcome.NOT_RUN)])

    def test_cancel_after_dispatch_never_reports_not_run(self):
        self.run_one_queue_one()
        self.assertEqual(
            self.cancel(claim_call()), [CancelDispatch(claim_call().call_id)]
        )
        self.assertEqual(self.arrive(claim_call(attempt=2), 'other'), [])
        failed = TargetFailed(claim_call().call_id, TargetFailure.CANCELLED)
        outcomes = {
            outcome for _, _, outcome in self.replies_sent(self.step(failed))
        }
        self.assertEqual(outcomes, {Outcome.UNKNOWN})
        replies_sent = self.replies_sent(
            self.arrive(claim_call(attempt=3), 'third')
        )
        self.assertEqual(replies_sent, [('third', 3, Outcome.UNKNOWN)])

    def test_answer_that_arrives_despite_a_cancel_is_replayed(self):
        self.run_one_queue_one()
        self.cancel(claim_call())
        self.answer()
        replies_sent = self.replies_sent(
            self.arrive(claim_call(attempt=2), 'other')
        )
        self.assertEqual(replies_sent, [('other', 2, Outcome.WHOLE)])

    def test_answer_after_the_deadline_is_replayed(self):
        self.arrive(claim_call(remaining_ms=100))
        replies_sent = self.replies_sent(self.step(Ticked(), 0.2))
        self.assertEqual(replies_sent, [('entry', 1, Outcome.UNKNOWN)])
        self.answer(0.3)
        replies_sent = self.replies_sent(
            self.arrive(claim_call(attempt=2), 'other', 0.4)
        )
        self.assertEqual(replies_sent, [('other', 2, Outcome.WHOLE)])

    def test_draining_home_lets_attempts_join_and_refuses_new_calls(self):
        self.run_one_queue_one()
        self.step(DrainBegan())
        self.assertEqual(self.arrive(claim_call(attempt=2), 'other'), [])
        replies_sent = self.replies_sent(self.arrive(claim_call(3)))
        self.assertEqual(replies_sent, [('entry', 1, Outcome.NOT_RUN)])
        self.assertEqual(len(self.replies_sent(self.answer())), 2)

    def test_restarted_home_runs_no_call_of_its_earlier_incarnation(self):
        self.run_one_queue_one()
        self.start(8)
        for sequence in (1, 2, 3):
            (output,) = self.arrive(claim_call(sequence, attempt=2))
            self.assertIs(output.reply.outcome, Outcome.UNKNOWN)
            self.assertIs(output.reply.reason, Reason.HOME_GONE)
