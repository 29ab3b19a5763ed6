"""Choice and reachability of the nodes that receive attempts."""

from random import Random
from typing import Protocol

from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import PeerLost
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import NodeId, ServiceName


class Chooser(Protocol):
    """Chooses the node that serves a call."""

    def choose(
        self,
        now_s: float,
        service: ServiceName,
        exclude: frozenset[NodeId],
        rng: Random,
    ) -> NodeId | None:
        """Return a node of the service, or None if none is left."""

    def sent(self, node: NodeId) -> None:
        """Count an attempt sent to the node."""

    def ended(
        self, node: NodeId, latency_s: float, reply: Reply | None
    ) -> None:
        """Record the end of an attempt; `reply` is None if there was none."""


class Receivers:
    """Chooses receivers, and tracks which are unreachable or responsive.

    Args:
        unreachable: Nodes that are backed off; None to back off none.
    """

    def __init__(
        self,
        chooser: Chooser,
        rng: Random,
        unreachable: UnreachableNodes | None,
    ) -> None:
        """Start without a message from any node."""
        self._chooser = chooser
        self._rng = rng
        self._unreachable = unreachable
        self._responsive: set[NodeId] = set()

    def choose(
        self,
        now_s: float,
        service: ServiceName,
        refused_by: frozenset[NodeId],
        lost_at: frozenset[NodeId],
    ) -> NodeId | None:
        """Return a node for a call, or None if none is left.

        A backed-off node is chosen only if there is no other. A node whose
        connection was lost during the call comes last.

        Args:
            now_s: Monotonic seconds.
            service: The service that the caller requests.
            refused_by: Nodes to exclude in any case.
            lost_at: Nodes whose connection was lost during the call.
        """
        backed_off: frozenset[NodeId] = frozenset()
        if self._unreachable is not None:
            backed_off = self._unreachable.backed_off(now_s)
        refused_or_lost = refused_by | lost_at
        exclusions = (refused_or_lost | backed_off, refused_or_lost, refused_by)
        for excluded in dict.fromkeys(exclusions):
            node_id = self._chooser.choose(now_s, service, excluded, self._rng)
            if node_id is not None:
                return node_id
        return None

    def expect_answer(self, now_s: float, node_id: NodeId) -> None:
        """Record a message that the node is expected to answer."""
        if self._unreachable is not None:
            self._unreachable.sent(node_id, now_s)

    def sent(self, now_s: float, node_id: NodeId) -> None:
        """Record an attempt sent to the node."""
        self._chooser.sent(node_id)
        self.expect_answer(now_s, node_id)

    def ended(
        self, node_id: NodeId, latency_s: float, reply: Reply | None
    ) -> None:
        """Record the end of an attempt; `reply` is None if there was none."""
        self._chooser.ended(node_id, latency_s, reply)

    def message_arrived(self, node_id: NodeId) -> None:
        """Record that a message arrived from the node."""
        self._responsive.add(node_id)
        if self._unreachable is not None:
            self._unreachable.succeeded(node_id)

    def timed_out(self, now_s: float, node_id: NodeId) -> None:
        """Record that the node did not answer in time."""
        if self._unreachable is not None:
            self._unreachable.failed(node_id, now_s)

    def lost(self, now_s: float, loss: PeerLost) -> bool:
        """Record a lost or refused connection.

        Returns:
            Whether it proves that no outstanding message has left this node.
            A refused connection proves nothing about messages that were sent
            on an open one.
        """
        self.timed_out(now_s, loss.node_id)
        was_responsive = loss.node_id in self._responsive
        self._responsive.discard(loss.node_id)
        return not (loss.connected or was_responsive)
