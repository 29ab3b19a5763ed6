"""When a node may refuse a request as wrong."""

import unittest
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from mesh_samples import RecordingLog, context
from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import ConfigNotice
from rattanstile.process.mesh.ports import OperatorRecords
from rattanstile.process.mesh.store.config_relay import ConfigRelay
from rattanstile.process.mesh.store.freshness import (
    MAX_CONFIRMED_AGE_S,
    Freshness,
)
from rattanstile.process.mesh.store.operator_state import OperatorState
from rattanstile.process.timers import TimerService

AT_S = 100.0


class FreshnessTest(unittest.TestCase):
    """What counts as a confirmation, and for how long."""

    def setUp(self):
        self.clock = Clock()
        self.clock.advance(AT_S)
        self.freshness = Freshness()
        state = OperatorState(
            lambda document: None,
            lambda previous: None,
            RecordingLog(),
            self.clock.seconds,
        )
        state.apply_snapshot(OperatorRecords((), 4, 1), 'store')
        self.relay = ConfigRelay(
            state,
            SimpleNamespace(link_to=lambda node_id: None),
            TimerService(self.clock),
            SimpleNamespace(
                record_notice=lambda now_s, node_id, reads: None,
                is_reader=lambda now_s: False,
            ),
            lambda: False,
            Random(1),
            self.freshness,
        )

    def age_s(self):
        return self.freshness.age_s(self.clock.seconds())

    def hear(self, offset, confirmed_ms, era=1, version=0):
        link = SimpleNamespace(node_id='n2', send=lambda message: None)
        notice = ConfigNotice(offset, True, era, version, (), confirmed_ms)
        self.relay.message(link, notice)

    def test_node_that_never_heard_is_not_fresh(self):
        """It has begun a moment ago, with a copy of unknown age."""
        self.assertFalse(self.freshness.is_fresh(AT_S))

    def test_age_of_a_peer_is_taken_over(self):
        """The peer has polled the store a second ago."""
        self.hear(4, 1000)
        self.assertAlmostEqual(self.age_s(), 1.0)
        self.clock.advance(MAX_CONFIRMED_AGE_S - 1.1)
        self.assertTrue(self.freshness.is_fresh(self.clock.seconds()))
        self.clock.advance(0.2)
        self.assertFalse(self.freshness.is_fresh(self.clock.seconds()))

    def test_peer_that_is_ahead_confirms_nothing(self):
        """What it has and this node lacks may be the new key."""
        self.hear(5, 0)
        self.assertIsNone(self.age_s())

    def test_peer_of_another_log_confirms_nothing(self):
        """Its newest state is that of before the store was restored."""
        self.hear(9, 0, era=0)
        self.assertIsNone(self.age_s())

    def test_peer_without_confirmation_confirms_nothing(self):
        """It knows no better."""
        self.hear(4, None)
        self.assertIsNone(self.age_s())

    def test_newer_version_of_a_peer_outweighs_the_store(self):
        """A store restored from a copy confirms what lacks the new key."""
        node_context, _, _ = context(clock=self.clock)
        node_context = replace(node_context, freshness=self.freshness)
        self.relay.read_begins(0)
        self.relay.read_applied()
        self.assertTrue(node_context.knows_newest(AT_S))
        self.hear(4, 0, version=7)
        self.assertFalse(node_context.knows_newest(AT_S))

    def test_report_is_no_newer_when_it_arrives_late(self):
        """Else nodes that report to each other keep an old state fresh."""
        self.hear(4, 1000)
        for _ in range(20):
            reported_ms = self.relay.notice().confirmed_ms
            self.clock.advance(0.2)
            self.hear(4, reported_ms)
        self.assertGreaterEqual(self.age_s(), 5.0 - 1e-6)

    def test_report_on_a_slow_way_is_not_passed_on(self):
        """Each node that did so made the same confirmation younger."""
        self.hear(4, 1000)
        for _ in range(20):
            reported_ms = self.relay.notice().confirmed_ms
            self.clock.advance(0.5)
            self.hear(4, reported_ms)
        self.assertGreaterEqual(self.age_s(), 11.0 - 1e-6)

    def test_older_confirmation_changes_nothing(self):
        """Notices of several peers arrive in any order."""
        self.hear(4, 500)
        self.hear(4, 2500)
        self.assertAlmostEqual(self.age_s(), 0.5)

    def test_answer_taken_after_a_pause_is_not_new(self):
        """The process was paused while the answer waited for it."""
        self.relay.read_begins(1.25)
        self.clock.advance(9.0)
        self.relay.read_applied()
        self.assertFalse(self.freshness.is_fresh(self.clock.seconds()))

    def test_records_taken_after_a_pause_are_not_new(self):
        """A long poll ended early, and the process was paused meanwhile."""
        self.relay.read_begins(25.0)
        self.clock.advance(20.0)
        self.relay.read_applied(has_records=True)
        self.assertFalse(self.freshness.is_fresh(self.clock.seconds()))


if __name__ == '__main__':
    unittest.main()
