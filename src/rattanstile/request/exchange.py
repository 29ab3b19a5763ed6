"""A caller's request and its possible outcomes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

import msgspec

from rattanstile.request.ids import OrganisationId, ServiceName

RawHeader = tuple[bytes, bytes]
"""Name and value as sent on the wire."""


@unique
class NotRunReason(Enum):
    """Why a request has not run and never will."""

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
    CONFIG_STALE = 18
    RETRY_BUDGET = 19

    @property
    def is_overload(self) -> bool:
        """Return whether a node with spare capacity could run the request."""
        return self in _OVERLOAD


_OVERLOAD = frozenset(
    (
        NotRunReason.OVERLOADED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.TARGET_REFUSED,
        NotRunReason.DEADLINE,
        NotRunReason.RETRY_BUDGET,
    ),
)


@unique
class UnknownReason(Enum):
    """Why it is unknown whether a request has run."""

    DEADLINE = 1
    ANSWER_LOST = 2
    ANSWER_SPOILED = 3
    PEER_LOST = 4
    SHUTDOWN = 5


@dataclass(frozen=True, slots=True)
class IncomingRequest:
    """A caller's request, independent of the protocol that carried it.

    Attributes:
        request_id: Identifier that the caller gives this attempt.
        host: Host name in lower case, without a port.
        path: Path with the query.
        headers: Headers that are forwarded to the target.
        key: Key presented; None when there is none.
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
    """A target's complete and validated answer.

    Attributes:
        phrase: Reason phrase of the status line.
        headers: Headers without the hop-by-hop ones.
    """

    status: int
    phrase: bytes
    headers: tuple[RawHeader, ...]
    body: bytes

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300  # noqa: PLR2004


@dataclass(frozen=True, slots=True)
class Answered:
    """The target gave a complete answer."""

    answer: WholeAnswer


class AnswerHead(msgspec.Struct, frozen=True, array_like=True):
    """Start of an answer whose body follows in parts.

    Attributes:
        phrase: Reason phrase of the status line.
        headers: Headers without the hop-by-hop ones.
        length_bytes: Length of the body; None if it is known only at its end.
    """

    status: int
    phrase: bytes
    headers: tuple[RawHeader, ...]
    length_bytes: int | None


class AnswerSink(Protocol):
    """Receives an answer in parts, before the ending of its request.

    `Streamed` as the ending says that the parts were all; any other ending
    after `begin_answer` says that the answer is cut.
    """

    def begin_answer(self, head: AnswerHead) -> None:
        """Receive the start of the answer."""

    def add_part(self, part: bytes) -> None:
        """Receive the next bytes of the body."""


@dataclass(frozen=True, slots=True)
class Streamed:
    """The target gave a complete answer, whose parts were delivered before."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request has not run and never will.

    Attributes:
        retry_after_s: Delay after which the caller may retry; 0 for no hint.
    """

    reason: NotRunReason
    retry_after_s: float = 0


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run."""

    reason: UnknownReason


Ending = Answered | Streamed | NotRun | Unknown
EndingHandler = Callable[[Ending], None]


UNKNOWN_URGENCY = -1


class ServedCall(msgspec.Struct, frozen=True, array_like=True):
    """One attempt of a request, as the serving node receives it.

    Attributes:
        route: Name of the route that was chosen.
        moves: Number of nodes that it was offered to before and that did not
            run it.
        inner: Whether a target made the request while it ran another.
        idempotent: Whether it may run more than once.
        priority: 0 is the most urgent.
        latency_objective_ms: Latency objective: time within which an answer
            has full value.
        remaining_ms: Time left when the attempt was sent.
        caller_service: Service of the VM where the request came in.
        organisation: Owner of the key presented; empty for none.
        is_repeat: Whether calls that its run makes are repeated calls.
        urgency: Priority of the root request that causes it; 0 is the most
            urgent. Inferred for inner calls; `UNKNOWN_URGENCY` from nodes that
            don't state it.
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
    is_repeat: bool = False
    urgency: int = UNKNOWN_URGENCY

    @property
    def root_priority(self) -> int:
        """Return the priority of the root request; its own if unknown."""
        return self.priority if self.urgency < 0 else self.urgency


class ServiceUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage of a service by one run of a route.

    Attributes:
        runs: Mean number of runs of the service for one run of the route.
    """

    service: ServiceName
    runs: float
