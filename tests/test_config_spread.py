"""Spread of a configuration over three failure domains, with faults.

Only nodes that the store serves read it; the others depend on readers of their
domain, and a domain that the store refuses as a whole on its gateways.
"""

import unittest
from random import Random

from mesh_samples import RecordingLog, config
from result import Ok
from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.mesh.fleet.link_plan import LinkFacts, LinkPlan
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    OperatorRecord,
    OperatorRecords,
)
from rattanstile.process.mesh.store.config_relay import ConfigRelay
from rattanstile.process.mesh.store.operator_state import OperatorState
from rattanstile.process.mesh.store.store_readers import StoreReaders
from rattanstile.process.timers import TimerService

DOMAINS = ('east', 'south', 'west')
NODES_PER_DOMAIN = 13
IN_FORCE_S = 4.0
"""Time within which a configuration must be in force everywhere."""
HOP_S = 0.002
CHECK_PERIOD_S = 0.25


class Link:
    """The connection of one node to another, as the first one sees it."""

    def __init__(self, fleet, source, target):
        self.node_id = target
        self._fleet = fleet
        self._source = source

    def send(self, message):
        self._fleet.deliver(self._source, self.node_id, message)


class Node:
    """The parts of a node that spread the operators' state."""

    def __init__(self, fleet, member, clock):
        self.member = member
        self.state = OperatorState(
            lambda document: Ok(config(number=int(document))),
            lambda before: self.relay.broadcast_notice(),
            RecordingLog(),
            clock.seconds,
        )
        self.plan = LinkPlan(member.node_id, member.domain)
        self.peers = Peers(fleet, member.node_id)
        self.readers = StoreReaders(
            member.node_id, lambda: fleet.near(member.node_id)
        )
        self.relay = ConfigRelay(
            self.state,
            self.peers,
            TimerService(clock),
            self.readers,
            lambda: self.plan.is_gateway,
            Random(1),
        )

    @property
    def version(self):
        found = self.state.state.config
        return 0 if found is None else found.number


class Peers:
    """The connections of one node."""

    def __init__(self, fleet, node_id):
        self._fleet = fleet
        self._node_id = node_id

    def link_to(self, node_id):
        if node_id in self._fleet.kept[self._node_id]:
            return Link(self._fleet, self._node_id, node_id)
        return None

    def broadcast(self, message, *, near_only):
        for other in self._fleet.callers_of(self._node_id):
            if not near_only or self._fleet.are_near(self._node_id, other):
                self._fleet.deliver(self._node_id, other, message)


class Fleet:
    """Nodes whose messages take `HOP_S`; faults are set by the tests.

    Attributes:
        refused: Nodes that the store doesn't serve.
        dead: Nodes whose processes have ended.
        frozen: Nodes that do nothing; what they receive waits.
        cut: Pairs of nodes; nothing passes from the first to the second.
    """

    def __init__(self):
        self.clock = Clock()
        self.refused = set()
        self.dead = set()
        self.frozen = set()
        self.cut = set()
        self.published = []
        self.delayed = []
        members = [
            PeerMember(f'{domain}-{number:02}', f'{domain}:1', 'fees', domain)
            for domain in DOMAINS
            for number in range(NODES_PER_DOMAIN)
        ]
        self.nodes = {
            member.node_id: Node(self, member, self.clock) for member in members
        }
        for node in self.nodes.values():
            others = [each for each in members if each is not node.member]
            node.plan.set_members(others)
        self.kept = {}
        self._plan()

    def near(self, node_id):
        return [
            other
            for other in self.nodes
            if other != node_id
            and self.are_near(node_id, other)
            and other not in self.dead
        ]

    def are_near(self, one, other):
        nodes = self.nodes
        return nodes[one].member.domain == nodes[other].member.domain

    def callers_of(self, node_id):
        return [other for other, kept in self.kept.items() if node_id in kept]

    def deliver(self, source, target, message):
        if source in self.dead or (source, target) in self.cut:
            return
        self.clock.callLater(HOP_S, self._receive, source, target, message)

    def publish(self, version):
        self.published.append(version)

    def run(self, seconds):
        for _ in range(round(seconds / CHECK_PERIOD_S)):
            for _ in range(10):
                self.clock.advance(CHECK_PERIOD_S / 10)
            self._thaw()
            self._plan()
            for node_id in self.nodes:
                if node_id not in self.dead | self.frozen:
                    self._check(node_id)

    def behind(self, version):
        """Return the living nodes where an older version is in force."""
        return {
            node_id
            for node_id, node in self.nodes.items()
            if node.version != version and node_id not in self.dead
        }

    def _plan(self):
        facts = LinkFacts(
            evacuated=frozenset,
            is_failing=lambda node_id, for_s: node_id in self.dead,
            accepts_calls=lambda node_id: True,
            has_room=lambda domain, service: None,
        )
        now_s = self.clock.seconds()
        self.kept = {
            node_id: node.plan.wanted(now_s, facts) - self.dead
            for node_id, node in self.nodes.items()
            if node_id not in self.dead
        }

    def _check(self, node_id):
        node = self.nodes[node_id]
        is_served = node_id not in self.refused
        if node.relay.is_reader():
            if is_served:
                self._read(node)
            if node.relay._can_read != is_served:
                node.relay.set_store_readable(can_read=is_served)
        node.relay.check(self.clock.seconds())

    def _read(self, node):
        known = node.state.state.offset
        fresh = enumerate(self.published[known:], known)
        records = tuple(
            OperatorRecord(offset, ConfigPublished(str(version).encode()))
            for offset, version in fresh
        )
        if records:
            node.state.apply_records(
                OperatorRecords(records, len(self.published)), 'store'
            )

    def _receive(self, source, target, message):
        if target in self.dead:
            return
        if target in self.frozen:
            self.delayed.append((source, target, message))
            return
        relay = self.nodes[target].relay
        relay.message(Link(self, target, source), message)

    def _thaw(self):
        waiting = self.delayed
        self.delayed = []
        for source, target, message in waiting:
            self._receive(source, target, message)


class SpreadTest(unittest.TestCase):
    """A key is withdrawn with version 2, five seconds after version 1."""

    def setUp(self):
        self.fleet = Fleet()

    def start(self, refused_domains=()):
        self.fleet.refused = {
            node_id
            for node_id, node in self.fleet.nodes.items()
            if node.member.domain in refused_domains
        }
        self.fleet.publish(1)
        self.fleet.run(5)
        self.assertEqual(self.fleet.behind(1), set())
        self.fleet.publish(2)

    def test_all_nodes_have_it_in_time(self):
        """Few of them read it."""
        self.start()
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.behind(2), set())

    def test_domain_that_the_store_refuses_has_it_in_time(self):
        """From the gateways of the other domains."""
        self.start(refused_domains=('east',))
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.behind(2), set())

    def test_gateway_killed_before_it_passes_it_on(self):
        """Two of three, one after the other."""
        self.start(refused_domains=('east',))
        for gateway in ('east-00', 'east-01'):
            self.fleet.run(0.25)
            self.fleet.dead.add(gateway)
        self.fleet.run(IN_FORCE_S - 0.5)
        self.assertEqual(self.fleet.behind(2), set())

    def test_frozen_gateways_don_t_delay_the_others(self):
        """Two are frozen for two seconds, and catch up after it."""
        self.start(refused_domains=('east',))
        self.fleet.frozen = {'east-00', 'east-01'}
        self.fleet.run(2.0)
        self.assertLessEqual(self.fleet.behind(2), self.fleet.frozen)
        self.fleet.frozen = set()
        self.fleet.run(IN_FORCE_S - 2.0)
        self.assertEqual(self.fleet.behind(2), set())

    def test_gateway_cut_one_way(self):
        """It hears the other domains, and its own domain doesn't hear it."""
        self.start(refused_domains=('east',))
        self.fleet.cut = {
            ('east-00', node_id)
            for node_id in self.fleet.nodes
            if node_id.startswith('east')
        }
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.behind(2), set())

    def test_readers_killed_after_reading(self):
        """Before the others of their domain have a copy."""
        self.start()
        self.fleet.run(0.25)
        self.fleet.dead = {f'west-{number}' for number in (10, 11, 12)}
        self.fleet.run(IN_FORCE_S)
        self.assertEqual(self.fleet.behind(2), set())

    def test_restarted_node_never_has_the_older_version(self):
        """Its peers have the newer one."""
        self.start()
        self.fleet.run(2.0)
        node_id = 'south-05'
        member = self.fleet.nodes[node_id].member
        fresh = Node(self.fleet, member, self.fleet.clock)
        fresh.plan = self.fleet.nodes[node_id].plan
        self.fleet.nodes[node_id] = fresh
        seen = set()
        for _ in range(12):
            self.fleet.run(0.25)
            seen.add(fresh.version)
        self.assertEqual(seen - {0}, {2})
