"""Responses at a target's connection that aren't the target's answers."""

import unittest

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.platform.targets import PlatformTargetCodec
from rattanstile.process.mesh.ports import RunAnswered, RunFailed

ID = (b'request-id', b'r-1')
SIGNATURE = (b'response-signature', b's1')


def outcome(status, *headers):
    response = HttpResponse(status, b'', headers, b'')
    return PlatformTargetCodec().decode_answer(response)


class UnsignedAnswerTest(unittest.TestCase):
    """A caller doesn't repeat a request after 3xx and 4xx."""

    def test_unsigned_refusal_of_a_target_is_not_passed_on(self):
        """Callers took it for the node's own and gave the request up."""
        for status in (302, 400, 401, 404, 413):
            for headers in ((), (ID,), (SIGNATURE,)):
                with self.subTest(status=status, headers=headers):
                    self.assertEqual(
                        outcome(status, *headers),
                        RunFailed(ExchangeFailure.SPOILED),
                    )

    def test_signed_refusal_of_a_target_is_passed_on(self):
        """It is the target's answer."""
        answered = outcome(404, ID, SIGNATURE)
        self.assertIsInstance(answered, RunAnswered)
        self.assertEqual(answered.answer.status, 404)

    def test_failure_of_a_target_is_passed_on(self):
        """Also without a signature: a caller may repeat it either way."""
        self.assertIsInstance(outcome(500, ID), RunAnswered)
