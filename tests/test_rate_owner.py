"""Shard owners in a simulated fleet: takeover, outages, lowered rates."""

import unittest

from bench.rates_demand import organisations_of
from bench.rates_faults import Schedule
from bench.rates_world import Fleet, most_above
from rattanstile.process.rates.rate_lease import MAX_WITHOUT_LOG_S, Takeover
from rattanstile.process.rates.rate_messages import LeaseGrant
from rattanstile.process.rates.rate_ownership import ShardOwnership
from rattanstile.process.rates.rate_shares import SplitSchedule
from rattanstile.version.declaration import Organisation
from rattanstile.version.rate_records import OwnerClaimRecord, ProcessId


def started_fleet():
    """Return a fleet whose owners have started."""
    fleet = Fleet(1, 4, organisations_of((60.0,)))
    fleet.world.run(5.0)
    return fleet


def owner_counts(fleet):
    """Return the number of processes that may lend from each shard."""
    shards = [
        shard
        for node in fleet.nodes.values()
        if node.alive
        for shard in node.owner.owned_shards(node.now_s())
    ]
    return {shard: shards.count(shard) for shard in range(3)}


class RateOwnerTest(unittest.TestCase):
    """Each shard has one owner, each in a different failure domain."""

    def test_each_shard_is_owned_once(self):
        self.assertEqual(owner_counts(started_fleet()), {0: 1, 1: 1, 2: 1})

    def test_shards_are_owned_in_different_domains(self):
        domains = [
            node.domain
            for node in started_fleet().nodes.values()
            for _ in node.owner.owned_shards(node.now_s())
        ]
        self.assertEqual(len(set(domains)), 3)

    def test_killed_owner_is_replaced(self):
        fleet = started_fleet()
        victim = next(
            node
            for node in fleet.nodes.values()
            if node.owner.owned_shards(node.now_s())
        )
        victim.alive = False
        fleet.world.run(8.0)
        self.assertEqual(owner_counts(fleet), {0: 1, 1: 1, 2: 1})

    def test_paused_owner_does_not_lend_after_its_lease(self):
        fleet = started_fleet()
        victim = next(
            node
            for node in fleet.nodes.values()
            if node.owner.owned_shards(node.now_s())
        )
        victim.paused = True
        fleet.world.run(8.0)
        victim.paused = False
        self.assertEqual(victim.owner.owned_shards(victim.now_s()), ())

    def test_owners_keep_lending_through_an_outage_of_the_log(self):
        fleet = started_fleet()
        fleet.log.up = False
        fleet.world.run(65.0)
        self.assertEqual(owner_counts(fleet), {0: 1, 1: 1, 2: 1})

    def test_owner_without_log_stops_before_an_unsealed_takeover(self):
        claim = OwnerClaimRecord(
            record_id='c',
            shard=0,
            epoch=1,
            owner=ProcessId(node_id='o', incarnation=1),
            witnesses=(ProcessId(node_id='w', incarnation=1),),
        )
        ownership = ShardOwnership(
            claim, SplitSchedule(), Takeover((), 0.0), confirmed_s=100.0
        )
        ownership.started = True
        ends_s = 100.0 + MAX_WITHOUT_LOG_S
        ownership.lease.request_renewal(ends_s - 0.1)
        ownership.lease.record_grant(
            'w', LeaseGrant(shard=0, epoch=1, sequence=1)
        )
        self.assertTrue(ownership.may_lend(ends_s - 0.05))
        self.assertFalse(ownership.may_lend(ends_s))

    def test_lowered_rate_applies_within_four_seconds(self):
        fleet = started_fleet()
        lowered = (Organisation(name='o0', rate_per_s=6.0, burst_calls=6),)
        for node in fleet.nodes.values():
            node.configure(lowered, 16, False)
        fleet.world.run(9.0)
        for _ in range(100):
            for node in fleet.nodes.values():
                node.request('o0')
            fleet.world.run(fleet.world.now_s + 0.02)
        admitted = fleet.admissions['o0']
        self.assertEqual(most_above(admitted, 6.0, 6), 0.0)
        self.assertGreater(len(admitted), 0)

    def test_random_faults_never_exceed_the_rate(self):
        for seed in range(8):
            self.assertLess(Schedule(seed).above(), 1e-6, seed)
