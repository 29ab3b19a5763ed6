"""Tests of callers' HTTP connections."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, succeed

from rattanstile.connection import caller_http, http_request
from rattanstile.connection.caller_http import CallerHttpFactory
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason
from tests.transports import connect, lose_connection

GET = b'GET /map/lots?x=1 HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer k1\r\n'


def reply(**fields):
    """Return a complete answer, with these fields replaced."""
    fields = {'outcome': Outcome.WHOLE, 'body': b'ok', **fields}
    return Reply(call_id='c', attempt=1, **fields)


def refused(reason, **fields):
    """Return a reply that refuses the call for this reason."""
    return reply(
        outcome=Outcome.NOT_RUN,
        reason=reason,
        status=reason.status,
        body=b'',
        **fields,
    )


class CallerHttpTest(unittest.TestCase):
    """Requests are parsed, answered, limited or refused."""

    def setUp(self):
        """Open one connection; the handler returns an unfired Deferred."""
        self.requests = []
        self.answers = []
        self.factory = CallerHttpFactory(self.handle, max_connections=3)
        self.connection = self.factory.buildProtocol(None)
        self.transport = connect(self.connection)

    def handle(self, request):
        """Record the request and return the Deferred of its reply."""
        self.requests.append(request)
        self.answers.append(Deferred())
        return self.answers[-1]

    def send(self, received):
        """Pass bytes to the connection and return what it writes."""
        self.connection.dataReceived(received)
        return self.transport.take()

    def run_checks(self, times):
        """Run this many timeout checks."""
        for _ in range(times):
            self.factory.check(0)

    def test_request_reaches_the_handler_typed(self):
        self.send(
            b'POST /till/pay%6Dents?id=%2f HTTP/1.1\r\nHost: n\r\n'
            b'Authorization: bearer k1\r\nIdempotency-Key: i-1\r\n'
            b'Rattanstile-Deadline-Ms: 250\r\nRattanstile-Call: token\r\n'
            b'Connection: X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n'
            b'X-Copy: my k1\r\nRattanstile-Other: 1\r\nAccept: a/b\r\n'
            b'Content-Length: 3\r\n\r\nabc',
        )
        (request,) = self.requests
        self.assertEqual(request.key, 'k1')
        self.assertEqual(request.service, 'till')
        self.assertEqual(request.path, '/payments?id=%2F')
        self.assertEqual(request.body, b'abc')
        self.assertEqual(request.idempotency_key, 'i-1')
        self.assertEqual(request.deadline_ms, 250)
        self.assertEqual(request.parent, 'token')
        self.assertEqual(request.headers, (('accept', 'a/b'),))

    def test_answer_is_written_whole_with_its_outcome(self):
        self.send(GET + b'\r\n')
        self.answers[0].callback(
            reply(headers=(('x-a', '1'), ('content-length', '99'))),
        )
        self.assertEqual(
            self.transport.take(),
            b'HTTP/1.1 200 OK\r\nRattanstile-Outcome: whole\r\nx-a: 1\r\n'
            b'Content-Length: 2\r\n\r\nok',
        )

    def test_refusal_has_reason_status_and_retry_after(self):
        self.send(GET + b'\r\n')
        self.answers[0].callback(refused(Reason.SHED, retry_after_ms=1200))
        written = self.transport.take()
        self.assertIn(b'HTTP/1.1 503 ', written)
        self.assertIn(b'Rattanstile-Outcome: not-run\r\n', written)
        self.assertIn(b'Retry-After: 2\r\n', written)
        self.assertIn(b'"reason":"shed"', written)

    def test_refused_key_says_how_to_present_one(self):
        self.send(GET + b'\r\n')
        self.answers[0].callback(refused(Reason.KEY_REFUSED))
        written = self.transport.take()
        self.assertIn(b' 401 ', written)
        self.assertIn(b'WWW-Authenticate: Bearer', written)

    def test_pipelined_requests_are_answered_in_order(self):
        self.send(GET + b'\r\n' + GET.replace(b'lots', b'next') + b'\r\n')
        self.assertEqual(len(self.requests), 1)
        self.answers[0].callback(reply(body=b'first'))
        self.answers[1].callback(reply(body=b'second'))
        written = self.transport.take()
        self.assertLess(written.index(b'first'), written.index(b'second'))

    def test_error_waits_for_the_answers_before_it(self):
        self.assertEqual(self.send(GET + b'\r\nnonsense\r\n\r\n'), b'')
        self.answers[0].callback(reply())
        written = self.transport.take()
        self.assertLess(written.index(b' 200 '), written.index(b' 400 '))
        self.assertTrue(self.transport.write_side_closed)

    def test_many_pipelined_requests_stop_the_reading(self):
        self.send((GET + b'\r\n') * 20)
        self.assertFalse(self.transport.is_reading)
        for number in range(20):
            self.answers[number].callback(reply())
        self.assertTrue(self.transport.is_reading)

    def test_caller_that_goes_away_cancels_its_request(self):
        cancelled = []
        self.factory.handler = lambda request: Deferred(cancelled.append)
        self.send(GET + b'Content-Length: 4\r\n\r\nbody')
        lose_connection(self.connection)
        self.assertEqual(len(cancelled), 1)
        self.assertEqual(self.factory.body_budget.held_bytes, 0)
        self.assertEqual(self.factory.connections, set())

    def test_answer_after_the_caller_has_gone_is_dropped(self):
        answer = Deferred(lambda _: None)
        self.factory.handler = lambda request: answer
        self.send(GET + b'\r\n')
        self.connection.connectionLost()
        self.assertEqual(self.transport.take(), b'')

    def test_failing_handler_leaves_the_outcome_unknown(self):
        self.factory.handler = lambda request: 1 / 0
        written = self.send(GET + b'\r\n')
        self.assertIn(b'Rattanstile-Outcome: unknown', written)

    def test_malformed_requests_get_400_and_reach_no_handler(self):
        head = b'POST /s/ HTTP/1.1\r\nHost: n\r\n'
        bad = (
            b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + bytes(90),
            b'GET /s/\r\n\r\n',
            b'GET /s/ HTTP/9.9\r\nHost: n\r\n\r\n',
            b'GET /s/ HTTP/1.1\r\n\r\n',
            b'GET s HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET http://n/s/ HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/../t HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/%2e%2E/t HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/%zz HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/%a HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/a\\b HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/\xc3\xa6 HTTP/1.1\r\nHost: n\r\n\r\n',
            b'GET /s/?k=k1 HTTP/1.1\r\nHost: n\r\n'
            b'Authorization: Bearer k1\r\n\r\n',
            b'CONNECT n:1 HTTP/1.1\r\nHost: n\r\n\r\n',
            head + b'Host: m\r\n\r\n',
            head + b'X-A: \xff\xfe\r\n\r\n',
            head + b'X-A: a\x00b\r\n\r\n',
            head + b'X A: b\r\n\r\n',
            head + b'X-A : b\r\n\r\n',
            head + b': b\r\n\r\n',
            head + b'X-A: b\r\n folded\r\n\r\n',
            head + b'X-A: b\rX-B: c\r\n\r\n',
            head + b'Authorization: Bearer a\r\n'
            b'Authorization: Bearer b\r\n\r\n',
            head + b'Rattanstile-Deadline-Ms: soon\r\n\r\n',
            head + b'Rattanstile-Deadline-Ms: -1\r\n\r\n',
            head + b'Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n',
            head + b'Content-Length: x\r\n\r\n',
            head + b'Content-Length: -1\r\n\r\n',
            head + b'Content-Length: +1\r\n\r\na',
            head + b'Content-Length: 1, 1\r\n\r\na',
            head + b'Content-Length: 1\r\nContent-Length: 2\r\n\r\nab',
            head + b'Content-Length: 99999999999999999999999\r\n\r\na',
            head + b'Content-Length: 1\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
            head + b'Transfer-Encoding: chunked, identity\r\n\r\n',
            head + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
            head + b'Transfer-Encoding: chunked\r\n'
            b'Transfer-Encoding: identity\r\n\r\n0\r\n\r\n',
            head + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n',
            head + b'Transfer-Encoding: chunked\r\n\r\n-1\r\n\r\n',
            head + b'Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n',
            head + b'Transfer-Encoding: chunked\r\n\r\n'
            b'fffffffffffffffff\r\nabc',
        )
        for received in bad:
            with self.subTest(received):
                self.setUp()
                written = self.send(received)
                self.assertIn(b'HTTP/1.1 400 ', written)
                self.assertIn(b'Connection: close', written)
                self.assertTrue(self.transport.write_side_closed)
                self.assertEqual(self.requests, [])
                self.assertEqual(self.send(GET + b'\r\n'), b'')
                self.assertEqual(self.requests, [])

    def test_chunked_body_is_taken_whole(self):
        self.send(
            b'POST /s/ HTTP/1.1\r\nHost: n\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n',
        )
        self.assertEqual(self.requests[0].body, b'abcde')
        self.assertEqual(self.requests[0].headers, ())

    def test_huge_heads_get_431(self):
        host = b'GET /s/ HTTP/1.1\r\nHost: n\r\n'
        for received in (
            b'GET /' + b'a' * 40_000,
            host + b'X-A: ' + b'a' * 20_000 + b'\r\n\r\n',
            host + b'X-' + b'a' * 40_000,
            host + b'X-A: ' + b'a' * 40_000,
            host + b'X-A: b\r\n' * 101 + b'\r\n',
        ):
            with self.subTest(received[:40]):
                self.setUp()
                self.assertIn(b'HTTP/1.1 431 ', self.send(received))

    def test_endless_head_in_small_parts_gets_431(self):
        written = self.send(b'GET /s/ HTTP/1.1\r\nHost: n\r\nX-A: ')
        for _ in range(400):
            written += self.send(b'a' * 100)
        self.assertIn(b'HTTP/1.1 431 ', written)

    def test_large_body_gets_413_from_its_length_alone(self):
        length = http_request.MAX_BODY_BYTES + 1
        written = self.send(GET + b'Content-Length: %d\r\n\r\n' % length)
        self.assertIn(b'HTTP/1.1 413 ', written)

    def test_large_chunked_body_gets_413_and_holds_nothing(self):
        self.send(GET + b'Transfer-Encoding: chunked\r\n\r\n')
        written = b''
        for _ in range(17):
            written += self.send(b'10000\r\n' + bytes(65536) + b'\r\n')
        self.assertIn(b'HTTP/1.1 413 ', written)
        self.assertEqual(self.factory.body_budget.held_bytes, 0)

    def test_bodies_of_all_callers_together_are_bounded(self):
        self.factory.body_budget.reserve(http_request.MAX_ALL_BODIES_BYTES - 2)
        written = self.send(GET + b'Content-Length: 3\r\n\r\nabc')
        self.assertIn(b'HTTP/1.1 503 ', written)
        self.assertIn(b'Retry-After: 1', written)

    def test_slow_sender_gets_408_however_it_drips(self):
        self.send(GET)
        for _ in range(caller_http.REQUEST_TIMEOUT_CHECKS - 1):
            self.run_checks(1)
            self.assertEqual(self.send(b'X-A: b\r\n'), b'')
        self.run_checks(1)
        self.assertIn(b'HTTP/1.1 408 ', self.transport.take())
        self.run_checks(caller_http.LINGER_TIMEOUT_CHECKS)
        self.assertTrue(self.transport.aborted)

    def test_long_call_is_no_slow_sender(self):
        self.send(GET + b'\r\n')
        self.run_checks(caller_http.IDLE_TIMEOUT_CHECKS * 2)
        self.answers[0].callback(reply())
        self.assertIn(b' 200 ', self.transport.take())

    def test_idle_connection_is_closed(self):
        self.run_checks(caller_http.IDLE_TIMEOUT_CHECKS)
        self.assertTrue(self.transport.aborted)

    def test_caller_that_does_not_read_is_not_served_further(self):
        self.send(GET + b'\r\n' + GET + b'\r\n')
        self.connection.pauseProducing()
        self.answers[0].callback(reply())
        self.assertEqual(len(self.requests), 1)
        self.run_checks(caller_http.WRITE_TIMEOUT_CHECKS)
        self.assertTrue(self.transport.aborted)

    def test_connections_beyond_the_limit_are_refused(self):
        """Requests that were read completely don't give way."""
        others = [self.factory.buildProtocol(None) for _ in range(2)]
        for other in others:
            connect(other)
        for connection in (self.connection, *others):
            connection.dataReceived(GET + b'\r\n')
        self.assertIsNone(self.factory.buildProtocol(None))
        lose_connection(others[0])
        self.assertIsNotNone(self.factory.buildProtocol(None))

    def test_idle_and_then_unfinished_connections_give_way(self):
        """Connections that never end a request kept all others out."""
        others = [self.factory.buildProtocol(None) for _ in range(2)]
        transports = [connect(other) for other in others]
        self.send(GET + b'\r\n')
        others[0].dataReceived(GET)
        self.assertIsNotNone(self.factory.buildProtocol(None))
        self.assertTrue(transports[1].aborted)
        self.assertFalse(transports[0].aborted)
        connect(self.factory.buildProtocol(None))
        self.assertFalse(self.transport.aborted)

    def test_search_for_room_serves_several_connections(self):
        """Each connection at the limit cost a search through all others."""
        factory = CallerHttpFactory(self.handle, max_connections=256)
        transports = [connect(factory.buildProtocol(None)) for _ in range(256)]
        for _ in range(4):
            connect(factory.buildProtocol(None))
            closed = sum(transport.aborted for transport in transports)
            self.assertEqual(closed, 4)
        self.assertEqual(len(factory.connections), 256)

    def test_trailer_without_end_is_refused(self):
        """The parser held all of it until the timeout."""
        self.send(
            GET.replace(b'GET', b'POST')
            + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: '
        )
        written = b''
        for _ in range(10):
            written += self.send(b'x' * 8192)
        self.assertIn(b' 431 ', written)

    def test_expectation_is_met_before_the_body_comes(self):
        written = self.send(
            GET + b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n',
        )
        self.assertEqual(written, b'HTTP/1.1 100 Continue\r\n\r\n')
        self.send(b'ab')
        self.assertEqual(self.requests[0].body, b'ab')

    def test_head_and_empty_statuses_have_no_body(self):
        self.send(GET.replace(b'GET', b'HEAD') + b'\r\n' + GET + b'\r\n')
        self.answers[0].callback(reply())
        self.assertTrue(self.transport.take().endswith(b': 2\r\n\r\n'))
        self.answers[1].callback(reply(status=204))
        self.assertTrue(self.transport.take().endswith(b'whole\r\n\r\n'))

    def test_old_version_closes_after_its_answer(self):
        self.send(b'GET /s/ HTTP/1.0\r\n\r\n')
        self.answers[0].callback(reply())
        self.assertIn(b'Connection: close', self.transport.take())
        self.assertTrue(self.transport.write_side_closed)

    @settings(max_examples=150, deadline=None, derandomize=True, database=None)
    @given(
        noise=st.binary(min_size=1, max_size=200),
        position=st.integers(0, 90),
        chunk_bytes=st.integers(1, 40),
    )
    def test_noise_never_raises_and_holds_nothing(
        self, noise, position, chunk_bytes
    ):
        self.setUp()
        self.factory.handler = lambda request: succeed(reply())
        good = GET + b'Content-Length: 5\r\n\r\nabcde'
        stream = good[:position] + noise + good[position:]
        for start in range(0, len(stream), chunk_bytes):
            self.send(stream[start : start + chunk_bytes])
        lose_connection(self.connection)
        self.assertEqual(self.factory.body_budget.held_bytes, 0)
