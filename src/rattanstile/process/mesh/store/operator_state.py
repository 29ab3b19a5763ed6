"""Applies the operators' records to the state; older ones are ignored.

The position in the log tells which records are newer, ordered by the era of the
store first. It doesn't tell which configuration is newer: a store that was
restored from a copy may have lost one that is in force. Version numbers do.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from result import Err, Result

from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.mesh.placement.evacuations import Evacuations
from rattanstile.process.mesh.ports import (
    ConfigPublished,
    ConfigUnreadableError,
    DomainEvacuated,
    OperatorRecord,
    OperatorRecords,
    RolloutOrdered,
    RolloutWithdrawn,
)
from rattanstile.process.mesh.rollout.order_book import OrderBook
from rattanstile.request.ids import FailureDomainId
from rattanstile.version.fleet_config import (
    ConfigOrigin,
    FleetConfig,
    FleetState,
    LogPosition,
    RolloutOrder,
)

ConfigDecoder = Callable[[bytes], Result[FleetConfig, ConfigUnreadableError]]


@dataclass(frozen=True, slots=True)
class StateCopy:
    """The operator state of another node.

    Attributes:
        document: The configuration as published.
        orders: Rollouts that operators have ordered; None if the other node
            doesn't know of rollouts.
    """

    position: LogPosition
    document: bytes
    evacuations: Evacuations
    orders: tuple[RolloutOrder, ...] | None = None


class OperatorState:
    """The operator state as of the latest record that this node has.

    Attributes:
        evacuations: What the node knows of evacuations.
        verdict_on: Returns the value of the verdict on an order, for copies.

    Args:
        decode: Decodes a published configuration.
        on_change: Called after each change of the configuration, evacuations
            or era, with the previous state.
        log: Receives a line for each configuration in force or unreadable.
        now_s: Returns monotonic seconds.
    """

    def __init__(
        self,
        decode: ConfigDecoder,
        on_change: Callable[[FleetState], None],
        log: DecisionLog,
        now_s: Callable[[], float],
    ) -> None:
        """Initialize with nothing in force."""
        self.state = FleetState()
        self.evacuations = Evacuations()
        self.verdict_on: Callable[[RolloutOrder], int] = _no_verdict
        self._decode = decode
        self._on_change = on_change
        self._log = log
        self._now_s = now_s

    def apply_records(self, records: OperatorRecords, source: str) -> bool:
        """Apply records that were read from the operators' log.

        Records of another era are ignored: the offset that they were read from
        belongs to another log.

        Args:
            records: In any order; those already applied change nothing.
            source: Origin of the records, for the log.

        Returns:
            Whether the records are of the era of this state.
        """
        if records.era != self.state.era:
            self._log_ignored('other_era', records, source)
            return False
        documents: list[bytes] = []
        evacuations = self.evacuations
        book = OrderBook(self.state.orders)
        for record in sorted(records.records, key=lambda item: item.offset):
            if record.offset < self.state.offset:
                continue
            match record.change:
                case ConfigPublished(published):
                    documents.append(published)
                case DomainEvacuated(domain, is_evacuated):
                    evacuations = evacuations.after_record(
                        domain, is_evacuated=is_evacuated
                    )
                case RolloutOrdered(order):
                    book = book.ordered(self._begun(order))
                case RolloutWithdrawn(service):
                    book = book.withdrawn(service)
        end = max(self.state.offset, records.end)
        position = LogPosition(records.era, end)
        self._advance(position, documents, evacuations, source, book)
        return True

    def apply_snapshot(self, records: OperatorRecords, source: str) -> bool:
        """Apply the newest record of each key.

        An evacuation without a record has been withdrawn, unless the store was
        restored from a copy. Records that end before the current position are
        ignored.

        Args:
            records: The newest record of each key of the log.
            source: Origin of the records, for the log.

        Returns:
            Whether the records were applied.
        """
        position = LogPosition(records.era, records.end)
        if position < self.state.position:
            is_older = records.era < self.state.era
            why = 'older_era' if is_older else 'older_end'
            self._log_ignored(why, records, source)
            return False
        documents: list[bytes] = []
        for record in records.records:
            match record.change:
                case ConfigPublished(published):
                    documents.append(published)
        evacuations = self._evacuations_of_snapshot(records)
        book = self._orders_of_snapshot(records)
        self._advance(position, documents, evacuations, source, book)
        return True

    def apply_copy(self, copy: StateCopy, source: str) -> None:
        """Apply what another node knows and this one doesn't."""
        position = max(copy.position, self.state.position)
        evacuations = self._evacuations_of_copy(copy)
        book = self._orders_of_copy(copy)
        self._advance(position, [copy.document], evacuations, source, book)

    def check(self, now_s: float) -> None:
        """End what was kept against the log for long enough."""
        evacuations = self.evacuations.at(now_s)
        if evacuations != self.evacuations:
            self._advance(self.state.position, (), evacuations, 'timeout')

    def _evacuations_of_snapshot(self, records: OperatorRecords) -> Evacuations:
        evacuated = _evacuated_in(records.records)
        if records.era == self.state.era:
            return self.evacuations.later_in_log(evacuated)
        # A record at an offset that this node had not read yet is no part of
        # what it knows of the lost log.
        news = _evacuated_in(
            record
            for record in records.records
            if record.offset >= self.state.offset
        )
        return self.evacuations.restored(self._now_s(), evacuated, news)

    def _orders_of_snapshot(self, records: OperatorRecords) -> OrderBook:
        own = OrderBook(self.state.orders)
        if records.era == self.state.era or not self.state.is_known:
            return own.later(self._orders_in(records.records))
        news = (
            record
            for record in records.records
            if record.offset >= self.state.offset
        )
        return own.restored(
            self._orders_in(records.records), self._orders_in(news)
        )

    def _orders_of_copy(self, copy: StateCopy) -> OrderBook:
        own = OrderBook(self.state.orders)
        if copy.orders is None or copy.position < self.state.position:
            return own
        if copy.position.era > self.state.era and self.state.is_known:
            return own.with_all(copy.orders)
        return own.later(copy.orders)

    def _orders_in(
        self, records: Iterable[OperatorRecord]
    ) -> list[RolloutOrder]:
        return [
            self._begun(record.change.order)
            for record in records
            if isinstance(record.change, RolloutOrdered)
        ]

    def _begun(self, order: RolloutOrder) -> RolloutOrder:
        return replace(order, began_s=self._now_s())

    def _evacuations_of_copy(self, copy: StateCopy) -> Evacuations:
        own = self.evacuations
        theirs = copy.evacuations
        if copy.position < self.state.position:
            return own
        if not self.state.is_known:
            return theirs
        if copy.position.era > self.state.era:
            own = own.restored(self._now_s(), theirs.in_log, theirs.settled)
        else:
            own = own.later_in_log(theirs.in_log, theirs.settled)
        return own.merged(theirs)

    def _advance(
        self,
        position: LogPosition,
        documents: Iterable[bytes],
        evacuations: Evacuations,
        source: str,
        book: OrderBook | None = None,
    ) -> None:
        previous = self.state
        self.evacuations = evacuations
        self.state = replace(
            previous,
            offset=position.offset,
            evacuated=evacuations.in_force,
            era=position.era,
            kept=evacuations.kept,
            orders=previous.orders if book is None else book.orders,
        )
        for document in documents:
            self._apply_document(document, source)
        if self.state == previous:
            return
        if previous.is_known and position.era != previous.era:
            self._log_restored(previous, source)
        is_change = (
            previous.config is not self.state.config
            or previous.evacuated != self.state.evacuated
            or previous.orders != self.state.orders
        )
        if is_change:
            self._log_in_force(previous, source)
        if is_change or previous.era != self.state.era:
            self._on_change(previous)

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

    def _log_ignored(
        self, why: str, records: OperatorRecords, source: str
    ) -> None:
        self._log.write(
            LineKind.STORE,
            'snapshot_ignored',
            why=why,
            era=records.era,
            era_before=self.state.era,
            end=records.end,
            offset=self.state.offset,
            source=source,
        )

    def _log_restored(self, previous: FleetState, source: str) -> None:
        self._log.write(
            LineKind.STORE,
            'store_restored',
            era=self.state.era,
            era_before=previous.era,
            offset=self.state.offset,
            offset_before=previous.offset,
            version=self.state.version,
            kept=_joined(self.state.kept),
            source=source,
        )

    def _log_in_force(self, previous: FleetState, source: str) -> None:
        state = self.state
        config = state.config
        self._log.write(
            LineKind.CONFIG,
            'config_in_force',
            version=state.version,
            before=previous.version,
            era=state.era,
            offset=state.offset,
            evacuated=_joined(state.evacuated),
            rollouts=','.join(
                f'{order.service}:{order.version}' for order in state.orders
            )
            or '-',
            source=source,
            routes=config.route_count if config else 0,
            keys=len(config.organisations) if config else 0,
            requires_keys=config is not None and config.requires_keys,
            size_bytes=len(state.document),
        )


def _no_verdict(order: RolloutOrder) -> int:
    return 0


def _evacuated_in(
    records: Iterable[OperatorRecord],
) -> frozenset[FailureDomainId]:
    """Return the domains that the newest records evacuate."""
    return frozenset(
        record.change.domain
        for record in records
        if isinstance(record.change, DomainEvacuated)
        and record.change.is_evacuated
    )


def _joined(domains: frozenset[FailureDomainId]) -> str:
    return ','.join(sorted(domains)) or '-'
