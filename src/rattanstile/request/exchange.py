"""A caller's request and the ways in which it can end."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

import msgspec

from rattanstile.request.ids import OrganisationId, ServiceName

RawHeader = tuple[bytes, bytes]
"""Name and content as they stand on the wire."""


@unique
class NotRunReason(Enum):
    """Why a request was not run, and never will be."""

    MALFORMED = 1
    BODY_TOO_LARGE = 2
    HEAD_TOO_LARGE = 3
    TOO_SLOW = 4
    NO_ROUTE = 5
    KEY_REFUSED = 6
    OVER_RATE = 7
    OVERLOADED = 8
    NOT_READY = 9
    NO_TARGET = 10
    TARGET_LEAVING = 11
    TARGET_REFUSED = 12
    TARGET_UNREACHED = 13
    QUEUE_FULL = 14
    DEADLINE = 15
    CANCELLED = 16
    PEER_UNREACHED = 17

    @property
    def is_overload(self) -> bool:
        """Tell whether the request could run where there is more room."""
        return self in _OVERLOAD


_OVERLOAD = frozenset(
    (
        NotRunReason.OVERLOADED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.TARGET_REFUSED,
        NotRunReason.DEADLINE,
    ),
)


@unique
class UnknownReason(Enum):
    """Why nobody knows whether a request has run."""

    DEADLINE = 1
    ANSWER_LOST = 2
    ANSWER_SPOILED = 3
    PEER_LOST = 4


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """What a caller's request says, whatever brought it.

    Attributes:
        request_id: The caller's own name for this attempt.
        host: Lower case, without a port.
        path: With the query.
        headers: What goes on to the target.
        key: The key presented; None when there is none.
        deadline_ms: Time that the caller waits; 0 when it states none.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: tuple[RawHeader, ...]
    body: bytes
    key: str | None
    deadline_ms: int


class WholeAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A target's answer, complete and checked.

    Attributes:
        phrase: The reason phrase of the status line.
        headers: Without those that concern one connection only.
    """

    status: int
    phrase: bytes
    headers: tuple[RawHeader, ...]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Tell whether the status is one of success."""
        return 200 <= self.status < 300  # noqa: PLR2004


@dataclass(frozen=True, slots=True)
class Answered:
    """The target answered."""

    answer: WholeAnswer


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and never will.

    Attributes:
        retry_after_s: When the caller may come back; 0 to say nothing.
    """

    reason: NotRunReason
    retry_after_s: float = 0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: UnknownReason


Ending = Answered | NotRun | Unknown
EndingHandler = Callable[[Ending], None]


class ServedCall(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of a request, as the serving node gets it.

    Attributes:
        route: Name of the route that was chosen.
        moves: Nodes that it was offered to before, and that did not take it.
        inner: Whether a target made the request while it ran another.
        idempotent: Whether it may run more than once.
        priority: 0 is the most urgent.
        aim_ms: Time within which an answer has its full worth.
        remaining_ms: Time left when the attempt was sent.
        caller_service: Service of the VM where the request began.
        organisation: Whose key came with it; empty for none.
    """

    request_id: str
    route: str
    service: ServiceName
    moves: int
    inner: bool
    idempotent: bool
    priority: int
    latency_objective_ms: int
    remaining_ms: int
    caller_service: ServiceName
    organisation: OrganisationId
    method: str
    host: str
    path: str
    headers: tuple[RawHeader, ...]
    body: bytes


class ServiceUsage(msgspec.Struct, frozen=True, array_like=True):
    """What one run of a route takes of a service.

    Attributes:
        runs: Runs of the service for one run of the route, in the mean.
    """

    service: ServiceName
    runs: float
