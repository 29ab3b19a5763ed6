"""Refusals that no retry can change: what the log and counters say of them."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from mesh_samples import caller_request, config, context, organisation, route
from transports import FakeTcpTransport

from rattanstile.connection.http_server import (
    HttpServerConnection,
    ServerState,
)
from rattanstile.platform.callers import PlatformCallerCodec
from rattanstile.process.mesh.caller_service import CallerService
from rattanstile.process.mesh.entry_handler import EntryHandler
from rattanstile.process.mesh.freshness import Freshness
from rattanstile.version.fleet_config import (
    CallerLimits,
    ConfigOrigin,
    FleetState,
)

HEAD = (
    b'POST /claims/1 HTTP/1.1\r\nhost: forest.example\r\n'
    b'request-id: r-1\r\nauthorization: Token secret\r\n'
)


class Transport(FakeTcpTransport):
    """A transport that may be closed."""

    def loseConnection(self):  # noqa: N802
        self.write_side_closed = True


def entry_handler(node_context):
    serving = SimpleNamespace(watch=SimpleNamespace(service='other'))
    links = SimpleNamespace(candidates=None)
    return EntryHandler(node_context, serving, None, None, None, None, links)


class EntryTest(unittest.TestCase):
    """Requests that the configuration in force doesn't allow."""

    def setUp(self):
        self.context, self.clock, holder = context()
        holder.state = FleetState(
            offset=8,
            config=config(7, [route()], [organisation()]),
            origin=ConfigOrigin('peer:n3', in_force_s=2.0, offset=7),
        )
        self.clock.advance(5.0)
        self.entry = entry_handler(self.context)

    def refused_fields(self, **changes):
        ended = []
        self.entry.begin(caller_request(**changes), ended.append)
        self.assertEqual(len(ended), 1)
        ((event, fields),) = self.context.log.lines
        self.assertEqual(event, 'request_refused')
        return fields

    def test_the_line_tells_how_the_configuration_came(self):
        """Age and source tell a stale copy from a request that is wrong."""
        fields = self.refused_fields(path='/other/1')
        self.assertEqual(fields['reason'], 'no_route')
        self.assertEqual(fields['organisation'], 'north')
        self.assertEqual(fields['source'], 'peer:n3')
        self.assertEqual(fields['version_age_ms'], 3000)
        self.assertEqual(fields['host_routes'], 1)
        self.assertEqual(self.context.counters.invalid, {'no_route': 1})

    def test_the_line_has_no_key(self):
        """A digest tells whether several refusals had the same key."""
        fields = self.refused_fields(key='secret')
        self.assertEqual(fields['reason'], 'key_refused')
        self.assertNotIn('secret', str(fields))
        self.assertEqual(len(fields['key_digest']), 8)


class CallerTest(unittest.TestCase):
    """Requests that can't be decoded."""

    def setUp(self):
        self.context, self.clock, self.holder = context(
            FleetState(config=config(7))
        )
        self.connect(self.context)

    def connect(self, node_context):
        service = CallerService(PlatformCallerCodec(), None, node_context)
        state = ServerState(
            service, lambda: CallerLimits(body_bytes=10), self.clock.seconds
        )
        self.connection = HttpServerConnection(state)
        self.connection.makeConnection(Transport())

    def refused_fields(self, *pieces):
        for piece in pieces:
            self.connection.dataReceived(piece)
            self.clock.advance(0.5)
        ((event, fields),) = self.context.log.lines
        self.assertEqual(event, 'request_malformed')
        self.assertNotIn('secret', str(fields))
        return fields

    def test_the_line_names_the_limit_that_was_passed(self):
        """And the request, if its head was read."""
        fields = self.refused_fields(HEAD, b'content-length: 11\r\n\r\n')
        self.assertEqual(fields['request'], 'r-1')
        self.assertEqual(fields['detail'], 'length of 11 over 10')
        self.assertEqual(fields['age_ms'], 500)
        self.assertEqual(self.context.counters.invalid, {'body_too_large': 1})

    def test_the_line_names_the_header_that_is_wrong(self):
        """Not its content."""
        fields = self.refused_fields(HEAD, b'request-deadline-ms: soon\r\n\r\n')
        self.assertEqual(fields['request'], 'r-1')
        self.assertEqual(fields['detail'], 'deadline')

    def test_limits_do_not_count_before_the_first_version(self):
        """Callers don't repeat a request after 413 or 431, but after 503."""
        self.holder.state = FleetState()
        self.refused_fields(HEAD, b'content-length: 11\r\n\r\n')
        written = self.connection.transport.take()
        self.assertIn(b'HTTP/1.1 503 ', written)
        self.assertIn(b'request-id: r-1\r\n', written)
        self.assertIn(b'retry-after: ', written)

    def test_limits_of_a_version_of_unknown_age_do_not_count(self):
        """A newer version may have raised them."""
        self.connect(replace(self.context, freshness=Freshness()))
        self.refused_fields(HEAD, b'content-length: 11\r\n\r\n')
        written = self.connection.transport.take()
        self.assertIn(b'HTTP/1.1 503 ', written)
        self.assertIn(b'retry-after: ', written)

    def test_limits_of_the_version_in_force_count(self):
        """A retry can't change this one."""
        self.refused_fields(HEAD, b'content-length: 11\r\n\r\n')
        self.assertIn(b'HTTP/1.1 413 ', self.connection.transport.take())
