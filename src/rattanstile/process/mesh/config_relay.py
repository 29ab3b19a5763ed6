"""Passes on what operators state, where a node can't read it itself.

Each node reads the store by itself: bytes from the store cost less than
those between failure domains. A node that hears from another that it is
ahead, and has not caught up a moment later, asks it; so versions reach nodes
that the store turns away.
"""

import zlib
from dataclasses import dataclass

from rattanstile.connection.peer_messages import (
    ConfigNotice,
    ConfigTold,
    ConfigWanted,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.mesh.operator_words import OperatorWords
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import FailureDomainId, NodeId

RELAY_PATIENCE_S = 0.4
"""A reader of the store is that much behind at most, after a change."""
PACKING_LEVEL = 1
"""The quickest: a configuration shrinks to a tenth all the same."""
ANSWER_S = 0.5
"""Time within which a copy has come, before another node is asked."""

RelayMessage = ConfigNotice | ConfigWanted | ConfigTold


@dataclass(frozen=True, slots=True)
class _Ahead:
    """How far a node is, and since when this one knows it."""

    offset: int
    since_s: float


class ConfigRelay:
    """Follows which nodes are ahead of this one.

    Args:
        words: What this node knows.
        peers: Reaches the other nodes.
        domain: This node's; copies come from within it where they can.
    """

    def __init__(
        self,
        words: OperatorWords,
        peers: PeerPool,
        timers: TimerService,
        domain: FailureDomainId,
    ) -> None:
        """Begin with nobody ahead."""
        self._words = words
        self._peers = peers
        self._timers = timers
        self._domain = domain
        self._ahead: dict[NodeId, _Ahead] = {}
        self._asked_until_s = 0.0

    def changed(self) -> None:
        """Tell all nodes how far this one is."""
        self._peers.broadcast(ConfigNotice(self._words.state.offset))

    def noticed(self, node_id: NodeId, offset: int) -> None:
        """Learn how far a node is."""
        if offset <= self._words.state.offset:
            self._ahead.pop(node_id, None)
            return
        known = self._ahead.get(node_id)
        since_s = self._timers.now_s() if known is None else known.since_s
        self._ahead[node_id] = _Ahead(offset, since_s)

    def check(self, now_s: float) -> None:
        """Ask one of the nodes that have been ahead for long enough."""
        if now_s < self._asked_until_s:
            return
        for node_id, ahead in tuple(self._ahead.items()):
            if ahead.offset <= self._words.state.offset:
                self._ahead.pop(node_id)
        links = [
            link
            for node_id, ahead in self._ahead.items()
            if now_s - ahead.since_s >= RELAY_PATIENCE_S
            and (link := self._peers.link_to(node_id)) is not None
        ]
        if not links:
            return
        # Bytes within a failure domain cost little.
        near = [link for link in links if self._is_near(link)]
        asked = (near or links)[0]
        self._ahead.pop(asked.node_id)
        self._asked_until_s = now_s + ANSWER_S
        asked.send(ConfigWanted(self._words.state.offset))

    def _is_near(self, link: PeerLink) -> bool:
        return link.hello is not None and link.hello.domain == self._domain

    def message(self, link: PeerLink, message: RelayMessage) -> None:
        """Take a message of another node."""
        match message:
            case ConfigNotice(offset):
                self.noticed(link.node_id, offset)
            case ConfigWanted(offset):
                self._tell(link, offset)
            case ConfigTold():
                self._words.take_told(
                    message.offset,
                    zlib.decompress(message.packed),
                    frozenset(message.evacuated),
                    f'peer:{link.node_id}',
                )
                self._asked_until_s = 0

    def _tell(self, link: PeerLink, offset: int) -> None:
        state = self._words.state
        if state.offset > offset:
            packed = zlib.compress(state.document, PACKING_LEVEL)
            link.send(ConfigTold(state.offset, packed, tuple(state.evacuated)))
