"""Fold of the stream of claims."""

import unittest

from rattanstile.process.rates.rate_claims import CLAIMS_OPEN_MAX, ClaimFold
from rattanstile.version.rate_records import (
    OwnerClaimRecord,
    OwnerStartedRecord,
    ProcessId,
)


def claim(epoch, owner='a'):
    """Return a claim of shard 0."""
    return OwnerClaimRecord(
        record_id=f'{owner}{epoch}',
        shard=0,
        epoch=epoch,
        owner=ProcessId(node_id=owner, incarnation=1),
        witnesses=(),
    )


class ClaimFoldTest(unittest.TestCase):
    """The first record for an epoch wins."""

    def test_second_claim_for_an_epoch_changes_nothing(self):
        fold = ClaimFold()
        fold.apply(claim(1, 'a'))
        self.assertFalse(fold.apply(claim(1, 'b')))
        self.assertEqual(fold.current(0).owner.node_id, 'a')

    def test_claim_that_leaves_an_epoch_out_changes_nothing(self):
        fold = ClaimFold()
        fold.apply(claim(1))
        self.assertFalse(fold.apply(claim(3)))

    def test_claims_before_the_started_one_are_dropped(self):
        fold = ClaimFold()
        for epoch in (1, 2, 3):
            fold.apply(claim(epoch))
        self.assertEqual([one.epoch for one in fold.before(0, 3)], [1, 2])
        fold.apply(OwnerStartedRecord(record_id='s', shard=0, epoch=2))
        self.assertEqual([one.epoch for one in fold.before(0, 3)], [2])

    def test_unstarted_claims_are_bounded(self):
        fold = ClaimFold()
        for epoch in range(1, CLAIMS_OPEN_MAX + 1):
            fold.apply(claim(epoch))
        self.assertTrue(fold.is_full(0))

    def test_older_claim_told_by_a_peer_is_ignored(self):
        fold = ClaimFold()
        fold.add_peer_claim(claim(5))
        self.assertFalse(fold.add_peer_claim(claim(4, 'b')))
        self.assertFalse(fold.apply(claim(5, 'b')))
        self.assertTrue(fold.apply(claim(6, 'b')))
