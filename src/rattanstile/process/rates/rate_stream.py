"""Reads and appends the log stream `rates` for the rate state machines."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import msgspec
from result import Result

from rattanstile.decoding import decode_untrusted
from rattanstile.process.configuration.log_client import LogClient
from rattanstile.process.configuration.log_reader import (
    LogReader,
    StreamEvent,
    StreamRecords,
)
from rattanstile.process.control_messages import AppendRecord, LogRecordRead
from rattanstile.process.rates.rate_messages import RATES_STREAM, RateRecord
from rattanstile.process.reactor import Reactor
from rattanstile.request.ids import LogOffset
from rattanstile.version.records import MalformedRecord

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[RateRecord] = msgspec.msgpack.Decoder(
    RateRecord
)


class RateStream:
    """Appends rate records and passes on the records read from the log.

    Args:
        handler: Called with each record, in the order of the log.
    """

    def __init__(
        self,
        reactor: Reactor,
        client: LogClient,
        random: Random,
        handler: Callable[[LogRecordRead], None],
    ) -> None:
        """Create the reader without starting it."""
        self._client = client
        self._handler = handler
        self._reader = LogReader(
            reactor, client, RATES_STREAM, random, self._handle_event, decode
        )

    @contextmanager
    def running(self) -> Iterator[None]:
        """Follow the stream while the block runs."""
        with self._reader.following(LogOffset(0)):
            yield

    def append(self, output: AppendRecord) -> None:
        """Append once.

        The state machine repeats the append until it reads the record back.
        """
        self._client.append(output.stream, _encoder.encode(output.record))

    def _handle_event(self, event: StreamEvent) -> None:
        if not isinstance(event, StreamRecords):
            return
        for record in event.records:
            if record is not None:
                self._handler(LogRecordRead(RATES_STREAM, record))


def decode(encoded: bytes) -> Result[RateRecord, MalformedRecord]:
    """Return the record, or why the bytes can't be decoded."""
    return decode_untrusted(_decoder.decode, encoded).map_err(
        lambda error: MalformedRecord(error.message)
    )
