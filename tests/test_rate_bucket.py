"""The owner's bucket that lends."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rattanstile.process.rates.rate_bucket import LENT_FOR_S, LendingBucket
from rattanstile.process.rates.rate_messages import LoanRequest
from rattanstile.process.rates.rate_shares import Share
from rattanstile.version.rate_records import ProcessId

BORROWER = ProcessId(node_id='n1', incarnation=1)
OTHER = ProcessId(node_id='n2', incarnation=1)


def request(sequence, held=0, spent=0, needed=0):
    """Return a request for tokens that calls wait for."""
    return LoanRequest(
        shard=0,
        epoch=1,
        organisation='o',
        incarnation=1,
        sequence=sequence,
        held=held,
        spent=spent,
        requested=needed,
        needed=needed,
    )


def full_bucket(burst=10.0, rate=10.0):
    """Return a bucket that filled up to time 100."""
    bucket = LendingBucket(0.0, Share(rate, burst))
    bucket.lend(100.0, OTHER, request(1))
    return bucket


class LendingBucketTest(unittest.TestCase):
    """Tokens here and lent never exceed the burst."""

    def test_new_bucket_is_empty(self):
        bucket = LendingBucket(5.0, Share(10.0, 10.0))
        self.assertEqual(
            bucket.lend(5.0, BORROWER, request(1, needed=5)).granted, 0
        )

    def test_lent_tokens_leave_no_room_for_others(self):
        bucket = full_bucket()
        bucket.lend(100.0, BORROWER, request(1, needed=10))
        self.assertEqual(
            bucket.lend(100.2, OTHER, request(2, needed=5)).granted, 0
        )

    def test_spent_tokens_leave_room_once_reported(self):
        bucket = full_bucket()
        bucket.lend(100.0, BORROWER, request(1, needed=10))
        bucket.lend(100.0, BORROWER, request(2, spent=10))
        self.assertEqual(
            bucket.lend(100.5, OTHER, request(2, needed=9)).granted, 5
        )

    def test_tokens_given_up_by_the_borrowers_word_come_back(self):
        bucket = full_bucket()
        bucket.lend(100.0, BORROWER, request(1, needed=10))
        bucket.lend(100.0, BORROWER, request(2, spent=2))
        self.assertEqual(
            bucket.lend(100.0, OTHER, request(2, needed=9)).granted, 8
        )

    def test_word_after_the_term_gives_nothing_back(self):
        bucket = full_bucket()
        bucket.lend(100.0, BORROWER, request(1, needed=10))
        passed_s = LENT_FOR_S + 0.1
        bucket.lend(100.0 + passed_s, BORROWER, request(2))
        self.assertAlmostEqual(bucket.unspent, 10.0 * passed_s)

    def test_request_answered_before_is_not_answered_again(self):
        bucket = full_bucket()
        bucket.lend(100.0, BORROWER, request(2, needed=1))
        self.assertIsNone(bucket.lend(100.0, BORROWER, request(1, needed=9)))

    def test_lowered_share_bounds_at_once(self):
        bucket = full_bucket()
        bucket.set_share(100.0, Share(1.0, 3.0))
        self.assertEqual(
            bucket.lend(100.0, BORROWER, request(1, needed=9)).granted, 3
        )

    @settings(
        derandomize=True,
        database=None,
        max_examples=150,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(
        st.lists(
            st.tuples(
                st.floats(0.0, 0.5),
                st.integers(0, 2),
                st.integers(0, 8),
                st.integers(0, 8),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_unspent_never_exceeds_the_burst(self, steps):
        bucket = full_bucket()
        now_s = 100.0
        held = [0, 0, 0]
        spent = [0, 0, 0]
        sequence = 1
        for wait_s, index, used, needed, arrives in steps:
            now_s += wait_s
            sequence += 1
            used = min(used, held[index])
            held[index] -= used
            spent[index] += used
            loan = bucket.lend(
                now_s,
                ProcessId(node_id=f'b{index}', incarnation=1),
                request(sequence, held[index], spent[index], needed),
            )
            if arrives:
                kept = held[index] if loan.extended else 0
                held[index] = kept + loan.granted
            self.assertLessEqual(bucket.unspent, 10.0 + 1e-9)
