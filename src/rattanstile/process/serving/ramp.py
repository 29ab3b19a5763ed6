"""Ramp of the load that a node gets when it starts or returns."""

from rattanstile.version.declaration import TargetLimits


def assumed_limit(limits: TargetLimits, since_s: float, now_s: float) -> int:
    """Return the calls at once to assume of a node that has told none.

    Args:
        limits: What operators declare that its target bears.
        since_s: When the node or its failure domain came (back).
        now_s: Monotonic seconds.

    Returns:
        The cold slots at first, then a straight line to the slots.
    """
    if limits.cold_start_s <= 0:
        return limits.slots
    share = (now_s - since_s) / limits.cold_start_s
    span = limits.slots - limits.cold_slots
    ramped = limits.cold_slots + int(span * min(1.0, max(0.0, share)))
    return max(1, ramped)
