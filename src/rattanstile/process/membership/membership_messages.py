"""Messages, inputs and outputs of the membership state machine."""

from dataclasses import dataclass
from enum import IntEnum, unique

import msgspec

from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.messages import Ticked
from rattanstile.request.envelope import Member
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName


@unique
class MemberState(IntEnum):
    """State of one incarnation; the larger value wins a tie."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Update(msgspec.Struct, frozen=True, array_like=True):
    """The state of one incarnation of a node.

    Attributes:
        refutation: Incremented only by the member itself, on an update that
            it is suspected or lost; the larger value wins.
        member: Present where the member may be new to the receiver.
    """

    node_id: NodeId
    incarnation: int
    state: MemberState
    refutation: int = 0
    member: Member | None = None


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='mp'):
    """Request to a member for an `Ack`.

    Attributes:
        incarnation: Incarnation of the sender.
    """

    sequence: int
    incarnation: int
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag='ma'):
    """Response to a `Ping`, or relayed response to a `PingRequest`."""

    sequence: int
    incarnation: int
    updates: tuple[Update, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag='mr'):
    """Request to a neighbour to ping a member that did not respond."""

    sequence: int
    subject: NodeId


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag='mj'):
    """Request for the members, from a process that has none or lost a page.

    Attributes:
        page: Number of the page, from 0.
    """

    member: Member
    page: int = 0


class JoinResponse(msgspec.Struct, frozen=True, array_like=True, tag='mk'):
    """One page of the members that the receiver has to store.

    Attributes:
        pages: Number of pages.
    """

    page: int
    pages: int
    updates: tuple[Update, ...]


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag='ms'):
    """Subscription to the services that the sender's service calls.

    Attributes:
        digest: Digest of the members of these services at the sender.
    """

    services: tuple[ServiceName, ...]
    digest: int


class ServiceMembers(msgspec.Struct, frozen=True, array_like=True, tag='mm'):
    """Members of a service, all of them or only those that changed.

    Attributes:
        complete: Whether the sender has no members but the listed ones.
    """

    service: ServiceName
    complete: bool
    updates: tuple[Update, ...]


class DomainSummary(msgspec.Struct, frozen=True, array_like=True, tag='md'):
    """Summary of a directory's own failure domain, sent to another domain.

    Attributes:
        digest: Digest of the members of the domain and their states.
        is_reply_requested: Whether the receiver is to respond with its own
            summary.
        changes: The latest changes, newest first.
    """

    domain: FailureDomainId
    digest: int
    is_reply_requested: bool
    changes: tuple[Update, ...] = ()


class DomainRequest(msgspec.Struct, frozen=True, array_like=True, tag='mq'):
    """Request of a directory for the members of a domain that differs.

    Attributes:
        digests: Digests of the domain's members in buckets by a hash of the
            node id; the response covers only the buckets that differ.
    """

    domain: FailureDomainId
    digests: tuple[int, ...]


class DomainMembers(msgspec.Struct, frozen=True, array_like=True, tag='mf'):
    """Members of a failure domain that may be outdated at the requester."""

    domain: FailureDomainId
    page: int
    pages: int
    updates: tuple[Update, ...]


class DomainState(msgspec.Struct, frozen=True, array_like=True, tag='ml'):
    """Notice to a directory's own domain that another is lost or reachable."""

    domain: FailureDomainId
    lost: bool


MembershipMessage = (
    Ping
    | Ack
    | PingRequest
    | JoinRequest
    | JoinResponse
    | Subscribe
    | ServiceMembers
    | DomainSummary
    | DomainRequest
    | DomainMembers
    | DomainState
)


# Inputs of the state machine, besides ControlArrived, LogRecordRead and Ticked


@dataclass(frozen=True, slots=True)
class PeerActive:
    """A frame from a node arrived: it is alive, whatever gossip reports."""

    node_id: NodeId


@dataclass(frozen=True, slots=True)
class InterestChanged:
    """The services that calls through this node go to have changed."""

    services: tuple[ServiceName, ...]


@dataclass(frozen=True, slots=True)
class LeaveBegan:
    """This node started to drain and accepts no new calls."""


MembershipInput = (
    ControlArrived
    | LogRecordRead
    | PeerActive
    | InterestChanged
    | LeaveBegan
    | Ticked
)


# Outputs of the state machine


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members of a service that may receive calls."""

    service: ServiceName
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MemberLost:
    """An incarnation does not respond, or has ended.

    A member that leaves is not lost: it accepts no new calls, as reported by
    `MembersChanged`, but completes the calls in flight.

    Attributes:
        ended: Whether it has certainly ended, because its node runs with a
            larger incarnation. Otherwise it may become live again.
    """

    node_id: NodeId
    incarnation: int
    ended: bool


MembershipOutput = SendControl | AppendRecord | MembersChanged | MemberLost
