"""Connections of callers: bytes that never become a request, and closing."""

import socket
import unittest
from types import SimpleNamespace

from transports import FakeTcpTransport
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.tcp import Connection

from rattanstile.connection.http_server import (
    BadRequest,
    HttpServerConnection,
    ServerState,
)
from rattanstile.version.fleet_config import CallerLimits

MAX_FED_BYTES = 4_000_000
LARGE_BYTES = 16_000_000
CHUNKED = (
    b'POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n'
)


class Handler:
    """Records the requests, and answers none."""

    def __init__(self):
        self.received = []

    def request_received(self, connection, request):
        self.received.append(request)

    def connection_lost(self, connection):
        self.received.clear()


class HttpServerTest(unittest.TestCase):
    """One connection."""

    def setUp(self):
        self.handler = Handler()
        state = ServerState(self.handler, CallerLimits, lambda: 0.0)
        self.connection = HttpServerConnection(state)
        self.connection.makeConnection(FakeTcpTransport())

    def feed_until_refused(self, part):
        """Feed a part over and over; return how many bytes were taken."""
        fed_bytes = 0
        while not self.handler.received and fed_bytes < MAX_FED_BYTES:
            self.connection.dataReceived(part)
            fed_bytes += len(part)
        return fed_bytes

    def test_header_without_end_is_refused(self):
        """The parser held all of it until the timeout of the head."""
        self.connection.dataReceived(b'GET /a HTTP/1.1\r\nx: ')
        self.assertLess(self.feed_until_refused(b'a' * 8192), 100_000)
        self.assertEqual(self.handler.received, [BadRequest.HEAD_TOO_LARGE])

    def test_trailer_without_end_is_refused(self):
        """It follows the last chunk of a body."""
        self.connection.dataReceived(CHUNKED + b'0\r\nx: ')
        self.assertLess(self.feed_until_refused(b'a' * 8192), 100_000)
        self.assertEqual(self.handler.received, [BadRequest.HEAD_TOO_LARGE])

    def test_pipelined_requests_do_not_add_up(self):
        """Each of them is within the limits."""
        request = b'GET /a HTTP/1.1\r\nhost: h\r\nx: %s\r\n\r\n' % (b'a' * 8000)
        for _ in range(20):
            self.connection.dataReceived(request)
            self.connection.respond(b'HTTP/1.1 204 No Content\r\n\r\n')
        self.assertEqual(len(self.handler.received), 20)


class CloseTest(unittest.TestCase):
    """A connection over a real socket that closes after its response."""

    def setUp(self):
        self.writers = set()
        ignore = lambda *_: None  # noqa: E731
        reactor = SimpleNamespace(
            addReader=ignore,
            removeReader=ignore,
            addWriter=self.writers.add,
            removeWriter=self.writers.discard,
        )
        listener = socket.create_server(('127.0.0.1', 0))
        self.caller = socket.create_connection(listener.getsockname())
        server, _ = listener.accept()
        for opened in (listener, server, self.caller):
            self.addCleanup(opened.close)
        state = ServerState(Handler(), CallerLimits, lambda: 0.0)
        self.connection = HttpServerConnection(state)
        server.setblocking(False)
        self.transport = Connection(server, self.connection, reactor)
        self.transport.connected = True
        self.connection.makeConnection(self.transport)

    def test_connection_closes_behind_a_response_that_is_read_slowly(self):
        """It stayed open and unread until the timeout of slow callers."""
        self.connection.dataReceived(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        self.connection.respond(b'x' * LARGE_BYTES, closes=True)
        self.assertEqual(self.writers, {self.transport})
        received_bytes = 0
        ends = []
        while received_bytes < LARGE_BYTES:
            received_bytes += len(self.caller.recv(1 << 20))
            if self.writers:
                ends.append(self.transport.doWrite())
        self.assertIs(ends[-1], CONNECTION_DONE)
