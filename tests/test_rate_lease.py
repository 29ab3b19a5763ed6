"""Leases, witnesses and takeovers."""

import unittest

from rattanstile.process.rates.rate_lease import (
    LEASE_S,
    MAX_WITHOUT_LOG_S,
    TAKEOVER_WAIT_S,
    UNSEALED_TAKEOVER_WAIT_S,
    Lease,
    Takeover,
    Witness,
)
from rattanstile.process.rates.rate_messages import (
    LeaseGrant,
    LeaseRequest,
    SealRequest,
)
from rattanstile.version.rate_records import OwnerClaimRecord, ProcessId


def process(name, incarnation=1):
    """Return a process id."""
    return ProcessId(node_id=name, incarnation=incarnation)


def claim(epoch=1, witnesses=('w1', 'w2', 'w3')):
    """Return a claim by the process `o`."""
    return OwnerClaimRecord(
        record_id=f'c{epoch}',
        shard=0,
        epoch=epoch,
        owner=process('o'),
        witnesses=tuple(map(process, witnesses)),
    )


def lease_grant(sequence, epoch=1):
    """Return a witness's lease grant."""
    return LeaseGrant(shard=0, epoch=epoch, sequence=sequence)


class LeaseTest(unittest.TestCase):
    """A lease takes a majority of grants, valid from the request on."""

    def test_one_grant_of_three_is_no_lease(self):
        lease = Lease(claim())
        lease.request_renewal(10.0)
        lease.record_grant('w1', lease_grant(1))
        self.assertLess(lease.until_s(), 10.0)

    def test_late_grant_is_valid_from_its_request(self):
        lease = Lease(claim())
        lease.request_renewal(10.0)
        lease.request_renewal(10.2)
        for witness in ('w1', 'w2'):
            lease.record_grant(witness, lease_grant(1))
        self.assertEqual(lease.until_s(), 10.0 + LEASE_S)


class WitnessTest(unittest.TestCase):
    """No lease is granted on a sealed epoch."""

    def lease_request(self, epoch, witness):
        """Return an owner's lease request."""
        return LeaseRequest(shard=0, epoch=epoch, sequence=1, witness=witness)

    def seal_request(self, epoch, witness):
        """Return a claimant's seal request."""
        return SealRequest(shard=0, epoch=epoch, witness=witness)

    def test_no_lease_is_granted_on_a_sealed_epoch(self):
        local = process('w1')
        witness = Witness(local)
        self.assertIsNotNone(
            witness.grant_lease(0.0, self.lease_request(1, local))
        )
        witness.seal(self.seal_request(1, local))
        self.assertIsNone(
            witness.grant_lease(0.0, self.lease_request(1, local))
        )
        self.assertIsNotNone(
            witness.grant_lease(0.0, self.lease_request(2, local))
        )

    def test_restarted_witness_grants_nothing_for_its_earlier_run(self):
        earlier = process('w1', 1)
        witness = Witness(process('w1', 2))
        self.assertIsNone(
            witness.grant_lease(0.0, self.lease_request(1, earlier))
        )
        self.assertIsNotNone(witness.seal(self.seal_request(1, earlier)))


class TakeoverTest(unittest.TestCase):
    """A successor waits out the leases and loans granted before."""

    def test_waits_after_a_majority_of_each_earlier_claim_has_sealed(self):
        takeover = Takeover((claim(1), claim(2, ('w3', 'w4', 'w5'))), 0.0)
        takeover.record_sealed(1.0, process('w1'), 1)
        takeover.record_sealed(1.0, process('w2'), 1)
        self.assertFalse(takeover.is_done(100.0))
        takeover.record_sealed(2.0, process('w4'), 2)
        takeover.record_sealed(3.0, process('w5'), 2)
        self.assertFalse(takeover.is_done(3.0 + TAKEOVER_WAIT_S - 0.01))
        self.assertTrue(takeover.is_done(3.0 + TAKEOVER_WAIT_S))

    def test_seal_of_an_earlier_epoch_does_not_count_for_a_later_one(self):
        takeover = Takeover((claim(2),), 0.0)
        takeover.record_sealed(1.0, process('w1'), 1)
        takeover.record_sealed(1.0, process('w2'), 1)
        self.assertFalse(takeover.is_done(100.0))

    def test_first_claim_does_not_wait(self):
        self.assertTrue(Takeover((), 0.0).is_done(0.0))

    def test_permanently_gone_witnesses_only_delay_a_takeover(self):
        takeover = Takeover((claim(1),), 5.0)
        self.assertFalse(takeover.is_done(5.0 + MAX_WITHOUT_LOG_S))
        self.assertTrue(takeover.is_done(5.0 + UNSEALED_TAKEOVER_WAIT_S))
