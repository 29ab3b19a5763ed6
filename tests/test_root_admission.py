"""Refusal of root requests by what their trees take of each service."""

import unittest
from collections import Counter
from random import Random

from rattanstile.process.mesh.root_admission import (
    STEP_S,
    RootAdmission,
    ServiceView,
)
from rattanstile.process.mesh.service_needs import RunKind, UsageEstimates
from rattanstile.request.exchange import ServiceUsage

DEEP = 'fees'


def needs(runs):
    return (ServiceUsage(DEEP, runs),)


def run_of(route):
    return RunKind(route, f'service-of-{route}')


class Load:
    """Requests that come in evenly, as seen by one node of a fleet of one."""

    def __init__(self, kinds):
        """Take the requests a second by (route, priority, runs)."""
        self.kinds = kinds
        self.admission = RootAdmission(Random(3))
        self.let_in = Counter()
        self.asked = Counter()
        self._due = Counter()
        self._work = 0.0
        self._offered = 0.0

    def run(self, seconds, capacity_per_s, wait_s=0.0):
        for _ in range(int(seconds / STEP_S)):
            for kind, per_s in self.kinds.items():
                self._due[kind] += per_s * STEP_S
                while self._due[kind] >= 1:
                    self._due[kind] -= 1
                    self._ask(kind)
            self._offered += 0.3 * (self._work / STEP_S - self._offered)
            self._work = 0.0
            self.admission.fleet_demand({}, 1)
            view = ServiceView(self._offered, capacity_per_s, wait_s)
            self.admission.step({DEEP: view})

    def share(self, route):
        return self.let_in[route] / max(1, self.asked[route])

    def forget(self):
        self.let_in.clear()
        self.asked.clear()

    def _ask(self, kind):
        route, priority, runs = kind
        self.asked[route] += 1
        verdict = self.admission.decide(
            run_of(route), priority, needs(runs), 5.0
        )
        self.let_in[route] += verdict.is_admitted
        self._work += verdict.is_admitted * runs


KINDS = {
    ('draw', 2, 4.0): 300,
    ('claim', 0, 8.0): 90,
    ('pay', 2, 1.0): 30,
}
"""Requests a second of a calm day: 1,950 calls of the deepest service."""


class OverloadTest(unittest.TestCase):
    """A surge that the deepest service can't serve."""

    def test_nothing_is_refused_while_there_is_room(self):
        """Whatever the kind."""
        load = Load(KINDS)
        load.run(3, 2500)
        self.assertEqual(load.share('draw'), 1)

    def test_the_least_urgent_goes_first(self):
        """Claims are all served, lookups in part."""
        load = Load(KINDS)
        load.run(2, 1300)
        load.forget()
        load.run(5, 1300)
        self.assertGreater(load.share('claim'), 0.97)
        self.assertLess(load.share('draw'), 0.75)
        self.assertGreater(load.share('pay'), load.share('draw'))

    def test_the_capacity_is_used(self):
        """What is let in takes about what the service serves."""
        load = Load(KINDS)
        load.run(2, 1300)
        load.forget()
        load.run(5, 1300)
        runs = {route: runs for route, _, runs in KINDS}
        taken = sum(load.let_in[route] * runs[route] for route in runs) / 5
        self.assertGreater(taken, 0.85 * 1300)
        self.assertLess(taken, 1.1 * 1300)

    def test_no_kind_starves(self):
        """Each keeps a part of what all get."""
        load = Load(KINDS)
        load.run(2, 500)
        load.forget()
        load.run(10, 500)
        for route in ('draw', 'claim', 'pay'):
            self.assertGreater(load.share(route), 0.25 * 500 / 1950)

    def test_calls_that_wait_are_drained(self):
        """Less is let in while a queue is long."""
        load = Load(KINDS)
        load.run(2, 1300, wait_s=0.2)
        load.forget()
        load.run(5, 1300, wait_s=0.2)
        runs = {route: runs for route, _, runs in KINDS}
        taken = sum(load.let_in[route] * runs[route] for route in runs) / 5
        self.assertLess(taken, 0.75 * 1300)

    def test_refusals_say_when_to_return(self):
        """Spread, and within the time that the caller has."""
        load = Load(KINDS)
        load.run(2, 200)
        verdicts = [
            load.admission.decide(run_of('draw'), 2, needs(4.0), 5.0)
            for _ in range(200)
        ]
        waits = [one.retry_after_s for one in verdicts if not one.is_admitted]
        self.assertGreater(min(waits), 0.25)
        self.assertLess(max(waits), 5.0 / 3)
        self.assertGreater(max(waits) - min(waits), 0.3)


class RecoveryTest(unittest.TestCase):
    """Targets come back cold after a loss of power, and warm up."""

    def test_all_is_let_in_soon_after_they_are_warm(self):
        """A level that fell slowly refused for six seconds more."""
        load = Load(KINDS)
        load.run(4, 70)
        load.forget()
        load.run(1, 2500)
        load.forget()
        load.run(1, 2500)
        self.assertGreater(load.share('draw'), 0.95)

    def test_a_cold_service_gets_little_from_the_first_second_on(self):
        """What is let in before the first step is bounded by it."""
        load = Load(KINDS)
        load.run(0.5, 70)
        load.forget()
        load.run(2, 70)
        runs = {route: runs for route, _, runs in KINDS}
        taken = sum(load.let_in[route] * runs[route] for route in runs) / 2
        self.assertLess(taken, 0.2 * 1950)


class ServiceAwayTest(unittest.TestCase):
    """The deepest service answers nobody; nodes have just started."""

    def share_let_in(self, views, seconds):
        admission = RootAdmission(Random(4))
        let_in = 0
        asked = 0
        for step in range(int(seconds / STEP_S)):
            for _ in range(10):
                verdict = admission.decide(run_of('draw'), 2, needs(4.0), 5.0)
                asked += step * STEP_S > 1.5
                let_in += verdict.is_admitted and step * STEP_S > 1.5
            admission.step(views)
        return let_in / asked

    def test_no_tree_begins_for_a_service_that_no_node_serves(self):
        """It has left the fleet: none of its nodes is known any more."""
        self.assertLess(self.share_let_in({}, 6), 0.1)

    def test_its_own_requests_may_wait_for_a_target(self):
        """One may be fit in a moment: it is held, not refused at once."""
        admission = RootAdmission(Random(4))
        run = RunKind('fees', DEEP)
        own = (ServiceUsage(DEEP, 1.0),)
        admission.decide(run, 2, own, 5.0)
        admission.step({DEEP: ServiceView(0, 0, 0)})
        verdicts = [admission.decide(run, 2, own, 5.0) for _ in range(50)]
        self.assertTrue(all(one.is_admitted for one in verdicts))

    def test_a_service_that_is_met_soon_is_not_refused(self):
        """A node that starts hears of it within a second."""
        view = ServiceView(0, 2000, 0)
        self.assertEqual(self.share_let_in({DEEP: view}, 6), 1)

    def test_a_call_is_known_to_need_its_service_before_any_answer(self):
        """Nobody has answered, so nobody has told."""
        needed = UsageEstimates().below({RunKind('fee-rates', DEEP): 4.0})
        self.assertEqual(needed[DEEP].runs, 4.0)

    def test_each_part_of_a_split_route_needs_its_own_service(self):
        """What the one part takes is not expected of the other."""
        known = UsageEstimates()
        known.told(1.0, RunKind('claim', 'registry'), needs(8.0))
        self.assertEqual(
            known.of(RunKind('claim', 'results')), (ServiceUsage('results', 1),)
        )
