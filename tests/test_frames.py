"""Tests of the frames between nodes and callers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from rattanstile.connection import frames
from rattanstile.connection.frames import (
    MAX_FRAME_BYTES,
    CallerRequest,
    FrameError,
    FrameReader,
    Heartbeat,
    MessageTooLargeError,
    encode_frame,
)
from rattanstile.request.envelope import Reply
from rattanstile.request.outcome import Outcome, Reason

bounded = settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)


class FrameReaderTest(unittest.TestCase):
    """A stream is decoded into whole messages or rejected."""

    @bounded
    @given(
        bodies=st.lists(st.binary(max_size=300), min_size=1, max_size=5),
        chunk_bytes=st.integers(min_value=1, max_value=97),
    )
    def test_messages_are_decoded_from_chunks_of_any_size(
        self, bodies, chunk_bytes
    ):
        sent = [
            CallerRequest(sequence=number, service='s', body=body)
            for number, body in enumerate(bodies)
        ]
        stream = b''.join(map(encode_frame, sent))
        reader = FrameReader()
        received = []
        for start in range(0, len(stream), chunk_bytes):
            received.extend(reader.feed(stream[start : start + chunk_bytes]))
        self.assertEqual(received, sent)

    @bounded
    @given(
        byte_index=st.integers(min_value=4, max_value=60), bit=st.integers(0, 7)
    )
    def test_changed_bit_is_rejected(self, byte_index, bit):
        reply = Reply(
            call_id='home/1/1/issuer/1/7',
            attempt=1,
            outcome=Outcome.NOT_RUN,
            reason=Reason.SHED,
        )
        frame = bytearray(encode_frame(reply))
        frame[byte_index] ^= 1 << bit
        with self.assertRaises(FrameError):
            list(FrameReader().feed(bytes(frame)))

    def test_length_out_of_bounds_is_rejected_before_the_payload_arrives(self):
        for total_bytes in (0, 8, MAX_FRAME_BYTES + 1, 2**32 - 1):
            header = total_bytes.to_bytes(4, 'big') + bytes(4)
            with self.subTest(total_bytes), self.assertRaises(FrameError):
                list(FrameReader().feed(header))

    def test_payload_that_is_not_a_message_is_rejected(self):
        payload = b'\x81\xa4type\xa5other'
        header = frames._HEADER.pack(
            len(payload) + 8, frames.xxh32_intdigest(payload)
        )
        with self.assertRaises(FrameError):
            list(FrameReader().feed(header + payload))

    def test_messages_before_an_invalid_frame_are_still_decoded(self):
        stream = encode_frame(Heartbeat(sequence=1)) + bytes(8)
        messages = FrameReader().feed(stream)
        self.assertEqual(next(messages), Heartbeat(sequence=1))
        with self.assertRaises(FrameError):
            next(messages)

    def test_message_above_the_frame_limit_is_not_encoded(self):
        request = CallerRequest(
            sequence=1, service='s', body=bytes(MAX_FRAME_BYTES)
        )
        with self.assertRaises(MessageTooLargeError):
            encode_frame(request)
