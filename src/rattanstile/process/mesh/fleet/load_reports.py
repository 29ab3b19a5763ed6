"""When a node reports the load of its target to the nodes that call it.

The load pattern: many nodes choose among the same targets by what they last
heard of them. While a target is busy its load changes within a fraction of a
second; while it is not, the load that comes with each answer is enough.
"""

from rattanstile.connection.peer_messages import TargetLoad

BUSY_SHARE = 0.6
"""Offered share of its capacity above which a target's load is reported."""
BUSY_REPORT_PERIOD_S = 0.2
"""Minimum time between load reports while the target is busy; slightly less
than the period of the check."""
FULL_RATE_RECEIVERS = 40
"""Number of nodes up to which `BUSY_REPORT_PERIOD_S` applies; above it the
period grows in proportion."""
CAPACITY_CHANGE_SHARE = 0.3
"""Relative change of capacity that is reported, as when a target warms up."""


class LoadReports:
    """Decides when the load of the local target is reported."""

    def __init__(self) -> None:
        """Start without a report."""
        self._is_busy_sent = False
        self._capacity_sent = 0
        self._busy_due_s = 0.0

    def is_due(self, now_s: float, load: TargetLoad, receivers: int) -> bool:
        """Return whether to report, and count it as reported.

        Args:
            now_s: Monotonic seconds.
            load: Present load of the target.
            receivers: Number of nodes that get the report.
        """
        capacity = load.capacity_deci_per_s
        is_busy = load.offered_deci_per_s > capacity * BUSY_SHARE
        change = abs(capacity - self._capacity_sent)
        is_changed = change > CAPACITY_CHANGE_SHARE * self._capacity_sent
        is_period_over = now_s >= self._busy_due_s
        was_busy = self._is_busy_sent
        if not is_changed and not (is_period_over and (is_busy or was_busy)):
            return False
        factor = max(1.0, receivers / FULL_RATE_RECEIVERS)
        self._busy_due_s = now_s + BUSY_REPORT_PERIOD_S * factor
        self._is_busy_sent = is_busy
        self._capacity_sent = capacity
        return True
