"""Rollouts at one node, at the deciding node and in the store."""

import unittest
from random import Random

from mesh_samples import USABLE, RecordingLog, config
from msgspec.structs import replace
from result import Err, Ok
from twisted.internet.defer import succeed

from rattanstile.connection.peer_messages import (
    RolloutDirective,
    RolloutReport,
    RouteCounts,
    VersionTargets,
)
from rattanstile.platform.store import _decode_change
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.ports import (
    EndMovedError,
    OperatorRecord,
    OperatorRecords,
    OtherRecord,
    RolloutOrdered,
    RolloutStatuses,
    RolloutWithdrawn,
    StoreUnavailableError,
)
from rattanstile.process.mesh.rollout.call_sample import sample_end
from rattanstile.process.mesh.rollout.domain_rollouts import DomainRollouts
from rattanstile.process.mesh.rollout.fleet_rollouts import FleetRollouts
from rattanstile.process.mesh.rollout.node_rollouts import (
    CLOSE_DELAY_S,
    PPM,
    LocalTarget,
    NodeRollouts,
)
from rattanstile.process.mesh.rollout.rollout_bounds import RolloutBounds
from rattanstile.process.mesh.rollout.rollout_verdict import (
    RolloutState,
    RolloutStatus,
    Verdict,
)
from rattanstile.process.mesh.rollout.status_writer import StatusWriter
from rattanstile.process.mesh.rollout.version_counts import (
    LATENCY_BUCKETS,
    MAX_CELLS,
    CountKey,
    VersionCounts,
)
from rattanstile.process.mesh.store.operator_state import (
    OperatorState,
    StateCopy,
)
from rattanstile.request.exchange import (
    Answered,
    NotRun,
    NotRunReason,
    Unknown,
    UnknownReason,
    WholeAnswer,
)
from rattanstile.version.fleet_config import LogPosition, RolloutOrder

ORDER = RolloutOrder('registry', 'v2', 10.0)
RUNNING = RolloutStatus('registry', 'v2', RolloutState.RUNNING)
COMPLETED = RolloutStatus('registry', 'v2', RolloutState.COMPLETED)
ROLLED_BACK = RolloutStatus('registry', 'v2', RolloutState.ROLLED_BACK)
SPEND = RolloutDirective('registry', 'v2', Verdict.NONE, PPM, 0)


def candidate(node_id, version, load=USABLE):
    return Candidate(node_id, 'registry', 'east', load, version=version)


OLD = candidate('n1', 'v1')
NEW = candidate('n2', 'v2')


def answer(status):
    return Answered(WholeAnswer(status, b'', (), b''))


class NodeRolloutsTest(unittest.TestCase):
    """Which version the calls of one node may be sent to."""

    def setUp(self):
        """An order is in force and may be spent on."""
        self.rollouts = NodeRollouts(RolloutBounds(), Random(1))
        self.rollouts.set_orders([ORDER])
        self.rollouts.directives_received(0.0, [SPEND])

    def chosen(self, now_s=0.1, *, may_expose=True, found=(OLD, NEW)):
        found = self.rollouts.candidates(
            now_s, 'registry', list(found), may_expose=may_expose
        )
        return [each.version for each in found]

    def earn(self, requests=20):
        for _ in range(requests):
            sample = self.rollouts.sent(0.0, 'registry', OLD, 'claims')
            self.rollouts.ended(0.01, sample, sample_end(answer(200)))

    def tell(self, verdict, now_s=0.0):
        self.rollouts.directives_received(
            now_s, [replace(SPEND, verdict=verdict)]
        )

    def test_without_an_order_all_versions_are_used(self):
        """Nothing changes for services that are not moved."""
        self.rollouts.set_orders([])
        idle = NodeRollouts()
        found = [OLD, NEW]
        self.assertIs(
            idle.candidates(0.0, 'registry', found, may_expose=True), found
        )
        self.assertIsNone(idle.sent(0.0, 'registry', NEW, 'claims'))
        self.assertEqual(idle.reports(0.0), ())

    def test_new_version_costs_earned_credit(self):
        """A node that has just started sends it nothing."""
        self.assertEqual(self.chosen(), ['v1'])
        self.earn()
        self.assertEqual(self.chosen(), ['v2'])
        for _ in range(2):
            sample = self.rollouts.sent(0.1, 'registry', NEW, 'claims')
            self.assertTrue(sample.is_paid)
        self.assertEqual(self.chosen(), ['v1'])

    def test_few_remaining_targets_don_t_widen_the_bound(self):
        """All old targets are lost: a bad version must not get the rest."""
        self.assertEqual(self.chosen(found=(NEW,)), [])

    def test_retries_and_cold_targets_are_not_exposed(self):
        """A request that failed once is not sent to the version under test."""
        self.earn()
        self.assertEqual(self.chosen(may_expose=False), ['v1'])
        cold = candidate('n2', 'v2', replace(USABLE, cold_ms=500))
        self.assertEqual(self.chosen(found=(OLD, cold)), ['v1'])

    def test_exposure_ends_without_directives(self):
        """The decider or the link to it is lost."""
        self.earn()
        self.assertEqual(self.chosen(now_s=2.1), ['v1'])

    def test_exposure_ends_at_the_deadline(self):
        """Requests after it don't count for the bound."""
        self.earn()
        self.rollouts.directives_received(10.0, [SPEND])
        self.assertEqual(self.chosen(now_s=10.1), ['v1'])

    def test_requests_sent_before_the_order_earn_nothing(self):
        """Only those between the order and its deadline count."""
        self.rollouts.set_orders([])
        self.rollouts.set_orders(
            [RolloutOrder('registry', 'v3', 10.0, began_s=5.0)]
        )
        for sent_s, ended_s in ((4.0, 6.0), (14.0, 15.5)):
            sample = self.rollouts.sent(sent_s, 'registry', OLD, 'claims')
            self.rollouts.ended(ended_s, sample, sample_end(answer(200)))
        view = self.rollouts.view_of('registry')
        self.assertEqual(view.credit.requests, 0)

    def test_rejected_version_gets_nothing(self):
        """Its targets refuse calls as well, for nodes that don't know."""
        self.earn()
        self.tell(Verdict.REJECTED)
        self.assertEqual(self.chosen(), ['v1'])
        self.assertTrue(self.rollouts.is_closed(0.1, 'registry', 'v2'))
        self.assertFalse(self.rollouts.is_closed(0.1, 'registry', 'v1'))

    def test_verdict_is_not_taken_back(self):
        """A second decider that doesn't know it says that there is none."""
        for verdict in (Verdict.ACCEPTED, Verdict.REJECTED, Verdict.NONE):
            self.tell(verdict)
        self.assertIs(
            self.rollouts.view_of('registry').verdict, Verdict.REJECTED
        )

    def test_old_targets_close_after_all_nodes_know(self):
        """A node that doesn't know would find no target at all."""
        self.tell(Verdict.ACCEPTED)
        self.assertFalse(self.rollouts.is_closed(0.1, 'registry', 'v1'))
        self.assertEqual(self.chosen(), ['v1', 'v2'])
        closed_s = CLOSE_DELAY_S + 0.01
        self.assertTrue(self.rollouts.is_closed(closed_s, 'registry', 'v1'))

    def test_restarted_node_hears_the_verdict_with_the_order(self):
        """It would find no target: all are of the version by now."""
        restarted = NodeRollouts()
        order = RolloutOrder('registry', 'v2', 10.0, 0.0, Verdict.COMPLETED)
        restarted.set_orders([order])
        found = restarted.candidates(50.0, 'registry', [NEW], may_expose=True)
        self.assertEqual(found, [NEW])
        self.assertEqual(restarted.verdict_on(ORDER), Verdict.COMPLETED)
        self.assertEqual(restarted.reports(50.0), ())

    def test_completed_order_doesn_t_close_later_versions(self):
        """Its record stays in the log after the rollout."""
        self.tell(Verdict.COMPLETED)
        self.assertTrue(self.rollouts.is_closed(9.0, 'registry', 'v1'))
        self.assertFalse(self.rollouts.is_closed(60.0, 'registry', 'v3'))

    def test_target_of_unknown_version_is_closed(self):
        """After a restart of its node it may be of the new version."""
        self.assertTrue(self.rollouts.is_closed(0.0, 'registry', ''))
        self.assertTrue(self.rollouts.needs_payment('registry', 'v2'))
        self.assertFalse(self.rollouts.needs_payment('registry', 'v1'))

    def test_replaced_version_is_held_back_until_its_deadline(self):
        """It would be one of the old versions of the next order."""
        self.rollouts.set_orders([RolloutOrder('registry', 'v3', 10.0)])
        self.assertEqual(self.chosen(), ['v1'])
        self.assertTrue(self.rollouts.is_closed(0.1, 'registry', 'v2'))
        self.assertEqual(self.chosen(now_s=10.1), ['v1', 'v2'])

    def test_versions_are_forgotten_when_they_are_no_longer_held_back(self):
        """Each order that was replaced or withdrawn left one for good."""
        for number in range(3):
            self.rollouts.set_orders(
                [RolloutOrder('registry', f'w{number}', 9)]
            )
        self.rollouts.set_orders([])
        self.rollouts.release_expired(9.5)
        self.assertEqual(self.chosen(now_s=9.5), ['v1'])
        self.rollouts.release_expired(10.0)
        self.assertEqual(self.rollouts._held_back, {})
        found = [OLD, NEW]
        kept = self.rollouts.candidates(
            10.0, 'registry', found, may_expose=True
        )
        self.assertIs(kept, found)

    def test_withdrawn_version_that_was_rejected_stays_held_back(self):
        """It is known to be bad."""
        self.tell(Verdict.REJECTED)
        self.rollouts.set_orders([])
        self.rollouts.release_expired(1000.0)
        self.assertEqual(self.chosen(now_s=1000.0), ['v1'])

    def test_repeated_order_continues(self):
        """A second credit would be beyond the bound."""
        self.earn()
        view = self.rollouts.view_of('registry')
        self.rollouts.set_orders([RolloutOrder('registry', 'v2', 10.0, 5.0)])
        self.assertIs(self.rollouts.view_of('registry'), view)
        self.assertEqual(view.began_s, 0.0)

    def test_failures_are_those_of_the_target(self):
        """Refusals for load say nothing of the version."""
        for ending, is_failed, is_compared in (
            (answer(500), True, True),
            (answer(404), False, True),
            (Unknown(UnknownReason.DEADLINE), True, True),
            (Unknown(UnknownReason.PEER_LOST), False, False),
            (NotRun(NotRunReason.QUEUE_FULL), False, False),
            (NotRun(NotRunReason.TARGET_REFUSED), True, True),
        ):
            end = sample_end(ending)
            self.assertEqual(
                (end.is_failed, end.is_compared), (is_failed, is_compared)
            )


def report(targets, verdict=Verdict.NONE):
    return RolloutReport('registry', 'v2', verdict, 0, (), targets)


class DecidingNode:
    """A node that decides, over a store that several share."""

    def __init__(self, store, target=None):
        self.rollouts = NodeRollouts(RolloutBounds(), Random(1), target)
        self.rollouts.set_orders([ORDER])
        self.fleet = FleetRollouts(self.rollouts, RecordingLog())
        self.writer = StatusWriter(store, self.fleet.decider, RecordingLog())

    def run(self, now_s, *reports, era=1, is_whole=True):
        self.fleet.record_node(now_s, 'n9', reports)
        self.fleet.decide(now_s, 'east', is_whole=is_whole)
        self.writer.check(now_s, era)

    def run_until(self, start_s, end_s, *reports, **options):
        now_s = start_s
        while now_s <= end_s:
            self.run(now_s, *reports, **options)
            now_s += 0.25

    @property
    def verdict(self):
        return self.rollouts.view_of('registry').verdict


class SharedStore:
    """The statuses in the store, with faults."""

    def __init__(self):
        self.records = []
        self.is_down = False
        self.loses_answers = False
        self.before_append = lambda: None
        self.era = 1

    def rollout_statuses(self):
        if self.is_down:
            return succeed(Err(StoreUnavailableError('down')))
        newest = {each.service: each for each in self.records}
        return succeed(Ok(RolloutStatuses(newest, len(self.records), self.era)))

    def append_rollout_status(self, status, end):
        self.before_append()
        if end != len(self.records):
            return succeed(Err(EndMovedError('moved')))
        self.records.append(status)
        if self.loses_answers:
            return succeed(Err(StoreUnavailableError('no answer')))
        return succeed(Ok(self.era))


BOTH = VersionTargets(2, 0, 1000, 2, 1, 800)
MOVED = VersionTargets(2, 0, 1000, 0, 0, 800)


class DecidingTest(unittest.TestCase):
    """One failure each; no status is repeated or contradicted."""

    def setUp(self):
        self.store = SharedStore()

    def test_decider_killed_between_verdict_and_status(self):
        """The next one hears of the verdict and writes its status."""
        first = DecidingNode(self.store)
        first.run_until(0, 2, report(BOTH))
        self.store.is_down = True
        first.run_until(2, 8, report(BOTH))
        self.assertIs(first.verdict, Verdict.REJECTED)
        self.assertEqual(self.store.records, [RUNNING])
        self.store.is_down = False
        second = DecidingNode(self.store)
        second.run_until(8, 11, report(BOTH, Verdict.REJECTED))
        self.assertEqual(self.store.records, [RUNNING, ROLLED_BACK])
        self.assertIs(second.verdict, Verdict.ROLLED_BACK)

    def test_decider_killed_after_acceptance(self):
        """The old targets may be closed: the next one completes the order."""
        second = DecidingNode(self.store)
        second.run_until(4, 6, report(MOVED, Verdict.ACCEPTED))
        self.assertEqual(self.store.records, [RUNNING, COMPLETED])

    def test_two_deciders(self):
        """They are in different parts of the fleet and decide differently."""
        first = DecidingNode(self.store)
        second = DecidingNode(self.store)
        for step in range(48):
            first.run(step / 4, report(BOTH, Verdict.REJECTED))
            second.run(step / 4, report(MOVED, Verdict.ACCEPTED))
        self.assertEqual(self.store.records, [RUNNING, ROLLED_BACK])
        self.assertIs(second.verdict, Verdict.ROLLED_BACK)

    def test_other_decider_appends_between_read_and_append(self):
        """The condition of the append fails, and its status is adopted."""
        node = DecidingNode(self.store)
        node.run_until(0, 2, report(BOTH))

        def overtake():
            self.store.before_append = lambda: None
            self.store.records.append(COMPLETED)

        self.store.before_append = overtake
        node.run_until(2, 5, report(BOTH, Verdict.REJECTED))
        self.assertEqual(self.store.records, [RUNNING, COMPLETED])
        self.assertIs(node.verdict, Verdict.COMPLETED)

    def test_answers_to_appends_are_lost(self):
        """The record is found by the next read, and not written again."""
        self.store.loses_answers = True
        node = DecidingNode(self.store)
        node.run_until(0, 10, report(BOTH, Verdict.REJECTED))
        self.assertEqual(self.store.records, [RUNNING, ROLLED_BACK])

    def test_store_away_from_the_start(self):
        """The status may be final already: nothing is exposed or decided."""
        self.store.is_down = True
        node = DecidingNode(self.store)
        node.run_until(0, 9, report(BOTH))
        self.assertEqual(node.rollouts.view_of('registry').spend_ppm, 0)
        self.assertIs(node.verdict, Verdict.NONE)

    def test_store_away_after_acceptance(self):
        """`completed` needs an acknowledged record."""
        node = DecidingNode(self.store)
        node.run_until(0, 2, report(BOTH))
        self.store.is_down = True
        node.run_until(2, 9.5, report(MOVED, Verdict.ACCEPTED))
        self.assertIs(node.verdict, Verdict.ACCEPTED)
        self.store.is_down = False
        node.run_until(9.75, 11, report(MOVED, Verdict.ACCEPTED))
        self.assertEqual(self.store.records, [RUNNING, COMPLETED])

    def test_store_restored_from_an_older_copy(self):
        """The final status was lost and is written again, unchanged."""
        node = DecidingNode(self.store)
        node.run_until(0, 5, report(BOTH, Verdict.REJECTED))
        self.store.records = [RUNNING]
        self.store.era = 2
        node.run_until(5, 7, era=2)
        self.assertEqual(self.store.records, [RUNNING, ROLLED_BACK])

    def test_final_status_of_an_earlier_run_of_the_fleet(self):
        """All processes were restarted; the order is still in the log."""
        self.store.records = [RUNNING, COMPLETED]
        node = DecidingNode(self.store)
        node.run_until(0, 9, report(VersionTargets(old_targets=2)))
        self.assertEqual(self.store.records, [RUNNING, COMPLETED])
        self.assertIs(node.verdict, Verdict.COMPLETED)

    def test_replaced_order(self):
        """The status of the next order is the newest of the service."""
        node = DecidingNode(self.store)
        node.run_until(0, 2, report(BOTH))
        node.rollouts.set_orders([RolloutOrder('registry', 'v3', 10.0)])
        node.run_until(2.25, 4, report(BOTH))
        self.assertEqual(
            self.store.records,
            [RUNNING, RolloutStatus('registry', 'v3', RolloutState.RUNNING)],
        )

    def test_replaced_version_is_ordered_again(self):
        """Its status counted as stored: the order was never decided."""
        node = DecidingNode(self.store)
        node.run_until(0, 2, report(BOTH))
        node.rollouts.set_orders([RolloutOrder('registry', 'v3', 10.0)])
        node.run_until(2.25, 4, report(BOTH))
        again = RolloutOrder('registry', 'v2', 10.0, began_s=4.0)
        node.rollouts.set_orders([again])
        node.run_until(4.25, 13, report(BOTH))
        self.assertEqual(self.store.records[2:], [RUNNING, ROLLED_BACK])
        self.assertIs(node.verdict, Verdict.ROLLED_BACK)

    def test_withdrawn_order(self):
        """Its targets drain."""
        node = DecidingNode(self.store)
        node.run_until(0, 2, report(BOTH))
        node.rollouts.set_orders([])
        node.run_until(2.25, 4)
        self.assertEqual(self.store.records, [RUNNING, ROLLED_BACK])

    def test_decider_killed_after_a_withdrawal(self):
        """The status would stay running, and the targets would not drain."""
        first = DecidingNode(self.store)
        first.run_until(0, 2, report(BOTH))
        second = DecidingNode(self.store)
        second.rollouts.set_orders([])
        second.run_until(3, 5)
        self.assertEqual(self.store.records, [RUNNING, ROLLED_BACK])

    def test_withdrawal_after_a_final_status_that_was_not_heard_of(self):
        """It must not be contradicted."""
        self.store.records = [RUNNING, COMPLETED]
        node = DecidingNode(self.store)
        node.rollouts.set_orders([])
        node.run_until(0, 3)
        self.assertEqual(self.store.records, [RUNNING, COMPLETED])

    def test_completion_waits_for_nodes_that_don_t_report(self):
        """Calls may run on their old targets; later they may be gone."""
        node = DecidingNode(self.store)
        accepted = report(MOVED, Verdict.ACCEPTED)
        node.run_until(0, 5.5, accepted, is_whole=False)
        self.assertEqual(self.store.records, [RUNNING])
        node.run_until(5.75, 7, accepted, is_whole=False)
        self.assertEqual(self.store.records, [RUNNING, COMPLETED])


class DomainRolloutsTest(unittest.TestCase):
    """Sum of the reports of a domain."""

    def test_old_target_of_a_silent_node_counts_for_a_while(self):
        """Calls may run on it although its node is cut off."""
        domain = DomainRollouts()
        domain.record(0.0, 'n1', [report(VersionTargets(old_targets=1))])
        for now_s, old_targets in ((2.5, 1), (3.5, 0)):
            domain.record(now_s, 'n2', [report(VersionTargets(new_targets=1))])
            targets = domain.totals(now_s)[0].targets
            self.assertEqual(targets.old_targets, old_targets)
            self.assertEqual(targets.new_targets, 1)

    def test_counts_of_a_restarted_node_are_added(self):
        """It counts from zero; its calls of before are not forgotten."""
        domain = DomainRollouts()
        latencies = (0,) * LATENCY_BUCKETS
        for calls in (5, 7, 2):
            counts = (
                RouteCounts('list', 'east', True, calls, calls, latencies),
            )
            domain.record(0.0, 'n1', [replace(report(BOTH), counts=counts)])
        self.assertEqual(domain.totals(0.0)[0].counts[0].failed, 9)

    def test_verdict_of_any_node_is_passed_on(self):
        """The node that decided may be the only one that has heard of it."""
        domain = DomainRollouts()
        domain.record(0.0, 'n1', [report(BOTH, Verdict.REJECTED)])
        domain.record(0.0, 'n2', [report(BOTH)])
        self.assertEqual(domain.totals(0.0)[0].verdict, Verdict.REJECTED)

    def test_own_target_by_version(self):
        """A target of the new version that is cold can't take the load."""
        cold = replace(USABLE, cold_ms=100)
        for version, load, expected in (
            ('v1', USABLE, VersionTargets(old_targets=1)),
            ('v2', USABLE, VersionTargets(1, 0, 5000)),
            ('v2', cold, VersionTargets(1, 1, 0)),
        ):
            target = LocalTarget('registry', version, load)
            rollouts = NodeRollouts(target=lambda target=target: target)
            rollouts.set_orders([ORDER])
            self.assertEqual(rollouts.reports(0.0)[0].targets, expected)


class VersionCountsTest(unittest.TestCase):
    """Counts in reports of bounded size."""

    def test_further_routes_are_counted_together(self):
        """A service with hundreds of routes; no call goes uncounted."""
        counts = VersionCounts()
        for number in range(100):
            for is_new in (False, True):
                key = CountKey(f'r{number}', 'east', is_new)
                counts.record(key, 0.01, is_failed=False)
        reported = counts.as_reported()
        self.assertEqual(len(reported), 2 * (MAX_CELLS + 1))
        self.assertEqual(sum(each.calls for each in reported), 200)

    def test_report_without_unchanged_counts(self):
        """The delegate adds what it has been sent before."""
        counts = VersionCounts()
        domain = DomainRollouts()
        for route in ('list', 'read', 'list'):
            counts.record(CountKey(route, 'east', True), 0.01, is_failed=True)
            sent = counts.take_changed(1)
            self.assertEqual([each.route for each in sent], [route])
            domain.record(0.0, 'n1', [replace(report(BOTH), counts=sent)])
        total = domain.totals(0.0)[0].counts
        failed = {each.route: each.failed for each in total}
        self.assertEqual(failed, {'list': 2, 'read': 1})

    def test_counts_that_did_not_fit_come_next(self):
        """Those of a busy route would keep the others out."""
        counts = VersionCounts()
        for route in ('list', 'read'):
            counts.record(CountKey(route, 'east', True), 0.01, is_failed=True)
        counts.take_changed(1)
        counts.record(CountKey('list', 'east', True), 0.01, is_failed=True)
        self.assertEqual(counts.take_changed(1)[0].route, 'read')


def records(end, *changes, era=1):
    return OperatorRecords(
        tuple(OperatorRecord(offset, change) for offset, change in changes),
        end,
        era,
    )


class OrdersTest(unittest.TestCase):
    """Orders in the operators' log and in copies of other nodes."""

    def setUp(self):
        self.now_s = 0.0
        self.state = OperatorState(
            lambda document: Ok(config(number=int(document))),
            lambda before: None,
            RecordingLog(),
            lambda: self.now_s,
        )
        self.state.apply_snapshot(records(1), 'store')

    @property
    def orders(self):
        return self.state.state.orders

    def test_order_repeated_and_withdrawn(self):
        """A repeated order keeps its time."""
        self.state.apply_records(records(2, (1, RolloutOrdered(ORDER))), 's')
        self.now_s = 5.0
        self.state.apply_records(records(3, (2, RolloutOrdered(ORDER))), 's')
        self.assertEqual([each.began_s for each in self.orders], [0.0])
        self.state.apply_records(
            records(4, (3, RolloutWithdrawn('registry'))), 's'
        )
        self.assertEqual(self.orders, ())

    def test_order_lost_by_a_restored_store_stays_in_force(self):
        """An older copy may also hold the order before it."""
        self.state.apply_records(records(2, (1, RolloutOrdered(ORDER))), 's')
        earlier = RolloutOrder('registry', 'v1', 10.0)
        restored = records(1, (0, RolloutOrdered(earlier)), era=2)
        self.state.apply_snapshot(restored, 's')
        self.assertEqual(self.orders, (ORDER,))
        later = RolloutOrder('registry', 'v3', 10.0)
        self.state.apply_records(
            records(2, (1, RolloutOrdered(later)), era=2), 's'
        )
        self.assertEqual(self.orders, (later,))

    def test_copy_of_a_node_without_rollouts(self):
        """Nodes of the release before relay the configuration alone."""
        self.state.apply_records(records(2, (1, RolloutOrdered(ORDER))), 's')
        evacuations = self.state.evacuations
        for orders, expected in ((None, (ORDER,)), ((), ())):
            copy = StateCopy(LogPosition(1, 3), b'5', evacuations, orders)
            self.state.apply_copy(copy, 'peer')
            self.assertEqual(self.orders, expected)

    def test_unreadable_order_changes_nothing(self):
        """The one before stays in force."""
        for content in (
            b'{',
            b'{"service":"registry","targetVersion":"","duration":"1s"}',
            b'{"service":"other","targetVersion":"v2","duration":"1s"}',
            b'{"service":"registry","targetVersion":"v2","duration":"1"}',
        ):
            change = _decode_change('rollout/registry', content)
            self.assertEqual(change, OtherRecord())
        change = _decode_change(
            'rollout/registry',
            b'{"service":"registry","targetVersion":"v2","duration":"10s"}',
        )
        self.assertEqual(change, RolloutOrdered(ORDER))
        withdrawn = _decode_change('rollout/registry', b'')
        self.assertEqual(withdrawn, RolloutWithdrawn('registry'))


if __name__ == '__main__':
    unittest.main()
