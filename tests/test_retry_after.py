"""When rejected callers are told to return."""

import heapq
import unittest
from random import Random

from mesh_samples import organisation

from rattanstile.process.mesh.admission.retry_after import (
    MIN_RETRY_S,
    latest_return_s,
    return_at_token_s,
    spread_return_s,
)
from rattanstile.process.mesh.rates.rate_limiter import MAX_RETURN_S, RatePool

SMALL = organisation('small', rate_per_s=10.0)
REMAINING_S = 5.0
OBJECTIVE_S = 1.5
RUN_S = 0.4


def emptied_pool():
    """Return a pool of which all tokens were just taken."""
    pool = RatePool()
    pool.refill(0.0, (SMALL,), 1, {})
    while pool.take(0.0, SMALL).is_granted:
        continue
    return pool


class RetryAfterTest(unittest.TestCase):
    """An organisation whose rate was lowered to far below its demand."""

    def test_callers_are_told_the_time_of_their_token_in_order(self):
        """They were all told the same, and came back together."""
        pool = emptied_pool()
        waits_s = [pool.take(0.0, SMALL).wait_s for _ in range(10)]
        for earlier_s, later_s in zip(waits_s, waits_s[1:], strict=False):
            self.assertAlmostEqual(later_s - earlier_s, 0.1, delta=0.01)

    def test_callers_without_a_turn_do_not_delay_later_ones(self):
        """The queue of those that return is bounded, and empties with time."""
        pool = emptied_pool()
        for _ in range(500):
            pool.take(0.0, SMALL)
        longest_s = pool.take(0.0, SMALL).wait_s
        self.assertLess(longest_s, MAX_RETURN_S + 0.2)
        self.assertLess(pool.take(MAX_RETURN_S, SMALL).wait_s, 0.2)

    def test_a_turn_that_comes_too_late_is_replaced_by_an_even_spread(self):
        """All delays are such that a retry can still be served."""
        rng = Random(3)
        delays_s = sorted(
            return_at_token_s(rng, REMAINING_S, 60.0) for _ in range(200)
        )
        self.assertGreaterEqual(delays_s[0], MIN_RETRY_S)
        self.assertLessEqual(delays_s[-1], latest_return_s(REMAINING_S))
        middle_s = (MIN_RETRY_S + latest_return_s(REMAINING_S)) / 2
        self.assertAlmostEqual(delays_s[100], middle_s, delta=0.1)

    def test_no_caller_returns_before_the_pool_can_have_a_token(self):
        """The node knows from its last request when that is."""
        rng = Random(4)
        delays_s = [spread_return_s(rng, REMAINING_S, 0.8) for _ in range(50)]
        self.assertGreaterEqual(min(delays_s), 0.8)

    def test_callers_that_return_are_served_within_their_objective(self):
        """Four times the rate is asked for ten seconds; each retries once.

        Told 2 s each, one in six of the callers that were served was late.
        """
        rng = Random(5)
        pool = emptied_pool()
        arrivals = [(number / 40, False, number / 40) for number in range(400)]
        heapq.heapify(arrivals)
        late = served = 0
        while arrivals:
            now_s, is_retry, began_s = heapq.heappop(arrivals)
            taken = pool.take(now_s, SMALL)
            if taken.is_granted:
                served += 1
                late += now_s + RUN_S - began_s > OBJECTIVE_S
            elif not is_retry:
                delay_s = return_at_token_s(rng, REMAINING_S, taken.wait_s)
                heapq.heappush(arrivals, (now_s + delay_s, True, began_s))
        self.assertGreater(served, 95)
        self.assertEqual(late, 0)
