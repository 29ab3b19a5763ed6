"""Connections whose other end reads late, and then reads all."""

import socket
import time
import unittest
from types import SimpleNamespace

from platform_fleet import API_KEY, HOST, PlatformFleet
from twisted.internet.main import CONNECTION_DONE, CONNECTION_LOST
from twisted.internet.tcp import Connection

from rattanstile.connection.http_client import HttpClientConnection
from rattanstile.connection.http_server import (
    WRITE_TIMEOUT_S,
    HttpServerConnection,
    ServerState,
)
from rattanstile.connection.liveness import UNACKNOWLEDGED_TIMEOUT_MS
from rattanstile.version.fleet_config import CallerLimits

PAUSE_S = 4.0
"""Longer than a lost VM goes unnoticed."""
RECEIVE_BYTES = 4096
LARGE_BYTES = 4_000_000


def user_timeout_ms(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


class SlowReaderCase(unittest.TestCase):
    """A connection over a real socket, without a reactor."""

    def setUp(self):
        self.aborted = []

    def connect(self, protocol):
        """Connect a protocol, and return its transport and the other end."""
        ignore = lambda *_: None  # noqa: E731
        reactor = SimpleNamespace(
            addReader=ignore,
            removeReader=ignore,
            addWriter=ignore,
            removeWriter=ignore,
            callLater=lambda *call: self.aborted.append(call),
        )
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        own = socket.create_connection(listener.getsockname())
        other, _ = listener.accept()
        for opened in (listener, own, other):
            self.addCleanup(opened.close)
        own.setblocking(False)
        transport = Connection(own, protocol, reactor)
        transport.connected = True
        protocol.makeConnection(transport)
        return transport, other

    def read_all(self, transport, other):
        """Read what the protocol has written; return how many bytes."""
        received_bytes = 0
        while received_bytes < LARGE_BYTES:
            part = other.recv(1 << 16)
            if not part:
                return received_bytes
            received_bytes += len(part)
            if transport.dataBuffer or transport._tempDataBuffer:
                ended = transport.doWrite()
                self.assertNotIn(ended, (CONNECTION_LOST, CONNECTION_DONE))
        return received_bytes


class LocalEndTest(SlowReaderCase):
    """LOST: a caller that read 4 s late lost the answer to its charge.

    The kernel reset 6 of 6 kept connections with the first probe of the closed
    window after 2.5 s (review case 4).
    """

    def test_caller_and_target_may_read_late(self):
        """The target gets a large request, the caller a large answer."""
        state = ServerState(
            SimpleNamespace(request_received=lambda *_: None),
            CallerLimits,
            time.monotonic,
        )
        server = HttpServerConnection(state)
        client = HttpClientConnection(lambda connection: None)
        ends = [self.connect(server), self.connect(client)]
        server.dataReceived(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        server.respond(b'x' * LARGE_BYTES)
        client.send(b'x' * LARGE_BYTES, lambda result: None)
        time.sleep(PAUSE_S)
        for transport, other in ends:
            self.assertEqual(self.read_all(transport, other), LARGE_BYTES)

    def test_only_another_vm_is_dropped_when_it_is_silent(self):
        """Its acknowledgements say that it is there."""
        for is_remote, timeout_ms in (
            (False, 0),
            (True, UNACKNOWLEDGED_TIMEOUT_MS),
        ):
            connection = HttpClientConnection(
                lambda connection: None, is_remote=is_remote
            )
            transport, _ = self.connect(connection)
            handle = transport.getHandle()
            self.assertEqual(user_timeout_ms(handle), timeout_ms)

    def test_caller_that_reads_slowly_is_not_dropped(self):
        """It was, if it took longer than 30 s for all of the answer."""
        now_s = 0.0
        state = ServerState(
            SimpleNamespace(
                request_received=lambda *_: None,
                connection_lost=lambda *_: None,
            ),
            CallerLimits,
            lambda: now_s,
        )
        server = HttpServerConnection(state)
        transport, other = self.connect(server)
        server.dataReceived(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        server.respond(b'x' * LARGE_BYTES)
        server.pauseProducing()
        while transport.dataBuffer or transport._tempDataBuffer:
            now_s += WRITE_TIMEOUT_S - 1
            other.recv(1 << 20)
            transport.doWrite()
            server.check(now_s)
        self.assertEqual(self.aborted, [])

    def test_caller_that_stops_reading_is_dropped(self):
        """What is held for it counts towards the memory of the node."""
        state = ServerState(
            SimpleNamespace(request_received=lambda *_: None),
            CallerLimits,
            lambda: 0.0,
        )
        server = HttpServerConnection(state)
        self.connect(server)
        server.dataReceived(b'GET /a HTTP/1.1\r\nhost: h\r\n\r\n')
        server.respond(b'x' * LARGE_BYTES)
        server.pauseProducing()
        server.check(1.0)
        self.assertEqual(self.aborted, [])
        server.check(WRITE_TIMEOUT_S + 2)
        self.assertEqual(len(self.aborted), 1)


class LateCallersTest(unittest.TestCase):
    """Two nodes, and callers with small windows on kept connections."""

    SIZES = (9_000, 60_000, 120_000, 400_000)

    def setUp(self):
        self.fleet = PlatformFleet()
        self.fleet.start()
        self.addCleanup(self.fleet.stop)

    def open(self, node_index):
        address = self.fleet.node_settings[node_index]['caller_address']
        host, _, port = address.partition(':')
        caller = socket.socket()
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        caller.settimeout(10)
        caller.connect((host, int(port)))
        self.addCleanup(caller.close)
        return caller

    def send(self, caller, size_bytes):
        caller.sendall(
            f'POST /claims/a?bytes={size_bytes} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Request-Id: r-{time.monotonic_ns()}\r\n'
            f'Request-Deadline-Ms: 9000\r\nContent-Length: 0\r\n'
            f'Authorization: Token {API_KEY}\r\n\r\n'.encode()
        )

    def body_bytes(self, caller):
        """Read an answer; return the size of its body."""
        received = b''
        while b'\r\n\r\n' not in received:
            part = caller.recv(4096)
            if not part:
                return -1
            received += part
        head, _, body = received.partition(b'\r\n\r\n')
        self.assertTrue(head.startswith(b'HTTP/1.1 200'), head[:40])
        length = int(
            head.lower().partition(b'content-length: ')[2].split(b'\r\n')[0]
        )
        while len(body) < length:
            part = caller.recv(1 << 16)
            if not part:
                break
            body += part
        return len(body)

    def test_answers_are_whole_and_the_connections_stay(self):
        """Whole ones, and ones in parts; through both nodes."""
        callers = [
            (self.open(number % 2), size_bytes)
            for number, size_bytes in enumerate(self.SIZES * 2)
        ]
        for caller, _ in callers:
            self.send(caller, 100)
            self.body_bytes(caller)
        for caller, size_bytes in callers:
            self.send(caller, size_bytes)
        time.sleep(PAUSE_S)
        for caller, size_bytes in callers:
            self.assertEqual(self.body_bytes(caller), size_bytes)
        for caller, _ in callers:
            self.send(caller, 100)
            self.assertEqual(self.body_bytes(caller), 100)
