"""Short runs of the soak with seeds that failed in the past."""

import unittest

from soak.run import run_soak

SEEDS = (
    # 332 of 2,600 requests were refused as over rate: a paused node requested
    # tokens from a node that allocated no rates.
    (1, 8),
    # 451 requests were refused as over rate: the node that allocates rates
    # was restarted four times and had no rate pool after each restart.
    (5, 6),
)


class SoakTest(unittest.TestCase):
    """Real processes under externally injected faults."""

    def test_no_guarantee_is_violated(self):
        """Kills, pauses, disconnections and key changes break no guarantee."""
        for seed, steps in SEEDS:
            with self.subTest(seed=seed):
                violations, summary = run_soak(seed, steps)
                self.assertEqual(violations, [], summary)
