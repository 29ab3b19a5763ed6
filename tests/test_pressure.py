"""Pressure told by serving nodes and kept by entries."""

import unittest

from rattanstile.process.pressure import CallClass, PressureBook, is_shed
from rattanstile.process.pressure_gauge import PressureGauge
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
                self.gauge.arrived(at_s, organisation, priority)
        for priority in refused:
            self.gauge.refused(priority)
        self.now_s += WINDOW_S
        self.gauge.update(self.now_s, busy, occupancy)

    def entries_obey(self, demands, capacity, windows):
        """Offer demands through entries that shed by the pressure told."""
        admitted = {}
        for _ in range(windows):
            admitted = {
                key: round(
                    calls * min(1.0, max(0.0, 1 + key[1] - self.told(key[0])))
                )
                for key, calls in demands.items()
            }
            over = max(0, sum(admitted.values()) - capacity)
            lowest = min(
                (key[1] for key, calls in admitted.items() if calls),
                default=Priority.LOOKUP,
            )
            busy = min(1.0, sum(admitted.values()) / capacity)
            occupancy = 0.0 if busy < 1 else 0.5
            self.window(admitted, (lowest,) * over, occupancy, busy)
        return admitted

    def told(self, organisation):
        return self.gauge.pressure_of(organisation)


class PressureGaugeTest(unittest.TestCase):
    """Pressure follows what the queue shed."""

    def setUp(self):
        self.fed = Gauge()

    def test_no_refusal_means_no_pressure(self):
        self.fed.window({('a', Priority.LOOKUP): 90}, occupancy=0.9)
        self.assertEqual(self.fed.told('a'), 0.0)

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
        self.fed.window(arrivals, (Priority.TRANSACTION,) * 45)
        self.assertGreater(self.fed.told('a'), 2.2)
        self.assertTrue(is_shed(self.fed.told('b'), Priority.LOOKUP, 0.999))

    def test_pressure_ends_when_slots_are_free(self):
        self.fed.window({('a', Priority.LOOKUP): 90}, (Priority.LOOKUP,) * 90)
        self.assertGreater(self.fed.gauge.highest, 1.0)
        for _ in range(60):
            self.fed.window({('a', Priority.LOOKUP): 5}, (), 0.0, 0.5)
        self.assertEqual(self.fed.gauge.highest, 0.0)


class PressureBookTest(unittest.TestCase):
    """Entries keep what replies told, for a while."""

    def setUp(self):
        self.book = PressureBook()

    def asked(self, priority=Priority.LOOKUP, **fields):
        values = {'organisation': 'a', 'route': '/'} | fields
        return CallClass(service='claims', priority=priority, **values)

    def tell(self, node, own, subtree=0.0, weight=10):
        self.book.told(0.0, self.asked(), node, own, subtree, weight)

    def test_pressure_is_weighted_by_capacity(self):
        self.tell('n1', 2.0, weight=1)
        self.tell('n2', 1.0, weight=9)
        pressure = self.book.pressure(0.0, self.asked())
        self.assertAlmostEqual(pressure, 1.1)

    def test_one_node_alone_sheds_no_transaction(self):
        self.tell('n1', 3.0)
        self.tell('n2', 1.5)
        asked = self.asked(Priority.TRANSACTION)
        self.assertEqual(self.book.pressure(0.0, asked), 1.5)

    def test_other_organisations_are_not_touched(self):
        self.tell('n1', 2.0)
        asked = self.asked(organisation='b')
        self.assertEqual(self.book.pressure(0.0, asked), 0.0)

    def test_subtree_pressure_is_kept_by_route(self):
        self.tell('n1', 0.0, subtree=1.5)
        self.assertEqual(self.book.pressure(0.0, self.asked()), 1.5)
        asked = self.asked(route='/other')
        self.assertEqual(self.book.pressure(0.0, asked), 0.0)

    def test_pressure_decays_and_is_forgotten(self):
        self.tell('n1', 1.5)
        self.assertEqual(self.book.pressure(1.4, self.asked()), 1.5)
        self.assertAlmostEqual(self.book.pressure(2.5, self.asked()), 1.2)
        self.assertEqual(self.book.pressure(9.0, self.asked()), 0.0)
