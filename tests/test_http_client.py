"""Responses of a target: complete, cut, late, duplicate, malformed."""

import unittest

from transports import FakeTcpTransport
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from rattanstile.connection.http_client import (
    ExchangeFailure,
    HttpClientConnection,
)

MATCHING = b'HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 2\r\n\r\nok'
LATE = b'HTTP/1.1 200 OK\r\nrequest-id: z\r\ncontent-length: 4\r\n\r\nlate'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nsome'
LATE_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nrequest-id: z\r\n\r\nsome'


def answers_request(response):
    return response.header(b'request-id') == b'a'


class ClientTest(unittest.TestCase):
    """One exchange on one connection."""

    def setUp(self):
        self.results = []
        self.connection = HttpClientConnection(lambda connection: None)
        self.connection.makeConnection(FakeTcpTransport())
        self.connection.send(
            b'GET', self.results.append, answers_request=answers_request
        )

    def close(self, reason=ConnectionDone):
        self.connection.connectionLost(Failure(reason()))

    def test_complete_response_keeps_the_connection(self):
        """It can carry the next request."""
        self.connection.dataReceived(MATCHING)
        self.assertEqual(self.results[0].body, b'ok')
        self.assertTrue(self.results[0].keeps_alive)

    def test_late_response_is_ignored(self):
        """It answers an earlier request."""
        self.connection.dataReceived(LATE + MATCHING)
        self.assertEqual([result.body for result in self.results], [b'ok'])

    def test_duplicate_response_prevents_reuse_of_the_connection(self):
        """Only the first response is delivered."""
        self.connection.dataReceived(MATCHING + MATCHING)
        self.assertEqual(len(self.results), 1)
        self.assertFalse(self.results[0].keeps_alive)

    def test_trailing_bytes_prevent_reuse_of_the_connection(self):
        """They belong to no response."""
        self.connection.dataReceived(MATCHING + b'rubbish\r\n\r\n')
        self.assertEqual(self.results[0].body, b'ok')
        self.assertFalse(self.results[0].keeps_alive)

    def test_invalid_bytes_end_the_exchange(self):
        """The failure is SPOILED."""
        self.connection.dataReceived(b'rubbish\r\n\r\n')
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])

    def test_clean_close_ends_a_response_without_length(self):
        """The response is complete only after the close."""
        self.connection.dataReceived(WITHOUT_LENGTH)
        self.assertEqual(self.results, [])
        self.close()
        self.assertEqual(self.results[0].body, b'some')

    def test_reset_cuts_a_response_without_length(self):
        """The part received is not delivered as a response."""
        self.connection.dataReceived(WITHOUT_LENGTH)
        self.close(ConnectionLost)
        self.assertEqual(self.results, [ExchangeFailure.CUT])

    def test_late_response_without_length_ends_the_exchange(self):
        """The exchange stayed open for ever after the close.

        Two calls never ended, and no drain could end them.
        """
        self.connection.dataReceived(LATE_WITHOUT_LENGTH)
        self.close()
        self.assertEqual(self.results, [ExchangeFailure.CUT])

    def test_body_shorter_than_its_length_is_cut(self):
        """The connection closes before the stated length is received."""
        self.connection.dataReceived(MATCHING[:-1])
        self.close()
        self.assertEqual(self.results, [ExchangeFailure.CUT])
