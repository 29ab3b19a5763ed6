"""Counts what this node sends to its peers, by kind of message."""

from dataclasses import dataclass

from rattanstile.connection.peer_messages import PeerMessage


@dataclass(frozen=True, order=True, slots=True)
class TrafficKind:
    """Messages that are counted together.

    Attributes:
        message: Name of the message type.
        is_near: Whether the receiver is in this node's failure domain.
    """

    message: str
    is_near: bool


@dataclass(eq=False, slots=True)
class TrafficCount:
    """Number and total size of the messages of one kind."""

    frames: int = 0
    size_bytes: int = 0


class PeerTraffic:
    """Messages sent since the node started.

    Attributes:
        counts: By kind; bounded by the number of message types.
    """

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.counts: dict[TrafficKind, TrafficCount] = {}

    def add(
        self, message: PeerMessage, size_bytes: int, *, is_near: bool
    ) -> None:
        """Count one message."""
        kind = TrafficKind(type(message).__name__, is_near)
        count = self.counts.get(kind)
        if count is None:
            count = self.counts.setdefault(kind, TrafficCount())
        count.frames += 1
        count.size_bytes += size_bytes
