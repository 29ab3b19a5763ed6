"""Which clients give way near a limit, and what limits are made of."""

import json
import resource
import unittest
from unittest import mock

from test_decoders import NODE
from transports import FakeTcpTransport

from rattanstile.connection.client_eviction import (
    ClientState,
    ClientView,
    EvictionRules,
    evict_for_descriptor,
    evict_for_memory,
)
from rattanstile.connection.descriptor_budget import (
    descriptor_budget,
    descriptor_limit,
)
from rattanstile.connection.http_server import (
    BadRequest,
    HttpServerConnection,
    ServerState,
)
from rattanstile.connection.request_memory import (
    CONNECTION_BYTES,
    SERVED_COPIES,
    MemoryAccount,
    MemoryShare,
)
from rattanstile.errors import SettingsError
from rattanstile.process.mesh.settings import parse_mesh_settings
from rattanstile.version.fleet_config import CallerLimits

NOW_S = 100.0
RULES = EvictionRules(head_timeout_s=3.0)
MB = 1024 * 1024


def view(name, state=ClientState.UNFINISHED, age_s=0.5, **overrides):
    fields = {
        'last_received_s': NOW_S,
        'received_bytes': 1_000_000,
        'address': 'a',
        **overrides,
    }
    return ClientView(name, state, NOW_S - age_s, **fields)


def names(views):
    return [found.connection for found in views]


class Handler:
    """Records the requests, and answers none."""

    def __init__(self):
        self.received = []

    def request_received(self, connection, request):
        self.received.append(request)

    def connection_lost(self, connection):
        """Do nothing."""


class ChoiceTest(unittest.TestCase):
    """The order in which connections are closed."""

    def for_descriptor(self, *views):
        return names(evict_for_descriptor(views, NOW_S, RULES))

    def for_memory(self, *views):
        return names(evict_for_memory(views, NOW_S, RULES))

    def test_idle_connections_go_first_the_oldest_before_others(self):
        """A request in progress was closed while idle ones were kept."""
        found = self.for_descriptor(
            view('body', age_s=9),
            view('idle', ClientState.IDLE, 1),
            view('idle longer', ClientState.IDLE, 5),
        )
        self.assertEqual(found, ['idle longer', 'idle', 'body'])

    def test_request_that_was_read_completely_stays(self):
        """Its caller would not know whether it ran."""
        busy = view('busy', ClientState.BUSY, 60)
        self.assertEqual(self.for_descriptor(busy), [])
        self.assertEqual(self.for_memory(busy), [])

    def test_stalled_requests_go_before_those_in_progress(self):
        """Slow heads and silent bodies outlasted honest uploads."""
        found = self.for_descriptor(
            view('upload', age_s=10),
            view('slow', age_s=5, received_bytes=100),
            view('silent', age_s=4, last_received_s=NOW_S - 2),
            view('head', age_s=3.5, is_in_head=True),
        )
        self.assertEqual(found, ['slow', 'silent', 'head', 'upload'])

    def test_address_and_key_with_the_most_requests_go_first(self):
        """A crowd of one address or key took the place of others."""
        crowd = [view(f'c{n}', age_s=0.1, address='b') for n in range(3)]
        found = self.for_descriptor(view('other', age_s=0.9), *crowd)
        self.assertEqual(found[-1], 'other')
        crowd = [view(f'c{n}', age_s=0.1, key=b'k') for n in range(3)]
        found = self.for_descriptor(view('o', age_s=0.9, key=b'o'), *crowd)
        self.assertEqual(found[-1], 'o')

    def test_memory_is_not_taken_from_requests_in_progress(self):
        """Uploads that need the same memory would end each other."""
        found = self.for_memory(
            view('upload', age_s=10),
            view('idle', ClientState.IDLE, 9),
            view('silent', age_s=4, last_received_s=NOW_S - 2),
        )
        self.assertEqual(found, ['silent'])

    def test_unread_answers_go_last_and_not_at_once(self):
        """Callers that read late lost their answers."""
        found = self.for_descriptor(
            view('late', ClientState.UNREAD, 0.4),
            view('unread', ClientState.UNREAD, 2),
            view('body'),
        )
        self.assertEqual(found, ['body', 'unread'])


class LimitsTest(unittest.TestCase):
    """Limits that no client within the documented ones reaches."""

    def test_thousand_honest_clients_have_room(self):
        """They may share one address, and be idle between requests."""
        budget = descriptor_budget(4100, 0)
        self.assertGreater(budget.callers, 1000)
        state = ServerState(
            None,
            CallerLimits,
            lambda: 0.0,
            memory=MemoryAccount().callers,
            max_connections=budget.callers,
        )
        for _ in range(1000):
            connection = HttpServerConnection(state)
            connection.makeConnection(FakeTcpTransport())
        self.assertEqual(len(state.connections), 1000)
        self.assertFalse(state.memory.is_exceeded)
        self.assertEqual(state.evictions.total(), 0)

    def test_two_bodies_of_the_documented_size_at_once(self):
        """The second was refused with 503 on a node in calm."""
        handler = Handler()
        state = ServerState(
            handler, CallerLimits, lambda: 0.0, memory=MemoryAccount().callers
        )
        uploads = [HttpServerConnection(state) for _ in range(2)]
        for connection in uploads:
            connection.makeConnection(FakeTcpTransport())
            connection.dataReceived(
                b'POST /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % (8 * MB)
            )
        for _ in range(512):
            for connection in uploads:
                connection.dataReceived(b'x' * (16 * 1024))
        sizes = [len(request.body) for request in handler.received]
        self.assertEqual(sizes, [8 * MB, 8 * MB])

    def test_call_with_a_body_of_the_documented_size(self):
        """It has room with the least memory, beside links to 400 nodes."""
        share = MemoryAccount(56 * MB).nodes
        share.change(400 * CONNECTION_BYTES)
        self.assertTrue(share.hold((1 + SERVED_COPIES) * 8 * MB))

    def test_body_of_the_documented_size_is_taken(self):
        """With the copies that its way to the target needs."""
        handler = Handler()
        received = handler.received
        state = ServerState(
            handler,
            CallerLimits,
            lambda: 0.0,
            memory=MemoryAccount(56 * MB).callers,
        )
        connection = HttpServerConnection(state)
        connection.makeConnection(FakeTcpTransport())
        connection.dataReceived(
            b'POST /a HTTP/1.1\r\ncontent-length: %d\r\n\r\n' % (8 * MB)
        )
        for _ in range(512):
            connection.dataReceived(b'x' * (16 * 1024))
        self.assertEqual(len(received[0].body), 8 * MB)

    def test_full_memory_refuses_what_is_not_being_answered(self):
        """It says so; a request in hand stays."""
        handler = Handler()
        received = handler.received
        state = ServerState(
            handler, CallerLimits, lambda: 0.0, memory=MemoryShare(100_000)
        )
        first, second = HttpServerConnection(state), HttpServerConnection(state)
        for connection in (first, second):
            connection.makeConnection(FakeTcpTransport())
            connection.dataReceived(
                b'POST /a HTTP/1.1\r\ncontent-length: 20000\r\n\r\n'
            )
            connection.dataReceived(b'x' * 20_000)
        self.assertEqual(len(received[0].body), 20_000)
        self.assertEqual(received[1], BadRequest.NO_MEMORY)
        second.connectionLost()
        first.connectionLost()
        self.assertEqual(state.memory.held_bytes, 0)

    def test_only_as_many_unread_answers_are_given_up_as_needed(self):
        """Memory of aborted connections counted until the next step."""
        now = [0.0]
        state = ServerState(
            Handler(), CallerLimits, lambda: now[0], memory=MemoryShare(200_000)
        )
        connections = [HttpServerConnection(state) for _ in range(4)]
        for connection in connections:
            connection.makeConnection(FakeTcpTransport())
            if connection is connections[-1]:
                now[0] = 1.0
            else:
                connection.pauseProducing()
            connection.dataReceived(
                b'POST /a HTTP/1.1\r\ncontent-length: 20000\r\n\r\n'
            )
            connection.dataReceived(b'x' * 20_000)
        self.assertEqual(state.evictions, {ClientState.UNREAD: 1})
        state.check(now[0])
        self.assertFalse(state.memory.is_exceeded)
        for connection in connections:
            connection.connectionLost()
        self.assertEqual(state.memory.held_bytes, 0)

    def test_share_of_one_kind_is_not_used_by_another(self):
        """Callers took the memory of calls from other nodes."""
        account = MemoryAccount()
        shares = (account.callers, account.nodes, account.targets)
        total = sum(share.limit_bytes for share in shares)
        self.assertLessEqual(total, account.limit_bytes)

    def test_system_without_limit_of_descriptors(self):
        """Its limit of -1 gave callers 4 connections."""
        unlimited = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        with mock.patch('resource.getrlimit', return_value=unlimited):
            budget = descriptor_budget(descriptor_limit(), 0)
        self.assertGreater(budget.callers, 100_000)

    def test_reserve_that_leaves_callers_nothing(self):
        """It was accepted, and gave callers 4 connections beyond the limit."""
        limits = (256, 256)
        with mock.patch('resource.getrlimit', return_value=limits):
            for reserve in (253, 256, 1000):
                settings = {**NODE, 'reserved_descriptors': reserve}
                with self.assertRaises(SettingsError) as caught:
                    parse_mesh_settings('n', json.dumps(settings))
                self.assertEqual(
                    caught.exception.field, '$.reserved_descriptors'
                )
            settings = {**NODE, 'reserved_descriptors': 252}
            parse_mesh_settings('n', json.dumps(settings))

    def test_wrong_settings_are_named(self):
        """A node with too little memory would refuse bodies in its limits."""
        for name, wrong in (
            ('request_memory_mb', 55),
            ('reserved_descriptors', -1),
            ('min_progress_bytes_per_s', 0),
        ):
            with self.assertRaises(SettingsError) as caught:
                parse_mesh_settings('n', json.dumps({**NODE, name: wrong}))
            self.assertEqual(caught.exception.field, f'$.{name}')
