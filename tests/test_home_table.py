"""Home table, also under random sequences of arrivals and ends."""

import random
import unittest

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)

from rattanstile.process.serving.home_table import (
    EPOCH_LENGTH_S,
    AlreadyRefused,
    HomeLimits,
    HomeTable,
    JoinRunning,
    NewlyRefused,
    OutcomeUnknown,
    ReplayReply,
    RunCall,
)
from rattanstile.request.call_id import ParsedCallId
from rattanstile.request.envelope import Call, Reply, refusal
from rattanstile.request.outcome import Outcome, Reason


def make_call(sequence=1, epoch=1, incarnation=7, attempt=1, **changes):
    """Return an attempt of a call whose home is the node `home`."""
    parsed = ParsedCallId('home', incarnation, epoch, 'entry', 1, sequence)
    parts = {
        'call_id': parsed.render(),
        'attempt': attempt,
        'organisation': 'one',
        'key_digest': '',
        'service': 'claims',
        'method': 'POST',
        'path': '/',
        'idempotent': False,
        'remaining_ms': 1000,
        'home': 'home',
    }
    return Call(**(parts | changes))


def whole_reply(call, body=b'answer'):
    """Return a complete answer to a call."""
    return Reply(
        call_id=call.call_id,
        attempt=call.attempt,
        outcome=Outcome.WHOLE,
        body=body,
    )


def make_table(**limits):
    """Return the table of incarnation 7 of the node `home`."""
    return HomeTable(0.0, 'home', 7, HomeLimits(**limits))


class HomeTableTest(unittest.TestCase):
    """A call runs at most once, and never after it was reported not run."""

    def test_later_attempt_joins_the_run_and_gets_its_answer(self):
        home = make_table()
        self.assertIsInstance(home.arrive(0, make_call()), RunCall)
        self.assertIsInstance(home.arrive(0, make_call(attempt=2)), JoinRunning)
        home.ended(1, make_call(), whole_reply(make_call()))
        verdict = home.arrive(1, make_call(attempt=3))
        self.assertIsInstance(verdict, ReplayReply)
        self.assertEqual(verdict.reply, whole_reply(make_call(attempt=3)))

    def test_later_attempt_of_a_refused_call_never_runs(self):
        home = make_table()
        home.arrive(0, make_call())
        home.ended(0, make_call(), refusal(make_call(), Reason.SHED))
        for now_s in (0, 59, 61, 119, 121, 179):
            verdict = home.arrive(now_s, make_call(attempt=2))
            self.assertIsInstance(verdict, AlreadyRefused)
            self.assertIs(verdict.reply.outcome, Outcome.NOT_RUN)

    def test_id_of_an_expired_epoch_is_unknown(self):
        home = make_table()
        home.arrive(0, make_call())
        home.ended(0, make_call(), whole_reply(make_call()))
        for minute in range(1, 10):
            home.tick(minute * EPOCH_LENGTH_S)
        for sequence in (1, 2):
            verdict = home.arrive(600, make_call(sequence))
            self.assertIsInstance(verdict, OutcomeUnknown)
            self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(home), 0)

    def test_call_that_still_runs_is_kept_past_its_epochs(self):
        home = make_table()
        home.arrive(0, make_call())
        for minute in range(1, 10):
            home.tick(minute * EPOCH_LENGTH_S)
        self.assertIsInstance(
            home.arrive(600, make_call(attempt=2)), JoinRunning
        )

    def test_id_of_a_future_epoch_is_unknown_until_that_epoch(self):
        home = make_table()
        self.assertIsInstance(
            home.arrive(0, make_call(epoch=2)), OutcomeUnknown
        )
        self.assertIsInstance(home.arrive(61, make_call(epoch=2)), RunCall)

    def test_id_of_another_incarnation_or_node_is_unknown(self):
        for incarnation in (6, 8):
            verdict = make_table().arrive(0, make_call(incarnation=incarnation))
            self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
            self.assertIs(verdict.reply.reason, Reason.HOME_GONE)
        other = HomeTable(0.0, 'other', 7)
        self.assertIsInstance(other.arrive(0, make_call()), OutcomeUnknown)
        malformed = other.arrive(0, make_call(call_id='nonsense'))
        self.assertIsInstance(malformed, OutcomeUnknown)

    def test_full_table_refuses_new_ids_for_good(self):
        home = make_table(max_calls=2)
        for sequence in (1, 2):
            home.arrive(0, make_call(sequence))
            home.ended(0, make_call(sequence), whole_reply(make_call(sequence)))
        verdict = home.arrive(0, make_call(3))
        self.assertIsInstance(verdict, NewlyRefused)
        self.assertIs(verdict.reply.outcome, Outcome.NOT_RUN)
        self.assertIsInstance(home.arrive(0, make_call(1)), ReplayReply)
        verdict_types = set()
        for now_s in range(0, 1000, 7):
            verdict_types.add(type(home.arrive(now_s, make_call(3))))
        self.assertEqual(verdict_types, {NewlyRefused, OutcomeUnknown})

    def test_full_table_accepts_ids_again_when_old_ones_expire(self):
        home = make_table(max_calls=1)
        home.arrive(0, make_call(1))
        home.ended(0, make_call(1), whole_reply(make_call(1)))
        home.arrive(0, make_call(2))
        for now_s in (60, 120, 180):
            home.tick(now_s)
        home.tick(181)
        self.assertEqual(home.id_epoch, 4)
        self.assertIsInstance(home.arrive(181, make_call(9, epoch=4)), RunCall)

    def test_large_answer_is_not_cached_and_its_call_never_runs_again(self):
        home = make_table(max_cached_answer_bytes=10)
        home.arrive(0, make_call())
        home.ended(0, make_call(), whole_reply(make_call(), b'x' * 11))
        verdict = home.arrive(1, make_call(attempt=2))
        self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
        self.assertIs(verdict.reply.reason, Reason.ANSWER_FORGOTTEN)

    def test_cached_answers_stay_within_their_total_size(self):
        home = make_table(max_cached_bytes=10)
        for sequence in (1, 2, 3):
            home.arrive(0, make_call(sequence))
            home.ended(
                0,
                make_call(sequence),
                whole_reply(make_call(sequence), b'four'),
            )
        self.assertEqual(home.cached_bytes, 8)
        outcomes = [
            home.arrive(0, make_call(sequence)).reply.outcome
            for sequence in (1, 2, 3)
        ]
        self.assertEqual(
            outcomes, [Outcome.UNKNOWN, Outcome.WHOLE, Outcome.WHOLE]
        )

    def test_same_id_with_another_request_is_not_answered(self):
        home = make_table()
        home.arrive(0, make_call())
        for now_s in (0, 1):
            for changes in ({'body': b'x'}, {'organisation': 'two'}):
                verdict = home.arrive(now_s, make_call(**changes))
                self.assertIsInstance(verdict, OutcomeUnknown)
                self.assertIs(verdict.reply.reason, Reason.KEY_REUSED)
                self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
            home.ended(1, make_call(), whole_reply(make_call()))

    def test_late_answer_replaces_unknown_and_nothing_else(self):
        home = make_table()
        home.arrive(0, make_call())
        cut = refusal(make_call(), Reason.DEADLINE, outcome=Outcome.UNKNOWN)
        home.ended(0, make_call(), cut)
        home.ended(1, make_call(), refusal(make_call(), Reason.SHED))
        verdict = home.arrive(1, make_call())
        self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
        home.ended(1, make_call(), whole_reply(make_call()))
        home.ended(1, make_call(), cut)
        verdict = home.arrive(1, make_call())
        self.assertIs(verdict.reply.outcome, Outcome.WHOLE)


class HomeTableMachine(RuleBasedStateMachine):
    """Attempts arrive, calls end and time passes, in random order."""

    issued = Bundle('issued')

    def __init__(self):
        """Use a small table, so that it fills."""
        super().__init__()
        self.now_s = 0.0
        self.home = make_table(max_calls=6, max_cached_bytes=20)
        self.runs = {}
        self.running = {}
        self.refused_ids = set()
        self.rng = random.Random(1)

    @rule(target=issued, sequence=st.integers(0, 20), ahead=st.integers(0, 1))
    def issue(self, sequence, ahead):
        return make_call(sequence, epoch=self.home.id_epoch + ahead)

    @rule(call=issued, attempt=st.integers(1, 3))
    def arrive(self, call, attempt):
        call = msgspec.structs.replace(call, attempt=attempt)
        verdict = self.home.arrive(self.now_s, call)
        match verdict:
            case RunCall():
                self.runs[call.call_id] = self.runs.get(call.call_id, 0) + 1
                self.running[call.call_id] = call
                assert call.call_id not in self.refused_ids
            case JoinRunning():
                assert call.call_id in self.running
            case _:
                self.check_reply(call, verdict.reply)

    def check_reply(self, call, reply):
        assert (reply.call_id, reply.attempt) == (call.call_id, call.attempt)
        if reply.outcome is Outcome.NOT_RUN:
            assert call.call_id not in self.runs
            self.refused_ids.add(call.call_id)
        if reply.outcome is Outcome.WHOLE:
            assert reply.body == call.call_id[-4:].encode()

    @rule(answered=st.booleans(), pick=st.integers(0, 100))
    def end(self, answered, pick):
        if not self.running:
            return
        call_id = sorted(self.running)[pick % len(self.running)]
        call = self.running.pop(call_id)
        if answered:
            reply = whole_reply(call, call_id[-4:].encode())
        else:
            reply = refusal(call, Reason.SHED)
            self.runs.pop(call_id)
            self.refused_ids.add(call_id)
        self.home.ended(self.now_s, call, reply)

    @rule(elapsed_s=st.sampled_from([0.1, 30.0, 60.0, 200.0]))
    def pass_time(self, elapsed_s):
        self.now_s += elapsed_s
        self.home.tick(self.now_s)

    @invariant()
    def runs_at_most_once_and_is_bounded(self):
        assert all(count == 1 for count in self.runs.values())
        assert len(self.home) <= 6
        assert self.home.cached_bytes <= 20


HomeTableStateTest = HomeTableMachine.TestCase
HomeTableStateTest.settings = settings(
    derandomize=True,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
