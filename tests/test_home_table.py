"""The home's table, also as a state machine of arrivals in any order."""

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
    AnswerAgain,
    CannotTell,
    HomeLimits,
    HomeTable,
    JoinRunning,
    RefusedBefore,
    RefusedNow,
    RunIt,
)
from rattanstile.request.call_id import ParsedCallId
from rattanstile.request.envelope import Call, Reply, refusal
from rattanstile.request.outcome import Outcome, Reason


def call(sequence=1, epoch=1, incarnation=7, attempt=1, **changes):
    """Return a copy of a call whose home is `home`."""
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


def whole(of, body=b'answer'):
    """Return a whole answer of a call."""
    return Reply(
        call_id=of.call_id,
        attempt=of.attempt,
        outcome=Outcome.WHOLE,
        body=body,
    )


def table(**limits):
    """Return a table of incarnation 7 of the node `home`."""
    return HomeTable(0.0, 'home', 7, HomeLimits(**limits))


class HomeTableTest(unittest.TestCase):
    """A call runs once, and `not run` stays true."""

    def test_copy_joins_the_run_and_gets_its_answer(self):
        home = table()
        self.assertIsInstance(home.arrive(0, call()), RunIt)
        self.assertIsInstance(home.arrive(0, call(attempt=2)), JoinRunning)
        home.ended(1, call(), whole(call()))
        verdict = home.arrive(1, call(attempt=3))
        self.assertIsInstance(verdict, AnswerAgain)
        self.assertEqual(verdict.reply, whole(call(attempt=3)))

    def test_copy_of_a_refused_call_never_runs(self):
        home = table()
        home.arrive(0, call())
        home.ended(0, call(), refusal(call(), Reason.SHED))
        for now_s in (0, 59, 61, 119, 121, 179):
            verdict = home.arrive(now_s, call(attempt=2))
            self.assertIsInstance(verdict, RefusedBefore)
            self.assertIs(verdict.reply.outcome, Outcome.NOT_RUN)

    def test_id_older_than_the_table_is_unknown(self):
        home = table()
        home.arrive(0, call())
        home.ended(0, call(), whole(call()))
        for minute in range(1, 10):
            home.tick(minute * EPOCH_LENGTH_S)
        for sequence in (1, 2):
            verdict = home.arrive(600, call(sequence))
            self.assertIsInstance(verdict, CannotTell)
            self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(home), 0)

    def test_call_that_still_runs_is_kept_past_its_epochs(self):
        home = table()
        home.arrive(0, call())
        for minute in range(1, 10):
            home.tick(minute * EPOCH_LENGTH_S)
        self.assertIsInstance(home.arrive(600, call(attempt=2)), JoinRunning)

    def test_id_of_a_future_epoch_is_unknown_and_runs_in_its_time(self):
        home = table()
        self.assertIsInstance(home.arrive(0, call(epoch=2)), CannotTell)
        self.assertIsInstance(home.arrive(61, call(epoch=2)), RunIt)

    def test_id_of_another_incarnation_or_node_is_unknown(self):
        for incarnation in (6, 8):
            verdict = table().arrive(0, call(incarnation=incarnation))
            self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
            self.assertIs(verdict.reply.reason, Reason.HOME_GONE)
        other = HomeTable(0.0, 'other', 7)
        self.assertIsInstance(other.arrive(0, call()), CannotTell)
        nonsense = other.arrive(0, call(call_id='nonsense'))
        self.assertIsInstance(nonsense, CannotTell)

    def test_full_table_refuses_new_ids_for_good(self):
        home = table(max_calls=2)
        for sequence in (1, 2):
            home.arrive(0, call(sequence))
            home.ended(0, call(sequence), whole(call(sequence)))
        verdict = home.arrive(0, call(3))
        self.assertIsInstance(verdict, RefusedNow)
        self.assertIs(verdict.reply.outcome, Outcome.NOT_RUN)
        self.assertIsInstance(home.arrive(0, call(1)), AnswerAgain)
        seen = set()
        for now_s in range(0, 1000, 7):
            seen.add(type(home.arrive(now_s, call(3))))
        self.assertEqual(seen, {RefusedNow, CannotTell})

    def test_full_table_takes_ids_again_when_old_ones_expire(self):
        home = table(max_calls=1)
        home.arrive(0, call(1))
        home.ended(0, call(1), whole(call(1)))
        home.arrive(0, call(2))
        for now_s in (60, 120, 180):
            home.tick(now_s)
        home.tick(181)
        self.assertEqual(home.id_epoch, 4)
        self.assertIsInstance(home.arrive(181, call(9, epoch=4)), RunIt)

    def test_large_answer_is_not_kept_and_never_run_again(self):
        home = table(largest_answer_bytes=10)
        home.arrive(0, call())
        home.ended(0, call(), whole(call(), b'x' * 11))
        verdict = home.arrive(1, call(attempt=2))
        self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
        self.assertIs(verdict.reply.reason, Reason.ANSWER_FORGOTTEN)

    def test_answers_kept_stay_within_their_bytes(self):
        home = table(max_cached_bytes=10)
        for sequence in (1, 2, 3):
            home.arrive(0, call(sequence))
            home.ended(0, call(sequence), whole(call(sequence), b'four'))
        self.assertEqual(home.kept_bytes, 8)
        outcomes = [
            home.arrive(0, call(sequence)).reply.outcome
            for sequence in (1, 2, 3)
        ]
        self.assertEqual(
            outcomes, [Outcome.UNKNOWN, Outcome.WHOLE, Outcome.WHOLE]
        )

    def test_same_id_with_another_request_is_not_answered(self):
        home = table()
        home.arrive(0, call())
        for now_s in (0, 1):
            for changes in ({'body': b'x'}, {'organisation': 'two'}):
                verdict = home.arrive(now_s, call(**changes))
                self.assertIsInstance(verdict, CannotTell)
                self.assertIs(verdict.reply.reason, Reason.KEY_REUSED)
                self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
            home.ended(1, call(), whole(call()))

    def test_late_answer_replaces_unknown_and_nothing_else(self):
        home = table()
        home.arrive(0, call())
        cut = refusal(call(), Reason.DEADLINE, outcome=Outcome.UNKNOWN)
        home.ended(0, call(), cut)
        home.ended(1, call(), refusal(call(), Reason.SHED))
        verdict = home.arrive(1, call())
        self.assertIs(verdict.reply.outcome, Outcome.UNKNOWN)
        home.ended(1, call(), whole(call()))
        home.ended(1, call(), cut)
        verdict = home.arrive(1, call())
        self.assertIs(verdict.reply.outcome, Outcome.WHOLE)


class HomeTableMachine(RuleBasedStateMachine):
    """Copies arrive, calls end, time passes, in any order."""

    issued = Bundle('issued')

    def __init__(self):
        """Use a small table, so that it fills."""
        super().__init__()
        self.now_s = 0.0
        self.home = table(max_calls=6, max_cached_bytes=20)
        self.runs = {}
        self.running = {}
        self.never = set()
        self.rng = random.Random(1)

    @rule(target=issued, sequence=st.integers(0, 20), ahead=st.integers(0, 1))
    def issue(self, sequence, ahead):
        return call(sequence, epoch=self.home.id_epoch + ahead)

    @rule(copy=issued, attempt=st.integers(1, 3))
    def arrive(self, copy, attempt):
        copy = msgspec.structs.replace(copy, attempt=attempt)
        verdict = self.home.arrive(self.now_s, copy)
        match verdict:
            case RunIt():
                self.runs[copy.call_id] = self.runs.get(copy.call_id, 0) + 1
                self.running[copy.call_id] = copy
                assert copy.call_id not in self.never
            case JoinRunning():
                assert copy.call_id in self.running
            case _:
                self.told(copy, verdict.reply)

    def told(self, copy, reply):
        assert (reply.call_id, reply.attempt) == (copy.call_id, copy.attempt)
        if reply.outcome is Outcome.NOT_RUN:
            assert copy.call_id not in self.runs
            self.never.add(copy.call_id)
        if reply.outcome is Outcome.WHOLE:
            assert reply.body == copy.call_id[-4:].encode()

    @rule(answered=st.booleans(), pick=st.integers(0, 100))
    def end(self, answered, pick):
        if not self.running:
            return
        call_id = sorted(self.running)[pick % len(self.running)]
        ended = self.running.pop(call_id)
        if answered:
            reply = whole(ended, call_id[-4:].encode())
        else:
            reply = refusal(ended, Reason.SHED)
            self.runs.pop(call_id)
            self.never.add(call_id)
        self.home.ended(self.now_s, ended, reply)

    @rule(elapsed_s=st.sampled_from([0.1, 30.0, 60.0, 200.0]))
    def pass_time(self, elapsed_s):
        self.now_s += elapsed_s
        self.home.tick(self.now_s)

    @invariant()
    def runs_at_most_once_and_is_bounded(self):
        assert all(count == 1 for count in self.runs.values())
        assert len(self.home) <= 6
        assert self.home.kept_bytes <= 20


HomeTableStateTest = HomeTableMachine.TestCase
HomeTableStateTest.settings = settings(
    derandomize=True,
    database=None,
    max_examples=60,
    stateful_step_count=40,
    deadline=None,
)
