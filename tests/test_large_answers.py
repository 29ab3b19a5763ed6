"""Answers of many times the usual size, and callers that stop reading."""

import socket
import time
import unittest
from pathlib import Path
from types import SimpleNamespace

from mesh_samples import ANSWER
from platform_fleet import API_KEY, HOST, PlatformFleet
from transports import FakeTcpTransport

from rattanstile.connection.http_client import (
    ExchangeFailure,
    HttpClientConnection,
)
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ServerState,
)
from rattanstile.connection.peer_messages import (
    AnswerPart,
    PeerFrameReader,
    encode_peer_frame,
)
from rattanstile.platform.callers import PlatformCallerCodec
from rattanstile.process.mesh.entry.caller_answer import CallerAnswer
from rattanstile.process.mesh.ports import RunAnswered, RunRefused
from rattanstile.process.mesh.serving.served_stream import (
    WINDOW_BYTES,
    ServedStream,
)
from rattanstile.request.exchange import (
    AnswerHead,
    Streamed,
    Unknown,
    UnknownReason,
)
from rattanstile.version.fleet_config import CallerLimits

LARGE_BYTES = 24 * 1024 * 1024
"""Seven hundred times the largest answer on the users' sheets."""
MAX_GROWTH_BYTES = 8 * 1024 * 1024
PART = b'x' * 50_000


class Sink:
    """Records an answer in parts."""

    def __init__(self):
        self.heads = []
        self.size_bytes = 0

    def begin_answer(self, head):
        self.heads.append(head)

    def add_part(self, part):
        self.size_bytes += len(part)


def stream_to(sink, outcome=None):
    return ServedStream(
        sink, lambda response: outcome or RunAnswered(ANSWER), lambda: 0.0
    )


class ClientStreamTest(unittest.TestCase):
    """A target's connection, read in parts."""

    def setUp(self):
        self.sink = Sink()
        self.results = []
        self.connection = HttpClientConnection(lambda connection: None)
        self.connection.makeConnection(FakeTcpTransport())

    def send(self, outcome=None):
        self.stream = stream_to(self.sink, outcome)
        self.stream.exchange = self.connection
        self.connection.send(b'GET', self.results.append, body_sink=self.stream)

    def receive(self, parts, length=1_000_000):
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length
        )
        for _ in range(parts):
            self.connection.dataReceived(PART)

    def test_small_answer_stays_whole(self):
        """It can still be replaced by a second attempt if it is cut."""
        self.send()
        self.receive(1, length=len(PART))
        self.assertEqual(self.sink.heads, [])
        self.assertEqual(self.results[0].body, PART)

    def test_large_answer_arrives_in_parts(self):
        """Its last part is followed by a response without body."""
        self.send()
        self.receive(20)
        self.assertEqual(self.sink.heads[0].length_bytes, 1_000_000)
        self.assertEqual(self.sink.size_bytes, 1_000_000)
        self.assertEqual(self.results[0].body, b'')
        self.assertTrue(self.results[0].keeps_alive)

    def test_target_waits_while_the_window_is_full(self):
        """It continues when the caller has taken half of it."""
        self.send()
        self.receive(WINDOW_BYTES // len(PART) + 1)
        self.assertFalse(self.connection.transport.is_reading)
        self.stream.taken(WINDOW_BYTES // 4)
        self.assertFalse(self.connection.transport.is_reading)
        self.stream.taken(WINDOW_BYTES // 2)
        self.assertTrue(self.connection.transport.is_reading)

    def test_cut_answer_is_a_failure(self):
        """The caller must not take the parts for all of it."""
        self.send()
        self.receive(10)
        self.connection.connectionLost(None)
        self.assertEqual(self.results, [ExchangeFailure.CUT])

    def test_answer_that_is_not_the_targets_is_not_begun(self):
        """Nothing of it reaches the caller."""
        self.send(outcome=RunRefused(is_other_target=False))
        self.receive(10)
        self.assertEqual(self.sink.heads, [])
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])

    def test_silent_target_is_given_up(self):
        """Unless it is its caller that does not read."""
        self.send()
        self.receive(3)
        self.assertFalse(self.stream.is_stalled(4.0))
        self.assertTrue(self.stream.is_stalled(6.0))
        self.connection.dataReceived(PART * 5)
        self.assertFalse(self.stream.is_stalled(60.0))


class CallerStreamTest(unittest.TestCase):
    """A caller's connection, written in parts."""

    def setUp(self):
        handler = SimpleNamespace(connection_lost=lambda connection: None)
        state = ServerState(handler, CallerLimits, lambda: 0.0)
        self.connection = HttpServerConnection(state)
        self.connection.makeConnection(FakeTcpTransport())
        self.answer = CallerAnswer(
            PlatformCallerCodec(), self.connection, 'a', is_head=False
        )
        self.taken = []
        self.answer.on_taken = self.taken.append

    def begin(self, length_bytes=None):
        self.answer.begin_answer(AnswerHead(200, b'OK', (), length_bytes))

    def test_answer_without_length_is_sent_in_chunks(self):
        """The last chunk is empty."""
        self.begin()
        self.answer.add_part(b'abc')
        self.answer.end(Streamed(200))
        written = self.connection.transport.take()
        self.assertTrue(written.endswith(b'3\r\nabc\r\n0\r\n\r\n'))

    def test_cut_answer_is_visibly_broken_off(self):
        """There is no last chunk, and the connection is aborted."""
        self.begin()
        self.answer.add_part(b'abc')
        self.answer.end(Unknown(UnknownReason.ANSWER_LOST))
        self.assertTrue(self.connection.transport.aborted)
        self.assertNotIn(b'0\r\n\r\n', self.connection.transport.take())

    def test_nothing_is_reported_as_taken_while_the_caller_does_not_read(self):
        """What it has taken is reported when it reads again."""
        self.begin(1_000_000)
        self.connection.pauseProducing()
        for _ in range(4):
            self.answer.add_part(PART)
        self.assertEqual(self.taken, [])
        self.connection.resumeProducing()
        self.assertEqual(self.taken, [200_000])


class LargeFrameTest(unittest.TestCase):
    """A message that arrives in many pieces."""

    def test_pieces_are_joined_without_a_copy_for_each(self):
        """The buffer is the same object while the message is incomplete."""
        frame = encode_peer_frame(AnswerPart(1, PART * 40))
        reader = PeerFrameReader()
        self.assertEqual(list(reader.feed(frame[:10])), [])
        buffer = reader._buffer
        for start in range(10, len(frame) - 65536, 65536):
            self.assertEqual(
                list(reader.feed(frame[start : start + 65536])), []
            )
            self.assertIs(reader._buffer, buffer)


class LargeAnswerTest(unittest.TestCase):
    """Two nodes; the target beside the entry node leaves."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet()
        cls.fleet.start()
        cls.fleet.send_order('leave/i-0')
        cls.fleet.wait_until(cls.runs_elsewhere)

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    @classmethod
    def runs_elsewhere(cls):
        """Return whether a request is run by the other target."""
        name = f'probe-{time.monotonic_ns()}'
        cls.fleet.call(request_id=name)
        return cls.fleet.send_order('runs')['i-1'].get(name, 0) == 1

    def refusals(self):
        """Return what the nodes' logs say of the last refusals."""
        events = ('refused', 'not_taken', 'target_', 'peer_')
        lines = [
            line
            for number in self.fleet.node_processes
            for line in self.fleet.read_log(number).splitlines()
            if any(event in line for event in events)
        ]
        return '\n'.join(lines[-30:])

    def memory_bytes(self):
        """Return the resident memory of both nodes together."""
        pages = 0
        for process in self.fleet.node_processes.values():
            statm = Path(f'/proc/{process.pid}/statm').read_text()
            pages += int(statm.split()[1])
        return pages * 4096

    def open_request(self, path, deadline_ms=20_000):
        """Send a request and return its socket; nothing is read from it."""
        address = self.fleet.node_settings[0]['caller_address']
        host, _, port = address.partition(':')
        caller = socket.create_connection((host, int(port)), timeout=10)
        caller.sendall(
            f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: r-{time.monotonic_ns()}\r\n'
            f'Request-Deadline-Ms: {deadline_ms}\r\n'
            f'Authorization: Token {API_KEY}\r\n\r\n'.encode()
        )
        return caller

    def test_large_answer_arrives_whole(self):
        """It passes through both nodes."""
        response = self.fleet.call(path=f'/lookup/a?bytes={LARGE_BYTES}')
        self.assertEqual(response.status, 200)
        self.assertEqual(len(response.body), LARGE_BYTES)

    def test_caller_that_stops_reading_neither_fills_nor_blocks_the_nodes(self):
        """Six such answers were held whole by both nodes."""
        before_bytes = self.memory_bytes()
        callers = [
            self.open_request(f'/lookup/a?bytes={LARGE_BYTES}')
            for _ in range(6)
        ]
        for number in range(40):
            response = self.fleet.call(request_id=f'beside-{number}')
            self.assertEqual(response.status, 200, self.refusals())
        grown_bytes = self.memory_bytes() - before_bytes
        for caller in callers:
            caller.close()
        self.assertLess(grown_bytes, MAX_GROWTH_BYTES)
        self.fleet.wait_until(self.is_idle)

    def test_body_without_end_is_cut_at_the_callers_deadline(self):
        """The caller sees that it is not complete."""
        before_bytes = self.memory_bytes()
        caller = self.open_request('/lookup/a?fault=endless', 3000)
        tail = b''
        try:
            while received := caller.recv(1 << 20):
                tail = (tail + received)[-5:]
        except ConnectionResetError:
            tail = b''
        caller.close()
        self.assertNotEqual(tail, b'0\r\n\r\n')
        grown_bytes = self.memory_bytes() - before_bytes
        self.assertLess(grown_bytes, MAX_GROWTH_BYTES)
        self.fleet.wait_until(self.is_idle)

    def is_idle(self):
        """Return whether the serving node has no call in progress."""
        address = self.fleet.node_settings[1]['metrics_address']
        host, _, port = address.partition(':')
        with socket.create_connection((host, int(port)), timeout=5) as reader:
            reader.sendall(
                b'GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n'
            )
            text = b''.join(iter(lambda: reader.recv(65536), b'')).decode()
        return any(
            line.startswith('rattanstile_calls_in_flight')
            and line.endswith(' 0')
            for line in text.splitlines()
        )
