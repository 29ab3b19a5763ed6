"""State machine that binds idempotency keys to call ids through the log.

The first record of a key in its stream wins, so all entry nodes send the calls
of a key to the same home under the same call id. If the response to an append
is lost, the machine reads on until it finds the record.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique

import logbook
import msgspec

from rattanstile.process.entry.binding_index import (
    BindingIndex,
    BindingRecord,
    key_digest_of,
    stream_of,
)
from rattanstile.process.messages import (
    BindingFailed,
    BindingRequest,
    KeyBound,
    Ticked,
)
from rattanstile.request.ids import LogOffset, RecordId
from rattanstile.request.outcome import Reason

REREAD_DELAY_S = 0.1
MAX_KEYS = 32768
MAX_APPENDS = 3

_log = logbook.Logger('binding')


# Inputs of the binding machine


@dataclass(frozen=True, slots=True)
class ReadCompleted:
    """The log responded to a read.

    Attributes:
        first: Offset of the first record. Without records, the requested
            offset, or `oldest` if that offset is past retention.
        oldest: Oldest offset that the log still retains.
        next_offset: End of the stream as the responding replica sees it.
    """

    stream: str
    first: LogOffset
    records: tuple[bytes, ...]
    oldest: LogOffset
    next_offset: LogOffset


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """A read of the log failed."""

    stream: str


@dataclass(frozen=True, slots=True)
class AppendCompleted:
    """The log appended the record."""

    record_id: RecordId
    offset: LogOffset


@dataclass(frozen=True, slots=True)
class AppendFailed:
    """The record is not in the log and never will be."""

    record_id: RecordId


@dataclass(frozen=True, slots=True)
class AppendUnconfirmed:
    """The record may be in the log or may still be appended."""

    record_id: RecordId


BindingInput = (
    BindingRequest
    | ReadCompleted
    | ReadFailed
    | AppendCompleted
    | AppendFailed
    | AppendUnconfirmed
    | Ticked
)


# Outputs of the binding machine


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to a stream of the log."""

    stream: str
    record_id: RecordId
    record: bytes


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Read a stream from an offset, without waiting for new records."""

    stream: str
    from_offset: LogOffset


BindingOutput = AppendRecord | ReadStream | KeyBound | BindingFailed


@unique
class _Stage(Enum):
    READING = 'reading'
    """No record of this request has been appended yet."""
    APPENDING = 'appending'
    APPENDED = 'appended'
    UNCERTAIN = 'uncertain'


@dataclass(slots=True)
class _PendingBinding:
    """A request whose binding is not resolved yet.

    Attributes:
        appends: How often its record was sent to the log.
        was_uncertain: Whether the result of any append was lost.
    """

    request: BindingRequest
    record: BindingRecord
    stream: str
    stage: _Stage = _Stage.READING
    appends: int = 0
    was_uncertain: bool = False


@dataclass(slots=True)
class _StreamState:
    """Local state of one stream, with the requests that wait for it."""

    index: BindingIndex = field(default_factory=BindingIndex)
    is_read: bool = False
    is_reading: bool = False
    reread_at_s: float | None = None
    pending_bindings: dict[RecordId, _PendingBinding] = field(
        default_factory=dict
    )


class BindingMachine:
    """Binds idempotency keys to call ids.

    The order of records in the log decides each binding; this machine only
    derives the bindings from it.

    Args:
        node: Node id and incarnation, which make the record ids unique.
        max_keys: Maximum number of bindings in memory. Beyond it, the least
            recently used streams are evicted; they are read again on demand.
    """

    def __init__(self, node: str, max_keys: int = MAX_KEYS) -> None:
        """Start without having read any stream."""
        self._node = node
        self._max_keys = max_keys
        self._sequence = 0
        self._streams: OrderedDict[str, _StreamState] = OrderedDict()
        self._pending_bindings: dict[RecordId, _PendingBinding] = {}

    def next_wake_s(self) -> float | None:
        """Return when the next `Ticked` input is due, or None if none is."""
        times = [
            stream.reread_at_s
            for stream in self._streams.values()
            if stream.reread_at_s is not None
        ]
        return min(times, default=None)

    def step(
        self, now_s: float, binding_input: BindingInput
    ) -> list[BindingOutput]:
        """Handle one input and return the resulting outputs."""
        match binding_input:
            case BindingRequest():
                outputs = self._handle_request(binding_input)
            case ReadCompleted():
                outputs = self._handle_records(now_s, binding_input)
            case ReadFailed():
                outputs = self._handle_read_failure(now_s, binding_input)
            case AppendCompleted():
                outputs = self._handle_append(binding_input)
            case AppendFailed():
                outputs = self._handle_append_failure(binding_input)
            case AppendUnconfirmed():
                outputs = self._handle_unconfirmed_append(binding_input)
            case Ticked():
                outputs = self._handle_tick(now_s)
        return list(outputs)

    def _handle_request(
        self, request: BindingRequest
    ) -> Iterable[BindingOutput]:
        key_digest = key_digest_of(
            request.organisation, request.idempotency_key
        )
        self._sequence += 1
        record = BindingRecord(
            record_id=RecordId(f'{self._node}/{self._sequence}'),
            key_digest=key_digest,
            fingerprint=request.fingerprint,
            call_id=request.call_id,
            refused=request.refused,
        )
        pending = _PendingBinding(request, record, stream_of(key_digest))
        stream = self._stream(pending.stream)
        stream.pending_bindings[record.record_id] = pending
        self._pending_bindings[record.record_id] = pending
        if not stream.is_read:
            return self._read(pending.stream, stream)
        return self._resolve(pending, stream)

    def _stream(self, name: str) -> _StreamState:
        stream = self._streams.setdefault(name, _StreamState())
        self._streams.move_to_end(name)
        self._evict_streams()
        return stream

    def _evict_streams(self) -> None:
        key_count = sum(len(stream.index) for stream in self._streams.values())
        for name, candidate in list(self._streams.items())[:-1]:
            if key_count <= self._max_keys:
                return
            if not (candidate.pending_bindings or candidate.is_reading):
                key_count -= len(candidate.index)
                self._streams.pop(name)

    def _read(self, name: str, stream: _StreamState) -> Iterable[BindingOutput]:
        if stream.is_reading:
            return ()
        stream.is_reading = True
        stream.reread_at_s = None
        return (ReadStream(name, stream.index.next_offset),)

    def _resolve(
        self, pending: _PendingBinding, stream: _StreamState
    ) -> Iterable[BindingOutput]:
        """Resolve a request from the index, or append its record if needed."""
        bound = stream.index.binding(pending.record.key_digest)
        if (
            bound is not None
            and bound.fingerprint != pending.record.fingerprint
        ):
            return self._fail(pending, Reason.KEY_REUSED, proved_unbound=False)
        if bound is not None and bound.call_id != pending.request.refused:
            return self._bind(pending, bound)
        if pending.stage is _Stage.READING:
            return self._append(pending, stream)
        if pending.stage is _Stage.UNCERTAIN and pending.appends < MAX_APPENDS:
            return self._append(pending, stream)
        return ()

    def _append(
        self, pending: _PendingBinding, stream: _StreamState
    ) -> Iterable[BindingOutput]:
        if len(stream.index) >= self._max_keys:
            return self._fail(
                pending,
                Reason.LOG_NEEDED,
                proved_unbound=not pending.was_uncertain,
            )
        pending.stage = _Stage.APPENDING
        pending.appends += 1
        record = msgspec.msgpack.encode(pending.record)
        return (AppendRecord(pending.stream, pending.record.record_id, record),)

    def _bind(
        self, pending: _PendingBinding, bound: BindingRecord
    ) -> Iterable[BindingOutput]:
        self._drop(pending)
        is_fresh = bound.record_id == pending.record.record_id
        _log.info(
            f'event=key_bound call={bound.call_id} fresh={is_fresh}'
            f' stream={pending.stream}'
        )
        return (KeyBound(pending.request.request_id, bound.call_id, is_fresh),)

    def _fail(
        self, pending: _PendingBinding, reason: Reason, *, proved_unbound: bool
    ) -> Iterable[BindingOutput]:
        self._drop(pending)
        failure = BindingFailed(
            pending.request.request_id, reason, proved_unbound
        )
        return (failure,)

    def _drop(self, pending: _PendingBinding) -> None:
        record_id = pending.record.record_id
        self._pending_bindings.pop(record_id, None)
        self._streams[pending.stream].pending_bindings.pop(record_id, None)

    # Responses of the log

    def _handle_records(
        self, now_s: float, batch: ReadCompleted
    ) -> Iterable[BindingOutput]:
        stream = self._streams[batch.stream]
        stream.is_reading = False
        previous_offset = stream.index.next_offset
        stream.index.trim(batch.oldest)
        if batch.first <= stream.index.next_offset:
            stream.index.fold(batch.first, batch.records)
        if previous_offset < stream.index.next_offset < batch.next_offset:
            return self._read(batch.stream, stream)
        if stream.index.next_offset < batch.next_offset:
            stream.reread_at_s = now_s + REREAD_DELAY_S
            return ()
        stream.is_read = True
        outputs: list[BindingOutput] = []
        for pending in list(stream.pending_bindings.values()):
            outputs.extend(self._resolve(pending, stream))
        self._schedule_reread(now_s, stream)
        return outputs

    def _handle_read_failure(
        self, now_s: float, failure: ReadFailed
    ) -> Iterable[BindingOutput]:
        stream = self._streams[failure.stream]
        stream.is_reading = False
        outputs: list[BindingOutput] = []
        for pending in list(stream.pending_bindings.values()):
            if pending.stage is _Stage.READING:
                outputs.extend(
                    self._fail(pending, Reason.LOG_NEEDED, proved_unbound=True)
                )
        self._schedule_reread(now_s, stream)
        return outputs

    def _schedule_reread(self, now_s: float, stream: _StreamState) -> None:
        """Drop expired requests, and reread while an append is unresolved."""
        for pending in list(stream.pending_bindings.values()):
            if now_s >= pending.request.deadline_s:
                self._drop(pending)
        if any(
            pending.stage in _STAGES_AWAITING_READ
            for pending in stream.pending_bindings.values()
        ):
            stream.reread_at_s = now_s + REREAD_DELAY_S

    def _handle_append(
        self, append: AppendCompleted
    ) -> Iterable[BindingOutput]:
        pending = self._pending_bindings.get(append.record_id)
        if pending is None:
            return ()
        pending.stage = _Stage.APPENDED
        stream = self._streams[pending.stream]
        if append.offset != stream.index.next_offset:
            return self._read(pending.stream, stream)
        record = msgspec.msgpack.encode(pending.record)
        stream.index.fold(append.offset, (record,))
        return self._resolve(pending, stream)

    def _handle_append_failure(
        self, failure: AppendFailed
    ) -> Iterable[BindingOutput]:
        pending = self._pending_bindings.get(failure.record_id)
        if pending is None:
            return ()
        return self._fail(
            pending, Reason.LOG_NEEDED, proved_unbound=not pending.was_uncertain
        )

    def _handle_unconfirmed_append(
        self, unconfirmed: AppendUnconfirmed
    ) -> Iterable[BindingOutput]:
        pending = self._pending_bindings.get(unconfirmed.record_id)
        if pending is None:
            return ()
        pending.stage = _Stage.UNCERTAIN
        pending.was_uncertain = True
        return self._read(pending.stream, self._streams[pending.stream])

    def _handle_tick(self, now_s: float) -> Iterable[BindingOutput]:
        outputs: list[BindingOutput] = []
        for name, stream in self._streams.items():
            due_s = stream.reread_at_s
            if due_s is not None and due_s <= now_s:
                outputs.extend(self._read(name, stream))
        return outputs


_STAGES_AWAITING_READ = frozenset((_Stage.APPENDED, _Stage.UNCERTAIN))
