"""Sequential test of one kind of event: Wald's ratio and Page's sum.

The load pattern: a few calls per second reach the new version, and each bad
answer counts. A test that may be looked at after every report decides with
fewer calls than one of fixed size (Wald, 1945). The sum that never falls
below zero (Page, 1954) finds a fault that begins after many good answers.
"""

from math import log


class SequentialTest:
    """Evidence on whether an event is more frequent at the new version.

    Attributes:
        excess: Log-likelihood ratio of an excess, since its last minimum; high
            if the event is more frequent lately.
        total: Log-likelihood ratio of all events; low if it is no more
            frequent.

    Args:
        harmful_excess: Excess that is to be found, as a share of the calls
            without the event at the old version.
    """

    def __init__(self, harmful_excess: float) -> None:
        """Start without evidence."""
        self.excess = 0.0
        self.total = 0.0
        self._harmful_excess = harmful_excess

    def add(self, calls: int, events: int, expected_share: float) -> None:
        """Add calls of the new version.

        Args:
            calls: Number of calls.
            events: Those of them that had the event.
            expected_share: Share that has it if the versions are alike.
        """
        harmful_share = expected_share + (
            (1 - expected_share) * self._harmful_excess
        )
        with_event = events * log(harmful_share / expected_share)
        without = (calls - events) * log(
            (1 - harmful_share) / (1 - expected_share)
        )
        self.total += with_event + without
        # The order of the calls within a report is unknown: the good ones are
        # taken first, so that they don't hide failures that began after them.
        self.excess = max(0.0, self.excess + without) + with_event
