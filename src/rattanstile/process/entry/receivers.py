"""The nodes that an entry node sends attempts to, as it knows them."""

from random import Random
from typing import Protocol

from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import PeerLost
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import NodeId, ServiceName


class Chooser(Protocol):
    """Picks the node that serves a call."""

    def choose(
        self,
        now_s: float,
        service: ServiceName,
        exclude: frozenset[NodeId],
        rng: Random,
    ) -> NodeId | None:
        """Return a node of the service, or None when none is left."""

    def sent(self, node: NodeId) -> None:
        """Count an attempt sent to the node."""

    def ended(
        self, node: NodeId, latency_s: float, reply: Reply | None
    ) -> None:
        """Count the end of an attempt; without a reply when it was lost."""


class Receivers:
    """Chooses receivers, and keeps which are out of reach or connected.

    Args:
        unreachable: Nodes left alone for a while; None for no such memory.
    """

    def __init__(
        self,
        chooser: Chooser,
        rng: Random,
        unreachable: UnreachableNodes | None,
    ) -> None:
        """Start with no node heard."""
        self._chooser = chooser
        self._rng = rng
        self._unreachable = unreachable
        self._heard: set[NodeId] = set()

    def choose(
        self,
        now_s: float,
        service: ServiceName,
        refused_by: frozenset[NodeId],
        lost_at: frozenset[NodeId],
    ) -> NodeId | None:
        """Return a node for a call, or None when none is left.

        A node that is out of reach is taken only where there is no other,
        and one whose connection was lost under the call comes last.
        """
        backed_off: frozenset[NodeId] = frozenset()
        if self._unreachable is not None:
            backed_off = self._unreachable.backed_off(now_s)
        sparing_lost = refused_by | lost_at
        exclusions = (sparing_lost | backed_off, sparing_lost, refused_by)
        for excluded in dict.fromkeys(exclusions):
            node_id = self._chooser.choose(now_s, service, excluded, self._rng)
            if node_id is not None:
                return node_id
        return None

    def expect_answer(self, now_s: float, node_id: NodeId) -> None:
        """Count a message that waits for the node's answer."""
        if self._unreachable is not None:
            self._unreachable.sent(node_id, now_s)

    def sent(self, now_s: float, node_id: NodeId) -> None:
        """Count an attempt sent to the node."""
        self._chooser.sent(node_id)
        self.expect_answer(now_s, node_id)

    def ended(
        self, node_id: NodeId, latency_s: float, reply: Reply | None
    ) -> None:
        """Count the end of an attempt; without a reply when it was lost."""
        self._chooser.ended(node_id, latency_s, reply)

    def message_arrived(self, node_id: NodeId) -> None:
        """Count a sign of life of the node."""
        self._heard.add(node_id)
        if self._unreachable is not None:
            self._unreachable.succeeded(node_id)

    def timed_out(self, now_s: float, node_id: NodeId) -> None:
        """Count a node that did not answer in time."""
        if self._unreachable is not None:
            self._unreachable.failed(node_id, now_s)

    def lost(self, now_s: float, lost: PeerLost) -> bool:
        """Count a loss.

        Returns:
            Whether it proves that nothing outstanding has left. A refused
            connection says nothing of what left on an open one.
        """
        self.timed_out(now_s, lost.node_id)
        was_heard = lost.node_id in self._heard
        self._heard.discard(lost.node_id)
        return not (lost.connected or was_heard)
