"""Responses of a target: complete, cut, late, duplicate, malformed."""

import unittest

from transports import FakeTcpTransport
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from rattanstile.connection.http_client import (
    ExchangeFailure,
    HttpClientConnection,
    ResponseMatch,
)

REFUSED = 503

MATCHING = b'HTTP/1.1 200 OK\r\nrequest-id: a\r\ncontent-length: 2\r\n\r\nok'
LATE = b'HTTP/1.1 200 OK\r\nrequest-id: z\r\ncontent-length: 4\r\n\r\nlate'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nrequest-id: a\r\n\r\nsome'
REFUSAL = (
    b'HTTP/1.1 503 Full\r\nrequest-id: a\r\nnot-executed: 1\r\n'
    b'content-length: 0\r\n\r\n'
)
FAILURE = (
    b'HTTP/1.1 500 Error\r\nrequest-id: a\r\ncontent-length: 4\r\n\r\nfail'
)
NAMELESS = b'HTTP/1.1 503 Full\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n'
LATE_WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\nrequest-id: z\r\n\r\nsome'


def check_response(response):
    """Match by the id `a`; a refusal of it is the last on its connection."""
    match response.header(b'request-id'):
        case None:
            return ResponseMatch.UNIDENTIFIED
        case b'a' if response.status == REFUSED:
            return ResponseMatch.LAST
        case b'a':
            return ResponseMatch.OWN
    return ResponseMatch.OTHER


class ClientTest(unittest.TestCase):
    """One exchange on one connection."""

    def setUp(self):
        self.results = []
        self.connection = HttpClientConnection(lambda connection: None)
        self.connection.makeConnection(FakeTcpTransport())
        self.connection.send(
            b'GET', self.results.append, check_response=check_response
        )

    def send_again(self):
        self.connection.send(
            b'GET', self.results.append, check_response=check_response
        )

    def feed_until_refused(self, part, max_bytes):
        """Feed a part over and over; return how many bytes were taken."""
        fed_bytes = 0
        while self.connection.is_usable and fed_bytes < max_bytes:
            self.connection.dataReceived(part)
            fed_bytes += len(part)
        return fed_bytes

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

    def test_start_of_another_head_prevents_reuse_of_the_connection(self):
        """Only its finished headers were seen; the parser kept the rest."""
        head = LATE.partition(b'\r\n\r\n')[0]
        for end in range(1, len(head)):
            with self.subTest(begun=head[:end]):
                self.setUp()
                self.connection.dataReceived(MATCHING + head[:end])
                self.assertEqual(self.results[0].body, b'ok')
                self.assertFalse(self.results[0].keeps_alive)
                self.assertFalse(self.connection.is_usable)

    def test_failure_does_not_get_the_status_of_a_begun_head(self):
        """It ended the line, and all of the failure's head but its status."""
        self.connection.dataReceived(MATCHING + b'HTTP/1.1 200 OK\r\nx: ')
        if self.connection.is_usable:
            self.send_again()
            self.connection.dataReceived(FAILURE)
        self.assertNotIn(b'fail', [each.body for each in self.results])

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

    def test_response_to_an_earlier_request_ends_the_connection_after_it(self):
        """What else the server would still write there is not known."""
        self.connection.dataReceived(LATE + MATCHING)
        self.assertFalse(self.results[0].keeps_alive)

    def test_second_copy_on_an_idle_connection_closes_it(self):
        """The next request would have taken it for its own response."""
        self.connection.dataReceived(MATCHING)
        self.connection.dataReceived(MATCHING)
        self.assertFalse(self.connection.is_usable)
        self.assertTrue(self.connection.transport.aborted)

    def test_refusal_that_could_be_repeated_ends_the_connection(self):
        """Written once more, it would deny the run of the same id's retry."""
        self.connection.dataReceived(REFUSAL)
        self.assertEqual(self.results[0].status, REFUSED)
        self.assertFalse(self.results[0].keeps_alive)

    def test_nameless_refusal_counts_on_a_new_connection_only(self):
        """On a kept one it may be that of an earlier request."""
        self.connection.dataReceived(NAMELESS)
        self.assertEqual(self.results[0].status, REFUSED)
        self.send_again()
        self.connection.dataReceived(NAMELESS)
        self.assertEqual(self.results[1], ExchangeFailure.SPOILED)

    def test_header_without_end_ends_the_exchange(self):
        """The parser held all of it: no limit counted an unfinished header."""
        self.connection.dataReceived(b'HTTP/1.1 200 OK\r\nx: ')
        fed_bytes = self.feed_until_refused(b'a' * 8192, 4_000_000)
        self.assertLess(fed_bytes, 100_000)
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])

    def test_reason_phrase_without_end_ends_the_exchange(self):
        """It comes before any header."""
        self.connection.dataReceived(b'HTTP/1.1 200 ')
        fed_bytes = self.feed_until_refused(b'a' * 8192, 4_000_000)
        self.assertLess(fed_bytes, 100_000)
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])

    def test_interim_responses_without_end_end_the_exchange(self):
        """Each of them is complete and small."""
        interim = b'HTTP/1.1 100 Continue\r\n\r\n' * 40
        fed_bytes = self.feed_until_refused(interim, 4_000_000)
        self.assertLess(fed_bytes, 100_000)
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])

    def test_trailer_without_end_ends_the_exchange(self):
        """It follows the last chunk of a body."""
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nrequest-id: a\r\n'
            b'transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: '
        )
        fed_bytes = self.feed_until_refused(b'a' * 8192, 4_000_000)
        self.assertLess(fed_bytes, 100_000)
        self.assertEqual(self.results, [ExchangeFailure.SPOILED])

    def test_body_in_small_chunks_is_accepted(self):
        """Its bytes between the chunks are many, but in proportion."""
        self.connection.dataReceived(
            b'HTTP/1.1 200 OK\r\nrequest-id: a\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )
        for _ in range(100):
            self.connection.dataReceived(b'1\r\nx\r\n' * 1000)
        self.connection.dataReceived(b'0\r\n\r\n')
        self.assertEqual(len(self.results[0].body), 100_000)
