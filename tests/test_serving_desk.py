"""Tests of running calls from all nodes on the local target."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from mesh_samples import ANSWER, USABLE, config, context, served_call
from test_target_watch import announcement

from rattanstile.connection.http_client import (
    ExchangeFailure,
    ResponseMatch,
)
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.ports import RunAnswered, RunRefused
from rattanstile.process.mesh.rollout.rollout_verdict import Verdict
from rattanstile.process.mesh.serving.past_incarnations import (
    NO_DEPARTURE,
    TargetDeparture,
)
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.process.mesh.serving.target_watch import (
    TargetState,
    TargetWatch,
)
from rattanstile.request.exchange import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from rattanstile.version.fleet_config import FleetState, RolloutOrder

RESPONSE = HttpResponse(200, b'OK', (), b'')


class Pool:
    """A target pool whose exchanges are ended by the test."""

    def __init__(self):
        self.sent = []
        self.connection_limit = 64
        self.open_connections = 1

    def send(
        self,
        written,
        ended,
        is_head=False,
        check_response=None,
        body_sink=None,
        max_body_bytes=None,
    ):
        exchange = SimpleNamespace(written=written, ended=ended, over=False)
        self.sent.append(exchange)
        return exchange

    def abandon(self, exchange):
        if not exchange.over:
            exchange.over = True
            exchange.ended(ExchangeFailure.ABANDONED)


class Dialect:
    """Encodes a call as its id; the test sets what a response means."""

    meaning = RunAnswered(ANSWER)

    def encode_call(self, call, target_id, remaining_ms):
        return call.request_id

    def encode_probe(self, health_path):
        return 'probe'

    def match_answer(self, call, response):
        return ResponseMatch.OWN

    def match_probe(self, response):
        return ResponseMatch.OWN

    def decode_answer(self, response):
        return self.meaning


class ServingDeskTest(unittest.TestCase):
    """Calls to one target, and their failures."""

    def setUp(self):
        state = FleetState(1, config(), b'', frozenset())
        self.context, self.clock, self.kept = context(state)
        self.pool = Pool()
        self.codec = Dialect()
        self.usable_reports = []
        self.ends = []
        self.desk = ServingHandler(
            self.context,
            TargetWatch('registry'),
            self.pool,
            self.codec,
            lambda: self.usable_reports.append(self.desk.is_usable),
        )
        self.desk.watch.restore_departure(0, NO_DEPARTURE)
        self.desk.announced(announcement(slots=2))

    def begin(self, name='a', **changes):
        self.desk.begin(name, served_call(name, **changes), self.ends.append)

    def order_rollout(self, version, verdict=Verdict.NONE):
        order = RolloutOrder('registry', version, 10.0, 0.0, verdict)
        self.context.rollouts.set_orders([order])

    def test_version_under_test_runs_only_paid_calls(self):
        """Nodes that don't know of the order, or its version, send others."""
        self.desk.announced(announcement(slots=2, sequence=9, version='v2'))
        self.order_rollout('v2')
        self.begin('unpaid')
        self.assertEqual(self.ends, [NotRun(NotRunReason.NO_TARGET)])
        self.desk.begin(
            'paid', served_call('paid'), self.ends.append, is_exposed=True
        )
        self.assertEqual(len(self.pool.sent), 1)

    def test_old_target_closes_when_the_new_version_is_in_use(self):
        """What runs is finished; what comes goes elsewhere, unrun."""
        self.desk.announced(announcement(slots=2, sequence=9, version='v1'))
        self.begin('running')
        self.order_rollout('v2', Verdict.COMPLETED)
        self.desk.check(0.1)
        self.begin('late')
        self.assertEqual(self.ends, [NotRun(NotRunReason.NO_TARGET)])
        self.assertFalse(self.usable_reports[-1])
        self.pool.sent[0].ended(RESPONSE)
        self.assertEqual(self.ends[-1], Answered(ANSWER))

    def test_new_version_of_the_target_is_reported(self):
        """Other nodes would take it for an old target."""
        reports = len(self.usable_reports)
        self.desk.announced(announcement(slots=2, sequence=9, version='v2'))
        self.assertEqual(len(self.usable_reports), reports + 1)

    def test_an_answer_ends_the_call(self):
        """Its slot is free again."""
        self.begin()
        self.pool.sent[0].ended(RESPONSE)
        self.assertEqual(self.ends, [Answered(ANSWER)])
        self.assertEqual(self.desk.queue.in_flight, 0)

    def test_a_lost_answer_doesn_t_keep_its_slot(self):
        """A call without any answer ends shortly after its deadline."""
        self.begin()
        self.clock.advance(2.2)
        self.desk.check(self.clock.seconds())
        self.assertEqual(self.ends, [])
        self.clock.advance(0.2)
        self.desk.check(self.clock.seconds())
        self.assertEqual(self.ends, [Unknown(UnknownReason.DEADLINE)])
        self.assertEqual(self.desk.queue.in_flight, 0)
        self.assertEqual(self.desk.in_hand, 0)

    def test_a_cancelled_call_closes_its_connection(self):
        """Its ending is not reported."""
        self.begin()
        self.desk.cancel('a')
        self.assertTrue(self.pool.sent[0].over)
        self.assertEqual(self.ends, [])
        self.assertEqual(self.desk.queue.in_flight, 0)

    def test_a_refused_call_has_not_run(self):
        """Another node may run it."""
        self.codec.meaning = RunRefused(is_other_target=False)
        self.begin()
        self.pool.sent[0].ended(RESPONSE)
        self.assertEqual(self.ends, [NotRun(NotRunReason.TARGET_REFUSED)])

    def test_refusals_raise_the_reported_failing_share(self):
        """Otherwise the target looks idle, and other nodes send it more."""
        self.codec.meaning = RunRefused(is_other_target=False)
        for _ in range(40):
            self.begin()
            self.pool.sent[-1].ended(RESPONSE)
        self.assertGreater(self.desk.load().failing_percent, 70)

    def test_another_target_at_the_address_is_not_used(self):
        """Another incarnation is not used until it announces itself."""
        self.codec.meaning = RunRefused(is_other_target=True)
        self.begin()
        self.pool.sent[0].ended(RESPONSE)
        self.assertFalse(self.desk.is_usable)

    def test_a_refused_connection_has_run_nothing(self):
        """Waiting calls are refused, and other nodes get a load report."""
        for name in ('a', 'b', 'c'):
            self.begin(name)
        self.pool.sent[0].ended(ExchangeFailure.UNSENT)
        reasons = [end.reason for end in self.ends]
        self.assertIn(NotRunReason.TARGET_UNREACHED, reasons)
        self.assertIn(NotRunReason.TARGET_LEAVING, reasons)
        self.assertEqual(self.usable_reports[-1], False)

    def test_a_reset_has_an_unknown_outcome(self):
        """A reset that leaves other connections open is not a restart."""
        self.begin()
        self.pool.sent[0].ended(ExchangeFailure.RESET)
        self.assertEqual(self.ends, [Unknown(UnknownReason.ANSWER_LOST)])
        self.assertTrue(self.desk.is_usable)

    def test_a_draining_target_gets_no_more_calls(self):
        """Running calls go on; waiting calls are refused for another node."""
        for name in ('a', 'b', 'c'):
            self.begin(name)
        draining = announcement(slots=2, sequence=2, state=TargetState.DRAINING)
        self.desk.announced(draining)
        self.assertEqual(len(self.ends), 2)
        self.begin('d')
        self.assertEqual(self.ends[-1], NotRun(NotRunReason.TARGET_LEAVING))
        self.pool.sent[0].ended(RESPONSE)
        self.assertEqual(self.ends[-1], Answered(ANSWER))

    def test_calls_do_not_wait_for_a_target_of_another_service(self):
        """Its announcement came while calls of the service before waited."""
        for name in ('a', 'b', 'c'):
            self.begin(name)
        sent = len(self.pool.sent)
        other = announcement(
            target_id='i-next', born_ms=20, slots=9, service='other'
        )
        self.desk.announced(other)
        self.assertEqual(len(self.pool.sent), sent)
        self.assertEqual(len(self.ends), 3 - sent)

    def test_a_deregistered_target_gets_no_more_calls(self):
        """Also if it did not drain before."""
        self.desk.deregistered(TargetDeparture('i-1', 0))
        self.begin()
        self.assertEqual(self.ends, [NotRun(NotRunReason.TARGET_LEAVING)])

    def test_a_call_that_outlasts_the_process_is_refused(self):
        """It was cut at the end of the process, though it had not to begin."""
        self.desk.accept_until(1.5)
        self.begin('long', idempotent=False)
        self.assertEqual(self.ends, [NotRun(NotRunReason.TARGET_LEAVING)])
        self.assertEqual(self.pool.sent, [])
        self.begin('short', remaining_ms=1400)
        self.assertEqual(len(self.pool.sent), 1)

    def test_a_waiting_call_that_outlasts_the_process_is_refused(self):
        """It would be sent to the target while the process is about to end."""
        for name in ('a', 'b', 'c'):
            self.begin(name)
        sent_calls = len(self.pool.sent)
        waiting_calls = self.desk.queue.waiting
        self.assertGreater(waiting_calls, 0)
        self.desk.accept_until(1.5)
        refused = [NotRun(NotRunReason.TARGET_LEAVING)] * waiting_calls
        self.assertEqual(self.ends, refused)
        self.pool.sent[0].ended(RESPONSE)
        self.assertEqual(len(self.pool.sent), sent_calls)

    def test_an_evacuated_domain_gets_no_calls(self):
        """Its target is probed before it is used again."""
        self.kept.state = FleetState(2, config(), b'', frozenset(('east',)))
        self.desk.check(0.1)
        self.begin()
        self.assertEqual(self.ends, [NotRun(NotRunReason.NO_TARGET)])
        self.kept.state = FleetState(3, config(), b'', frozenset())
        self.desk.check(0.2)
        self.assertFalse(self.desk.is_usable)
        self.assertEqual(self.pool.sent[-1].written, 'probe')

    def test_a_cold_target_without_a_declared_cold_rate_is_not_limited(self):
        """It got one call a second, and its service seemed unavailable."""
        fleet = config()
        registry = replace(fleet.services['registry'], cold_calls_per_s=0)
        fleet = replace(fleet, number=2, services={'registry': registry})
        self.kept.state = FleetState(2, fleet, b'', frozenset())
        self.desk.announced(announcement(sequence=2, slots=20, cold_s=3.0))
        for number in range(15):
            self.begin(f'call-{number}')
        self.assertEqual(len(self.pool.sent), 15)
        load = self.desk.load()
        self.assertEqual(load.cold_ms, 0)
        self.assertGreater(load.capacity_deci_per_s, 0)
        self.assertEqual(load.limit, self.desk.queue.limit)

    def test_waiting_calls_of_such_a_target_are_not_late(self):
        """The periodic check still took it for one call a second."""
        fleet = config()
        registry = replace(fleet.services['registry'], cold_calls_per_s=0)
        fleet = replace(fleet, number=2, services={'registry': registry})
        self.kept.state = FleetState(2, fleet, b'', frozenset())
        self.desk.announced(announcement(sequence=2, slots=4, cold_s=3.0))
        for number in range(12):
            self.begin(f'call-{number}')
        self.assertGreater(self.desk.queue.waiting, 0)
        self.clock.advance(0.1)
        self.desk.check(self.clock.seconds())
        self.assertEqual(self.ends, [])

    def test_a_call_for_another_service_is_refused(self):
        """Another node had the address before."""
        self.begin(service='other')
        self.assertEqual(self.ends, [NotRun(NotRunReason.NO_TARGET)])

    def test_a_full_target_passes_a_call_on_once(self):
        """It would wait here while another target is idle."""
        idle = Candidate('n2', 'registry', 'east', USABLE)
        self.desk.siblings = lambda: (idle,)
        self.begin('a')
        self.begin('b')
        self.assertEqual(self.ends, [NotRun(NotRunReason.QUEUE_FULL)])
        self.assertEqual(self.desk.in_hand, 1)
        self.assertEqual(self.context.counters.not_taken['passed_on'], 1)
        self.assertIn('call_passed_on', self.context.log.events())
        self.begin('b', moves=1)
        self.assertEqual((len(self.ends), self.desk.queue.waiting), (1, 1))

    def test_a_call_passed_on_counts_as_offered(self):
        """Admission would take the service for less busy than it is."""
        self.desk.siblings = lambda: (
            Candidate('n2', 'registry', 'east', USABLE),
        )
        self.begin('a')
        before = self.desk.load().offered_deci_per_s
        self.begin('b')
        self.assertGreater(self.desk.load().offered_deci_per_s, before)

    def test_the_time_of_a_route_is_reported(self):
        """Callers compare it with that of the service's other targets."""
        self.begin()
        self.clock.advance(0.02)
        self.pool.sent[0].ended(RESPONSE)
        load = self.desk.load()
        self.assertEqual((load.route_deci_ms, load.pace_percent), (200, 100))
        self.assertGreater(load.route_code, 0)

    def test_failures_do_not_count_as_fast(self):
        """A target that refuses its calls would get more of them."""
        self.codec.meaning = RunRefused(is_other_target=False)
        self.begin()
        self.pool.sent[0].ended(RESPONSE)
        self.assertEqual(self.desk.load().route_code, 0)

    def test_another_target_starts_without_times(self):
        """It may be faster or slower than the one before."""
        self.begin()
        self.clock.advance(0.02)
        self.pool.sent[0].ended(RESPONSE)
        self.desk.announced(announcement('i-2', born_ms=2000))
        self.assertEqual(self.desk.load().route_code, 0)
