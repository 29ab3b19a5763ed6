"""Follows one stream of the platform's log and hands its records on."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from logbook import Logger
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from rattanstile.process.configuration.log_client import (
    LogClient,
    LogUnavailable,
    OffsetTooOld,
    ReadBatch,
    ReadResult,
)
from rattanstile.request.ids import LogOffset
from rattanstile.version.records import decode_record

READ_WAIT_S = 5.0
BACK_OFF_MIN_S = 0.2
BACK_OFF_MAX_S = 5.0

_log = Logger('log_reader')


@dataclass(frozen=True, slots=True)
class StreamRecords:
    """Records read, in the order of their offsets.

    Attributes:
        records: None stands for a record that can't be read.
        at_end: Whether the stream holds no more, as far as is known.
        started_s: When the read was sent; what it shows held then or later.
    """

    first: LogOffset
    records: tuple[Any, ...]
    at_end: bool
    started_s: float


@dataclass(frozen=True, slots=True)
class StreamGap:
    """Records were dropped by retention before they could be read."""

    oldest: LogOffset


@dataclass(frozen=True, slots=True)
class StreamSilent:
    """The log did not answer, or an old replica of it did."""

    failures: int


StreamEvent = StreamRecords | StreamGap | StreamSilent


class LogReader:
    """Reads one stream from an offset on, through outages.

    Args:
        clock: The reactor, or a clock in tests.
        random: Spreads the retries.
        handler: Called with each event, in the order of the stream.
        decode: Returns the result of decoding the bytes of a record.
    """

    def __init__(
        self,
        clock: IReactorTime,
        client: LogClient,
        stream: str,
        random: Random,
        handler: Callable[[StreamEvent], None],
        decode: Callable[[bytes], Any] = decode_record,
    ) -> None:
        """Read nothing yet."""
        self._decode = decode
        self._clock = clock
        self._client = client
        self._stream = stream
        self._random = random
        self._handler = handler
        self._next_offset = LogOffset(0)
        self._log_end = LogOffset(0)
        self._failures = 0
        self._running = False

    @contextmanager
    def following(self, from_offset: LogOffset) -> Iterator[None]:
        """Follow the stream while the block runs."""
        self.start(from_offset)
        try:
            yield
        finally:
            self.stop()

    def start(self, from_offset: LogOffset) -> None:
        """Begin to read."""
        self._next_offset = from_offset
        self._running = True
        self._read()

    def stop(self) -> None:
        """Hand no more records on."""
        self._running = False

    def _read(self) -> None:
        if not self._running:
            return
        started_s = self._clock.seconds()
        reading: Deferred[ReadResult] = self._client.read(
            self._stream, self._next_offset, READ_WAIT_S
        )
        reading.addCallback(self._answered, started_s)
        reading.addErrback(
            lambda failure: _log.error(
                'event=read_failed stream={} failure={}',
                self._stream,
                failure,
            )
        )

    def _answered(self, answer: ReadResult, started_s: float) -> None:
        if not self._running:
            return
        match answer:
            case Ok(batch):
                self._batch(batch, started_s)
            case Err(OffsetTooOld(oldest=oldest)):
                _log.warning(
                    'event=gap stream={} oldest={}', self._stream, oldest
                )
                self._next_offset = oldest
                self._handler(StreamGap(oldest))
                self._read()
            case Err(LogUnavailable() as failure):
                self._silent(failure.message)

    def _batch(self, batch: ReadBatch, started_s: float) -> None:
        read_to = LogOffset(batch.first + len(batch.records))
        if batch.next_offset < max(self._log_end, self._next_offset):
            self._silent('old replica')
            return
        self._failures = 0
        self._log_end = batch.next_offset
        self._next_offset = max(self._next_offset, read_to)
        self._handler(
            StreamRecords(
                batch.first,
                tuple(self._decode(one).ok() for one in batch.records),
                read_to >= batch.next_offset,
                started_s,
            )
        )
        self._read()

    def _silent(self, problem: str) -> None:
        self._failures += 1
        ceiling_s = min(
            BACK_OFF_MAX_S, BACK_OFF_MIN_S * 2 ** min(self._failures, 10)
        )
        delay_s = self._random.uniform(BACK_OFF_MIN_S / 2, ceiling_s)
        _log.warning(
            'event=log_silent stream={} problem={!r} retry_s={:.2f}',
            self._stream,
            problem,
            delay_s,
        )
        self._handler(StreamSilent(self._failures))
        self._clock.callLater(delay_s, self._read)
