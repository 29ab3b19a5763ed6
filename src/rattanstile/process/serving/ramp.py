"""Load ramp for a node that starts or returns."""

from rattanstile.version.declaration import TargetLimits


def assumed_limit(limits: TargetLimits, since_s: float, now_s: float) -> int:
    """Return the concurrency limit to assume for a node that reports none.

    Args:
        limits: Declared limits of the node's target.
        since_s: Monotonic seconds at which the node or its failure domain
            started or returned.
        now_s: Monotonic seconds.

    Returns:
        Concurrent calls, at least 1; rises linearly from the cold slots to
        the slots over the cold start.
    """
    if limits.cold_start_s <= 0:
        return limits.slots
    share = (now_s - since_s) / limits.cold_start_s
    span = limits.slots - limits.cold_slots
    ramped = limits.cold_slots + int(span * min(1.0, max(0.0, share)))
    return max(1, ramped)
