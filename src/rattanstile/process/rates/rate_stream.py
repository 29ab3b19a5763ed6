"""The stream `rates` of the log, between the log and the rate machines."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

import msgspec
from result import Err, Ok, Result

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
    """Appends rate records and hands on those that the log holds.

    Args:
        take: Takes each record in the order of the log.
    """

    def __init__(
        self,
        reactor: Reactor,
        client: LogClient,
        random: Random,
        take: Callable[[LogRecordRead], None],
    ) -> None:
        """Read nothing yet."""
        self._client = client
        self._take = take
        self._reader = LogReader(
            reactor, client, RATES_STREAM, random, self._event, decode
        )

    @contextmanager
    def running(self) -> Iterator[None]:
        """Follow the stream while the block runs."""
        with self._reader.following(LogOffset(0)):
            yield

    def append(self, wanted: AppendRecord) -> None:
        """Append once; the machine asks again until it reads the record."""
        self._client.append(wanted.stream, _encoder.encode(wanted.record))

    def _event(self, event: StreamEvent) -> None:
        if not isinstance(event, StreamRecords):
            return
        for record in event.records:
            if record is not None:
                self._take(LogRecordRead(RATES_STREAM, record))


def decode(encoded: bytes) -> Result[RateRecord, MalformedRecord]:
    """Return the record, or why the bytes are none."""
    try:
        return Ok(_decoder.decode(encoded))
    except msgspec.MsgspecError as error:
        return Err(MalformedRecord(str(error)))
