"""Tests of the handling of requests at their entry node."""

import unittest
from types import SimpleNamespace

import msgspec
from mesh_samples import (
    USABLE,
    caller_request,
    config,
    context,
    organisation,
    route,
)

from rattanstile.connection.peer_messages import CallRequest, CallResponse
from rattanstile.process.mesh.admission.root_admission import RootAdmission
from rattanstile.process.mesh.entry.entry_handler import EntryHandler
from rattanstile.process.mesh.placement.candidates import CandidateTable
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.placement.run_positions import (
    Run,
    RunPositions,
)
from rattanstile.process.mesh.rates.rate_limiter import RateDecision
from rattanstile.request.exchange import (
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
)
from rattanstile.version.fleet_config import FleetState

NODES = 6


class Link:
    """A connection whose messages are answered by the test."""

    def __init__(self, node_id, sent):
        self.node_id = node_id
        self.awaited_responses = 0
        self._sent = sent

    def expect_response(self):
        self.awaited_responses += 1

    def response_received(self):
        self.awaited_responses -= 1

    def send(self, message):
        if isinstance(message, CallRequest):
            self._sent.append(message)


class EntryDeskTest(unittest.TestCase):
    """An entry node and four peers, each with a target of the service."""

    def setUp(self):
        state = FleetState(
            config=config(
                routes=(route(), route('tax', open_to_all=True)),
                organisations=(organisation(),),
            )
        )
        made, self.clock, _ = context(state)
        self.sent = []
        self.ends = []
        names = [f'n{number}' for number in range(2, NODES)]
        links = {name: Link(name, self.sent) for name in names}
        self.short_calls = 0
        fleet_links = SimpleNamespace(
            candidates=CandidateTable(), record_call=self.record_call
        )
        self.rate = RateDecision(
            is_admitted=True, may_use_pool=False, tokens=1, part=1
        )
        self.token_requests = []
        rates = SimpleNamespace(
            limiter=SimpleNamespace(
                take=lambda now_s, one: self.rate, give_back=lambda one: None
            ),
            tokens=SimpleNamespace(
                request=lambda one, answer: self.token_requests.append(answer)
            ),
        )
        self.positions = RunPositions(lambda route: {})
        serving = SimpleNamespace(
            watch=SimpleNamespace(service='other'),
            is_usable=False,
            attribution=SimpleNamespace(called=lambda now_s, kind: None),
            positions=self.positions,
        )
        reruns = RerunBudget(0.2, 8, made.rng.random)
        reruns.set_node_count(4)
        self.desk = EntryHandler(
            made,
            serving,
            SimpleNamespace(link_to=links.get),
            rates,
            RootAdmission(made.rng),
            reruns,
            fleet_links,
        )
        self.candidates = fleet_links.candidates
        for name in links:
            self.candidates.add(Candidate(name, 'registry', 'east', USABLE))

    def record_call(self, now_s, service, *, is_short):
        self.short_calls += is_short

    def sends(self, reason, count):
        """Return how many sends `count` requests cause if all are refused."""
        total = 0
        for number in range(count):
            self.desk.begin(caller_request(f'r{number}'), self.ends.append)
            while self.sent:
                total += 1
                self.refuse(reason)
        return total

    def refuse(self, reason):
        message = self.sent.pop(0)
        call = self.desk.attempts._sent[message.sequence]
        self.desk.attempts.peer_call_ended(
            call.link,
            CallResponse(message.sequence, None, reason.value, 0, USABLE),
        )

    def test_sends_that_targets_refuse_are_within_the_budget(self):
        """All targets of a service refuse: enlarged Vedlott, scale-1.

        Guards against retrying each refusal at the next target without limit.
        """
        total = self.sends(NotRunReason.TARGET_REFUSED, 200)
        self.assertLess(total - 200, 0.2 * 200)
        self.assertEqual(len(self.ends), 200)
        self.assertTrue(all(isinstance(end, NotRun) for end in self.ends))

    def test_attempts_that_reached_no_target_are_moved(self):
        """Attempts refused for a full queue don't use the retry budget."""
        total = self.sends(NotRunReason.QUEUE_FULL, 20)
        self.assertEqual(total, 20 * (NODES - 2))

    def begin_inner(self, *, is_repeat):
        """Begin a call of a run of urgency 0, and return its message."""
        run = Run('claims', is_repeat, 0, 2.0)
        self.positions.began(0.0, run)
        self.desk.begin(
            caller_request('inner', path='/tax/1', key=None), self.ends.append
        )
        return self.sent[-1].call if self.sent else None

    def test_inner_call_carries_the_urgency_of_its_root(self):
        """Its own route is less urgent, and it was served accordingly."""
        call = self.begin_inner(is_repeat=False)
        self.assertTrue(call.inner)
        self.assertEqual((call.priority, call.urgency), (1, 0))
        self.assertFalse(call.is_repeat)

    def test_begun_answer_is_never_reported_as_not_run(self):
        """Its caller would be told to send a request again that has run."""
        sink = SimpleNamespace(begin_answer=list, add_part=list)
        self.desk.begin(caller_request('r'), self.ends.append, sink)
        sequence = self.sent[0].sequence
        self.desk.attempts.answer_began(sequence, ())
        self.refuse(NotRunReason.QUEUE_FULL)
        self.assertIsInstance(self.ends[0], Unknown)

    def test_call_of_a_repeated_run_needs_budget(self):
        """It was sent in any case, beyond the budget."""
        self.desk._reruns.set_node_count(1000)
        self.assertIsNone(self.begin_inner(is_repeat=True))
        self.assertEqual(
            [end.reason for end in self.ends], [NotRunReason.RETRY_BUDGET]
        )

    def test_root_call_carries_its_own_priority(self):
        """Nodes that read the urgency don't fall back on a default."""
        self.desk.begin(caller_request('root'), self.ends.append)
        self.assertEqual(self.sent[0].call.urgency, 1)

    def test_refusals_for_the_retry_budget_are_moved(self):
        """Another node may have room for the calls of the repeated run."""
        total = self.sends(NotRunReason.RETRY_BUDGET, 20)
        self.assertEqual(total, 20 * (NODES - 2))

    def test_repeat_that_reaches_no_target_is_taken_back(self):
        """Nodes without room refuse a repeated call, which uses no budget."""
        self.desk.begin(caller_request('a'), self.ends.append)
        self.refuse(NotRunReason.TARGET_REFUSED)
        window = self.desk._reruns._services['registry'].window
        self.assertEqual(sum(each.repeats for each in window._buckets), 1)
        while self.sent:
            self.refuse(NotRunReason.RETRY_BUDGET)
        self.clock.advance(3)
        self.desk.check(self.clock.seconds())
        self.assertEqual(len(self.ends), 1)
        self.assertEqual(sum(each.repeats for each in window._buckets), 0)

    def test_request_that_outlasts_the_process_is_refused(self):
        """It has not run, and its caller returns to the next process."""
        self.desk.end_s = 1.5
        self.desk.begin(caller_request('late'), self.ends.append)
        refused = self.ends[0]
        self.assertEqual(refused.reason, NotRunReason.NOT_READY)
        self.assertGreaterEqual(refused.retry_after_s, 1.5)
        self.assertEqual(self.sent, [])

    def test_request_is_not_sent_again_late_in_a_drain(self):
        """It was accepted early; its second attempt would be cut."""
        self.desk.begin(caller_request('early'), self.ends.append)
        self.desk.end_s = 1.5
        self.refuse(NotRunReason.QUEUE_FULL)
        self.assertEqual(self.sent, [])
        self.assertEqual(self.ends[0].reason, NotRunReason.NOT_READY)

    def test_request_that_may_have_run_stays_unknown_late_in_a_drain(self):
        """It isn't refused: only its second attempt has not run."""
        self.desk.begin(caller_request('early'), self.ends.append)
        self.desk.end_s = 1.5
        call = self.desk.attempts._sent[self.sent.pop().sequence]
        self.desk.attempts.link_lost(call.link)
        self.assertEqual(self.sent, [])
        self.assertEqual(self.ends, [Unknown(UnknownReason.PEER_LOST)])

    def test_request_that_ends_before_the_process_is_accepted(self):
        """The process ends later than the request's deadline."""
        self.desk.end_s = 1.5
        self.desk.begin(caller_request('short', deadline_ms=1000), print)
        self.assertEqual(len(self.sent), 1)

    def test_process_that_ends_answers_what_it_has_sent(self):
        """Requests in progress were cut, or not, by the order of sockets."""
        self.desk.begin(caller_request('sent'), self.ends.append)
        self.desk.end_all()
        self.assertEqual(self.ends, [Unknown(UnknownReason.SHUTDOWN)])
        self.assertEqual(len(self.desk.attempts), 0)

    def test_process_that_ends_refuses_what_it_has_not_sent(self):
        """It has not run: held for a target, or waiting for a token."""
        for name in tuple(self.candidates.by_id):
            self.candidates.remove(name)
        self.desk.begin(caller_request('held'), self.ends.append)
        self.rate = RateDecision(
            is_admitted=False, may_use_pool=True, tokens=0, part=0
        )
        self.desk.begin(caller_request('waits'), self.ends.append)
        self.assertEqual((len(self.token_requests), self.ends), (1, []))
        self.desk.end_all()
        reasons = [end.reason for end in self.ends]
        self.assertEqual(reasons, [NotRunReason.NOT_READY] * 2)
        self.assertEqual((self.desk.in_hand, self.desk.roots), (0, 0))

    def test_a_response_on_another_connection_is_ignored(self):
        """Only the node that got the attempt knows how it ended."""
        self.desk.begin(caller_request(), self.ends.append)
        message = self.sent.pop(0)
        call = self.desk.attempts._sent[message.sequence]
        other = Link(call.receiver, [])
        refused = CallResponse(
            message.sequence, None, NotRunReason.QUEUE_FULL.value, 0, USABLE
        )
        self.desk.attempts.peer_call_ended(other, refused)
        self.assertEqual((self.ends, self.sent), ([], []))

    def test_the_loss_of_another_connection_ends_no_attempt(self):
        """While a peer reconnects, the old connection may end later."""
        self.desk.begin(caller_request(), self.ends.append)
        call = self.desk.attempts._sent[self.sent[0].sequence]
        self.desk.attempts.link_lost(Link(call.receiver, []))
        self.assertEqual(len(self.desk.attempts), 1)
        self.desk.attempts.link_lost(call.link)
        self.assertEqual(len(self.desk.attempts), 1)
        self.assertEqual(call.attempts, 1)

    def test_calls_without_room_nearby_are_recorded(self):
        """More connections are opened for a service that is short."""
        self.desk.begin(caller_request('a'), self.ends.append)
        self.assertEqual(self.short_calls, 0)
        for candidate in self.candidates.by_id.values():
            full = msgspec.structs.replace(
                USABLE, pending_calls=90, wait_us=900_000
            )
            candidate.update_load(full, 0.0)
        self.desk.begin(caller_request('b'), self.ends.append)
        self.assertEqual(self.short_calls, 1)

    def test_a_call_passed_on_waits_at_the_only_target(self):
        """It was refused for other targets that this node doesn't know."""
        for name in tuple(self.candidates.by_id)[1:]:
            self.candidates.remove(name)
        self.desk.begin(caller_request(), self.ends.append)
        first = self.desk.attempts._sent[self.sent[0].sequence].receiver
        self.refuse(NotRunReason.QUEUE_FULL)
        again = self.desk.attempts._sent[self.sent[0].sequence]
        self.assertEqual((again.receiver, again.moves), (first, 1))
        self.refuse(NotRunReason.QUEUE_FULL)
        self.assertEqual((self.sent, self.ends), ([], []))
        self.assertEqual(self.desk.in_hand, 1)
