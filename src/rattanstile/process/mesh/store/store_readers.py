"""Selection of the nodes that read the operators' log from the store.

If every node of a large fleet read the store, each change would cause as many
reads at once. Instead a few nodes of each failure domain read it. They
broadcast their log offset once a second and after each change, and the other
nodes of their domain request a copy from them. Each node decides for itself
whether it is a reader, from the recent heartbeats of nodes of its domain that
report that they can read; a node without such heartbeats reads for itself.
"""

from collections.abc import Callable, Collection

from rattanstile.request.ids import NodeId

READERS_PER_DOMAIN = 3
"""Nodes that read in each failure domain; two may be cut off at once."""

HEARTBEAT_PERIOD_S = 1.0
"""How often a reader reports that it reads."""
HEARTBEAT_TIMEOUT_S = 2.5
"""A reader silent for more than two heartbeat periods is not counted."""

Neighbours = Callable[[], Collection[NodeId]]


class StoreReaders:
    """Tracks which nodes of this node's failure domain can read the store.

    Args:
        node_id: ID of this node.
        neighbours: Returns the connected nodes of its failure domain.
    """

    def __init__(self, node_id: NodeId, neighbours: Neighbours) -> None:
        """Initialize without heartbeats: this node is a reader."""
        self._node_id = node_id
        self._neighbours = neighbours
        self._last_heartbeat_s: dict[NodeId, float] = {}
        self._heartbeat_due_s = 0.0

    def is_neighbour(self, node_id: NodeId) -> bool:
        """Return whether a node is connected and in this failure domain."""
        return node_id in self._neighbours()

    def record_notice(
        self, now_s: float, node_id: NodeId, *, reads: bool
    ) -> None:
        """Record whether a node reads the store and gets answers."""
        if reads:
            self._last_heartbeat_s[node_id] = now_s
        else:
            self._last_heartbeat_s.pop(node_id, None)

    def is_reader(self, now_s: float) -> bool:
        """Return whether this node is to read the store.

        It is, unless `READERS_PER_DOMAIN` connected nodes of the domain with
        larger IDs have sent recent heartbeats.
        """
        return self._preferred_readers(now_s) < READERS_PER_DOMAIN

    def is_first_reader(self, now_s: float) -> bool:
        """Return whether no other reader of the domain is preferred.

        The first reader must notice by itself that its reads hang; it tells
        the others what it reads.
        """
        return not self._preferred_readers(now_s)

    def _preferred_readers(self, now_s: float) -> int:
        since_s = now_s - HEARTBEAT_TIMEOUT_S
        return sum(
            node_id > self._node_id
            and self._last_heartbeat_s.get(node_id, since_s) > since_s
            for node_id in self._neighbours()
        )

    def is_heartbeat_due(self, now_s: float) -> bool:
        """Return, once a period, whether this reader must send a heartbeat."""
        if now_s < self._heartbeat_due_s or not self.is_reader(now_s):
            return False
        self._heartbeat_due_s = now_s + HEARTBEAT_PERIOD_S
        return True
