"""Bytes of other writers that reach the product's own node."""

import unittest
from types import SimpleNamespace

import msgspec
from result import Err

from rattanstile.connection import frames
from rattanstile.connection.frames import FrameError, FrameReader, Heartbeat
from rattanstile.process.configuration.log_client import LogClient
from rattanstile.process.control_service import (
    ControlEnvelope,
    ControlService,
    Family,
)
from rattanstile.process.entry.binding_index import BindingIndex
from rattanstile.process.rates import rate_stream
from rattanstile.version.records import (
    MarkRecord,
    decode_record,
    encode_record,
)

DEPTH = 3000
"""More levels than Python's limit on nested calls."""
DEEP = b'\x91' * DEPTH + b'\xc0'
MARK = encode_record(MarkRecord(record_id='mark'))


def with_deep_field(encoded):
    """Return an encoded map of a few fields with one more, nested deeply."""
    return bytes([encoded[0] + 1]) + encoded[1:] + b'\xa1x' + DEEP


class NestedTooDeeplyTest(unittest.TestCase):
    """It left the decoder as an error that nobody expected."""

    def test_record_of_the_log(self):
        """Such as that of a node that joins."""
        self.assertIsInstance(decode_record(with_deep_field(MARK)), Err)

    def test_record_of_the_rates(self):
        """Rates were no longer allocated anew."""
        record = with_deep_field(b'\x81\xa4type\xadowner-started')
        self.assertIsInstance(rate_stream.decode(record), Err)

    def test_record_of_a_binding(self):
        """The records after it bind their keys."""
        index = BindingIndex()
        texts = b'\xa1a\xc4\x01b\xc4\x01c\xa1d\xa1e'
        index.fold(0, (b'\x96' + texts + DEEP, DEEP))
        self.assertEqual(index.next_offset, 2)
        self.assertEqual(len(index), 0)

    def test_page_of_the_log(self):
        """The log counts as unavailable."""
        body = b'{"x":' + b'[' * DEPTH + b']' * DEPTH + b'}'
        client = SimpleNamespace()
        self.assertIsInstance(LogClient._read_result(client, 200, body), Err)

    def test_control_message(self):
        """It is dropped."""
        service = ControlService('n1', lambda _: None)
        received = []
        for family in Family:
            service.handlers[family] = lambda *message: received.append(message)
            payload = msgspec.Raw(with_deep_field(b'\x80'))
            envelope = ControlEnvelope(
                sender='n2', family=family, payload=payload
            )
            service.receive(msgspec.msgpack.encode(envelope))
        self.assertEqual(received, [])

    def test_frame(self):
        """Its connection is closed."""
        payload = with_deep_field(frames._encoder.encode(Heartbeat(sequence=1)))
        header = frames._HEADER.pack(
            len(payload) + 8, frames.xxh32_intdigest(payload)
        )
        with self.assertRaises(FrameError):
            list(FrameReader().feed(header + payload))
