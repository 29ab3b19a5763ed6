"""Passes on what operators state, where a node can't read it itself.

Each node reads the store by itself: bytes from the store cost less than
those between failure domains. A node that hears from another that it is
ahead, and has not caught up a moment later, asks it; so versions reach nodes
that the store turns away.
"""

from rattanstile.connection.peer_messages import (
    ConfigNotice,
    ConfigTold,
    ConfigWanted,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.mesh.operator_words import OperatorWords
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId

RELAY_PATIENCE_S = 0.4
"""A reader of the store is that much behind at most, after a change."""

RelayMessage = ConfigNotice | ConfigWanted | ConfigTold


class ConfigRelay:
    """Follows which nodes are ahead of this one.

    Args:
        words: What this node knows.
        peers: Reaches the other nodes.
    """

    def __init__(
        self, words: OperatorWords, peers: PeerPool, timers: TimerService
    ) -> None:
        """Begin with nobody ahead."""
        self._words = words
        self._peers = peers
        self._timers = timers
        self._ahead_since_s: dict[NodeId, float] = {}

    def changed(self) -> None:
        """Tell all nodes how far this one is."""
        self._peers.broadcast(ConfigNotice(self._words.state.offset))

    def noticed(self, node_id: NodeId, offset: int) -> None:
        """Learn how far a node is."""
        if offset > self._words.state.offset:
            self._ahead_since_s.setdefault(node_id, self._timers.now_s())
        else:
            self._ahead_since_s.pop(node_id, None)

    def check(self, now_s: float) -> None:
        """Ask one of the nodes that have been ahead for long enough."""
        for node_id, since_s in tuple(self._ahead_since_s.items()):
            if now_s - since_s < RELAY_PATIENCE_S:
                continue
            self._ahead_since_s.pop(node_id)
            link = self._peers.link_to(node_id)
            if link is not None:
                link.send(ConfigWanted(self._words.state.offset))
                return

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
                    message.document,
                    frozenset(message.evacuated),
                    f'peer:{link.node_id}',
                )

    def _tell(self, link: PeerLink, offset: int) -> None:
        state = self._words.state
        if state.offset > offset:
            link.send(
                ConfigTold(state.offset, state.document, tuple(state.evacuated))
            )
