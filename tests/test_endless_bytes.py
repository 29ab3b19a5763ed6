"""Bytes without end that are no answer: memory and time stay bounded.

The report of another operator: bytes that are no answer and never end, in a
head or a body, until the caller closes.
"""

import socket
import time
import unittest
from pathlib import Path

from platform_fleet import API_KEY, HOST, PlatformFleet, config_document
from transports import FakeTcpTransport

from rattanstile.connection.http_client import (
    MAX_STRAY_BYTES,
    ExchangeFailure,
    HttpClientConnection,
    ResponseMatch,
)
from rattanstile.connection.http_server import (
    BadRequest,
    HttpServerConnection,
    ServerState,
)
from rattanstile.connection.peer_messages import (
    MAX_HELLO_BYTES,
    PeerFrameError,
    PeerFrameReader,
)
from rattanstile.connection.request_memory import (
    CONNECTION_BYTES,
    HEADER_OBJECT_BYTES,
    TRANSIT_COPIES,
)
from rattanstile.standin.endless_answers import endless_answer
from rattanstile.version.fleet_config import CallerLimits

SIGNED = ((b'request-id', b'own'), (b'response-signature', b's1'))
SHAPES = (
    'garbage',
    'status',
    'header',
    'headers',
    'interim',
    'others',
    'other',
    'unidentified',
    'unsigned',
    'extension',
    'trailer',
    'after',
    'answers',
)
MAX_NODE_BYTES = 128 * 1024 * 1024
"""Memory of a node, in the brief."""
MAX_TAKEN_BYTES = 4 * 1024 * 1024
CALLS = 60


def match(response):
    found = response.header(b'request-id')
    if found is None:
        return ResponseMatch.UNIDENTIFIED
    return ResponseMatch.OWN if found == b'own' else ResponseMatch.OTHER


class Handler:
    """Records the requests, and answers none."""

    def __init__(self):
        self.received = []

    def request_received(self, connection, request):
        self.received.append(request)

    def connection_lost(self, connection):
        """Do nothing."""


class Sink:
    """Takes parts of signed answers, and no others."""

    def begin_body(self, response, length_bytes):
        return response.header(b'response-signature') is not None

    def add_body_part(self, part):
        """Take a part."""


class ConnectionTest(unittest.TestCase):
    """One connection to a target, on which a request waits."""

    def setUp(self):
        self.results = []
        self.connection = HttpClientConnection(lambda connection: None)
        self.connection.makeConnection(FakeTcpTransport())

    def begin(self, requests=1):
        """Send a request as the last one of some."""
        for _ in range(requests - 1):
            self.connection.send(b'GET', lambda result: None)
            self.connection.dataReceived(
                b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
            )
        self.connection.send(
            b'GET',
            self.results.append,
            check_response=match,
            body_sink=Sink(),
        )

    def taken_bytes(self, shape):
        """Feed a shape until the connection closes; return how much it took."""
        endless = endless_answer(shape, SIGNED)
        taken = 0
        if endless.head:
            self.connection.dataReceived(endless.head)
        while not self.connection.transport.aborted:
            self.connection.dataReceived(endless.part)
            taken += len(endless.part)
            self.assertLess(taken, MAX_TAKEN_BYTES, shape)
        return taken

    def test_connection_ends_soon_whatever_the_shape(self):
        """On a new connection and on one that was used before."""
        for shape in SHAPES:
            for requests in (1, 3):
                self.setUp()
                self.begin(requests)
                self.taken_bytes(shape)
                self.assertEqual(len(self.results), 1, shape)

    def test_no_shape_is_taken_for_an_answer(self):
        """Unless a whole one came first."""
        for shape in SHAPES:
            self.setUp()
            self.begin(2)
            self.taken_bytes(shape)
            is_answer = not isinstance(self.results[0], ExchangeFailure)
            self.assertEqual(is_answer, shape in {'after', 'answers'}, shape)

    def test_long_trailer_is_not_paid_for_by_a_long_body(self):
        """It was held by the parser, up to eight times the body."""
        self.begin()
        head = (
            b'HTTP/1.1 200 OK\r\nrequest-id: own\r\nresponse-signature: s\r\n'
        )
        self.connection.dataReceived(
            head + b'transfer-encoding: chunked\r\n\r\n'
        )
        for _ in range(100):
            self.connection.dataReceived(b'10000\r\n' + b'x' * 65536 + b'\r\n')
        self.connection.dataReceived(b'0\r\nx: ')
        for _ in range(10):
            self.connection.dataReceived(b'x' * 16384)
        self.assertTrue(self.connection.transport.aborted)

    def test_late_answers_to_earlier_requests_are_not_held(self):
        """Each of 60 connections held up to 64 MB of one."""
        self.begin(2)
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nrequest-id: older\r\n'
            b'content-length: 9999999\r\n\r\n'
        )
        for _ in range(MAX_STRAY_BYTES // 65536):
            self.connection.dataReceived(b'x' * 65536)
        self.assertEqual(self.connection._body, [])
        self.assertEqual(self.results, [])

    def test_answer_after_a_late_one_still_counts(self):
        """It is whole, however large the late one was."""
        self.begin(2)
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nrequest-id: older\r\n'
            b'content-length: 300000\r\n\r\n' + b'x' * 300_000
        )
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nrequest-id: own\r\ncontent-length: 2\r\n\r\nok'
        )
        self.assertEqual(self.results[0].body, b'ok')

    def test_bytes_before_a_request_close_the_connection(self):
        """They could be taken for its answer."""
        self.connection.dataReceived(b'HTTP/1.1 200 OK\r\n')
        self.assertTrue(self.connection.transport.aborted)

    def test_body_that_nobody_takes_in_parts_is_limited(self):
        """A probe or a call to the store held up to 64 MB of it."""
        self.connection.send(b'GET', self.results.append, max_body_bytes=65536)
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n'
        )
        for _ in range(5):
            self.connection.dataReceived(b'x' * 16384)
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])


class PeerTest(unittest.TestCase):
    """Whoever connects to a node's address for other nodes."""

    def test_first_message_is_small(self):
        """72 MB of it were held on each connection."""
        reader = PeerFrameReader()
        reader.max_frame_bytes = MAX_HELLO_BYTES
        with self.assertRaises(PeerFrameError):
            list(reader.feed(b'\x04\x00\x00\x00' + b'x' * 100))


class ManyConnectionsTest(unittest.TestCase):
    """Two nodes, whose targets answer without end on many connections."""

    def setUp(self):
        self.fleet = PlatformFleet(slots=CALLS)
        self.fleet.start()
        self.addCleanup(self.fleet.stop)
        document = config_document(rate_per_s=1000)
        document['version'] += 1
        self.fleet.publish(document)

    def peak_bytes(self):
        """Return the largest memory that a node has had."""
        peaks = []
        for process in self.fleet.node_processes.values():
            status = Path(f'/proc/{process.pid}/status').read_text()
            peak = status.partition('VmHWM:')[2].split()[0]
            peaks.append(int(peak) * 1024)
        return max(peaks)

    def send(self, node_index, shape, number):
        """Send a call and return its socket."""
        address = self.fleet.node_settings[node_index]['caller_address']
        host, _, port = address.partition(':')
        caller = socket.create_connection((host, int(port)), timeout=10)
        self.addCleanup(caller.close)
        caller.sendall(
            f'POST /claims/a?fault=endless&shape={shape} HTTP/1.1\r\n'
            f'Host: {HOST}\r\nRequest-Id: {shape}-{number}\r\n'
            f'Request-Deadline-Ms: 3000\r\nContent-Length: 0\r\n'
            f'Authorization: Token {API_KEY}\r\n\r\n'.encode()
        )
        return caller

    def status(self, caller):
        """Return the status of an answer; empty if there is none."""
        try:
            return caller.recv(65536)[9:12].decode()
        except (ConnectionResetError, TimeoutError):
            return ''

    def test_memory_stays_within_the_limit(self):
        """All calls end, and none with a success but after a whole answer."""
        for shape in SHAPES:
            callers = [
                self.send(number % 2, shape, number) for number in range(CALLS)
            ]
            statuses = {self.status(caller) for caller in callers}
            self.assertNotIn('', statuses, shape)
            if shape not in {'after', 'answers'}:
                self.assertNotIn('200', statuses, shape)
            self.assertLess(self.peak_bytes(), MAX_NODE_BYTES, shape)
        time.sleep(1)
        self.assertEqual(self.fleet.call(deadline_ms=4000).status, 200)


class CallersTest(unittest.TestCase):
    """Callers whose requests never end, on many connections."""

    def connect(self, count):
        state = ServerState(Handler(), CallerLimits, lambda: 0.0)
        connections = []
        for _ in range(count):
            connection = HttpServerConnection(state)
            connection.makeConnection(FakeTcpTransport())
            connections.append(connection)
        return state, connections

    def test_short_headers_of_all_callers_are_limited(self):
        """Each takes forty times its size."""
        state, connections = self.connect(200)
        for connection in connections:
            connection.dataReceived(b'GET /a HTTP/1.1\r\n' + b'a:\r\n' * 3000)
        self.assertFalse(state.memory.is_exceeded)
        refused = state.handler.received.count(BadRequest.NO_MEMORY)
        self.assertGreater(refused, 0)
        for connection in connections:
            connection.connectionLost()
        self.assertEqual(state.memory.held_bytes, 0)

    def test_bodies_count_until_they_are_answered(self):
        """They were no longer counted once a call had begun with them."""
        state, (connection,) = self.connect(1)
        connection.dataReceived(
            b'POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n123456789'
        )
        held_bytes = 9 * (1 + TRANSIT_COPIES) + 2 * HEADER_OBJECT_BYTES
        self.assertEqual(state.memory.held_bytes, CONNECTION_BYTES + held_bytes)
        connection.respond(b'HTTP/1.1 204 No Content\r\n\r\n')
        self.assertEqual(state.memory.held_bytes, CONNECTION_BYTES)
        connection.connectionLost()
        self.assertEqual(state.memory.held_bytes, 0)

    def test_header_without_end_is_held_up_to_the_limit_of_heads(self):
        """The parser held 64 kB of it on each connection."""
        _, (connection,) = self.connect(1)
        connection.dataReceived(b'GET /a HTTP/1.1\r\nx: ')
        taken = 0
        while connection.fault is None:
            connection.dataReceived(b'x' * 1024)
            taken += 1024
        self.assertLessEqual(taken, CallerLimits().head_bytes + 10 * 1024)
