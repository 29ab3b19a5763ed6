"""Responses of a target: whole, cut, late, doubled, spoiled."""

import unittest

from transports import FakeTcpTransport
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from rattanstile.connection.http_client import (
    ExchangeFailure,
    HttpClientConnection,
)

OWN = b'HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 2\r\n\r\nok'
LATE = b'HTTP/1.1 200 OK\r\nrequest-id: z\r\ncontent-length: 4\r\n\r\nlate'
UNFRAMED = b'HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nsome'
LATE_UNFRAMED = b'HTTP/1.1 200 OK\r\nrequest-id: z\r\n\r\nsome'


def answers_request(response):
    return response.header(b'request-id') == b'a'


class ClientTest(unittest.TestCase):
    """One exchange on one connection."""

    def setUp(self):
        self.ends = []
        self.connection = HttpClientConnection(lambda one: None)
        self.connection.makeConnection(FakeTcpTransport())
        self.connection.send(b'GET', self.ends.append, answers_request=answers_request)

    def lose(self, reason=ConnectionDone):
        self.connection.connectionLost(Failure(reason()))

    def test_a_whole_response_keeps_the_connection(self):
        """For the next request."""
        self.connection.dataReceived(OWN)
        self.assertEqual(self.ends[0].body, b'ok')
        self.assertTrue(self.ends[0].keeps_alive)

    def test_a_late_response_is_passed_over(self):
        """It answers an earlier request."""
        self.connection.dataReceived(LATE + OWN)
        self.assertEqual([end.body for end in self.ends], [b'ok'])

    def test_a_doubled_response_spoils_the_connection(self):
        """Though the first is good."""
        self.connection.dataReceived(OWN + OWN)
        self.assertEqual(len(self.ends), 1)
        self.assertFalse(self.ends[0].keeps_alive)

    def test_so_do_bytes_behind_it(self):
        """They are no part of any response."""
        self.connection.dataReceived(OWN + b'rubbish\r\n\r\n')
        self.assertEqual(self.ends[0].body, b'ok')
        self.assertFalse(self.ends[0].keeps_alive)

    def test_bytes_that_are_none_end_the_exchange(self):
        """With its own failure."""
        self.connection.dataReceived(b'rubbish\r\n\r\n')
        self.assertEqual(self.ends, [ExchangeFailure.SPOILED])

    def test_without_a_length_a_clean_close_ends_it(self):
        """And a reset does not."""
        self.connection.dataReceived(UNFRAMED)
        self.assertEqual(self.ends, [])
        self.lose()
        self.assertEqual(self.ends[0].body, b'some')

    def test_a_reset_cuts_it(self):
        """What came isn't complete."""
        self.connection.dataReceived(UNFRAMED)
        self.lose(ConnectionLost)
        self.assertEqual(self.ends, [ExchangeFailure.CUT])

    def test_a_late_one_without_a_length_ends_the_exchange(self):
        """It was left open for ever: two calls that no drain could end."""
        self.connection.dataReceived(LATE_UNFRAMED)
        self.lose()
        self.assertEqual(self.ends, [ExchangeFailure.CUT])

    def test_a_short_body_is_cut(self):
        """Its length was stated."""
        self.connection.dataReceived(OWN[:-1])
        self.lose()
        self.assertEqual(self.ends, [ExchangeFailure.CUT])
