"""Plans and confirmations of operators, with faults of the log."""

import unittest

from result import Err, Ok
from twisted.internet.defer import Deferred, succeed

from rattanstile.errors import ConflictError, ExitCode
from rattanstile.process.configuration.log_client import (
    AppendUncertain,
    LogUnavailable,
    ReadBatch,
)
from rattanstile.process.configuration.operators import (
    NoSuchPlan,
    OperatorCommands,
)
from rattanstile.process.configuration.stream_state import (
    StreamContents,
    fold_stream,
)
from rattanstile.version.change import DeclarationChange
from rattanstile.version.declaration import Declaration
from rattanstile.version.fold import Fold
from rattanstile.version.records import (
    CONFIGURATION_STREAM,
    ConfigurationRecord,
)


class InMemoryLog:
    """In-memory streams with faults of the configuration stream's appends."""

    def __init__(self):
        self.streams = {}
        self.down = False
        self.lose_response = False
        self.lose_append = False
        self.before_append = None

    def append(self, stream, record):
        if self.down:
            return succeed(Err(LogUnavailable('down')))
        records = self.streams.setdefault(stream, [])
        if stream == CONFIGURATION_STREAM:
            if self.before_append is not None:
                concurrent_append = self.before_append
                self.before_append = None
                concurrent_append()
            if self.lose_append:
                return succeed(Err(AppendUncertain('lost')))
            if self.lose_response:
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


def result_of(coroutine):
    results = []
    Deferred.fromCoroutine(coroutine).addBoth(results.append)
    return results[0]


class OperatorsTest(unittest.TestCase):
    """A plan takes effect only when it is confirmed, and only once."""

    def setUp(self):
        self.log = InMemoryLog()
        self.first_operator = OperatorCommands(self.log, 'one')
        self.second_operator = OperatorCommands(self.log, 'two')

    def make_plan(self, operators, **fields):
        return result_of(operators.plan(Declaration(**fields))).unwrap()

    def confirm_plan(self, operators, plan):
        return result_of(operators.confirm(plan.plan_id))

    def current_fold(self):
        return result_of(self.first_operator.state()).unwrap().fold

    def test_plan_alone_changes_nothing(self):
        plan = self.make_plan(self.first_operator, max_hops=9)
        self.assertEqual(len(plan.differences), 1)
        self.assertEqual(self.current_fold().version, 0)

    def test_another_client_confirms_by_plan_id(self):
        plan = self.make_plan(self.first_operator, max_hops=9)
        confirmation = self.confirm_plan(self.second_operator, plan).unwrap()
        self.assertEqual(
            (confirmation.version, confirmation.repeated), (1, False)
        )
        self.assertEqual(self.current_fold().declaration.max_hops, 9)

    def test_second_confirm_on_one_base_conflicts(self):
        first = self.make_plan(self.first_operator, max_hops=9)
        second = self.make_plan(self.second_operator, max_hops=5)
        self.confirm_plan(self.first_operator, first).unwrap()
        conflict = self.confirm_plan(self.second_operator, second).unwrap_err()
        self.assertIsInstance(conflict, ConflictError)
        self.assertEqual(conflict.exit_code, ExitCode.CONFLICT)
        self.assertIn('max_hops: 32 -> 9', conflict.message)
        self.assertEqual(self.current_fold().declaration.max_hops, 9)

    def test_confirm_that_loses_an_append_race_conflicts(self):
        first = self.make_plan(self.first_operator, max_hops=9)
        second = self.make_plan(self.second_operator, max_hops=5)
        self.log.before_append = lambda: self.confirm_plan(
            self.first_operator, first
        )
        conflict = self.confirm_plan(self.second_operator, second).unwrap_err()
        self.assertIsInstance(conflict, ConflictError)
        self.assertIn('by one', conflict.message)
        self.assertEqual(self.current_fold().version, 1)

    def test_lost_append_response_is_resolved_by_reading(self):
        plan = self.make_plan(self.first_operator, max_hops=9)
        self.log.lose_response = True
        confirmation = self.confirm_plan(self.first_operator, plan).unwrap()
        self.assertEqual(
            (confirmation.version, confirmation.repeated), (1, False)
        )
        again = self.confirm_plan(self.first_operator, plan).unwrap()
        self.assertEqual((again.version, again.repeated), (1, True))

    def test_lost_append_is_uncertain_and_can_be_retried(self):
        plan = self.make_plan(self.first_operator, max_hops=9)
        self.log.lose_append = True
        failure = self.confirm_plan(self.first_operator, plan).unwrap_err()
        self.assertEqual(failure.exit_code, ExitCode.UNCERTAIN)
        self.log.lose_append = False
        self.assertEqual(
            self.confirm_plan(self.first_operator, plan).unwrap().version, 1
        )

    def test_repeated_confirm_of_an_old_plan_is_recognized(self):
        plan = self.make_plan(self.first_operator, max_hops=9)
        self.confirm_plan(self.first_operator, plan).unwrap()
        for hops in range(1, 8):
            later = self.make_plan(self.second_operator, max_hops=hops)
            self.confirm_plan(self.second_operator, later).unwrap()
        again = self.confirm_plan(self.first_operator, plan).unwrap()
        self.assertEqual((again.version, again.repeated), (1, True))

    def test_unavailable_log_reports_that_nothing_was_done(self):
        plan = self.make_plan(self.first_operator, max_hops=9)
        self.log.down = True
        failure = self.confirm_plan(self.first_operator, plan).unwrap_err()
        self.assertEqual(failure.exit_code, ExitCode.UNAVAILABLE)

    def test_unknown_plan_is_refused(self):
        failure = result_of(self.first_operator.confirm('nothing')).unwrap_err()
        self.assertIsInstance(failure, NoSuchPlan)


class StreamStateTest(unittest.TestCase):
    """Records past retention are never inferred."""

    def record(self, base):
        return ConfigurationRecord(
            record_id=f'record{base}',
            base=base,
            plan_id=f'plan{base}',
            change=DeclarationChange(max_hops=base + 1),
        )

    def stream(self, oldest, records):
        offset_records = [
            (oldest + index, record) for index, record in enumerate(records)
        ]
        return StreamContents(oldest, oldest + len(records), offset_records)

    def snapshot(self, versions):
        fold = Fold()
        fold.observe_log_start()
        for base in range(versions):
            fold.offer(base, self.record(base))
        return fold.snapshot('snapshot')

    def test_empty_stream_past_retention_is_not_a_new_stream(self):
        failure = fold_stream(self.stream(7, [])).unwrap_err()
        self.assertEqual(failure.exit_code, ExitCode.UNAVAILABLE)
        self.assertEqual(
            fold_stream(self.stream(0, [])).unwrap().fold.version, 0
        )

    def test_history_continues_from_the_first_snapshot(self):
        records = [self.record(5), self.record(5), self.snapshot(5)]
        state = fold_stream(self.stream(5, [*records, self.record(6)])).unwrap()
        self.assertEqual(state.fold.version, 7)
        self.assertEqual(state.version_of('plan6'), 7)
        self.assertEqual(
            [entry.accepted.version for entry in state.history], [6, 7]
        )

    def test_snapshot_older_than_the_oldest_record_is_refused(self):
        stream = self.stream(9, [self.snapshot(5), self.record(5)])
        self.assertTrue(fold_stream(stream).is_err())
