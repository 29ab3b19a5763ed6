"""Folds the operators' records into what is in force, never going back."""

from collections.abc import Callable

from result import Err, Result

from rattanstile.process.decision_log import DecisionLog, Kind
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    OperatorRecords,
)
from rattanstile.request.ids import FailureDomainId
from rattanstile.version.fleet_config import FleetConfig, FleetState

Decode = Callable[[bytes], Result[FleetConfig, ConfigUnreadableError]]


class OperatorWords:
    """What operators state, as of the latest record known here.

    Args:
        decode: Reads a published configuration.
        changed: Called after each change, with what was in force before.
    """

    def __init__(
        self,
        decode: Decode,
        changed: Callable[[FleetState], None],
        log: DecisionLog,
    ) -> None:
        """Begin with nothing in force."""
        self.state = FleetState()
        self._decode = decode
        self._changed = changed
        self._log = log

    def take(self, records: OperatorRecords, source: str) -> None:
        """Take records read from the operators' log.

        Args:
            records: In any order; those already known change nothing.
            source: Where they come from, for the log.
        """
        known = self.state.offset
        document = b''
        evacuated = set(self.state.evacuated)
        for record in sorted(records.records, key=lambda one: one.offset):
            if record.offset < known:
                continue
            match record.word:
                case ConfigPublished(published):
                    document = published
                case DomainEvacuated(domain, is_evacuated):
                    if is_evacuated:
                        evacuated.add(domain)
                    else:
                        evacuated.discard(domain)
        self._advance(
            max(known, records.end), document, frozenset(evacuated), source
        )

    def take_newest(self, records: OperatorRecords, source: str) -> None:
        """Take the newest record of each thing: what isn't there is gone."""
        if records.end < self.state.offset:
            return
        document = b''
        evacuated: set[FailureDomainId] = set()
        for record in records.records:
            match record.word:
                case ConfigPublished(published):
                    document = published
                case DomainEvacuated(domain, is_evacuated):
                    if is_evacuated:
                        evacuated.add(domain)
        self._advance(records.end, document, frozenset(evacuated), source)

    def take_told(
        self,
        offset: int,
        document: bytes,
        evacuated: frozenset[FailureDomainId],
        source: str,
    ) -> None:
        """Take what another node knows, if it is newer."""
        if offset > self.state.offset:
            self._advance(offset, document, evacuated, source)

    def _advance(
        self,
        offset: int,
        document: bytes,
        evacuated: frozenset[FailureDomainId],
        source: str,
    ) -> None:
        before = self.state
        config = self._config(document)
        self.state = FleetState(
            offset=offset,
            config=config or before.config,
            document=document if config else before.document,
            evacuated=evacuated,
        )
        if self.state == before:
            return
        if config is not None or evacuated != before.evacuated:
            self._log.write(
                Kind.CONFIG,
                'config_in_force',
                version=self.state.config.number if self.state.config else 0,
                before=before.config.number if before.config else 0,
                offset=offset,
                evacuated=','.join(sorted(evacuated)) or '-',
                source=source,
            )
            self._changed(before)

    def _config(self, document: bytes) -> FleetConfig | None:
        if not document or document == self.state.document:
            return None
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._log.write(
                Kind.CONFIG, 'config_unreadable', why=decoded.err_value.message
            )
            return None
        config = decoded.ok_value
        in_force = self.state.config
        if in_force is not None and config.number <= in_force.number:
            return None
        return config
