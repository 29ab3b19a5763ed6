"""When rejected callers are told to return.

The load pattern: an organisation sends several times its rate, or a surge
exceeds a service, and many callers are rejected within a moment. Told the same
delay, they return together and most of them are rejected again; told a long
one, they are served later than they need to be. So callers are told the time
at which there is room for them, in the order of their rejection, and are
spread over the time in which a retry can still succeed where that isn't known.
After a power failure all targets are cold for seconds: a caller that returns
before they are warm is rejected a second time.
"""

from random import Random

MIN_RETRY_S = 0.3
"""A shorter delay would bring the caller back into the same moment of load."""
RETRY_SHARE = 0.2
"""Share of the caller's remaining time within which it can retry and still be
served."""


LONGEST_WAIT_SHARE = 1 / 3
"""Share of its remaining time that a caller spends on waiting, at most."""


def latest_return_s(remaining_s: float) -> float:
    """Return the longest delay after which a retry can still be served.

    Args:
        remaining_s: Time until the caller's deadline.
    """
    return max(2 * MIN_RETRY_S, remaining_s * RETRY_SHARE)


def spread_return_s(
    rng: Random, remaining_s: float, earliest_s: float = MIN_RETRY_S
) -> float:
    """Return a random delay between the earliest and the latest useful one.

    Args:
        rng: Random source.
        remaining_s: Time until the caller's deadline.
        earliest_s: Delay before which no retry can succeed; ignored if it is
            too long for this caller.
    """
    latest_s = latest_return_s(remaining_s)
    if not MIN_RETRY_S <= earliest_s <= latest_s:
        earliest_s = MIN_RETRY_S
    return rng.uniform(earliest_s, latest_s)


def return_when_warm_s(
    rng: Random, remaining_s: float, warm_in_s: float
) -> float:
    """Return a random delay after which the targets of a service are warm.

    Args:
        rng: Random source.
        remaining_s: Time until the caller's deadline.
        warm_in_s: Time until the targets are warm; 0 if they are.
    """
    if warm_in_s < latest_return_s(remaining_s):
        return spread_return_s(rng, remaining_s, warm_in_s)
    longest_s = max(warm_in_s, remaining_s * LONGEST_WAIT_SHARE)
    return rng.uniform(warm_in_s, longest_s)


def return_at_token_s(
    rng: Random, remaining_s: float, token_wait_s: float
) -> float:
    """Return the delay for a caller whose token comes at a known time.

    Args:
        rng: Random source, used if the token comes too late for the caller.
        remaining_s: Time until the caller's deadline.
        token_wait_s: Time until the token, behind the callers that were
            rejected earlier.
    """
    if token_wait_s > latest_return_s(remaining_s):
        return spread_return_s(rng, remaining_s)
    return max(MIN_RETRY_S, token_wait_s)
