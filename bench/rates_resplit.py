"""The other design weighed: each rate re-split by reported demand.

Each period every node gets a part of the rate and burst in proportion to
what it reported in the last period, and admits by its own bucket. It needs
no message within a call, and an owner's loss leaves the parts as they are.
"""

from dataclasses import dataclass, field

from rattanstile.version.declaration import Organisation

PERIOD_S = 1.0
REPORT_GAIN = 0.5
FLOOR_PART = 0.1
"""Part of the rate that is split evenly, for nodes without demand yet."""


@dataclass(slots=True)
class _Part:
    share: float
    tokens: float = 0.0
    updated_s: float = 0.0
    demand: float = 0.0
    count: int = 0

    def admits(self, now_s: float, one: Organisation) -> bool:
        earned = (now_s - self.updated_s) * one.rate_per_s * self.share
        self.tokens = min(self.tokens + earned, one.burst_calls * self.share)
        self.updated_s = now_s
        self.count += 1
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class Resplit:
    """Replays one organisation's arrivals by this design."""

    one: Organisation
    nodes: int
    _parts: list[_Part] = field(default_factory=list)
    _next_s: float = PERIOD_S

    def refusals(self, arrivals: list[tuple[float, int, int]]) -> set[int]:
        """Return the numbers of the calls refused."""
        self._parts = [_Part(1 / self.nodes) for _ in range(self.nodes)]
        refused = set()
        for arrived_s, number, index in arrivals:
            while arrived_s >= self._next_s:
                self._split()
            if not self._parts[index].admits(arrived_s, self.one):
                refused.add(number)
        return refused

    def _split(self) -> None:
        self._next_s += PERIOD_S
        for part in self._parts:
            part.demand += REPORT_GAIN * (part.count - part.demand)
            part.count = 0
        total = sum(part.demand for part in self._parts)
        for part in self._parts:
            even = FLOOR_PART / self.nodes
            by_demand = part.demand / total if total else 1 / self.nodes
            part.share = even + (1 - FLOOR_PART) * by_demand
