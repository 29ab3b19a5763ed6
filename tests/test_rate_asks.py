"""Tokens that are asked of the node that shares the rates out."""

import unittest
from types import SimpleNamespace

from mesh_samples import config, context, organisation, route

from rattanstile.connection.peer_messages import (
    RatesReported,
    TokenGiven,
    TokenWanted,
)
from rattanstile.process.mesh.rate_service import ASK_TIMEOUT_S, RateService
from rattanstile.version.fleet_config import FleetState

NORTH = organisation()


class Peers:
    """Links of one node to others, all on one virtual clock."""

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

    def settled(self, since_s):
        return tuple(name for name in self.links if name not in self.unsettled)

    def fleet(self):
        return len(self.links) + 1


class AskTest(unittest.TestCase):
    """Node n3, whose sharer is n1."""

    def setUp(self):
        state = FleetState(
            config=config(routes=(route(),), organisations=(NORTH,))
        )
        made, self.clock, _ = context(state, node_id='n3')
        self.peers = Peers(('n1', 'n2', 'n4'))
        admission = SimpleNamespace(own_demand=dict, fleet_demand=lambda *_: 0)
        self.rates = RateService(made, self.peers, admission)
        self.rates.config_changed()
        self.rates.report(0.0)
        self.answers = []

    def asks(self, name):
        return [
            message
            for message in self.peers.links[name].sent
            if isinstance(message, TokenWanted)
        ]

    def give(self, name, is_granted, wait_ms=0):
        message = TokenGiven(self.asks(name)[-1].sequence, is_granted, wait_ms)
        self.rates.message(self.peers.links[name], message)

    def test_a_token_is_given(self):
        """By the first node by name."""
        self.rates.request_token(NORTH, self.answers.append)
        self.give('n1', True)
        self.assertEqual(self.answers, [True])

    def test_a_token_that_comes_soon_is_waited_for(self):
        """Its time is the pool's."""
        self.rates.request_token(NORTH, self.answers.append)
        self.give('n1', True, wait_ms=50)
        self.assertEqual(self.answers, [])
        self.clock.advance(0.06)
        self.assertEqual(self.answers, [True])

    def test_a_silent_sharer_is_gone_round(self):
        """The next node by name is asked in its place."""
        self.rates.request_token(NORTH, self.answers.append)
        self.clock.advance(ASK_TIMEOUT_S + 0.01)
        self.give('n2', True)
        self.assertEqual(self.answers, [True])

    def test_an_ask_is_passed_on_to_the_sharer(self):
        """Of a node whose own link to it is cut: soak, seed 1."""
        link = self.peers.links['n4']
        self.rates.message(link, TokenWanted(7, NORTH.name))
        self.assertEqual(len(self.asks('n1')), 1)
        self.give('n1', True)
        self.assertIn(TokenGiven(7, True, 0), link.sent)

    def test_a_node_that_stood_still_doubts_nobody(self):
        """It was paused, not the sharer: soak, seed 1."""
        self.rates.request_token(NORTH, self.answers.append)
        self.clock.advance(3.0)
        self.assertEqual(len(self.asks('n1')), 2)
        self.assertEqual(self.asks('n2'), [])

    def test_a_node_that_is_back_shares_nothing_out_yet(self):
        """It has no pool; the others ask on where they did: soak, seed 5."""
        self.peers.unsettled = {'n1'}
        self.clock.advance(2.0)
        self.rates.report(2.0)
        self.rates.request_token(NORTH, self.answers.append)
        self.assertEqual(len(self.asks('n2')), 1)

    def test_the_next_sharer_hears_at_once(self):
        """It needs reports before it may hand anything out."""
        self.peers.links.pop('n1')
        self.rates.peer_lost('n1')
        sent = self.peers.links['n2'].sent
        self.assertTrue(any(isinstance(one, RatesReported) for one in sent))

    def test_reports_go_to_the_sharer(self):
        """And to nobody else."""
        sent = self.peers.links['n1'].sent
        self.assertTrue(any(isinstance(one, RatesReported) for one in sent))
        self.assertEqual(self.peers.links['n2'].sent, [])
