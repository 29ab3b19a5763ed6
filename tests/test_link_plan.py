"""Which nodes a node is connected to, in fleets of every size."""

import unittest
from collections import Counter

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.process.mesh.fleet.link_plan import (
    GATEWAYS_PER_DOMAIN,
    MAX_NEAR_PER_SERVICE,
    MIN_CANDIDATES,
    SPILL_CANDIDATES,
    SPILL_FOR_S,
    LinkFacts,
    LinkPlan,
)

DOMAINS = ('d1', 'd2', 'd3', 'd4', 'd5')


def fleet(nodes_per_domain, services):
    """Return members; service i has `services[i]` of ten nodes of a domain."""
    names = [
        f's{index}' for index, count in enumerate(services) for _ in [0] * count
    ]
    return [
        PeerMember(
            f'{domain}-{number:04}',
            f'{domain}.{number}:1',
            names[number % len(names)],
            domain,
        )
        for domain in DOMAINS
        for number in range(nodes_per_domain)
    ]


class Facts:
    """Facts that a test changes."""

    def __init__(self, members):
        self.evacuated = set()
        self.failing = set()
        self.full = set()
        self.refusing = set()
        self.connected = {member.node_id for member in members}

    def made(self):
        return LinkFacts(
            evacuated=lambda: self.evacuated,
            is_failing=lambda node_id, for_s: node_id in self.failing,
            accepts_calls=self.accepts_calls,
            has_room=lambda domain, service: domain not in self.full,
        )

    def accepts_calls(self, node_id):
        if node_id not in self.connected:
            return None
        return node_id not in self.refusing


class Node:
    """One node that plans."""

    def __init__(self, members, node_id='d1-0005'):
        self.members = {member.node_id: member for member in members}
        self.facts = Facts(members)
        self.own = self.members[node_id]
        self.plan = LinkPlan(node_id, self.own.domain)
        self.plan.set_members(
            [member for member in members if member.node_id != node_id]
        )

    def wanted(self, now_s=0.0):
        return self.plan.wanted(now_s, self.facts.made())

    def far(self, now_s=0.0):
        return {
            node_id
            for node_id in self.wanted(now_s)
            if self.members[node_id].domain != self.own.domain
        }

    def call(self, service, now_s=0.0, *, is_short=False):
        return self.plan.record_call(now_s, service, is_short=is_short)


class BoundTest(unittest.TestCase):
    """What a node is connected to doesn't grow with the fleet."""

    def test_small_fleet_is_fully_connected(self):
        """Five nodes a domain, with four services of one node or two each."""
        members = fleet(3, (1, 1, 1))
        node = Node(members, 'd1-0002')
        for service in ('s0', 's1', 's2'):
            node.call(service)
        self.assertEqual(len(node.wanted()), len(members) - 1)

    def test_entries_that_lead_nowhere_take_no_place(self):
        """Entries of VMs long gone filled the subset for 90 s."""
        members = fleet(3 * MAX_NEAR_PER_SERVICE, (1,))
        node = Node(members)
        gone = node.wanted()
        node.facts.failing.update(gone)
        self.assertGreaterEqual(
            len(node.wanted() - gone), MAX_NEAR_PER_SERVICE - 1
        )
        node.facts.failing.update(node.members)
        self.assertEqual(len(node.wanted()), len(gone))

    def test_connections_are_bounded_at_every_size(self):
        """At 195 nodes each was connected to 194, twice."""
        for nodes_per_domain in (16, 39, 300, 2800):
            members = fleet(nodes_per_domain, (4, 3, 2, 1))
            node = Node(members)
            for service in ('s0', 's1', 's2', 's3'):
                node.call(service, is_short=True)
            near = min(nodes_per_domain, 4 * MAX_NEAR_PER_SERVICE + 3)
            far = 4 * (MIN_CANDIDATES + SPILL_CANDIDATES)
            far += len(DOMAINS) * GATEWAYS_PER_DOMAIN
            with self.subTest(nodes_per_domain=nodes_per_domain):
                self.assertLessEqual(len(node.wanted()), near + far)

    def test_each_node_is_in_about_as_many_subsets(self):
        """A large domain: each target is known to enough others."""
        members = fleet(300, (9, 1))
        chosen = Counter()
        for number in range(300):
            chosen.update(Node(members, f'd1-{number:04}').wanted())
        counts = [
            chosen[member.node_id]
            for member in members
            if member.domain == 'd1' and member.service == 's0'
        ]
        mean = sum(counts) / len(counts)
        self.assertGreater(min(counts), mean / 3)

    def test_far_nodes_of_a_service_are_spread_over_its_nodes(self):
        """Two targets in a domain must not get the calls of all others."""
        members = fleet(39, (18, 11, 8, 2))
        chosen = Counter()
        for number in range(39):
            node = Node(members, f'd1-{number:04}')
            node.call('s3')
            chosen.update(
                node_id
                for node_id in node.far()
                if node.members[node_id].service == 's3'
            )
        self.assertLess(max(chosen.values()), 39)
        self.assertGreater(len(chosen), 3)


class GatewayTest(unittest.TestCase):
    """The nodes that connect the domains."""

    def setUp(self):
        self.members = fleet(39, (1,))

    def test_other_nodes_have_no_far_connections(self):
        """Until they call a service that has few targets nearby."""
        self.assertEqual(Node(self.members).far(), set())

    def test_gateways_are_connected_to_those_of_each_domain(self):
        """Two of them may be lost at once."""
        node = Node(self.members, 'd1-0001')
        far = node.far()
        self.assertEqual(len(far), 4 * GATEWAYS_PER_DOMAIN)
        self.assertTrue(node.plan.is_gateway)

    def test_next_node_replaces_a_gateway_that_is_lost(self):
        """On both sides."""
        node = Node(self.members, 'd1-0003')
        self.assertEqual(node.far(), set())
        node.facts.failing = {'d1-0000', 'd2-0001'}
        self.assertIn('d2-0003', node.far())
        self.assertNotIn('d2-0001', node.far())
        self.assertTrue(node.plan.is_gateway)


class SpillTest(unittest.TestCase):
    """Services that lack room in a node's own failure domain."""

    def setUp(self):
        self.members = fleet(40, (6, 3, 1))
        self.node = Node(self.members)

    def test_service_with_few_targets_nearby_gets_some_far_ones(self):
        """It has four nodes in the domain."""
        self.assertTrue(self.node.call('s2'))
        far = self.node.far()
        self.assertEqual(len(far), MIN_CANDIDATES - 4)

    def test_service_without_room_gets_more(self):
        """For a while."""
        self.node.call('s0')
        self.assertEqual(self.node.far(), set())
        self.assertTrue(self.node.call('s0', 1.0, is_short=True))
        self.assertFalse(self.node.call('s0', 1.1, is_short=True))
        far = self.node.far(1.2)
        self.assertEqual(len(far), MIN_CANDIDATES + SPILL_CANDIDATES)
        self.assertEqual(self.node.far(1.2 + SPILL_FOR_S), set())

    def test_domains_with_room_come_first(self):
        """Digests show which ones have room."""
        self.node.facts.full = {'d2', 'd3', 'd4'}
        self.node.call('s0', is_short=True)
        domains = {self.node.members[each].domain for each in self.node.far()}
        self.assertEqual(domains, {'d5'})

    def test_evacuated_domains_get_no_calls(self):
        """Nor does the node's own, whose callers still come."""
        self.node.facts.evacuated = {'d1', 'd2'}
        self.node.call('s0')
        domains = {self.node.members[each].domain for each in self.node.far()}
        self.assertEqual(len(self.node.far()), MIN_CANDIDATES)
        self.assertNotIn('d2', domains)

    def test_nodes_that_refuse_calls_are_replaced(self):
        """Their targets leave; a few more are connected to."""
        self.node.call('s2')
        first = self.node.far()
        self.node.facts.refusing = set(first)
        self.assertEqual(len(self.node.far() - first), 1)

    def test_unused_service_keeps_no_connections(self):
        """The connections are closed once they are idle."""
        self.node.call('s2')
        self.assertEqual(self.node.far(30.0), set())
