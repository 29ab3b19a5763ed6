"""Interfaces to targets, callers and the store, for any protocol."""

from collections.abc import Awaitable, Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from rattanstile.connection.http_client import (
    ExchangeFailure,
    ResponseMatch,
)
from rattanstile.connection.http_messages import HttpRequest, HttpResponse
from rattanstile.connection.http_server import BadRequest
from rattanstile.connection.peer_messages import PeerMember
from rattanstile.errors import RattanstileError, UnavailableError
from rattanstile.process.mesh.rollout.rollout_verdict import RolloutStatus
from rattanstile.process.mesh.serving.past_incarnations import TargetDeparture
from rattanstile.process.mesh.serving.target_watch import (
    Announcement,
    ProbeResult,
)
from rattanstile.request.exchange import (
    AnswerHead,
    Ending,
    IncomingRequest,
    NotRun,
    RawHeader,
    ServedCall,
    WholeAnswer,
)
from rattanstile.request.ids import (
    NO_ERA,
    FailureDomainId,
    NodeId,
    ServiceName,
    StoreEra,
    TargetId,
)
from rattanstile.version.fleet_config import FleetConfig, RolloutOrder


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """The target ran the call and its answer is complete."""

    answer: WholeAnswer


@dataclass(frozen=True, slots=True)
class RunRefused:
    """The target reports that it did not run the call.

    Attributes:
        is_other_target: Whether another incarnation answers at the address.
    """

    is_other_target: bool


@dataclass(frozen=True, slots=True)
class RunFailed:
    """The call received no acceptable answer."""

    failure: ExchangeFailure


RunOutcome = RunAnswered | RunRefused | RunFailed


class TargetCodec(Protocol):
    """Encodes calls and probes to a target and decodes its responses."""

    def encode_call(
        self, call: ServedCall, target_id: TargetId, remaining_ms: int
    ) -> bytes:
        """Return the encoded call."""

    def match_answer(
        self, call: ServedCall, response: HttpResponse
    ) -> ResponseMatch:
        """Return how a response relates to a call."""

    def decode_answer(self, response: HttpResponse) -> RunOutcome:
        """Return the outcome of the call that a response reports."""

    def encode_probe(self, health_path: str) -> bytes:
        """Return the encoded probe."""

    def match_probe(self, response: HttpResponse) -> ResponseMatch:
        """Return how a response relates to a probe."""

    def decode_probe(self, response: HttpResponse) -> ProbeResult:
        """Return the health that a response to a probe reports."""


@dataclass(frozen=True, slots=True)
class InvalidRequest:
    """A caller's request that can't be decoded.

    Attributes:
        ending: The refusal.
        detail: What is wrong, in a few words; empty if the connection knows.
    """

    ending: NotRun
    detail: str = ''


class CallerCodec(Protocol):
    """Decodes requests of callers and encodes the responses to them."""

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Result[IncomingRequest, InvalidRequest]:
        """Return the caller's request, or why it can't be decoded."""

    def request_id(self, request_headers: tuple[RawHeader, ...]) -> str:
        """Return the identifier in a request's headers; empty for none."""

    def encode(
        self, request_id: str, ending: Ending, *, closes: bool, is_head: bool
    ) -> bytes:
        """Return the encoded response that reports the end of a request.

        Args:
            ending: Any ending but `Streamed`, whose answer was sent before.
        """

    def encode_head(self, head: AnswerHead, *, closes: bool) -> bytes:
        """Return the encoded start of an answer in parts."""

    def encode_part(self, head: AnswerHead, part: bytes) -> bytes:
        """Return an encoded part of an answer; an empty one ends it."""


@dataclass(frozen=True, slots=True)
class InvalidAnnouncement:
    """A message to the announcement address that is no announcement.

    Attributes:
        why: The reason, for the log.
        is_unknown_path: Whether the request path is not one of the protocol.
    """

    why: str
    is_unknown_path: bool = False


class AnnouncementCodec(Protocol):
    """Decodes announcements of targets and encodes the responses."""

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Announcement | TargetDeparture | InvalidAnnouncement:
        """Return the announcement or departure of a target."""

    def acknowledge(self, *, closes: bool) -> bytes:
        """Return the encoded acknowledgement."""

    def reject(self, rejected: InvalidAnnouncement, *, closes: bool) -> bytes:
        """Return the encoded response that rejects the message."""


@dataclass(frozen=True, slots=True)
class ConfigPublished:
    """Operators published a configuration."""

    document: bytes


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """Operators evacuated a failure domain, or restored it."""

    domain: FailureDomainId
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class RolloutOrdered:
    """Operators ordered a service to move to another version."""

    order: RolloutOrder


@dataclass(frozen=True, slots=True)
class RolloutWithdrawn:
    """Operators withdrew the order for a service."""

    service: ServiceName


@dataclass(frozen=True, slots=True)
class OtherRecord:
    """A record that does not concern this node."""


OperatorChange = (
    ConfigPublished
    | DomainEvacuated
    | RolloutOrdered
    | RolloutWithdrawn
    | OtherRecord
)


@dataclass(frozen=True, slots=True)
class OperatorRecord:
    """One record of the operators' log.

    Attributes:
        offset: Position of the record in the log.
    """

    offset: int
    change: OperatorChange


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """Records of the operators' log.

    Attributes:
        end: The offset after the last record that was read.
        era: Era of the store that the offsets belong to.
        has_more: Whether the log had further records at the time of the read.
    """

    records: tuple[OperatorRecord, ...]
    end: int
    era: StoreEra = NO_ERA
    has_more: bool = False


class StoreUnavailableError(UnavailableError):
    """The platform's store did not answer, or rejected the call."""


class HistoryGoneError(RattanstileError):
    """The store has no records at the requested offset.

    They are past retention, or the store was restored from an older copy.

    Attributes:
        era: Era of the store that answered.
    """

    def __init__(self, message: str, era: StoreEra) -> None:
        """Store the era of the answer."""
        super().__init__(message)
        self.era = era


class EndMovedError(RattanstileError):
    """Another record was appended first."""


class ConfigUnreadableError(RattanstileError):
    """A published configuration can't be decoded."""


StoreError = StoreUnavailableError | HistoryGoneError | EndMovedError


@dataclass(frozen=True, slots=True)
class FleetMembers:
    """Nodes that have announced themselves.

    Attributes:
        by_id: The members by node ID.
        unreadable: Number of entries of other writers, which name no node.
        era: Era of the store that answered.
    """

    by_id: Mapping[NodeId, PeerMember]
    unreadable: int
    era: StoreEra = NO_ERA


NO_MEMBERS = FleetMembers({}, 0)


@dataclass(frozen=True, slots=True)
class RolloutStatuses:
    """The newest status of each service.

    Attributes:
        end: Offset of the next record of their log.
        era: Era of the store that answered.
    """

    by_service: Mapping[ServiceName, RolloutStatus]
    end: int
    era: StoreEra = NO_ERA


class FleetStore(Protocol):
    """Persistent storage that all nodes share."""

    def newest_records(self) -> Awaitable[Result[OperatorRecords, StoreError]]:
        """Return the newest record of each key of the operators' log."""

    def records_after(
        self, offset: int, wait_s: float
    ) -> Awaitable[Result[OperatorRecords, StoreError]]:
        """Return the records from an offset on; wait for the first one.

        Args:
            offset: The first offset to read.
            wait_s: Longest wait for a record, in seconds.
        """

    def members(
        self,
    ) -> Awaitable[Result[FleetMembers, StoreError]]:
        """Return all nodes that have announced themselves."""

    def announce(
        self, member: PeerMember
    ) -> Awaitable[Result[StoreEra, StoreError]]:
        """Store an entry by which other nodes find this one.

        Returns:
            The era of the store that acknowledged it.
        """

    def rollout_statuses(
        self,
    ) -> Awaitable[Result[RolloutStatuses, StoreError]]:
        """Return the newest status of each service."""

    def append_rollout_status(
        self, status: RolloutStatus, end: int
    ) -> Awaitable[Result[StoreEra, StoreError]]:
        """Append a status if the log of statuses still ends at an offset."""

    def decode_config(
        self, document: bytes
    ) -> Result[FleetConfig, ConfigUnreadableError]:
        """Decode a published configuration."""


@dataclass(frozen=True, slots=True)
class NodeAdapters:
    """The codecs and the store that the node is built with."""

    callers: CallerCodec
    targets: TargetCodec
    announcements: AnnouncementCodec
    store: FleetStore
