"""What the membership machines of the nodes tell each other."""

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
    """What is known of one incarnation; a larger one wins at a tie."""

    ALIVE = 0
    SUSPECT = 1
    LOST = 2
    LEFT = 3


class Update(msgspec.Struct, frozen=True, array_like=True):
    """The state of one incarnation of a node.

    Attributes:
        refutation: Raised only by the member itself, when it hears that it
            is suspected or lost; a larger one wins.
        member: Told when the member is new to the receiver.
    """

    node_id: NodeId
    incarnation: int
    state: MemberState
    refutation: int = 0
    member: Member | None = None


class Ping(msgspec.Struct, frozen=True, array_like=True, tag='mp'):
    """Asks a member for an `Ack`.

    Attributes:
        incarnation: The sender's.
    """

    sequence: int
    incarnation: int
    updates: tuple[Update, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag='ma'):
    """The answer to a `Ping`, or through a neighbour to a `PingRequest`."""

    sequence: int
    incarnation: int
    updates: tuple[Update, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag='mr'):
    """Asks a neighbour to ping a member that did not answer."""

    sequence: int
    subject: NodeId


class JoinRequest(msgspec.Struct, frozen=True, array_like=True, tag='mj'):
    """A process that knows nobody, or lost a page, asks for the members.

    Attributes:
        page: Pages are counted from 0.
    """

    member: Member
    page: int = 0


class JoinResponse(msgspec.Struct, frozen=True, array_like=True, tag='mk'):
    """One page of the members that the receiver has to know.

    Attributes:
        pages: How many pages there are.
    """

    page: int
    pages: int
    updates: tuple[Update, ...]


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag='ms'):
    """A node names the services that its own calls.

    Attributes:
        digest: Of the members that the sender knows of all of them.
    """

    services: tuple[ServiceName, ...]
    digest: int


class ServiceMembers(msgspec.Struct, frozen=True, array_like=True, tag='mm'):
    """The members of a service, in full or only those that changed.

    Attributes:
        complete: Whether a member that is not told is unknown here.
    """

    service: ServiceName
    complete: bool
    updates: tuple[Update, ...]


class DomainSummary(msgspec.Struct, frozen=True, array_like=True, tag='md'):
    """A directory tells one of another failure domain about its own.

    Attributes:
        digest: Of the members of the domain and their states.
        wants_answer: Whether the receiver is to send its own.
        changes: The latest changes, newest first.
    """

    domain: FailureDomainId
    digest: int
    is_reply_requested: bool
    changes: tuple[Update, ...] = ()


class DomainRequest(msgspec.Struct, frozen=True, array_like=True, tag='mq'):
    """A directory whose view of a domain differs asks for the members.

    Attributes:
        digests: Of parts of the domain's members, by a hash of the node id;
            only the parts that differ are answered.
    """

    domain: FailureDomainId
    digests: tuple[int, ...]


class DomainMembers(msgspec.Struct, frozen=True, array_like=True, tag='mf'):
    """Members of a failure domain that the asker may have wrong."""

    domain: FailureDomainId
    page: int
    pages: int
    updates: tuple[Update, ...]


class DomainState(msgspec.Struct, frozen=True, array_like=True, tag='ml'):
    """A directory tells its own domain that another is lost, or is back."""

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


# Into the machine, beside ControlArrived, LogRecordRead and Ticked


@dataclass(frozen=True, slots=True)
class PeerHeard:
    """A frame of a node came in: it lives, whatever the gossip says."""

    node_id: NodeId


@dataclass(frozen=True, slots=True)
class InterestChanged:
    """The services that calls through this node go to."""

    services: tuple[ServiceName, ...]


@dataclass(frozen=True, slots=True)
class LeaveBegan:
    """This node drains: it takes no new work from now on."""


MembershipInput = (
    ControlArrived
    | LogRecordRead
    | PeerHeard
    | InterestChanged
    | LeaveBegan
    | Ticked
)


# Out of the machine


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The members of a service that may be given work."""

    service: ServiceName
    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class MemberLost:
    """An incarnation does not answer, or has ended.

    A member that leaves is not lost: it takes no new work, which
    `MembersChanged` tells, but finishes what it has.

    Attributes:
        ended: Whether it has ended for certain, as its node runs with a
            larger incarnation. A lost one may be heard again.
    """

    node_id: NodeId
    incarnation: int
    ended: bool


MembershipOutput = SendControl | AppendRecord | MembersChanged | MemberLost
