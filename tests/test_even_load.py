"""Tests of the load of targets that many nodes choose by old reports.

They guard against targets that are overloaded in turn while others are idle.
"""

import unittest
from random import Random

import msgspec
from balance_fleet import Fleet, FleetModel
from mesh_samples import USABLE, served_call

from rattanstile.connection.peer_messages import (
    StatusReport,
    TargetLoad,
    encode_peer_frame,
)
from rattanstile.process.mesh.placement.candidates import CandidateTable
from rattanstile.process.mesh.placement.even_load import (
    busiest_to_mean,
    spill_share,
)
from rattanstile.process.mesh.placement.placement import (
    EXPLORATION_SHARE,
    Candidate,
    choose,
    choose_fastest,
)
from rattanstile.process.mesh.serving.pass_on import passes_on
from rattanstile.process.mesh.serving.reported_times import ReportedTimes
from rattanstile.process.mesh.serving.target_gate import TargetQueue

SPEEDS = (0.5, 1.0, 1.0, 1.5)
OTHER_SPEEDS = ((0.7, 0.7, 1.6), (0.55, 1.2, 1.2, 1.2))
SIZES = ((14, 1, 4, 6.0), (88, 4, 16, 5.0), (1000, 4, 24, 4.2))
"""Nodes, failure domains, targets and simulated seconds."""
MAX_RATIO = 1.25


def fleet(size, load, **changes):
    nodes, domains, targets, duration_s = size
    fields = {
        'nodes': nodes,
        'domains': domains,
        'targets': targets,
        'speeds': SPEEDS,
        'load': load,
        'duration_s': duration_s,
    }
    return Fleet(**{**fields, **changes})


def fastest(candidates, domain, max_local_wait_s, rng, now_s):
    """Choose as before loads were evened out."""
    local = [each for each in candidates if each.domain == domain]
    if local and rng.random() < EXPLORATION_SHARE:
        return rng.choice(local)
    if not candidates:
        return None
    return choose_fastest(candidates, local, domain, max_local_wait_s, rng)


def run_fastest(shape, seed=1):
    return FleetModel(shape, fastest, may_pass_on=False, seed=seed).run()


def run_even(shape, seed=1):
    return FleetModel(shape, choose, may_pass_on=True, seed=seed).run()


def candidate(name, domain='east', **changes):
    load = msgspec.structs.replace(USABLE, **changes)
    return Candidate(name, 'registry', domain, load)


class FleetTest(unittest.TestCase):
    """Loads over own speed at three sizes, on reports 0.25 to 0.6 s old."""

    def test_the_fastest_target_is_overloaded_by_all_choosers(self):
        """The model shows the fault; else the other tests prove nothing."""
        for size in SIZES:
            result = run_fastest(fleet(size, 0.7))
            self.assertGreater(result.ratio, 1.5, result.text())
            self.assertGreater(result.idle, 0.2, result.text())

    def test_load_is_even_over_own_speed(self):
        """Targets of lasting different speeds."""
        for size in SIZES:
            for load in (0.5, 0.95):
                shape = fleet(size, load, has_slow_moments=False)
                result = run_even(shape)
                self.assertLess(result.ratio, MAX_RATIO, result.text())
                self.assertLess(result.idle, 0.05, result.text())

    def test_load_is_even_for_other_speeds(self):
        """The choice isn't fitted to one set of speeds."""
        for speeds in OTHER_SPEEDS:
            shape = fleet(SIZES[1], 0.85, speeds=speeds, has_slow_moments=False)
            result = run_even(shape)
            self.assertLess(result.ratio, MAX_RATIO, result.text())

    def test_load_is_even_with_moments_of_slowness(self):
        """Targets whose speed also changes for less than a second."""
        for size in SIZES:
            result = run_even(fleet(size, 0.85))
            self.assertLess(result.ratio, MAX_RATIO, result.text())

    def test_moments_of_slowness_leave_few_targets_idle(self):
        """They overload a target for as long as reports don't show them."""
        for size in SIZES:
            before = run_fastest(fleet(size, 0.85))
            after = run_even(fleet(size, 0.85))
            self.assertLess(after.ratio, 0.75 * before.ratio, after.text())
            self.assertLess(after.idle, 0.5 * before.idle, after.text())
            self.assertLess(
                after.mean_wait_s, 0.25 * before.mean_wait_s, after.text()
            )

    def test_calls_stay_in_their_domain_while_it_has_capacity(self):
        """Traffic between failure domains is the largest cost."""
        for size in SIZES[1:]:
            shape = fleet(size, 0.7, has_slow_moments=False)
            result = run_even(shape)
            self.assertLess(result.cross_share, 0.005, result.text())

    def test_a_domain_without_capacity_sends_calls_to_others(self):
        """They would wait there while targets elsewhere have room."""
        shape = fleet(
            SIZES[1],
            0.75,
            domain_demand=(1.45, 0.85, 0.85, 0.85),
            has_slow_moments=False,
        )
        result = run_even(shape)
        self.assertGreater(result.cross_share, 0.02, result.text())
        self.assertLess(result.mean_wait_s, 0.03, result.text())

    def test_light_load_is_served_no_slower(self):
        """The fastest target has room for most calls."""
        for size in SIZES:
            shape = fleet(size, 0.1)
            before, after = run_fastest(shape), run_even(shape)
            self.assertLess(
                after.mean_latency_s, 1.01 * before.mean_latency_s, after.text()
            )

    def test_alike_and_idle_targets_are_chosen_as_before(self):
        """Each choice is the same, with the same random numbers."""
        pool = [candidate(name, pending_calls=k) for k, name in enumerate('ab')]
        for seed in range(200):
            before = fastest(pool, 'east', 0.1, Random(seed), 1.0)
            after = choose(pool, 'east', 0.1, Random(seed), 1.0)
            self.assertIs(before, after)


class SpeedTest(unittest.TestCase):
    """A target's own speed, whatever routes it happens to run."""

    def test_the_mix_of_routes_does_not_mask_the_speed(self):
        """A fast target that runs the long route has the longer mean."""
        table = CandidateTable()
        slow, fast = candidate('slow'), candidate('fast')
        for each, factor in ((slow, 2), (fast, 1)):
            table.add(each)
            for code, deci_ms in ((1, 150), (2, 4000)):
                load = msgspec.structs.replace(
                    USABLE,
                    route_code=code,
                    route_deci_ms=deci_ms * factor,
                    service_us=20_000 if each is slow else 300_000,
                )
                each.update_load(load, 1.0)
        slow.update_load(slow.load, 2.0)
        fast.update_load(fast.load, 2.0)
        ratio = slow.slowness.ratio / fast.slowness.ratio
        self.assertAlmostEqual(ratio, 2.0)

    def test_a_removed_target_does_not_count(self):
        """Its times would distort the mean for ever."""
        table = CandidateTable()
        gone, kept = candidate('gone'), candidate('kept')
        for each, deci_ms in ((gone, 900), (kept, 100)):
            table.add(each)
            each.update_load(
                msgspec.structs.replace(
                    USABLE, route_code=1, route_deci_ms=deci_ms
                ),
                1.0,
            )
        table.remove('gone')
        kept.update_load(kept.load, 2.0)
        self.assertEqual(kept.slowness.ratio, 1.0)

    def test_slowness_shows_within_tens_of_calls(self):
        """And ends as soon, while the usual time stays about the same."""
        times = ReportedTimes()
        for k in range(500):
            times.record(k / 100, 'short', 0.015)
        self.assertEqual(times.pace_percent(5.0), 100)
        for k in range(30):
            times.record(5 + k / 100, 'short', 0.0375)
        self.assertGreater(times.pace_percent(5.3), 200)
        self.assertLess(times.last_deci_ms, 165)
        for k in range(50):
            times.record(5.3 + k / 100, 'short', 0.015)
        self.assertLess(times.pace_percent(5.8), 115)

    def test_the_pace_is_unknown_without_calls(self):
        """A target avoided for its pace would never be chosen again."""
        times = ReportedTimes()
        for took_s in (*([0.01] * 100), *([0.04] * 30)):
            times.record(1.0, 'short', took_s)
        self.assertGreater(times.pace_percent(1.5), 110)
        self.assertEqual(times.pace_percent(9.0), 100)

    def test_routes_are_bounded(self):
        """Names of routes come from the configuration, which may change."""
        times = ReportedTimes()
        table = CandidateTable()
        one = candidate('one')
        table.add(one)
        for k in range(300):
            times.record(1.0, f'route-{k}', 0.01)
            load = TargetLoad(
                route_code=times.last_code, route_deci_ms=times.last_deci_ms
            )
            one.update_load(load, 1.0)
        self.assertLess(len(one.slowness.times_deci_ms), 10)

    def test_reports_grow_by_few_bytes(self):
        """They are the largest part of the control traffic."""
        old = encode_peer_frame(StatusReport('registry', USABLE))
        load = msgspec.structs.replace(
            USABLE, route_code=65_535, route_deci_ms=4000, pace_percent=250
        )
        new = encode_peer_frame(StatusReport('registry', load))
        self.assertLessEqual(len(new) - len(old), 6)

    def test_reports_of_older_nodes_are_understood(self):
        """Nodes of both versions run side by side during an update."""
        values = msgspec.msgpack.encode([True, 1, 10, 20, 0, 0, 5000, 0, 0])
        load = msgspec.msgpack.decode(values, type=TargetLoad)
        self.assertEqual(load.pace_percent, 100)


class PassOnTest(unittest.TestCase):
    """A full target passes a call on once, if another has room."""

    def setUp(self):
        self.queue = TargetQueue()
        self.queue.slots = 10
        self.queue.in_flight = self.queue.limit
        self.room = candidate('room', pending_calls=1)

    def passes(self, call=None, siblings=None):
        siblings = [self.room] if siblings is None else siblings
        return passes_on(call or served_call(), self.queue, siblings, 'east')

    def test_a_full_target_passes_a_call_on(self):
        """It would wait there while another target is idle."""
        self.assertTrue(self.passes())

    def test_a_call_is_passed_on_only_once(self):
        """It must not wander while all are full."""
        self.assertFalse(self.passes(served_call(moves=1)))

    def test_a_target_with_room_runs_the_call(self):
        """Passing on costs a message."""
        self.queue.in_flight -= 1
        self.assertFalse(self.passes())

    def test_only_to_a_usable_target_of_the_domain_with_room(self):
        """The call would come back, or cross to another domain."""
        for other in (
            candidate('far', 'west'),
            candidate('full', pending_calls=9),
            candidate('gone', is_usable=False),
            candidate('failing', failing_percent=50),
            candidate('cold', cold_ms=500),
        ):
            self.assertFalse(self.passes(siblings=[other]), other.node_id)
        self.assertFalse(self.passes(siblings=[]))


class EvenLoadTest(unittest.TestCase):
    """The bounds of the decisions."""

    def test_an_idle_pool_is_even(self):
        """A ratio of small numbers would raise alarms."""
        self.assertEqual(busiest_to_mean([candidate('a'), candidate('b')]), 1.0)

    def test_the_ratio_is_that_of_the_busiest(self):
        """It is what operators look at."""
        pool = [
            candidate('a', pending_calls=9),
            candidate('b', pending_calls=3),
        ]
        self.assertAlmostEqual(busiest_to_mean(pool), 1.5)

    def test_targets_that_accept_no_calls_do_not_count(self):
        """They are idle, so that the others would look uneven."""
        table = CandidateTable()
        table.add(candidate('used', pending_calls=6))
        table.add(candidate('gone', is_usable=False))
        pool = table.usable('registry')
        self.assertEqual(busiest_to_mean(pool), 1.0)

    def test_small_differences_between_domains_are_ignored(self):
        """They are within the error of old reports."""
        self.assertEqual(spill_share(0.95, 0.9), 0.0)
        self.assertEqual(spill_share(0.8, 0.1), 0.0)
        self.assertGreater(spill_share(1.0, 0.5), 0.2)
        self.assertLess(spill_share(100.0, 0.0), 1.0)
