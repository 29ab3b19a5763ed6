"""Delegates of failure domains, the allocator, and rates over five domains."""

import unittest
from random import Random

from mesh_samples import organisation

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.mesh.fleet.delegates import SUSPECT_S, Delegates
from rattanstile.process.mesh.fleet.domain_ledger import DomainLedger
from rattanstile.process.mesh.rates.rate_allocator import Demand, RateAllocator
from rattanstile.process.mesh.rates.rate_limiter import (
    LocalRateLimiter,
    RatePool,
)

DOMAINS = ('d1', 'd2', 'd3', 'd4', 'd5')
WINDOW_S = 5.0


def member(node_id):
    return PeerMember(node_id, f'{node_id}:1', 'registry', node_id[:2])


def chosen(own_id, settled, connected=()):
    delegates = Delegates(own_id, own_id[:2], 0.0)
    delegates.choose(
        10.0,
        [member(each) for each in settled],
        [member(each) for each in connected or settled],
    )
    return delegates


class ChoiceTest(unittest.TestCase):
    """Each node works out for itself whom it reports to."""

    def test_node_reports_to_the_smallest_of_its_domain(self):
        """Not to a smaller one of another domain that it happens to call."""
        delegates = chosen('d2-5', ('d2-1', 'd2-7', 'd1-3'))
        self.assertEqual(delegates.upstream_id, 'd2-1')
        self.assertFalse(delegates.is_delegate)

    def test_delegate_reports_to_the_smallest_delegate(self):
        """The smallest of all is the allocator."""
        delegates = chosen('d2-1', ('d2-5', 'd1-1', 'd3-1'))
        self.assertTrue(delegates.is_delegate)
        self.assertEqual(delegates.upstream_id, 'd1-1')
        self.assertTrue(chosen('d1-1', ('d2-1', 'd3-1')).is_allocator)

    def test_reports_always_go_to_a_smaller_id(self):
        """So they end, also while nodes see different parts of the fleet."""
        rng = Random(3)
        ids = [f'{domain}-{number}' for domain in DOMAINS for number in '123']
        for _ in range(200):
            own_id = rng.choice(ids)
            seen = rng.sample(ids, rng.randint(0, len(ids)))
            delegates = chosen(own_id, [one for one in seen if one != own_id])
            self.assertLessEqual(delegates.upstream_id, own_id)

    def test_silent_node_is_not_chosen_for_a_while(self):
        """A frozen delegate is replaced, and returns."""
        delegates = Delegates('d1-5', 'd1', 0.0)
        settled = [member('d1-1'), member('d1-2')]
        delegates.suspect(10.0, 'd1-1')
        delegates.choose(10.0, settled, settled)
        self.assertEqual(delegates.upstream_id, 'd1-2')
        delegates.choose(10.0 + SUSPECT_S, settled, settled)
        self.assertEqual(delegates.upstream_id, 'd1-1')

    def test_restarted_node_leaves_its_roles_to_others_at_first(self):
        """Its pool would be empty, and the others don't report to it yet."""
        delegates = Delegates('d1-1', 'd1', 9.5)
        settled = [member('d1-2'), member('d2-1')]
        delegates.choose(10.0, settled, settled)
        self.assertEqual(delegates.upstream_id, 'd1-2')


class Fleet:
    """Five failure domains that share one organisation's rate.

    Attributes:
        cut: Domains that reach no other domain.
        dead: Nodes whose processes have ended.
    """

    def __init__(self, nodes_per_domain, rate_per_s, demand_per_s):
        self.organisation = organisation('north', rate_per_s=rate_per_s)
        self.ids = [
            f'{domain}-{number:03}'
            for domain in DOMAINS
            for number in range(nodes_per_domain)
        ]
        self.limiters = {each: LocalRateLimiter() for each in self.ids}
        self.ledgers = {each: DomainLedger() for each in self.ids}
        self.allocators = {each: RateAllocator() for each in self.ids}
        self.pools = {each: RatePool() for each in self.ids}
        self.demand_per_s = demand_per_s
        self.cut = set()
        self.dead = set()
        self.admitted_s = []
        self.refused = 0
        self._rng = Random(1)
        for limiter in self.limiters.values():
            limiter.set_node_count(len(self.ids))
            limiter.add_organisations(0, (self.organisation,))

    def delegate_of(self, node_id):
        domain = node_id[:2]
        return min(
            each
            for each in self.ids
            if each[:2] == domain and each not in self.dead
        )

    def allocator_of(self, node_id):
        domain = node_id[:2]
        if domain in self.cut:
            return self.delegate_of(node_id)
        return min(
            each
            for each in self.ids
            if each[:2] not in self.cut and each not in self.dead
        )

    def run(self, from_s, until_s, step_s=0.05):
        now_s = from_s
        while now_s < until_s:
            for node_id, per_s in self.demand_per_s.items():
                if node_id not in self.dead:
                    self._requests(now_s, node_id, per_s * step_s)
            if round(now_s / step_s) % 10 == 0:
                self._report(now_s)
            if round(now_s / step_s) % 5 == 0:
                self._report_domains(now_s)
            now_s += step_s

    def refused_share(self):
        return self.refused / max(1, self.refused + len(self.admitted_s))

    def forget(self):
        self.refused = 0
        self.admitted_s.clear()

    def worst_window(self):
        return max(
            sum(1 for at_s in self.admitted_s if 0 <= at_s - start < WINDOW_S)
            for start in self.admitted_s[::9]
        )

    def allowed(self):
        rate = self.organisation
        return (rate.rate_per_s * WINDOW_S + rate.burst_calls) * 1.1 + 20

    def _requests(self, now_s, node_id, expected):
        count = int(expected) + (self._rng.random() < expected % 1)
        for _ in range(count):
            if self._is_admitted(now_s, node_id):
                self.admitted_s.append(now_s)
            else:
                self.refused += 1

    def _is_admitted(self, now_s, node_id):
        limiter = self.limiters[node_id]
        decision = limiter.take(now_s, self.organisation)
        if decision.is_admitted or not decision.may_use_pool:
            return decision.is_admitted
        pool = self.pools[self.allocator_of(node_id)]
        taken = pool.take(now_s, self.organisation)
        if not taken.is_granted:
            limiter.record_empty_pool(now_s, self.organisation, taken.wait_s)
        return taken.is_granted

    def _report(self, now_s):
        for node_id in self.ids:
            if node_id in self.dead:
                continue
            demand = Demand(self.limiters[node_id].demand(now_s), {}, 1)
            ledger = self.ledgers[self.delegate_of(node_id)]
            ledger.record_report(now_s, node_id, demand)
            self.limiters[node_id].set_shares(
                now_s,
                ledger.shares_of(now_s, node_id),
                ledger.lease_s(now_s),
            )

    def _report_domains(self, now_s):
        delegates = {
            self.delegate_of(node_id)
            for node_id in self.ids
            if node_id not in self.dead
        }
        for delegate in sorted(delegates):
            allocator = self.allocator_of(delegate)
            total = self.ledgers[delegate].total(now_s)
            self.allocators[allocator].record_report(now_s, delegate, total)
            if allocator == delegate:
                self._allocate(now_s, delegate)
            else:
                self.pools[delegate].stop()
            shares = self.allocators[allocator].shares_of(delegate)
            self.ledgers[delegate].set_shares(now_s, shares, 4.0)

    def _allocate(self, now_s, allocator_id):
        allocator = self.allocators[allocator_id]
        count = len(self.ids) - len(self.dead)
        allocator.allocate(now_s, count, {'north': self.organisation})
        self.pools[allocator_id].refill(
            now_s,
            (self.organisation,),
            allocator.reachable_share(now_s, count),
            allocator.held_shares,
        )


def even(ids, per_s):
    return dict.fromkeys(ids, per_s / len(ids))


class FleetRateTest(unittest.TestCase):
    """Rates over five failure domains of 39 nodes."""

    def fleet(self, rate_per_s, demand_per_s):
        fleet = Fleet(39, rate_per_s, {})
        fleet.demand_per_s = even(fleet.ids, demand_per_s)
        return fleet

    def test_small_organisation_is_not_refused(self):
        """One of 140: a node gets one of its requests in half a minute."""
        fleet = self.fleet(16.0, 0.8 * 16.0)
        fleet.run(0, 6)
        fleet.forget()
        fleet.run(6, 16)
        self.assertLess(fleet.refused_share(), 0.01)

    def test_demand_at_few_nodes_of_one_domain_is_admitted(self):
        """A large organisation whose callers are near each other."""
        fleet = self.fleet(100.0, 0.0)
        fleet.demand_per_s = {'d4-003': 50.0, 'd4-007': 30.0, 'd2-001': 10.0}
        fleet.run(0, 6)
        fleet.forget()
        fleet.run(6, 16)
        self.assertLess(fleet.refused_share(), 0.01)

    def test_no_window_exceeds_the_rate(self):
        """Eight times the rate, which moves from one domain to another."""
        fleet = self.fleet(100.0, 800.0)
        fleet.run(0, 6)
        fleet.demand_per_s = even([n for n in fleet.ids if n < 'd2'], 800.0)
        fleet.run(6, 12)
        fleet.demand_per_s = even(['d5-001', 'd5-002'], 800.0)
        fleet.run(12, 18)
        self.assertLessEqual(fleet.worst_window(), fleet.allowed())

    def test_no_window_exceeds_it_while_domains_are_cut_off(self):
        """Each part hands out what its share of the nodes allows."""
        for cut in ({'d1'}, {'d2', 'd4'}, {'d1', 'd2', 'd3'}):
            fleet = self.fleet(100.0, 800.0)
            fleet.run(0, 5)
            fleet.cut = cut
            fleet.run(5, 12)
            fleet.cut = set()
            fleet.run(12, 18)
            with self.subTest(cut=cut):
                self.assertLessEqual(fleet.worst_window(), fleet.allowed())

    def test_no_window_exceeds_it_when_delegates_end(self):
        """Delegate and allocator are killed one after the other."""
        fleet = self.fleet(100.0, 800.0)
        fleet.run(0, 5)
        for second, node_id in enumerate(('d1-000', 'd2-000', 'd1-001')):
            fleet.dead.add(node_id)
            fleet.run(5 + 2 * second, 7 + 2 * second)
        fleet.dead = set()
        fleet.run(11, 16)
        self.assertLessEqual(fleet.worst_window(), fleet.allowed())
