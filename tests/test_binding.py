"""Binding of idempotency keys through the log."""

import unittest

import msgspec

from rattanstile.process.entry.binding import (
    AppendCompleted,
    AppendUnconfirmed,
    AppendRecord,
    BindingMachine,
    AppendFailed,
    ReadFailed,
    ReadStream,
    ReadCompleted,
)
from rattanstile.process.entry.binding_index import BindingIndex, BindingRecord
from rattanstile.process.messages import (
    BindingFailed,
    BindingWanted,
    Bound,
    Ticked,
)
from rattanstile.request.outcome import Reason


class Log:
    """The streams of a log that answers at once."""

    def __init__(self):
        self.streams = {}

    def take(self, append):
        records = self.streams.setdefault(append.stream, [])
        records.append(append.record)
        return AppendCompleted(append.record_id, len(records) - 1)

    def read(self, read, upto=None):
        records = self.streams.get(read.stream, [])[:upto]
        return ReadCompleted(
            read.stream,
            read.from_offset,
            tuple(records[read.from_offset :]),
            0,
            len(records),
        )


def wanted(request_id=1, call_id='x', key='k', **changes):
    """Return a request's wish for a binding."""
    parts = {
        'organisation': 'one',
        'fingerprint': b'f',
        'refused': '',
        'deadline_s': 10.0,
    }
    return BindingWanted(
        request_id=request_id,
        idempotency_key=key,
        call_id=call_id,
        **(parts | changes),
    )


class BindingTest(unittest.TestCase):
    """The first record of a key wins, whatever is lost."""

    def setUp(self):
        self.log = Log()
        self.one = BindingMachine('one/1')
        self.two = BindingMachine('two/1')

    def settle(self, machine, outputs):
        """Answer the machine truly until it is done."""
        while outputs:
            (output,) = outputs
            match output:
                case ReadStream():
                    outputs = machine.step(0, self.log.read(output))
                case AppendRecord():
                    outputs = machine.step(0, self.log.take(output))
                case _:
                    return output
        return None

    def bind(self, machine, *args, **changes):
        return self.settle(machine, machine.step(0, wanted(*args, **changes)))

    def appending(self, machine, *args):
        """Bring a machine to the point where it appends."""
        (read,) = machine.step(0, wanted(*args))
        (append,) = machine.step(0, self.log.read(read))
        return append

    def test_second_node_gets_the_binding_of_the_first(self):
        self.assertEqual(self.bind(self.one), Bound(1, 'x', fresh=True))
        bound = self.bind(self.two, 1, 'y')
        self.assertEqual(bound, Bound(1, 'x', fresh=False))

    def test_racing_nodes_agree(self):
        mine = self.appending(self.one, 1, 'x')
        other = self.appending(self.two, 1, 'y')
        theirs = self.two.step(0, self.log.take(other))
        self.assertEqual(theirs, [Bound(1, 'y', fresh=True)])
        bound = self.settle(self.one, self.one.step(0, self.log.take(mine)))
        self.assertEqual(bound, Bound(1, 'y', fresh=False))

    def test_key_bound_before_needs_no_log(self):
        self.bind(self.one)
        again = self.one.step(0, wanted(2, 'y'))
        self.assertEqual(again, [Bound(2, 'x', fresh=False)])

    def test_organisations_share_no_keys(self):
        self.bind(self.one)
        bound = self.bind(self.one, 2, 'y', organisation='two')
        self.assertEqual(bound, Bound(2, 'y', fresh=True))

    def test_key_with_another_request_is_refused(self):
        self.bind(self.one)
        failed = self.bind(self.two, 2, 'y', fingerprint=b'g')
        self.assertEqual(
            failed, BindingFailed(2, Reason.KEY_REUSED, proved_unbound=False)
        )

    def test_log_down_before_the_append_is_proved(self):
        (read,) = self.one.step(0, wanted())
        failed = self.one.step(0, ReadFailed(read.stream))
        self.assertEqual(
            failed, [BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=True)]
        )

    def test_append_that_the_log_refused_is_proved(self):
        append = self.appending(self.one)
        failed = self.one.step(0, AppendFailed(append.record_id))
        self.assertEqual(
            failed, [BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=True)]
        )

    def test_lost_answer_is_settled_by_reading_on(self):
        append = self.appending(self.one)
        self.log.take(append)
        outputs = self.one.step(0, AppendUnconfirmed(append.record_id))
        bound = self.settle(self.one, outputs)
        self.assertEqual(bound, Bound(1, 'x', fresh=True))
        self.assertEqual(len(self.log.streams[append.stream]), 1)

    def test_refusal_after_a_lost_answer_proves_nothing(self):
        append = self.appending(self.one)
        (read,) = self.one.step(0, AppendUnconfirmed(append.record_id))
        (again,) = self.one.step(0, self.log.read(read))
        self.assertEqual(again.record, append.record)
        failed = self.one.step(0, AppendFailed(again.record_id))
        self.assertEqual(
            failed, [BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=False)]
        )

    def test_record_is_appended_a_few_times_at_most(self):
        append = self.appending(self.one)
        appends = 1
        for _ in range(9):
            (read,) = self.one.step(0, AppendUnconfirmed(append.record_id)) or [None]
            if read is None:
                break
            appends += len(self.one.step(0, self.log.read(read)))
        self.assertEqual(appends, 3)
        self.assertIsNotNone(self.one.next_wake_s())

    def test_replica_that_is_behind_is_read_again(self):
        mine = self.appending(self.one, 1, 'x')
        self.log.take(self.appending(self.two, 1, 'y'))
        (read,) = self.one.step(0, self.log.take(mine))
        self.assertEqual(self.one.step(0, self.log.read(read, upto=0)), [])
        (read,) = self.one.step(self.one.next_wake_s(), Ticked())
        bound = self.one.step(1, self.log.read(read))
        self.assertEqual(bound, [Bound(1, 'y', fresh=False)])

    def test_refused_id_is_replaced_once(self):
        self.bind(self.one)
        bound = self.bind(self.one, 2, 'y', refused='x')
        self.assertEqual(bound, Bound(2, 'y', fresh=True))
        bound = self.bind(self.two, 3, 'z', refused='x')
        self.assertEqual(bound, Bound(3, 'y', fresh=False))

    def test_wish_past_its_deadline_is_dropped(self):
        append = self.appending(self.one)
        (read,) = self.one.step(0, AppendUnconfirmed(append.record_id))
        self.one.step(11, ReadFailed(read.stream))
        self.assertIsNone(self.one.next_wake_s())
        self.assertEqual(self.one.step(11, AppendCompleted(append.record_id, 0)), [])

    def test_streams_used_least_are_forgotten_and_read_again(self):
        small = BindingMachine('small/1', most_keys=2)
        for number in range(40):
            self.bind(self.one, number, f'x{number}', key=f'k{number}')
        for number in (*range(40), 0):
            bound = self.bind(small, number, 'y', key=f'k{number}')
            self.assertEqual(bound.call_id, f'x{number}')


class BindingIndexTest(unittest.TestCase):
    """Fold of records."""

    def record(self, call_id, key=b'k', refused=''):
        return msgspec.msgpack.encode(
            BindingRecord(
                record_id=call_id,
                key_digest=key,
                fingerprint=b'f',
                call_id=call_id,
                refused=refused,
            )
        )

    def test_records_past_retention_are_forgotten(self):
        index = BindingIndex()
        index.fold(0, (self.record('x'), self.record('y', b'l')))
        index.fold(2, (self.record('z', refused='x'),))
        index.trim(2)
        self.assertIsNone(index.binding(b'l'))
        self.assertEqual(index.binding(b'k').call_id, 'z')
        index.trim(3)
        self.assertEqual(len(index), 0)

    def test_replacement_without_its_first_record_still_binds(self):
        index = BindingIndex()
        index.trim(2)
        index.fold(2, (self.record('z', refused='x'), self.record('y')))
        self.assertEqual(index.binding(b'k').call_id, 'z')

    def test_record_that_is_no_binding_binds_nothing(self):
        index = BindingIndex()
        index.fold(0, (b'\xff nonsense', self.record('x')))
        self.assertEqual((len(index), index.next_offset), (1, 2))
