"""Which nodes read the operators' log from the store, and which are told.

The load pattern it answers: each change is read by every node of a large
fleet at once. A few nodes of each failure domain read it; they tell all
others how far they are, and those of their domain ask them for a copy. Each
node works out by itself whether it is one of the few, among the nodes that it
is connected to and that say that they can read; one that is connected to
none reads for itself.
"""

from collections.abc import Callable, Collection

from rattanstile.request.ids import NodeId

READERS_IN_DOMAIN = 3
"""Nodes of a failure domain that read; two may be cut off at once."""

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
        self._refused: set[NodeId] = set()

    def is_near(self, node_id: NodeId) -> bool:
        """Tell whether a node is connected, and in the own domain."""
        return node_id in self._neighbours()

    def told(self, node_id: NodeId, *, can_read: bool) -> None:
        """Learn whether a node can read the store."""
        if can_read:
            self._refused.discard(node_id)
        else:
            self._refused.add(node_id)

    def is_reader(self) -> bool:
        """Tell whether this node is to read the store."""
        before = sum(
            node_id > self._node_id and node_id not in self._refused
            for node_id in self._neighbours()
        )
        return before < READERS_IN_DOMAIN
