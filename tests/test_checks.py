"""Tests of the validation of declaration files."""

import unittest

import msgspec

from rattanstile.version.checks import parse_declaration

DIGEST = 'a' * 64


def parse_with(**changes):
    """Parse a valid declaration with some fields changed."""
    declaration = {
        'organisations': [
            {
                'name': 'vedlott',
                'rate_per_s': 10,
                'burst_calls': 5,
                'keys': [DIGEST],
            }
        ],
        'services': [
            {
                'name': 'claims',
                'routes': [{'path': '/'}],
                'limits': {'slots': 4},
            }
        ],
        'failure_domains': [{'name': 'no-east-1', 'region': 'no-east'}],
    }
    for item in declaration['organisations']:
        item.update(changes.get('organisation', {}))
    for item in declaration['services']:
        item.update(changes.get('service', {}))
    declaration.update(changes.get('top', {}))
    return parse_declaration(
        'file.json', msgspec.json.encode(declaration).decode()
    )


class ChecksTest(unittest.TestCase):
    """An error names the file, the field and the allowed values."""

    def assert_refused(self, result, field, *texts):
        error = result.unwrap_err()
        self.assertEqual((error.file_name, error.field), ('file.json', field))
        for text in texts:
            self.assertIn(text, error.message)

    def test_comments_and_trailing_commas_are_accepted(self):
        text = '// owner\n{"max_hops": 3, /* deep */ "targets_out": ["t:1",],}'
        self.assertEqual(
            parse_declaration('file.json', text).unwrap().max_hops, 3
        )

    def test_comment_markers_in_a_string_are_kept(self):
        text = '{"targets_out": ["http://x,]"], "max_hops": 2}'
        self.assert_refused(
            parse_declaration('file.json', text),
            '$.targets_out[0]',
            'http://x,]',
        )

    def test_duplicate_field_is_refused(self):
        for text in (
            '{"max_hops": 2, "max_hops": 3}',
            '{max_hops: 2, max_hops: 3}',
        ):
            self.assert_refused(
                parse_declaration('file.json', text), '$', 'max_hops'
            )

    def test_malformed_text_is_refused(self):
        self.assert_refused(parse_declaration('file.json', '{"a": '), '$')

    def test_wrong_type_is_reported_with_the_value_found(self):
        result = parse_with(organisation={'rate_per_s': 'many'})
        self.assert_refused(
            result, '$.organisations[0].rate_per_s', 'float', "'many'"
        )

    def test_unknown_field_is_refused(self):
        self.assert_refused(parse_with(top={'max_hop': 3}), '$', 'max_hop')

    def test_rate_must_be_positive_and_finite(self):
        field = '$.organisations[0].rate_per_s'
        for rate in (0, -1):
            result = parse_with(organisation={'rate_per_s': rate})
            self.assert_refused(result, field, 'above 0')
        text = '{organisations: [{name: "a", rate_per_s: Infinity, burst_calls: 1}]}'
        self.assert_refused(parse_declaration('file.json', text), field, 'inf')

    def test_plaintext_key_is_refused_and_not_shown(self):
        result = parse_with(organisation={'keys': ['hunter2']})
        self.assert_refused(
            result, '$.organisations[0].keys[0]', 'rattanstile key new'
        )
        self.assertNotIn('hunter2', result.unwrap_err().message)

    def test_key_of_two_organisations_is_refused(self):
        organisations = [
            {
                'name': name,
                'rate_per_s': 1,
                'burst_calls': 1,
                'keys': [DIGEST],
            }
            for name in ('a', 'b')
        ]
        self.assert_refused(
            parse_with(top={'organisations': organisations}),
            '$.organisations[1].keys[0]',
        )

    def test_duplicate_name_is_refused(self):
        domains = [{'name': 'a', 'region': 'r'}, {'name': 'a', 'region': 'r'}]
        self.assert_refused(
            parse_with(top={'failure_domains': domains}), '$.failure_domains[1]'
        )

    def test_reserved_name_is_refused(self):
        self.assert_refused(
            parse_with(service={'name': 'rattanstile-x'}), '$.services[0].name'
        )

    def test_kind_path_and_cold_slots_are_checked(self):
        field = '$.services[0].routes[0]'
        self.assert_refused(
            parse_with(service={'routes': [{'kind': 'gift'}]}),
            f'{field}.kind',
            'payment',
        )
        self.assert_refused(
            parse_with(service={'routes': [{'path': 'x'}]}), f'{field}.path'
        )
        self.assert_refused(
            parse_with(service={'limits': {'slots': 2, 'cold_slots': 3}}),
            '$.services[0].limits.cold_slots',
            '1 to 2',
        )

    def test_service_without_a_route_is_refused(self):
        self.assert_refused(
            parse_with(service={'routes': []}), '$.services[0].routes'
        )
