"""Connections to the target."""

import unittest

from rattanstile.connection import target_http
from rattanstile.connection.target_answer import MAX_ANSWER_BYTES
from rattanstile.connection.target_http import (
    TargetRequest,
    TargetSessions,
    encode_request,
)
from rattanstile.process.messages import TargetFailure
from rattanstile.process.timers import TimerService
from tests.transports import FakeReactor, lose_connection

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n'


def request(**fields):
    """Return a call with these fields changed."""
    fields = {
        'method': 'POST',
        'path': '/claims',
        'headers': (),
        'body': b'lot 7',
        'token': 'token',
        'timeout_s': 2.0,
        **fields,
    }
    return TargetRequest(**fields)


class TargetSessionsTest(unittest.TestCase):
    """Only complete answers are accepted.

    A call counts as not sent only where no byte of it was written.
    """

    def setUp(self):
        """Create sessions without connections."""
        self.reactor = FakeReactor()
        self.sessions = TargetSessions(
            self.reactor, TimerService(self.reactor), '127.0.0.1', 80, 2
        )
        self.results = []

    def run_call(self, **fields):
        """Start a call and collect its result."""
        result = self.sessions.run(request(**fields))
        result.addCallback(self.results.append)
        return result

    def test_call_reaches_the_target_with_token_deadline_and_length(self):
        written = encode_request(
            request(
                headers=(
                    ('Accept', 'a/b'),
                    ('Authorization', 'Bearer key'),
                    ('Idempotency-Key', 'i-1'),
                    ('X-Split', 'a\r\nb: c'),
                ),
            ),
        )
        self.assertEqual(
            written,
            b'POST /claims HTTP/1.1\r\nHost: target\r\n'
            b'Rattanstile-Call: token\r\nRattanstile-Deadline-Ms: 2000\r\n'
            b'Content-Length: 5\r\naccept: a/b\r\n\r\nlot 7',
        )

    def test_complete_answer_frees_its_connection_for_the_next_call(self):
        self.run_call()
        connection = self.reactor.complete_connection()
        connection.dataReceived(
            b'HTTP/1.1 503 No\r\nRattanstile-Boot: b7\r\n'
            b'Rattanstile-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfu',
        )
        self.assertEqual(self.results, [])
        connection.dataReceived(b'll')
        (answer,) = self.results
        self.assertEqual((answer.status, answer.body), (503, b'full'))
        self.assertEqual((answer.boot_id, answer.stated_not_run), ('b7', True))
        self.run_call()
        self.assertEqual(len(self.reactor.factories), 1)
        connection.dataReceived(OK + b'ok')
        self.assertEqual(self.results[1].body, b'ok')
        self.assertFalse(self.results[1].stated_not_run)

    def test_refused_connection_proves_that_nothing_was_sent(self):
        self.run_call()
        self.reactor.refuse_connection()
        self.assertEqual(self.results, [TargetFailure.NOT_SENT])

    def test_calls_wait_for_a_connection_beyond_the_limit(self):
        for _ in range(3):
            self.run_call()
        self.assertEqual(len(self.reactor.factories), 2)
        served = self.reactor.complete_connection(0)
        served.dataReceived(OK + b'ok')
        self.assertEqual(served.transport.take().count(b'POST'), 2)

    def test_waiting_call_is_served_after_a_connection_is_lost(self):
        for _ in range(3):
            self.run_call()
        lose_connection(self.reactor.complete_connection(0))
        self.assertEqual(self.results, [TargetFailure.RESET])
        self.assertEqual(len(self.reactor.factories), 3)

    def test_call_without_a_connection_times_out_as_not_sent(self):
        self.run_call(timeout_s=0.5)
        self.reactor.advance(0.5)
        self.assertEqual(self.results, [TargetFailure.NOT_SENT])
        self.assertEqual(
            self.reactor.complete_connection().transport.take(), b''
        )

    def test_lost_connection_may_have_run_the_call(self):
        self.run_call()
        lose_connection(self.reactor.complete_connection())
        self.assertEqual(self.results, [TargetFailure.RESET])

    def test_incomplete_or_invalid_answers_are_cut(self):
        for received in (
            OK + b'o',
            b'HTTP/1.1 200 OK\r\n',
            b'HTTP/1.1 200 OK\r\n\r\nno length, so no end',
            b'HTTP/1.0 200 OK\r\n\r\nno length, so no end',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
            b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n'
            b'Content-Length: 2\r\n\r\nok',
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 101 Switching\r\nUpgrade: x\r\n'
            b'Connection: upgrade\r\n\r\n',
            b'nonsense',
            b'HTTP/1.1 200 OK\r\nX: ' + b'a' * 70_000,
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'
            % (MAX_ANSWER_BYTES + 1)
            + bytes(MAX_ANSWER_BYTES + 1),
        ):
            with self.subTest(received[:60]):
                self.setUp()
                self.run_call()
                connection = self.reactor.complete_connection()
                connection.dataReceived(received)
                lose_connection(connection)
                self.assertEqual(self.results, [TargetFailure.ANSWER_CUT])

    def test_other_answer_formats_are_complete(self):
        for received, body in (
            (
                b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'2\r\nok\r\n0\r\n\r\n',
                b'ok',
            ),
            (b'HTTP/1.1 100 Continue\r\n\r\n' + OK + b'ok', b'ok'),
            (b'HTTP/1.1 204 None\r\n\r\n', b''),
        ):
            with self.subTest(received):
                self.setUp()
                self.run_call()
                self.reactor.complete_connection().dataReceived(received)
                self.assertEqual(self.results[0].body, body)

    def test_answer_to_head_has_no_body_despite_its_length(self):
        self.run_call(method='HEAD')
        self.reactor.complete_connection().dataReceived(OK)
        self.assertEqual(self.results[0].body, b'')

    def test_unsolicited_answer_never_reaches_the_next_call(self):
        self.run_call()
        connection = self.reactor.complete_connection()
        connection.dataReceived(OK + b'ok' + OK + b'NO')
        self.assertEqual(self.results[0].body, b'ok')
        self.assertTrue(connection.transport.aborted)
        self.run_call()
        self.assertEqual(len(self.reactor.factories), 2)

    def test_bytes_on_an_idle_connection_close_it(self):
        self.run_call()
        connection = self.reactor.complete_connection()
        connection.dataReceived(OK + b'ok')
        connection.dataReceived(OK[:9])
        self.assertTrue(connection.transport.aborted)
        self.run_call()
        self.assertEqual(len(self.reactor.factories), 2)

    def test_answer_with_the_token_of_another_call_is_rejected(self):
        self.run_call(token='mine')
        connection = self.reactor.complete_connection()
        mismatched = OK.replace(
            b'Content', b'Rattanstile-Call: other\r\nContent'
        )
        connection.dataReceived(mismatched + b'NO')
        self.assertEqual(self.results, [TargetFailure.ANSWER_CUT])
        self.assertTrue(connection.transport.aborted)

    def test_timeout_closes_its_connection_and_idle_ones_as_old(self):
        self.run_call()
        self.run_call()
        idle, silent = (
            self.reactor.complete_connection(0),
            self.reactor.complete_connection(1),
        )
        idle.dataReceived(OK + b'ok')
        silent.dataReceived(OK + b'ok')
        self.reactor.advance(1.0)
        self.run_call(timeout_s=0.5)
        self.reactor.advance(0.5)
        self.assertEqual(self.results[-1], TargetFailure.TIMEOUT)
        self.assertTrue(silent.transport.aborted)
        self.assertTrue(idle.transport.aborted)

    def test_expired_idle_connection_is_replaced(self):
        self.run_call()
        connection = self.reactor.complete_connection()
        connection.dataReceived(OK + b'ok')
        self.reactor.advance(target_http.MAX_IDLE_S + 1)
        self.run_call()
        self.assertTrue(connection.transport.aborted)
        self.assertEqual(len(self.reactor.factories), 2)

    def test_surplus_idle_connections_are_closed_after_a_peak(self):
        self.run_call()
        self.run_call()
        surplus, busy = (
            self.reactor.complete_connection(0),
            self.reactor.complete_connection(1),
        )
        surplus.dataReceived(OK + b'ok')
        busy.dataReceived(OK + b'ok')
        for _ in range(3):
            self.reactor.advance(target_http.MAX_IDLE_S / 2)
            self.run_call()
            busy.dataReceived(OK + b'ok')
        self.assertTrue(surplus.transport.aborted)
        self.assertFalse(busy.transport.aborted)

    def test_cancelled_call_closes_its_connection(self):
        result = self.run_call()
        connection = self.reactor.complete_connection()
        result.cancel()
        self.assertEqual(self.results, [TargetFailure.CANCELLED])
        self.assertTrue(connection.transport.aborted)
        lose_connection(connection)
        self.assertEqual(len(self.results), 1)

    def test_call_cancelled_before_it_is_sent_is_reported_as_not_sent(self):
        self.run_call().cancel()
        self.assertEqual(self.results, [TargetFailure.NOT_SENT])
        self.assertEqual(
            self.reactor.complete_connection().transport.take(), b''
        )

    def test_connection_is_not_reused_after_connection_close(self):
        self.run_call()
        connection = self.reactor.complete_connection()
        connection.dataReceived(
            OK.replace(b'Content', b'Connection: close\r\nContent') + b'ok',
        )
        self.run_call()
        self.assertEqual(len(self.reactor.factories), 2)

    def test_closed_sessions_keep_no_connection_open(self):
        self.run_call()
        connection = self.reactor.complete_connection()
        self.sessions.close()
        self.assertFalse(connection.transport.aborted)
        connection.dataReceived(OK + b'ok')
        self.assertEqual(self.results[0].body, b'ok')
        self.assertTrue(connection.transport.aborted)
