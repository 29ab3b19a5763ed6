"""Comparison of a new version with the old one over the same time.

The load pattern: a burst, a failing failure domain or a failing service
further down raises the failures of both versions at once, while a bad version
fails or slows down alone, perhaps on one route only. So the expected rate of
the new version comes from the old one on the same route, in the same failure
domain and in the same report (strata, after Mantel and Haenszel, 1959).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique
from math import sqrt
from typing import NamedTuple

from rattanstile.connection.peer_messages import RouteCounts
from rattanstile.process.mesh.rollout.sequential_test import SequentialTest
from rattanstile.process.mesh.rollout.version_counts import LATENCY_BUCKETS
from rattanstile.request.ids import FailureDomainId

HARMFUL_FAILURES = 0.15
"""Excess share of failures that is found fastest; smaller ones take longer."""
HARMFUL_SLOW = 0.4
"""Excess share of slow answers: of a version several times slower, most are."""
MIN_FAILING_SHARE = 0.01
MIN_SLOW_SHARE = 0.12
"""Shares that are expected at least, as no service is free of them. The bucket
that bounds slow answers holds up to `1 - FAST_SHARE` of the old version's."""
MAX_EXPECTED_SHARE = 0.95
FAST_SHARE = 0.9
PRIOR_CALLS = 12
"""Weight of the domain's share, over all routes, in the expected share of one
of them, in calls."""
DOMAIN_PRIOR_CALLS = 2
"""Weight of the fleet's share in that of one domain, in calls."""
UNCERTAINTY = 1.0
"""Standard errors by which the expected share is raised. It is estimated from
few calls: in a burst or a failing domain, an estimate that is too low by chance
would count as failures of the new version."""
RECENT_HALF_LIFE_S = 0.25
"""Time in which earlier calls of the old version lose half of their weight. A
longer one lags behind a burst; a shorter one leaves too few calls."""
REJECT_EXCESS = 9.0
"""Four to six failures more than expected."""
SUSPECT_EXCESS = 5.0
"""Two more failures than expected: acceptance waits until they are outweighed.
"""
ACCEPT_TOTAL = -2.5
"""Log of the share of bad versions that may pass this test alone: 0.08. The
sums that restart at zero find most of them earlier."""
MANY_CALLS = 45
"""Compared calls after which no evidence of more failures suffices. In a domain
where half of all calls fail, the ratio falls slowly, and `ACCEPT_TOTAL` would
be reached too late for a good version."""
MIN_ROUTE_CALLS = 6
"""Calls of a route without which it isn't accepted, if the old version got
enough of them."""
MIN_OLD_ROUTE_SHARE = 0.08
"""Share of the old version's calls from which a route must be tested."""
MIN_OLD_CALLS = 20
MIN_RECENT_CALLS = 4.0
"""Recent calls of the old version without which nothing is compared: once its
targets are closed, a burst of failures would be taken for the version's."""
ALL_ROUTES = ''
ALL_DOMAINS = FailureDomainId('')


@unique
class Evidence(Enum):
    """What the comparison shows."""

    OPEN = 'open'
    ALIKE = 'alike'
    MORE_FAILURES = 'more_failures'
    SLOWER = 'slower'


class _Stratum(NamedTuple):
    route: str
    domain: FailureDomainId


@dataclass(eq=False, slots=True)
class _RecentShare:
    """Share of the old version's recent calls that had an event."""

    calls: float = 0.0
    events: float = 0.0

    def decay(self, factor: float) -> None:
        self.calls *= factor
        self.events *= factor

    def add(self, calls: int, events: int) -> None:
        self.calls += calls
        self.events += events

    def share(self, prior_share: float, prior_calls: float) -> float:
        return (self.events + prior_calls * prior_share) / (
            self.calls + prior_calls
        )

    def high_share(self, prior_share: float) -> float:
        """Return the share, raised by its uncertainty."""
        share = self.share(prior_share, PRIOR_CALLS)
        calls = self.calls + PRIOR_CALLS
        return share + UNCERTAINTY * sqrt(share * (1 - share) / calls)


@dataclass(eq=False, slots=True)
class _RecentCalls:
    """Recent calls of the old version in one stratum."""

    failures: _RecentShare = field(default_factory=_RecentShare)
    slow: _RecentShare = field(default_factory=_RecentShare)

    def decay(self, factor: float) -> None:
        self.failures.decay(factor)
        self.slow.decay(factor)

    def add(self, counts: RouteCounts, slow_bucket: int) -> None:
        self.failures.add(counts.calls, counts.failed)
        self.slow.add(
            sum(counts.latencies), sum(counts.latencies[slow_bucket:])
        )


@dataclass(eq=False, slots=True)
class _RouteEvidence:
    """Tests and totals of one route, or of all of them."""

    failures: SequentialTest = field(
        default_factory=lambda: SequentialTest(HARMFUL_FAILURES)
    )
    slow: SequentialTest = field(
        default_factory=lambda: SequentialTest(HARMFUL_SLOW)
    )
    new_calls: int = 0
    old_calls: int = 0
    old_latencies: list[int] = field(
        default_factory=lambda: [0 for _ in range(LATENCY_BUCKETS)]
    )

    @property
    def slow_bucket(self) -> int:
        """Return the first bucket of slow answers."""
        total = sum(self.old_latencies)
        counted = 0
        for bucket, count in enumerate(self.old_latencies):
            counted += count
            if counted >= FAST_SHARE * total:
                return bucket + 1
        return LATENCY_BUCKETS

    def slow_share(self, slow_bucket: int) -> float:
        slow = sum(self.old_latencies[slow_bucket:])
        share = slow / max(sum(self.old_latencies), 1)
        return max(share, MIN_SLOW_SHARE)

    def add_old(self, counts: RouteCounts) -> None:
        self.old_calls += counts.calls
        for bucket, count in enumerate(counts.latencies[:LATENCY_BUCKETS]):
            self.old_latencies[bucket] += count


class VersionComparison:
    """Evidence on one order, per route and overall."""

    def __init__(self) -> None:
        """Start without calls."""
        self._overall = _RouteEvidence()
        self._routes: dict[str, _RouteEvidence] = {}
        self._recent: dict[_Stratum, _RecentCalls] = {}
        self._decayed_s: float | None = None

    @property
    def new_calls(self) -> int:
        """Return how many calls of the new version were compared."""
        return self._overall.new_calls

    @property
    def total(self) -> float:
        """Return the evidence of more failures overall; low if alike."""
        return self._overall.failures.total

    @property
    def excess(self) -> float:
        """Return the strongest recent evidence against the new version."""
        return max(
            max(each.failures.excess, each.slow.excess)
            for each in (self._overall, *self._routes.values())
        )

    def decay(self, now_s: float) -> None:
        """Reduce the weight of earlier calls by the time that has passed.

        It doesn't depend on how many domains report, or how often.
        """
        if self._decayed_s is not None:
            elapsed_s = max(0.0, now_s - self._decayed_s)
            factor = 0.5 ** (elapsed_s / RECENT_HALF_LIFE_S)
            for recent in self._recent.values():
                recent.decay(factor)
        self._decayed_s = now_s

    def add(self, counts: Iterable[RouteCounts]) -> None:
        """Add the calls of one report."""
        reported = tuple(counts)
        for each in reported:
            if not each.is_new:
                self._add_old(each)
        for each in reported:
            if each.is_new:
                self._add_tested(each)

    def evidence(self) -> Evidence:
        """Return what all calls together show."""
        tested = (self._overall, *self._routes.values())
        if any(each.failures.excess >= REJECT_EXCESS for each in tested):
            return Evidence.MORE_FAILURES
        if any(each.slow.excess >= REJECT_EXCESS for each in tested):
            return Evidence.SLOWER
        if self._is_alike():
            return Evidence.ALIKE
        return Evidence.OPEN

    def is_plausible(self) -> bool:
        """Return whether the calls so far rather show that they are alike."""
        overall = self._overall
        return (
            overall.new_calls >= 2 * MIN_ROUTE_CALLS
            and overall.failures.total < 0
            and overall.slow.total < 0
            and self.excess < SUSPECT_EXCESS
        )

    def _is_alike(self) -> bool:
        overall = self._overall
        total = max(overall.failures.total, overall.slow.total)
        is_shown = total <= ACCEPT_TOTAL or (
            overall.new_calls >= MANY_CALLS and total <= 0
        )
        if not is_shown or self.excess >= SUSPECT_EXCESS:
            return False
        needed_calls = MIN_OLD_ROUTE_SHARE * overall.old_calls
        return all(
            each.new_calls >= MIN_ROUTE_CALLS
            for each in self._routes.values()
            if each.old_calls >= max(needed_calls, MIN_OLD_CALLS)
        )

    def _add_old(self, counts: RouteCounts) -> None:
        route = self._evidence_of(counts.route)
        route.add_old(counts)
        self._overall.add_old(counts)
        for stratum in (
            _Stratum(counts.route, counts.domain),
            _Stratum(ALL_ROUTES, counts.domain),
            _Stratum(ALL_ROUTES, ALL_DOMAINS),
        ):
            self._recent_of(stratum).add(counts, route.slow_bucket)

    def _add_tested(self, tested: RouteCounts) -> None:
        fleet = self._recent_of(_Stratum(ALL_ROUTES, ALL_DOMAINS))
        if fleet.failures.calls < MIN_RECENT_CALLS:
            return
        route = self._evidence_of(tested.route)
        domain = self._recent_of(_Stratum(ALL_ROUTES, tested.domain))
        recent = self._recent_of(_Stratum(tested.route, tested.domain))
        fleet_share = fleet.failures.share(0, DOMAIN_PRIOR_CALLS)
        failing_share = recent.failures.high_share(
            domain.failures.share(fleet_share, DOMAIN_PRIOR_CALLS)
        )
        slow_bucket = route.slow_bucket
        fleet_share = route.slow_share(slow_bucket)
        slow_share = recent.slow.high_share(
            domain.slow.share(fleet_share, DOMAIN_PRIOR_CALLS)
        )
        answered = sum(tested.latencies)
        slow = sum(tested.latencies[slow_bucket:])
        for each in (route, self._overall):
            each.new_calls += tested.calls
            each.failures.add(
                tested.calls,
                tested.failed,
                _bounded(failing_share, MIN_FAILING_SHARE),
            )
            if route.old_calls >= MIN_OLD_CALLS:
                each.slow.add(
                    answered, slow, _bounded(slow_share, MIN_SLOW_SHARE)
                )

    def _evidence_of(self, route: str) -> _RouteEvidence:
        return self._routes.setdefault(route, _RouteEvidence())

    def _recent_of(self, stratum: _Stratum) -> _RecentCalls:
        return self._recent.setdefault(stratum, _RecentCalls())


def _bounded(share: float, min_share: float) -> float:
    return min(max(share, min_share), MAX_EXPECTED_SHARE)
