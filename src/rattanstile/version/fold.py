"""Pure fold of the configuration stream into the version in force."""

from dataclasses import dataclass, field

from rattanstile.request.ids import LogOffset, RecordId, VersionNumber
from rattanstile.version.change import apply_change
from rattanstile.version.declaration import Declaration
from rattanstile.version.records import (
    Acceptance,
    AcceptedRecord,
    ConfigurationRecord,
    Record,
    SnapshotRecord,
)

MAX_RECENT_ACCEPTED = 64
MAX_PENDING_RECORDS = 2_000
LOG_START = LogOffset(0)


@dataclass(slots=True)
class _VersionState:
    version: VersionNumber = VersionNumber(0)
    declaration: Declaration = field(default_factory=Declaration)
    recent: tuple[Acceptance, ...] = ()


class Fold:
    """Folds the records of the stream, each offset once and in order.

    A record is applied only if its base is the version in force. So of two
    records with the same base the first in the log wins, and a record that
    was appended twice is applied once. Records after a gap stay pending until
    a snapshot or a peer closes the gap, because the gap may hold the record
    that won. The version number never decreases.

    Attributes:
        verified: Whether the version is known to be one of the log's; False
            until the stream is read from its start or a snapshot arrives.
        read_end: Offset up to which every record is folded.
    """

    def __init__(self) -> None:
        """Start without a verified version."""
        self.verified = False
        self.read_end = LOG_START
        self._state = _VersionState()
        self._pending: dict[LogOffset, Record | None] = {}

    @property
    def version(self) -> VersionNumber:
        """Number of the version in force; 0 before the first is accepted."""
        return self._state.version

    @property
    def declaration(self) -> Declaration:
        """Declaration of the version in force."""
        return self._state.declaration

    @property
    def recent(self) -> tuple[Acceptance, ...]:
        """The last accepted records, oldest first."""
        return self._state.recent

    def version_of(self, record_id: RecordId) -> VersionNumber | None:
        """Return the version that a record made, or None if unknown."""
        for accepted in self._state.recent:
            if accepted.record_id == record_id:
                return accepted.version
        return None

    def observe_log_start(self) -> None:
        """Record that the stream still has its first record or is empty."""
        self.verified = True

    def offer(
        self, offset: LogOffset, record: Record | None
    ) -> list[AcceptedRecord]:
        """Fold one record of the stream; None for an unreadable record.

        Returns:
            The records that made new versions, oldest first; there may be
            several if a gap is closed.
        """
        if offset < self.read_end:
            return []
        self._pending[offset] = record
        if isinstance(record, SnapshotRecord):
            self._adopt(record)
        if len(self._pending) > MAX_PENDING_RECORDS:
            self._pending.pop(min(self._pending))
        return self._fold_pending()

    def apply_snapshot(self, snapshot: SnapshotRecord) -> list[AcceptedRecord]:
        """Adopt a whole version from a peer, unless it is older.

        Returns:
            The pending records that made new versions as a result.
        """
        self._adopt(snapshot)
        return self._fold_pending()

    def apply_accepted(self, accepted_record: AcceptedRecord) -> bool:
        """Apply the next version from a peer; False if it isn't the next."""
        is_next = accepted_record.accepted.version == self.version + 1
        if not self.verified or not is_next:
            return False
        self._apply(accepted_record.accepted, accepted_record.record)
        self._advance(LogOffset(accepted_record.accepted.offset + 1))
        return True

    def observe_peer_version(
        self, version: VersionNumber, log_end: LogOffset
    ) -> list[AcceptedRecord]:
        """Record up to which offset a version was in force at a peer.

        Returns:
            The pending records that made new versions as a result.
        """
        if not self.verified or version != self.version:
            return []
        self._advance(log_end)
        return self._fold_pending()

    def snapshot(self, record_id: RecordId) -> SnapshotRecord:
        """Return a snapshot record of the version in force."""
        return SnapshotRecord(
            record_id=record_id,
            version=self.version,
            declaration=self.declaration,
            log_end=self.read_end,
            recent=self.recent,
        )

    def _adopt(self, snapshot: SnapshotRecord) -> None:
        if snapshot.version < self.version:
            return
        if snapshot.version > self.version or not self.verified:
            self._state = _VersionState(
                snapshot.version, snapshot.declaration, snapshot.recent
            )
        self.verified = True
        self._advance(snapshot.log_end)

    def _fold_pending(self) -> list[AcceptedRecord]:
        accepted_records: list[AcceptedRecord] = []
        while self.verified and self.read_end in self._pending:
            offset = self.read_end
            record = self._pending[offset]
            if isinstance(record, ConfigurationRecord):
                accepted_records.extend(self._apply_if_on_base(offset, record))
            self._advance(LogOffset(offset + 1))
        return accepted_records

    def _apply_if_on_base(
        self, offset: LogOffset, record: ConfigurationRecord
    ) -> list[AcceptedRecord]:
        if record.base != self.version:
            return []
        accepted = Acceptance(
            record_id=record.record_id,
            version=VersionNumber(record.base + 1),
            offset=offset,
        )
        self._apply(accepted, record)
        return [AcceptedRecord(accepted, record)]

    def _advance(self, log_end: LogOffset) -> None:
        if log_end <= self.read_end:
            return
        self.read_end = log_end
        if self._pending:
            self._pending = {
                offset: record
                for offset, record in self._pending.items()
                if offset >= log_end
            }

    def _apply(self, accepted: Acceptance, record: ConfigurationRecord) -> None:
        self._state = _VersionState(
            version=accepted.version,
            declaration=apply_change(self.declaration, record.change),
            recent=(*self.recent, accepted)[-MAX_RECENT_ACCEPTED:],
        )
