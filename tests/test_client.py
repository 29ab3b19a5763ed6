"""The caller library."""

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
from tests.transports import FakeReactor, lose

MESSAGES = (CallerRequest, CallerCancel, IdGrantRequest)


class Entry:
    """An entry node's end of one connection."""

    def __init__(self, link):
        """Name the node."""
        self.link = link
        self._reader = FrameReader()
        self.say(Hello(role=Role.NODE, node_id='entry'))

    def say(self, message):
        """Send a message to the client."""
        self.link.dataReceived(encode_frame(message))

    def heard(self):
        """Return the new messages of the client."""
        return [
            message
            for message in self._reader.feed(self.link.transport.take())
            if isinstance(message, MESSAGES)
        ]

    def answer(self, request, outcome=Outcome.WHOLE, reason=None, **fields):
        """Reply to a request."""
        self.say(
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
        """Grant the ids that the client asked for."""
        self.say(
            IdGrant(service='till', home=home, incarnation=3, id_epoch=9)
        )


class ClientTest(unittest.TestCase):
    """Calls end typed, once, and run at most once."""

    def setUp(self):
        """Begin with two entry nodes connected."""
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
        self.entries = [Entry(self.reactor.dialled(at)) for at in (0, 1)]
        self.heard()

    def call(self, method='GET', **options):
        """Make a call and keep its result."""
        result = self.client.call('till', method, '/deposits', **options)
        result.addCallback(self.results.append)
        return result

    def heard(self):
        """Return the entry node that heard something, and what it heard."""
        for entry in self.entries:
            messages = entry.heard()
            if messages:
                return entry, messages[0]
        return None, None

    def granted_call(self):
        """Begin a call that is not idempotent and return its request."""
        self.call('POST', body=b'5.00')
        entry, wanted = self.heard()
        self.assertEqual(wanted, IdGrantRequest(service='till'))
        entry.grant()
        return self.heard()

    def test_whole_answer_ends_the_call(self):
        self.call(deadline_s=2.0)
        entry, request = self.heard()
        self.assertEqual(request.key, 'key')
        self.assertEqual(request.deadline_ms, 2000)
        self.assertEqual(request.call_id, '')
        entry.answer(request, body=b'yes')
        self.assertEqual(self.results[0].ok_value, Answer(200, (), b'yes'))

    def test_call_that_is_not_idempotent_has_an_id_before_it_leaves(self):
        _, first = self.granted_call()
        self.assertTrue(first.call_id.startswith('home/3/9/'))
        self.call('POST')
        _, second = self.heard()
        self.assertNotEqual(first.call_id, second.call_id)

    def test_lost_connection_sends_the_same_id_through_another_entry(self):
        entry, first = self.granted_call()
        lose(entry.link)
        self.reactor.advance(0.1)
        other, second = self.heard()
        self.assertIsNot(other, entry)
        self.assertEqual(second.call_id, first.call_id)
        self.assertEqual(second.attempt, 2)
        other.answer(second, body=b'charged once')
        self.assertEqual(self.results[0].ok_value.body, b'charged once')

    def test_silent_connection_is_left_within_two_seconds(self):
        entry, first = self.granted_call()
        self.reactor.pump([CHECK_PERIOD_S] * 7)
        self.assertTrue(entry.link.transport.aborted)
        self.reactor.advance(0.1)
        other = next(one for one in self.entries if one is not entry)
        request = next(
            message
            for message in other.heard()
            if isinstance(message, CallerRequest)
        )
        self.assertEqual(request.call_id, first.call_id)

    def test_reply_on_another_connection_or_late_is_ignored(self):
        entry, request = self.granted_call()
        other = next(one for one in self.entries if one is not entry)
        other.answer(request, body=b'not mine')
        self.assertEqual(self.results, [])
        lose(entry.link)
        self.reactor.advance(0.1)
        _, again = self.heard()
        other.answer(request, body=b'late')
        self.assertEqual(self.results, [])
        other.answer(again, body=b'mine')
        other.answer(again, body=b'twice')
        self.assertEqual(len(self.results), 1)
        self.assertEqual(self.results[0].ok_value.body, b'mine')

    def test_proved_refusal_is_tried_again_under_a_new_id(self):
        entry, first = self.granted_call()
        entry.answer(first, Outcome.NOT_RUN, Reason.DRAINING)
        self.reactor.advance(0.1)
        asked, _ = self.heard()
        asked.grant('other-home')
        _, second = self.heard()
        self.assertTrue(second.call_id.startswith('other-home/'))
        self.assertEqual(second.attempt, 1)

    def test_refused_attempt_goes_on_through_another_entry(self):
        for _ in range(8):
            self.call()
            entry, request = self.heard()
            entry.answer(request, Outcome.NOT_RUN, Reason.NO_TARGET)
            self.reactor.advance(0.1)
            other, again = self.heard()
            self.assertIsNot(other, entry)
            other.answer(again)

    def test_refusal_after_a_lost_attempt_stays_unknown(self):
        self.call()
        entry, _ = self.heard()
        lose(entry.link)
        self.reactor.advance(0.1)
        other, second = self.heard()
        other.answer(second, Outcome.NOT_RUN, Reason.KEY_REFUSED)
        self.assertIsInstance(self.results[0].err_value, UnknownError)

    def test_overload_is_not_retried_without_a_wait(self):
        self.call()
        entry, request = self.heard()
        entry.answer(request, Outcome.NOT_RUN, Reason.SHED)
        self.reactor.advance(3)
        self.assertIsInstance(self.results[0].err_value, NotRunError)
        self.assertEqual(self.heard(), (None, None))

    def test_overload_is_retried_no_earlier_than_told(self):
        self.call()
        entry, request = self.heard()
        entry.answer(request, Outcome.NOT_RUN, Reason.SHED, retry_after_ms=700)
        self.reactor.advance(0.69)
        self.assertEqual(self.heard(), (None, None))
        self.reactor.advance(0.02)
        self.assertIsInstance(self.heard()[1], CallerRequest)

    def test_wait_beyond_the_deadline_ends_the_call_at_once(self):
        self.call(deadline_s=1.0)
        entry, request = self.heard()
        entry.answer(request, Outcome.NOT_RUN, Reason.SHED, retry_after_ms=1500)
        self.assertEqual(self.results[0].err_value.retry_after_s, 1.5)

    def test_attempts_of_one_call_and_of_all_are_bounded(self):
        attempts = 0
        for _ in range(30):
            self.call()
            for _ in range(6):
                entry, request = self.heard()
                if request is not None:
                    attempts += 1
                    entry.answer(request, Outcome.NOT_RUN, Reason.NO_TARGET)
                self.reactor.advance(0.5)
        self.assertEqual(len(self.results), 30)
        self.assertEqual(attempts, 30 + 10)

    def test_home_that_leaves_a_call_unanswered_gets_no_further_one(self):
        _, first = self.granted_call()
        self.reactor.advance(0.4)
        self.call('POST')
        _, second = self.heard()
        self.assertIsInstance(second, CallerRequest)
        self.reactor.advance(0.2)
        self.call('POST')
        entry, wanted = self.heard()
        self.assertEqual(wanted, IdGrantRequest(service='till', avoided='home'))
        entry.grant('other-home')
        _, third = self.heard()
        self.assertTrue(third.call_id.startswith('other-home/'))

    def test_home_that_answers_keeps_its_grant(self):
        entry, first = self.granted_call()
        entry.answer(first)
        self.reactor.advance(1.0)
        self.call('POST')
        self.assertIsInstance(self.heard()[1], CallerRequest)

    def test_many_calls_lost_at_once_are_all_sent_again(self):
        for _ in range(40):
            self.call('POST')
            entry, message = self.heard()
            if isinstance(message, IdGrantRequest):
                entry.grant()
                self.heard()
        lose(self.entries[0].link)
        self.reactor.advance(0.1)
        again = self.entries[1].heard()
        self.assertGreater(len(again), 10)
        self.assertEqual(self.results, [])
        for request in again:
            self.entries[1].answer(request)
        self.assertEqual(len(self.results), len(again))

    def test_final_refusals_and_failures_are_not_retried(self):
        for outcome, reason, kind in (
            (Outcome.NOT_RUN, Reason.KEY_REFUSED, NotRunError),
            (Outcome.FAILED, Reason.TARGET_FAILED, FailedError),
            (Outcome.UNKNOWN, Reason.HOME_GONE, UnknownError),
        ):
            with self.subTest(reason):
                self.setUp()
                self.call()
                entry, request = self.heard()
                entry.answer(request, outcome, reason, status=502)
                self.assertIsInstance(self.results[0].err_value, kind)
                self.assertIs(self.results[0].err_value.reason, reason)

    def test_deadline_ends_a_call_and_cancels_its_attempt(self):
        self.call(deadline_s=0.5)
        entry, request = self.heard()
        self.reactor.advance(0.5)
        self.assertIsInstance(self.results[0].err_value, UnknownError)
        cancels = [CallerCancel(sequence=request.sequence)]
        self.assertEqual(entry.heard()[-1:], cancels)
        entry.answer(request)
        self.assertEqual(len(self.results), 1)

    def test_call_that_found_no_entry_did_not_run(self):
        for entry in self.entries:
            lose(entry.link)
        self.call(deadline_s=0.5)
        self.reactor.advance(0.5)
        self.assertIsInstance(self.results[0].err_value, NotRunError)

    def test_call_waits_for_an_entry_that_comes_back(self):
        for entry in self.entries:
            lose(entry.link)
        self.call()
        self.reactor.pump([CHECK_PERIOD_S])
        entry = Entry(self.reactor.dialled())
        self.assertIsInstance(entry.heard()[0], CallerRequest)

    def test_entry_that_drains_gets_no_new_call(self):
        self.entries[0].say(DrainNotice())
        for _ in range(8):
            self.call()
        self.assertEqual(self.entries[0].heard(), [])

    def test_cancelled_call_is_cancelled_at_the_entry(self):
        result = self.call()
        result.addErrback(lambda failure: None)
        entry, request = self.heard()
        result.cancel()
        self.assertEqual(
            entry.heard(), [CallerCancel(sequence=request.sequence)]
        )
        entry.answer(request)

    def test_grant_wanted_on_a_lost_connection_is_asked_for_again(self):
        self.call('POST')
        entry, _ = self.heard()
        lose(entry.link)
        other, wanted = self.heard()
        self.assertIsNot(other, entry)
        self.assertEqual(wanted, IdGrantRequest(service='till'))

    def test_no_home_is_a_refusal(self):
        self.call('POST', deadline_s=0.02)
        entry, _ = self.heard()
        entry.grant('')
        self.assertIsInstance(self.results[0].err_value, NotRunError)
        self.assertIs(self.results[0].err_value.reason, Reason.NO_TARGET)
