"""What the node asks of its surroundings, whatever they speak."""

from collections.abc import Awaitable, Mapping
from dataclasses import dataclass
from typing import Protocol

from result import Result

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpRequest, HttpResponse
from rattanstile.connection.http_server import BadRequest
from rattanstile.connection.peer_messages import PeerMember
from rattanstile.errors import RattanstileError, UnavailableError
from rattanstile.process.mesh.target_watch import (
    Announcement,
    ProbeResult,
    TargetDeparture,
)
from rattanstile.request.exchange import (
    CallerAsked,
    Ending,
    NotRun,
    ServedCall,
    WholeAnswer,
)
from rattanstile.request.ids import FailureDomainId, NodeId, TargetId
from rattanstile.version.fleet_config import FleetConfig


@dataclass(frozen=True, slots=True)
class RunAnswered:
    """The target ran the call and answered whole."""

    answer: WholeAnswer


@dataclass(frozen=True, slots=True)
class RunRefused:
    """The target says that it has not run the call.

    Attributes:
        is_other_target: Whether another incarnation has the address.
    """

    is_other_target: bool


@dataclass(frozen=True, slots=True)
class RunFailed:
    """The call got no acceptable answer."""

    failure: ExchangeFailure


RunOutcome = RunAnswered | RunRefused | RunFailed


class TargetCodec(Protocol):
    """How a target is spoken to."""

    def encode_call(
        self, call: ServedCall, target_id: TargetId, remaining_ms: int
    ) -> bytes:
        """Return the bytes of a call."""

    def is_answer_to(self, call: ServedCall, response: HttpResponse) -> bool:
        """Tell whether a response answers the call, and no other."""

    def decode_answer(self, response: HttpResponse) -> RunOutcome:
        """Return what a response says of the call."""

    def encode_probe(self, health_path: str) -> bytes:
        """Return the bytes of a probe."""

    def decode_probe(self, response: HttpResponse) -> ProbeResult:
        """Return what a response to a probe says."""


class CallerDialect(Protocol):
    """How callers speak."""

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Result[CallerAsked, NotRun]:
        """Return what a caller asks, or why that can't be understood."""

    def encode(
        self, request_id: str, ending: Ending, *, closes: bool, is_head: bool
    ) -> bytes:
        """Return the bytes that tell a caller how its request ended."""


@dataclass(frozen=True, slots=True)
class InvalidAnnouncement:
    """A message to the announcement address that names no target.

    Attributes:
        why: For the log.
    """

    why: str
    is_unknown_path: bool = False


class AnnouncementDialect(Protocol):
    """How targets announce themselves."""

    def decode(
        self, request: HttpRequest | BadRequest
    ) -> Announcement | TargetDeparture | InvalidAnnouncement:
        """Return what a target says of itself."""

    def acknowledge(self, *, closes: bool) -> bytes:
        """Return the bytes that acknowledge it."""

    def reject(self, rejected: InvalidAnnouncement, *, closes: bool) -> bytes:
        """Return the bytes that say that nothing was taken."""


@dataclass(frozen=True, slots=True)
class ConfigPublished:
    """Operators published a configuration."""

    document: bytes


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """Operators take a failure domain out, or back in."""

    domain: FailureDomainId
    is_evacuated: bool


@dataclass(frozen=True, slots=True)
class OtherRecord:
    """A record that concerns nothing here."""


OperatorChange = ConfigPublished | DomainEvacuated | OtherRecord


@dataclass(frozen=True, slots=True)
class OperatorRecord:
    """One record of the operators' log.

    Attributes:
        offset: Its place.
    """

    offset: int
    word: OperatorChange


@dataclass(frozen=True, slots=True)
class OperatorRecords:
    """Records of the operators' log.

    Attributes:
        end: The offset behind all records that were looked at.
    """

    records: tuple[OperatorRecord, ...]
    end: int


class StoreUnavailableError(UnavailableError):
    """The platform's store did not answer, or took nothing."""


class HistoryGoneError(RattanstileError):
    """The records asked for are past retention."""


class ConfigUnreadableError(RattanstileError):
    """A published configuration can't be understood."""


StoreError = StoreUnavailableError | HistoryGoneError


@dataclass(frozen=True, slots=True)
class FleetMembers:
    """Nodes that have announced themselves.

    Attributes:
        unreadable: Entries of other writers, which name no node.
    """

    by_id: Mapping[NodeId, PeerMember]
    unreadable: int


NO_MEMBERS = FleetMembers({}, 0)


class FleetStore(Protocol):
    """What lasts beyond this process, and is shared by all nodes."""

    def newest_records(self) -> Awaitable[Result[OperatorRecords, StoreError]]:
        """Return the newest record of each thing that operators state."""

    def records_after(
        self, offset: int, wait_s: float
    ) -> Awaitable[Result[OperatorRecords, StoreError]]:
        """Return records from an offset on, waiting for the first."""

    def members(
        self,
    ) -> Awaitable[Result[FleetMembers, StoreError]]:
        """Return all nodes that have announced themselves."""

    def announce(
        self, member: PeerMember
    ) -> Awaitable[Result[None, StoreError]]:
        """Let later nodes find this one."""

    def decode_config(
        self, document: bytes
    ) -> Result[FleetConfig, ConfigUnreadableError]:
        """Return a published configuration."""


@dataclass(frozen=True, slots=True)
class NodeAdapters:
    """Everything that the node speaks to, in one place."""

    callers: CallerDialect
    targets: TargetCodec
    announcements: AnnouncementDialect
    store: FleetStore
