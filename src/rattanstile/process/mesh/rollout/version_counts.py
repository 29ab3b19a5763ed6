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
MAX_CELLS = 24
"""Pairs of route and failure domain per order; further ones aren't counted.
Two versions of each fit a report of 1 KB."""


class CountKey(NamedTuple):
    """Calls that are compared with one another, at one version."""

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

    def record(self, key: CountKey, took_s: float, *, is_failed: bool) -> None:
        """Count one call."""
        counts = self._counts_of(key)
        if counts is not None:
            counts.add(took_s, is_failed=is_failed)

    def add(self, reported: Iterable[RouteCounts]) -> None:
        """Add the counts of a report."""
        for each in reported:
            counts = self._counts_of(
                CountKey(each.route, each.domain, each.is_new)
            )
            if counts is not None:
                counts.add_counts(each)

    def as_reported(self) -> tuple[RouteCounts, ...]:
        """Return the counts for a report."""
        return tuple(
            RouteCounts(
                *key, counts.calls, counts.failed, tuple(counts.latencies)
            )
            for key, counts in self._by_key.items()
        )

    def _counts_of(self, key: CountKey) -> CallCounts | None:
        counts = self._by_key.get(key)
        if counts is None and len(self._by_key) < 2 * MAX_CELLS:
            counts = CallCounts()
            self._by_key[key] = counts
        return counts
