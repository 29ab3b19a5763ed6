"""One memory account of a process, with a share for each kind of peer.

Addresses clients that hold memory with requests that never end: a share that
is used up ends requests of its own kind, and leaves the other shares alone.
"""

from dataclasses import dataclass, field

DEFAULT_ACCOUNT_BYTES = 88 * 1024 * 1024
"""A process at rest takes 38 MB and may use 128 MB. Copies within one step, and
what the allocator keeps, need room that full shares don't leave."""
CALLERS_PART = 0.6
"""Two bodies of 8 MB at once, with their copies in transit: 48 MB."""
NODES_PART = 0.32
TARGETS_PART = 0.08
CONNECTION_BYTES = 4 * 1024
"""Measured: 2.9 KB for parser, protocol and transport, 0.4 KB for a head."""
HEADER_OBJECT_BYTES = 200
"""Memory of a header beside its characters."""
TRANSIT_COPIES = 2
"""Of a complete body, beside itself: encoded for the next hop, and unsent."""
SERVED_COPIES = 1
"""Of the body of another node's call, beside itself: unsent to the target."""


def buffer_bytes(size_bytes: int) -> int:
    """Return the memory of a bytearray that has grown to a size."""
    return size_bytes + size_bytes // 8


@dataclass(eq=False, slots=True)
class MemoryShare:
    """Memory that one kind of peer may hold.

    Attributes:
        limit_bytes: Most that may be held.
        held_bytes: What is held; it may pass the limit until the connection
            that has read last is dealt with.
    """

    limit_bytes: int = int(DEFAULT_ACCOUNT_BYTES * CALLERS_PART)
    held_bytes: int = 0

    @property
    def is_exceeded(self) -> bool:
        """Return whether more is held than allowed."""
        return self.held_bytes > self.limit_bytes

    def change(self, by_bytes: int) -> None:
        """Count memory that a peer holds, or no longer holds."""
        self.held_bytes += by_bytes

    def hold(self, size_bytes: int) -> bool:
        """Count more bytes if there is room; return whether there was."""
        if self.held_bytes + size_bytes > self.limit_bytes:
            return False
        self.held_bytes += size_bytes
        return True


@dataclass(eq=False, slots=True)
class MemoryAccount:
    """The shares of a process.

    Attributes:
        limit_bytes: Sum of the shares.
        callers: Requests of callers, from their connection to the answer.
        nodes: Frames of other nodes, and calls that they carry.
        targets: Announcements, and whoever reads readiness and metrics.
    """

    limit_bytes: int = DEFAULT_ACCOUNT_BYTES
    callers: MemoryShare = field(init=False)
    nodes: MemoryShare = field(init=False)
    targets: MemoryShare = field(init=False)

    @property
    def held_bytes(self) -> int:
        """Return what all peers hold."""
        shares = (self.callers, self.nodes, self.targets)
        return sum(share.held_bytes for share in shares)

    def __post_init__(self) -> None:
        """Divide the account."""
        self.callers = MemoryShare(int(self.limit_bytes * CALLERS_PART))
        self.nodes = MemoryShare(int(self.limit_bytes * NODES_PART))
        self.targets = MemoryShare(int(self.limit_bytes * TARGETS_PART))
