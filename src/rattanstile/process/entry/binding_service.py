"""Service around the binding machine and its log client."""

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
    AppendFailed,
    AppendRecord,
    AppendUnconfirmed,
    BindingInput,
    BindingMachine,
    BindingOutput,
    ReadCompleted,
    ReadFailed,
    ReadStream,
)
from rattanstile.process.messages import (
    BindingFailed,
    BindingRequest,
    KeyBound,
    Ticked,
)
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import LogOffset, RecordId

TICK_S = 0.05


class BindingService:
    """Performs the reads and appends of the binding machine.

    Args:
        on_result: Called with the result of each binding.
    """

    def __init__(
        self,
        machine: BindingMachine,
        client: LogClient,
        timers: TimerService,
        on_result: Callable[[KeyBound | BindingFailed], None],
    ) -> None:
        """Start without a binding."""
        self._machine = machine
        self._client = client
        self._timers = timers
        self._on_result = on_result

    def bind(self, request: BindingRequest) -> None:
        """Bind a key to a call id, or find its existing binding."""
        self._step(request)

    @contextmanager
    def running(self) -> Iterator[None]:
        """Step the machine when it is due, while the block runs."""
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
                case KeyBound() | BindingFailed():
                    self._on_result(output)

    def _append(self, append: AppendRecord) -> None:
        pending_append: Deferred[AppendResult] = self._client.append(
            append.stream, append.record
        )
        pending_append.addCallback(self._handle_append_result, append.record_id)

    def _handle_append_result(
        self, log_result: AppendResult, record_id: RecordId
    ) -> None:
        match log_result:
            case Ok(offset):
                self._step(AppendCompleted(record_id, offset))
            case Err(LogUnavailable()):
                self._step(AppendFailed(record_id))
            case _:
                self._step(AppendUnconfirmed(record_id))

    def _read(self, stream: str, from_offset: LogOffset) -> None:
        pending_read: Deferred[ReadResult] = self._client.read(
            stream, from_offset, 0
        )
        pending_read.addCallback(self._handle_read_result, stream)

    def _handle_read_result(self, log_result: ReadResult, stream: str) -> None:
        match log_result:
            case Ok(batch):
                self._step(_event_of_batch(stream, batch))
            case Err(OffsetTooOld(oldest=oldest, next_offset=next_offset)):
                self._step(
                    ReadCompleted(stream, oldest, (), oldest, next_offset)
                )
            case _:
                self._step(ReadFailed(stream))


def _event_of_batch(stream: str, batch: ReadBatch) -> ReadCompleted:
    return ReadCompleted(
        stream, batch.first, batch.records, batch.oldest, batch.next_offset
    )
