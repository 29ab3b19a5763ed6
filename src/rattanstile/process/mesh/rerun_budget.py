"""Budget of second sends, for each service.

The load pattern it answers: answers get lost or targets fail for a while,
and each tree that is run again runs all its calls again. Each node earns a
part of a second send with each first one, and starts with its part of what
the fleet may send at once; so the fleet stays within the ratio however its
load is spread.
"""

from rattanstile.request.ids import ServiceName

EARNED_SHARE = 0.4
"""Part of the allowed ratio that is used: reruns deeper in the tree, that
a target makes for its own rerun, count as well."""
SLACK_SHARE = 0.5


class RerunBudget:
    """Second sends that this node may make.

    Args:
        ratio: Second sends that are allowed for each first one.
        slack: Second sends that the fleet may make beside, in a window.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        """Begin with the node's part of the slack."""
        self._earned = ratio * EARNED_SHARE
        self._slack = slack * SLACK_SHARE
        self._nodes = 1
        self._left: dict[ServiceName, float] = {}

    def set_node_count(self, count: int) -> None:
        """Learn how many nodes share the slack."""
        self._nodes = max(1, count)

    def record_first_attempt(self, service: ServiceName) -> None:
        """Earn with a first send."""
        left = self._left.get(service, self._most)
        self._left[service] = min(self._most, left + self._earned)

    def spend(self, service: ServiceName) -> bool:
        """Take one second send, if there is one."""
        left = self._left.get(service, self._most)
        if left < 1:
            return False
        self._left[service] = left - 1
        return True

    @property
    def _most(self) -> float:
        return max(1.0, self._slack / self._nodes)
