"""Pressure told by serving nodes and kept by entries."""

import unittest

from rattanstile.process.pressure import (
    CallClass,
    PressureBook,
    PressureGauge,
    is_shed,
)
from rattanstile.request.priority import Priority

WINDOW_S = 0.1


class Gauge:
    """A gauge fed window by window."""

    def __init__(self):
        self.gauge = PressureGauge(0.0)
        self.now_s = 0.0

    def window(self, arrivals, refusals, occupancy=1.0, busy=1.0):
        for (organisation, priority), calls in arrivals.items():
            for _ in range(calls):
                self.gauge.arrived(organisation, priority)
        for organisation, calls in refusals.items():
            for _ in range(calls):
                self.gauge.refused(organisation)
        self.now_s += WINDOW_S
        self.gauge.update(self.now_s, busy, occupancy)


class PressureGaugeTest(unittest.TestCase):
    """Pressure follows what the queue shed."""

    def setUp(self):
        self.fed = Gauge()

    def test_no_refusal_means_no_pressure(self):
        self.fed.window({('a', Priority.LOOKUP): 90}, {}, occupancy=0.9)
        self.assertEqual(self.fed.gauge.pressure_of('a'), 0.0)

    def test_only_the_organisation_that_was_shed_feels_pressure(self):
        arrivals = {('a', Priority.LOOKUP): 90, ('b', Priority.LOOKUP): 10}
        self.fed.window(arrivals, {'a': 45})
        self.assertGreater(self.fed.gauge.pressure_of('a'), 1.2)
        self.assertEqual(self.fed.gauge.pressure_of('b'), 1.0)

    def test_nobody_keeps_lookups_while_transactions_are_shed(self):
        arrivals = {
            ('a', Priority.TRANSACTION): 90,
            ('b', Priority.LOOKUP): 10,
        }
        self.fed.window(arrivals, {'a': 45})
        pressure = self.fed.gauge.pressure_of('b')
        self.assertTrue(is_shed(pressure, Priority.LOOKUP, 0.999))

    def test_pressure_ends_when_slots_are_free(self):
        self.fed.window({('a', Priority.LOOKUP): 90}, {'a': 90})
        for _ in range(60):
            self.fed.window({}, {}, occupancy=0.0, busy=0.5)
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
        self.assertEqual(self.book.pressure(0.4, self.asked()), 1.5)
        self.assertAlmostEqual(self.book.pressure(1.0, self.asked()), 1.0)
        self.assertEqual(self.book.pressure(9.0, self.asked()), 0.0)
