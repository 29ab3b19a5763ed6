"""Which node above in the tree is queried for the version in force."""

from collections.abc import Sequence
from random import Random

from logbook import Logger

from rattanstile.process.configuration.freshness import NEVER_S
from rattanstile.process.configuration.relay_contacts import QueryTracker
from rattanstile.request.ids import NodeId

SILENT_AFTER_QUERIES = 1
MIN_PARENT_RETRY_S = 6.0
MAX_PARENT_RETRY_S = 12.0

_log = Logger('relay')


class ParentSelector:
    """Selects the parent, or a fallback while it is silent or stale.

    The parent is tried again after a random delay, so that its children do
    not stay concentrated on the fallbacks.

    Args:
        queries: Counts the unanswered queries of each node.
        random: Adds jitter to the delay before the parent is tried again.
    """

    def __init__(self, queries: QueryTracker, random: Random) -> None:
        """Start without a candidate."""
        self._queries = queries
        self._random = random
        self._candidates: Sequence[NodeId] = ()
        self._index = 0
        self._retry_parent_s = NEVER_S

    def set_candidates(self, candidates: Sequence[NodeId]) -> None:
        """Replace the candidates: the parent first, then its fallbacks."""
        if candidates != self._candidates:
            self._candidates = candidates
            self._index = 0

    def choose(self, now_s: float) -> NodeId:
        """Return the node to query now; there must be a candidate."""
        if self._index and now_s >= self._retry_parent_s:
            self._index = 0
            self._queries.forget(self._current())
        node = self._current()
        if self._queries.unanswered_count(node) < SILENT_AFTER_QUERIES:
            return node
        self._queries.forget(node)
        self.switch_to_next(now_s)
        _log.info('event=parent_silent node={} next={}', node, self._current())
        return self._current()

    def switch_to_next(self, now_s: float) -> None:
        """Select the next candidate from now on."""
        if not self._index:
            self._retry_parent_s = now_s + self._random.uniform(
                MIN_PARENT_RETRY_S, MAX_PARENT_RETRY_S
            )
        self._index += 1

    def _current(self) -> NodeId:
        return self._candidates[self._index % len(self._candidates)]
