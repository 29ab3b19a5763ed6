"""Log stand-in and log client, over a loopback connection."""

import unittest
from types import SimpleNamespace

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import Clock

from rattanstile.process.configuration.log_client import (
    AppendUncertain,
    LogClient,
    LogUnavailable,
    OffsetTooOld,
)
from rattanstile.standin.log import (
    LogStandin,
    Switches,
    _Records,
    running_log,
)
from rattanstile.standin.log_store import Retention, Stream


def on_reactor(test):
    """Run a test that yields Deferreds on the reactor until it completes."""
    deferred_test = inlineCallbacks(test)

    def run(self):
        results = []
        deferred_test(self).addBoth(results.append)
        while not results:
            reactor.iterate(0.01)
        if results[0] is not None:
            results[0].raiseException()

    return run


class StreamTest(unittest.TestCase):
    """Retention drops the oldest records and preserves offsets."""

    def test_retention_drops_oldest_records_by_count_and_age(self):
        stream = Stream(Retention(records=3, max_age_s=10))
        for number in range(5):
            stream.append(float(number), b'%d' % number)
        page = stream.read(0, 100)
        self.assertEqual((page.first_offset, page.oldest_offset), (2, 2))
        stream.drop_old(13.5)
        self.assertEqual(stream.read(4, 100).records, (b'4',))
        self.assertEqual(stream.next_offset, 5)

    def test_stale_replica_returns_fewer_records(self):
        stream = Stream(Retention())
        for number in range(5):
            stream.append(0.0, b'%d' % number)
        page = stream.read(0, 100, lag_records=2)
        self.assertEqual((len(page.records), page.next_offset), (3, 3))

    def test_read_without_valid_numbers_is_refused(self):
        """It was served from the first record, without a wait."""
        for name in (b'from', b'wait_ms'):
            for text in (b'x', b'', b'-1', b'9' * 5000):
                self.assertEqual(self.read_status({name: [text]}), 400, name)
        self.assertEqual(self.read_status({}), 200)
        self.assertEqual(
            self.read_status({b'from': [b'0'], b'wait_ms': [b'0']}), 200
        )

    def read_status(self, args):
        clock = Clock()
        statuses = []
        request = SimpleNamespace(
            args=args,
            channel=self,
            setResponseCode=statuses.append,
            setHeader=lambda *_: None,
            write=lambda _: None,
            finish=lambda: None,
        )
        _Records(LogStandin(clock), 'members').render_GET(request)
        clock.advance(0)
        return statuses[0]

    def test_appends_above_the_rate_limit_are_refused(self):
        clock = Clock()
        log = LogStandin(clock, switches=Switches(appends_per_s=2))
        clock.advance(1)
        admitted = [log.admit_append() for _attempt in range(4)]
        self.assertEqual(admitted, [True, True, False, False])


class LogClientTest(unittest.TestCase):
    """The client reports whether a record was, or may have been, appended."""

    def setUp(self):
        self.log = LogStandin(reactor, Retention(records=4))
        serving = running_log(reactor, '127.0.0.1', 0, self.log)
        port = serving.__enter__()
        self.addCleanup(serving.__exit__, None, None, None)
        self.client = LogClient(reactor, f'127.0.0.1:{port}', 0.3)
        self.addCleanup(self.client.close)

    @on_reactor
    def test_append_and_read_return_offsets(self):
        first = yield self.client.append('one', b'\x00a')
        second = yield self.client.append('one', b'b')
        self.assertEqual((first.unwrap(), second.unwrap()), (0, 1))
        batch = (yield self.client.read('one', 1, 0)).unwrap()
        self.assertEqual((batch.first, batch.records), (1, (b'b',)))
        other = (yield self.client.read('other', 0, 0)).unwrap()
        self.assertEqual((other.records, other.next_offset), ((), 0))

    @on_reactor
    def test_read_waits_for_the_next_record(self):
        reading = self.client.read('one', 0, 20)
        reactor.callLater(0.01, self.log.append, 'one', b'late')
        batch = (yield reading).unwrap()
        self.assertEqual(batch.records, (b'late',))

    @on_reactor
    def test_completed_reads_leave_no_waiter(self):
        for _read in range(3):
            yield self.client.read('one', 0, 0.01)
        self.assertEqual(self.log.waiting_reads, 0)

    @on_reactor
    def test_read_past_retention_returns_the_oldest_offset(self):
        for _record in range(6):
            yield self.client.append('one', b'x')
        error = (yield self.client.read('one', 0, 0)).unwrap_err()
        self.assertIsInstance(error, OffsetTooOld)
        self.assertEqual((error.oldest, error.next_offset), (2, 6))

    @on_reactor
    def test_unavailable_log_appends_nothing(self):
        self.log.switches.down = True
        appended = yield self.client.append('one', b'x')
        self.assertIsInstance(appended.unwrap_err(), LogUnavailable)
        read = yield self.client.read('one', 0, 0)
        self.assertIsInstance(read.unwrap_err(), LogUnavailable)
        self.assertEqual(self.log.stream('one').next_offset, 0)

    @on_reactor
    def test_lost_append_response_is_uncertain_but_record_is_kept(self):
        self.log.switches.lose_answers = True
        appended = yield self.client.append('one', b'x')
        self.assertIsInstance(appended.unwrap_err(), AppendUncertain)
        self.assertEqual(self.log.stream('one').next_offset, 1)

    @on_reactor
    def test_append_timeout_is_uncertain(self):
        self.log.switches.silent = True
        appended = yield self.client.append('one', b'x')
        self.assertIsInstance(appended.unwrap_err(), AppendUncertain)
        read = yield self.client.read('one', 0, 0)
        self.assertIsInstance(read.unwrap_err(), LogUnavailable)

    @on_reactor
    def test_connect_failure_means_nothing_appended(self):
        client = LogClient(reactor, '127.0.0.1:1', 0.3)
        appended = yield client.append('one', b'x')
        self.assertIsInstance(appended.unwrap_err(), LogUnavailable)
