"""Token buckets that limit retries."""

import unittest

from rattanstile.process.rates.edge_bucket import EdgeBuckets


class EdgeBucketsTest(unittest.TestCase):
    """Retries stay a fraction of the successes."""

    def spend_all(self, buckets, service='s'):
        return sum(buckets.spend(service) for _ in range(100))

    def test_full_bucket_allows_its_capacity_once(self):
        buckets = EdgeBuckets(max_tokens=3)
        self.assertEqual(self.spend_all(buckets), 3)
        self.assertEqual(self.spend_all(buckets), 0)
        self.assertEqual(self.spend_all(buckets, 'other'), 3)

    def test_successes_refill_a_bucket_up_to_its_capacity(self):
        buckets = EdgeBuckets(tokens_per_success=0.25, max_tokens=3)
        self.spend_all(buckets)
        for _ in range(8):
            buckets.record_success('s')
        self.assertEqual(self.spend_all(buckets), 2)
        for _ in range(100):
            buckets.record_success('s')
        self.assertEqual(self.spend_all(buckets), 3)
