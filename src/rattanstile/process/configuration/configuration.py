"""Runs the relay of a node: its timer, log access and messages."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random

from logbook import Logger
from result import Err, Ok
from twisted.internet.defer import Deferred

from rattanstile.process.configuration.log_client import (
    LogClient,
    OffsetTooOld,
    ReadBatch,
    ReadResult,
)
from rattanstile.process.configuration.relay import TICK_S, Relay
from rattanstile.process.configuration.relay_messages import (
    AppendMark,
    AppendSnapshot,
    LogRead,
    LogReadFailed,
    LogReadTooOld,
    MarkAppended,
    MembersChanged,
    ReadLog,
    RelayInput,
    RelayMember,
    RelayMessage,
    RelayOutput,
    RelayReceived,
    RelayTicked,
    SendControl,
    VersionAccepted,
)
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import NodeId, RecordId
from rattanstile.version.in_force import VersionInForce
from rattanstile.version.records import (
    CONFIGURATION_STREAM,
    MarkRecord,
    decode_record,
    encode_record,
)

_log = Logger('configuration')


class Configuration:
    """The configuration in force at one node.

    Args:
        own_member: The node itself.
        send: Passes a message to the control bus; it may be lost.
        on_version: Called with each version when it takes effect.

    Attributes:
        in_force: The version in force; number 0 and empty before the first.
    """

    def __init__(
        self,
        own_member: RelayMember,
        timers: TimerService,
        log_client: LogClient,
        send: Callable[[NodeId, RelayMessage], None],
        on_version: Callable[[VersionInForce], None],
        random: Random,
    ) -> None:
        """Start without a verified version."""
        self.relay = Relay(own_member, random)
        self.in_force = VersionInForce(
            self.relay.fold.version, self.relay.fold.declaration
        )
        self._own_id = own_member.node_id
        self._timers = timers
        self._client = log_client
        self._send = send
        self._on_version = on_version

    @contextmanager
    def running(self) -> Iterator[None]:
        """Keep the version up to date while the block runs."""
        with self._timers.every(TICK_S, self._tick):
            yield

    def admits_keyed(self) -> bool:
        """Return whether calls that carry a key may be admitted now."""
        fresh = self.relay.freshness.admits(self._timers.now_s())
        return self.relay.fold.verified and fresh

    def staleness_s(self) -> float:
        """Return the age of the latest evidence; infinite if there is none."""
        return self.relay.freshness.age_s(self._timers.now_s())

    def set_members(self, members: tuple[RelayMember, ...]) -> None:
        """Replace the members that the relay may contact."""
        self._step(MembersChanged(members))

    def receive(self, sender: NodeId, message: RelayMessage) -> None:
        """Process a message from a peer."""
        self._step(RelayReceived(sender, message))

    def _tick(self, now_s: float) -> None:
        self._step(RelayTicked())

    def _step(self, relay_input: RelayInput) -> None:
        for output in self.relay.step(self._timers.now_s(), relay_input):
            self._execute(output)

    def _execute(self, output: RelayOutput) -> None:
        match output:
            case SendControl(receiver=receiver, message=message):
                self._send(receiver, message)
            case ReadLog():
                self._read(output)
            case AppendSnapshot(snapshot=snapshot):
                _log.info('event=snapshot version={}', snapshot.version)
                self._client.append(
                    CONFIGURATION_STREAM, encode_record(snapshot)
                )
            case AppendMark(mark_id=mark_id):
                self._append_mark(mark_id)
            case VersionAccepted(version=version, declaration=declaration):
                self.in_force = VersionInForce(version, declaration)
                self._on_version(self.in_force)

    def _append_mark(self, mark_id: int) -> None:
        mark = MarkRecord(record_id=RecordId(f'{self._own_id}-{mark_id}'))
        appending = self._client.append(
            CONFIGURATION_STREAM, encode_record(mark)
        )
        appending.addCallback(
            lambda result: self._step(MarkAppended(mark_id, result.ok()))
        )

    def _read(self, request: ReadLog) -> None:
        reading: Deferred[ReadResult] = self._client.read(
            CONFIGURATION_STREAM, request.from_offset, request.wait_s
        )
        reading.addCallback(self._on_read_result, request.read_id)
        reading.addErrback(
            lambda failure: _log.error('event=read_failed cause={}', failure)
        )

    def _on_read_result(self, result: ReadResult, read_id: int) -> None:
        match result:
            case Ok(batch):
                self._step(_log_read(batch, read_id))
            case Err(OffsetTooOld(oldest=oldest, next_offset=next_offset)):
                self._step(LogReadTooOld(read_id, oldest, next_offset))
            case _:
                self._step(LogReadFailed(read_id))


def _log_read(batch: ReadBatch, read_id: int) -> LogRead:
    return LogRead(
        read_id,
        batch.first,
        tuple(decode_record(record).ok() for record in batch.records),
        batch.oldest,
        batch.next_offset,
    )
