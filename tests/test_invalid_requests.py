"""Refusals that no retry can change: what the log and counters say of them."""

import json
import unittest
from dataclasses import replace
from types import SimpleNamespace

from mesh_samples import caller_request, config, context, organisation, route
from platform_fleet import HOST, config_document
from transports import FakeTcpTransport

from rattanstile.connection.http_server import (
    HttpServerConnection,
    ServerState,
)
from rattanstile.platform.callers import PlatformCallerCodec
from rattanstile.platform.operators import decode_fleet_config
from rattanstile.process.mesh.entry.caller_service import CallerService
from rattanstile.process.mesh.entry.entry_handler import EntryHandler
from rattanstile.process.mesh.entry.request_checks import RequestChecks
from rattanstile.process.mesh.store.freshness import Freshness
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


class WithdrawnKeysTest(unittest.TestCase):
    """CONFIG, ROUTE: with the last key withdrawn every request ran.

    120 of 120 requests with a withdrawn key, with one that was never held or
    without a key (review case 2).
    """

    KEYS = ('k-north', 'k-south', 'never-held', '', None)

    def accepted(self, tenants, public=False):
        """Return the keys with which a request is accepted."""
        document = config_document()
        document['routes'][0]['public'] = public
        document['tenants'] = tenants
        if tenants is None:
            del document['tenants']
        decoded = decode_fleet_config(json.dumps(document).encode())
        node_context, _, _ = context(FleetState(1, decoded))
        checks = RequestChecks(node_context)
        requests = [
            caller_request(host=HOST, path='/claims/1', key=key)
            for key in self.KEYS
        ]
        return [
            request.key
            for request in requests
            if checks.route_of(request).is_ok()
        ]

    def tenant(self, name, *keys, **others):
        return {'name': name, 'apiKeys': list(keys), **others}

    def test_each_key_that_is_left_and_no_other(self):
        """Keys are withdrawn one after the other, then given again."""
        south = self.tenant('south')
        both = [
            self.tenant('north', 'k-north'),
            self.tenant('south', 'k-south'),
        ]
        self.assertEqual(self.accepted(both), ['k-north', 'k-south'])
        one_left = [self.tenant('north', 'k-north'), south]
        self.assertEqual(self.accepted(one_left), ['k-north'])
        self.assertEqual(self.accepted([self.tenant('north'), south]), [])
        self.assertEqual(self.accepted([south]), [])
        again = [self.tenant('south', 'k-south')]
        self.assertEqual(self.accepted(again), ['k-south'])

    def test_no_organisation_has_had_a_key(self):
        """The field may be missing too; a rate or priority changes nothing."""
        self.assertEqual(self.accepted([{'name': 'north'}]), [])
        limited = self.tenant('north', ratePerS=5, burst=5, priority=0)
        self.assertEqual(self.accepted([limited]), [])

    def test_routes_that_are_open_to_all_need_none(self):
        """Neither before nor after the last key was withdrawn."""
        for tenants in ([self.tenant('north', 'k-north')], [{'name': 'north'}]):
            self.assertEqual(
                self.accepted(tenants, public=True), list(self.KEYS)
            )

    def test_deployment_without_organisations_needs_no_keys(self):
        """The list is empty, or isn't there."""
        self.assertEqual(self.accepted([]), list(self.KEYS))
        self.assertEqual(self.accepted(None), list(self.KEYS))
