"""Connections between the nodes of a fleet."""

import random
import unittest

import msgspec
from mesh_samples import RecordingLog, served_call

from rattanstile.connection.peer_link import DROP_AFTER_S, NodePlace, PeerLink
from rattanstile.connection.peer_messages import (
    CallRequest,
    ConfigNotice,
    PeerHello,
    PeerMember,
    TargetLoad,
    encode_peer_frame,
)
from rattanstile.connection.peer_pool import (
    FAILURE_MEMORY_S,
    PASSIVE_DELAY_S,
    REDUNDANT_LINK_S,
    UNREACHABLE_MEMBER_TIMEOUT_S,
    PeerPool,
)
from rattanstile.connection.peer_traffic import TrafficKind
from rattanstile.connection.request_memory import MemoryShare
from rattanstile.process.timers import TimerService
from tests.transports import (
    FakeReactor,
    FakeTcpTransport,
    InMemoryLink,
    connect,
    lose_connection,
)


class Node:
    """A pool and the events that it reports."""

    def __init__(self, node_id, domain='east', incarnation=1):
        self.reactor = FakeReactor()
        address = f'10.0.0.{node_id.removeprefix("n")}:1'
        self.member = PeerMember(node_id, address, 'registry', domain)
        self.incarnation = incarnation
        self.events = []
        self.messages = []
        self.busy_links = set()
        self.pool = PeerPool(
            self.reactor,
            TimerService(self.reactor),
            NodePlace(node_id, domain),
            self,
            RecordingLog(),
            random.Random(1),
        )

    def hello(self):
        member = self.member
        return PeerHello(
            member.node_id,
            member.address,
            member.service,
            member.domain,
            self.incarnation,
            0,
            TargetLoad(),
        )

    def peer_ready(self, link):
        self.events.append(('ready', link.node_id))

    def peer_joined(self, link):
        self.events.append(('joined', link.node_id))

    def peer_lost(self, link):
        self.events.append(('lost', link.node_id))

    def peer_message(self, link, message):
        self.messages.append(message)

    def serves_calls_of(self, link):
        return link in self.busy_links

    def know(self, other):
        self.pool.add_member(other.member)
        self.pool.keep_only([other.member.node_id])

    def advance(self, seconds):
        """Advance the clock, checking the connections on the way."""
        for _ in range(round(seconds / 0.25)):
            self.reactor.advance(0.25)
            self.pool.check(self.reactor.seconds())

    def link_to(self, other):
        return self.pool.link_to(other.member.node_id)


def accept(opener, server):
    """Complete the connection that a node has requested from another one."""
    inbound = PeerLink(server.pool, None)
    connect(inbound)
    wire = InMemoryLink(opener.reactor.complete_connection(), inbound)
    wire.pump()
    return wire


class PairTest(unittest.TestCase):
    """Two nodes of one failure domain."""

    def setUp(self):
        self.first = Node('n1')
        self.second = Node('n2')

    def test_both_send_calls_on_one_connection(self):
        """The node with the smaller ID opens it."""
        self.first.know(self.second)
        self.second.know(self.first)
        self.assertEqual(len(self.first.reactor.factories), 1)
        self.assertEqual(self.second.reactor.factories, [])
        wire = accept(self.first, self.second)
        self.second.reactor.advance(PASSIVE_DELAY_S)
        self.assertEqual(self.second.reactor.factories, [])
        call = CallRequest(1, served_call())
        self.second.link_to(self.first).send(call)
        self.first.link_to(self.second).send(call)
        wire.pump()
        self.assertEqual(self.first.messages, [call])
        self.assertEqual(self.second.messages, [call])

    def test_larger_id_connects_if_the_smaller_does_not(self):
        """The smaller one may not know it yet."""
        self.second.know(self.first)
        self.second.reactor.advance(PASSIVE_DELAY_S)
        accept(self.second, self.first)
        self.assertIsNotNone(self.second.link_to(self.first))
        self.assertIsNotNone(self.first.link_to(self.second))

    def test_both_use_the_same_of_two_connections(self):
        """They connected to each other at the same moment."""
        self.first.know(self.second)
        self.second.know(self.first)
        self.second.reactor.advance(PASSIVE_DELAY_S)
        redundant = accept(self.second, self.first)
        accept(self.first, self.second)
        self.assertTrue(self.first.link_to(self.second).is_outbound)
        self.assertFalse(self.second.link_to(self.first).is_outbound)
        self.second.advance(REDUNDANT_LINK_S + 0.5)
        self.assertTrue(redundant.ends[0].transport.aborted)
        self.assertIsNotNone(self.second.link_to(self.first))

    def test_redundant_connection_stays_while_it_serves_calls(self):
        """Closing it would lose their answers."""
        self.first.know(self.second)
        self.second.know(self.first)
        self.second.reactor.advance(PASSIVE_DELAY_S)
        redundant = accept(self.second, self.first)
        accept(self.first, self.second)
        self.second.busy_links.add(redundant.ends[0])
        self.second.advance(REDUNDANT_LINK_S + 0.5)
        self.assertFalse(redundant.ends[0].transport.aborted)

    def test_connection_of_an_ended_process_is_replaced_at_once(self):
        """After a power loss the old one is open for seconds."""
        self.first.know(self.second)
        accept(self.first, self.second)
        old = self.first.link_to(self.second)
        restarted = Node('n2', incarnation=2)
        restarted.know(self.first)
        restarted.reactor.advance(PASSIVE_DELAY_S)
        accept(restarted, self.first)
        self.assertTrue(old.transport.aborted)
        self.assertIsNot(self.first.link_to(self.second), old)
        self.assertIsNotNone(self.first.link_to(self.second))

    def test_lost_connection_is_reopened(self):
        """By the node that keeps it."""
        self.first.know(self.second)
        wire = accept(self.first, self.second)
        lose_connection(wire.ends[0])
        self.assertIsNone(self.first.link_to(self.second))
        self.first.reactor.advance(0.2)
        self.assertEqual(len(self.first.reactor.factories), 2)

    def test_node_that_never_says_hello_is_given_up(self):
        """Its kernel accepts while the process is paused."""
        self.first.know(self.second)
        link = self.first.reactor.complete_connection()
        self.first.advance(DROP_AFTER_S + 0.5)
        self.assertTrue(link.transport.aborted)

    def test_failed_node_is_tried_again_after_a_while(self):
        """It is no longer wanted, but may be later."""
        self.first.know(self.second)
        self.first.reactor.refuse_connection()
        self.assertTrue(self.first.pool.is_failing('n2', 0))
        self.first.pool.keep_only([])
        self.first.reactor.advance(FAILURE_MEMORY_S + 1)
        self.assertFalse(self.first.pool.is_failing('n2', 0))


class UnfinishedFrameTest(unittest.TestCase):
    """Large frames of two nodes, more than the memory allows."""

    def setUp(self):
        self.node = Node('n1')
        self.node.pool.memory = MemoryShare(400_000)
        self.largest, self.other = self.link('n2'), self.link('n3')
        call = CallRequest(1, served_call(body=b'x' * 400_000))
        self.frame = encode_peer_frame(call)
        self.largest.dataReceived(self.frame[:250_000])
        self.other.dataReceived(self.frame[:150_000])

    def link(self, node_id):
        link = PeerLink(self.node.pool, None)
        connect(link)
        link.dataReceived(encode_peer_frame(Node(node_id).hello()))
        return link

    def test_sender_that_stalls_is_given_up(self):
        """Nothing was awaited of it, so that all others waited for good."""
        self.assertFalse(self.other.transport.is_reading)
        self.node.advance(DROP_AFTER_S + 0.5)
        self.assertTrue(self.largest.transport.aborted)
        self.assertFalse(self.other.transport.aborted)
        lose_connection(self.largest)
        self.node.advance(0.25)
        self.assertTrue(self.other.transport.is_reading)
        self.node.advance(DROP_AFTER_S / 2)
        self.other.dataReceived(self.frame[150_000:])
        self.assertEqual(len(self.node.messages), 1)

    def test_sender_that_is_slow_goes_on(self):
        """A slow network is no reason to end its calls."""
        for start in range(250_000, 300_000, 10_000):
            self.node.advance(DROP_AFTER_S / 2)
            self.largest.dataReceived(self.frame[start : start + 10_000])
        self.assertFalse(self.largest.transport.aborted)
        self.assertFalse(self.other.transport.aborted)


class StaleEntryTest(unittest.TestCase):
    """Entries that were true once, or that somebody else has written."""

    def setUp(self):
        self.own = Node('n1')
        self.other = Node('n2')

    def entry(self, **changes):
        return msgspec.structs.replace(self.other.member, **changes)

    def connect(self):
        self.own.know(self.other)
        accept(self.own, self.other)
        return self.own.link_to(self.other)

    def test_connected_node_stays_at_its_address(self):
        """Its entry is older than the address that it has said itself."""
        link = self.connect()
        self.own.pool.add_member(self.entry(address='10.0.0.9:1'))
        self.assertIs(self.own.link_to(self.other), link)
        self.assertFalse(link.transport.aborted)

    def test_address_of_a_connected_node_stays_its_own(self):
        """The entry is of a node that had the address before."""
        link = self.connect()
        self.own.pool.add_member(self.entry(node_id='n0'))
        self.assertIs(self.own.link_to(self.other), link)
        self.assertFalse(link.transport.aborted)

    def test_node_that_says_hello_takes_over_an_address(self):
        """The connection to the one before it isn't lost yet."""
        old = self.connect()
        successor = Node('n3')
        successor.member = self.entry(node_id='n3')
        successor.know(self.own)
        successor.reactor.advance(PASSIVE_DELAY_S)
        accept(successor, self.own)
        self.assertTrue(old.transport.aborted)
        self.assertIsNotNone(self.own.pool.link_to('n3'))
        self.assertIsNone(self.own.pool.link_to('n2'))

    def test_node_that_says_hello_from_another_address_is_there(self):
        """Its process has moved with its ID."""
        old = self.connect()
        moved = Node('n2', incarnation=2)
        moved.member = self.entry(address='10.0.0.9:1')
        moved.know(self.own)
        moved.reactor.advance(PASSIVE_DELAY_S)
        accept(moved, self.own)
        self.assertTrue(old.transport.aborted)
        self.assertIn(moved.member, self.own.pool.connected())

    def test_entry_that_leads_to_the_node_itself_is_forgotten(self):
        """A node that had its address before has left it behind."""
        own_address = self.own.member.address
        self.own.pool.add_member(self.entry(node_id='n3', address=own_address))
        self.own.pool.keep_only(['n3'])
        wire = accept(self.own, self.own)
        self.assertTrue(all(end.transport.aborted for end in wire.ends))
        self.assertEqual(self.own.pool.known_members(), ())
        self.assertEqual(self.own.events, [])

    def test_entry_that_leads_nowhere_delays_no_other(self):
        """It is tried a bounded number of times, then forgotten."""
        self.own.pool.add_member(self.entry(node_id='n0', address='10.0.0.9:1'))
        self.own.pool.add_member(self.other.member)
        self.own.pool.keep_only(['n0', 'n2'])
        accept(self.own, self.other)
        attempts = 0
        while self.own.reactor.seconds() < UNREACHABLE_MEMBER_TIMEOUT_S + 5:
            if len(self.own.reactor.factories) > attempts + 1:
                attempts += 1
                self.own.reactor.refuse_connection()
            self.own.reactor.advance(0.05)
        self.assertGreater(attempts, 0)
        self.assertLess(attempts, 3 * UNREACHABLE_MEMBER_TIMEOUT_S)
        self.assertIsNotNone(self.own.link_to(self.other))
        self.assertEqual(self.own.pool.known_members(), (self.other.member,))


class FarTest(unittest.TestCase):
    """Two nodes of different failure domains."""

    def setUp(self):
        self.caller = Node('n1')
        self.server = Node('n2', 'west')
        self.caller.know(self.server)
        self.wire = accept(self.caller, self.server)

    def test_only_the_opener_sends_calls(self):
        """So it can close the connection when it needs it no longer."""
        self.assertIsNotNone(self.caller.link_to(self.server))
        self.assertIsNone(self.server.link_to(self.caller))
        self.assertEqual(self.server.events, [('joined', 'n1')])

    def test_unneeded_connection_is_closed_when_idle(self):
        """Not while an answer is awaited."""
        link = self.caller.link_to(self.server)
        link.expect_response()
        self.caller.pool.keep_only([])
        self.caller.advance(REDUNDANT_LINK_S + 0.5)
        self.assertFalse(link.transport.aborted)
        link.response_received()
        self.caller.advance(0.5)
        self.assertTrue(link.transport.aborted)

    def test_needed_again_connection_stays(self):
        """The service is short of room once more."""
        link = self.caller.link_to(self.server)
        self.caller.pool.keep_only([])
        self.caller.advance(REDUNDANT_LINK_S - 0.5)
        self.caller.pool.keep_only(['n2'])
        self.caller.advance(REDUNDANT_LINK_S)
        self.assertFalse(link.transport.aborted)

    def test_load_is_reported_to_callers_only(self):
        """Reports for the own domain don't leave it."""
        notice = ConfigNotice(3)
        self.server.pool.broadcast(notice, near_only=True)
        self.caller.pool.broadcast(notice, near_only=False)
        self.wire.pump()
        self.assertEqual(self.caller.messages + self.server.messages, [])
        self.server.pool.broadcast(notice, near_only=False)
        self.wire.pump()
        self.assertEqual(self.caller.messages, [notice])

    def test_traffic_is_counted_by_kind_and_distance(self):
        """Traffic between failure domains costs most."""
        self.server.pool.broadcast(ConfigNotice(3), near_only=False)
        counts = self.server.pool.traffic.counts
        count = counts[TrafficKind('ConfigNotice', is_near=False)]
        self.assertEqual(count.frames, 1)
        self.assertGreater(count.size_bytes, 4)


class FrameMemoryTest(unittest.TestCase):
    """Frames on connections that other nodes opened."""

    def setUp(self):
        self.server = Node('n9')
        self.server.pool.memory = MemoryShare(1_000_000)
        self.server.pool.max_unnamed_links = 2

    def open(self, is_named=True):
        link = self.server.pool.accept()
        transport = FakeTcpTransport()
        link.makeConnection(transport)
        if is_named:
            link.dataReceived(encode_peer_frame(Node('n1').hello()))
        return link, transport

    def test_large_frames_wait_for_the_largest(self):
        """Together they took the memory of the process."""
        links = [self.open() for _ in range(3)]
        begun = (5_000_000).to_bytes(4, 'big') + b'x' * 400_000
        for link, _ in links:
            link.dataReceived(begun)
        links[0][0].dataReceived(b'x' * 100_000)
        links[1][0].dataReceived(b'x' * 1_000)
        is_reading = [transport.is_reading for _, transport in links]
        self.assertEqual(is_reading[:2], [True, False])
        links[0][0].connectionLost()
        links[2][0].connectionLost()
        self.server.advance(0.25)
        self.assertTrue(links[1][1].is_reading)
        links[1][0].connectionLost()
        self.assertEqual(self.server.pool.memory.held_bytes, 0)

    def test_oldest_unnamed_connection_gives_way(self):
        """Connections without a first message stayed for good."""
        _, first = self.open(False)
        self.server.advance(0.25)
        _, second = self.open(False)
        self.open(False)
        self.assertTrue(first.aborted)
        self.assertFalse(second.aborted)

    def test_bytes_now_and_then_are_no_first_message(self):
        """They kept a connection open without an end."""
        link, transport = self.open(False)
        for _ in range(5):
            self.server.advance(1)
            link.dataReceived(b'\0')
        self.assertTrue(transport.aborted)
