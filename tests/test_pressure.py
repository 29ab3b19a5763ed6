"""Tests of the pressure that serving nodes report and entries store."""

import unittest
from collections import Counter

from rattanstile.process.serving.pressure import (
    CallClass,
    PressureReport,
    PressureTable,
    is_shed,
)
from rattanstile.process.serving.pressure_gauge import PressureGauge, fair_rate
from rattanstile.request.envelope import Call
from rattanstile.request.priority import Priority

WINDOW_S = 0.1


class GaugeDriver:
    """Feeds a gauge window by window."""

    def __init__(self):
        self.gauge = PressureGauge(0.0)
        self.now_s = 0.0

    def window(self, arrivals, refused=(), occupancy=1.0, utilisation=1.0):
        for (organisation, priority), calls in arrivals.items():
            for number in range(calls):
                at_s = self.now_s + WINDOW_S * number / calls
                self.gauge.arrived(at_s, self.call(organisation, priority))
        for organisation, priority in refused:
            call = self.call(organisation, priority)
            self.gauge.refused(self.now_s, call)
        self.now_s += WINDOW_S
        served = Counter()
        for (_, priority), calls in arrivals.items():
            served[priority] += calls
        served.subtract(priority for _, priority in refused)
        for priority in served.elements():
            self.gauge.dispatched(self.now_s, priority)
        self.gauge.update(self.now_s, utilisation, occupancy)

    def call(self, organisation, priority):
        return Call(
            call_id='a',
            attempt=1,
            organisation=organisation,
            key_digest='',
            service='claims',
            method='GET',
            path='/',
            priority=priority,
            remaining_ms=1000,
            home='',
            shed_pressure=self.pressure_of(organisation),
        )

    def run_entries(self, demands, capacity, windows):
        """Offer demands through entries that shed by the reported pressure.

        Return the calls admitted in the last window.
        """
        admitted = {}
        for _ in range(windows):
            admitted = {
                key: round(
                    calls
                    * min(1.0, max(0.0, 1 + key[1] - self.pressure_of(key[0])))
                )
                for key, calls in demands.items()
            }
            excess = max(0, sum(admitted.values()) - capacity)
            lowest = min(
                (key[1] for key, calls in admitted.items() if calls),
                default=Priority.LOOKUP,
            )
            longest = max(
                (key for key in admitted if key[1] is lowest),
                key=admitted.get,
            )
            utilisation = min(1.0, sum(admitted.values()) / capacity)
            occupancy = 0.0 if utilisation < 1 else 0.5
            self.window(admitted, (longest,) * excess, occupancy, utilisation)
        return admitted

    def pressure_of(self, organisation):
        return self.gauge.pressure_of(organisation)


class PressureGaugeTest(unittest.TestCase):
    """Pressure adapts to the calls that the queue refuses."""

    def setUp(self):
        self.driver = GaugeDriver()

    def test_no_refusal_means_no_pressure(self):
        self.driver.window({('a', Priority.LOOKUP): 90}, occupancy=0.9)
        self.assertEqual(self.driver.pressure_of('a'), 0.0)

    def test_greedy_organisation_is_shed_down_and_the_others_are_not(self):
        demands = {
            ('greedy', Priority.LOOKUP): 80,
            ('b', Priority.LOOKUP): 10,
            ('c', Priority.LOOKUP): 10,
        }
        admitted = self.driver.run_entries(demands, 60, windows=60)
        self.assertEqual(admitted['b', Priority.LOOKUP], 10)
        self.assertLess(abs(admitted['greedy', Priority.LOOKUP] - 40), 10)

    def test_transactions_are_not_shed_while_they_fit(self):
        demands = {
            ('a', Priority.LOOKUP): 150,
            ('a', Priority.TRANSACTION): 30,
        }
        admitted = self.driver.run_entries(demands, 60, windows=60)
        self.assertEqual(admitted['a', Priority.TRANSACTION], 30)
        self.assertLess(abs(admitted['a', Priority.LOOKUP] - 30), 10)

    def test_lookups_of_all_organisations_are_shed_before_transactions(self):
        arrivals = {
            ('a', Priority.TRANSACTION): 90,
            ('b', Priority.LOOKUP): 10,
        }
        self.driver.window(arrivals, (('a', Priority.TRANSACTION),) * 45)
        self.assertGreater(self.driver.pressure_of('a'), 2.2)
        self.assertTrue(
            is_shed(self.driver.pressure_of('b'), Priority.LOOKUP, 0.999)
        )

    def test_pressure_ends_when_slots_are_free(self):
        self.driver.window(
            {('a', Priority.LOOKUP): 90}, (('a', Priority.LOOKUP),) * 90
        )
        self.assertGreater(self.driver.gauge.max_pressure, 1.0)
        for _ in range(60):
            self.driver.window({('a', Priority.LOOKUP): 5}, (), 0.0, 0.5)
        self.assertEqual(self.driver.gauge.max_pressure, 0.0)


class PressureBookTest(unittest.TestCase):
    """Entries store reported pressure until it expires."""

    def setUp(self):
        self.book = PressureTable()

    def call_class(self, priority=Priority.LOOKUP, **fields):
        values = {'organisation': 'a', 'route': '/'} | fields
        return CallClass(service='claims', priority=priority, **values)

    def report(self, node, pressure, weight=10, now_s=0.0, **fields):
        own = PressureReport(pressure, fields.pop('ceiling', pressure), weight)
        subtree = fields.pop('subtree', PressureReport(0.0, 0.0))
        self.book.record_reply(
            now_s, self.call_class(**fields), node, own, subtree
        )

    def pressure(self, now_s=0.0, **fields):
        return self.book.pressure(now_s, self.call_class(**fields)).pressure

    def test_pressure_is_weighted_by_capacity(self):
        self.report('n1', 1.9, weight=1)
        self.report('n2', 1.4, weight=9)
        self.assertAlmostEqual(self.pressure(), 1.45)

    def test_report_of_a_single_node_sheds_no_transaction(self):
        self.report('n1', 2.9)
        self.report('n2', 1.5)
        self.assertLess(self.pressure(priority=Priority.TRANSACTION), 2.0)

    def test_organisation_that_was_not_shed_stays_admitted(self):
        self.report('n1', 1.9, organisation='greedy')
        self.report('n1', 1.0, ceiling=1.9, organisation='small')
        self.assertEqual(self.pressure(organisation='small'), 1.0)
        self.assertEqual(self.pressure(organisation='unreported'), 1.0)
        self.assertAlmostEqual(self.pressure(organisation='greedy'), 1.9)

    def test_report_for_one_organisation_updates_the_others(self):
        self.report('n1', 1.9, organisation='greedy')
        self.report('n1', 1.8, ceiling=1.9, organisation='large')
        self.report('n1', 1.2, organisation='greedy', now_s=0.5)
        self.assertAlmostEqual(
            self.pressure(now_s=0.5, organisation='greedy'), 1.2
        )
        self.assertEqual(self.pressure(now_s=0.5, organisation='large'), 1.0)

    def test_subtree_pressure_is_stored_by_route(self):
        self.report('n1', 0.0, subtree=PressureReport(1.5, 1.5))
        self.assertEqual(self.pressure(), 1.5)
        self.assertEqual(self.pressure(route='/other'), 0.0)

    def test_pressure_decays_and_expires(self):
        self.report('n1', 1.9)
        self.assertAlmostEqual(self.pressure(now_s=1.0), 1.9)
        self.assertAlmostEqual(self.pressure(now_s=2.0), 1.8)
        self.assertAlmostEqual(self.pressure(now_s=3.0), 1.6)
        self.assertEqual(self.pressure(now_s=11.0), 0.0)


class FairRateTest(unittest.TestCase):
    """Max-min fair rate."""

    def test_small_demands_are_met_and_the_rest_is_split(self):
        self.assertEqual(fair_rate([50.0, 5.0, 40.0], 65.0), 30.0)

    def test_rate_is_the_largest_demand_when_all_fit(self):
        self.assertEqual(fair_rate([1.0, 2.0], 9.0), 2.0)
