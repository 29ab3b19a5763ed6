"""Bounds of what a version under test may get."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """Bounds that hold for each order over the whole fleet.

    Attributes:
        expose_share: Share of the service's requests that a bad version may
            get between the order and its deadline.
        expose_slack_calls: Calls that it may get in addition. They are not
            spent on purpose.
        rollback_s: Time after its `expose_slack_calls`-th bad answer after
            which a bad version gets no more calls.
    """

    expose_share: float = 0.1
    expose_slack_calls: float = 50
    rollback_s: float = 5.0

    @property
    def directive_valid_s(self) -> float:
        """Return how long a node exposes without a further directive."""
        return min(2.0, self.rollback_s * 0.4)
