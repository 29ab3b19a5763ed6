"""State of the configuration stream, read to its end by operator commands."""

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
    Acceptance,
    ConfigurationRecord,
    Record,
    SnapshotRecord,
)

OffsetRecord = tuple[LogOffset, Record | None]


class NoVerifiedVersion(UnavailableError):
    """The log retains neither its first records nor a usable snapshot."""


@dataclass(slots=True)
class StreamContents:
    """All records that a stream still retains.

    Attributes:
        oldest: Offset of the oldest retained record.
        end: Offset that the next appended record will get.
        records: Records with their offsets; None for one that can't be
            decoded.
    """

    oldest: LogOffset
    end: LogOffset
    records: list[OffsetRecord] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """An accepted version and the record that created it."""

    accepted: Acceptance
    record: ConfigurationRecord


@dataclass(frozen=True, slots=True)
class StreamState:
    """Folded state of the configuration stream.

    Attributes:
        fold: Holds the version in force.
        history: Accepted versions that the log still retains, oldest first.
    """

    fold: Fold
    history: list[HistoryEntry]

    def version_of(self, plan_id: PlanId) -> VersionNumber | None:
        """Return the version that a plan created, or None if unknown."""
        for entry in self.history:
            if entry.record.plan_id == plan_id:
                return entry.accepted.version
        return self.fold.version_of(RecordId(plan_id))


def fold_stream(
    stream: StreamContents,
) -> Result[StreamState, NoVerifiedVersion]:
    """Fold a stream, starting from its newest usable snapshot.

    Returns:
        The state, or an error if required records are past retention.
    """
    fold = Fold()
    if not stream.oldest:
        fold.observe_log_start()
    for snapshot in _usable_snapshots(stream):
        fold.apply_snapshot(snapshot)
    for offset, record in stream.records:
        fold.offer(offset, record)
    if not fold.verified or fold.read_end < stream.end:
        return Err(
            NoVerifiedVersion(
                'the log retains neither its first records nor a snapshot'
                ' that is followed by all later records'
            )
        )
    return Ok(StreamState(fold, list(_accepted_versions(stream))))


def _usable_snapshots(stream: StreamContents) -> list[SnapshotRecord]:
    return [
        record
        for _offset, record in stream.records
        if isinstance(record, SnapshotRecord)
        and record.log_end >= stream.oldest
    ]


def _accepted_versions(stream: StreamContents) -> Iterator[HistoryEntry]:
    """Yield the accepted versions, derived from version numbers alone."""
    version = VersionNumber(0)
    start_offset = LogOffset(0)
    if stream.oldest:
        first = _usable_snapshots(stream)[0]
        version = first.version
        start_offset = first.log_end
    for offset, record in stream.records:
        if offset < start_offset or not isinstance(record, ConfigurationRecord):
            continue
        if record.base == version:
            version = VersionNumber(version + 1)
            accepted = Acceptance(
                record_id=record.record_id, version=version, offset=offset
            )
            yield HistoryEntry(accepted, record)
