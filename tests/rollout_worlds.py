"""Generator of rollouts without a network, for the tests of their decision.

A few entry nodes send requests of several routes to a service, some of whose
targets run a version that may be bad. Reports and directives take the time
that they take in a fleet.
"""

import math
from bisect import bisect_left
from collections import deque
from dataclasses import dataclass
from random import Random

from rattanstile.connection.peer_messages import RouteCounts, VersionTargets
from rattanstile.process.mesh.rollout.count_increments import CountIncrements
from rattanstile.process.mesh.rollout.exposure_credit import ExposureCredit
from rattanstile.process.mesh.rollout.rollout_progress import (
    PPM,
    FleetRollout,
    RolloutProgress,
)
from rattanstile.process.mesh.rollout.rollout_verdict import (
    Verdict,
)
from rattanstile.process.mesh.rollout.version_counts import (
    LATENCY_BOUNDS_S,
    LATENCY_BUCKETS,
    CountKey,
    VersionCounts,
)
from rattanstile.version.fleet_config import RolloutOrder

STEP_S = 0.25
LAG_STEPS = 3
"""Steps from a call's end to the report of its domain at the decider; a
directive takes as long to the nodes."""
DRAIN_STEPS = 3
"""Steps until the old targets are closed and empty after the verdict."""
DOMAINS = ('east', 'west')
ROUTES = ('list', 'read', 'write')
SHARE = 0.1
SLACK = 50
OLD_SAMPLES = 6
CALLS_AFTER_VERDICT = 6
"""Calls per step that are still played once the version is accepted."""
RESTART_SHARE = 0.02
"""Probability that a node restarts in a step, and begins without credit."""


@dataclass(frozen=True)
class World:
    """One rollout.

    Attributes:
        failing_share: Share of the calls that the bad version fails.
        slow_factor: Factor on the latencies of the bad version.
        bad_from: Share of the duration from which the version is bad.
        bad_route: The only route on which it is; empty for all.
        bad_above_per_s: It is bad while it gets more calls per second.
        burst: Part of the duration in which calls are twice as many and fail
            more often, at both versions.
        failing_domain: Domain in which both versions fail half of the calls.
        cold_share: Part of the duration for which the new targets are cold.
    """

    duration_s: float
    requests_per_s: float
    nodes: int
    base_failing_share: float
    failing_share: float = 0.0
    slow_factor: float = 1.0
    bad_from: float = 0.0
    bad_route: str = ''
    bad_above_per_s: float = 0.0
    burst: tuple[float, float] = (2.0, 2.0)
    failing_domain: str = ''
    cold_share: float = 0.0

    @property
    def is_bad(self):
        return self.failing_share > 0 or self.slow_factor > 1


@dataclass
class Result:
    """How a rollout ended; times are shares of the duration."""

    verdict: Verdict
    ended_at: float
    exposed: int
    requests: int
    bad_answers: int
    sent_late: int

    @property
    def is_within_bound(self):
        return self.exposed <= SHARE * self.requests + SLACK


class Trial:
    """Plays one rollout."""

    def __init__(self, world, seed):
        self.world = world
        self.rng = Random(seed)
        self.progress = RolloutProgress(
            RolloutOrder('registry', 'v2', world.duration_s), 0.0
        )
        self.increments = {domain: CountIncrements() for domain in DOMAINS}
        self.counts = {domain: VersionCounts() for domain in DOMAINS}
        self.credits = [ExposureCredit(SHARE) for _ in range(world.nodes)]
        self.reports = deque()
        self.directives = deque([(Verdict.NONE, 0)] * LAG_STEPS)
        self.exposed = 0
        self.requests = 0
        self.bad_times = []
        self.exposed_times = []
        self.accepted_steps = 0

    def run(self):
        world = self.world
        ended_at = math.inf
        for step in range(int(world.duration_s / STEP_S)):
            now_s = step * STEP_S
            verdict, spend_ppm = self.directives.popleft()
            self._requests(now_s, verdict, spend_ppm)
            self._decide(now_s, verdict)
            if self.progress.verdict.is_final:
                if math.isinf(ended_at):
                    ended_at = now_s / world.duration_s
                if verdict.is_final:
                    break
        return self._result(ended_at)

    def _result(self, ended_at):
        late_s = math.inf
        if len(self.bad_times) >= SLACK:
            late_s = self.bad_times[SLACK - 1] + 5
        return Result(
            self.progress.verdict,
            ended_at,
            self.exposed,
            self.requests,
            len(self.bad_times),
            sum(sent_s > late_s for sent_s in self.exposed_times),
        )

    def _requests(self, now_s, verdict, spend_ppm):
        world = self.world
        share = now_s / world.duration_s
        is_burst = world.burst[0] <= share < world.burst[1]
        rate_per_s = world.requests_per_s * (2 if is_burst else 1)
        calls = self._count(rate_per_s * STEP_S)
        self.requests += calls
        exposed = 0
        if not verdict.is_against_new:
            exposed = self._spend(calls, share, spend_ppm)
        if not verdict.is_for_new:
            self._old_calls(calls - exposed, is_burst=is_burst)
        else:
            exposed = min(calls, CALLS_AFTER_VERDICT)
        for _ in range(exposed):
            self._new_call(now_s, exposed / STEP_S, is_burst=is_burst)

    def _spend(self, calls, share, spend_ppm):
        exposed = 0
        if self.rng.random() < RESTART_SHARE:
            restarted = self.rng.randrange(len(self.credits))
            self.credits[restarted] = ExposureCredit(SHARE)
        for index in range(calls):
            credit = self.credits[index % len(self.credits)]
            if share >= self.world.cold_share:
                if self.rng.random() * PPM < spend_ppm and credit.spend():
                    exposed += 1
            credit.earn()
        self.exposed += exposed
        return exposed

    def _old_calls(self, calls, *, is_burst):
        number = calls // (len(DOMAINS) * len(ROUTES))
        for domain in DOMAINS:
            failed = self._count(number * self._base(domain, is_burst))
            failed = min(number, failed)
            self.counts[domain].add(
                RouteCounts(
                    route,
                    domain,
                    False,
                    number,
                    failed,
                    self._latencies(route, number - failed),
                )
                for route in ROUTES
            )

    def _latencies(self, route, number):
        """Return the buckets of some calls; drawing each takes too long."""
        latencies = [0 for _ in range(LATENCY_BUCKETS)]
        groups = min(OLD_SAMPLES, number)
        for group in range(groups):
            bucket = bisect_left(LATENCY_BOUNDS_S, self._latency_s(route))
            latencies[bucket] += (number + group) // groups
        return tuple(latencies)

    def _new_call(self, now_s, exposed_per_s, *, is_burst):
        world = self.world
        domain = self.rng.choice(DOMAINS)
        route = self.rng.choice(ROUTES)
        is_bad = (
            now_s >= world.bad_from * world.duration_s
            and world.bad_route in {'', route}
            and exposed_per_s >= world.bad_above_per_s
        )
        latency_s = self._latency_s(route)
        is_failed = self.rng.random() < self._base(domain, is_burst)
        if is_bad:
            latency_s *= world.slow_factor
            is_bad_answer = self.rng.random() < world.failing_share
            is_failed = is_failed or is_bad_answer
            if is_bad_answer or world.slow_factor > 1:
                self.bad_times.append(now_s)
        self.exposed_times.append(now_s)
        self.counts[domain].record(
            CountKey(route, domain, True), latency_s, is_failed=is_failed
        )

    def _base(self, domain, is_burst):
        if domain == self.world.failing_domain:
            return 0.5
        return self.world.base_failing_share + (0.2 if is_burst else 0)

    def _latency_s(self, route):
        mean_s = 0.01 * (1 + ROUTES.index(route))
        return mean_s * self.rng.lognormvariate(0, 0.4)

    def _count(self, mean):
        return max(0, round(self.rng.gauss(mean, math.sqrt(mean))))

    def _decide(self, now_s, verdict):
        self.reports.append(
            [(each, self.counts[each].as_reported()) for each in DOMAINS]
        )
        self.accepted_steps += verdict is Verdict.ACCEPTED
        if len(self.reports) > LAG_STEPS:
            for domain, reported in self.reports.popleft():
                self.progress.add_counts(
                    self.increments[domain].added(domain, reported)
                )
        self.progress.step(now_s, self._fleet(now_s))
        self.progress.status_acknowledged(self.progress.status_to_store())
        self.directives.append(
            (self.progress.verdict, self.progress.spend_ppm())
        )

    def _fleet(self, now_s):
        world = self.world
        is_cold = now_s < world.cold_share * world.duration_s
        is_drained = self.accepted_steps > DRAIN_STEPS
        return FleetRollout(
            world.requests_per_s,
            VersionTargets(
                new_targets=8,
                new_cold=8 if is_cold else 0,
                new_deci_per_s=int(world.requests_per_s * 15),
                old_targets=0 if is_drained else 8,
                old_in_flight=0 if is_drained else 2,
                offered_deci_per_s=int(world.requests_per_s * 10),
            ),
            Verdict.NONE,
        )
