"""Binding of a caller's own idempotency key to a call id through the log.

The record that comes first in its stream wins, so that all entry nodes send
the calls of one key to one home under one call id. A lost answer of the log
is settled by reading on until the record is seen.
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
    BindingWanted,
    Bound,
    Ticked,
)
from rattanstile.request.ids import LogOffset, RecordId
from rattanstile.request.outcome import Reason

READ_AGAIN_S = 0.1
MOST_KEYS = 32768
MOST_APPENDS = 3

_log = logbook.Logger('binding')


# Into the binding machine


@dataclass(frozen=True, slots=True)
class ReadCompleted:
    """The log answered a read.

    Attributes:
        first: Offset of the first record, or the offset asked for.
        oldest: Oldest offset that the log still keeps.
        next_offset: Where the stream ends for the replica that answered.
    """

    stream: str
    first: LogOffset
    records: tuple[bytes, ...]
    oldest: LogOffset
    next_offset: LogOffset


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """The log did not answer a read."""

    stream: str


@dataclass(frozen=True, slots=True)
class AppendCompleted:
    """The log took the record."""

    record_id: RecordId
    offset: LogOffset


@dataclass(frozen=True, slots=True)
class AppendFailed:
    """The record is not in the log and never comes."""

    record_id: RecordId


@dataclass(frozen=True, slots=True)
class AppendUnconfirmed:
    """The record may be in the log or may still come."""

    record_id: RecordId


BindingInput = (
    BindingWanted
    | ReadCompleted
    | ReadFailed
    | AppendCompleted
    | AppendFailed
    | AppendUnconfirmed
    | Ticked
)


# Out of the binding machine


@dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append a record to a stream of the log."""

    stream: str
    record_id: RecordId
    record: bytes


@dataclass(frozen=True, slots=True)
class ReadStream:
    """Read a stream from an offset on, without waiting for a record."""

    stream: str
    from_offset: LogOffset


BindingOutput = AppendRecord | ReadStream | Bound | BindingFailed


@unique
class _Stage(Enum):
    READING = 'reading'
    """Nothing of this binding has been appended yet."""
    APPENDING = 'appending'
    APPENDED = 'appended'
    UNCERTAIN = 'uncertain'


@dataclass(slots=True)
class _Wish:
    """One request that waits for its binding."""

    wanted: BindingWanted
    record: BindingRecord
    stream: str
    stage: _Stage = _Stage.READING
    appends: int = 0
    was_uncertain: bool = False


@dataclass(slots=True)
class _Stream:
    """What is known of one stream, and who waits for it."""

    index: BindingIndex = field(default_factory=BindingIndex)
    is_read: bool = False
    is_reading: bool = False
    read_again_s: float | None = None
    wishes: dict[RecordId, _Wish] = field(default_factory=dict)


class BindingMachine:
    """Ties keys to call ids; the log decides, this machine only folds it.

    Args:
        node: Makes record ids unique: node id and incarnation.
        most_keys: Bindings kept in memory; streams used least recently are
            forgotten beyond it, and read again when they are needed.
    """

    def __init__(self, node: str, most_keys: int = MOST_KEYS) -> None:
        """Start without any stream read."""
        self._node = node
        self._most_keys = most_keys
        self._sequence = 0
        self._streams: OrderedDict[str, _Stream] = OrderedDict()
        self._wishes: dict[RecordId, _Wish] = {}

    def next_wake_s(self) -> float | None:
        """Return when to step with `Ticked`, or None while nothing waits."""
        times = [
            stream.read_again_s
            for stream in self._streams.values()
            if stream.read_again_s is not None
        ]
        return min(times, default=None)

    def step(
        self, now_s: float, binding_input: BindingInput
    ) -> list[BindingOutput]:
        """Take one input and return what follows from it."""
        match binding_input:
            case BindingWanted():
                outputs = self._wanted(binding_input)
            case ReadCompleted():
                outputs = self._records_read(now_s, binding_input)
            case ReadFailed():
                outputs = self._read_failed(now_s, binding_input)
            case AppendCompleted():
                outputs = self._appended(binding_input)
            case AppendFailed():
                outputs = self._not_appended(binding_input)
            case AppendUnconfirmed():
                outputs = self._append_lost(binding_input)
            case Ticked():
                outputs = self._ticked(now_s)
        return list(outputs)

    def _wanted(self, wanted: BindingWanted) -> Iterable[BindingOutput]:
        key_digest = key_digest_of(wanted.organisation, wanted.idempotency_key)
        self._sequence += 1
        record = BindingRecord(
            record_id=RecordId(f'{self._node}/{self._sequence}'),
            key_digest=key_digest,
            fingerprint=wanted.fingerprint,
            call_id=wanted.call_id,
            refused=wanted.refused,
        )
        wish = _Wish(wanted, record, stream_of(key_digest))
        stream = self._stream(wish.stream)
        stream.wishes[record.record_id] = wish
        self._wishes[record.record_id] = wish
        if not stream.is_read:
            return self._read(wish.stream, stream)
        return self._settle(wish, stream)

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        self._streams.move_to_end(name)
        self._forget_streams()
        return stream

    def _forget_streams(self) -> None:
        held = sum(len(one.index) for one in self._streams.values())
        for name, stream in list(self._streams.items())[:-1]:
            if held <= self._most_keys:
                return
            if not (stream.wishes or stream.is_reading):
                held -= len(stream.index)
                self._streams.pop(name)

    def _read(self, name: str, stream: _Stream) -> Iterable[BindingOutput]:
        if stream.is_reading:
            return ()
        stream.is_reading = True
        stream.read_again_s = None
        return (ReadStream(name, stream.index.next_offset),)

    def _settle(self, wish: _Wish, stream: _Stream) -> Iterable[BindingOutput]:
        """Answer a wish from the index, or go on to what it needs."""
        bound = stream.index.binding(wish.record.key_digest)
        if bound is not None and bound.fingerprint != wish.record.fingerprint:
            return self._fail(wish, Reason.KEY_REUSED, proved_unbound=False)
        if bound is not None and bound.call_id != wish.wanted.refused:
            return self._bind(wish, bound)
        if wish.stage is _Stage.READING:
            return self._append(wish, stream)
        if wish.stage is _Stage.UNCERTAIN and wish.appends < MOST_APPENDS:
            return self._append(wish, stream)
        return ()

    def _append(self, wish: _Wish, stream: _Stream) -> Iterable[BindingOutput]:
        if len(stream.index) >= self._most_keys:
            return self._fail(
                wish,
                Reason.LOG_NEEDED,
                proved_unbound=not wish.was_uncertain,
            )
        wish.stage = _Stage.APPENDING
        wish.appends += 1
        record = msgspec.msgpack.encode(wish.record)
        return (AppendRecord(wish.stream, wish.record.record_id, record),)

    def _bind(
        self, wish: _Wish, bound: BindingRecord
    ) -> Iterable[BindingOutput]:
        self._drop(wish)
        is_fresh = bound.record_id == wish.record.record_id
        _log.info(
            f'event=key_bound call={bound.call_id} fresh={is_fresh}'
            f' stream={wish.stream}'
        )
        return (Bound(wish.wanted.request_id, bound.call_id, is_fresh),)

    def _fail(
        self, wish: _Wish, reason: Reason, *, proved_unbound: bool
    ) -> Iterable[BindingOutput]:
        self._drop(wish)
        failed = BindingFailed(wish.wanted.request_id, reason, proved_unbound)
        return (failed,)

    def _drop(self, wish: _Wish) -> None:
        record_id = wish.record.record_id
        self._wishes.pop(record_id, None)
        self._streams[wish.stream].wishes.pop(record_id, None)

    # The log answers

    def _records_read(
        self, now_s: float, read: ReadCompleted
    ) -> Iterable[BindingOutput]:
        stream = self._streams[read.stream]
        stream.is_reading = False
        before = stream.index.next_offset
        stream.index.trim(read.oldest)
        if read.first <= stream.index.next_offset:
            stream.index.fold(read.first, read.records)
        if before < stream.index.next_offset < read.next_offset:
            return self._read(read.stream, stream)
        if stream.index.next_offset < read.next_offset:
            stream.read_again_s = now_s + READ_AGAIN_S
            return ()
        stream.is_read = True
        outputs: list[BindingOutput] = []
        for wish in list(stream.wishes.values()):
            outputs.extend(self._settle(wish, stream))
        self._read_again_if_awaited(now_s, stream)
        return outputs

    def _read_failed(
        self, now_s: float, failed: ReadFailed
    ) -> Iterable[BindingOutput]:
        stream = self._streams[failed.stream]
        stream.is_reading = False
        outputs: list[BindingOutput] = []
        for wish in list(stream.wishes.values()):
            if wish.stage is _Stage.READING:
                outputs.extend(
                    self._fail(wish, Reason.LOG_NEEDED, proved_unbound=True)
                )
        self._read_again_if_awaited(now_s, stream)
        return outputs

    def _read_again_if_awaited(self, now_s: float, stream: _Stream) -> None:
        """Read again while a record that may be in the log is not seen."""
        for wish in list(stream.wishes.values()):
            if now_s >= wish.wanted.deadline_s:
                self._drop(wish)
        if any(wish.stage in _AWAITED for wish in stream.wishes.values()):
            stream.read_again_s = now_s + READ_AGAIN_S

    def _appended(self, appended: AppendCompleted) -> Iterable[BindingOutput]:
        wish = self._wishes.get(appended.record_id)
        if wish is None:
            return ()
        wish.stage = _Stage.APPENDED
        stream = self._streams[wish.stream]
        if appended.offset != stream.index.next_offset:
            return self._read(wish.stream, stream)
        record = msgspec.msgpack.encode(wish.record)
        stream.index.fold(appended.offset, (record,))
        return self._settle(wish, stream)

    def _not_appended(self, refused: AppendFailed) -> Iterable[BindingOutput]:
        wish = self._wishes.get(refused.record_id)
        if wish is None:
            return ()
        return self._fail(
            wish, Reason.LOG_NEEDED, proved_unbound=not wish.was_uncertain
        )

    def _append_lost(self, lost: AppendUnconfirmed) -> Iterable[BindingOutput]:
        wish = self._wishes.get(lost.record_id)
        if wish is None:
            return ()
        wish.stage = _Stage.UNCERTAIN
        wish.was_uncertain = True
        return self._read(wish.stream, self._streams[wish.stream])

    def _ticked(self, now_s: float) -> Iterable[BindingOutput]:
        outputs: list[BindingOutput] = []
        for name, stream in self._streams.items():
            again_s = stream.read_again_s
            if again_s is not None and again_s <= now_s:
                outputs.extend(self._read(name, stream))
        return outputs


_AWAITED = frozenset((_Stage.APPENDED, _Stage.UNCERTAIN))
