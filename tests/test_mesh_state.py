"""What operators state, relays of it, drains, splits, budgets, logs."""

import os
import unittest
import zlib
from collections import Counter
from random import Random
from types import SimpleNamespace

from mesh_samples import LinesKept, config, route
from result import Err, Ok
from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import (
    ConfigNotice,
    ConfigResponse,
    ConfigRequest,
)
from rattanstile.process.decision_log import (
    LINES_PER_S,
    MAX_PENDING_LINES,
    DecisionLog,
    Kind,
)
from rattanstile.process.mesh.config_relay import ConfigRelay
from rattanstile.process.mesh.drain import Drain, DrainStep
from rattanstile.process.mesh.operator_state import OperatorWords
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    OperatorRecord,
    OperatorRecords,
)
from rattanstile.process.mesh.rerun_budget import RerunBudget
from rattanstile.process.mesh.splitter import Splitter
from rattanstile.process.mesh.store_readers import StoreReaders
from rattanstile.process.timers import TimerService
from rattanstile.version.fleet_config import Share


def decode(document):
    if document == b'bad':
        return Err(ConfigUnreadableError('no configuration'))
    return Ok(config(number=int(document)))


def words():
    return OperatorWords(decode, lambda before: None, LinesKept())


def records(end, *found):
    return OperatorRecords(
        tuple(OperatorRecord(offset, word) for offset, word in found), end
    )


class WordsTest(unittest.TestCase):
    """Records in any order, from the store and from peers."""

    def test_the_newest_is_in_force(self):
        """With the domains that are out."""
        found = words()
        found.take(
            records(
                3,
                (0, ConfigPublished(b'4')),
                (1, DomainEvacuated('west', is_evacuated=True)),
                (2, ConfigPublished(b'7')),
            ),
            'store',
        )
        self.assertEqual(found.state.config.number, 7)
        self.assertEqual(found.state.evacuated, {'west'})

    def test_nothing_older_comes_back(self):
        """Not by offset, not by number."""
        found = words()
        found.take(records(5, (4, ConfigPublished(b'9'))), 'store')
        found.take(records(5, (3, ConfigPublished(b'8'))), 'store')
        found.take_told(3, b'8', frozenset(), 'peer')
        found.take(records(6, (5, ConfigPublished(b'8'))), 'store')
        found.take_newest(records(2, (1, ConfigPublished(b'3'))), 'store')
        self.assertEqual(found.state.config.number, 9)

    def test_what_cannot_be_read_changes_nothing(self):
        """But the offset goes on."""
        found = words()
        found.take(records(1, (0, ConfigPublished(b'5'))), 'store')
        found.take(records(2, (1, ConfigPublished(b'bad'))), 'store')
        self.assertEqual(found.state.config.number, 5)
        self.assertEqual(found.state.offset, 2)

    def test_a_domain_comes_back_after_a_gap_in_history(self):
        """Its record is missing among the newest."""
        found = words()
        gone = DomainEvacuated('west', is_evacuated=True)
        found.take(records(2, (0, ConfigPublished(b'5')), (1, gone)), 'store')
        found.take_newest(records(9, (0, ConfigPublished(b'5'))), 'store')
        self.assertEqual(found.state.evacuated, frozenset())
        self.assertEqual(found.state.config.number, 5)


class RelayTest(unittest.TestCase):
    """A node that the store turns away."""

    def setUp(self):
        self.clock = Clock()
        self.words = words()
        self.sent = []
        self.links_asked = []
        self.link = self.peer('n2', 'east')
        self.far = self.peer('n3', 'west')
        links = {'n2': self.link, 'n3': self.far}
        peers = SimpleNamespace(broadcast=self.sent.append, link_to=links.get)
        self.readers = StoreReaders('n9', lambda: {'n2'})
        self.readers.is_sign_due = lambda now_s: False
        self.relay = ConfigRelay(
            self.words,
            peers,
            TimerService(self.clock),
            self.readers,
            Random(1),
        )

    def peer(self, name, domain):
        return SimpleNamespace(
            node_id=name,
            hello=SimpleNamespace(domain=domain),
            send=lambda message: (
                self.sent.append(message),
                self.links_asked.append(name),
            ),
        )

    def test_it_asks_the_one_that_is_ahead(self):
        """After it had the time to read the store itself."""
        self.relay.message(self.link, ConfigNotice(4))
        self.relay.check(0.1)
        self.assertEqual(self.sent, [])
        self.relay.check(0.5)
        self.assertEqual(self.sent, [ConfigRequest(0)])

    def test_it_asks_in_its_own_domain(self):
        """A big configuration crosses to a domain once, not for each node."""
        self.relay.message(self.far, ConfigNotice(5))
        self.relay.message(self.link, ConfigNotice(5))
        self.relay.check(0.5)
        self.assertEqual(self.links_asked, ['n2'])

    def test_a_node_that_does_not_read_asks_at_once(self):
        """It won't learn of the change from the store."""
        self.readers.is_reader = lambda now_s: False
        self.relay.message(self.link, ConfigNotice(5))
        self.relay.check(0.1)
        self.assertEqual(self.links_asked, ['n2'])

    def test_it_asks_one_node_at_a_time(self):
        """The copy is on its way; another would be a second one."""
        self.relay.message(self.link, ConfigNotice(5))
        self.relay.message(self.far, ConfigNotice(5))
        self.relay.check(0.5)
        self.relay.check(0.75)
        self.assertEqual(self.links_asked, ['n2'])
        self.relay.check(1.1)
        self.assertEqual(self.links_asked, ['n2', 'n3'])

    def test_it_asks_nobody_when_it_has_caught_up(self):
        """The usual case."""
        self.relay.message(self.link, ConfigNotice(4))
        self.words.take(records(4, (3, ConfigPublished(b'2'))), 'store')
        self.relay.message(self.link, ConfigNotice(4))
        self.relay.check(0.5)
        self.assertEqual(self.sent, [])

    def test_it_takes_what_it_is_told(self):
        """And tells others in turn."""
        told = ConfigResponse(4, zlib.compress(b'6', 1), ('west',))
        self.relay.message(self.link, told)
        self.assertEqual(self.words.state.config.number, 6)
        self.relay.message(self.link, ConfigRequest(0))
        self.assertEqual(self.sent, [told])
        self.relay.message(self.link, ConfigRequest(4))
        self.assertEqual(len(self.sent), 1)


class DrainTest(unittest.TestCase):
    """The steps of a node that is told to stop."""

    def test_it_serves_on_and_ends_when_idle(self):
        """Not before callers can have been sent elsewhere."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 0, 0) for tenth in range(30)]
        self.assertEqual(steps[13], DrainStep.SERVE_ON)
        self.assertEqual(steps[15], DrainStep.FINISH)
        self.assertEqual(steps.index(DrainStep.END), 23)

    def test_it_waits_for_what_runs(self):
        """Until shortly before it is killed."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 0, 1) for tenth in range(60)]
        self.assertEqual(steps.index(DrainStep.END), 54)

    def test_the_target_is_in_reach_while_callers_come(self):
        """It was out of reach for 4 s of a drain of 5.4 s."""
        drain = Drain(0, grace_s=6)
        steps = [drain.step(tenth / 10, 1, 2) for tenth in range(60)]
        self.assertEqual(steps.index(DrainStep.FINISH), 35)

    def test_idle_time_starts_anew_with_each_request(self):
        """A caller that still comes is served."""
        drain = Drain(0, grace_s=6)
        drain.step(2.2, 0, 0)
        drain.step(2.4, 1, 1)
        self.assertEqual(drain.step(2.5, 0, 0), DrainStep.FINISH)
        self.assertEqual(drain.step(2.9, 0, 0), DrainStep.END)


class SplitTest(unittest.TestCase):
    """Requests of a route between services."""

    def test_shares_follow_the_weights(self):
        """Over a short span too."""
        split = route(shares=(Share('a', 90), Share('b', 10)))
        splitter = Splitter()
        found = Counter(splitter.choose(split) for _ in range(20))
        self.assertEqual(found, {'a': 18, 'b': 2})

    def test_new_weights_hold_at_once(self):
        """Credit of a service that is gone is dropped."""
        splitter = Splitter()
        splitter.choose(route(shares=(Share('a', 1), Share('b', 1))))
        after = route(shares=(Share('a', 1), Share('c', 3)))
        found = Counter(splitter.choose(after) for _ in range(40))
        self.assertAlmostEqual(found['c'], 30, delta=1)


class RerunTest(unittest.TestCase):
    """Second sends over the fleet."""

    def test_a_storm_of_lost_answers_stays_within_the_ratio(self):
        """Each of 14 nodes loses every answer for ten seconds."""
        spent = 0
        firsts = 0
        for _ in range(14):
            budget = RerunBudget(0.2, 49)
            budget.set_node_count(14)
            for _ in range(300):
                firsts += 1
                budget.record_first_attempt('fees')
                spent += budget.spend('fees')
        self.assertLessEqual(spent, 0.2 * firsts / 2 + 49)
        self.assertGreater(spent, 0.05 * firsts)


class LogTest(unittest.TestCase):
    """Lines within bounds, whatever the reader does."""

    def setUp(self):
        self.reading, self.writing = os.pipe()
        self.addCleanup(os.close, self.reading)
        self.addCleanup(os.close, self.writing)
        self.now_s = 100.0
        os.set_blocking(self.reading, False)
        self.log = DecisionLog('n1', lambda: self.now_s, self.writing)

    def read(self):
        try:
            return os.read(self.reading, 1 << 20)
        except BlockingIOError:
            return b''

    def test_lines_of_a_kind_are_bounded_each_second(self):
        """And what was left out is counted."""
        for _ in range(1000):
            self.log.write(Kind.REFUSED, 'request_shed', request='a')
        self.now_s = 101.0
        self.log.write(Kind.REFUSED, 'request_shed', request='b')
        lines = self.read().decode().splitlines()
        self.assertEqual(len(lines), LINES_PER_S[Kind.REFUSED] + 2)
        self.assertIn('count=960', lines[-2])

    def test_a_reader_that_stops_costs_lines_and_no_time(self):
        """Ten times the load against a full pipe; nothing blocks."""
        for second in range(300):
            self.now_s = 100.0 + second
            for _ in range(100):
                self.log.write(Kind.FAILED, 'run_failed', request='a' * 60)
        self.assertLessEqual(len(self.log._pending), MAX_PENDING_LINES)
        read = b''
        for _ in range(20):
            read += self.read()
            self.log.flush()
        self.now_s += 1
        self.log.write(Kind.FAILED, 'run_failed', request='last')
        read += self.read()
        self.assertIn(b'event=lines_dropped', read)
