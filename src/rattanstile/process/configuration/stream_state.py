"""The configuration stream as operators' commands read it, to its end."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from result import Err, Ok, Result

from rattanstile.errors import UnavailableError
from rattanstile.request.ids import (
    LogOffset,
    PlanId,
    RecordId,
    VersionNumber,
)
from rattanstile.version.fold import Fold
from rattanstile.version.records import (
    Accepted,
    ConfigurationRecord,
    Record,
    SnapshotRecord,
)

PlacedRecord = tuple[LogOffset, Record | None]


class NoVerifiedVersion(UnavailableError):
    """The log holds neither its first records nor a usable snapshot."""


@dataclass(slots=True)
class StreamRead:
    """Every record that a stream still holds.

    Attributes:
        oldest: Offset of the oldest record kept.
        end: Offset that the next record will get.
    """

    oldest: LogOffset
    end: LogOffset
    records: list[PlacedRecord] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted version and the record that made it."""

    accepted: Accepted
    record: ConfigurationRecord


@dataclass(frozen=True, slots=True)
class StreamState:
    """What the stream says.

    Attributes:
        history: The accepted versions that the log still holds, oldest first.
    """

    fold: Fold
    history: list[HistoryEntry]

    def version_of(self, plan_id: PlanId) -> VersionNumber | None:
        """Return which version a plan made, or None if it made none."""
        for entry in self.history:
            if entry.record.plan_id == plan_id:
                return entry.accepted.version
        return self.fold.version_of(RecordId(plan_id))


def state_of(stream: StreamRead) -> Result[StreamState, NoVerifiedVersion]:
    """Fold a stream, from its last snapshot on.

    Returns:
        The state, or an error where records that matter are past retention.
    """
    fold = Fold()
    if not stream.oldest:
        fold.see_start()
    for snapshot in _snapshots(stream):
        fold.take_snapshot(snapshot)
    for offset, record in stream.records:
        fold.offer(offset, record)
    if not fold.verified or fold.read_end < stream.end:
        return Err(
            NoVerifiedVersion(
                'the log holds neither its first records nor a snapshot that'
                ' later ones follow on'
            )
        )
    return Ok(StreamState(fold, list(_history(stream))))


def _snapshots(stream: StreamRead) -> list[SnapshotRecord]:
    return [
        record
        for _offset, record in stream.records
        if isinstance(record, SnapshotRecord)
        and record.log_end >= stream.oldest
    ]


def _history(stream: StreamRead) -> Iterator[HistoryEntry]:
    """Yield what was accepted, by version numbers alone."""
    version = VersionNumber(0)
    known_from = LogOffset(0)
    if stream.oldest:
        first = _snapshots(stream)[0]
        version = first.version
        known_from = first.log_end
    for offset, record in stream.records:
        if offset < known_from or not isinstance(record, ConfigurationRecord):
            continue
        if record.base == version:
            version = VersionNumber(version + 1)
            accepted = Accepted(
                record_id=record.record_id, version=version, offset=offset
            )
            yield HistoryEntry(accepted, record)
