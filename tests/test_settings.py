"""Tests of the settings of a node."""

import json
import unittest

from rattanstile.errors import ExitCode, SettingsError
from rattanstile.process.settings import parse_address, settings_from_text

VALID_SETTINGS = {
    'node_id': 'claims-0',
    'target_id': 'claims-0',
    'service': 'claims',
    'failure_domain': 'no-east-1',
    'region': 'no-east',
    'target_address': '127.0.0.1:1',
    'log_address': '127.0.0.1:2',
}


class SettingsTest(unittest.TestCase):
    """Valid settings are read; errors name the file and the field."""

    def assert_rejected(self, field, **changes):
        """Check that a change is rejected with an error for the field."""
        text = json.dumps(VALID_SETTINGS | changes)
        with self.assertRaises(SettingsError) as caught:
            settings_from_text('node.json', text)
        self.assertEqual(caught.exception.field, field)
        self.assertIn('node.json', caught.exception.message)
        self.assertEqual(caught.exception.exit_code, ExitCode.USAGE)

    def test_comments_are_allowed_and_defaults_apply(self):
        text = (
            '// a node\n' + json.dumps(VALID_SETTINGS)[:-1] + ', /* none */ }'
        )
        settings = settings_from_text('node.json', text)
        self.assertEqual(settings.node_id, 'claims-0')
        self.assertEqual(settings.static_slot, -1)

    def test_wrong_type_unknown_field_and_invalid_level_are_rejected(self):
        self.assert_rejected('$.node_id', node_id=1)
        self.assert_rejected('$', nodeid='x')
        self.assert_rejected('$.log.level', log={'level': 'loud'})

    def test_missing_field_is_named(self):
        for name in VALID_SETTINGS:
            lacking = {**VALID_SETTINGS}
            lacking.pop(name)
            with self.assertRaises(SettingsError) as caught:
                settings_from_text('node.json', json.dumps(lacking))
            self.assertIn(f'`{name}`', caught.exception.message)

    def test_file_that_is_nested_too_deeply_is_rejected(self):
        with self.assertRaises(SettingsError):
            settings_from_text('node.json', '[' * 3000 + ']' * 3000)

    def test_address_must_be_an_ip_address_with_a_port(self):
        for invalid in ('localhost:1', '127.0.0.1', '127.0.0.1:99999'):
            self.assert_rejected('$.log_address', log_address=invalid)
        self.assertEqual(parse_address('[::1]:80').host, '::1')

    def test_bounds_and_names_are_checked(self):
        self.assert_rejected('$.drain_timeout_s', drain_timeout_s=0)
        self.assert_rejected('$.service', service='a b')
        self.assert_rejected('$.seeds[1]', seeds=['127.0.0.1:1', 'x'])
