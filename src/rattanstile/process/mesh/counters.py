"""Counters of a node; the call path only increments them."""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field

LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
"""Upper bounds of the buckets of a latency histogram, in seconds."""
MAX_ROUTES = 500
"""Routes with a histogram of their own; further routes share one."""
OTHER_ROUTES_NAME = 'other'


@dataclass(eq=False, slots=True)
class LatencyHistogram:
    """A latency histogram; the last bucket has no upper bound.

    Attributes:
        counts: Requests in each bucket, not cumulative.
        total_s: Sum of the latencies.
    """

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in (*LATENCY_BOUNDS_S, None)]
    )
    total_s: float = 0.0

    def add(self, took_s: float) -> None:
        """Add one latency to its bucket."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, took_s)] += 1
        self.total_s += took_s


@dataclass(eq=False, slots=True)
class Counters:
    """Counts of events since the node started.

    Attributes:
        outcomes: Requests by outcome.
        invalid: Requests that can't be decoded, or that no configuration in
            force here allows, by reason.
        latencies: Time from arrival to end, by route.
        runs: Calls that this node's target ran.
        not_taken: Calls that this node or its target refused, by reason.
        reruns: Repeated sends of requests that may have run.
        moves: Attempts that did not run, so that the request could go to
            another node.
        repeats: Calls that reached a target and may be sent again, by the
            decision of the retry budget.
        probes: Probes of this node's target.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    invalid: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, LatencyHistogram] = field(default_factory=dict)
    runs: int = 0
    not_taken: Counter[str] = field(default_factory=Counter)
    reruns: int = 0
    moves: int = 0
    repeats: Counter[str] = field(default_factory=Counter)
    probes: int = 0

    def record_latency(self, route: str, took_s: float) -> None:
        """Add the latency of a request to the histogram of its route."""
        histogram = self.latencies.get(route)
        if histogram is None:
            name = (
                route if len(self.latencies) < MAX_ROUTES else OTHER_ROUTES_NAME
            )
            histogram = self.latencies.setdefault(name, LatencyHistogram())
        histogram.add(took_s)
