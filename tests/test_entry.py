"""Tests of the entry machine: node choice, retries and outcomes."""

import unittest
from random import Random

from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.entry.entry_call import own_refusal
from rattanstile.process.messages import (
    AttemptUnsent,
    BindingFailed,
    BindingRequest,
    CallRequested,
    HomeGone,
    HomeReport,
    KeyBound,
    PeerLost,
    QueryHome,
    ReplyArrived,
    RequestAbandoned,
    RequestCompleted,
    SendCall,
    SendCancel,
    Ticked,
)
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.request.call_id import CallIdIssuer, parse_call_id
from rattanstile.request.envelope import Reply, refusal
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import Declaration, Route
from rattanstile.version.in_force import VersionInForce

LOOKUP = Route()
CLAIM = Route(kind='claim', idempotent=False)


class FirstNodeChooser:
    """Chooser of the first node that is not excluded."""

    def __init__(self, *nodes):
        self.nodes = nodes
        self.outstanding = 0

    def choose(self, now_s, service, exclude, rng):
        return next((node for node in self.nodes if node not in exclude), None)

    def sent(self, node):
        self.outstanding += 1

    def ended(self, node, latency_s, reply):
        self.outstanding -= 1


def request(route=LOOKUP, **changes):
    """Return a caller's request."""
    fields = {
        'request_id': 1,
        'call_id': '',
        'attempt': 1,
        'organisation': 'one',
        'key_digest': 'digest',
        'service': 'claims',
        'method': 'POST',
        'path': '/',
        'headers': (),
        'body': b'',
        'route': route,
        'remaining_ms': 5000,
        'tries_left': 3,
        'hops': 0,
    }
    return CallRequested(**(fields | changes))


def reply_to(sent, outcome=Outcome.WHOLE, reason=None, **changes):
    """Return the reply to an attempt."""
    reply = Reply(
        call_id=sent.call.call_id,
        attempt=sent.call.attempt,
        outcome=outcome,
        reason=reason,
        **changes,
    )
    return ReplyArrived(reply, sent.receiver)


class EntryCase(unittest.TestCase):
    """Base class: entry node `e` and the nodes `a`, `b` and `c`."""

    def setUp(self):
        self.chooser = FirstNodeChooser('a', 'b', 'c')
        self.entry = EntryMachine(
            EntryIdentity('e', 1), self.chooser, Random(1)
        )
        self.entry.adopt(VersionInForce(4, Declaration(max_hops=5)))
        for node in 'abc':
            self.step(HomeReport(node, 10, 1))
            self.step(PeerLost(node))

    def step(self, entry_input, now_s=0.0):
        return self.entry.step(now_s, entry_input)

    def expect_send(self, entry_input, now_s=0.0):
        (sent,) = self.step(entry_input, now_s)
        self.assertIsInstance(sent, SendCall)
        return sent

    def expect_end(self, entry_input, now_s=0.0):
        *_, finished = self.step(entry_input, now_s)
        self.assertIsInstance(finished, RequestCompleted)
        self.assertEqual(len(self.entry), 0)
        self.assertEqual(self.chooser.outstanding, 0)
        return finished.reply.outcome, finished.reply.reason

    def expect_send_on_wake(self):
        wake_s = self.entry.next_wake_s()
        return self.expect_send(Ticked(), wake_s)


class IdempotentTest(EntryCase):
    """An idempotent call is retried elsewhere within its budget."""

    def test_failure_is_retried_at_another_node(self):
        first = self.expect_send(request())
        failed = reply_to(first, Outcome.FAILED, Reason.TARGET_FAILED)
        self.assertEqual(self.step(failed), [])
        second = self.expect_send_on_wake()
        self.assertEqual((first.receiver, second.receiver), ('a', 'b'))
        self.assertEqual(first.call.call_id, second.call.call_id)
        self.assertEqual(
            self.expect_end(reply_to(second)), (Outcome.WHOLE, None)
        )

    def test_overload_refusal_is_not_retried(self):
        for reason in (Reason.SHED, Reason.DEADLINE, Reason.OVER_RATE):
            sent = self.expect_send(request())
            ended = self.expect_end(reply_to(sent, Outcome.NOT_RUN, reason))
            self.assertEqual(ended, (Outcome.NOT_RUN, reason))

    def test_failure_that_a_lower_hop_retried_is_not_retried(self):
        sent = self.expect_send(request())
        failed = reply_to(
            sent, Outcome.FAILED, Reason.TARGET_FAILED, failed_below=True
        )
        ended = self.expect_end(failed)
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_retry_budget_is_lent_and_unspent_tries_are_returned(self):
        sent = self.expect_send(request(tries_left=3))
        self.assertEqual(sent.call.tries_left, 2)
        self.step(
            reply_to(
                sent, Outcome.FAILED, Reason.TARGET_FAILED, tries_unspent=2
            )
        )
        sent = self.expect_send_on_wake()
        self.assertEqual(sent.call.tries_left, 1)
        whole = reply_to(sent, tries_unspent=1)
        (finished,) = self.step(whole)
        self.assertEqual(finished.reply.tries_unspent, 2)

    def test_no_retry_without_budget(self):
        sent = self.expect_send(request(tries_left=0))
        ended = self.expect_end(
            reply_to(sent, Outcome.FAILED, Reason.TARGET_FAILED)
        )
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_empty_edge_bucket_leaves_the_budget_unspent(self):
        self.entry = EntryMachine(
            EntryIdentity('e', 1),
            self.chooser,
            Random(1),
            edge_buckets=EdgeBuckets(max_tokens=0),
        )
        self.entry.adopt(VersionInForce(4, Declaration()))
        sent = self.expect_send(request())
        failed = reply_to(
            sent, Outcome.FAILED, Reason.TARGET_FAILED, tries_unspent=2
        )
        (finished,) = self.step(failed)
        self.assertEqual(finished.reply.tries_unspent, 3)

    def test_lost_attempt_makes_a_later_refusal_unknown(self):
        first = self.expect_send(request())
        self.step(PeerLost(first.receiver))
        second = self.expect_send_on_wake()
        ended = self.expect_end(reply_to(second, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.SHED))

    def test_failed_attempt_is_reported_when_the_next_is_refused(self):
        first = self.expect_send(request())
        self.step(reply_to(first, Outcome.FAILED, Reason.TARGET_FAILED))
        second = self.expect_send_on_wake()
        ended = self.expect_end(reply_to(second, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_lost_connection_to_the_only_node_is_retried_there(self):
        self.chooser.nodes = ('a',)
        self.expect_send(request())
        self.step(PeerLost('a'))
        again = self.expect_send_on_wake()
        self.assertEqual(again.receiver, 'a')
        self.assertEqual(
            self.expect_end(reply_to(again)), (Outcome.WHOLE, None)
        )

    def test_failure_of_the_only_node_is_not_retried(self):
        self.chooser.nodes = ('a',)
        sent = self.expect_send(request())
        failed = reply_to(sent, Outcome.FAILED, Reason.TARGET_FAILED)
        self.assertEqual(self.step(failed), [])
        ended = self.expect_end(Ticked(), self.entry.next_wake_s())
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_refused_connection_spends_no_retry_budget(self):
        first = self.expect_send(request(tries_left=0))
        second = self.expect_send(PeerLost(first.receiver, connected=False))
        self.assertEqual(second.receiver, 'b')

    def test_call_is_not_run_when_all_connections_are_refused(self):
        sent = self.expect_send(request())
        sent = self.expect_send(PeerLost('a', connected=False))
        sent = self.expect_send(PeerLost('b', connected=False))
        ended = self.expect_end(PeerLost(sent.receiver, connected=False))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.NO_TARGET))

    def test_refusal_of_a_later_attempt_is_unknown(self):
        sent = self.expect_send(request(attempt=2))
        ended = self.expect_end(reply_to(sent, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.SHED))


class ReplyMatchTest(EntryCase):
    """A reply is accepted only for the attempt that waits for it."""

    def test_late_duplicate_and_misdirected_replies_are_dropped(self):
        first = self.expect_send(request())
        self.step(PeerLost(first.receiver))
        second = self.expect_send_on_wake()
        self.assertEqual(self.step(reply_to(first)), [])
        other_sender = ReplyArrived(reply_to(second).reply, 'c')
        self.assertEqual(self.step(other_sender), [])
        self.expect_end(reply_to(second))
        self.assertEqual(self.step(reply_to(second)), [])

    def test_requests_with_the_same_id_get_a_reply_each(self):
        call_id = CallIdIssuer('caller', 1).issue('a', 10, 1).render()
        first = self.expect_send(request(CLAIM, call_id=call_id))
        second = self.expect_send(
            request(CLAIM, call_id=call_id, request_id=2, attempt=2)
        )
        self.assertEqual(first.call.call_id, second.call.call_id)
        (finished,) = self.step(reply_to(second))
        self.assertEqual((finished.request_id, len(self.entry)), (2, 1))
        (finished,) = self.step(reply_to(first))
        self.assertEqual(finished.request_id, 1)
        self.assertEqual(finished.reply.call_id, call_id)


class NonIdempotentTest(EntryCase):
    """A call that is not idempotent is sent to its home only."""

    def test_lost_connection_sends_the_same_id_to_the_same_home(self):
        first = self.expect_send(request(CLAIM))
        for _ in range(5):
            self.step(PeerLost('a'))
            again = self.expect_send_on_wake()
            self.assertEqual(again.call.call_id, first.call.call_id)
            self.assertEqual(again.receiver, 'a')
            self.assertEqual(again.call.tries_left, 0)
        self.assertEqual(
            self.expect_end(reply_to(again)), (Outcome.WHOLE, None)
        )

    def test_restart_of_the_home_ends_the_call_as_unknown(self):
        self.expect_send(request(CLAIM))
        ended = self.expect_end(HomeReport('a', 11, 1))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_departure_of_the_home_ends_a_lost_call_as_unknown(self):
        self.expect_send(request(CLAIM))
        self.step(PeerLost('a'))
        ended = self.expect_end(HomeGone('a', 10))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_late_report_of_an_older_incarnation_ends_no_call(self):
        sent = self.expect_send(request(CLAIM))
        self.assertEqual(self.step(HomeReport('a', 9, 50)), [])
        self.assertEqual(self.expect_end(reply_to(sent)), (Outcome.WHOLE, None))

    def test_call_proved_not_run_gets_a_new_id_and_home(self):
        first = self.expect_send(request(CLAIM))
        self.step(reply_to(first, Outcome.NOT_RUN, Reason.DRAINING))
        second = self.expect_send_on_wake()
        self.assertEqual(second.receiver, 'b')
        parsed = parse_call_id(second.call.call_id).unwrap()
        self.assertEqual(parsed.home, 'b')

    def test_overload_refusal_ends_the_call_at_once(self):
        sent = self.expect_send(request(CLAIM))
        ended = self.expect_end(reply_to(sent, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.SHED))

    def test_unknown_and_failed_are_never_retried_elsewhere(self):
        for outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            sent = self.expect_send(request(CLAIM))
            ended = self.expect_end(reply_to(sent, outcome, Reason.ANSWER_CUT))
            self.assertEqual(ended, (outcome, Reason.ANSWER_CUT))

    def test_refused_connection_after_a_loss_proves_nothing(self):
        self.expect_send(request(CLAIM))
        self.step(PeerLost('a'))
        self.expect_send_on_wake()
        self.step(PeerLost('a', connected=False))
        self.assertEqual(self.expect_send_on_wake().receiver, 'a')
        ended = self.expect_end(Ticked(), 5.0)
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_refused_connection_alone_moves_the_call(self):
        self.expect_send(request(CLAIM))
        sent = self.expect_send(PeerLost('a', connected=False))
        self.assertEqual(sent.receiver, 'b')

    def test_refused_connection_beside_an_open_one_proves_nothing(self):
        sent = self.expect_send(request(CLAIM))
        self.step(HomeReport('a', 10, 1))
        self.assertEqual(self.step(PeerLost('a', connected=False)), [])
        again = self.expect_send_on_wake()
        self.assertEqual(again.call.call_id, sent.call.call_id)
        self.assertEqual(again.receiver, 'a')

    def test_unsent_attempt_moves_only_its_own_call(self):
        first = self.expect_send(request(CLAIM))
        second = self.expect_send(request(CLAIM, request_id=2))
        self.assertEqual((first.receiver, second.receiver), ('a', 'a'))
        unsent = AttemptUnsent(second.call.call_id, second.call.attempt)
        moved = self.expect_send(unsent)
        self.assertEqual((moved.receiver, len(self.entry)), ('b', 2))
        self.assertEqual(self.step(unsent), [])

    def test_unsent_attempt_after_a_sent_one_proves_nothing(self):
        self.expect_send(request(CLAIM))
        self.step(PeerLost('a'))
        again = self.expect_send_on_wake()
        unsent = AttemptUnsent(again.call.call_id, again.call.attempt)
        self.assertEqual(self.step(unsent), [])
        self.assertEqual(self.expect_send_on_wake().receiver, 'a')

    def test_too_large_after_a_loss_is_unknown(self):
        sent = self.expect_send(request(CLAIM))
        self.step(PeerLost('a'))
        sent = self.expect_send_on_wake()
        ended = self.expect_end(
            reply_to(sent, Outcome.NOT_RUN, Reason.TOO_LARGE)
        )
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.TOO_LARGE))

    def test_answer_that_is_too_large_stays_unknown(self):
        sent = self.expect_send(request(CLAIM))
        ended = self.expect_end(
            reply_to(sent, Outcome.UNKNOWN, Reason.TOO_LARGE)
        )
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.TOO_LARGE))

    def test_home_is_queried_without_a_recent_report(self):
        (query,) = self.step(request(CLAIM), 100)
        self.assertEqual(query, QueryHome('a'))
        sent = self.expect_send(HomeReport('a', 10, 7), 100)
        parsed = parse_call_id(sent.call.call_id).unwrap()
        self.assertEqual((parsed.home, parsed.id_epoch), ('a', 7))

    def test_home_that_does_not_answer_is_replaced(self):
        self.step(request(CLAIM), 100)
        wake_s = self.entry.next_wake_s()
        self.assertEqual(self.step(Ticked(), wake_s), [QueryHome('b')])
        self.assertEqual(
            self.step(PeerLost('b', connected=False), wake_s), [QueryHome('c')]
        )


class CallerIdTest(EntryCase):
    """A call with an id issued by the caller is never moved from its home."""

    def setUp(self):
        super().setUp()
        issuer = CallIdIssuer('caller', 1)
        self.call_id = issuer.issue('b', 10, 1).render()

    def request_with_id(self, **changes):
        return request(CLAIM, call_id=self.call_id, **changes)

    def test_refusal_by_its_home_is_not_run_and_does_not_move_it(self):
        sent = self.expect_send(self.request_with_id(attempt=3))
        self.assertEqual(sent.receiver, 'b')
        ended = self.expect_end(
            reply_to(sent, Outcome.NOT_RUN, Reason.DRAINING)
        )
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.DRAINING))

    def test_refused_connection_never_moves_it(self):
        self.expect_send(self.request_with_id())
        self.step(PeerLost('b', connected=False))
        again = self.expect_send_on_wake()
        self.assertEqual(again.receiver, 'b')
        self.step(PeerLost('b', connected=False))
        ended = self.expect_end(Ticked(), 5.0)
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_later_attempt_at_a_home_that_is_gone_is_unknown_at_once(self):
        self.step(HomeReport('b', 11, 1))
        ended = self.expect_end(self.request_with_id(attempt=2))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_first_attempt_at_a_home_that_is_gone_never_runs(self):
        self.step(HomeReport('b', 11, 1))
        ended = self.expect_end(self.request_with_id())
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.HOME_GONE))

    def test_sent_first_attempt_to_a_home_that_is_gone_is_unknown(self):
        self.expect_send(self.request_with_id())
        self.step(PeerLost('b'))
        ended = self.expect_end(HomeReport('b', 11, 1))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_refusals_by_the_entry_are_unknown(self):
        for changes in ({'hops': 6}, {'remaining_ms': 0}):
            outcome, _ = self.expect_end(self.request_with_id(**changes))
            self.assertIs(outcome, Outcome.UNKNOWN)
        outcome, _ = self.expect_end(request(CLAIM, call_id='nonsense'))
        self.assertIs(outcome, Outcome.UNKNOWN)

    def test_id_without_home_is_refused_for_a_claim(self):
        call_id = CallIdIssuer('caller', 1).issue().render()
        ended = self.expect_end(request(CLAIM, call_id=call_id))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.MALFORMED))

    def test_same_id_of_two_organisations_makes_two_calls(self):
        first = self.expect_send(self.request_with_id())
        second = self.expect_send(
            self.request_with_id(request_id=2, organisation='two')
        )
        self.assertNotEqual(first.call.call_id, second.call.call_id)

    def test_abandoned_call_is_not_cancelled(self):
        self.expect_send(self.request_with_id())
        self.assertEqual(self.step(RequestAbandoned(1)), [])


class CallEndTest(EntryCase):
    """Calls end by hop limit, deadline or cancellation."""

    def test_hop_limit_stops_a_loop(self):
        self.expect_send(request(hops=5))
        self.step(RequestAbandoned(1))
        ended = self.expect_end(request(hops=6))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.HOP_LIMIT))

    def test_sent_call_is_cancelled_and_unknown_at_its_deadline(self):
        for route in (LOOKUP, CLAIM):
            sent = self.expect_send(request(route))
            self.assertEqual(self.entry.next_wake_s(), 5.0)
            cancel, finished = self.step(Ticked(), 5.0)
            self.assertIsInstance(cancel, SendCancel)
            self.assertEqual(cancel.cancel.attempt, sent.call.attempt)
            self.assertIs(finished.reply.outcome, Outcome.UNKNOWN)
            self.assertEqual(self.step(reply_to(sent), 5.1), [])

    def test_deadline_before_any_attempt_is_not_run(self):
        self.step(request(CLAIM, remaining_ms=500), 100)
        ended = self.expect_end(Ticked(), 100.5)
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.DEADLINE))

    def test_abandoned_call_is_cancelled_and_removed(self):
        sent = self.expect_send(request())
        (cancel,) = self.step(RequestAbandoned(1))
        self.assertEqual(cancel.receiver, sent.receiver)
        self.assertEqual(self.step(reply_to(sent)), [])
        self.assertEqual(len(self.entry), 0)
        self.assertIsNone(self.entry.next_wake_s())

    def test_own_refusal_follows_the_outcome_rule(self):
        cases = (
            (request(CLAIM), Outcome.NOT_RUN),
            (request(CLAIM, attempt=2), Outcome.UNKNOWN),
            (request(CLAIM, call_id='x'), Outcome.UNKNOWN),
            (request(CLAIM, idempotency_key='k', attempt=0), Outcome.UNKNOWN),
            (request(CLAIM, idempotency_key='k'), Outcome.NOT_RUN),
            (request(call_id='x'), Outcome.NOT_RUN),
        )
        for refused_request, outcome in cases:
            with self.subTest(refused_request):
                reply = own_refusal(refused_request, Reason.OVER_RATE, 50)
                self.assertIs(reply.outcome, outcome)
                self.assertEqual(reply.tries_unspent, 3)
                self.assertEqual(reply.retry_after_ms, 50)


class IdempotencyKeyTest(EntryCase):
    """A call with an idempotency key instead of a call id is bound first."""

    def expect_binding_request(self, **changes):
        (binding_request,) = self.step(
            request(CLAIM, idempotency_key='k', **changes)
        )
        self.assertIsInstance(binding_request, BindingRequest)
        return binding_request

    def test_call_is_sent_to_the_home_that_the_log_bound(self):
        self.expect_binding_request(attempt=0)
        bound_id = CallIdIssuer('other', 1).issue('c', 10, 1).render()
        sent = self.expect_send(KeyBound(1, bound_id, fresh=False))
        self.assertEqual((sent.receiver, sent.call.call_id), ('c', bound_id))
        self.assertEqual(self.expect_end(reply_to(sent)), (Outcome.WHOLE, None))

    def test_refusal_of_an_earlier_attempts_id_binds_a_new_id(self):
        self.expect_binding_request(attempt=0)
        bound_id = CallIdIssuer('other', 1).issue('c', 10, 1).render()
        sent = self.expect_send(KeyBound(1, bound_id, fresh=False))
        refused = reply_to(sent, Outcome.NOT_RUN, Reason.SHED)
        (binding_request,) = self.step(refused)
        self.assertEqual(binding_request.refused, bound_id)
        sent = self.expect_send(
            KeyBound(1, binding_request.call_id, fresh=True)
        )
        ended = self.expect_end(reply_to(sent, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.SHED))

    def test_refusal_is_not_run_for_a_first_attempt_only(self):
        for attempt, outcome in ((1, Outcome.NOT_RUN), (0, Outcome.UNKNOWN)):
            binding_request = self.expect_binding_request(attempt=attempt)
            sent = self.expect_send(
                KeyBound(1, binding_request.call_id, fresh=True)
            )
            ended = self.expect_end(
                reply_to(sent, Outcome.NOT_RUN, Reason.SHED)
            )
            self.assertEqual(ended, (outcome, Reason.SHED))

    def test_log_needed_is_not_run_only_with_proof(self):
        cases = (
            (1, True, Outcome.NOT_RUN),
            (1, False, Outcome.UNKNOWN),
            (0, True, Outcome.UNKNOWN),
        )
        for attempt, proved, outcome in cases:
            self.expect_binding_request(attempt=attempt)
            failed = BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=proved)
            self.assertEqual(
                self.expect_end(failed), (outcome, Reason.LOG_NEEDED)
            )

    def test_refused_connection_never_moves_a_bound_call(self):
        binding_request = self.expect_binding_request()
        self.expect_send(KeyBound(1, binding_request.call_id, fresh=True))
        self.step(PeerLost('a', connected=False))
        again = self.expect_send_on_wake()
        self.assertEqual(again.call.call_id, binding_request.call_id)
        self.assertEqual(again.receiver, 'a')

    def test_binding_after_the_end_is_dropped(self):
        binding_request = self.expect_binding_request()
        self.step(RequestAbandoned(1))
        self.assertEqual(
            self.step(KeyBound(1, binding_request.call_id, fresh=True)), []
        )

    def test_key_of_an_idempotent_call_needs_no_binding(self):
        self.expect_send(request(idempotency_key='k'))


class CallerReplyTest(EntryCase):
    """The reply that the caller receives."""

    def test_refusal_returns_the_budget_of_the_attempt(self):
        sent = self.expect_send(request())
        arrived = ReplyArrived(refusal(sent.call, Reason.SHED), 'a')
        (finished,) = self.step(arrived)
        self.assertEqual(finished.reply.tries_unspent, 3)
        self.assertEqual(finished.reply.attempt, 1)
