"""Responses that end early, at every byte: never delivered as complete."""

import http.client
import unittest

from hypothesis import given
from hypothesis import strategies as st
from platform_fleet import PlatformFleet
from test_decoders import thorough
from transports import FakeTcpTransport
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from rattanstile.connection.http_client import (
    ExchangeFailure,
    HttpClientConnection,
)
from rattanstile.connection.target_answer import AnswerReader

BODY = b'a body of 21 bytes...'
HEADERS = b'Request-Id: a\r\nResponse-Signature: s\r\n'
INTERIM = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
FRAMINGS = ('length', 'chunked', 'close')
READ_SIZES = (1, 7, 1000)


def encode_head(framing, body, status=200):
    """Return a head that delimits the body in the given way."""
    head = b'HTTP/1.1 %d Status\r\n%s' % (status, HEADERS)
    if framing == 'length':
        head += b'Content-Length: %d\r\n' % len(body)
    elif framing == 'chunked':
        head += b'Transfer-Encoding: chunked\r\n'
    return head + b'\r\n'


def encode_body(framing, body, chunk_bytes=8):
    if framing != 'chunked':
        return body
    parts = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    return b''.join(
        b'%x\r\n%s\r\n' % (len(part), part) for part in (*parts, b'')
    )


def receive(received, read_bytes, close, *, is_head=False):
    """Return how an exchange ends that receives bytes and is closed."""
    results = []
    connection = HttpClientConnection(lambda connection: None)
    connection.makeConnection(FakeTcpTransport())
    connection.send(b'GET', results.append, is_head=is_head)
    for start in range(0, len(received), read_bytes):
        connection.dataReceived(received[start : start + read_bytes])
    connection.connectionLost(Failure(close()))
    return results[0]


class CutResponseTest(unittest.TestCase):
    """One response to a node, closed cleanly or reset at each byte."""

    def check_cuts(self, head, encoded_body, framing, **options):
        """Check each cut; a clean close ends a body without length."""
        whole = head + encoded_body
        for end in range(len(whole)):
            for close in (ConnectionDone, ConnectionLost):
                ends_at_close = framing == 'close' and end >= len(head)
                if ends_at_close and close is ConnectionDone:
                    continue
                for read_bytes in READ_SIZES:
                    with self.subTest(end=end, close=close, read=read_bytes):
                        result = receive(
                            whole[:end], read_bytes, close, **options
                        )
                        self.assertIsInstance(result, ExchangeFailure)

    def test_response_cut_at_any_byte_is_a_failure(self):
        """A close within a head was answered as a 200 with an empty body."""
        for framing in FRAMINGS:
            head = encode_head(framing, BODY)
            self.check_cuts(head, encode_body(framing, BODY), framing)

    def test_response_after_an_interim_one_cut_at_any_byte_is_a_failure(self):
        """The interim head is complete, and has no body."""
        for framing in FRAMINGS:
            head = INTERIM + encode_head(framing, BODY)
            self.check_cuts(head, encode_body(framing, BODY), framing)

    def test_head_without_body_cut_at_any_byte_is_a_failure(self):
        """To HEAD, and with the statuses that have none."""
        for status in (204, 304):
            head = encode_head('close', b'', status)
            self.check_cuts(head, b'', 'length')
        head = encode_head('length', BODY)
        self.check_cuts(head, b'', 'length', is_head=True)

    @thorough
    @given(
        framing=st.sampled_from(FRAMINGS),
        status=st.sampled_from((200, 206, 404, 500)),
        interim=st.sampled_from((b'', INTERIM, INTERIM * 2)),
        body=st.binary(max_size=400),
        cut_share=st.floats(0, 1),
        read_bytes=st.integers(1, 500),
        is_reset=st.booleans(),
    )
    def test_only_the_whole_body_is_delivered(
        self, framing, status, interim, body, cut_share, read_bytes, is_reset
    ):
        """Whatever the response, the cut and the sizes of the reads."""
        head = interim + encode_head(framing, body, status)
        whole = head + encode_body(framing, body)
        end = round(cut_share * len(whole))
        close = ConnectionLost if is_reset else ConnectionDone
        result = receive(whole[:end], read_bytes, close)
        is_whole = end == len(whole)
        expected_body = body
        if framing == 'close':
            is_whole = end >= len(head) and not is_reset
            expected_body = whole[len(head) : end]
        if not is_whole:
            self.assertIsInstance(result, ExchangeFailure)
            return
        self.assertEqual((result.status, result.body), (status, expected_body))

    def test_reader_of_the_products_own_node_accepts_no_part(self):
        """It takes no body that ends with the connection."""
        for framing in ('length', 'chunked'):
            head = encode_head(framing, BODY)
            whole = head + encode_body(framing, BODY)
            for end in range(len(whole)):
                reader = AnswerReader()
                reader.expect(is_head=False)
                self.assertIsNone(reader.feed(whole[:end]))
        reader = AnswerReader()
        reader.expect(is_head=False)
        self.assertIsNone(reader.feed(encode_head('close', BODY) + BODY))


class CutTargetTest(unittest.TestCase):
    """Node processes whose targets close within their responses."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = PlatformFleet()
        cls.fleet.start()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    def refusals(self):
        """Return what the nodes' logs say of refusals and of the target."""
        events = ('call_not_taken', 'target_suspected', 'target_new')
        return [
            line
            for number in range(self.fleet.node_count)
            for line in self.fleet.read_log(number).splitlines()
            if any(f'event={event} ' in line for event in events)
        ][-20:]

    def result_of(self, path):
        """Return the status of a whole response; None for a cut one."""
        try:
            return self.fleet.call(path=path, method='POST').status
        except (http.client.HTTPException, ConnectionError):
            return None

    def test_caller_gets_no_part_of_a_small_response(self):
        """It is told that the outcome is unknown."""
        for framing in ('length', 'chunked'):
            for end in range(0, 90, 3):
                path = f'/claims/a?framing={framing}&cut={end}'
                with self.subTest(framing=framing, end=end):
                    result = self.result_of(path)
                    self.assertEqual(result, 502, self.refusals())

    def test_caller_sees_that_a_large_response_is_cut(self):
        """Its first parts have been passed on."""
        for framing in ('length', 'chunked'):
            for end in (131_200, 200_000, 299_900):
                path = f'/claims/a?framing={framing}&cut={end}&bytes=300000'
                with self.subTest(framing=framing, end=end):
                    result = self.result_of(path)
                    self.assertIsNone(result, self.refusals())
            path = f'/claims/a?framing={framing}&cut=900000&bytes=300000'
            self.assertEqual(self.result_of(path), 200)
