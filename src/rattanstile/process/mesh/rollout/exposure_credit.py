"""Limit on the calls that a node sends to a version under test.

The load pattern: a new version fails its calls, and hundreds of nodes, which
differ in their view of the fleet and may restart, send it calls at the same
time. Each node spends only what its own answered requests have earned, so
that the sum over the nodes stays within the share without any agreement.
"""

MAX_KEPT_CALLS = 3
"""Credit that is kept for later. More would allow a burst of calls when the
targets of the new version appear late in the order."""


class ExposureCredit:
    """Credit of one node for one order.

    Attributes:
        requests: Answered requests that have earned credit.
        spent_calls: Calls that were paid for.

    Args:
        share: Share of the requests that may go to the new version.
    """

    def __init__(self, share: float) -> None:
        """Start without credit, as the node also does after a restart."""
        self.requests = 0
        self.spent_calls = 0
        self._share = share
        self._kept_calls = 0.0

    @property
    def has_call(self) -> bool:
        """Return whether a call can be paid for."""
        return (
            self._kept_calls >= 1
            and self.spent_calls + 1 <= self._share * self.requests
        )

    def earn(self) -> None:
        """Count a request that a target of the service has answered."""
        self.requests += 1
        self._kept_calls = min(self._kept_calls + self._share, MAX_KEPT_CALLS)

    def spend(self) -> bool:
        """Pay for a call; return whether the credit allows it."""
        if not self.has_call:
            return False
        self._kept_calls -= 1
        self.spent_calls += 1
        return True
