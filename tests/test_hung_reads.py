"""Reads of the store that are never answered, on connections that stay open."""

import unittest
from random import Random
from struct import Struct
from types import SimpleNamespace
from urllib.parse import parse_qs, urlsplit

from mesh_samples import RecordingLog
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.platform.store import PlatformStore
from rattanstile.process.mesh.store.config_relay import ConfigRelay
from rattanstile.process.mesh.store.operator_state import OperatorState
from rattanstile.process.mesh.store.store_follower import StoreFollower
from rattanstile.process.mesh.store.store_readers import StoreReaders
from rattanstile.process.mesh.store.store_retry import StoreRetry
from rattanstile.process.timers import TimerService

STEP_S = 0.05
IN_TOUCH_S = 3.0
"""Time after a fault of the store after which versions are in force again."""
IN_FORCE_S = 2.0
MAX_QUIET_READS_PER_S = 1.0

_LENGTH = Struct('>I')
_READ_HEADER = Struct('>QQ')


class Exchange:
    """One call of a node, until it is answered or abandoned."""

    def __init__(self, clock, node_id, encoded, timeout_s):
        self.node_id = node_id
        path = encoded.split(b' ', 2)[1].decode()
        url = urlsplit(path)
        query = parse_qs(url.query)
        self.is_newest = url.path.endswith('newest')
        self.start = int(query.get('from', ['0'])[0])
        self.wait_s = int(query.get('waitMs', ['0'])[0]) / 1000
        self.is_lost = False
        self.result = Deferred(lambda _: self.end(ExchangeFailure.ABANDONED))
        self._timer = clock.callLater(
            timeout_s, self.end, ExchangeFailure.ABANDONED
        )

    def end(self, result):
        if not self.result.called:
            if self._timer.active():
                self._timer.cancel()
            self.result.callback(result)


class LossyStore:
    """The log of one topic, whose answers get lost while it is told so."""

    def __init__(self, clock):
        self.clock = clock
        self.loses_answers = False
        self.turned_away = set()
        self.calls = 0
        self.records = []
        self._waiting = []

    def exchanger(self, node_id):
        return SimpleNamespace(
            send=lambda encoded, timeout_s: self._send(
                node_id, encoded, timeout_s
            )
        )

    def publish(self, version):
        document = b'{"version":%d,"routes":[],"services":[]}' % version
        self.records.append(b'\x06config' + document)
        waiting, self._waiting = self._waiting, []
        for exchange in waiting:
            self._answer(exchange)

    def _send(self, node_id, encoded, timeout_s):
        self.calls += 1
        exchange = Exchange(self.clock, node_id, encoded, timeout_s)
        if node_id in self.turned_away:
            return exchange.result
        if exchange.is_newest or exchange.start < len(self.records):
            self._answer(exchange)
        else:
            self._waiting.append(exchange)
            self.clock.callLater(exchange.wait_s, self._answer, exchange)
        return exchange.result

    def _answer(self, exchange):
        if self.loses_answers or exchange.node_id in self.turned_away:
            exchange.is_lost = True
        if not exchange.is_lost:
            exchange.end(HttpResponse(200, b'OK', (), self._body(exchange)))

    def _body(self, exchange):
        if exchange.is_newest:
            return b'{"items":[],"end":0}'
        parts = [_READ_HEADER.pack(len(self.records), 0)]
        for record in self.records[exchange.start :]:
            parts.extend((_LENGTH.pack(len(record)), record))
        return b''.join(parts)


class Node:
    """The parts of a node that follow the store and spread what it says."""

    def __init__(self, fleet, node_id):
        clock = fleet.clock
        self.node_id = node_id
        self._fleet = fleet
        store = PlatformStore(fleet.store.exchanger(node_id))
        log = RecordingLog()
        self.state = OperatorState(
            store.decode_config,
            lambda _: self.relay.broadcast_notice(),
            log,
            clock.seconds,
        )
        self.relay = ConfigRelay(
            self.state,
            self,
            TimerService(clock),
            StoreReaders(node_id, lambda: fleet.others(node_id)),
            lambda: False,
            Random(1),
        )
        retry = StoreRetry(clock, Random(1))
        self.follower = StoreFollower(
            store, retry, self.state, self.relay, None, log
        )
        self.following = Deferred.fromCoroutine(self.follower._follow())

    @property
    def version(self):
        config = self.state.state.config
        return 0 if config is None else config.number

    def check(self, now_s):
        self.relay.check(now_s)
        self.follower.check(now_s)

    def broadcast(self, message, *, near_only):
        for other in self._fleet.others(self.node_id):
            self._fleet.deliver(self.node_id, other, message)

    def link_to(self, node_id):
        return SimpleNamespace(
            node_id=node_id,
            send=lambda message: self._fleet.deliver(
                self.node_id, node_id, message
            ),
        )


class Fleet:
    """The nodes of one failure domain, all connected."""

    def __init__(self, count):
        self.clock = Clock()
        self.store = LossyStore(self.clock)
        self.nodes = {}
        for number in range(count):
            node_id = f'n{number}'
            self.nodes[node_id] = Node(self, node_id)

    def others(self, node_id):
        return [other for other in self.nodes if other != node_id]

    def deliver(self, source, target, message):
        receiver = self.nodes[target]
        self.clock.callLater(
            STEP_S,
            lambda: receiver.relay.message(receiver.link_to(source), message),
        )

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for node in self.nodes.values():
                node.check(self.clock.seconds())

    def versions(self):
        return {node.version for node in self.nodes.values()}


class HungReadTest(unittest.TestCase):
    """Five nodes, three of which read."""

    def setUp(self):
        self.fleet = Fleet(5)
        self.store = self.fleet.store
        self.fleet.run(5.0)
        self.store.publish(1)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.versions(), {1})

    def test_version_after_lost_answers_is_in_force_in_time(self):
        """All reads hung for up to 26.5 s: added keys got 401, routes 404."""
        self.store.loses_answers = True
        self.store.publish(2)
        self.fleet.run(2.0)
        self.store.loses_answers = False
        self.fleet.run(IN_TOUCH_S)
        self.store.publish(3)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.versions(), {3})

    def test_version_during_lost_answers_is_in_force_after_them(self):
        """Without a later one that would show that it was missed."""
        self.store.loses_answers = True
        self.store.publish(2)
        self.fleet.run(2.0)
        self.store.loses_answers = False
        self.fleet.run(IN_TOUCH_S)
        self.assertEqual(self.fleet.versions(), {2})

    def test_readers_turned_away_in_silence_are_replaced(self):
        """They went on saying that they read, so that no other node did."""
        self.store.turned_away = {'n2', 'n3', 'n4'}
        self.fleet.run(30.0)
        self.store.publish(2)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.versions(), {2})

    def test_one_node_that_is_served_is_enough(self):
        """Reads that began before the node became the first reader hang too."""
        self.store.turned_away = {'n1', 'n2', 'n3', 'n4'}
        self.fleet.run(10.0)
        self.store.publish(2)
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.versions(), {2})

    def test_quiet_store_is_rarely_read(self):
        """Its calls are counted by all users of the store."""
        calls = self.store.calls
        self.fleet.run(60.0)
        calls_per_s = (self.store.calls - calls) / 60.0
        self.assertLess(calls_per_s, MAX_QUIET_READS_PER_S)
