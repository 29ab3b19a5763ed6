"""Waiting calls at the handler of the serving node, and moved requests."""

import unittest
from types import SimpleNamespace

from mesh_samples import (
    caller_request,
    config,
    context,
    organisation,
    route,
    served_call,
)

from rattanstile.process.mesh.entry.entry_call import EntryCall
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.request.exchange import NotRun, NotRunReason
from rattanstile.version.fleet_config import FleetState


class StuckPool:
    """Connections to a target that answers nothing."""

    def __init__(self):
        self.connection_limit = 8
        self.sent = 0

    def send(self, *_, **__):
        self.sent += 1
        return SimpleNamespace()

    def abandon(self, exchange):
        """Do nothing."""


class WaitingRootTest(unittest.TestCase):
    """A target with one slot, on a virtual clock."""

    def setUp(self):
        """Start with a usable target."""
        node_context, self.clock, _ = context(
            FleetState(1, config(routes=(route(),)))
        )
        self.context = node_context
        self.pool = StuckPool()
        watch = SimpleNamespace(
            service='registry',
            version='v1',
            target_id='i-1',
            is_usable=True,
            is_leaving=False,
            is_cold=lambda now_s: False,
        )
        codec = SimpleNamespace(encode_call=lambda *_: b'')
        self.serving = ServingHandler(
            node_context, watch, self.pool, codec, lambda: None
        )
        self.serving._prober = SimpleNamespace(check=lambda now_s: None)
        self.serving.queue.slots = 1
        self.ended = {}

    def begin(self, key, **changes):
        self.serving.begin(
            key,
            served_call(key, **changes),
            lambda ending: self.ended.setdefault(key, ending),
        )

    def check_for(self, duration_s):
        for _ in range(round(duration_s / 0.05)):
            self.clock.advance(0.05)
            self.serving.check(self.clock.seconds())

    def test_a_root_is_refused_before_it_is_late_and_an_inner_call_waits(self):
        """It waited until 0.06 s before its deadline of 2 s."""
        self.begin('runs', inner=True)
        self.begin('root')
        self.begin('inner', inner=True)
        self.check_for(0.5)
        self.assertEqual(self.ended, {})
        self.check_for(0.3)
        self.assertEqual(self.ended, {'root': NotRun(NotRunReason.QUEUE_FULL)})
        self.assertEqual(self.pool.sent, 1)
        self.assertEqual(self.serving.queue.late_count, 1)
        self.assertEqual(self.context.counters.not_taken, {'queue_full': 1})


class MovedRequestTest(unittest.TestCase):
    """A root that has waited at one target and goes to another one."""

    def objective_ms(self, waited_s, moves):
        call = EntryCall(
            caller_request(),
            print,
            route(latency_objective_s=1.0),
            'registry',
            organisation(),
            is_inner=False,
            arrived_s=10.0,
            deadline_s=15.0,
            moves=moves,
        )
        return call.served_call(10.0 + waited_s, 'fees').latency_objective_ms

    def test_the_next_target_is_told_what_is_left_of_the_objective(self):
        """It counted from its arrival there, and ended late."""
        self.assertAlmostEqual(self.objective_ms(0.4, 1), 600, delta=1)

    def test_a_late_request_is_not_refused_everywhere_at_once(self):
        """A late answer is still of use."""
        self.assertEqual(self.objective_ms(3.0, 1), 250)

    def test_the_first_target_is_told_the_whole_objective(self):
        """As before."""
        self.assertEqual(self.objective_ms(0.05, 0), 1000)
