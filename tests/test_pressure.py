"""Pressure told by serving nodes and kept by entries."""

import unittest
from collections import Counter

from rattanstile.process.serving.pressure import (
    CallClass,
    PressureTable,
    PressureReport,
    is_shed,
)
from rattanstile.process.serving.pressure_gauge import PressureGauge, fair_rate
from rattanstile.request.envelope import Call
from rattanstile.request.priority import Priority

WINDOW_S = 0.1


class Gauge:
    """A gauge fed window by window."""

    def __init__(self):
        self.gauge = PressureGauge(0.0)
        self.now_s = 0.0

    def window(self, arrivals, refused=(), occupancy=1.0, busy=1.0):
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
        self.gauge.update(self.now_s, busy, occupancy)

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
            shed_pressure=self.record_reply(organisation),
        )

    def entries_obey(self, demands, capacity, windows):
        """Offer demands through entries that shed by the pressure told."""
        admitted = {}
        for _ in range(windows):
            admitted = {
                key: round(
                    calls * min(1.0, max(0.0, 1 + key[1] - self.record_reply(key[0])))
                )
                for key, calls in demands.items()
            }
            over = max(0, sum(admitted.values()) - capacity)
            lowest = min(
                (key[1] for key, calls in admitted.items() if calls),
                default=Priority.LOOKUP,
            )
            longest = max(
                (key for key in admitted if key[1] is lowest),
                key=admitted.get,
            )
            busy = min(1.0, sum(admitted.values()) / capacity)
            occupancy = 0.0 if busy < 1 else 0.5
            self.window(admitted, (longest,) * over, occupancy, busy)
        return admitted

    def record_reply(self, organisation):
        return self.gauge.pressure_of(organisation)


class PressureGaugeTest(unittest.TestCase):
    """Pressure follows what the queue shed."""

    def setUp(self):
        self.fed = Gauge()

    def test_no_refusal_means_no_pressure(self):
        self.fed.window({('a', Priority.LOOKUP): 90}, occupancy=0.9)
        self.assertEqual(self.fed.record_reply('a'), 0.0)

    def test_greedy_organisation_is_shed_down_and_the_others_are_not(self):
        demands = {
            ('greedy', Priority.LOOKUP): 80,
            ('b', Priority.LOOKUP): 10,
            ('c', Priority.LOOKUP): 10,
        }
        admitted = self.fed.entries_obey(demands, 60, windows=60)
        self.assertEqual(admitted['b', Priority.LOOKUP], 10)
        self.assertLess(abs(admitted['greedy', Priority.LOOKUP] - 40), 10)

    def test_transactions_are_not_shed_while_they_fit(self):
        demands = {
            ('a', Priority.LOOKUP): 150,
            ('a', Priority.TRANSACTION): 30,
        }
        admitted = self.fed.entries_obey(demands, 60, windows=60)
        self.assertEqual(admitted['a', Priority.TRANSACTION], 30)
        self.assertLess(abs(admitted['a', Priority.LOOKUP] - 30), 10)

    def test_nobody_keeps_lookups_while_transactions_are_shed(self):
        arrivals = {
            ('a', Priority.TRANSACTION): 90,
            ('b', Priority.LOOKUP): 10,
        }
        self.fed.window(arrivals, (('a', Priority.TRANSACTION),) * 45)
        self.assertGreater(self.fed.record_reply('a'), 2.2)
        self.assertTrue(is_shed(self.fed.record_reply('b'), Priority.LOOKUP, 0.999))

    def test_pressure_ends_when_slots_are_free(self):
        self.fed.window(
            {('a', Priority.LOOKUP): 90}, (('a', Priority.LOOKUP),) * 90
        )
        self.assertGreater(self.fed.gauge.max_pressure, 1.0)
        for _ in range(60):
            self.fed.window({('a', Priority.LOOKUP): 5}, (), 0.0, 0.5)
        self.assertEqual(self.fed.gauge.max_pressure, 0.0)


class PressureBookTest(unittest.TestCase):
    """Entries keep what replies told, for a while."""

    def setUp(self):
        self.book = PressureTable()

    def asked(self, priority=Priority.LOOKUP, **fields):
        values = {'organisation': 'a', 'route': '/'} | fields
        return CallClass(service='claims', priority=priority, **values)

    def tell(self, node, pressure, weight=10, now_s=0.0, **fields):
        own = PressureReport(pressure, fields.pop('ceiling', pressure), weight)
        subtree = fields.pop('subtree', PressureReport(0.0, 0.0))
        self.book.record_reply(now_s, self.asked(**fields), node, own, subtree)

    def met(self, now_s=0.0, **fields):
        return self.book.pressure(now_s, self.asked(**fields)).pressure

    def test_pressure_is_weighted_by_capacity(self):
        self.tell('n1', 1.9, weight=1)
        self.tell('n2', 1.4, weight=9)
        self.assertAlmostEqual(self.met(), 1.45)

    def test_one_node_alone_sheds_no_transaction(self):
        self.tell('n1', 2.9)
        self.tell('n2', 1.5)
        self.assertLess(self.met(priority=Priority.TRANSACTION), 2.0)

    def test_organisation_that_was_not_shed_is_left_alone(self):
        self.tell('n1', 1.9, organisation='greedy')
        self.tell('n1', 1.0, ceiling=1.9, organisation='small')
        self.assertEqual(self.met(organisation='small'), 1.0)
        self.assertEqual(self.met(organisation='unheard'), 1.0)
        self.assertAlmostEqual(self.met(organisation='greedy'), 1.9)

    def test_news_of_one_organisation_renews_all(self):
        self.tell('n1', 1.9, organisation='greedy')
        self.tell('n1', 1.8, ceiling=1.9, organisation='large')
        self.tell('n1', 1.2, organisation='greedy', now_s=0.5)
        self.assertAlmostEqual(self.met(now_s=0.5, organisation='greedy'), 1.2)
        self.assertEqual(self.met(now_s=0.5, organisation='large'), 1.0)

    def test_subtree_pressure_is_kept_by_route(self):
        self.tell('n1', 0.0, subtree=PressureReport(1.5, 1.5))
        self.assertEqual(self.met(), 1.5)
        self.assertEqual(self.met(route='/other'), 0.0)

    def test_pressure_relaxes_and_is_forgotten(self):
        self.tell('n1', 1.9)
        self.assertAlmostEqual(self.met(now_s=1.0), 1.9)
        self.assertAlmostEqual(self.met(now_s=2.0), 1.8)
        self.assertAlmostEqual(self.met(now_s=3.0), 1.6)
        self.assertEqual(self.met(now_s=11.0), 0.0)


class FairRateTest(unittest.TestCase):
    """Max-min fairness."""

    def test_small_demands_are_met_and_the_rest_is_split(self):
        self.assertEqual(fair_rate([50.0, 5.0, 40.0], 65.0), 30.0)

    def test_rate_is_the_largest_demand_when_all_fit(self):
        self.assertEqual(fair_rate([1.0, 2.0], 9.0), 2.0)
