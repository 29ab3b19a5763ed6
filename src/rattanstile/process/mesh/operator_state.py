"""Applies the operators' records to the state; older ones are ignored."""

from collections.abc import Callable

from result import Err, Result

from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    OperatorRecords,
)
from rattanstile.request.ids import FailureDomainId, StoreEra
from rattanstile.version.fleet_config import FleetConfig, FleetState

ConfigDecoder = Callable[[bytes], Result[FleetConfig, ConfigUnreadableError]]


class OperatorState:
    """The operator state as of the latest record that this node has.

    Args:
        decode: Decodes a published configuration.
        on_change: Called after each change, with the previous state.
        log: Receives a line for each configuration in force or unreadable.
    """

    def __init__(
        self,
        decode: ConfigDecoder,
        on_change: Callable[[FleetState], None],
        log: DecisionLog,
    ) -> None:
        """Initialize with nothing in force."""
        self.state = FleetState()
        self._decode = decode
        self._on_change = on_change
        self._log = log

    def apply_records(self, records: OperatorRecords, source: str) -> None:
        """Apply records that were read from the operators' log.

        Args:
            records: In any order; those already applied change nothing.
            source: Origin of the records, for the log.
        """
        current_offset = self.state.offset
        document = b''
        evacuated = set(self.state.evacuated)
        for record in sorted(records.records, key=lambda item: item.offset):
            if record.offset < current_offset:
                continue
            match record.change:
                case ConfigPublished(published):
                    document = published
                case DomainEvacuated(domain, is_evacuated):
                    if is_evacuated:
                        evacuated.add(domain)
                    else:
                        evacuated.discard(domain)
        self._advance(
            max(current_offset, records.end),
            document,
            frozenset(evacuated),
            source,
            records.era,
        )

    def apply_snapshot(self, records: OperatorRecords, source: str) -> None:
        """Apply the newest record of each key.

        An evacuation without a record has been withdrawn. Records that end
        before the current offset are ignored.

        Args:
            records: The newest record of each key of the log.
            source: Origin of the records, for the log.
        """
        if records.end < self.state.offset:
            self._log.write(
                LineKind.STORE,
                'snapshot_ignored',
                why='older_end',
                era=records.era,
                end=records.end,
                offset=self.state.offset,
                source=source,
            )
            return
        document = b''
        evacuated: set[FailureDomainId] = set()
        for record in records.records:
            match record.change:
                case ConfigPublished(published):
                    document = published
                case DomainEvacuated(domain, is_evacuated):
                    if is_evacuated:
                        evacuated.add(domain)
        self._advance(
            records.end, document, frozenset(evacuated), source, records.era
        )

    def apply_copy(
        self,
        offset: int,
        document: bytes,
        evacuated: frozenset[FailureDomainId],
        source: str,
    ) -> None:
        """Apply the state of another node if it is newer."""
        if offset > self.state.offset:
            self._advance(offset, document, evacuated, source)

    def _advance(
        self,
        offset: int,
        document: bytes,
        evacuated: frozenset[FailureDomainId],
        source: str,
        era: StoreEra | None = None,
    ) -> None:
        previous = self.state
        config = self._newer_config(document)
        self.state = FleetState(
            offset=offset,
            config=config or previous.config,
            document=document if config else previous.document,
            evacuated=evacuated,
            era=previous.era if era is None else era,
        )
        if self.state == previous:
            return
        if config is not None or evacuated != previous.evacuated:
            self._log.write(
                LineKind.CONFIG,
                'config_in_force',
                version=self.state.config.number if self.state.config else 0,
                before=previous.config.number if previous.config else 0,
                era=self.state.era,
                offset=offset,
                evacuated=','.join(sorted(evacuated)) or '-',
                source=source,
            )
            self._on_change(previous)

    def _newer_config(self, document: bytes) -> FleetConfig | None:
        if not document or document == self.state.document:
            return None
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._log.write(
                LineKind.CONFIG,
                'config_unreadable',
                why=decoded.err_value.message,
            )
            return None
        config = decoded.ok_value
        in_force = self.state.config
        if in_force is not None and config.number <= in_force.number:
            return None
        return config
