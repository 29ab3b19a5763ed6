"""Leases, witnesses and sealing."""

import unittest

from rattanstile.process.rates.rate_lease import (
    LEASE_S,
    TAKEOVER_UNSEALED_S,
    TAKEOVER_WAIT_S,
    WITHOUT_LOG_MAX_S,
    Lease,
    Sealing,
    Witness,
)
from rattanstile.process.rates.rate_messages import (
    LeaseRequest,
    LeaseGrant,
    SealRequest,
)
from rattanstile.version.rate_records import OwnerClaimRecord, ProcessId


def process(name, incarnation=1):
    """Return a process."""
    return ProcessId(node_id=name, incarnation=incarnation)


def claim(epoch=1, witnesses=('w1', 'w2', 'w3')):
    """Return a claim of `o`."""
    return OwnerClaimRecord(
        record_id=f'c{epoch}',
        shard=0,
        epoch=epoch,
        owner=process('o'),
        witnesses=tuple(map(process, witnesses)),
    )


def vouch(sequence, epoch=1):
    """Return a witness's vouch."""
    return LeaseGrant(shard=0, epoch=epoch, sequence=sequence)


class LeaseTest(unittest.TestCase):
    """A majority of vouches, counted from when they were asked for."""

    def test_one_of_three_vouches_is_no_lease(self):
        lease = Lease(claim())
        lease.ask(10.0)
        lease.vouched('w1', vouch(1))
        self.assertLess(lease.until_s(), 10.0)

    def test_late_vouch_counts_from_the_request(self):
        lease = Lease(claim())
        lease.ask(10.0)
        lease.ask(10.2)
        for witness in ('w1', 'w2'):
            lease.vouched(witness, vouch(1))
        self.assertEqual(lease.until_s(), 10.0 + LEASE_S)


class WitnessTest(unittest.TestCase):
    """A sealed epoch is never vouched for again."""

    def ask(self, epoch, witness):
        """Return an owner's request."""
        return LeaseRequest(shard=0, epoch=epoch, sequence=1, witness=witness)

    def seal(self, epoch, witness):
        """Return a claimant's request."""
        return SealRequest(shard=0, epoch=epoch, witness=witness)

    def test_sealed_epoch_is_not_vouched(self):
        me = process('w1')
        witness = Witness(me)
        self.assertIsNotNone(witness.vouch(0.0, self.ask(1, me)))
        witness.seal(self.seal(1, me))
        self.assertIsNone(witness.vouch(0.0, self.ask(1, me)))
        self.assertIsNotNone(witness.vouch(0.0, self.ask(2, me)))

    def test_restarted_witness_does_not_vouch_for_its_earlier_run(self):
        earlier = process('w1', 1)
        witness = Witness(process('w1', 2))
        self.assertIsNone(witness.vouch(0.0, self.ask(1, earlier)))
        self.assertIsNotNone(witness.seal(self.seal(1, earlier)))


class SealingTest(unittest.TestCase):
    """A successor waits for the leases and loans given before."""

    def test_waits_after_a_majority_of_each_earlier_claim(self):
        sealing = Sealing((claim(1), claim(2, ('w3', 'w4', 'w5'))), 0.0)
        sealing.sealed(1.0, process('w1'), 1)
        sealing.sealed(1.0, process('w2'), 1)
        self.assertFalse(sealing.is_done(100.0))
        sealing.sealed(2.0, process('w4'), 2)
        sealing.sealed(3.0, process('w5'), 2)
        self.assertFalse(sealing.is_done(3.0 + TAKEOVER_WAIT_S - 0.01))
        self.assertTrue(sealing.is_done(3.0 + TAKEOVER_WAIT_S))

    def test_seal_of_an_earlier_epoch_does_not_count_for_a_later(self):
        sealing = Sealing((claim(2),), 0.0)
        sealing.sealed(1.0, process('w1'), 1)
        sealing.sealed(1.0, process('w2'), 1)
        self.assertFalse(sealing.is_done(100.0))

    def test_first_claim_has_nothing_to_wait_for(self):
        self.assertTrue(Sealing((), 0.0).is_done(0.0))

    def test_witnesses_gone_for_good_hold_no_shard_for_ever(self):
        sealing = Sealing((claim(1),), 5.0)
        self.assertFalse(sealing.is_done(5.0 + WITHOUT_LOG_MAX_S))
        self.assertTrue(sealing.is_done(5.0 + TAKEOVER_UNSEALED_S))
