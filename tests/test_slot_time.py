"""Slot time by organisation."""

import unittest

from rattanstile.process.serving.slot_time import SlotTime


class SlotTimeTest(unittest.TestCase):
    """Organisations with slower calls pay more for each."""

    def test_unknown_organisation_costs_the_mean(self):
        self.assertEqual(SlotTime().relative_cost('a'), 1.0)

    def test_cost_is_relative_to_the_mean_of_all_calls(self):
        slot_time = SlotTime()
        for _ in range(200):
            slot_time.ended('slow', 0.4)
            slot_time.ended('quick', 0.1)
        ratio = slot_time.relative_cost('slow') / slot_time.relative_cost('quick')
        self.assertAlmostEqual(ratio, 4.0, places=3)

    def test_cost_is_bounded(self):
        slot_time = SlotTime()
        for _ in range(500):
            slot_time.ended('quick', 0.001)
        slot_time.ended('endless', 60.0)
        self.assertEqual(slot_time.relative_cost('endless'), 8.0)
