"""Passes on what operators state, where a node can't read it itself.

A few nodes of each failure domain read the store (see `store_readers`). A node
that hears from another that it is ahead, and has not caught up a moment
later, asks it; so versions reach the nodes that don't read and those that the
store turns away.
"""

import zlib
from dataclasses import dataclass
from random import Random

from rattanstile.connection.peer_messages import (
    ConfigNotice,
    ConfigResponse,
    ConfigRequest,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.mesh.operator_state import OperatorWords
from rattanstile.process.mesh.store_readers import StoreReaders
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId

RELAY_PATIENCE_S = 0.4
"""A reader of the store is that much behind at most, after a change."""
PACKING_LEVEL = 1
"""The quickest: a configuration shrinks to a tenth all the same."""
ANSWER_S = 0.5
"""Time within which a copy has come, before another node is asked."""

RelayMessage = ConfigNotice | ConfigRequest | ConfigResponse


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
        readers: Knows whether this node reads the store itself.
        chance: Chooses among the nodes that may be asked.
    """

    def __init__(
        self,
        words: OperatorWords,
        peers: PeerPool,
        timers: TimerService,
        readers: StoreReaders,
        rng: Random,
    ) -> None:
        """Begin with nobody ahead."""
        self._words = words
        self._peers = peers
        self._timers = timers
        self._readers = readers
        self._rng = rng
        self._can_read = True
        self._ahead: dict[NodeId, _Ahead] = {}
        self._asked_until_s = 0.0

    def changed(self) -> None:
        """Tell all nodes how far this one is."""
        offset = self._words.state.offset
        self._peers.broadcast(ConfigNotice(offset, self.reads))

    def is_reader(self) -> bool:
        """Tell whether this node reads the store itself."""
        return self._readers.is_reader(self._timers.now_s())

    @property
    def reads(self) -> bool:
        """Tell whether this node reads the store, and is answered."""
        return self._can_read and self.is_reader()

    def store_answers(self, *, can_read: bool) -> None:
        """Tell all nodes whether this one can read the store."""
        self._can_read = can_read
        self.changed()

    def noticed(self, node_id: NodeId, offset: int, *, reads: bool) -> None:
        """Learn how far a node is, and whether it reads the store."""
        self._readers.told(self._timers.now_s(), node_id, reads=reads)
        if offset <= self._words.state.offset:
            self._ahead.pop(node_id, None)
            return
        known = self._ahead.get(node_id)
        since_s = self._timers.now_s() if known is None else known.since_s
        self._ahead[node_id] = _Ahead(offset, since_s)

    def check(self, now_s: float) -> None:
        """Ask one of the nodes that have been ahead for long enough."""
        if self._readers.is_sign_due(now_s):
            self.changed()
        if now_s < self._asked_until_s:
            return
        for node_id, ahead in tuple(self._ahead.items()):
            if ahead.offset <= self._words.state.offset:
                self._ahead.pop(node_id)
        patience_s = RELAY_PATIENCE_S if self.is_reader() else 0
        links = [
            link
            for node_id, ahead in self._ahead.items()
            if now_s - ahead.since_s >= patience_s
            and (link := self._peers.link_to(node_id)) is not None
        ]
        if not links:
            return
        # Bytes within a failure domain cost little.
        near = [link for link in links if self._readers.is_near(link.node_id)]
        asked = self._rng.choice(near or links)
        self._ahead.pop(asked.node_id)
        self._asked_until_s = now_s + ANSWER_S
        asked.send(ConfigRequest(self._words.state.offset))

    def message(self, link: PeerLink, message: RelayMessage) -> None:
        """Take a message of another node."""
        match message:
            case ConfigNotice(offset, reads):
                self.noticed(link.node_id, offset, reads=reads)
            case ConfigRequest(offset):
                self._tell(link, offset)
            case ConfigResponse():
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
            link.send(ConfigResponse(state.offset, packed, tuple(state.evacuated)))
