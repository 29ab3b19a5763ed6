"""Token requests to the node that allocates the rates."""

import unittest
from types import SimpleNamespace

from mesh_samples import config, context, organisation, route

from rattanstile.connection.peer_messages import (
    DemandReport,
    TokenRequest,
    TokenResponse,
)
from rattanstile.process.mesh.rate_service import TOKEN_TIMEOUT_S, RateService
from rattanstile.version.fleet_config import FleetState

NORTH = organisation()


class Peers:
    """Links of one node to other nodes, with the sent messages."""

    def __init__(self, names):
        self.unsettled = set()
        self.links = {
            name: SimpleNamespace(node_id=name, sent=[]) for name in names
        }
        for link in self.links.values():
            link.send = link.sent.append

    def link_to(self, name):
        return self.links.get(name)

    def connected(self):
        return tuple(self.links.values())

    def connected_since(self, since_s):
        return tuple(name for name in self.links if name not in self.unsettled)

    def fleet_size(self):
        return len(self.links) + 1


class TokenRequestTest(unittest.TestCase):
    """Node n3, whose allocator is n1."""

    def setUp(self):
        state = FleetState(
            config=config(routes=(route(),), organisations=(NORTH,))
        )
        node_context, self.clock, _ = context(state, node_id='n3')
        self.peers = Peers(('n1', 'n2', 'n4'))
        admission = SimpleNamespace(
            own_demand=dict, set_fleet_demand=lambda *_: 0
        )
        self.rates = RateService(node_context, self.peers, admission)
        self.rates.config_changed()
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
        self.rates.request_token(NORTH, self.answers.append)
        self.answer('n1', True)
        self.assertEqual(self.granted(), [True])

    def test_a_token_that_comes_soon_is_waited_for(self):
        """The wait is the one that the pool returns."""
        self.rates.request_token(NORTH, self.answers.append)
        self.answer('n1', True, wait_ms=50)
        self.assertEqual(self.answers, [])
        self.clock.advance(0.06)
        self.assertEqual(self.granted(), [True])

    def test_a_silent_allocator_is_bypassed(self):
        """After a timeout the node with the next id is asked instead."""
        self.rates.request_token(NORTH, self.answers.append)
        self.clock.advance(TOKEN_TIMEOUT_S + 0.01)
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
        self.rates.request_token(NORTH, self.answers.append)
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
        self.rates.request_token(NORTH, self.answers.append)
        self.assertEqual(len(self.token_requests('n2')), 1)

    def test_the_next_allocator_gets_a_report_at_once(self):
        """It needs reports before it may hand out tokens."""
        self.peers.links.pop('n1')
        self.rates.peer_lost('n1')
        sent = self.peers.links['n2'].sent
        self.assertTrue(
            any(isinstance(message, DemandReport) for message in sent)
        )

    def test_reports_go_to_the_allocator(self):
        """No other node receives one."""
        sent = self.peers.links['n1'].sent
        self.assertTrue(
            any(isinstance(message, DemandReport) for message in sent)
        )
        self.assertEqual(self.peers.links['n2'].sent, [])
