"""Entry machine: where a call goes, when it goes again, how it ends."""

import unittest
from random import Random

from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.entry.entry_call import own_refusal
from rattanstile.process.messages import (
    AskHome,
    AttemptUnsent,
    BindingFailed,
    BindingWanted,
    Bound,
    CallRequested,
    Finished,
    HomeGone,
    HomeSeen,
    PeerLost,
    ReplyArrived,
    RequestAbandoned,
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


class FirstNode:
    """Chooses the first node that is not excluded."""

    def __init__(self, *nodes):
        self.nodes = nodes
        self.outstanding = 0

    def choose(self, now_s, service, exclude, rng):
        return next((one for one in self.nodes if one not in exclude), None)

    def sent(self, node):
        self.outstanding += 1

    def ended(self, node, latency_s, reply):
        self.outstanding -= 1


def request(route=LOOKUP, **changes):
    """Return a request of a caller."""
    parts = {
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
    return CallRequested(**(parts | changes))


def replied(sent, outcome=Outcome.WHOLE, reason=None, **changes):
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
    """Base: an entry node `e` and the nodes `a`, `b` and `c`."""

    def setUp(self):
        self.chooser = FirstNode('a', 'b', 'c')
        self.entry = EntryMachine(
            EntryIdentity('e', 1), self.chooser, Random(1)
        )
        self.entry.adopt(VersionInForce(4, Declaration(max_hops=5)))
        for node in 'abc':
            self.step(HomeSeen(node, 10, 1))
            self.step(PeerLost(node))

    def step(self, entry_input, now_s=0.0):
        return self.entry.step(now_s, entry_input)

    def sends(self, entry_input, now_s=0.0):
        (sent,) = self.step(entry_input, now_s)
        self.assertIsInstance(sent, SendCall)
        return sent

    def ends(self, entry_input, now_s=0.0):
        *_, finished = self.step(entry_input, now_s)
        self.assertIsInstance(finished, Finished)
        self.assertEqual(len(self.entry), 0)
        self.assertEqual(self.chooser.outstanding, 0)
        return finished.reply.outcome, finished.reply.reason

    def wakes(self):
        wake_s = self.entry.next_wake_s()
        return self.sends(Ticked(), wake_s)


class IdempotentTest(EntryCase):
    """An idempotent call is tried elsewhere, within its budget."""

    def test_failure_is_tried_on_another_node(self):
        first = self.sends(request())
        failed = replied(first, Outcome.FAILED, Reason.TARGET_FAILED)
        self.assertEqual(self.step(failed), [])
        second = self.wakes()
        self.assertEqual((first.receiver, second.receiver), ('a', 'b'))
        self.assertEqual(first.call.call_id, second.call.call_id)
        self.assertEqual(self.ends(replied(second)), (Outcome.WHOLE, None))

    def test_overload_answer_is_not_retried(self):
        for reason in (Reason.SHED, Reason.DEADLINE, Reason.OVER_RATE):
            sent = self.sends(request())
            ended = self.ends(replied(sent, Outcome.NOT_RUN, reason))
            self.assertEqual(ended, (Outcome.NOT_RUN, reason))

    def test_failure_that_a_lower_hop_retried_is_not_retried(self):
        sent = self.sends(request())
        failed = replied(
            sent, Outcome.FAILED, Reason.TARGET_FAILED, failed_below=True
        )
        ended = self.ends(failed)
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_budget_ends_the_tries_and_unspent_tries_come_back(self):
        sent = self.sends(request(tries_left=3))
        self.assertEqual(sent.call.tries_left, 2)
        self.step(
            replied(sent, Outcome.FAILED, Reason.TARGET_FAILED, tries_unspent=2)
        )
        sent = self.wakes()
        self.assertEqual(sent.call.tries_left, 1)
        whole = replied(sent, tries_unspent=1)
        (finished,) = self.step(whole)
        self.assertEqual(finished.reply.tries_unspent, 2)

    def test_without_budget_nothing_is_tried_again(self):
        sent = self.sends(request(tries_left=0))
        ended = self.ends(replied(sent, Outcome.FAILED, Reason.TARGET_FAILED))
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_empty_edge_bucket_keeps_the_budget(self):
        self.entry = EntryMachine(
            EntryIdentity('e', 1),
            self.chooser,
            Random(1),
            edge_buckets=EdgeBuckets(max_tokens=0),
        )
        self.entry.adopt(VersionInForce(4, Declaration()))
        sent = self.sends(request())
        failed = replied(
            sent, Outcome.FAILED, Reason.TARGET_FAILED, tries_unspent=2
        )
        (finished,) = self.step(failed)
        self.assertEqual(finished.reply.tries_unspent, 3)

    def test_lost_attempt_makes_a_later_refusal_unknown(self):
        first = self.sends(request())
        self.step(PeerLost(first.receiver))
        second = self.wakes()
        ended = self.ends(replied(second, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.SHED))

    def test_failed_attempt_is_told_when_the_next_is_refused(self):
        first = self.sends(request())
        self.step(replied(first, Outcome.FAILED, Reason.TARGET_FAILED))
        second = self.wakes()
        ended = self.ends(replied(second, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_lost_connection_to_the_only_node_is_tried_once_more(self):
        self.chooser.nodes = ('a',)
        self.sends(request())
        self.step(PeerLost('a'))
        again = self.wakes()
        self.assertEqual(again.receiver, 'a')
        self.assertEqual(self.ends(replied(again)), (Outcome.WHOLE, None))

    def test_failure_of_the_only_node_is_not_tried_again(self):
        self.chooser.nodes = ('a',)
        sent = self.sends(request())
        failed = replied(sent, Outcome.FAILED, Reason.TARGET_FAILED)
        self.assertEqual(self.step(failed), [])
        ended = self.ends(Ticked(), self.entry.next_wake_s())
        self.assertEqual(ended, (Outcome.FAILED, Reason.TARGET_FAILED))

    def test_refused_connection_costs_no_try(self):
        first = self.sends(request(tries_left=0))
        second = self.sends(PeerLost(first.receiver, connected=False))
        self.assertEqual(second.receiver, 'b')

    def test_every_connection_refused_is_not_run(self):
        sent = self.sends(request())
        sent = self.sends(PeerLost('a', connected=False))
        sent = self.sends(PeerLost('b', connected=False))
        ended = self.ends(PeerLost(sent.receiver, connected=False))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.NO_TARGET))

    def test_caller_that_asks_again_is_never_told_not_run(self):
        sent = self.sends(request(attempt=2))
        ended = self.ends(replied(sent, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.SHED))


class ReplyMatchTest(EntryCase):
    """A reply reaches only the attempt that waits for it."""

    def test_late_doubled_and_crossed_replies_are_dropped(self):
        first = self.sends(request())
        self.step(PeerLost(first.receiver))
        second = self.wakes()
        self.assertEqual(self.step(replied(first)), [])
        stranger = ReplyArrived(replied(second).reply, 'c')
        self.assertEqual(self.step(stranger), [])
        self.ends(replied(second))
        self.assertEqual(self.step(replied(second)), [])

    def test_two_requests_with_one_id_get_a_reply_each(self):
        home = CallIdIssuer('caller', 1).issue('a', 10, 1).render()
        one = self.sends(request(CLAIM, call_id=home))
        two = self.sends(request(CLAIM, call_id=home, request_id=2, attempt=2))
        self.assertEqual(one.call.call_id, two.call.call_id)
        (finished,) = self.step(replied(two))
        self.assertEqual((finished.request_id, len(self.entry)), (2, 1))
        (finished,) = self.step(replied(one))
        self.assertEqual(finished.request_id, 1)
        self.assertEqual(finished.reply.call_id, home)


class NonIdempotentTest(EntryCase):
    """A call that is not idempotent goes to its home only."""

    def test_lost_connection_sends_the_same_id_to_the_same_home(self):
        first = self.sends(request(CLAIM))
        for _ in range(5):
            self.step(PeerLost('a'))
            again = self.wakes()
            self.assertEqual(again.call.call_id, first.call.call_id)
            self.assertEqual(again.receiver, 'a')
            self.assertEqual(again.call.tries_left, 0)
        self.assertEqual(self.ends(replied(again)), (Outcome.WHOLE, None))

    def test_home_that_restarts_ends_the_call_unknown(self):
        self.sends(request(CLAIM))
        ended = self.ends(HomeSeen('a', 11, 1))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_home_that_leaves_ends_a_lost_call_unknown(self):
        self.sends(request(CLAIM))
        self.step(PeerLost('a'))
        ended = self.ends(HomeGone('a', 10))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_older_incarnation_heard_late_ends_nothing(self):
        sent = self.sends(request(CLAIM))
        self.assertEqual(self.step(HomeSeen('a', 9, 50)), [])
        self.assertEqual(self.ends(replied(sent)), (Outcome.WHOLE, None))

    def test_proved_refusal_gets_a_new_id_and_a_new_home(self):
        first = self.sends(request(CLAIM))
        self.step(replied(first, Outcome.NOT_RUN, Reason.DRAINING))
        second = self.wakes()
        self.assertEqual(second.receiver, 'b')
        parsed = parse_call_id(second.call.call_id).unwrap()
        self.assertEqual(parsed.home, 'b')

    def test_overload_refusal_is_told_at_once(self):
        sent = self.sends(request(CLAIM))
        ended = self.ends(replied(sent, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.SHED))

    def test_unknown_and_failed_are_never_tried_elsewhere(self):
        for outcome in (Outcome.UNKNOWN, Outcome.FAILED):
            sent = self.sends(request(CLAIM))
            ended = self.ends(replied(sent, outcome, Reason.ANSWER_CUT))
            self.assertEqual(ended, (outcome, Reason.ANSWER_CUT))

    def test_refused_connection_after_a_loss_proves_nothing(self):
        self.sends(request(CLAIM))
        self.step(PeerLost('a'))
        self.wakes()
        self.step(PeerLost('a', connected=False))
        self.assertEqual(self.wakes().receiver, 'a')
        ended = self.ends(Ticked(), 5.0)
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_refused_connection_alone_moves_the_call(self):
        self.sends(request(CLAIM))
        sent = self.sends(PeerLost('a', connected=False))
        self.assertEqual(sent.receiver, 'b')

    def test_refused_connection_beside_an_open_one_proves_nothing(self):
        sent = self.sends(request(CLAIM))
        self.step(HomeSeen('a', 10, 1))
        self.assertEqual(self.step(PeerLost('a', connected=False)), [])
        again = self.wakes()
        self.assertEqual(again.call.call_id, sent.call.call_id)
        self.assertEqual(again.receiver, 'a')

    def test_attempt_that_never_left_moves_alone(self):
        one = self.sends(request(CLAIM))
        two = self.sends(request(CLAIM, request_id=2))
        self.assertEqual((one.receiver, two.receiver), ('a', 'a'))
        unsent = AttemptUnsent(two.call.call_id, two.call.attempt)
        moved = self.sends(unsent)
        self.assertEqual((moved.receiver, len(self.entry)), ('b', 2))
        self.assertEqual(self.step(unsent), [])

    def test_attempt_that_never_left_after_one_that_did_proves_nothing(self):
        self.sends(request(CLAIM))
        self.step(PeerLost('a'))
        again = self.wakes()
        unsent = AttemptUnsent(again.call.call_id, again.call.attempt)
        self.assertEqual(self.step(unsent), [])
        self.assertEqual(self.wakes().receiver, 'a')

    def test_too_large_after_a_loss_is_unknown(self):
        sent = self.sends(request(CLAIM))
        self.step(PeerLost('a'))
        sent = self.wakes()
        ended = self.ends(replied(sent, Outcome.NOT_RUN, Reason.TOO_LARGE))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.TOO_LARGE))

    def test_answer_too_large_to_carry_stays_unknown(self):
        sent = self.sends(request(CLAIM))
        ended = self.ends(replied(sent, Outcome.UNKNOWN, Reason.TOO_LARGE))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.TOO_LARGE))

    def test_home_is_asked_when_it_was_not_heard_lately(self):
        (asked,) = self.step(request(CLAIM), 100)
        self.assertEqual(asked, AskHome('a'))
        sent = self.sends(HomeSeen('a', 10, 7), 100)
        parsed = parse_call_id(sent.call.call_id).unwrap()
        self.assertEqual((parsed.home, parsed.id_epoch), ('a', 7))

    def test_home_that_does_not_tell_is_replaced(self):
        self.step(request(CLAIM), 100)
        wake_s = self.entry.next_wake_s()
        self.assertEqual(self.step(Ticked(), wake_s), [AskHome('b')])
        self.assertEqual(
            self.step(PeerLost('b', connected=False), wake_s), [AskHome('c')]
        )


class CallersIdTest(EntryCase):
    """A call id of the caller's stays with its home, come what may."""

    def setUp(self):
        super().setUp()
        issuer = CallIdIssuer('caller', 1)
        self.call_id = issuer.issue('b', 10, 1).render()

    def asked(self, **changes):
        return request(CLAIM, call_id=self.call_id, **changes)

    def test_refusal_by_its_home_is_not_run_and_moves_nothing(self):
        sent = self.sends(self.asked(attempt=3))
        self.assertEqual(sent.receiver, 'b')
        ended = self.ends(replied(sent, Outcome.NOT_RUN, Reason.DRAINING))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.DRAINING))

    def test_refused_connection_never_moves_it(self):
        self.sends(self.asked())
        self.step(PeerLost('b', connected=False))
        again = self.wakes()
        self.assertEqual(again.receiver, 'b')
        self.step(PeerLost('b', connected=False))
        ended = self.ends(Ticked(), 5.0)
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.DEADLINE))

    def test_later_attempt_at_a_home_that_is_gone_is_unknown_at_once(self):
        self.step(HomeSeen('b', 11, 1))
        ended = self.ends(self.asked(attempt=2))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_first_attempt_at_a_home_that_is_gone_never_runs(self):
        self.step(HomeSeen('b', 11, 1))
        ended = self.ends(self.asked())
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.HOME_GONE))

    def test_first_attempt_that_left_for_its_home_is_unknown(self):
        self.sends(self.asked())
        self.step(PeerLost('b'))
        ended = self.ends(HomeSeen('b', 11, 1))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.HOME_GONE))

    def test_own_refusals_are_unknown(self):
        for changes in ({'hops': 6}, {'remaining_ms': 0}):
            outcome, _ = self.ends(self.asked(**changes))
            self.assertIs(outcome, Outcome.UNKNOWN)
        outcome, _ = self.ends(request(CLAIM, call_id='nonsense'))
        self.assertIs(outcome, Outcome.UNKNOWN)

    def test_id_without_home_is_refused_for_a_claim(self):
        call_id = CallIdIssuer('caller', 1).issue().render()
        ended = self.ends(request(CLAIM, call_id=call_id))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.MALFORMED))

    def test_organisations_with_one_id_get_two_calls(self):
        one = self.sends(self.asked())
        two = self.sends(self.asked(request_id=2, organisation='two'))
        self.assertNotEqual(one.call.call_id, two.call.call_id)

    def test_abandoned_call_is_not_cancelled(self):
        self.sends(self.asked())
        self.assertEqual(self.step(RequestAbandoned(1)), [])


class EndsTest(EntryCase):
    """Hop limit, deadline, cancel."""

    def test_hop_limit_stops_a_loop(self):
        self.sends(request(hops=5))
        self.step(RequestAbandoned(1))
        ended = self.ends(request(hops=6))
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.HOP_LIMIT))

    def test_deadline_of_a_sent_call_cancels_it_and_is_unknown(self):
        for route in (LOOKUP, CLAIM):
            sent = self.sends(request(route))
            self.assertEqual(self.entry.next_wake_s(), 5.0)
            cancel, finished = self.step(Ticked(), 5.0)
            self.assertIsInstance(cancel, SendCancel)
            self.assertEqual(cancel.cancel.attempt, sent.call.attempt)
            self.assertIs(finished.reply.outcome, Outcome.UNKNOWN)
            self.assertEqual(self.step(replied(sent), 5.1), [])

    def test_deadline_before_any_attempt_is_not_run(self):
        self.step(request(CLAIM, remaining_ms=500), 100)
        ended = self.ends(Ticked(), 100.5)
        self.assertEqual(ended, (Outcome.NOT_RUN, Reason.DEADLINE))

    def test_abandoned_call_is_cancelled_and_forgotten(self):
        sent = self.sends(request())
        (cancel,) = self.step(RequestAbandoned(1))
        self.assertEqual(cancel.receiver, sent.receiver)
        self.assertEqual(self.step(replied(sent)), [])
        self.assertEqual(len(self.entry), 0)
        self.assertIsNone(self.entry.next_wake_s())

    def test_refusal_before_the_machine_follows_the_same_rule(self):
        cases = (
            (request(CLAIM), Outcome.NOT_RUN),
            (request(CLAIM, attempt=2), Outcome.UNKNOWN),
            (request(CLAIM, call_id='x'), Outcome.UNKNOWN),
            (request(CLAIM, idempotency_key='k', attempt=0), Outcome.UNKNOWN),
            (request(CLAIM, idempotency_key='k'), Outcome.NOT_RUN),
            (request(call_id='x'), Outcome.NOT_RUN),
        )
        for asked, outcome in cases:
            with self.subTest(asked):
                reply = own_refusal(asked, Reason.OVER_RATE, 50)
                self.assertIs(reply.outcome, outcome)
                self.assertEqual(reply.tries_unspent, 3)
                self.assertEqual(reply.retry_after_ms, 50)


class KeyTest(EntryCase):
    """A call with only the caller's own idempotency key."""

    def binding(self, **changes):
        (wanted,) = self.step(request(CLAIM, idempotency_key='k', **changes))
        self.assertIsInstance(wanted, BindingWanted)
        return wanted

    def test_call_goes_where_the_log_binds_it(self):
        self.binding(attempt=0)
        other = CallIdIssuer('other', 1).issue('c', 10, 1).render()
        sent = self.sends(Bound(1, other, fresh=False))
        self.assertEqual((sent.receiver, sent.call.call_id), ('c', other))
        self.assertEqual(self.ends(replied(sent)), (Outcome.WHOLE, None))

    def test_refusal_of_an_earlier_attempts_id_binds_a_new_one(self):
        self.binding(attempt=0)
        other = CallIdIssuer('other', 1).issue('c', 10, 1).render()
        sent = self.sends(Bound(1, other, fresh=False))
        refused = replied(sent, Outcome.NOT_RUN, Reason.SHED)
        (wanted,) = self.step(refused)
        self.assertEqual(wanted.refused, other)
        sent = self.sends(Bound(1, wanted.call_id, fresh=True))
        ended = self.ends(replied(sent, Outcome.NOT_RUN, Reason.SHED))
        self.assertEqual(ended, (Outcome.UNKNOWN, Reason.SHED))

    def test_refusal_counts_for_a_first_attempt_only(self):
        for attempt, outcome in ((1, Outcome.NOT_RUN), (0, Outcome.UNKNOWN)):
            wanted = self.binding(attempt=attempt)
            sent = self.sends(Bound(1, wanted.call_id, fresh=True))
            ended = self.ends(replied(sent, Outcome.NOT_RUN, Reason.SHED))
            self.assertEqual(ended, (outcome, Reason.SHED))

    def test_log_needed_is_not_run_only_where_it_is_proved(self):
        cases = (
            (1, True, Outcome.NOT_RUN),
            (1, False, Outcome.UNKNOWN),
            (0, True, Outcome.UNKNOWN),
        )
        for attempt, proved, outcome in cases:
            self.binding(attempt=attempt)
            failed = BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=proved)
            self.assertEqual(self.ends(failed), (outcome, Reason.LOG_NEEDED))

    def test_lost_binding_never_moves_the_call(self):
        wanted = self.binding()
        self.sends(Bound(1, wanted.call_id, fresh=True))
        self.step(PeerLost('a', connected=False))
        again = self.wakes()
        self.assertEqual(again.call.call_id, wanted.call_id)
        self.assertEqual(again.receiver, 'a')

    def test_binding_after_the_end_is_dropped(self):
        wanted = self.binding()
        self.step(RequestAbandoned(1))
        self.assertEqual(self.step(Bound(1, wanted.call_id, fresh=True)), [])

    def test_key_of_an_idempotent_call_needs_no_binding(self):
        self.sends(request(idempotency_key='k'))


class SettledReplyTest(EntryCase):
    """The caller's view of a reply."""

    def test_refusal_gives_the_attempts_budget_back(self):
        sent = self.sends(request())
        arrived = ReplyArrived(refusal(sent.call, Reason.SHED), 'a')
        (finished,) = self.step(arrived)
        self.assertEqual(finished.reply.tries_unspent, 3)
        self.assertEqual(finished.reply.attempt, 1)
