"""Replays of a target whose routes and callers differ, in simulated time."""

import heapq
import unittest
from collections import Counter
from dataclasses import dataclass, replace
from random import Random
from types import SimpleNamespace

from mesh_samples import served_call

from rattanstile.process.mesh.serving.route_times import (
    MAX_ROUTES,
    MIN_RUNS,
    RouteTimes,
)
from rattanstile.process.mesh.serving.target_gate import TargetQueue
from rattanstile.process.mesh.serving.wait_order import WaitOrder
from rattanstile.process.mesh.serving.waiting_call import (
    WaitingCall,
    urgency_of,
)

TICK_S = 0.05
SLOTS = 20


@dataclass(frozen=True)
class Flow:
    """Calls of one route: how many, how long, and what their callers need."""

    route: str
    per_s: float
    run_s: float
    objective_s: float
    deadline_s: float
    priority: int = 1
    inner: bool = False


class Replay:
    """Calls that arrive at random, at one warm target.

    Service times vary by a quarter. A refused call is not offered again.
    """

    def __init__(self, flows, seconds, seed=1):
        """Draw the arrivals, and play them."""
        self.flows = {flow.route: flow for flow in flows}
        self.offered = Counter()
        self.in_time = Counter()
        self.late = Counter()
        self.refused = Counter()
        self.waits_of_refused = []
        self.late_work_s = 0.0
        self.work_s = 0.0
        self.queue = TargetQueue()
        self.queue.slots = SLOTS
        self._rng = Random(seed)
        self._events = []
        self._count = 0
        for flow in flows:
            at_s = self._rng.expovariate(flow.per_s)
            while at_s < seconds:
                self._add(at_s, self._arrive, flow)
                at_s += self._rng.expovariate(flow.per_s)
        for tick in range(int((seconds + 5) / TICK_S)):
            self._add(tick * TICK_S, self._tick, None)
        while self._events:
            now_s, _, handle, subject = heapq.heappop(self._events)
            handle(now_s, subject)

    def share(self, route):
        return self.in_time[route] / self.offered[route]

    @property
    def late_share(self):
        """Return the part of the work that was spent on late answers."""
        return self.late_work_s / self.work_s

    def _add(self, at_s, handle, subject):
        self._count += 1
        heapq.heappush(self._events, (at_s, self._count, handle, subject))

    def _arrive(self, now_s, flow):
        self.offered[flow.route] += 1
        call = served_call(
            str(self._count),
            route=flow.route,
            inner=flow.inner,
            priority=flow.priority,
            latency_objective_ms=int(flow.objective_s * 1000),
        )
        waiting = WaitingCall(self._count, call, now_s, now_s + flow.deadline_s)
        if self.queue.offer(now_s, waiting, is_cold=False):
            self.refused[flow.route] += 1
        self._send(now_s)

    def _tick(self, now_s, _):
        expired = self.queue.pop_expired(now_s)
        late = self.queue.pop_late(now_s, is_cold=False)
        for waiting in (*expired, *late):
            self.refused[waiting.call.route] += 1
            self.waits_of_refused.append(
                (waiting.call.route, now_s - waiting.arrived_s)
            )
        self._send(now_s)

    def _send(self, now_s):
        waiting = self.queue.take(now_s, is_cold=False)
        while waiting:
            run_s = self.flows[waiting.call.route].run_s
            took_s = run_s * self._rng.uniform(0.75, 1.25)
            self._add(now_s + took_s, self._end, waiting)
            waiting = self.queue.take(now_s, is_cold=False)

    def _end(self, now_s, waiting):
        self.queue.release(now_s, waiting, has_run=True)
        flow = self.flows[waiting.call.route]
        took_s = now_s - waiting.started_s
        self.work_s += took_s
        if now_s <= waiting.arrived_s + flow.objective_s:
            self.in_time[flow.route] += 1
        else:
            self.late[flow.route] += 1
            self.late_work_s += took_s
        self._send(now_s)


INNER = Flow('fee-rates', 400, 0.015, 0.3, 1.2, inner=True)
CLAIM = Flow('claim', 30, 0.4, 1.0, 3.0)
REPORT = Flow('report', 8, 1.0, 1.3, 4.0)
MIXED = (INNER, CLAIM, REPORT)
"""26 s of work a second for 19 usable slots."""


class MixedRoutesTest(unittest.TestCase):
    """Inner calls of 15 ms share a target with roots of 400 and 1,000 ms."""

    @classmethod
    def setUpClass(cls):
        """Play it once."""
        cls.replay = Replay(MIXED, 30)

    def test_the_target_is_not_spent_on_late_answers(self):
        """A root could wait 0.6 of its objective, however long it runs.

        Ordered by arrival plus objective, 0.90 of the work was for answers
        that came late, and 0.05 of the claims were answered in time.
        """
        self.assertLess(self.replay.late_share, 0.05)
        self.assertGreater(self.replay.share('claim'), 0.9)

    def test_short_calls_of_begun_trees_do_not_wait_behind_long_roots(self):
        """0.19 of them were answered in time."""
        self.assertGreater(self.replay.share('fee-rates'), 0.98)

    def test_a_root_is_refused_while_another_node_can_serve_it(self):
        """It was refused at its deadline, or answered late."""
        claims = [
            waited_s
            for route, waited_s in self.replay.waits_of_refused
            if route == 'claim'
        ]
        latest_s = CLAIM.objective_s - CLAIM.run_s + 2 * TICK_S
        self.assertLess(max(claims, default=0), latest_s)

    def test_light_load_is_served_as_before(self):
        """All calls fit, and none is refused."""
        flows = (INNER, replace(CLAIM, per_s=12), replace(REPORT, per_s=2))
        replay = Replay(flows, 30)
        self.assertEqual(replay.refused.total(), 0)
        self.assertEqual(replay.queue.late_count, 0)


URGENT = Flow('claim-rates', 500, 0.02, 0.3, 1.2, priority=0, inner=True)
DIRECT = Flow('direct', 150, 0.02, 0.3, 1.2, priority=0)
LOOKUP = Flow('lookup-rates', 700, 0.02, 0.3, 1.2, priority=2, inner=True)
LISTING = Flow('listing', 300, 0.02, 0.6, 2.0, priority=2)


class UrgencyTest(unittest.TestCase):
    """A deep service receives 33 s of work a second for 19 usable slots."""

    @classmethod
    def setUpClass(cls):
        """Play it once."""
        cls.replay = Replay((URGENT, DIRECT, LOOKUP, LISTING), 15)

    def test_the_most_urgent_are_served_best(self):
        """0.06 and 0.01 of them were served in time."""
        self.assertGreater(self.replay.share('claim-rates'), 0.98)
        self.assertGreater(self.replay.share('direct'), 0.98)

    def test_the_others_do_not_starve(self):
        """Each keeps a part; 0.04 and none were served in time."""
        self.assertGreater(self.replay.share('lookup-rates'), 0.3)
        self.assertGreater(self.replay.share('listing'), 0.08)

    def test_few_answers_are_late(self):
        """0.94 of the work was for late answers."""
        self.assertLess(self.replay.late_share, 0.05)

    def test_a_share_stays_for_others_when_the_urgent_alone_are_too_many(self):
        """Strict order would serve none of them."""
        flows = (replace(URGENT, per_s=1400), LOOKUP)
        replay = Replay(flows, 10)
        self.assertGreater(replay.in_time['lookup-rates'], 0.1 * 950 * 10)


class RankTest(unittest.TestCase):
    """Who goes first while not all can start in time."""

    def first(self, *calls):
        """Return the key that is taken first under scarcity."""
        order = WaitOrder()
        order.is_scarce = True
        for call in calls:
            waiting = WaitingCall(call.request_id, call, 0, 2, run_s=0.02)
            order.add(waiting, 0)
        return order.take().key

    def test_inner_calls_go_before_roots_of_the_same_urgency(self):
        """A tree that has begun loses its work if it is refused."""
        root = served_call('root')
        inner = served_call('inner', inner=True)
        self.assertEqual(self.first(root, inner), 'inner')

    def test_the_more_urgent_root_goes_before_an_inner_call(self):
        """The urgency of the tree decides first."""
        root = served_call('root', priority=0)
        inner = served_call('inner', inner=True)
        self.assertEqual(self.first(inner, root), 'root')

    def test_the_urgency_of_the_root_counts_where_a_call_carries_it(self):
        """Routes of inner calls have a priority of their own."""
        call = served_call(priority=3, urgency=0)
        self.assertEqual(urgency_of(call), 0)

    def test_the_own_priority_counts_where_the_urgency_is_not_known(self):
        """A negative urgency must not count as the most urgent."""
        call = served_call(priority=3, urgency=-1)
        self.assertEqual(urgency_of(call), 3)
        self.assertEqual(urgency_of(served_call(priority=2)), 2)


class RouteTimesTest(unittest.TestCase):
    """Service time by route."""

    def test_a_route_is_known_after_some_runs(self):
        """The first runs of a cold target are several times slower."""
        times = RouteTimes()
        for _ in range(MIN_RUNS - 1):
            times.record('claim', 0.4)
        self.assertIsNone(times.of_route('claim'))
        times.record('claim', 0.4)
        self.assertAlmostEqual(times.of_route('claim').mean_s, 0.4)

    def test_what_is_kept_is_bounded(self):
        """A configuration may have any number of routes."""
        times = RouteTimes()
        for number in range(3 * MAX_ROUTES):
            for _ in range(MIN_RUNS):
                times.record('used', 0.01)
                times.record(f'route-{number}', 0.01)
        self.assertEqual(len(list(times.known())), MAX_ROUTES)
        self.assertIsNotNone(times.of_route('used'))
