"""Reading one stream of the log, with outages and stale replicas."""

import unittest
from random import Random

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from rattanstile.process.configuration.log_client import (
    LogUnavailable,
    OffsetTooOld,
    ReadBatch,
)
from rattanstile.process.configuration.log_reader import (
    MAX_BACKOFF_S,
    LogReader,
    StreamGap,
    StreamReadFailed,
    StreamRecords,
)
from rattanstile.version.records import MarkRecord, encode_record


class ManualLogClient:
    """Leaves each read pending until the test completes it."""

    def __init__(self):
        self.read_offsets = []
        self.pending_read = None

    def read(self, stream, from_offset, wait_s):
        self.read_offsets.append(from_offset)
        self.pending_read = Deferred()
        return self.pending_read


def batch(first, count, next_offset=None):
    records = tuple(
        encode_record(MarkRecord(record_id=f'mark{first + index}'))
        for index in range(count)
    )
    end = first + count if next_offset is None else next_offset
    return Ok(ReadBatch(first, records, 0, end))


class LogReaderTest(unittest.TestCase):
    """Records are delivered in order and once, despite faults of the log."""

    def setUp(self):
        self.clock = Clock()
        self.client = ManualLogClient()
        self.events = []
        self.reader = LogReader(
            self.clock, self.client, 'members', Random(1), self.events.append
        )
        self.reader.start(0)

    def respond(self, read_result):
        self.client.pending_read.callback(read_result)

    def test_records_are_delivered_and_reading_continues(self):
        self.respond(batch(0, 2))
        self.respond(batch(2, 1, 5))
        self.assertEqual(self.client.read_offsets, [0, 2, 3])
        ids = [
            record.record_id
            for event in self.events
            for record in event.records
        ]
        self.assertEqual(ids, ['mark0', 'mark1', 'mark2'])
        self.assertEqual(
            [delivered.at_end for delivered in self.events], [True, False]
        )

    def test_outage_is_reported_and_read_retried(self):
        for failures in range(1, 9):
            self.respond(Err(LogUnavailable('down')))
            self.assertEqual(self.events[-1], StreamReadFailed(failures))
            reads_before = len(self.client.read_offsets)
            self.clock.advance(MAX_BACKOFF_S)
            self.assertEqual(len(self.client.read_offsets), reads_before + 1)
        self.respond(batch(0, 1))
        self.assertIsInstance(self.events[-1], StreamRecords)

    def test_response_of_stale_replica_is_discarded(self):
        self.respond(batch(0, 3))
        self.respond(batch(3, 0, 1))
        self.assertEqual(self.events[-1], StreamReadFailed(1))
        self.clock.advance(MAX_BACKOFF_S)
        self.assertEqual(self.client.read_offsets[-1], 3)

    def test_records_lost_to_retention_are_reported_as_a_gap(self):
        self.respond(Err(OffsetTooOld(40, 50)))
        self.assertEqual(self.events, [StreamGap(40)])
        self.assertEqual(self.client.read_offsets, [0, 40])

    def test_unexpected_error_does_not_end_the_reading(self):
        """The node heard of no later record."""
        self.reader._handler = self.fail_once
        self.respond(batch(0, 2))
        self.clock.advance(MAX_BACKOFF_S)
        self.assertEqual(self.client.read_offsets, [0, 2])
        self.respond(batch(2, 1))
        self.assertEqual(self.client.read_offsets, [0, 2, 3])

    def fail_once(self, event):
        self.reader._handler = self.events.append
        raise RuntimeError('odd record')

    def test_no_event_follows_stop(self):
        self.reader.stop()
        self.respond(batch(0, 2))
        self.assertEqual(self.events, [])
