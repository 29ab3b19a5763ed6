"""Runs the binding machine: its reads of the log and its appends."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from result import Err, Ok
from twisted.internet.defer import Deferred

from rattanstile.process.configuration.log_client import (
    AppendResult,
    LogClient,
    LogUnavailable,
    OffsetTooOld,
    ReadBatch,
    ReadResult,
)
from rattanstile.process.entry.binding import (
    AppendCompleted,
    AppendUnconfirmed,
    AppendRecord,
    BindingInput,
    BindingMachine,
    BindingOutput,
    AppendFailed,
    ReadFailed,
    ReadStream,
    ReadCompleted,
)
from rattanstile.process.messages import (
    BindingFailed,
    BindingWanted,
    Bound,
    Ticked,
)
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import LogOffset, RecordId

TICK_S = 0.05


class BindingService:
    """Performs what the binding machine decides.

    Args:
        settled: Takes the end of each binding.
    """

    def __init__(
        self,
        machine: BindingMachine,
        client: LogClient,
        timers: TimerService,
        settled: Callable[[Bound | BindingFailed], None],
    ) -> None:
        """Begin without a binding."""
        self._machine = machine
        self._client = client
        self._timers = timers
        self._settled = settled

    def bind(self, wanted: BindingWanted) -> None:
        """Bind a key, or find what it is bound to."""
        self._step(wanted)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Wake the machine while the block runs."""
        with self._timers.every(TICK_S, self._tick):
            yield

    def _tick(self, now_s: float) -> None:
        wake_s = self._machine.next_wake_s()
        if wake_s is not None and wake_s <= now_s:
            self._step(Ticked())

    def _step(self, binding_input: BindingInput) -> None:
        now_s = self._timers.now_s()
        self._perform(self._machine.step(now_s, binding_input))

    def _perform(self, outputs: Iterable[BindingOutput]) -> None:
        for output in outputs:
            match output:
                case AppendRecord():
                    self._append(output)
                case ReadStream(stream=stream, from_offset=from_offset):
                    self._read(stream, from_offset)
                case Bound() | BindingFailed():
                    self._settled(output)

    def _append(self, wanted: AppendRecord) -> None:
        appending: Deferred[AppendResult] = self._client.append(
            wanted.stream, wanted.record
        )
        appending.addCallback(self._appended, wanted.record_id)

    def _appended(self, answer: AppendResult, record_id: RecordId) -> None:
        match answer:
            case Ok(offset):
                self._step(AppendCompleted(record_id, offset))
            case Err(LogUnavailable()):
                self._step(AppendFailed(record_id))
            case _:
                self._step(AppendUnconfirmed(record_id))

    def _read(self, stream: str, from_offset: LogOffset) -> None:
        reading: Deferred[ReadResult] = self._client.read(
            stream, from_offset, 0
        )
        reading.addCallback(self._answered, stream)

    def _answered(self, answer: ReadResult, stream: str) -> None:
        match answer:
            case Ok(batch):
                self._step(_records(stream, batch))
            case Err(OffsetTooOld(oldest=oldest, next_offset=next_offset)):
                self._step(ReadCompleted(stream, oldest, (), oldest, next_offset))
            case _:
                self._step(ReadFailed(stream))


def _records(stream: str, batch: ReadBatch) -> ReadCompleted:
    return ReadCompleted(
        stream, batch.first, batch.records, batch.oldest, batch.next_offset
    )
