"""Format, uniqueness and namespaces of call ids."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanstile.request.call_id import (
    CallIdIssuer,
    ParsedCallId,
    parse_call_id,
)

numbers = st.integers(min_value=0, max_value=10**15)
ids = st.builds(
    ParsedCallId, st.text(), numbers, numbers, st.text(), numbers, numbers
)


class CallIdTest(unittest.TestCase):
    """Ids parse back to their parts, and no two issuers share one."""

    @settings(derandomize=True, database=None, max_examples=100)
    @given(ids)
    def test_rendered_id_parses_to_its_parts(self, call_id):
        self.assertEqual(parse_call_id(call_id.render()).unwrap(), call_id)

    @settings(derandomize=True, database=None, max_examples=100)
    @given(ids, ids, st.text(), st.text())
    def test_organisations_have_separate_namespaces(
        self, call_id, other_call_id, organisation, other_organisation
    ):
        if organisation != other_organisation:
            self.assertNotEqual(
                call_id.of_organisation(organisation),
                other_call_id.of_organisation(other_organisation),
            )

    def test_organisation_cannot_forge_the_id_of_a_node(self):
        issued = CallIdIssuer('node-1', 7).issue('node-2', 8, 3)
        forged = CallIdIssuer('node-1', 7).issue('node-2', 8, 3)
        self.assertNotEqual(issued, forged.of_organisation(''))

    def test_ids_of_two_incarnations_of_an_issuer_differ(self):
        before = CallIdIssuer('node-1', 1).issue('node-2', 8, 3)
        after = CallIdIssuer('node-1', 2).issue('node-2', 8, 3)
        self.assertNotEqual(before.render(), after.render())

    def test_invalid_text_is_rejected(self):
        for text in ('', 'a/1/1/b/1', 'a/1/1/b/1/x', 'a/01/1/b/1/1', 'a/-1/'):
            with self.subTest(text):
                self.assertTrue(parse_call_id(text).is_err())
        for number in ('9' * 5000, '²', '1_0', ' 1'):
            with self.subTest(number[:5]):
                text = f'a/{number}/1/b/1/1'
                self.assertTrue(parse_call_id(text).is_err())
