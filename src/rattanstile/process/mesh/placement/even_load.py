"""Choice by free capacity while a service is busy.

Handles many nodes that choose at the same moment by load reports that are 0.3
to 0.6 s old. If all chose the target with the lowest reported load, that
target would be overloaded until the next reports, and the others idle. Each
node therefore draws a target with a probability in proportion to its capacity,
corrected by its reported load. A difference of load that an older report
shows counts less, as the choices of the other nodes have since reduced it.
"""

import math
from collections.abc import Sequence
from random import Random
from typing import Protocol, TypeVar

BUSY_SHARE = 0.33
"""Mean share of the limits in use from which on calls are spread evenly. Below
it, the fastest target has room for most calls."""
CROWDED_SHARE = 0.8
"""Share of its limit in use from which on a single target has too little room
for the calls that other nodes send to it at the same time."""
MAX_DRAWN = 12
"""Number of targets that a draw takes into account; bounds its cost."""
CORRECTION_S = 0.3
"""Time constant within which the choices of all nodes even out a difference;
about the age of a report."""
CORRECTION_GAIN = 0.5
MAX_CORRECTION = 2.0
MIN_CORRECTION = 0.05
"""A target that seems full still gets some calls, as the report is old."""
FULL_DOMAIN_SHARE = 0.85
"""Mean share in use from which on a failure domain has no capacity left for
part of its calls."""
MIN_SPILL_DIFFERENCE = 0.1
"""How much less of the limits must be in use in other domains. Smaller
differences are within the error of old reports."""
SPILL_GAIN = 2.0
"""Above `FULL_DOMAIN_SHARE`, how fast the part of the calls that leave the
domain grows with the share in use."""
MAX_SPILL_SHARE = 0.9
MIN_SHARE = 0.05


class LoadedTarget(Protocol):
    """What is known of the load of a target."""

    def used_share(self) -> float:
        """Return the share of its limit that is in use."""

    def capacity(self, now_s: float) -> float:
        """Return its capacity relative to other targets of the service."""

    def report_age_s(self, now_s: float) -> float:
        """Return the age of its last report."""


Target = TypeVar('Target', bound=LoadedTarget)


def mean_share(pool: Sequence[LoadedTarget]) -> float:
    """Return the mean share of the limits in use; 0 without targets."""
    if not pool:
        return 0.0
    return sum([each.used_share() for each in pool]) / len(pool)


def busiest_to_mean(pool: Sequence[LoadedTarget]) -> float:
    """Return the share in use of the busiest target over the mean.

    It is 1 while the targets are nearly idle.
    """
    mean = mean_share(pool)
    if mean < MIN_SHARE:
        return 1.0
    return max(each.used_share() for each in pool) / mean


def draw(pool: Sequence[Target], now_s: float, rng: Random) -> Target:
    """Return a target drawn by capacity and load.

    Args:
        pool: At least one target.
        now_s: Monotonic seconds.
        rng: Source of the random choices.
    """
    if len(pool) > MAX_DRAWN:
        pool = rng.sample(pool, MAX_DRAWN)
    shares = [each.used_share() for each in pool]
    mean = max(sum(shares) / len(shares), MIN_SHARE)
    weights = [
        each.capacity(now_s)
        * _correction(share / mean - 1, each.report_age_s(now_s))
        for each, share in zip(pool, shares, strict=True)
    ]
    return rng.choices(pool, weights)[0]


def _correction(excess: float, age_s: float) -> float:
    """Return the factor for a target with a load above or below the mean."""
    left = excess * math.exp(-max(age_s, 0.0) / CORRECTION_S)
    return min(MAX_CORRECTION, max(MIN_CORRECTION, 1 - CORRECTION_GAIN * left))


def spill_share(local_share: float, remote_share: float) -> float:
    """Return the part of the calls that leaves the failure domain.

    Args:
        local_share: Mean share in use of the targets in the domain.
        remote_share: The same of the known targets in other domains.
    """
    excess = local_share - max(
        FULL_DOMAIN_SHARE, remote_share + MIN_SPILL_DIFFERENCE
    )
    if excess <= 0:
        return 0.0
    return min(MAX_SPILL_SHARE, SPILL_GAIN * excess / local_share)
