"""Early rejection of root requests by their usage of each service."""

import unittest
from collections import Counter
from random import Random

from rattanstile.process.mesh.admission.root_admission import (
    STEP_S,
    RootAdmission,
    ServiceView,
)
from rattanstile.process.mesh.admission.service_needs import (
    RunKind,
    UsageEstimates,
)
from rattanstile.request.exchange import ServiceUsage

DEEP = 'fees'


def usage(runs):
    return (ServiceUsage(DEEP, runs),)


def run_of(route):
    return RunKind(route, f'service-of-{route}')


class Load:
    """Evenly spaced requests at the only node of a fleet."""

    def __init__(self, kinds):
        """Start with the requests per second by (route, priority, runs)."""
        self.kinds = kinds
        self.admission = RootAdmission(Random(3))
        self.admitted = Counter()
        self.requests = Counter()
        self._pending = Counter()
        self._work = 0.0
        self._offered = 0.0

    def run(self, seconds, capacity_per_s, wait_s=0.0):
        for _ in range(int(seconds / STEP_S)):
            for kind, per_s in self.kinds.items():
                self._pending[kind] += per_s * STEP_S
                while self._pending[kind] >= 1:
                    self._pending[kind] -= 1
                    self._request(kind)
            self._offered += 0.3 * (self._work / STEP_S - self._offered)
            self._work = 0.0
            self.admission.set_fleet_demand({}, 1)
            view = ServiceView(self._offered, capacity_per_s, wait_s)
            self.admission.step({DEEP: view})

    def share(self, route):
        return self.admitted[route] / max(1, self.requests[route])

    def reset(self):
        self.admitted.clear()
        self.requests.clear()

    def _request(self, kind):
        route, priority, runs = kind
        self.requests[route] += 1
        verdict = self.admission.decide(
            run_of(route), priority, usage(runs), 0.0, 5.0
        )
        self.admitted[route] += verdict.is_admitted
        self._work += verdict.is_admitted * runs


KINDS = {
    ('draw', 2, 4.0): 300,
    ('claim', 0, 8.0): 90,
    ('pay', 2, 1.0): 30,
}
"""Requests per second of a calm day: 1,950 calls to the deepest service."""


class OverloadTest(unittest.TestCase):
    """A surge exceeds the capacity of the deepest service."""

    def test_nothing_is_rejected_below_capacity(self):
        """All requests are admitted."""
        load = Load(KINDS)
        load.run(3, 2500)
        self.assertEqual(load.share('draw'), 1)

    def test_the_least_urgent_are_rejected_first(self):
        """Claims are all admitted, lookups in part."""
        load = Load(KINDS)
        load.run(2, 1300)
        load.reset()
        load.run(5, 1300)
        self.assertGreater(load.share('claim'), 0.97)
        self.assertLess(load.share('draw'), 0.75)
        self.assertGreater(load.share('pay'), load.share('draw'))

    def test_the_capacity_is_used(self):
        """Admitted requests use about the capacity of the service."""
        load = Load(KINDS)
        load.run(2, 1300)
        load.reset()
        load.run(5, 1300)
        runs = {route: runs for route, _, runs in KINDS}
        calls_per_s = (
            sum(load.admitted[route] * runs[route] for route in runs) / 5
        )
        self.assertGreater(calls_per_s, 0.85 * 1300)
        self.assertLess(calls_per_s, 1.1 * 1300)

    def test_no_class_starves(self):
        """Each keeps a fraction of the mean admitted share."""
        load = Load(KINDS)
        load.run(2, 500)
        load.reset()
        load.run(10, 500)
        for route in ('draw', 'claim', 'pay'):
            self.assertGreater(load.share(route), 0.25 * 500 / 1950)

    def test_a_queue_is_drained(self):
        """Less is admitted while the queue at the service is long."""
        load = Load(KINDS)
        load.run(2, 1300, wait_s=0.2)
        load.reset()
        load.run(5, 1300, wait_s=0.2)
        runs = {route: runs for route, _, runs in KINDS}
        calls_per_s = (
            sum(load.admitted[route] * runs[route] for route in runs) / 5
        )
        self.assertLess(calls_per_s, 0.75 * 1300)

    def test_rejections_carry_a_retry_delay(self):
        """Delays are spread, and within the caller's remaining time."""
        load = Load(KINDS)
        load.run(2, 200)
        verdicts = [
            load.admission.decide(run_of('draw'), 2, usage(4.0), 0.0, 5.0)
            for _ in range(200)
        ]
        waits = [
            verdict.retry_after_s
            for verdict in verdicts
            if not verdict.is_admitted
        ]
        self.assertGreater(min(waits), 0.25)
        self.assertLess(max(waits), 5.0 / 3)
        self.assertGreater(max(waits) - min(waits), 0.3)


class RecoveryTest(unittest.TestCase):
    """Targets restart cold after a loss of power, and warm up."""

    def test_all_is_admitted_soon_after_they_are_warm(self):
        """A shedding level that fell slowly rejected for six more seconds."""
        load = Load(KINDS)
        load.run(4, 70)
        load.reset()
        load.run(1, 2500)
        load.reset()
        load.run(1, 2500)
        self.assertGreater(load.share('draw'), 0.95)

    def test_a_cold_service_gets_few_calls_from_the_first_second_on(self):
        """The first step bounds what is admitted before any rejection."""
        load = Load(KINDS)
        load.run(0.5, 70)
        load.reset()
        load.run(2, 70)
        runs = {route: runs for route, _, runs in KINDS}
        calls_per_s = (
            sum(load.admitted[route] * runs[route] for route in runs) / 2
        )
        self.assertLess(calls_per_s, 0.2 * 1950)


class UnavailableServiceTest(unittest.TestCase):
    """The deepest service is unavailable; nodes have just started."""

    def admitted_share(self, views, seconds):
        admission = RootAdmission(Random(4))
        admitted = 0
        requests = 0
        for step in range(int(seconds / STEP_S)):
            for _ in range(10):
                verdict = admission.decide(
                    run_of('draw'), 2, usage(4.0), 0.0, 5.0
                )
                requests += step * STEP_S > 1.5
                admitted += verdict.is_admitted and step * STEP_S > 1.5
            admission.step(views)
        return admitted / requests

    def test_no_request_is_admitted_for_a_service_without_nodes(self):
        """The service has left the fleet: none of its nodes is a member."""
        self.assertLess(self.admitted_share({}, 6), 0.1)

    def test_requests_of_the_service_itself_may_wait_for_a_target(self):
        """A target may soon be usable: they are queued, not rejected."""
        admission = RootAdmission(Random(4))
        run = RunKind('fees', DEEP)
        own = (ServiceUsage(DEEP, 1.0),)
        admission.decide(run, 2, own, 0.0, 5.0)
        admission.step({DEEP: ServiceView(0, 0, 0)})
        verdicts = [admission.decide(run, 2, own, 0.0, 5.0) for _ in range(50)]
        self.assertTrue(all(verdict.is_admitted for verdict in verdicts))

    def test_a_service_that_is_discovered_soon_is_admitted(self):
        """A node that starts learns of the service within a second."""
        view = ServiceView(0, 2000, 0)
        self.assertEqual(self.admitted_share({DEEP: view}, 6), 1)

    def test_a_call_uses_its_service_before_any_answer(self):
        """Usage is reported on answers, and there is none yet."""
        usages = UsageEstimates().total_usage({RunKind('fee-rates', DEEP): 4.0})
        self.assertEqual(usages[DEEP].runs, 4.0)

    def test_each_branch_of_a_split_route_uses_its_own_service(self):
        """The usage of one branch is not assumed for the other."""
        estimates = UsageEstimates()
        estimates.record(1.0, RunKind('claim', 'registry'), usage(8.0))
        self.assertEqual(
            estimates.usage_of(RunKind('claim', 'results')),
            (ServiceUsage('results', 1),),
        )


class ReturnTest(unittest.TestCase):
    """All targets are cold after a power failure; most requests are shed."""

    def setUp(self):
        self.admission = RootAdmission(Random(7))
        run = run_of('draw')
        self.admission.decide(run, 2, usage(4.0), 0.0, 5.0)
        view = ServiceView(0, 20, 0, warm_at_s=12.5)
        self.admission.step({DEEP: view})

    def returns_s(self, now_s, remaining_s):
        return [
            now_s
            + self.admission.retry_after_s(DEEP, now_s, now_s + remaining_s)
            for _ in range(100)
        ]

    def test_callers_return_when_the_targets_are_warm(self):
        """They came back after 0.3 s to 0.6 s and were shed once more."""
        returns_s = self.returns_s(11.0, 5.0)
        self.assertGreaterEqual(min(returns_s), 12.5)
        self.assertLess(max(returns_s), 11.0 + 5.0 / 3 + 0.01)

    def test_callers_are_told_the_truth_if_that_is_too_late_for_them(self):
        """A shorter delay would only bring a second refusal."""
        self.assertGreaterEqual(min(self.returns_s(10.0, 3.0)), 12.5)

    def test_callers_are_spread_as_before_once_the_targets_are_warm(self):
        """The time of a target that has become warm is of no account."""
        returns_s = self.returns_s(20.0, 5.0)
        self.assertLess(min(returns_s), 20.4)
        self.assertGreater(max(returns_s), 20.9)
        self.assertLessEqual(max(returns_s), 21.0)


class RemovedServicesTest(unittest.TestCase):
    """Each version of the configuration may have other services."""

    def test_services_that_no_request_uses_are_forgotten(self):
        """The one that is used stays."""
        admission = RootAdmission(Random(3))
        for number in range(1000):
            name = f's-{number // 10}'
            usages = (ServiceUsage(name, 1.0), ServiceUsage(DEEP, 1.0))
            admission.decide(RunKind(name, name), 1, usages, 0.0, 1.0)
            admission.step({})
        for _ in range(1000):
            admission.decide(run_of('a'), 1, usage(1.0), 0.0, 1.0)
            admission.step({})
        self.assertEqual(set(admission.own_demand()), {DEEP})
