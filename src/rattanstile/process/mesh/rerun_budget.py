"""Budget of reruns (second attempts) for each service.

The load pattern: answers get lost or targets fail for a while, and each call
that runs again also repeats all calls below it. Each node earns a fraction of
a rerun with each first attempt, and starts with its share of what the fleet
may send at once; so the fleet stays within the ratio however its load is
spread over the nodes.
"""

from rattanstile.request.ids import ServiceName

EARNED_SHARE = 0.4
"""Share of the allowed ratio that is used: reruns deeper in the call graph,
which a target makes for its own rerun, count as well."""
SLACK_SHARE = 0.5


class RerunBudget:
    """Reruns that this node may send.

    Args:
        ratio: Allowed reruns for each first attempt.
        slack: Reruns that the fleet may send in addition, in a window.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        """Start with the node's share of the slack."""
        self._earned = ratio * EARNED_SHARE
        self._slack = slack * SLACK_SHARE
        self._nodes = 1
        self._remaining: dict[ServiceName, float] = {}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the slack."""
        self._nodes = max(1, count)

    def record_first_attempt(self, service: ServiceName) -> None:
        """Record a first attempt, which earns a fraction of a rerun."""
        remaining = self._remaining.get(service, self._max_reruns)
        self._remaining[service] = min(
            self._max_reruns, remaining + self._earned
        )

    def spend(self, service: ServiceName) -> bool:
        """Spend one rerun; return whether the budget allowed it."""
        remaining = self._remaining.get(service, self._max_reruns)
        if remaining < 1:
            return False
        self._remaining[service] = remaining - 1
        return True

    @property
    def _max_reruns(self) -> float:
        return max(1.0, self._slack / self._nodes)
