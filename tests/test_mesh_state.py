"""Operator state and its relay, drains, splits, budgets and logs."""

import os
import unittest
import zlib
from collections import Counter
from random import Random
from types import SimpleNamespace

from mesh_samples import RecordingLog, config, route
from msgspec.structs import replace
from result import Err, Ok
from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import (
    ConfigNotice,
    ConfigRequest,
    ConfigResponse,
)
from rattanstile.process.decision_log import (
    MAX_LINES_PER_S,
    MAX_PENDING_LINES,
    DecisionLog,
    LineKind,
)
from rattanstile.process.mesh.drain import Drain, DrainStep
from rattanstile.process.mesh.placement.evacuations import Evacuations
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.placement.splitter import Splitter
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    OperatorRecord,
    OperatorRecords,
)
from rattanstile.process.mesh.store.config_relay import ConfigRelay
from rattanstile.process.mesh.store.operator_state import (
    OperatorState,
    StateCopy,
)
from rattanstile.process.mesh.store.store_readers import StoreReaders
from rattanstile.process.timers import TimerService
from rattanstile.request.exchange import ServiceUsage
from rattanstile.request.ids import NO_ERA
from rattanstile.version.fleet_config import FleetState, LogPosition, Share


def decode(document):
    if document == b'bad':
        return Err(ConfigUnreadableError('no configuration'))
    return Ok(config(number=int(document)))


def new_operator_state():
    return OperatorState(
        decode, lambda before: None, RecordingLog(), Clock().seconds
    )


def records(end, *changes):
    return OperatorRecords(
        tuple(OperatorRecord(offset, change) for offset, change in changes), end
    )


class OperatorStateTest(unittest.TestCase):
    """Records from the store and from peers, in any order."""

    def test_newest_config_and_evacuations_are_in_force(self):
        """Includes the evacuated failure domains."""
        operator_state = new_operator_state()
        operator_state.apply_records(
            records(
                3,
                (0, ConfigPublished(b'4')),
                (1, DomainEvacuated('west', is_evacuated=True)),
                (2, ConfigPublished(b'7')),
            ),
            'store',
        )
        self.assertEqual(operator_state.state.config.number, 7)
        self.assertEqual(operator_state.state.evacuated, {'west'})

    def test_older_records_are_ignored(self):
        """Neither a lower offset nor a lower version number is applied."""
        operator_state = new_operator_state()
        operator_state.apply_records(
            records(5, (4, ConfigPublished(b'9'))), 'store'
        )
        operator_state.apply_records(
            records(5, (3, ConfigPublished(b'8'))), 'store'
        )
        operator_state.apply_copy(
            StateCopy(LogPosition(NO_ERA, 3), b'8', Evacuations()), 'peer'
        )
        operator_state.apply_records(
            records(6, (5, ConfigPublished(b'8'))), 'store'
        )
        operator_state.apply_snapshot(
            records(2, (1, ConfigPublished(b'3'))), 'store'
        )
        self.assertEqual(operator_state.state.config.number, 9)

    def test_unreadable_config_is_skipped(self):
        """The offset advances all the same."""
        operator_state = new_operator_state()
        operator_state.apply_records(
            records(1, (0, ConfigPublished(b'5'))), 'store'
        )
        operator_state.apply_records(
            records(2, (1, ConfigPublished(b'bad'))), 'store'
        )
        self.assertEqual(operator_state.state.config.number, 5)
        self.assertEqual(operator_state.state.offset, 2)

    def test_older_version_done_late_does_not_hide_the_newest(self):
        """Both in one read: an append without an answer may be done later."""
        operator_state = new_operator_state()
        operator_state.apply_records(
            records(2, (0, ConfigPublished(b'6')), (1, ConfigPublished(b'5'))),
            'store',
        )
        self.assertEqual(operator_state.state.config.number, 6)
        self.assertEqual(operator_state.state.document, b'6')

    def test_unreadable_version_does_not_hide_the_one_before(self):
        """Both in one read; the offset passes them for good."""
        operator_state = new_operator_state()
        operator_state.apply_records(
            records(
                2, (0, ConfigPublished(b'6')), (1, ConfigPublished(b'bad'))
            ),
            'store',
        )
        self.assertEqual(operator_state.state.config.number, 6)

    def test_snapshot_without_evacuation_restores_domain(self):
        """After a gap in the log, the newest records lack the evacuation."""
        operator_state = new_operator_state()
        evacuation = DomainEvacuated('west', is_evacuated=True)
        operator_state.apply_records(
            records(2, (0, ConfigPublished(b'5')), (1, evacuation)), 'store'
        )
        operator_state.apply_snapshot(
            records(9, (0, ConfigPublished(b'5'))), 'store'
        )
        self.assertEqual(operator_state.state.evacuated, frozenset())
        self.assertEqual(operator_state.state.config.number, 5)


class RelayTest(unittest.TestCase):
    """A node that the store refuses."""

    def setUp(self):
        self.clock = Clock()
        self.operator_state = new_operator_state()
        self.sent = []
        self.requested_nodes = []
        self.local_link = self.peer('n2', 'east')
        self.remote_link = self.peer('n3', 'west')
        links = {'n2': self.local_link, 'n3': self.remote_link}
        peers = SimpleNamespace(
            broadcast=lambda message, near_only: self.sent.append(message),
            link_to=links.get,
        )
        self.readers = StoreReaders('n9', lambda: {'n2'})
        self.readers.is_heartbeat_due = lambda now_s: False
        self.relay = ConfigRelay(
            self.operator_state,
            peers,
            TimerService(self.clock),
            self.readers,
            lambda: self.is_gateway,
            Random(1),
        )
        self.is_gateway = False
        self.operator_state.apply_records(
            records(1, (0, ConfigPublished(b'1'))), 'store'
        )

    def peer(self, name, domain):
        return SimpleNamespace(
            node_id=name,
            hello=SimpleNamespace(domain=domain),
            send=lambda message: (
                self.sent.append(message),
                self.requested_nodes.append(name),
            ),
        )

    def test_requests_copy_from_peer_ahead(self):
        """Only after the time that it takes to read the store itself."""
        self.relay.message(self.local_link, ConfigNotice(4, version=2))
        self.relay.check(0.1)
        self.assertEqual(self.sent, [])
        self.relay.check(0.5)
        self.assertEqual(self.sent, [ConfigRequest(1, version=1)])

    def test_prefers_peer_in_own_domain(self):
        """A large configuration enters a domain once, not once per node."""
        self.relay.message(self.remote_link, ConfigNotice(5, version=2))
        self.relay.message(self.local_link, ConfigNotice(5, version=2))
        self.relay.check(0.5)
        self.assertEqual(self.requested_nodes, ['n2'])

    def test_non_reader_requests_copy_at_once(self):
        """It does not receive the change from the store."""
        self.readers.is_reader = lambda now_s: False
        self.relay.message(self.local_link, ConfigNotice(5, version=2))
        self.relay.check(0.1)
        self.assertEqual(self.requested_nodes, ['n2'])

    def test_one_request_in_flight(self):
        """A second request would transfer the same copy twice."""
        self.relay.message(self.local_link, ConfigNotice(5, version=2))
        self.relay.message(self.remote_link, ConfigNotice(5, version=2))
        self.relay.check(0.5)
        self.relay.check(0.75)
        self.assertEqual(self.requested_nodes, ['n2'])
        self.relay.check(1.1)
        self.assertEqual(self.requested_nodes, ['n2', 'n3'])

    def test_peer_that_sends_no_copy_is_not_asked_again_at_once(self):
        """It is heard but not reached, e.g. over a link that is cut one way."""
        for now_s in (0.5, 1.1, 1.7):
            self.relay.message(self.local_link, ConfigNotice(5, version=2))
            self.relay.message(self.remote_link, ConfigNotice(5, version=2))
            self.relay.check(now_s)
        self.assertEqual(self.requested_nodes, ['n2', 'n3', 'n2'])

    def test_only_peer_ahead_is_asked_again(self):
        """Its copy may have been lost with a connection."""
        for now_s in (0.5, 1.1):
            self.relay.message(self.local_link, ConfigNotice(5, version=2))
            self.relay.check(now_s)
        self.assertEqual(self.requested_nodes, ['n2', 'n2'])

    def test_no_request_after_catching_up(self):
        """The usual case: the store delivered the change first."""
        self.relay.message(self.local_link, ConfigNotice(4, version=2))
        self.operator_state.apply_records(
            records(4, (3, ConfigPublished(b'2'))), 'store'
        )
        self.relay.message(self.local_link, ConfigNotice(4, version=2))
        self.relay.check(0.5)
        self.assertEqual(self.sent, [])

    def test_node_without_configuration_requests_copy_at_once(self):
        """All nodes start together after a power loss; few read the store."""
        self.operator_state.state = FleetState()
        self.relay.message(self.local_link, ConfigNotice(4, version=2))
        self.assertEqual(self.sent, [ConfigRequest(0)])

    def test_only_readers_and_gateways_report_changes(self):
        """Otherwise each change is reported by each node to each other one."""
        self.readers.is_reader = lambda now_s: False
        self.relay.broadcast_notice()
        self.assertEqual(self.sent, [])
        self.is_gateway = True
        self.relay.broadcast_notice()
        self.assertEqual(self.sent, [ConfigNotice(1, reads=False, version=1)])

    def test_copy_that_cannot_be_unpacked_is_ignored(self):
        """Another node is asked after a while."""
        whole = zlib.compress(b'6', 1)
        for packed in (b'not packed', whole[:-1], b''):
            self.relay.message(self.local_link, ConfigResponse(4, packed, ()))
        self.assertEqual(self.operator_state.state.config.number, 1)

    def test_applies_received_copy(self):
        """It then sends the copy to other nodes on request."""
        copy = ConfigResponse(4, zlib.compress(b'6', 1), ('west',))
        self.relay.message(self.local_link, copy)
        self.assertEqual(self.operator_state.state.config.number, 6)
        self.relay.message(self.local_link, ConfigRequest(0))
        # The copy of a node that doesn't know of rollouts has no orders.
        self.assertEqual(self.sent, [replace(copy, orders=())])
        self.relay.message(self.local_link, ConfigRequest(4, version=6))
        self.assertEqual(len(self.sent), 1)


class DrainTest(unittest.TestCase):
    """The steps of a node that receives a stop signal."""

    def test_keeps_serving_then_ends_when_idle(self):
        """It does not end before callers can have been rerouted."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 0, 0) for tenth in range(30)]
        self.assertEqual(steps[13], DrainStep.KEEP_SERVING)
        self.assertEqual(steps[15], DrainStep.FINISH)
        self.assertEqual(steps.index(DrainStep.END), 23)

    def test_waits_for_calls_in_progress(self):
        """It ends shortly before it would be killed."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 0, 1) for tenth in range(60)]
        self.assertEqual(steps.index(DrainStep.END), 54)

    def test_waits_for_a_request_that_is_not_sent_yet(self):
        """One that waits for a token was cut by a drain that seemed idle."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 1, 0) for tenth in range(60)]
        self.assertEqual(steps.index(DrainStep.END), 54)

    def test_target_is_reachable_while_callers_arrive(self):
        """The target used to be unreachable for 4 s of a 5.4 s drain."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 1, 2) for tenth in range(60)]
        self.assertEqual(steps.index(DrainStep.FINISH), 35)

    def test_requests_that_could_be_cut_off_are_refused_late_in_a_drain(self):
        """Eleven were accepted in the last second and cut off.

        Most nodes of the failure domain stopped, so that callers went on to
        use their connections: Selovia, trouble-3.
        """
        drain = Drain(10.0, grace_s=6)
        self.assertIsNone(drain.end_s(12.8))
        self.assertAlmostEqual(drain.end_s(12.95), 15.4)

    def test_requests_late_in_a_short_grace_period_are_refused(self):
        """Any were accepted until the process ended, and then cut off."""
        for grace_s in (1, 2, 3, 4, 6, 20):
            drain = Drain(10.0, grace_s)
            steps = [drain.step(10 + tick / 20, 1, 1) for tick in range(400)]
            end_s = 10 + steps.index(DrainStep.END) / 20
            with self.subTest(grace_s=grace_s):
                middle_s = 10 + grace_s / 2
                self.assertIsNotNone(drain.end_s(middle_s))
                self.assertLess(drain.end_s(middle_s), end_s + 0.05)

    def test_each_request_restarts_idle_time(self):
        """A caller that still arrives is served."""
        drain = Drain(0, grace_s=6)
        drain.step(2.2, 0, 0)
        drain.step(2.4, 1, 1)
        self.assertEqual(drain.step(2.5, 0, 0), DrainStep.FINISH)
        self.assertEqual(drain.step(2.9, 0, 0), DrainStep.END)


class SplitterTest(unittest.TestCase):
    """Requests of a route that is split between services."""

    def test_shares_follow_weights(self):
        """Also over few requests."""
        split = route(shares=(Share('a', 90), Share('b', 10)))
        splitter = Splitter()
        counts = Counter(splitter.choose(split) for _ in range(20))
        self.assertEqual(counts, {'a': 18, 'b': 2})

    def test_new_weights_apply_at_once(self):
        """The credit of a removed service is dropped."""
        splitter = Splitter()
        splitter.choose(route(shares=(Share('a', 1), Share('b', 1))))
        after = route(shares=(Share('a', 1), Share('c', 3)))
        counts = Counter(splitter.choose(after) for _ in range(40))
        self.assertAlmostEqual(counts['c'], 30, delta=1)

    def test_removed_routes_are_forgotten(self):
        """Each version of the configuration may have other routes."""
        splitter = Splitter()
        shares = (Share('a', 1), Share('b', 1))
        for name in ('kept', 'removed'):
            splitter.choose(route(name=name, shares=shares))
        splitter.keep({'kept'})
        self.assertEqual(tuple(splitter._credits), ('kept',))


class RerunBudgetTest(unittest.TestCase):
    """Repeated attempts of the whole fleet, within ten seconds."""

    def test_services_that_were_removed_are_forgotten(self):
        """Each version of the configuration may have other services."""
        budget = RerunBudget(0.2, 10, Random(1).random)
        for second in range(1000):
            budget.record_first_attempt(second, f's-{second}', is_repeat=False)
        self.assertLess(len(budget._services), 50)

    def fleet(self, nodes, slack):
        rng = Random(1)
        budgets = [RerunBudget(0.2, slack, rng.random) for _ in range(nodes)]
        for budget in budgets:
            budget.set_node_count(nodes)
        return budgets

    def repeats(self, budgets, calls, from_s=0.0, until_s=10.0):
        """Return the repeats if each attempt fails.

        Each node makes the same number of calls, evenly spaced.
        """
        sent = 0
        for budget in budgets:
            for number in range(calls):
                now_s = from_s + (until_s - from_s) * number / calls
                budget.record_first_attempt(now_s, 'fees', is_repeat=False)
                for _ in range(4):
                    sent += budget.spend(now_s, 'fees')
        return sent

    def test_repeats_stay_within_ratio(self):
        """Each of 14 nodes loses every answer for ten seconds."""
        sent = self.repeats(self.fleet(14, 49), 300)
        self.assertLessEqual(sent, 0.2 * 14 * 300 + 49)
        self.assertGreater(sent, 0.1 * 14 * 300)

    def test_slack_is_divided_among_many_nodes(self):
        """Each of 195 nodes gets half a repeat of it on average."""
        sent = self.repeats(self.fleet(195, 213), 1)
        self.assertLessEqual(sent, 213)
        self.assertGreater(sent, 50)

    def test_budget_is_used_when_all_calls_begin_to_fail(self):
        """All targets of a service begin to refuse, and go on refusing."""
        budgets = self.fleet(195, 213)
        for budget in budgets:
            for number in range(100):
                budget.record_first_attempt(
                    number / 10, 'fees', is_repeat=False
                )
        sent = self.repeats(budgets, 100, 10.0, 20.0)
        self.assertGreater(sent, 0.9 * 0.2 * 19_500)
        self.assertLessEqual(sent, 0.2 * 19_500 + 213)

    def test_attempts_before_a_failure_count(self):
        """All targets of a service begin to refuse: large Vedlott, scale-1.

        A node had saved one repeat at most, and most calls got no second
        attempt while the window allowed thousands.
        """
        budgets = self.fleet(195, 213)
        for budget in budgets:
            for number in range(100):
                budget.record_first_attempt(
                    number / 10, 'fees', is_repeat=False
                )
        sent = sum(
            budget.spend(10.0, 'fees') for budget in budgets for _ in range(40)
        )
        self.assertGreater(sent, 0.12 * 19_500)
        self.assertLessEqual(sent, 0.2 * 19_500 + 213)

    def test_requests_that_end_after_the_repeats_are_not_exceeded(self):
        """Requests of the window before earn the repeats of this one.

        They don't earn them twice: not in the window before as well.
        """
        budgets = self.fleet(14, 49)
        for budget in budgets:
            for number in range(1000):
                budget.record_first_attempt(
                    number / 100, 'fees', is_repeat=False
                )
        sent = self.repeats(budgets, 250, 10.0, 20.0)
        self.assertLessEqual(sent, 0.2 * 14 * 1000 + 49)

    def test_calls_of_repeated_runs_are_repeats(self):
        """They were only counted; beyond the budget they are not sent."""
        budget = self.fleet(1, 0)[0]
        sent = 0
        for number in range(100):
            is_repeat = number % 4 == 0
            is_allowed = budget.record_first_attempt(
                number / 10, 'fees', is_repeat=is_repeat
            )
            sent += is_repeat and is_allowed
        sent += sum(budget.spend(10.0, 'fees') for _ in range(40))
        self.assertLessEqual(sent, 0.2 * 75 + 1)
        self.assertGreaterEqual(sent, 10)

    def test_calls_of_a_repeated_run_are_reserved(self):
        """What a run doesn't use is free for others when it has ended."""
        budget = self.fleet(1, 0)[0]
        for number in range(310):
            budget.record_first_attempt(number * 0.032, 'fees', is_repeat=False)
        calls = (ServiceUsage('fees', 4.0),)
        reservation = budget.reserve(9.92, calls)
        self.assertIsNone(budget.reserve(9.92, (ServiceUsage('fees', 60.0),)))
        left = budget.left(9.92, 'fees')
        self.assertTrue(
            budget.record_first_attempt(9.92, 'fees', is_repeat=True)
        )
        budget.release(9.92, reservation)
        self.assertGreater(budget.left(9.92, 'fees'), left + 2.9)

    def test_a_time_before_the_latest_attempt_is_accepted(self):
        """A step that began before others passed its own time: IndexError."""
        budget = self.fleet(1, 0)[0]
        for number in range(100):
            budget.record_first_attempt(number / 10, 'fees', is_repeat=False)
        self.assertTrue(budget.spend(9.0, 'fees'))

    def test_repeats_are_forgotten_after_the_window(self):
        """And so are the first attempts that allowed them."""
        budgets = self.fleet(1, 0)
        self.assertGreater(self.repeats(budgets, 100), 10)
        self.assertFalse(budgets[0].spend(21.0, 'fees'))


class DecisionLogTest(unittest.TestCase):
    """The number of lines is bounded, whatever the reader does."""

    def setUp(self):
        self.read_fd, self.write_fd = os.pipe()
        self.addCleanup(os.close, self.read_fd)
        self.addCleanup(os.close, self.write_fd)
        self.now_s = 100.0
        os.set_blocking(self.read_fd, False)
        self.log = DecisionLog('n1', lambda: self.now_s, self.write_fd)

    def read(self):
        try:
            return os.read(self.read_fd, 1 << 20)
        except BlockingIOError:
            return b''

    def test_lines_per_kind_and_second_are_bounded(self):
        """The lines left out are counted."""
        for _ in range(1000):
            self.log.write(LineKind.REFUSED, 'request_shed', request='a')
        self.now_s = 101.0
        self.log.write(LineKind.REFUSED, 'request_shed', request='b')
        lines = self.read().decode().splitlines()
        self.assertEqual(len(lines), MAX_LINES_PER_S[LineKind.REFUSED] + 2)
        self.assertIn('count=960', lines[-2])

    def test_stalled_reader_drops_lines_without_blocking(self):
        """Ten times the load against a full pipe must not block."""
        for second in range(300):
            self.now_s = 100.0 + second
            for _ in range(100):
                self.log.write(LineKind.FAILED, 'run_failed', request='a' * 60)
        self.assertLessEqual(len(self.log._pending), MAX_PENDING_LINES)
        read = b''
        for _ in range(20):
            read += self.read()
            self.log.flush()
        self.now_s += 1
        self.log.write(LineKind.FAILED, 'run_failed', request='last')
        read += self.read()
        self.assertIn(b'event=lines_dropped', read)
