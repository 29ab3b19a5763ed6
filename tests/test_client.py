"""Tests of the caller library, with simulated entry nodes."""

import random
import unittest

from rattanstile.client import (
    Answer,
    Client,
    FailedError,
    NotRunError,
    UnknownError,
)
from rattanstile.connection.frames import (
    CallerCancel,
    CallerReply,
    CallerRequest,
    DrainNotice,
    FrameReader,
    Hello,
    IdGrant,
    IdGrantRequest,
    Role,
    encode_frame,
)
from rattanstile.connection.link import CHECK_PERIOD_S
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason
from tests.transports import FakeReactor, lose_connection

REQUEST_TYPES = (CallerRequest, CallerCancel, IdGrantRequest)


class EntryNode:
    """A simulated entry node at the other end of a connection."""

    def __init__(self, link):
        """Send the node's hello."""
        self.link = link
        self._reader = FrameReader()
        self.send(Hello(role=Role.NODE, node_id='entry'))

    def send(self, message):
        """Send a message to the client."""
        self.link.dataReceived(encode_frame(message))

    def take_messages(self):
        """Return the requests that the client has sent since the last call."""
        return [
            message
            for message in self._reader.feed(self.link.transport.take())
            if isinstance(message, REQUEST_TYPES)
        ]

    def reply(self, request, outcome=Outcome.WHOLE, reason=None, **fields):
        """Reply to a request."""
        self.send(
            CallerReply(
                sequence=request.sequence,
                reply=Reply(
                    call_id=request.call_id,
                    attempt=request.attempt,
                    outcome=outcome,
                    reason=reason,
                    **fields,
                ),
            ),
        )

    def grant(self, home='home'):
        """Send a grant of ids under a home node."""
        self.send(IdGrant(service='till', home=home, incarnation=3, id_epoch=9))


class ClientTest(unittest.TestCase):
    """Each call ends once with a typed result and runs at most once.

    Idempotent calls are the exception: a retry may run them again.
    """

    def setUp(self):
        """Start a client that is connected to two entry nodes."""
        self.reactor = FakeReactor()
        self.client = Client(
            self.reactor,
            ['127.0.0.1:1', '[::1]:2'],
            'key',
            chance=random.Random(1),
        )
        self._running = self.client.running()
        self._running.__enter__()
        self.results = []
        self.entries = [
            EntryNode(self.reactor.complete_connection(index))
            for index in (0, 1)
        ]
        self.next_message()

    def call(self, method='GET', **options):
        """Make a call and record its result."""
        result = self.client.call('till', method, '/deposits', **options)
        result.addCallback(self.results.append)
        return result

    def next_message(self):
        """Return an entry node with a new message, and its first message."""
        for entry in self.entries:
            messages = entry.take_messages()
            if messages:
                return entry, messages[0]
        return None, None

    def start_granted_call(self):
        """Start a call that is not idempotent and grant it an id.

        Returns:
            The entry node that received its request, and the request.
        """
        self.call('POST', body=b'5.00')
        entry, id_request = self.next_message()
        self.assertEqual(id_request, IdGrantRequest(service='till'))
        entry.grant()
        return self.next_message()

    def test_complete_answer_ends_call(self):
        self.call(deadline_s=2.0)
        entry, request = self.next_message()
        self.assertEqual(request.key, 'key')
        self.assertEqual(request.deadline_ms, 2000)
        self.assertEqual(request.call_id, '')
        entry.reply(request, body=b'yes')
        self.assertEqual(self.results[0].ok_value, Answer(200, (), b'yes'))

    def test_non_idempotent_call_has_an_id_before_it_is_sent(self):
        _, first = self.start_granted_call()
        self.assertTrue(first.call_id.startswith('home/3/9/'))
        self.call('POST')
        _, second = self.next_message()
        self.assertNotEqual(first.call_id, second.call_id)

    def test_lost_connection_resends_the_same_id_through_another_entry(self):
        entry, first = self.start_granted_call()
        lose_connection(entry.link)
        self.reactor.advance(0.1)
        other, second = self.next_message()
        self.assertIsNot(other, entry)
        self.assertEqual(second.call_id, first.call_id)
        self.assertEqual(second.attempt, 2)
        other.reply(second, body=b'charged once')
        self.assertEqual(self.results[0].ok_value.body, b'charged once')

    def test_silent_connection_is_aborted_within_two_seconds(self):
        entry, first = self.start_granted_call()
        self.reactor.pump([CHECK_PERIOD_S] * 7)
        self.assertTrue(entry.link.transport.aborted)
        self.reactor.advance(0.1)
        other = next(node for node in self.entries if node is not entry)
        request = next(
            message
            for message in other.take_messages()
            if isinstance(message, CallerRequest)
        )
        self.assertEqual(request.call_id, first.call_id)

    def test_late_reply_or_reply_on_another_connection_is_ignored(self):
        entry, request = self.start_granted_call()
        other = next(node for node in self.entries if node is not entry)
        other.reply(request, body=b'not mine')
        self.assertEqual(self.results, [])
        lose_connection(entry.link)
        self.reactor.advance(0.1)
        _, retry = self.next_message()
        other.reply(request, body=b'late')
        self.assertEqual(self.results, [])
        other.reply(retry, body=b'mine')
        other.reply(retry, body=b'twice')
        self.assertEqual(len(self.results), 1)
        self.assertEqual(self.results[0].ok_value.body, b'mine')

    def test_call_that_did_not_run_is_retried_under_a_new_id(self):
        entry, first = self.start_granted_call()
        entry.reply(first, Outcome.NOT_RUN, Reason.DRAINING)
        self.reactor.advance(0.1)
        granting_entry, _ = self.next_message()
        granting_entry.grant('other-home')
        _, second = self.next_message()
        self.assertTrue(second.call_id.startswith('other-home/'))
        self.assertEqual(second.attempt, 1)

    def test_refused_attempt_is_retried_through_another_entry(self):
        for _ in range(8):
            self.call()
            entry, request = self.next_message()
            entry.reply(request, Outcome.NOT_RUN, Reason.NO_TARGET)
            self.reactor.advance(0.1)
            other, retry = self.next_message()
            self.assertIsNot(other, entry)
            other.reply(retry)

    def test_refusal_after_a_lost_attempt_stays_unknown(self):
        self.call()
        entry, _ = self.next_message()
        lose_connection(entry.link)
        self.reactor.advance(0.1)
        other, second = self.next_message()
        other.reply(second, Outcome.NOT_RUN, Reason.KEY_REFUSED)
        self.assertIsInstance(self.results[0].err_value, UnknownError)

    def test_overload_without_retry_after_is_not_retried(self):
        self.call()
        entry, request = self.next_message()
        entry.reply(request, Outcome.NOT_RUN, Reason.SHED)
        self.reactor.advance(3)
        self.assertIsInstance(self.results[0].err_value, NotRunError)
        self.assertEqual(self.next_message(), (None, None))

    def test_overload_is_not_retried_before_retry_after(self):
        self.call()
        entry, request = self.next_message()
        entry.reply(request, Outcome.NOT_RUN, Reason.SHED, retry_after_ms=700)
        self.reactor.advance(0.69)
        self.assertEqual(self.next_message(), (None, None))
        self.reactor.advance(0.02)
        self.assertIsInstance(self.next_message()[1], CallerRequest)

    def test_retry_after_beyond_the_deadline_ends_the_call_at_once(self):
        self.call(deadline_s=1.0)
        entry, request = self.next_message()
        entry.reply(request, Outcome.NOT_RUN, Reason.SHED, retry_after_ms=1500)
        self.assertEqual(self.results[0].err_value.retry_after_s, 1.5)

    def test_attempts_per_call_and_in_total_are_bounded(self):
        attempts = 0
        for _ in range(30):
            self.call()
            for _ in range(6):
                entry, request = self.next_message()
                if request is not None:
                    attempts += 1
                    entry.reply(request, Outcome.NOT_RUN, Reason.NO_TARGET)
                self.reactor.advance(0.5)
        self.assertEqual(len(self.results), 30)
        self.assertEqual(attempts, 30 + 10)

    def test_home_with_an_unanswered_call_gets_no_further_calls(self):
        _, first = self.start_granted_call()
        self.reactor.advance(0.4)
        self.call('POST')
        _, second = self.next_message()
        self.assertIsInstance(second, CallerRequest)
        self.reactor.advance(0.2)
        self.call('POST')
        entry, id_request = self.next_message()
        self.assertEqual(
            id_request, IdGrantRequest(service='till', avoided='home')
        )
        entry.grant('other-home')
        _, third = self.next_message()
        self.assertTrue(third.call_id.startswith('other-home/'))

    def test_home_that_answers_keeps_its_grant(self):
        entry, first = self.start_granted_call()
        entry.reply(first)
        self.reactor.advance(1.0)
        self.call('POST')
        self.assertIsInstance(self.next_message()[1], CallerRequest)

    def test_all_calls_lost_at_once_are_resent(self):
        for _ in range(40):
            self.call('POST')
            entry, message = self.next_message()
            if isinstance(message, IdGrantRequest):
                entry.grant()
                self.next_message()
        lose_connection(self.entries[0].link)
        self.reactor.advance(0.1)
        retries = self.entries[1].take_messages()
        self.assertGreater(len(retries), 10)
        self.assertEqual(self.results, [])
        for request in retries:
            self.entries[1].reply(request)
        self.assertEqual(len(self.results), len(retries))

    def test_final_refusals_and_failures_are_not_retried(self):
        for outcome, reason, kind in (
            (Outcome.NOT_RUN, Reason.KEY_REFUSED, NotRunError),
            (Outcome.FAILED, Reason.TARGET_FAILED, FailedError),
            (Outcome.UNKNOWN, Reason.HOME_GONE, UnknownError),
        ):
            with self.subTest(reason):
                self.setUp()
                self.call()
                entry, request = self.next_message()
                entry.reply(request, outcome, reason, status=502)
                self.assertIsInstance(self.results[0].err_value, kind)
                self.assertIs(self.results[0].err_value.reason, reason)

    def test_deadline_ends_a_call_and_cancels_its_attempt(self):
        self.call(deadline_s=0.5)
        entry, request = self.next_message()
        self.reactor.advance(0.5)
        self.assertIsInstance(self.results[0].err_value, UnknownError)
        cancels = [CallerCancel(sequence=request.sequence)]
        self.assertEqual(entry.take_messages()[-1:], cancels)
        entry.reply(request)
        self.assertEqual(len(self.results), 1)

    def test_call_without_an_entry_did_not_run(self):
        for entry in self.entries:
            lose_connection(entry.link)
        self.call(deadline_s=0.5)
        self.reactor.advance(0.5)
        self.assertIsInstance(self.results[0].err_value, NotRunError)

    def test_call_waits_for_an_entry_to_reconnect(self):
        for entry in self.entries:
            lose_connection(entry.link)
        self.call()
        self.reactor.pump([CHECK_PERIOD_S])
        entry = EntryNode(self.reactor.complete_connection())
        self.assertIsInstance(entry.take_messages()[0], CallerRequest)

    def test_draining_entry_gets_no_new_calls(self):
        self.entries[0].send(DrainNotice())
        for _ in range(8):
            self.call()
        self.assertEqual(self.entries[0].take_messages(), [])

    def test_cancelled_call_is_cancelled_at_the_entry(self):
        result = self.call()
        result.addErrback(lambda failure: None)
        entry, request = self.next_message()
        result.cancel()
        self.assertEqual(
            entry.take_messages(), [CallerCancel(sequence=request.sequence)]
        )
        entry.reply(request)

    def test_id_request_on_a_lost_connection_is_repeated(self):
        self.call('POST')
        entry, _ = self.next_message()
        lose_connection(entry.link)
        other, id_request = self.next_message()
        self.assertIsNot(other, entry)
        self.assertEqual(id_request, IdGrantRequest(service='till'))

    def test_grant_without_a_home_refuses_the_call(self):
        self.call('POST', deadline_s=0.02)
        entry, _ = self.next_message()
        entry.grant('')
        self.assertIsInstance(self.results[0].err_value, NotRunError)
        self.assertIs(self.results[0].err_value.reason, Reason.NO_TARGET)
