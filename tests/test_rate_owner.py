"""Owners over a virtual fleet: takeover, outage, lowered rates."""

import unittest

from bench.rates_demand import organisations_of
from bench.rates_faults import Schedule
from bench.rates_world import Fleet, most_above
from rattanstile.process.rates.rate_lease import WITHOUT_LOG_MAX_S, Sealing
from rattanstile.process.rates.rate_messages import LeaseGrant
from rattanstile.process.rates.rate_ownership import Role
from rattanstile.process.rates.rate_shares import SplitSchedule
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import OwnerClaimRecord, ProcessId


def fleet():
    """Return a fleet whose owners have started."""
    started = Fleet(1, 4, organisations_of((60.0,)))
    started.world.run(5.0)
    return started


def owners(one):
    """Return how many processes may lend from each shard."""
    shards = [
        shard
        for node in one.nodes.values()
        if node.alive
        for shard in node.owner.owned_shards(node.now_s())
    ]
    return {shard: shards.count(shard) for shard in range(3)}


class RateOwnerTest(unittest.TestCase):
    """Each shard has one owner, in a failure domain of its own."""

    def test_each_shard_is_owned_once(self):
        self.assertEqual(owners(fleet()), {0: 1, 1: 1, 2: 1})

    def test_shards_lie_in_different_domains(self):
        domains = [
            node.domain
            for node in fleet().nodes.values()
            for _ in node.owner.owned_shards(node.now_s())
        ]
        self.assertEqual(len(set(domains)), 3)

    def test_killed_owner_is_replaced(self):
        one = fleet()
        victim = next(
            node
            for node in one.nodes.values()
            if node.owner.owned_shards(node.now_s())
        )
        victim.alive = False
        one.world.run(8.0)
        self.assertEqual(owners(one), {0: 1, 1: 1, 2: 1})

    def test_paused_owner_does_not_lend_after_its_lease(self):
        one = fleet()
        victim = next(
            node
            for node in one.nodes.values()
            if node.owner.owned_shards(node.now_s())
        )
        victim.paused = True
        one.world.run(8.0)
        victim.paused = False
        self.assertEqual(victim.owner.owned_shards(victim.now_s()), ())

    def test_owners_go_on_through_an_outage_of_the_log(self):
        one = fleet()
        one.log.up = False
        one.world.run(65.0)
        self.assertEqual(owners(one), {0: 1, 1: 1, 2: 1})

    def test_owner_without_log_stops_before_it_can_be_passed_over(self):
        claim = OwnerClaimRecord(
            record_id='c',
            shard=0,
            epoch=1,
            owner=ProcessId(node_id='o', incarnation=1),
            witnesses=(ProcessId(node_id='w', incarnation=1),),
        )
        role = Role(claim, SplitSchedule(), Sealing((), 0.0), proved_s=100.0)
        role.started = True
        ends_s = 100.0 + WITHOUT_LOG_MAX_S
        role.lease.ask(ends_s - 0.1)
        role.lease.vouched('w', LeaseGrant(shard=0, epoch=1, sequence=1))
        self.assertTrue(role.holds(ends_s - 0.05))
        self.assertFalse(role.holds(ends_s))

    def test_lowered_rate_bounds_within_four_seconds(self):
        one = fleet()
        lowered = (Organisation(name='o0', rate_per_s=6.0, burst_calls=6),)
        for node in one.nodes.values():
            node.configure(lowered, 16, False)
        one.world.run(9.0)
        for _ in range(100):
            for node in one.nodes.values():
                node.request('o0')
            one.world.run(one.world.now_s + 0.02)
        admitted = one.admissions['o0']
        self.assertEqual(most_above(admitted, 6.0, 6), 0.0)
        self.assertGreater(len(admitted), 0)

    def test_random_faults_leave_no_window_above(self):
        for seed in range(8):
            self.assertLess(Schedule(seed).above(), 1e-6, seed)
