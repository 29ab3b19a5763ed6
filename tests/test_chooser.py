"""Choice of the serving node."""

import unittest
from collections import Counter
from random import Random

from rattanstile.process.entry.chooser import Chooser
from rattanstile.request.envelope import Call, Member, Reply, refusal
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import (
    Declaration,
    FailureDomain,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

LIMITS = TargetLimits(slots=10, cold_slots=2, cold_start_s=10.0)
WARM_S = 100.0
CALL = Call(
    call_id='a',
    attempt=1,
    organisation='north',
    key_digest='',
    service='claims',
    method='GET',
    path='/',
    remaining_ms=1000,
    home='e1',
)


def member(name, domain, incarnation=1):
    return Member(
        node_id=name,
        incarnation=incarnation,
        service='claims',
        failure_domain=domain,
        address='',
    )


def version(targets_out=(), domains_out=()):
    return VersionInForce(
        1,
        Declaration(
            services=(Service(name='claims', routes=(), limits=LIMITS),),
            failure_domains=tuple(
                FailureDomain(
                    name=name, region='no', in_service=name not in domains_out
                )
                for name in ('east', 'west')
            ),
            targets_out=targets_out,
        ),
    )


def reply(in_flight, limit=10):
    return Reply(
        call_id='a',
        attempt=1,
        outcome=Outcome.WHOLE,
        in_flight=in_flight,
        limit=limit,
    )


class BackedOff:
    """Unreachable nodes of which one is backed off."""

    def __init__(self, node_id):
        self.node_id = node_id

    def is_backed_off(self, node_id, now_s):
        return node_id == self.node_id


class ChooserTest(unittest.TestCase):
    """Nodes in service, the own failure domain first, by load and latency."""

    def setUp(self):
        self.version = version()
        self.rng = Random(1)
        self.chooser = self.build()

    def build(self, unreachable=None):
        chooser = Chooser('east', lambda: self.version, unreachable)
        chooser.members_changed(
            (member('e1', 'east'), member('e2', 'east'), member('w1', 'west')),
            0.0,
        )
        return chooser

    def choices(self, now_s=WARM_S, **kwargs):
        return Counter(
            self.chooser.choose(now_s, 'claims', rng=self.rng, **kwargs)
            for _ in range(60)
        )

    def test_own_failure_domain_comes_first(self):
        self.assertEqual(set(self.choices()), {'e1', 'e2'})

    def test_other_domain_takes_over_when_the_own_domain_is_full(self):
        for node in ('e1', 'e2'):
            for _ in range(9):
                self.chooser.sent(node)
        self.assertEqual(set(self.choices()), {'w1'})

    def test_domain_out_of_service_gets_nothing(self):
        self.version = version(domains_out=('east',))
        self.assertEqual(set(self.choices()), {'w1'})

    def test_target_out_of_service_gets_nothing(self):
        self.version = version(targets_out=('e1',))
        self.assertEqual(set(self.choices()), {'e2'})

    def test_excluded_and_backed_off_nodes_get_nothing(self):
        self.chooser = self.build(BackedOff('e1'))
        chosen = self.choices(exclude=frozenset(('e2',)))
        self.assertEqual(set(chosen), {'w1'})

    def test_none_when_no_node_is_left(self):
        self.version = version(domains_out=('east', 'west'))
        self.assertEqual(set(self.choices()), {None})

    def test_less_loaded_node_is_chosen(self):
        self.chooser.choose(WARM_S, 'claims', rng=self.rng)
        self.chooser.sent('e1')
        self.chooser.ended('e1', 0.1, reply(in_flight=8))
        self.chooser.sent('e2')
        self.chooser.ended('e2', 0.1, reply(in_flight=2))
        self.assertEqual(set(self.choices()), {'e2'})

    def test_slower_node_is_avoided_at_equal_load(self):
        for node, latency_s in (('e1', 0.9), ('e2', 0.1)):
            self.chooser.sent(node)
            self.chooser.ended(node, latency_s, reply(2), now_s=WARM_S)
        self.assertEqual(set(self.choices()), {'e2'})

    def test_node_that_refused_regardless_of_load_is_backed_off(self):
        refused = refusal(CALL, Reason.NO_TARGET)
        self.chooser.choose(WARM_S, 'claims', rng=self.rng)
        self.chooser.sent('e1')
        self.chooser.ended('e1', 0.001, refused)
        self.assertEqual(set(self.choices()), {'e2'})
        self.assertEqual(set(self.choices(WARM_S + 1.0)), {'e1', 'e2'})

    def test_slow_node_is_tried_again_after_a_while(self):
        for node, latency_s in (('e1', 0.9), ('e2', 0.1)):
            self.chooser.sent(node)
            self.chooser.ended(node, latency_s, reply(2), now_s=WARM_S)
        self.chooser.sent('e2')
        self.chooser.ended('e2', 0.1, reply(2), now_s=WARM_S + 30.0)
        self.assertIn('e1', self.choices(WARM_S + 30.0))

    def test_returning_domain_ramps_up(self):
        self.version = version(domains_out=('west',))
        self.choices()
        self.version = version()
        for node in ('e1', 'e2'):
            for _ in range(9):
                self.chooser.sent(node)
        sent_counts = []
        for now_s in (WARM_S, WARM_S + 5.0, WARM_S + 10.0):
            sent = 0
            while self.chooser.choose(now_s, 'claims', rng=self.rng) == 'w1':
                self.chooser.sent('w1')
                sent += 1
            sent_counts.append(sent)
        self.assertLess(sent_counts[0], 3)
        self.assertEqual(sum(sent_counts), 9)

    def test_new_incarnation_restarts_its_ramp(self):
        self.chooser.choose(WARM_S, 'claims', rng=self.rng)
        self.chooser.members_changed(
            (member('e1', 'east', incarnation=2), member('e2', 'east')), WARM_S
        )
        for _ in range(3):
            self.chooser.sent('e2')
        self.assertEqual(set(self.choices()), {'e2'})
