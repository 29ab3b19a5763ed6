"""Back-off for nodes that refused a connection or did not respond."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanstile.request.ids import NodeId

MIN_BACK_OFF_S = 0.5
MAX_BACK_OFF_S = 30.0
MAX_NODES = 1024
PROBE_TIMEOUT_S = 5.0

_MAX_DOUBLINGS = 16


@dataclass(slots=True)
class _NodeFailures:
    """Failures of a node; `is_probed` while a single attempt is in flight."""

    failures: int
    blocked_until_s: float
    is_probed: bool = False


class UnreachableNodes:
    """Excludes unreachable nodes from selection until their back-off ends.

    A list of unreachable hosts, kept instead of discovering each again for
    every queued item, is an idea of RFC 2821, section 4.5.4.1. The back-off
    doubles with each failure, and any response of the node ends it. After a
    back-off a single attempt probes the node, so that no more than one call
    waits for a node that is still unreachable.
    """

    def __init__(
        self,
        min_back_off_s: float = MIN_BACK_OFF_S,
        max_back_off_s: float = MAX_BACK_OFF_S,
        max_nodes: int = MAX_NODES,
    ) -> None:
        """Start without any failures."""
        self._min_back_off_s = min_back_off_s
        self._max_back_off_s = max_back_off_s
        self._max_nodes = max_nodes
        self._failures_by_node: OrderedDict[NodeId, _NodeFailures] = (
            OrderedDict()
        )

    def is_backed_off(self, node_id: NodeId, now_s: float) -> bool:
        """Return whether the node is backed off."""
        record = self._failures_by_node.get(node_id)
        return record is not None and now_s < record.blocked_until_s

    def backed_off(self, now_s: float) -> frozenset[NodeId]:
        """Return the nodes that are backed off."""
        return frozenset(
            node_id
            for node_id, record in self._failures_by_node.items()
            if now_s < record.blocked_until_s
        )

    def sent(self, node_id: NodeId, now_s: float) -> None:
        """Record an attempt; only one is made after a back-off.

        Until it succeeds or fails, or for `PROBE_TIMEOUT_S`, other attempts
        avoid the node.
        """
        record = self._failures_by_node.get(node_id)
        if record is not None and now_s >= record.blocked_until_s:
            record.is_probed = True
            record.blocked_until_s = now_s + PROBE_TIMEOUT_S

    def failed(self, node_id: NodeId, now_s: float) -> None:
        """Record a connection that was refused or got no response.

        Failures while the node is already backed off belong to the same
        event and don't extend the back-off.
        """
        record = self._failures_by_node.get(node_id, _NodeFailures(0, now_s))
        if now_s < record.blocked_until_s and not record.is_probed:
            return
        record.is_probed = False
        self._failures_by_node.pop(node_id, None)
        doublings = min(record.failures, _MAX_DOUBLINGS)
        record.failures += 1
        record.blocked_until_s = now_s + min(
            self._max_back_off_s, self._min_back_off_s * 2**doublings
        )
        self._failures_by_node[node_id] = record
        if len(self._failures_by_node) > self._max_nodes:
            self._failures_by_node.popitem(last=False)

    def succeeded(self, node_id: NodeId) -> None:
        """Clear the failures of the node."""
        self._failures_by_node.pop(node_id, None)
