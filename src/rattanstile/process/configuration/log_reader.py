"""Reader that follows one stream of the platform's log."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from typing import Any

from logbook import Logger
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.python.failure import Failure

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
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0

_log = Logger('log_reader')


@dataclass(frozen=True, slots=True)
class StreamRecords:
    """Records of one read, in offset order.

    Attributes:
        first: Offset of the first record.
        records: Decoded records; None for one that can't be decoded.
        at_end: Whether the read reached the end of the stream, as the replica
            that responded saw it.
        started_s: When the read was sent; the state it shows was current at
            that time or later.
    """

    first: LogOffset
    records: tuple[Any, ...]
    at_end: bool
    started_s: float


@dataclass(frozen=True, slots=True)
class StreamGap:
    """Retention dropped records before they were read.

    Attributes:
        oldest: Oldest offset that is still retained; reading continues there.
    """

    oldest: LogOffset


@dataclass(frozen=True, slots=True)
class StreamReadFailed:
    """The log did not respond, or a stale replica did.

    Attributes:
        failures: Number of consecutive failed reads.
    """

    failures: int


StreamEvent = StreamRecords | StreamGap | StreamReadFailed


class LogReader:
    """Reads one stream from an offset and retries during outages.

    Args:
        clock: The reactor, or a clock in tests.
        random: Source of the jitter of retries.
        handler: Called with each event, in stream order.
        decode: Decodes the bytes of a record and returns a `Result`.
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
        """Create the reader; `start` sends the first read."""
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
        """Start reading from an offset."""
        self._next_offset = from_offset
        self._running = True
        self._read()

    def stop(self) -> None:
        """Stop reading; no event follows until the next `start`."""
        self._running = False

    def _read(self) -> None:
        if not self._running:
            return
        started_s = self._clock.seconds()
        reading: Deferred[ReadResult] = self._client.read(
            self._stream, self._next_offset, READ_WAIT_S
        )
        reading.addCallback(self._on_result, started_s)
        reading.addErrback(self._on_unexpected_error)

    def _on_unexpected_error(self, failure: Failure) -> None:
        """Log an error of the handler or the decoder, and read on."""
        _log.error(
            'event=read_failed stream={} failure={}', self._stream, failure
        )
        self._clock.callLater(MAX_BACKOFF_S, self._read)

    def _on_result(self, read_result: ReadResult, started_s: float) -> None:
        if not self._running:
            return
        match read_result:
            case Ok(batch):
                self._on_batch(batch, started_s)
            case Err(OffsetTooOld(oldest=oldest)):
                _log.warning(
                    'event=gap stream={} oldest={}', self._stream, oldest
                )
                self._next_offset = oldest
                self._handler(StreamGap(oldest))
                self._read()
            case Err(LogUnavailable() as failure):
                self._retry_later(failure.message)

    def _on_batch(self, batch: ReadBatch, started_s: float) -> None:
        batch_end = LogOffset(batch.first + len(batch.records))
        if batch.next_offset < max(self._log_end, self._next_offset):
            self._retry_later('stale replica')
            return
        self._failures = 0
        self._log_end = batch.next_offset
        self._next_offset = max(self._next_offset, batch_end)
        self._handler(
            StreamRecords(
                batch.first,
                tuple(self._decode(record).ok() for record in batch.records),
                batch_end >= batch.next_offset,
                started_s,
            )
        )
        self._read()

    def _retry_later(self, problem: str) -> None:
        self._failures += 1
        max_delay_s = min(
            MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** min(self._failures, 10)
        )
        delay_s = self._random.uniform(MIN_BACKOFF_S / 2, max_delay_s)
        _log.warning(
            'event=log_silent stream={} problem={!r} retry_s={:.2f}',
            self._stream,
            problem,
            delay_s,
        )
        self._handler(StreamReadFailed(self._failures))
        self._clock.callLater(delay_s, self._read)
