"""Tests of the review of a configuration before it is published."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st
from test_decoders import thorough

from rattanstile.cli import main
from rattanstile.errors import ExitCode
from rattanstile.platform.operators import decode_fleet_config

KEY = 'a-key-that-no-output-may-show'


def document(route=(), service=(), tenant=(), limits=(), **changes):
    """Return a configuration without findings, with some fields changed."""
    fields = {
        'version': 3,
        'routes': [
            {
                'name': 'lookup',
                'host': 'forest.example',
                'pathPrefix': '/lookup/',
                'routeType': 'safe',
                'timeout': '2s',
                'targetLatency': '1s',
                'service': 'claims',
                'maxAttempts': 2,
                **dict(route),
            }
        ],
        'services': [
            {
                'name': 'claims',
                'healthPath': '/healthz',
                'maxConnections': 50,
                'coldStart': '3s',
                'coldPerS': 20.0,
                **dict(service),
            }
        ],
        'limits': {
            'headerTimeout': '3s',
            'idleTimeout': '15s',
            **dict(limits),
        },
        'tenants': [
            {
                'name': 'north',
                'apiKeys': [KEY],
                'ratePerS': 5,
                'burst': 5,
                **dict(tenant),
            }
        ],
    }
    return {**fields, **changes}


def run_check(content, *options, against=None):
    """Return the exit code and the output for a document or raw bytes."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, 'config.json')
        path.write_bytes(encode(content))
        if against is not None:
            other = Path(folder, 'in-force.json')
            other.write_bytes(encode(against))
            options = (*options, '--against', str(other))
        out = io.StringIO()
        err = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main(['check', str(path), *options])
    return code, out.getvalue() + err.getvalue()


def encode(content):
    return (
        content if isinstance(content, bytes) else json.dumps(content).encode()
    )


ROUTE = document()['routes'][0]
SERVICE = document()['services'][0]
TENANT = document()['tenants'][0]
SPLIT = [
    {'service': 'claims', 'weight': 1},
    {'service': 'other', 'weight': 1},
]

ERRORS = (
    ('timeout', document(route={'timeout': '0s'})),
    ('targetLatency', document(route={'targetLatency': '9000s'})),
    ('invalid duration', document(route={'timeout': '2h'})),
    ('maxAttempts', document(route={'maxAttempts': 0})),
    ('priority', document(route={'priority': -1})),
    ('trafficSplit', document(route={'service': 'unknown'})),
    ('trafficSplit', document(route={'trafficSplit': SPLIT})),
    ('pathPrefix', document(routes=[ROUTE, {**ROUTE, 'name': 'second'}])),
    ('name', document(routes=[ROUTE, {**ROUTE, 'pathPrefix': '/b/'}])),
    ('name', document(services=[SERVICE, SERVICE])),
    ('maxConnections', document(service={'maxConnections': 0})),
    ('coldPerS', document(service={'coldPerS': -1})),
    ('healthPath', document(service={'healthPath': 'healthz'})),
    ('ratePerS', document(tenant={'ratePerS': -5})),
    ('apiKeys', document(tenants=[TENANT, {**TENANT, 'name': 'south'}])),
    ('maxHeaderBytes', document(limits={'maxHeaderBytes': 0})),
)
WARNINGS = (
    ('never matches', document(route={'pathPrefix': '/a?b/'})),
    ('never matches', document(route={'host': 'forest.example:80'})),
    (
        'never matches',
        document(services=[SERVICE, {**SERVICE, 'name': 'idle'}]),
    ),
    ('never matches', document(tenant={'apiKeys': []})),
    ('never matches', document(tenant={'ratePerS': 0})),
    ('never matches', document(route={'public': True})),
    ('contradiction', document(route={'timeout': '500ms'})),
    ('contradiction', document(service={'coldPerS': 0})),
    ('contradiction', document(tenant={'burst': 0})),
    ('contradiction', document(limits={'headerTimeout': '16s'})),
)
NO_FINDINGS = (
    document(),
    document(route={'timeout': '1s'}),
    document(route={'maxAttempts': 1, 'priority': 0}),
    document(
        routes=[ROUTE, {**ROUTE, 'name': 'b', 'pathPrefix': '/lookup/b/'}]
    ),
    document(service={'coldPerS': 0, 'coldStart': '0s'}),
    document(tenant={'ratePerS': 0, 'burst': 0}),
    document(tenant={'burst': 1}),
    document(limits={'headerTimeout': '15s'}),
)


class FindingsTest(unittest.TestCase):
    """Each check has a document that it objects to, and one close to it."""

    def test_errors_fail_and_name_their_field(self):
        """A node would refuse these, or take them and do harm."""
        for field, content in ERRORS:
            with self.subTest(field=field, content=content):
                code, output = run_check(content)
                self.assertEqual(
                    code, ExitCode.FAILURE if 'error' in output else code
                )
                self.assertIn(field, output)
                self.assertEqual(code, ExitCode.FAILURE)

    def test_warnings_fail_only_when_strict(self):
        """Nodes take these, but they don't do what they seem to say."""
        for kind, content in WARNINGS:
            with self.subTest(kind=kind, content=content):
                code, output = run_check(content)
                self.assertEqual(code, ExitCode.OK, output)
                self.assertIn(f'{kind}: ', output)
                strict_code, _ = run_check(content, '--strict')
                self.assertEqual(strict_code, ExitCode.FAILURE)

    def test_documents_close_to_them_have_no_finding(self):
        for content in NO_FINDINGS:
            with self.subTest(content=content):
                code, output = run_check(content, '--strict')
                self.assertEqual(code, ExitCode.OK, output)

    def test_a_file_that_can_t_be_read_is_a_usage_error(self):
        with contextlib.redirect_stderr(io.StringIO()):
            code = main(['check', '/nonexistent/file'])
        self.assertEqual(code, ExitCode.USAGE)
        self.assertEqual(run_check(b'{')[0], ExitCode.FAILURE)

    def test_json_output_has_the_same_findings(self):
        """Its fields are those of `ReviewReport`."""
        _, output = run_check(document(tenant={'burst': 0}), '--format', 'json')
        report = json.loads(output)
        self.assertEqual(report['findings'][0]['kind'], 'contradiction')
        self.assertEqual(report['findings'][0]['path'], 'tenants[0] (north)')


class DifferencesTest(unittest.TestCase):
    """What differs from the version in force, by meaning."""

    def differences(self, **changes):
        _, output = run_check(
            {**document(), 'version': 4, **changes}, against=document()
        )
        return output

    def test_an_equal_version_differs_in_nothing(self):
        """The order of entries and fields has no meaning."""
        self.assertIn('0 differences', self.differences())

    def test_a_dropped_route_tells_where_its_requests_go(self):
        """To a broader route, or nowhere."""
        broad = {**ROUTE, 'name': 'all', 'pathPrefix': '/'}
        self.assertIn('go to all', self.differences(routes=[broad]))
        self.assertIn('! route lookup', self.differences(routes=[]))

    def test_withdrawn_keys_are_counted_and_not_shown(self):
        """A key is a secret."""
        output = self.differences(tenants=[{**TENANT, 'apiKeys': ['b']}])
        self.assertIn('! organisation north: 1 keys withdrawn', output)
        self.assertNotIn(KEY, output)

    def test_lowered_rates_refuse_and_raised_ones_don_t(self):
        lower = self.differences(tenants=[{**TENANT, 'ratePerS': 2}])
        self.assertIn('! organisation north: rate_per_s: 5', lower)
        higher = self.differences(tenants=[{**TENANT, 'ratePerS': 9}])
        self.assertIn('~ organisation north: rate_per_s: 5', higher)

    def test_the_first_organisation_refuses_requests_without_keys(self):
        """From then on routes that aren't open to all require one."""
        _, output = run_check(
            {**document(), 'version': 4},
            against={**document(), 'tenants': []},
        )
        self.assertIn('! organisations', output)

    def test_a_version_that_isn_t_newer_is_named(self):
        """Nodes ignore it."""
        self.assertIn('ignore', self.differences(version=3))


class AnyInputTest(unittest.TestCase):
    """Whatever the file holds, the command ends with an exit code."""

    @thorough
    @given(content=st.binary(max_size=200))
    def test_any_bytes_end_with_an_exit_code(self, content):
        self.assertIn(run_check(content)[0], tuple(ExitCode))

    @thorough
    @given(
        timeout=st.sampled_from(('0s', '1s', '2500ms', '99999s', 'x', '')),
        rate=st.floats(allow_nan=False, allow_infinity=False),
        attempts=st.integers(-5, 50),
        prefix=st.sampled_from(('/', '/a/', '/a', '', '/?/', '/é/')),
        service=st.sampled_from(('claims', 'other', '')),
    )
    def test_what_passes_is_taken_by_a_node(
        self, timeout, rate, attempts, prefix, service
    ):
        """The review uses the decoder of the nodes."""
        content = document(
            route={
                'timeout': timeout,
                'maxAttempts': attempts,
                'pathPrefix': prefix,
                'service': service,
            },
            tenant={'ratePerS': rate},
        )
        code, output = run_check(content)
        self.assertNotIn(KEY, output)
        if code == ExitCode.OK:
            self.assertEqual(decode_fleet_config(encode(content)).number, 3)
