"""Tests of changes between declarations and of plans."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanstile.version.change import (
    apply_change,
    canonicalise,
    change_between,
)
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Organisation,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.plan import make_plan

DIGESTS = tuple(str(digit) * 64 for digit in range(6))


def organisation(name, rate_per_s=10.0, keys=()):
    return Organisation(
        name=name, rate_per_s=rate_per_s, burst_calls=5, keys=keys
    )


@st.composite
def declarations(draw):
    names = draw(st.sets(st.sampled_from('abc')))
    owners = draw(st.lists(st.sampled_from('abc'), min_size=6, max_size=6))
    return Declaration(
        organisations=tuple(
            organisation(
                name,
                draw(st.sampled_from((1.0, 2.0))),
                tuple(
                    digest
                    for digest, owner in zip(DIGESTS, owners, strict=True)
                    if owner == name
                ),
            )
            for name in names
        ),
        services=tuple(
            Service(
                name=name,
                routes=(Route(),),
                limits=TargetLimits(slots=draw(st.integers(1, 2))),
            )
            for name in draw(st.sets(st.sampled_from('xy')))
        ),
        failure_domains=tuple(
            FailureDomain(name=name, region='r', in_service=draw(st.booleans()))
            for name in draw(st.sets(st.sampled_from('uv')))
        ),
        targets_out=tuple(draw(st.sets(st.sampled_from('st')))),
        max_hops=draw(st.integers(1, 2)),
    )


class ChangeTest(unittest.TestCase):
    """A change turns its base into the new declaration."""

    @settings(derandomize=True, database=None, max_examples=150, deadline=None)
    @given(old=declarations(), new=declarations())
    def test_change_applied_to_base_gives_new_declaration(self, old, new):
        changed = apply_change(canonicalise(old), change_between(old, new))
        self.assertEqual(changed, canonicalise(new))

    def test_withdrawn_key_is_sent_without_the_other_keys(self):
        old = Declaration(organisations=(organisation('a', keys=DIGESTS),))
        new = Declaration(organisations=(organisation('a', keys=DIGESTS[1:]),))
        change = change_between(old, new)
        self.assertEqual(len(change.keys_withdrawn), 1)
        self.assertEqual((change.organisations, change.keys_granted), ((), ()))


class PlanTest(unittest.TestCase):
    """A plan lists the differences by item and field."""

    def test_differences_name_item_field_before_and_after(self):
        old = Declaration(
            organisations=(organisation('a'), organisation('gone'))
        )
        new = Declaration(
            organisations=(organisation('a', 20.0), organisation('new'))
        )
        lines = [
            str(difference) for difference in make_plan(3, old, new).differences
        ]
        self.assertIn('~ organisations.a.rate_per_s: 10.0 -> 20.0', lines)
        self.assertTrue(
            any(line.startswith('- organisations.gone') for line in lines)
        )
        self.assertTrue(
            any(line.startswith('+ organisations.new') for line in lines)
        )

    def test_plan_id_depends_on_base_and_not_on_the_order_of_items(self):
        ascending = Declaration(
            organisations=(organisation('a'), organisation('b'))
        )
        descending = Declaration(
            organisations=(organisation('b'), organisation('a'))
        )
        empty = Declaration()
        first = make_plan(1, empty, ascending)
        self.assertEqual(first.plan_id, make_plan(1, empty, descending).plan_id)
        self.assertNotEqual(
            first.plan_id, make_plan(2, empty, ascending).plan_id
        )
