"""Calls of both versions of a service, by route and failure domain.

Counts are cumulative since the order, so that a lost report loses nothing and
the next deciding node has them after one report.
"""

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from rattanstile.connection.peer_messages import RouteCounts
from rattanstile.request.ids import FailureDomainId

LATENCY_BOUNDS_S = tuple(0.002 * 1.6**step for step in range(15))
"""Upper bounds of the latency buckets, to 1.4 s; the last bucket has none. A
version that is several times slower is off by two buckets or more."""
LATENCY_BUCKETS = len(LATENCY_BOUNDS_S) + 1
MAX_CELLS = 8
"""Pairs of route and failure domain per order; further routes are counted
together. Two versions of each take 700 bytes of a report."""
OTHER_ROUTES = 'other'


class Cell(NamedTuple):
    """Calls of both versions that are compared with one another."""

    route: str
    domain: FailureDomainId


class CountKey(NamedTuple):
    """Calls of one version in a cell."""

    route: str
    domain: FailureDomainId
    is_new: bool


@dataclass(eq=False, slots=True)
class CallCounts:
    """Calls that ended, and the latencies of those that succeeded."""

    calls: int = 0
    failed: int = 0
    latencies: list[int] = field(
        default_factory=lambda: [0 for _ in range(LATENCY_BUCKETS)]
    )

    def add(self, took_s: float, *, is_failed: bool) -> None:
        """Count one call."""
        self.calls += 1
        if is_failed:
            self.failed += 1
        else:
            self.latencies[bisect_left(LATENCY_BOUNDS_S, took_s)] += 1

    def add_counts(self, counts: RouteCounts) -> None:
        """Add the counts of a report."""
        self.calls += counts.calls
        self.failed += counts.failed
        pairs = zip(self.latencies, counts.latencies, strict=False)
        for bucket, (own, added) in enumerate(tuple(pairs)):
            self.latencies[bucket] = own + added


class VersionCounts:
    """Counts of one order at a node, or of several nodes together."""

    def __init__(self) -> None:
        """Start without calls."""
        self._by_key: dict[CountKey, CallCounts] = {}
        self._cells: set[Cell] = set()
        self._unsent: dict[CountKey, None] = {}

    def record(self, key: CountKey, took_s: float, *, is_failed: bool) -> None:
        """Count one call."""
        key = self._counted_key(key)
        self._counts_of(key).add(took_s, is_failed=is_failed)
        self._unsent[key] = None

    def add(self, reported: Iterable[RouteCounts]) -> None:
        """Add the counts of a report."""
        for each in reported:
            key = CountKey(each.route, each.domain, each.is_new)
            self._counts_of(self._counted_key(key)).add_counts(each)

    def as_reported(self) -> tuple[RouteCounts, ...]:
        """Return all counts for a report."""
        return tuple(self._reported(key) for key in self._by_key)

    def take_changed(self, max_count: int) -> tuple[RouteCounts, ...]:
        """Return counts that changed since they were last taken.

        Args:
            max_count: Most of them; the others are returned next time.
        """
        taken = tuple(self._unsent)[:max_count]
        for key in taken:
            self._unsent.pop(key)
        return tuple(self._reported(key) for key in taken)

    def mark_all_changed(self) -> None:
        """Have all counts taken again, after those that wait already."""
        self._unsent.update(dict.fromkeys(self._by_key))

    def _reported(self, key: CountKey) -> RouteCounts:
        counts = self._by_key[key]
        return RouteCounts(
            *key, counts.calls, counts.failed, tuple(counts.latencies)
        )

    def _counted_key(self, key: CountKey) -> CountKey:
        """Return the key that calls are counted under; bounded in number."""
        cell = Cell(key.route, key.domain)
        if cell not in self._cells:
            if len(self._cells) >= MAX_CELLS:
                return key._replace(route=OTHER_ROUTES)
            self._cells.add(cell)
        return key

    def _counts_of(self, key: CountKey) -> CallCounts:
        counts = self._by_key.get(key)
        if counts is None:
            counts = CallCounts()
            self._by_key[key] = counts
        return counts
