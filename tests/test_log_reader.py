"""Following one stream of the log through outages."""

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
    BACK_OFF_MAX_S,
    LogReader,
    StreamGap,
    StreamRecords,
    StreamSilent,
)
from rattanstile.version.records import MarkRecord, encode_record


class HeldClient:
    """Keeps each read until the test answers it."""

    def __init__(self):
        self.asked = []
        self.reading = None

    def read(self, stream, from_offset, wait_s):
        self.asked.append(from_offset)
        self.reading = Deferred()
        return self.reading


def batch(first, count, next_offset=None):
    records = tuple(
        encode_record(MarkRecord(record_id=f'mark{first + place}'))
        for place in range(count)
    )
    end = first + count if next_offset is None else next_offset
    return Ok(ReadBatch(first, records, 0, end))


class LogReaderTest(unittest.TestCase):
    """Records come in order, once, whatever the log does."""

    def setUp(self):
        self.clock = Clock()
        self.client = HeldClient()
        self.events = []
        self.reader = LogReader(
            self.clock, self.client, 'members', Random(1), self.events.append
        )
        self.reader.start(0)

    def answer(self, answer):
        self.client.reading.callback(answer)

    def test_records_are_handed_on_and_the_next_are_asked_for(self):
        self.answer(batch(0, 2))
        self.answer(batch(2, 1, 5))
        self.assertEqual(self.client.asked, [0, 2, 3])
        ids = [
            record.record_id
            for event in self.events
            for record in event.records
        ]
        self.assertEqual(ids, ['mark0', 'mark1', 'mark2'])
        self.assertEqual([one.at_end for one in self.events], [True, False])

    def test_outage_is_told_and_read_again_with_growing_delay(self):
        for failures in range(1, 9):
            self.answer(Err(LogUnavailable('down')))
            self.assertEqual(self.events[-1], StreamSilent(failures))
            asked = len(self.client.asked)
            self.clock.advance(BACK_OFF_MAX_S)
            self.assertEqual(len(self.client.asked), asked + 1)
        self.answer(batch(0, 1))
        self.assertIsInstance(self.events[-1], StreamRecords)

    def test_old_replica_hands_nothing_on(self):
        self.answer(batch(0, 3))
        self.answer(batch(3, 0, 1))
        self.assertEqual(self.events[-1], StreamSilent(1))
        self.clock.advance(BACK_OFF_MAX_S)
        self.assertEqual(self.client.asked[-1], 3)

    def test_overrun_by_retention_is_told_as_a_gap(self):
        self.answer(Err(OffsetTooOld(40, 50)))
        self.assertEqual(self.events, [StreamGap(40)])
        self.assertEqual(self.client.asked, [0, 40])

    def test_nothing_comes_after_the_end(self):
        self.reader.stop()
        self.answer(batch(0, 2))
        self.assertEqual(self.events, [])
