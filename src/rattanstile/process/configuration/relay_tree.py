"""The relay tree of one failure domain, computed from its member list.

Every node computes the same tree from the same list: members are sorted by a
hash of their names, the first few read the log, and the parent of every other
member follows from its index. Nodes whose lists differ slightly compute
slightly different trees, and every node answers any query, so no agreement is
needed.
"""

from collections.abc import Iterable

import xxhash

from rattanstile.request.ids import NodeId

MIN_READERS = 2
MAX_READERS = 4
NODES_PER_READER = 10
MAX_DEPTH = 3
MIN_FAN_OUT = 4
READER_FAN_OUT_REDUCTION = 3
"""Reading the log costs a reader about as much as three children."""
MAX_FALLBACKS = 6


class RelayTree:
    """Position of one node among the members of its failure domain.

    Args:
        own_id: The node itself.
        nodes: The other members; may include the node itself.

    Attributes:
        fan_out: Largest number of children of a node other than a reader.
    """

    def __init__(self, own_id: NodeId, nodes: Iterable[NodeId]) -> None:
        """Compute the tree."""
        self._own_id = own_id
        self._ordered_nodes = sorted({*nodes, own_id}, key=_hash)
        size = len(self._ordered_nodes)
        desired_readers = MIN_READERS + size // NODES_PER_READER
        self._reader_count = min(MAX_READERS, desired_readers, size)
        self.fan_out = _fan_out(self._reader_count, size)
        self._reader_fan_out = self.fan_out - READER_FAN_OUT_REDUCTION
        self._own_index = self._ordered_nodes.index(own_id)

    @property
    def reads_log(self) -> bool:
        """Whether the node itself is one of the readers."""
        return self._own_index < self._reader_count

    @property
    def readers(self) -> list[NodeId]:
        """The readers other than the node itself."""
        all_readers = self._ordered_nodes[: self._reader_count]
        return [node for node in all_readers if node != self._own_id]

    def parent_candidates(self) -> list[NodeId]:
        """Return the nodes to query, the parent first, then its fallbacks.

        The fallbacks lie on the levels above the node, in an order that is
        different for each node, so that the children of a lost parent spread
        over them. A reader gets the other readers.
        """
        if self.reads_log:
            return self.readers
        parent = self._ordered_nodes[self._parent_index(self._own_index)]
        above = self._ordered_nodes[: self._own_level_start()]
        fallbacks = sorted(
            (node for node in above if node != parent),
            key=lambda node: _hash(f'{self._own_id} {node}'),
        )
        return [parent, *fallbacks[:MAX_FALLBACKS]]

    def _parent_index(self, index: int) -> int:
        grandchildren_start = self._reader_count * (1 + self._reader_fan_out)
        if index < grandchildren_start:
            return (index - self._reader_count) // self._reader_fan_out
        return (
            self._reader_count + (index - grandchildren_start) // self.fan_out
        )

    def _own_level_start(self) -> int:
        start = 0
        width = self._reader_count
        fan_out = self._reader_fan_out
        while start + width <= self._own_index:
            start += width
            width *= fan_out
            fan_out = self.fan_out
        return start


def _hash(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _fan_out(readers: int, size: int) -> int:
    fan_out = MIN_FAN_OUT
    while _capacity(readers, fan_out) < size:
        fan_out += 1
    return fan_out


def _capacity(readers: int, fan_out: int) -> int:
    """Return how many nodes a tree holds within `MAX_DEPTH` levels."""
    below_readers = sum(int(fan_out**level) for level in range(MAX_DEPTH))
    return readers * (1 + (fan_out - READER_FAN_OUT_REDUCTION) * below_readers)
