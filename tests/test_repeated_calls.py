"""Repeated calls at the node that serves them, and their refusals."""

import unittest

from mesh_samples import USABLE, config, context, served_call
from test_serving_desk import (
    NO_DEPARTURE,
    RESPONSE,
    Dialect,
    Pool,
    announcement,
)

from rattanstile.connection.peer_messages import CallResponse
from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.process.mesh.placement.call_endings import (
    decode_ending,
    encode_ending,
)
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.process.mesh.serving.target_watch import TargetWatch
from rattanstile.request.exchange import NotRun, NotRunReason, Unknown
from rattanstile.version.fleet_config import FleetState

CALLS_PER_RUN = 4.0


class RepeatedCallTest(unittest.TestCase):
    """A target whose runs make four calls, and a retry budget for them."""

    def setUp(self):
        state = FleetState(1, config(), b'', frozenset())
        made, self.clock, _ = context(state)
        self.pool = Pool()
        self.ends = []
        self.budget = RerunBudget(0.2, 0, lambda: 0.0)
        self.desk = ServingHandler(
            made,
            TargetWatch('registry'),
            self.pool,
            Dialect(),
            lambda: None,
            self.budget,
        )
        self.desk.watch.restore_departure(0, NO_DEPARTURE)
        self.desk.announced(announcement(slots=4))
        needs = {RunKind('tax', 'taxes'): CALLS_PER_RUN}
        self.desk.attribution.calls_of = lambda route: needs

    def begin(self, name, *, is_repeat):
        call = served_call(name, is_repeat=is_repeat)
        self.desk.begin(name, call, self.ends.append)

    def earn(self, requests):
        """Make first attempts for ten seconds."""
        for _ in range(requests):
            self.clock.advance(10 / requests)
            self.budget.record_first_attempt(
                self.clock.seconds(), 'taxes', is_repeat=False
            )

    def left(self):
        return self.budget.left(self.clock.seconds(), 'taxes')

    def test_repeated_run_without_room_is_refused_unsent(self):
        """Its calls were counted as repeats, but sent in any case."""
        self.begin('repeated', is_repeat=True)
        self.assertEqual(self.ends, [NotRun(NotRunReason.RETRY_BUDGET)])
        self.assertEqual(self.pool.sent, [])
        self.begin('first', is_repeat=False)
        self.assertEqual(len(self.pool.sent), 1)

    def test_accepted_run_reserves_its_calls_until_it_ends(self):
        """Two runs don't share the same budget."""
        self.earn(40)
        left = self.left()
        self.begin('a', is_repeat=True)
        self.assertAlmostEqual(self.left(), left - CALLS_PER_RUN)
        self.begin('b', is_repeat=True)
        self.assertEqual(self.ends, [NotRun(NotRunReason.RETRY_BUDGET)])
        self.pool.sent[0].ended(RESPONSE)
        self.assertAlmostEqual(self.left(), left)

    def test_cancelled_and_refused_calls_release_their_budget(self):
        """They would have kept it until the node restarts."""
        self.earn(1000)
        left = self.left()
        for name in 'abcdef':
            self.begin(name, is_repeat=True)
        self.assertLess(self.left(), left - CALLS_PER_RUN)
        for name in 'abc':
            self.desk.cancel(name)
        self.desk.stop_accepting()
        for exchange in self.pool.sent:
            if not exchange.over:
                exchange.ended(RESPONSE)
        self.assertAlmostEqual(self.left(), left)

    def test_call_without_urgency_has_its_own_priority(self):
        """Older nodes don't state the urgency of the root request."""
        self.assertEqual(served_call(priority=2).root_priority, 2)
        self.assertEqual(served_call(priority=2, urgency=0).root_priority, 0)

    def test_runs_are_known_while_they_are_on_the_target(self):
        """A run that is never removed would be taken for the caller later."""
        self.begin('a', is_repeat=False)
        self.assertEqual(len(self.desk.positions), 1)
        self.pool.sent[0].ended(RESPONSE)
        self.begin('b', is_repeat=False)
        self.desk.cancel('b')
        self.assertEqual(len(self.desk.positions), 0)

    def test_older_nodes_understand_the_refusal(self):
        """They raise an error on a reason that they don't know."""
        message = encode_ending(
            1, NotRun(NotRunReason.RETRY_BUDGET), USABLE, ()
        )
        self.assertEqual(message.not_run, NotRunReason.QUEUE_FULL.value)
        decoded = decode_ending(message)
        self.assertEqual(decoded, NotRun(NotRunReason.RETRY_BUDGET))

    def test_values_of_newer_nodes_end_only_their_call(self):
        """An error would have ended the connection with all its calls."""
        not_run = CallResponse(1, None, 250, 0, USABLE, not_run_detail=251)
        self.assertIsInstance(decode_ending(not_run), NotRun)
        unknown = CallResponse(1, None, 0, 250, USABLE)
        self.assertIsInstance(decode_ending(unknown), Unknown)
