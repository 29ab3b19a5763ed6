"""A short seeded run of the soak, and the seeds that once failed."""

import unittest

from soak.run import run_soak

SEEDS = (
    # 332 of 2,600 requests refused over rate: a paused node asked a node
    # that shared nothing out.
    (1, 8),
    # 451 refused over rate: the node that shares rates out was restarted
    # four times and had no pool each time.
    (5, 6),
)


class SoakTest(unittest.TestCase):
    """Real processes under faults from outside."""

    def test_no_promise_is_broken(self):
        """Whatever is killed, paused, cut off or changed."""
        for seed, steps in SEEDS:
            with self.subTest(seed=seed):
                broken, told = run_soak(seed, steps)
                self.assertEqual(broken, [], told)
