"""Frames."""

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
    """Messages come out whole or the connection can't go on."""

    @bounded
    @given(
        bodies=st.lists(st.binary(max_size=300), min_size=1, max_size=5),
        cut_bytes=st.integers(min_value=1, max_value=97),
    )
    def test_messages_survive_any_cut_of_the_stream(self, bodies, cut_bytes):
        sent = [
            CallerRequest(sequence=number, service='s', body=body)
            for number, body in enumerate(bodies)
        ]
        stream = b''.join(map(encode_frame, sent))
        reader = FrameReader()
        received = []
        for start in range(0, len(stream), cut_bytes):
            received.extend(reader.feed(stream[start : start + cut_bytes]))
        self.assertEqual(received, sent)

    @bounded
    @given(
        flipped=st.integers(min_value=4, max_value=60), bit=st.integers(0, 7)
    )
    def test_changed_bit_is_refused(self, flipped, bit):
        reply = Reply(
            call_id='home/1/1/issuer/1/7',
            attempt=1,
            outcome=Outcome.NOT_RUN,
            reason=Reason.SHED,
        )
        frame = bytearray(encode_frame(reply))
        frame[flipped] ^= 1 << bit
        with self.assertRaises(FrameError):
            list(FrameReader().feed(bytes(frame)))

    def test_length_out_of_bounds_is_refused_before_the_payload_comes(self):
        for total_bytes in (0, 8, MAX_FRAME_BYTES + 1, 2**32 - 1):
            head = total_bytes.to_bytes(4, 'big') + bytes(4)
            with self.subTest(total_bytes), self.assertRaises(FrameError):
                list(FrameReader().feed(head))

    def test_payload_that_is_no_message_is_refused(self):
        payload = b'\x81\xa4type\xa5other'
        head = frames._HEADER.pack(
            len(payload) + 8, frames.xxh32_intdigest(payload)
        )
        with self.assertRaises(FrameError):
            list(FrameReader().feed(head + payload))

    def test_messages_before_a_bad_frame_are_still_given(self):
        stream = encode_frame(Heartbeat(sequence=1)) + bytes(8)
        reading = FrameReader().feed(stream)
        self.assertEqual(next(reading), Heartbeat(sequence=1))
        with self.assertRaises(FrameError):
            next(reading)

    def test_message_beyond_the_frame_limit_is_not_encoded(self):
        request = CallerRequest(
            sequence=1, service='s', body=bytes(MAX_FRAME_BYTES)
        )
        with self.assertRaises(MessageTooLargeError):
            encode_frame(request)
