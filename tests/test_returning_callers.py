"""Replays of scarcity in a fleet of nodes, with callers that return."""

import heapq
import unittest
from collections import Counter
from dataclasses import dataclass, replace
from itertools import pairwise
from random import Random

from mesh_samples import organisation

from rattanstile.process.mesh.admission.return_slots import (
    MAX_KEYS,
    ReturnKey,
    ReturnSlots,
    ReturnWindow,
)
from rattanstile.process.mesh.admission.root_admission import (
    STEP_S,
    RequestOrigin,
    RootAdmission,
    ServiceView,
)
from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.process.mesh.rates.rate_limiter import (
    MAX_LOCAL_SHARE,
    LocalRateLimiter,
    PoolDecision,
    RatePool,
)
from rattanstile.request.exchange import ServiceUsage

DEEP = 'fees'
NODES = 14
CAPACITY_PER_S = 1000.0
REPORT_STEPS = 4
"""Age of what a node knows of the others and of the service."""
RUN_S = 0.1


@dataclass(frozen=True)
class Kind:
    """Requests of one route by one organisation."""

    route: str
    priority: int
    runs: float
    per_s: float
    objective_s: float
    deadline_s: float
    organisation: str = 'north'
    is_greedy: bool = False


@dataclass
class Request:
    """A request with its attempts."""

    kind: Kind
    node: int
    began_s: float
    attempts: int = 0


class Replay:
    """A service of fixed capacity, whose callers return once when told.

    A greedy caller repeats a refused request every 0.1 s until its deadline.
    """

    def __init__(
        self, kinds, seconds, load=None, capacity=None, rate_factor=2.0
    ):
        """Play the load.

        Args:
            kinds: Requests at a load of 1.
            seconds: Time in which requests arrive.
            load: Returns the factor of the load at a time.
            capacity: Returns the share of the capacity at a time, and the
                time at which all of it is there.
            rate_factor: Rates of the organisations, as a multiple of their
                requests at a load of 1.
        """
        self.load = load or (lambda now_s: 1.0)
        self.capacity = capacity or (lambda now_s: (1.0, 0.0))
        self.rng = Random(1)
        self.nodes = [RootAdmission(Random(node)) for node in range(NODES)]
        self.limiters = [LocalRateLimiter() for _ in range(NODES)]
        for limiter in self.limiters:
            limiter.set_node_count(NODES)
        rates_per_s = Counter()
        for kind in kinds:
            rates_per_s[kind.organisation] += kind.per_s
        self.organisations = {
            name: organisation(name, rate_per_s=per_s * rate_factor)
            for name, per_s in rates_per_s.items()
        }
        for limiter in self.limiters:
            limiter.add_organisations(-5.0, self.organisations.values())
        self.pool = RatePool()
        self._refill(-5.0)
        self.begun = Counter()
        self.served = Counter()
        self.in_time = Counter()
        self.refused_once = Counter()
        self.refused_twice = Counter()
        self.backlog = 0.0
        self._offered_per_s = 0.0
        self._step_work = 0.0
        self._events = []
        self._count = 0
        self._known = []
        for kind in kinds:
            self._draw(kind, seconds)
        for step in range(int((seconds + 5) / STEP_S)):
            self._add(step * STEP_S, self._step, None)
        while self._events:
            now_s, _, handle, subject = heapq.heappop(self._events)
            handle(now_s, subject)

    def share(self, counter, *routes):
        chosen = routes or self.begun.keys()
        return sum(counter[name] for name in chosen) / sum(
            self.begun[name] for name in chosen
        )

    def _draw(self, kind, seconds):
        most = max(self.load(step / 10) for step in range(int(seconds * 10)))
        factor = 10.0 if kind.is_greedy else 1.0
        at_s = 0.0
        while at_s < seconds:
            at_s += self.rng.expovariate(kind.per_s * most * factor)
            if self.rng.random() < self.load(at_s) / most:
                node = self.rng.randrange(NODES)
                self._add(at_s, self._attempt, Request(kind, node, at_s))

    def _add(self, at_s, handle, subject):
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, handle, subject))

    def _attempt(self, now_s, request):
        kind = request.kind
        request.attempts += 1
        if request.attempts == 1:
            self.begun[kind.route] += 1
        limiter = self.limiters[request.node]
        owner = self.organisations[kind.organisation]
        rate = limiter.take(now_s, owner)
        if not rate.is_admitted:
            taken = PoolDecision(is_granted=False, wait_s=rate.token_wait_s)
            if rate.may_use_pool:
                taken = self.pool.take(now_s, owner)
            if not taken.is_granted:
                limiter.record_empty_pool(now_s, owner, taken.wait_s)
                self._refused(now_s, request, max(0.3, taken.wait_s))
                return
        decision = self._decide(now_s, request, rate)
        if decision.is_admitted:
            self._serve(now_s, request)
            return
        limiter.give_back(owner)
        self._refused(now_s, request, decision.retry_after_s)

    def _decide(self, now_s, request, rate):
        kind = request.kind
        return self.nodes[request.node].decide(
            RunKind(kind.route, f'service-of-{kind.route}'),
            kind.priority,
            (ServiceUsage(DEEP, kind.runs),),
            now_s,
            request.began_s + kind.deadline_s,
            RequestOrigin(
                kind.organisation, rate.is_given_back, kind.objective_s
            ),
        )

    def _refused(self, now_s, request, retry_after_s):
        kind = request.kind
        left_s = request.began_s + kind.deadline_s - now_s
        if request.attempts == 1:
            self.refused_once[kind.route] += 1
        elif request.attempts == 2:
            self.refused_twice[kind.route] += 1
        if kind.is_greedy:
            if left_s > 0.1:
                self._add(now_s + 0.1, self._attempt, request)
        elif request.attempts == 1 and retry_after_s <= left_s / 3:
            delay_s = retry_after_s + self.rng.uniform(0.002, 0.02)
            self._add(now_s + delay_s, self._attempt, request)

    def _serve(self, now_s, request):
        kind = request.kind
        share, _ = self.capacity(now_s)
        end_s = now_s + RUN_S + self.backlog / (CAPACITY_PER_S * share)
        self.backlog += kind.runs
        self._step_work += kind.runs
        if end_s <= request.began_s + kind.deadline_s:
            self.served[kind.route] += 1
        if end_s <= request.began_s + kind.objective_s:
            self.in_time[kind.route] += 1

    def _refill(self, now_s):
        held = dict.fromkeys(self.organisations, MAX_LOCAL_SHARE)
        self.pool.refill(now_s, self.organisations.values(), 1.0, held)

    def _step(self, now_s, _):
        self._refill(now_s)
        share, warm_at_s = self.capacity(now_s)
        per_s = CAPACITY_PER_S * share
        self.backlog = max(0.0, self.backlog - per_s * STEP_S)
        work_per_s = self._step_work / STEP_S
        self._step_work = 0.0
        self._offered_per_s += 0.3 * (work_per_s - self._offered_per_s)
        demand_per_s = sum(
            node.own_demand().get(DEEP, 0.0) for node in self.nodes
        )
        wait_s = self.backlog / per_s
        view = ServiceView(self._offered_per_s, per_s, wait_s, warm_at_s)
        self._known.append((demand_per_s, view))
        demand_per_s, view = self._known[-REPORT_STEPS:][0]
        for node in self.nodes:
            node.set_fleet_demand({DEEP: demand_per_s}, NODES)
            node.step({DEEP: view})


KINDS = (
    Kind('draw', 2, 4.0, 120, 1.5, 5.0),
    Kind('claim', 0, 4.0, 50, 2.0, 6.0, 'south'),
    Kind('pay', 1, 1.0, 60, 0.8, 3.0, 'south'),
    Kind('list', 2, 4.0, 40, 4.0, 10.0, 'south'),
)
"""900 calls a second of 1,000 that the deepest service can serve."""


def burst(now_s):
    """Return the load: half as much again within 5 s, and back."""
    if now_s < 3:
        return 0.9
    if now_s < 5:
        return 0.9 + 0.35 * (now_s - 3)
    if now_s < 10:
        return 1.6
    return max(0.8, 1.6 - 0.4 * (now_s - 10))


def power_loss(now_s):
    """Return the share of the capacity, and when all of it is there."""
    if 4.0 <= now_s < 6.0:
        return (0.06, 6.0)
    return (1.0, 0.0)


class BurstTest(unittest.TestCase):
    """Demand rises to 1.44 times the capacity, and falls."""

    @classmethod
    def setUpClass(cls):
        """Play it once."""
        cls.replay = Replay(KINDS, 18, load=burst)

    def test_more_are_answered_in_time(self):
        """0.855, when refused callers returned within a fifth of their time."""
        self.assertGreater(self.replay.share(self.replay.in_time), 0.865)

    def test_fewer_are_refused_twice(self):
        """0.145 were; the shortage lasts longer than callers can wait."""
        self.assertLess(self.replay.share(self.replay.refused_twice), 0.135)

    def test_routes_that_differ_in_name_alone_are_served_alike(self):
        """0.79 of one were served, and 0.63 of the other."""
        draw = self.replay.share(self.replay.served, 'draw')
        self.assertGreater(self.replay.share(self.replay.served, 'list'), draw)

    def test_the_most_urgent_are_served(self):
        """They are admitted before the others."""
        self.assertGreater(
            self.replay.share(self.replay.in_time, 'claim'), 0.99
        )


class PowerLossTest(unittest.TestCase):
    """All targets are cold for two seconds."""

    @classmethod
    def setUpClass(cls):
        """Play it once."""
        cls.replay = Replay(KINDS, 12, capacity=power_loss)

    def test_more_are_answered_in_time(self):
        """0.803, when callers returned in the moment of warmth."""
        self.assertGreater(self.replay.share(self.replay.in_time), 0.83)

    def test_fewer_are_refused_twice(self):
        """0.150 were."""
        self.assertLess(self.replay.share(self.replay.refused_twice), 0.12)


class CalmTest(unittest.TestCase):
    """All demand fits."""

    def test_nearly_nothing_is_refused(self):
        """0.999 were answered in time before."""
        replay = Replay(KINDS, 12)
        self.assertGreater(replay.share(replay.in_time), 0.998)


class GreedyOrganisationTest(unittest.TestCase):
    """One sends ten times its usual, and repeats ten times a second."""

    @classmethod
    def setUpClass(cls):
        """Play it once."""
        greedy = replace(KINDS[0], is_greedy=True)
        cls.replay = Replay(
            (greedy, *KINDS[1:]), 15, load=lambda _: 1.1, rate_factor=1.25
        )

    def test_those_within_their_rate_are_served_first(self):
        """0.76 of the claims, 0.68 of the payments and 0.28 of the lists.

        Each refused request gave its token back, and was drawn again.
        """
        served = self.replay.served
        self.assertGreater(self.replay.share(served, 'claim'), 0.97)
        self.assertGreater(self.replay.share(served, 'pay'), 0.95)
        self.assertGreater(self.replay.share(served, 'list'), 0.75)

    def test_the_greedy_one_still_gets_most_of_its_rate(self):
        """It is not locked out; its rate is 150 requests a second."""
        self.assertGreater(self.replay.served['draw'], 0.9 * 150 * 15)


KEY = ReturnKey('north', RunKind('draw', 'registry'))
OTHER = ReturnKey('south', RunKind('draw', 'registry'))
WINDOW = ReturnWindow(0.3, 1.5)


class SlotsTest(unittest.TestCase):
    """Times set aside at one node."""

    def setUp(self):
        """Start without times."""
        self.slots = ReturnSlots(Random(1))

    def reserve_all(self, key, per_s):
        """Return all times that are left for a key."""
        times_s = []
        self.slots.claim(0.0, key)
        at_s = self.slots.reserve(0.0, key, WINDOW, per_s)
        while at_s is not None:
            times_s.append(at_s)
            at_s = self.slots.reserve(0.0, key, WINDOW, per_s)
        return times_s

    def test_times_are_spread_and_bounded(self):
        """Callers told the same time come back together."""
        times_s = self.reserve_all(KEY, 10.0)
        self.assertLessEqual(len(times_s), 12)
        for earlier_s, later_s in pairwise(times_s):
            self.assertAlmostEqual(later_s - earlier_s, 0.1)
        self.assertGreaterEqual(times_s[0], WINDOW.earliest_s)
        self.assertLessEqual(times_s[-1], WINDOW.latest_s)

    def test_one_organisation_leaves_the_times_of_another(self):
        """The first to be refused took them all."""
        self.slots.claim(0.0, OTHER)
        self.reserve_all(KEY, 10.0)
        self.assertGreaterEqual(len(self.reserve_all(OTHER, 10.0)), 5)

    def test_a_caller_is_recognised_by_its_time(self):
        """Neither before nor long after it, and once."""
        self.slots.claim(0.0, KEY)
        at_s = self.slots.reserve(0.0, KEY, WINDOW, 1.0)
        self.assertFalse(self.slots.claim(at_s - 0.1, KEY))
        self.assertFalse(self.slots.claim(at_s + 0.01, OTHER))
        self.assertTrue(self.slots.claim(at_s + 0.01, KEY))
        self.assertFalse(self.slots.claim(at_s + 0.01, KEY))

    def test_a_time_that_nobody_claims_ends(self):
        """A new request much later must not be taken for the caller."""
        self.slots.claim(0.0, KEY)
        at_s = self.slots.reserve(0.0, KEY, WINDOW, 1.0)
        self.assertFalse(self.slots.claim(at_s + 0.5, KEY))
        self.assertEqual(self.slots.unclaimed, 1)

    def test_what_is_kept_is_bounded(self):
        """Any number of organisations and routes may be refused."""
        for number in range(3 * MAX_KEYS):
            self.slots.claim(0.0, ReturnKey(f'o-{number}', KEY.run_kind))
        self.assertLessEqual(self.slots.key_count, MAX_KEYS)


class ReturnToAdmissionTest(unittest.TestCase):
    """Callers that one node has refused."""

    def admission(self, capacity_per_s, steps=30):
        """Return an admission with a demand of 400 calls a second."""
        admission = RootAdmission(Random(1))
        for step in range(steps):
            for _ in range(10):
                self.decide(admission, step * STEP_S)
            view = ServiceView(400.0, capacity_per_s, 0.0)
            admission.step({DEEP: view})
        return admission

    def decide(self, admission, now_s, is_beyond_rate=False):
        return admission.decide(
            KEY.run_kind,
            2,
            (ServiceUsage(DEEP, 4.0),),
            now_s,
            now_s + 6.0,
            RequestOrigin('north', is_beyond_rate, 2.0),
        )

    def refused(self, admission, now_s):
        """Return the decision on the first request that is refused."""
        decision = self.decide(admission, now_s)
        while decision.is_admitted:
            decision = self.decide(admission, now_s)
        return decision

    def test_a_caller_is_admitted_at_its_time_though_its_token_was_returned(
        self,
    ):
        """Beyond their rate, requests are not admitted in a shortage."""
        admission = self.admission(200.0)
        admission.returns.slots = ReturnSlots(Random(1))
        admission.returns.slots.claim(3.0, KEY)
        decision = self.refused(admission, 3.0)
        self.assertEqual(admission.returns.slots.reserved, 1)
        at_s = 3.0 + decision.retry_after_s
        odds = [self.decide(admission, at_s - 0.1, True) for _ in range(50)]
        self.assertFalse(any(each.is_admitted for each in odds[5:]))
        self.assertTrue(self.decide(admission, at_s, True).is_admitted)

    def test_no_time_is_set_aside_at_a_service_without_targets(self):
        """The caller would be admitted for nothing."""
        admission = self.admission(0.0)
        self.refused(admission, 3.0)
        self.assertEqual(admission.returns.slots.reserved, 0)


class GivenBackTokensTest(unittest.TestCase):
    """Which requests exceed the rate of their organisation."""

    def setUp(self):
        """Start with the tokens of a second, on one node."""
        self.owner = organisation(rate_per_s=20.0)
        self.limiter = LocalRateLimiter()
        self.limiter.add_organisations(0.0, (self.owner,))

    def test_repeating_refused_requests_is_beyond_the_rate(self):
        """Tokens that come back are told from new ones."""
        kinds = []
        for _ in range(40):
            taken = self.limiter.take(1.0, self.owner)
            self.assertTrue(taken.is_admitted)
            kinds.append(taken.is_given_back)
            self.limiter.give_back(self.owner)
        self.assertFalse(any(kinds[:10]))
        self.assertTrue(all(kinds[20:]))

    def test_within_the_rate_a_refused_request_costs_nothing(self):
        """Its token counts as new when the pool would have granted one."""
        for number in range(100):
            taken = self.limiter.take(1.0 + number / 10, self.owner)
            self.assertFalse(taken.is_given_back)
            self.limiter.give_back(self.owner)
