"""Checks of a declaration file."""

import unittest

import msgspec

from rattanstile.version.checks import parse_declaration

DIGEST = 'a' * 64


def found(**changes):
    """Return the error for a declaration with some fields changed."""
    whole = {
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
    for item in whole['organisations']:
        item.update(changes.get('organisation', {}))
    for item in whole['services']:
        item.update(changes.get('service', {}))
    whole.update(changes.get('top', {}))
    return parse_declaration('file.json', msgspec.json.encode(whole).decode())


class ChecksTest(unittest.TestCase):
    """A value that is not allowed is named by file, field and bound."""

    def refused(self, result, field, *words):
        error = result.unwrap_err()
        self.assertEqual((error.file_name, error.field), ('file.json', field))
        for word in words:
            self.assertIn(word, error.message)

    def test_comments_and_trailing_commas_are_read(self):
        text = '// who\n{"max_hops": 3, /* deep */ "targets_out": ["t:1",],}'
        self.assertEqual(
            parse_declaration('file.json', text).unwrap().max_hops, 3
        )

    def test_comment_signs_in_a_string_are_kept(self):
        text = '{"targets_out": ["http://x,]"], "max_hops": 2}'
        self.refused(
            parse_declaration('file.json', text),
            '$.targets_out[0]',
            'http://x,]',
        )

    def test_field_given_twice_is_refused(self):
        for text in (
            '{"max_hops": 2, "max_hops": 3}',
            '{max_hops: 2, max_hops: 3}',
        ):
            self.refused(parse_declaration('file.json', text), '$', 'max_hops')

    def test_broken_text_is_refused(self):
        self.refused(parse_declaration('file.json', '{"a": '), '$')

    def test_wrong_type_is_named_with_what_was_found(self):
        result = found(organisation={'rate_per_s': 'many'})
        self.refused(result, '$.organisations[0].rate_per_s', 'float', "'many'")

    def test_unknown_field_is_refused(self):
        self.refused(found(top={'max_hop': 3}), '$', 'max_hop')

    def test_rate_is_positive_and_finite(self):
        field = '$.organisations[0].rate_per_s'
        for rate in (0, -1):
            result = found(organisation={'rate_per_s': rate})
            self.refused(result, field, 'above 0')
        text = '{organisations: [{name: "a", rate_per_s: Infinity, burst_calls: 1}]}'
        self.refused(parse_declaration('file.json', text), field, 'inf')

    def test_key_in_clear_is_refused_and_not_shown(self):
        result = found(organisation={'keys': ['hunter2']})
        self.refused(
            result, '$.organisations[0].keys[0]', 'rattanstile key new'
        )
        self.assertNotIn('hunter2', result.unwrap_err().message)

    def test_key_of_two_organisations_is_refused(self):
        both = [
            {
                'name': name,
                'rate_per_s': 1,
                'burst_calls': 1,
                'keys': [DIGEST],
            }
            for name in ('a', 'b')
        ]
        self.refused(
            found(top={'organisations': both}), '$.organisations[1].keys[0]'
        )

    def test_name_given_twice_is_refused(self):
        twice = [{'name': 'a', 'region': 'r'}, {'name': 'a', 'region': 'r'}]
        self.refused(
            found(top={'failure_domains': twice}), '$.failure_domains[1]'
        )

    def test_internal_name_is_refused(self):
        self.refused(
            found(service={'name': 'rattanstile-x'}), '$.services[0].name'
        )

    def test_kind_path_and_cold_slots_are_checked(self):
        field = '$.services[0].routes[0]'
        self.refused(
            found(service={'routes': [{'kind': 'gift'}]}),
            f'{field}.kind',
            'payment',
        )
        self.refused(
            found(service={'routes': [{'path': 'x'}]}), f'{field}.path'
        )
        self.refused(
            found(service={'limits': {'slots': 2, 'cold_slots': 3}}),
            '$.services[0].limits.cold_slots',
            '1 to 2',
        )

    def test_service_without_a_route_is_refused(self):
        self.refused(found(service={'routes': []}), '$.services[0].routes')
