"""Memory of nodes that refused a connection or went silent."""

from collections import OrderedDict
from dataclasses import dataclass

from rattanstile.request.ids import NodeId

FIRST_BACK_OFF_S = 0.5
LONGEST_BACK_OFF_S = 30.0
MOST_NODES = 1024
PROBE_S = 5.0

_MOST_DOUBLINGS = 16


@dataclass(slots=True)
class _Failing:
    """A node's failures; `is_probed` while one attempt tries it again."""

    failures: int
    until_s: float
    is_probed: bool = False


class UnreachableNodes:
    """Keeps nodes that can't be reached out of the choice for a while.

    The idea of a list of hosts that can't be reached, kept instead of finding
    each out again for every queued piece of work, is taken from RFC 2821,
    section 4.5.4.1. The back-off doubles with each failure, and any answer of
    the node ends it. After a back-off a single attempt tries the node again,
    so that no more than one call waits for a node that is still gone.
    """

    def __init__(
        self,
        first_back_off_s: float = FIRST_BACK_OFF_S,
        longest_back_off_s: float = LONGEST_BACK_OFF_S,
        most_nodes: int = MOST_NODES,
    ) -> None:
        """Start with no node failing."""
        self._first_back_off_s = first_back_off_s
        self._longest_back_off_s = longest_back_off_s
        self._most_nodes = most_nodes
        self._failing: OrderedDict[NodeId, _Failing] = OrderedDict()

    def is_backed_off(self, node_id: NodeId, now_s: float) -> bool:
        """Tell whether the node is to be left alone for now."""
        failing = self._failing.get(node_id)
        return failing is not None and now_s < failing.until_s

    def backed_off(self, now_s: float) -> frozenset[NodeId]:
        """Return the nodes to be left alone for now."""
        return frozenset(
            node_id
            for node_id, failing in self._failing.items()
            if now_s < failing.until_s
        )

    def sent(self, node_id: NodeId, now_s: float) -> None:
        """Count an attempt; the first one after a back-off is the only one.

        Others leave the node alone until it has answered or failed.
        """
        failing = self._failing.get(node_id)
        if failing is not None and now_s >= failing.until_s:
            failing.is_probed = True
            failing.until_s = now_s + PROBE_S

    def failed(self, node_id: NodeId, now_s: float) -> None:
        """Count a refused or silent connection.

        Failures while the node is already left alone belong to the same
        event and don't lengthen the back-off.
        """
        failing = self._failing.get(node_id, _Failing(0, now_s))
        if now_s < failing.until_s and not failing.is_probed:
            return
        failing.is_probed = False
        self._failing.pop(node_id, None)
        doublings = min(failing.failures, _MOST_DOUBLINGS)
        failing.failures += 1
        failing.until_s = now_s + min(
            self._longest_back_off_s, self._first_back_off_s * 2**doublings
        )
        self._failing[node_id] = failing
        if len(self._failing) > self._most_nodes:
            self._failing.popitem(last=False)

    def succeeded(self, node_id: NodeId) -> None:
        """Forget the node's failures."""
        self._failing.pop(node_id, None)
