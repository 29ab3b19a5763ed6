"""Plain counters of a node; the path of a call only adds to them."""

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
"""Upper bounds of the buckets of a latency histogram."""
MOST_ROUTES = 500
"""Histograms kept; further routes share one."""
OTHER_ROUTES = 'other'


@dataclass(eq=False, slots=True)
class Latencies:
    """A histogram; the last bucket has no upper bound."""

    counts: list[int] = field(
        default_factory=lambda: [0 for _ in (*LATENCY_BOUNDS_S, None)]
    )
    total_s: float = 0.0

    def add(self, took_s: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(LATENCY_BOUNDS_S, took_s)] += 1
        self.total_s += took_s


@dataclass(eq=False, slots=True)
class Counters:
    """What a node has done since it started.

    Attributes:
        endings: Requests by how they ended.
        latencies: Time from arrival to end, by route.
        runs: Calls that the own target ran.
        not_taken: Calls that this node did not take for its target, by
            reason.
        reruns: Second sends of requests that may have run.
        moves: Attempts that went on to another node without having run.
        probes: Probes of the own target.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: dict[str, Latencies] = field(default_factory=dict)
    runs: int = 0
    not_taken: Counter[str] = field(default_factory=Counter)
    reruns: int = 0
    moves: int = 0
    probes: int = 0

    def record_latency(self, route: str, took_s: float) -> None:
        """Count the latency of a request."""
        found = self.latencies.get(route)
        if found is None:
            name = route if len(self.latencies) < MOST_ROUTES else OTHER_ROUTES
            found = self.latencies.setdefault(name, Latencies())
        found.add(took_s)
