"""Applies the operators' records to the state; older ones are ignored."""

import time
from collections.abc import Callable, Iterable
from dataclasses import replace

from result import Err, Result

from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    OperatorRecords,
)
from rattanstile.request.ids import FailureDomainId
from rattanstile.version.fleet_config import (
    ConfigOrigin,
    FleetConfig,
    FleetState,
)

ConfigDecoder = Callable[[bytes], Result[FleetConfig, ConfigUnreadableError]]


class OperatorState:
    """The operator state as of the latest record that this node has.

    Args:
        decode: Decodes a published configuration.
        on_change: Called after each change, with the previous state.
        log: Receives a line for each configuration in force or unreadable.
        now_s: Returns monotonic seconds.
    """

    def __init__(
        self,
        decode: ConfigDecoder,
        on_change: Callable[[FleetState], None],
        log: DecisionLog,
        now_s: Callable[[], float] = time.monotonic,
    ) -> None:
        """Initialize with nothing in force."""
        self.state = FleetState()
        self._decode = decode
        self._on_change = on_change
        self._log = log
        self._now_s = now_s

    def apply_records(self, records: OperatorRecords, source: str) -> None:
        """Apply records that were read from the operators' log.

        Args:
            records: In any order; those already applied change nothing.
            source: Origin of the records, for the log.
        """
        current_offset = self.state.offset
        documents: list[bytes] = []
        evacuated = set(self.state.evacuated)
        for record in sorted(records.records, key=lambda item: item.offset):
            if record.offset < current_offset:
                continue
            match record.change:
                case ConfigPublished(published):
                    documents.append(published)
                case DomainEvacuated(domain, is_evacuated):
                    if is_evacuated:
                        evacuated.add(domain)
                    else:
                        evacuated.discard(domain)
        self._advance(
            max(current_offset, records.end),
            documents,
            frozenset(evacuated),
            source,
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
            return
        documents: list[bytes] = []
        evacuated: set[FailureDomainId] = set()
        for record in records.records:
            match record.change:
                case ConfigPublished(published):
                    documents.append(published)
                case DomainEvacuated(domain, is_evacuated):
                    if is_evacuated:
                        evacuated.add(domain)
        self._advance(records.end, documents, frozenset(evacuated), source)

    def apply_copy(
        self,
        offset: int,
        document: bytes,
        evacuated: frozenset[FailureDomainId],
        source: str,
    ) -> None:
        """Apply the state of another node if it is newer."""
        if offset > self.state.offset:
            self._advance(offset, [document], evacuated, source)

    def _advance(
        self,
        offset: int,
        documents: Iterable[bytes],
        evacuated: frozenset[FailureDomainId],
        source: str,
    ) -> None:
        previous = self.state
        self.state = replace(previous, offset=offset, evacuated=evacuated)
        for document in documents:
            self._apply_document(document, source)
        is_new_config = self.state.config is not previous.config
        if is_new_config or evacuated != previous.evacuated:
            self._log_in_force(previous, source)
            self._on_change(previous)

    def _log_in_force(self, previous: FleetState, source: str) -> None:
        state = self.state
        config = state.config
        self._log.write(
            LineKind.CONFIG,
            'config_in_force',
            version=config.number if config else 0,
            before=previous.config.number if previous.config else 0,
            offset=state.offset,
            evacuated=','.join(sorted(state.evacuated)) or '-',
            source=source,
            routes=config.route_count if config else 0,
            keys=len(config.organisations) if config else 0,
            size_bytes=len(state.document),
        )

    def _apply_document(self, document: bytes, source: str) -> None:
        """Put a version in force if it is newer than the one in force.

        Records may be out of order: an append may be done late.
        """
        config = self._newer_config(document, source)
        if config is not None:
            self.state = replace(
                self.state,
                config=config,
                document=document,
                origin=ConfigOrigin(source, self._now_s(), self.state.offset),
            )

    def _newer_config(self, document: bytes, source: str) -> FleetConfig | None:
        if not document or document == self.state.document:
            return None
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._log.write(
                LineKind.CONFIG,
                'config_unreadable',
                why=decoded.err_value.message,
                offset=self.state.offset,
                source=source,
                size_bytes=len(document),
            )
            return None
        config = decoded.ok_value
        in_force = self.state.config
        if in_force is not None and config.number <= in_force.number:
            return None
        return config
