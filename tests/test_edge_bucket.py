"""Token buckets of retries."""

import unittest

from rattanstile.process.rates.edge_bucket import EdgeBuckets


class EdgeBucketsTest(unittest.TestCase):
    """Retries stay a share of the successes."""

    def spent(self, buckets, service='s'):
        return sum(buckets.spend(service) for _ in range(100))

    def test_full_bucket_is_spent_once(self):
        buckets = EdgeBuckets(max_tokens=3)
        self.assertEqual(self.spent(buckets), 3)
        self.assertEqual(self.spent(buckets), 0)
        self.assertEqual(self.spent(buckets, 'other'), 3)

    def test_successes_refill_by_their_share_up_to_the_most(self):
        buckets = EdgeBuckets(tries_per_success=0.25, max_tokens=3)
        self.spent(buckets)
        for _ in range(8):
            buckets.record_success('s')
        self.assertEqual(self.spent(buckets), 2)
        for _ in range(100):
            buckets.record_success('s')
        self.assertEqual(self.spent(buckets), 3)
