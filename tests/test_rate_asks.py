"""Token requests to the node that allocates the rates."""

import unittest
from types import SimpleNamespace

from mesh_samples import USABLE, config, context, organisation, route

from rattanstile.connection.peer_messages import (
    DemandReport,
    DomainDigest,
    DomainReport,
    FleetLoad,
    PeerMember,
    RateSharesResponse,
    TokenRequest,
    TokenResponse,
)
from rattanstile.process.mesh.fleet.fleet_digests import FleetDigests
from rattanstile.process.mesh.rates.rate_service import RateService
from rattanstile.process.mesh.rates.token_requests import (
    RELAYED_TOKEN_TIMEOUT_S,
    TOKEN_TIMEOUT_S,
)
from rattanstile.process.mesh.rollout.version_counts import CountKey
from rattanstile.version.fleet_config import FleetState, RolloutOrder

NORTH = organisation()


class Peers:
    """Links of one node to other nodes, with the sent messages."""

    def __init__(self, domains):
        self.unsettled = set()
        self.fleet_demands = []
        self.broadcasts = []
        self.members = {
            name: PeerMember(name, f'{name}:1', 'registry', domain)
            for name, domain in domains.items()
        }
        self.links = {
            name: SimpleNamespace(node_id=name, sent=[]) for name in domains
        }
        for link in self.links.values():
            link.send = link.sent.append

    def link_to(self, name):
        return self.links.get(name)

    def broadcast(self, message, *, near_only):
        self.broadcasts.append(message)

    def connected(self):
        return tuple(self.members[name] for name in self.links)

    def connected_since(self, since_s):
        return tuple(
            self.members[name]
            for name in self.links
            if name not in self.unsettled
        )

    def present_members(self):
        return tuple(self.members.values())


def rate_service(node_id, domains):
    """Return the service of a node in the east, its peers and its clock."""
    state = FleetState(config=config(routes=(route(),), organisations=(NORTH,)))
    node_context, clock, _ = context(state, node_id=node_id)
    peers = Peers(domains)
    told = peers.fleet_demands
    admission = SimpleNamespace(
        own_demand=dict,
        set_fleet_demand=lambda calls, nodes: told.append(calls),
        is_near_capacity=False,
    )
    links = SimpleNamespace(
        digests=FleetDigests(),
        near_count=len(domains),
        own_load=lambda: USABLE,
        own_digest=lambda now_s: DomainDigest('east', 0, 4, ()),
        load_received=lambda now_s, name, load: None,
    )
    rates = RateService(node_context, peers, links, admission)
    rates.config_changed()
    return rates, peers, clock


class TokenRequestTest(unittest.TestCase):
    """Node n3, whose delegate is n1."""

    def setUp(self):
        near = dict.fromkeys(('n1', 'n2', 'n4'), 'east')
        self.rates, self.peers, self.clock = rate_service('n3', near)
        self.rates.report(0.0)
        self.answers = []

    def token_requests(self, name):
        return [
            message
            for message in self.peers.links[name].sent
            if isinstance(message, TokenRequest)
        ]

    def answer(self, name, is_granted, wait_ms=0):
        message = TokenResponse(
            self.token_requests(name)[-1].sequence, is_granted, wait_ms
        )
        self.rates.message(self.peers.links[name], message)

    def granted(self):
        return [taken.is_granted for taken in self.answers]

    def test_a_token_is_granted(self):
        """The allocator is the node with the smallest id."""
        self.rates.tokens.request(NORTH, self.answers.append)
        self.answer('n1', True)
        self.assertEqual(self.granted(), [True])

    def test_a_token_that_comes_soon_is_waited_for(self):
        """The wait is the one that the pool returns."""
        self.rates.tokens.request(NORTH, self.answers.append)
        self.answer('n1', True, wait_ms=50)
        self.assertEqual(self.answers, [])
        self.clock.advance(0.06)
        self.assertEqual(self.granted(), [True])

    def test_a_silent_allocator_is_bypassed(self):
        """After a timeout the node with the next id is asked instead."""
        self.rates.tokens.request(NORTH, self.answers.append)
        self.clock.advance(RELAYED_TOKEN_TIMEOUT_S + 0.01)
        self.answer('n2', True)
        self.assertEqual(self.granted(), [True])

    def test_a_token_request_is_forwarded_to_the_allocator(self):
        """A node whose own link to the allocator is cut asks another node.

        Found by the soak test with seed 1.
        """
        link = self.peers.links['n4']
        self.rates.message(link, TokenRequest(7, NORTH.name))
        self.assertEqual(len(self.token_requests('n1')), 1)
        self.answer('n1', True)
        self.assertIn(TokenResponse(7, True, 0), link.sent)

    def test_a_paused_node_suspects_nobody(self):
        """A request that times out because its own node was paused is resent.

        The allocator wasn't at fault. Found by the soak test with seed 1.
        """
        self.rates.tokens.request(NORTH, self.answers.append)
        self.clock.advance(3.0)
        self.assertEqual(len(self.token_requests('n1')), 2)
        self.assertEqual(self.token_requests('n2'), [])

    def test_a_restarted_node_is_not_the_allocator_yet(self):
        """It has no pool, and the others still ask the current allocator.

        Found by the soak test with seed 5.
        """
        self.peers.unsettled = {'n1'}
        self.clock.advance(2.0)
        self.rates.report(2.0)
        self.rates.tokens.request(NORTH, self.answers.append)
        self.assertEqual(len(self.token_requests('n2')), 1)

    def test_the_next_allocator_gets_a_report_at_once(self):
        """It needs reports before it may hand out tokens."""
        self.peers.links.pop('n1')
        self.rates.peer_lost('n1')
        sent = self.peers.links['n2'].sent
        self.assertTrue(
            any(isinstance(message, DemandReport) for message in sent)
        )

    def test_fleet_load_of_the_delegate_is_used(self):
        """It comes between two responses."""
        message = FleetLoad({'registry': 70.0}, 4, ())
        self.rates.message(self.peers.links['n1'], message)
        self.assertEqual(self.peers.fleet_demands[-1], {'registry': 70.0})

    def test_reports_go_to_the_allocator(self):
        """No other node receives one."""
        sent = self.peers.links['n1'].sent
        self.assertTrue(
            any(isinstance(message, DemandReport) for message in sent)
        )
        self.assertEqual(self.peers.links['n2'].sent, [])


class DelegateTest(unittest.TestCase):
    """Node n1, the delegate of its domain; the allocator is a1, in the west."""

    def setUp(self):
        domains = {'n2': 'east', 'n3': 'east', 'a1': 'west', 'z1': 'south'}
        self.rates, self.peers, self.clock = rate_service('n1', domains)
        self.clock.advance(2.0)
        self.rates.report(2.0)

    def sent(self, name, kind):
        return [
            message
            for message in self.peers.links[name].sent
            if isinstance(message, kind)
        ]

    def node_report(self, name, per_s):
        self.rates.message(
            self.peers.links[name],
            DemandReport(1, {'north': per_s}, {'registry': per_s}, USABLE),
        )

    def test_demand_of_a_domain_is_reported_once(self):
        """Traffic between domains doesn't grow with the number of nodes."""
        self.node_report('n2', 6.0)
        self.node_report('n3', 18.0)
        self.rates.report_domain(2.0)
        report = self.sent('a1', DomainReport)[-1]
        self.assertEqual(report.demand_per_s, {'north': 24.0})
        self.assertEqual(report.calls_per_s, {'registry': 24.0})
        self.assertEqual(report.reporting, 3)
        self.assertEqual(self.sent('z1', DomainReport), [])

    def test_share_of_a_domain_is_divided_by_demand(self):
        """What its nodes hold together is what the domain was given."""
        self.node_report('n2', 6.0)
        self.node_report('n3', 18.0)
        self.rates.message(self.peers.links['a1'], shares({'north': 0.4}))
        self.node_report('n2', 6.0)
        response = self.sent('n2', RateSharesResponse)[-1]
        self.assertEqual(response.organisation_shares, {'north': 0.1})
        self.assertFalse(response.is_for_domain)
        self.assertLessEqual(response.lease_ms, 4000)

    def test_share_of_a_domain_is_not_used_by_a_node(self):
        """A smaller ID has come; the response is late."""
        self.peers.members['n0'] = PeerMember('n0', 'n0:1', 'registry', 'east')
        self.peers.links['n0'] = SimpleNamespace(
            node_id='n0', send=lambda message: None
        )
        self.rates.report(2.1)
        self.rates.message(self.peers.links['a1'], shares({'north': 1.0}))
        self.clock.advance(0.1)
        taken = self.rates.limiter.take(2.2, NORTH)
        self.assertLess(taken.part, 0.2)

    def test_lease_is_not_prolonged_by_passing_it_on(self):
        """Nodes stop to use a share when the allocator gives it to others."""
        self.node_report('n2', 20.0)
        self.rates.message(self.peers.links['a1'], shares({'north': 0.4}))
        self.clock.advance(3.0)
        self.node_report('n2', 20.0)
        response = self.sent('n2', RateSharesResponse)[-1]
        self.assertEqual(response.lease_ms, 1000)
        self.clock.advance(1.1)
        self.node_report('n2', 20.0)
        response = self.sent('n2', RateSharesResponse)[-1]
        self.assertEqual(response.organisation_shares, {})

    def test_allocator_that_is_silent_is_bypassed_for_a_token(self):
        """A node of the domain waits for both attempts of its delegate."""
        link = self.peers.links['n2']
        self.rates.message(link, TokenRequest(5, NORTH.name))
        self.assertEqual(len(self.sent('a1', TokenRequest)), 1)
        self.clock.advance(TOKEN_TIMEOUT_S + 0.01)
        answered = [each for each in link.sent if type(each) is TokenResponse]
        self.assertEqual(len(answered), 1)

    def test_nodes_hear_of_a_surge_at_once(self):
        """They don't wait for the response to their next report.

        A later figure of the demand admits too much, or too little after it.
        """
        late = RateSharesResponse(
            1, {}, {'registry': 900.0}, 5, 4000, (), is_for_domain=True
        )
        self.rates.message(self.peers.links['a1'], late)
        self.assertEqual(self.peers.broadcasts, [])
        self.rates._admission.is_near_capacity = True
        self.rates.message(self.peers.links['a1'], late)
        told = FleetLoad({'registry': 900.0}, 5, ())
        self.assertEqual(self.peers.broadcasts, [told])

    def test_decider_resigns_without_a_link_to_the_next_allocator(self):
        """It resigned only when it sent a report, and went on to decide."""
        orders = [RolloutOrder('registry', 'v2', 10.0)]
        self.rates.rollouts._node.set_orders(orders)
        allocator = self.peers.links.pop('a1')
        self.rates.report(2.5)
        self.rates.report_domain(2.5)
        decider = self.rates.rollouts.decider
        self.assertEqual(len(decider.orders), 1)
        self.peers.links['a1'] = allocator
        self.peers.link_to = {}.get
        self.rates.report(3.0)
        self.rates.report_domain(3.0)
        self.assertFalse(self.rates.delegates.is_allocator)
        self.assertEqual(decider.orders, ())

    def test_reports_of_the_domain_are_read_without_resigning(self):
        """Reading them made the node give up what it had decided."""
        orders = [RolloutOrder('registry', 'v2', 10.0)]
        self.rates.rollouts._node.set_orders(orders)
        self.peers.links.pop('a1')
        self.rates.report(2.5)
        self.rates.report_domain(2.5)
        self.rates.rollouts.domain_reports(2.5)
        self.assertEqual(len(self.rates.rollouts.decider.orders), 1)

    def test_domain_that_is_cut_off_allocates_for_itself(self):
        """Its pool grows only with the nodes that it reaches."""
        for name in ('a1', 'z1'):
            self.peers.links.pop(name)
        self.rates.report(2.5)
        self.rates.report_domain(2.5)
        self.assertTrue(self.rates.delegates.is_allocator)
        self.node_report('n2', 1.0)
        self.clock.advance(0.5)
        self.rates.report_domain(3.0)
        pool = self.rates._pool._buckets['north']
        self.assertLessEqual(pool.share, 3 / 5)


class RolloutReportTest(unittest.TestCase):
    """Counts of calls by version at node n3, whose delegate is n1."""

    def setUp(self):
        near = dict.fromkeys(('n1', 'n2', 'n4'), 'east')
        self.rates, self.peers, _ = rate_service('n3', near)
        node_rollouts = self.rates.rollouts._node
        node_rollouts.set_orders([RolloutOrder('registry', 'v2', 10.0)])
        view = node_rollouts.view_of('registry')
        key = CountKey('list', 'east', is_new=True)
        view.counts.record(key, 0.01, is_failed=False)

    def calls_sent(self, name):
        return [
            sum(counts.calls for counts in message.rollouts[0].counts)
            for message in self.peers.links[name].sent
            if isinstance(message, DemandReport)
        ]

    def test_counts_are_sent_once_there_is_a_link(self):
        """They counted as sent although there was none, and were lost."""
        links = dict(self.peers.links)
        self.peers.link_to = {}.get
        self.rates.report(0.0)
        self.peers.link_to = links.get
        self.rates.report(0.5)
        self.rates.report(1.0)
        self.assertEqual(self.calls_sent('n1'), [1, 0])

    def test_next_delegate_gets_all_counts(self):
        """Counts that didn't change again were missing from its sum."""
        self.rates.report(0.0)
        self.peers.links.pop('n1')
        self.rates.report(0.5)
        self.rates.report(1.0)
        self.assertEqual(self.calls_sent('n2'), [1, 0])


def shares(organisation_shares):
    """Return a response of the allocator to a delegate."""
    return RateSharesResponse(
        1, organisation_shares, {}, 5, 4000, (), is_for_domain=True
    )
