"""Binding of idempotency keys through the log."""

import unittest

import msgspec

from rattanstile.process.entry.binding import (
    AppendCompleted,
    AppendFailed,
    AppendRecord,
    AppendUnconfirmed,
    BindingMachine,
    ReadCompleted,
    ReadFailed,
    ReadStream,
)
from rattanstile.process.entry.binding_index import BindingIndex, BindingRecord
from rattanstile.process.messages import (
    BindingFailed,
    BindingRequest,
    KeyBound,
    Ticked,
)
from rattanstile.request.outcome import Reason


class FakeLog:
    """In-memory log that responds at once."""

    def __init__(self):
        self.streams = {}

    def append(self, output):
        records = self.streams.setdefault(output.stream, [])
        records.append(output.record)
        return AppendCompleted(output.record_id, len(records) - 1)

    def read(self, output, up_to=None):
        records = self.streams.get(output.stream, [])[:up_to]
        return ReadCompleted(
            output.stream,
            output.from_offset,
            tuple(records[output.from_offset :]),
            0,
            len(records),
        )


def binding_request(request_id=1, call_id='x', key='k', **changes):
    """Return a request for a binding."""
    parts = {
        'organisation': 'one',
        'fingerprint': b'f',
        'refused': '',
        'deadline_s': 10.0,
    }
    return BindingRequest(
        request_id=request_id,
        idempotency_key=key,
        call_id=call_id,
        **(parts | changes),
    )


class BindingTest(unittest.TestCase):
    """The first record of a key wins, even if responses are lost."""

    def setUp(self):
        self.log = FakeLog()
        self.first_machine = BindingMachine('one/1')
        self.second_machine = BindingMachine('two/1')

    def step_to_result(self, machine, outputs):
        """Respond to the machine from the log until it returns a result."""
        while outputs:
            (output,) = outputs
            match output:
                case ReadStream():
                    outputs = machine.step(0, self.log.read(output))
                case AppendRecord():
                    outputs = machine.step(0, self.log.append(output))
                case _:
                    return output
        return None

    def bind(self, machine, *args, **changes):
        return self.step_to_result(
            machine, machine.step(0, binding_request(*args, **changes))
        )

    def step_to_append(self, machine, *args):
        """Step the machine to its first append and return the append."""
        (read,) = machine.step(0, binding_request(*args))
        (append,) = machine.step(0, self.log.read(read))
        return append

    def test_second_node_gets_the_binding_of_the_first(self):
        self.assertEqual(
            self.bind(self.first_machine), KeyBound(1, 'x', fresh=True)
        )
        bound = self.bind(self.second_machine, 1, 'y')
        self.assertEqual(bound, KeyBound(1, 'x', fresh=False))

    def test_concurrent_nodes_agree(self):
        own_append = self.step_to_append(self.first_machine, 1, 'x')
        other_append = self.step_to_append(self.second_machine, 1, 'y')
        other_outputs = self.second_machine.step(
            0, self.log.append(other_append)
        )
        self.assertEqual(other_outputs, [KeyBound(1, 'y', fresh=True)])
        bound = self.step_to_result(
            self.first_machine,
            self.first_machine.step(0, self.log.append(own_append)),
        )
        self.assertEqual(bound, KeyBound(1, 'y', fresh=False))

    def test_bound_key_needs_no_log_access(self):
        self.bind(self.first_machine)
        outputs = self.first_machine.step(0, binding_request(2, 'y'))
        self.assertEqual(outputs, [KeyBound(2, 'x', fresh=False)])

    def test_organisations_share_no_keys(self):
        self.bind(self.first_machine)
        bound = self.bind(self.first_machine, 2, 'y', organisation='two')
        self.assertEqual(bound, KeyBound(2, 'y', fresh=True))

    def test_key_with_another_request_is_refused(self):
        self.bind(self.first_machine)
        failed = self.bind(self.second_machine, 2, 'y', fingerprint=b'g')
        self.assertEqual(
            failed, BindingFailed(2, Reason.KEY_REUSED, proved_unbound=False)
        )

    def test_failed_read_proves_that_nothing_was_appended(self):
        (read,) = self.first_machine.step(0, binding_request())
        failed = self.first_machine.step(0, ReadFailed(read.stream))
        self.assertEqual(
            failed, [BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=True)]
        )

    def test_refused_append_proves_that_nothing_was_appended(self):
        append = self.step_to_append(self.first_machine)
        failed = self.first_machine.step(0, AppendFailed(append.record_id))
        self.assertEqual(
            failed, [BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=True)]
        )

    def test_unconfirmed_append_is_resolved_by_reading_on(self):
        append = self.step_to_append(self.first_machine)
        self.log.append(append)
        outputs = self.first_machine.step(
            0, AppendUnconfirmed(append.record_id)
        )
        bound = self.step_to_result(self.first_machine, outputs)
        self.assertEqual(bound, KeyBound(1, 'x', fresh=True))
        self.assertEqual(len(self.log.streams[append.stream]), 1)

    def test_refused_append_after_an_unconfirmed_one_proves_nothing(self):
        append = self.step_to_append(self.first_machine)
        (read,) = self.first_machine.step(
            0, AppendUnconfirmed(append.record_id)
        )
        (second_append,) = self.first_machine.step(0, self.log.read(read))
        self.assertEqual(second_append.record, append.record)
        failed = self.first_machine.step(
            0, AppendFailed(second_append.record_id)
        )
        self.assertEqual(
            failed, [BindingFailed(1, Reason.LOG_NEEDED, proved_unbound=False)]
        )

    def test_appends_of_a_record_are_bounded(self):
        append = self.step_to_append(self.first_machine)
        appends = 1
        for _ in range(9):
            (read,) = self.first_machine.step(
                0, AppendUnconfirmed(append.record_id)
            ) or [None]
            if read is None:
                break
            appends += len(self.first_machine.step(0, self.log.read(read)))
        self.assertEqual(appends, 3)
        self.assertIsNotNone(self.first_machine.next_wake_s())

    def test_lagging_replica_is_read_again(self):
        own_append = self.step_to_append(self.first_machine, 1, 'x')
        self.log.append(self.step_to_append(self.second_machine, 1, 'y'))
        (read,) = self.first_machine.step(0, self.log.append(own_append))
        self.assertEqual(
            self.first_machine.step(0, self.log.read(read, up_to=0)), []
        )
        (read,) = self.first_machine.step(
            self.first_machine.next_wake_s(), Ticked()
        )
        bound = self.first_machine.step(1, self.log.read(read))
        self.assertEqual(bound, [KeyBound(1, 'y', fresh=False)])

    def test_refused_id_is_replaced_once(self):
        self.bind(self.first_machine)
        bound = self.bind(self.first_machine, 2, 'y', refused='x')
        self.assertEqual(bound, KeyBound(2, 'y', fresh=True))
        bound = self.bind(self.second_machine, 3, 'z', refused='x')
        self.assertEqual(bound, KeyBound(3, 'y', fresh=False))

    def test_request_past_its_deadline_is_dropped(self):
        append = self.step_to_append(self.first_machine)
        (read,) = self.first_machine.step(
            0, AppendUnconfirmed(append.record_id)
        )
        self.first_machine.step(11, ReadFailed(read.stream))
        self.assertIsNone(self.first_machine.next_wake_s())
        self.assertEqual(
            self.first_machine.step(11, AppendCompleted(append.record_id, 0)),
            [],
        )

    def test_least_recently_used_streams_are_evicted_and_reread(self):
        small = BindingMachine('small/1', max_keys=2)
        for number in range(40):
            self.bind(
                self.first_machine, number, f'x{number}', key=f'k{number}'
            )
        for number in (*range(40), 0):
            bound = self.bind(small, number, 'y', key=f'k{number}')
            self.assertEqual(bound.call_id, f'x{number}')


class BindingIndexTest(unittest.TestCase):
    """Index of the records of a stream."""

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

    def test_records_past_retention_are_removed(self):
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

    def test_undecodable_record_binds_nothing(self):
        index = BindingIndex()
        index.fold(0, (b'\xff nonsense', self.record('x')))
        self.assertEqual((len(index), index.next_offset), (1, 2))
