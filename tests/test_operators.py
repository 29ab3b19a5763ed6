"""Operators' plans and confirmations, with faults of the log."""

import unittest

from result import Err, Ok
from twisted.internet.defer import Deferred, succeed

from rattanstile.errors import ConflictError, ExitCode
from rattanstile.process.configuration.log_client import (
    AppendUncertain,
    LogUnavailable,
    ReadBatch,
)
from rattanstile.process.configuration.operators import NoSuchPlan, OperatorCommands
from rattanstile.process.configuration.stream_state import StreamRead, state_of
from rattanstile.version.change import DeclarationChange
from rattanstile.version.declaration import Declaration
from rattanstile.version.fold import Fold
from rattanstile.version.records import (
    CONFIGURATION_STREAM,
    ConfigurationRecord,
)


class MemoryLog:
    """Streams in memory; faults hit the configuration stream's appends."""

    def __init__(self):
        self.streams = {}
        self.down = False
        self.lose_answer = False
        self.lose_append = False
        self.before_append = None

    def append(self, stream, record):
        if self.down:
            return succeed(Err(LogUnavailable('down')))
        records = self.streams.setdefault(stream, [])
        if stream == CONFIGURATION_STREAM:
            if self.before_append is not None:
                racing = self.before_append
                self.before_append = None
                racing()
            if self.lose_append:
                return succeed(Err(AppendUncertain('lost')))
            if self.lose_answer:
                records.append(record)
                return succeed(Err(AppendUncertain('lost')))
        records.append(record)
        return succeed(Ok(len(records) - 1))

    def read(self, stream, from_offset, wait_s):
        if self.down:
            return succeed(Err(LogUnavailable('down')))
        records = tuple(self.streams.get(stream, ())[from_offset:])
        end = len(self.streams.get(stream, ()))
        return succeed(Ok(ReadBatch(from_offset, records, 0, end)))


def ended(coroutine):
    results = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    return results[0]


class OperatorsTest(unittest.TestCase):
    """Nothing takes effect before it is confirmed, and then once."""

    def setUp(self):
        self.log = MemoryLog()
        self.one = OperatorCommands(self.log, 'one')
        self.two = OperatorCommands(self.log, 'two')

    def planned(self, operators, **fields):
        return ended(operators.plan(Declaration(**fields))).unwrap()

    def confirmed(self, operators, plan):
        return ended(operators.confirm(plan.plan_id))

    def in_force(self):
        return ended(self.one.state()).unwrap().fold

    def test_plan_alone_changes_nothing(self):
        plan = self.planned(self.one, max_hops=9)
        self.assertEqual(len(plan.differences), 1)
        self.assertEqual(self.in_force().version, 0)

    def test_another_shell_confirms_by_the_id_alone(self):
        plan = self.planned(self.one, max_hops=9)
        confirmed = self.confirmed(self.two, plan).unwrap()
        self.assertEqual((confirmed.version, confirmed.repeated), (1, False))
        self.assertEqual(self.in_force().declaration.max_hops, 9)

    def test_second_confirm_on_one_base_learns_what_came_first(self):
        first = self.planned(self.one, max_hops=9)
        second = self.planned(self.two, max_hops=5)
        self.confirmed(self.one, first).unwrap()
        conflict = self.confirmed(self.two, second).unwrap_err()
        self.assertIsInstance(conflict, ConflictError)
        self.assertEqual(conflict.exit_code, ExitCode.CONFLICT)
        self.assertIn('max_hops: 32 -> 9', conflict.message)
        self.assertEqual(self.in_force().declaration.max_hops, 9)

    def test_confirm_that_loses_the_race_at_the_log_learns_it(self):
        first = self.planned(self.one, max_hops=9)
        second = self.planned(self.two, max_hops=5)
        self.log.before_append = lambda: self.confirmed(self.one, first)
        conflict = self.confirmed(self.two, second).unwrap_err()
        self.assertIsInstance(conflict, ConflictError)
        self.assertIn('by one', conflict.message)
        self.assertEqual(self.in_force().version, 1)

    def test_lost_answer_is_settled_by_reading_on(self):
        plan = self.planned(self.one, max_hops=9)
        self.log.lose_answer = True
        confirmed = self.confirmed(self.one, plan).unwrap()
        self.assertEqual((confirmed.version, confirmed.repeated), (1, False))
        again = self.confirmed(self.one, plan).unwrap()
        self.assertEqual((again.version, again.repeated), (1, True))

    def test_append_that_is_not_seen_may_still_take_effect(self):
        plan = self.planned(self.one, max_hops=9)
        self.log.lose_append = True
        failure = self.confirmed(self.one, plan).unwrap_err()
        self.assertEqual(failure.exit_code, ExitCode.UNCERTAIN)
        self.log.lose_append = False
        self.assertEqual(self.confirmed(self.one, plan).unwrap().version, 1)

    def test_plan_confirmed_long_ago_is_still_known(self):
        plan = self.planned(self.one, max_hops=9)
        self.confirmed(self.one, plan).unwrap()
        for hops in range(1, 8):
            later = self.planned(self.two, max_hops=hops)
            self.confirmed(self.two, later).unwrap()
        again = self.confirmed(self.one, plan).unwrap()
        self.assertEqual((again.version, again.repeated), (1, True))

    def test_log_that_is_down_says_that_nothing_was_done(self):
        plan = self.planned(self.one, max_hops=9)
        self.log.down = True
        failure = self.confirmed(self.one, plan).unwrap_err()
        self.assertEqual(failure.exit_code, ExitCode.UNAVAILABLE)

    def test_unknown_plan_is_refused(self):
        failure = ended(self.one.confirm('nothing')).unwrap_err()
        self.assertIsInstance(failure, NoSuchPlan)


class StreamStateTest(unittest.TestCase):
    """Records past retention are never guessed."""

    def record(self, base):
        return ConfigurationRecord(
            record_id=f'record{base}',
            base=base,
            plan_id=f'plan{base}',
            change=DeclarationChange(max_hops=base + 1),
        )

    def stream(self, oldest, records):
        placed = [
            (oldest + place, record) for place, record in enumerate(records)
        ]
        return StreamRead(oldest, oldest + len(records), placed)

    def snapshot(self, versions):
        fold = Fold()
        fold.see_start()
        for base in range(versions):
            fold.offer(base, self.record(base))
        return fold.snapshot('snapshot')

    def test_stream_that_lost_its_records_is_not_taken_for_a_new_one(self):
        failure = state_of(self.stream(7, [])).unwrap_err()
        self.assertEqual(failure.exit_code, ExitCode.UNAVAILABLE)
        self.assertEqual(state_of(self.stream(0, [])).unwrap().fold.version, 0)

    def test_history_goes_on_from_the_first_snapshot(self):
        records = [self.record(5), self.record(5), self.snapshot(5)]
        state = state_of(self.stream(5, [*records, self.record(6)])).unwrap()
        self.assertEqual(state.fold.version, 7)
        self.assertEqual(state.version_of('plan6'), 7)
        self.assertEqual(
            [one.accepted.version for one in state.history], [6, 7]
        )

    def test_snapshot_that_ends_before_the_oldest_record_is_refused(self):
        stream = self.stream(9, [self.snapshot(5), self.record(5)])
        self.assertTrue(state_of(stream).is_err())
