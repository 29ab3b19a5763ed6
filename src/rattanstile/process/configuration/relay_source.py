"""Which node above is asked for the version in force."""

from collections.abc import Sequence
from random import Random

from logbook import Logger

from rattanstile.process.configuration.freshness import NEVER_S
from rattanstile.process.configuration.relay_contacts import Queries
from rattanstile.request.ids import NodeId

SILENT_QUERIES = 1
RETURN_MIN_S = 6.0
RETURN_MAX_S = 12.0

_log = Logger('relay')


class Source:
    """The parent, or a stand-in while the parent is silent or stale.

    After a while the parent is tried again, so that its children do not
    gather at the stand-ins for good.

    Args:
        queries: Tells which nodes leave queries unanswered.
        random: Spreads the returns.
    """

    def __init__(self, queries: Queries, random: Random) -> None:
        """Start without a candidate."""
        self._queries = queries
        self._random = random
        self._candidates: Sequence[NodeId] = ()
        self._turn = 0
        self._return_s = NEVER_S

    def set_candidates(self, candidates: Sequence[NodeId]) -> None:
        """Replace the candidates: the parent first, then its stand-ins."""
        if candidates != self._candidates:
            self._candidates = candidates
            self._turn = 0

    def choose(self, now_s: float) -> NodeId:
        """Return whom to ask now; needs a candidate."""
        if self._turn and now_s >= self._return_s:
            self._turn = 0
            self._queries.forget(self._current())
        source = self._current()
        if self._queries.unanswered(source) < SILENT_QUERIES:
            return source
        self._queries.forget(source)
        self.turn_away(now_s)
        _log.info(
            'event=parent_silent node={} next={}', source, self._current()
        )
        return self._current()

    def turn_away(self, now_s: float) -> None:
        """Ask the next candidate from now on."""
        if not self._turn:
            self._return_s = now_s + self._random.uniform(
                RETURN_MIN_S, RETURN_MAX_S
            )
        self._turn += 1

    def _current(self) -> NodeId:
        return self._candidates[self._turn % len(self._candidates)]
