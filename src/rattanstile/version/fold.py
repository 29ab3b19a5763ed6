"""Pure fold of the configuration stream into the version in force."""

from dataclasses import dataclass, field

from rattanstile.request.ids import LogOffset, RecordId, VersionNumber
from rattanstile.version.change import apply_change
from rattanstile.version.declaration import Declaration
from rattanstile.version.records import (
    Accepted,
    AcceptedRecord,
    ConfigurationRecord,
    Record,
    SnapshotRecord,
)

RECENT_ACCEPTED = 64
MAX_UNPLACED = 2_000
LOG_START = LogOffset(0)


@dataclass(slots=True)
class _State:
    version: VersionNumber = VersionNumber(0)
    declaration: Declaration = field(default_factory=Declaration)
    recent: tuple[Accepted, ...] = ()


class Fold:
    """Folds the records of the stream, each offset once and in order.

    A record is applied only if its base is the version in force, so of two
    records with one base the first in the log wins, and one appended twice
    counts once. Records behind a gap wait until a snapshot or a peer closes
    the gap: a record that won may lie in it. The version never falls.

    Attributes:
        verified: Whether the version is known to be one of the log's; False
            until the stream was read from its start, or a snapshot came.
        read_end: Offset up to which every record is folded.
    """

    def __init__(self) -> None:
        """Start without a verified version."""
        self.verified = False
        self.read_end = LOG_START
        self._state = _State()
        self._unplaced: dict[LogOffset, Record | None] = {}

    @property
    def version(self) -> VersionNumber:
        """Number of the version in force; 0 before any was accepted."""
        return self._state.version

    @property
    def declaration(self) -> Declaration:
        """What the version in force says."""
        return self._state.declaration

    @property
    def recent(self) -> tuple[Accepted, ...]:
        """The last accepted records, oldest first."""
        return self._state.recent

    def version_of(self, record_id: RecordId) -> VersionNumber | None:
        """Return which version a record made, or None if none is known."""
        for accepted in self._state.recent:
            if accepted.record_id == record_id:
                return accepted.version
        return None

    def see_start(self) -> None:
        """Learn that the stream still holds its first record, or none yet."""
        self.verified = True

    def offer(
        self, offset: LogOffset, record: Record | None
    ) -> list[AcceptedRecord]:
        """Fold one record of the stream; None for one that can't be read.

        Returns:
            The records that made new versions, oldest first; more than one
            where a snapshot closed a gap.
        """
        if offset < self.read_end:
            return []
        self._unplaced[offset] = record
        if isinstance(record, SnapshotRecord):
            self._adopt(record)
        if len(self._unplaced) > MAX_UNPLACED:
            self._unplaced.pop(min(self._unplaced))
        return self._fold_on()

    def take_snapshot(self, snapshot: SnapshotRecord) -> list[AcceptedRecord]:
        """Take a whole version of a peer, unless it is older.

        Returns:
            The records waiting behind a gap that made new versions since.
        """
        self._adopt(snapshot)
        return self._fold_on()

    def take_accepted(self, handed_on: AcceptedRecord) -> bool:
        """Take the next version of a peer; False if it isn't the next."""
        follows = handed_on.accepted.version == self.version + 1
        if not self.verified or not follows:
            return False
        self._apply(handed_on.accepted, handed_on.record)
        self._advance(LogOffset(handed_on.accepted.offset + 1))
        return True

    def agree(
        self, version: VersionNumber, log_end: LogOffset
    ) -> list[AcceptedRecord]:
        """Learn up to which offset the version was in force at a peer.

        Returns:
            The records waiting behind a gap that made new versions since.
        """
        if not self.verified or version != self.version:
            return []
        self._advance(log_end)
        return self._fold_on()

    def snapshot(self, record_id: RecordId) -> SnapshotRecord:
        """Return the version in force as a record."""
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
            self._state = _State(
                snapshot.version, snapshot.declaration, snapshot.recent
            )
        self.verified = True
        self._advance(snapshot.log_end)

    def _fold_on(self) -> list[AcceptedRecord]:
        made: list[AcceptedRecord] = []
        while self.verified and self.read_end in self._unplaced:
            offset = self.read_end
            record = self._unplaced[offset]
            if isinstance(record, ConfigurationRecord):
                made.extend(self._offer_change(offset, record))
            self._advance(LogOffset(offset + 1))
        return made

    def _offer_change(
        self, offset: LogOffset, record: ConfigurationRecord
    ) -> list[AcceptedRecord]:
        if record.base != self.version:
            return []
        accepted = Accepted(
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
        if self._unplaced:
            self._unplaced = {
                offset: record
                for offset, record in self._unplaced.items()
                if offset >= log_end
            }

    def _apply(self, accepted: Accepted, record: ConfigurationRecord) -> None:
        self._state = _State(
            version=accepted.version,
            declaration=apply_change(self.declaration, record.change),
            recent=(*self.recent, accepted)[-RECENT_ACCEPTED:],
        )
