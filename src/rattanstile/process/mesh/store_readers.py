"""Which nodes read the operators' log from the store, and which are told.

The load pattern it answers: each change is read by every node of a large
fleet at once. A few nodes of each failure domain read it; they tell all
others how far they are, once a second and after each change, and those of
their domain ask them for a copy. Each node works out by itself whether it is
one of the few, among the readers of its domain that it has heard lately and
that say that they can read; one that has heard none reads for itself.
"""

from collections.abc import Callable, Collection

from rattanstile.request.ids import NodeId

READERS_IN_DOMAIN = 3
"""Nodes of a failure domain that read; two may be cut off at once."""

SIGN_PERIOD_S = 1.0
"""How often a reader says that it reads."""
SIGN_LASTS_S = 2.5
"""A reader that was not heard for two periods counts no more."""

Neighbours = Callable[[], Collection[NodeId]]


class StoreReaders:
    """Knows which nodes of the own failure domain can read the store.

    Args:
        node_id: This node.
        neighbours: Gives the nodes of its domain that it is connected to.
    """

    def __init__(self, node_id: NodeId, neighbours: Neighbours) -> None:
        """Begin with nodes that all can read."""
        self._node_id = node_id
        self._neighbours = neighbours
        self._heard_s: dict[NodeId, float] = {}
        self._sign_due_s = 0.0

    def is_near(self, node_id: NodeId) -> bool:
        """Tell whether a node is connected, and in the own domain."""
        return node_id in self._neighbours()

    def told(self, now_s: float, node_id: NodeId, *, reads: bool) -> None:
        """Learn whether a node reads the store, and is answered."""
        if reads:
            self._heard_s[node_id] = now_s
        else:
            self._heard_s.pop(node_id, None)

    def is_reader(self, now_s: float) -> bool:
        """Tell whether this node is to read the store."""
        since_s = now_s - SIGN_LASTS_S
        before = sum(
            node_id > self._node_id
            and self._heard_s.get(node_id, since_s) > since_s
            for node_id in self._neighbours()
        )
        return before < READERS_IN_DOMAIN

    def is_sign_due(self, now_s: float) -> bool:
        """Tell, once a period, whether a reader is to say that it reads."""
        if now_s < self._sign_due_s or not self.is_reader(now_s):
            return False
        self._sign_due_s = now_s + SIGN_PERIOD_S
        return True
