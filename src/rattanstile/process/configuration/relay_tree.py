"""The relay tree of one failure domain, from the list of its members.

Every node works out the same tree from the same list: members are put into
the order of a hash of their names, the first few read the log, and each
further one has the parent that its place in the order gives. Nodes with lists
that differ a little get trees that differ a little, and any node answers
whoever asks it, so no agreement is needed.
"""

from collections.abc import Iterable

import xxhash

from rattanstile.request.ids import NodeId

MIN_READERS = 2
MAX_READERS = 4
NODES_PER_READER = 10
MAX_DEPTH = 3
MIN_FAN_OUT = 4
READER_CHILDREN_LESS = 3
"""Reading the log costs a reader about what three children would."""
ALTERNATIVES = 6


class RelayTree:
    """Places of the members of one failure domain.

    Args:
        nodes: Every member, the own node included.
    """

    def __init__(self, own: NodeId, nodes: Iterable[NodeId]) -> None:
        """Work out the tree."""
        self._own = own
        self._order = sorted({*nodes, own}, key=_rank)
        size = len(self._order)
        wanted = MIN_READERS + size // NODES_PER_READER
        self._reader_count = min(MAX_READERS, wanted, size)
        self.fan_out = _fan_out(self._reader_count, size)
        self._reader_fan_out = self.fan_out - READER_CHILDREN_LESS
        self._place = self._order.index(own)

    @property
    def reads_log(self) -> bool:
        """Whether the own node is one of the readers."""
        return self._place < self._reader_count

    @property
    def readers(self) -> list[NodeId]:
        """The readers other than the own node."""
        firsts = self._order[: self._reader_count]
        return [node for node in firsts if node != self._own]

    def sources(self) -> list[NodeId]:
        """Return whom to ask, the parent first, then its stand-ins.

        The stand-ins lie above the own node, in an order of its own, so that
        the children of a lost parent spread over them.
        """
        if self.reads_log:
            return self.readers
        parent = self._order[self._parent_place(self._place)]
        above = self._order[: self._level_start()]
        spread = sorted(
            (node for node in above if node != parent),
            key=lambda node: _rank(f'{self._own} {node}'),
        )
        return [parent, *spread[:ALTERNATIVES]]

    def _parent_place(self, place: int) -> int:
        second_level = self._reader_count * (1 + self._reader_fan_out)
        if place < second_level:
            return (place - self._reader_count) // self._reader_fan_out
        return self._reader_count + (place - second_level) // self.fan_out

    def _level_start(self) -> int:
        start = 0
        width = self._reader_count
        fan_out = self._reader_fan_out
        while start + width <= self._place:
            start += width
            width *= fan_out
            fan_out = self.fan_out
        return start


def _rank(name: str) -> int:
    return xxhash.xxh3_64_intdigest(name.encode())


def _fan_out(readers: int, size: int) -> int:
    fan_out = MIN_FAN_OUT
    while _capacity(readers, fan_out) < size:
        fan_out += 1
    return fan_out


def _capacity(readers: int, fan_out: int) -> int:
    """Return how many nodes a tree holds within `MAX_DEPTH` levels."""
    below_readers = sum(int(fan_out**level) for level in range(MAX_DEPTH))
    return readers * (1 + (fan_out - READER_CHILDREN_LESS) * below_readers)
