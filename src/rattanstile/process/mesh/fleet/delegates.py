"""Which node speaks for a failure domain, and which one allocates the rates.

The delegate of a failure domain is the connected node of the domain with the
smallest ID. The allocator is the smallest of the delegates that are connected
to each other. Each node works both out for itself. While nodes disagree,
requests go from larger to smaller IDs, so that they end at one node.
"""

from collections.abc import Collection

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.request.ids import FailureDomainId, NodeId

MIN_CONNECTED_S = 1.0
"""A restarted node isn't chosen before the others have connected to it."""
SUSPECT_S = 2.0
"""How long a node that let a token request time out isn't chosen."""


class Delegates:
    """The delegate of this node's failure domain, and the allocator.

    Attributes:
        delegate_id: Delegate of this node's domain.
        upstream_id: Node that this one reports to: its delegate or, if it is
            the delegate itself, the allocator. This node if it is that as well.

    Args:
        node_id: This node.
        domain: Its failure domain.
        started_s: Monotonic time of its start.
    """

    def __init__(
        self, node_id: NodeId, domain: FailureDomainId, started_s: float
    ) -> None:
        """Start with this node in both roles."""
        self.delegate_id = node_id
        self.upstream_id = node_id
        self._node_id = node_id
        self._domain = domain
        self._started_s = started_s
        self._suspected_until_s: dict[NodeId, float] = {}

    @property
    def is_delegate(self) -> bool:
        """Return whether this node speaks for its failure domain."""
        return self.delegate_id == self._node_id

    @property
    def is_allocator(self) -> bool:
        """Return whether this node allocates the rates."""
        return self.upstream_id == self._node_id

    def suspect(self, now_s: float, node_id: NodeId) -> None:
        """Don't choose a node that didn't answer, for a while."""
        self._suspected_until_s[node_id] = now_s + SUSPECT_S

    def choose(
        self,
        now_s: float,
        settled: Collection[PeerMember],
        connected: Collection[PeerMember],
    ) -> None:
        """Choose both among the connected nodes.

        Args:
            now_s: Monotonic seconds.
            settled: Nodes connected for `MIN_CONNECTED_S`.
            connected: All connected nodes, used if no node is settled.
        """
        for node_id, until_s in tuple(self._suspected_until_s.items()):
            if until_s <= now_s:
                self._suspected_until_s.pop(node_id)
        is_settled = self._started_s <= now_s - MIN_CONNECTED_S
        peers = settled
        if not peers and not is_settled:
            peers = connected
            is_settled = True
        trusted = [
            peer
            for peer in peers
            if peer.node_id not in self._suspected_until_s
        ]
        own = [self._node_id] if is_settled else []
        near = [peer.node_id for peer in trusted if peer.domain == self._domain]
        self.delegate_id = min(own + near, default=self._node_id)
        self.upstream_id = self.delegate_id
        if self.is_delegate:
            ids = [peer.node_id for peer in trusted]
            self.upstream_id = min(own + ids, default=self._node_id)
