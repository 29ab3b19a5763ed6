"""Messages into and out of the entry and the serving state machines."""

from dataclasses import dataclass
from enum import Enum, unique

from rattanstile.request.envelope import Call, Cancel, Header, Reply
from rattanstile.request.ids import (
    CallId,
    Incarnation,
    KeyDigest,
    NodeId,
    OrganisationId,
    ServiceName,
)
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority
from rattanstile.version.declaration import Route


@unique
class TargetFailure(Enum):
    """How a target failed to answer a call."""

    NOT_SENT = 'not-sent'
    """No byte of the call reached the target."""
    RESET = 'reset'
    TIMEOUT = 'timeout'
    ANSWER_CUT = 'answer-cut'
    CANCELLED = 'cancelled'


# Into the serving machine


@dataclass(frozen=True, slots=True)
class CallArrived:
    """An attempt reached the serving node; `sender` gets the reply."""

    call: Call
    sender: NodeId


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The target gave its whole answer.

    Attributes:
        boot_id: The target's own boot id; empty where it gives none.
        refused_unrun: Whether the target itself said that it did not run it.
    """

    call_id: CallId
    status: int
    headers: tuple[Header, ...]
    body: bytes
    boot_id: str = ''
    stated_not_run: bool = False
    tries_unspent: int = 0
    failed_below: bool = False


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """The target gave no whole answer."""

    call_id: CallId
    failure: TargetFailure


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """A sign that the target began a cold start (refused or reset, boot id)."""

    boot_id: str = ''


@dataclass(frozen=True, slots=True)
class CancelArrived:
    """A caller gave an attempt up."""

    cancel: Cancel
    sender: NodeId


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time went by."""


@dataclass(frozen=True, slots=True)
class DrainBegan:
    """The node takes no new work from now on."""


@dataclass(frozen=True, slots=True)
class ChildEnded:
    """A call that the target made for a running call has ended.

    Attributes:
        parent: The running call.
        pressure: The larger of the child's own and subtree pressure; for a
            child refused at this entry, the pressure that refused it.
        ceiling: The ceiling that belongs to it; 0 when not told.
    """

    parent: CallId
    pressure: float
    ceiling: float = 0.0


ServingInput = (
    CallArrived
    | TargetAnswered
    | TargetFailed
    | TargetRestarted
    | CancelArrived
    | ChildEnded
    | Ticked
    | DrainBegan
)


# Out of the serving machine


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Run this call on the target now."""

    call: Call
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class SendReply:
    """Give the reply of an attempt to the node that sent the attempt."""

    reply: Reply
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Tell the target that nobody waits for this call any more."""

    call_id: CallId


ServingOutput = Dispatch | SendReply | CancelDispatch


# Into the entry machine


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A caller's request that passed key and route checks.

    Attributes:
        request_id: Chosen by the shell; names the request in `Finished`.
        call_id: Set when the caller library issued one, else empty.
        attempt: The caller's own attempt number, from 1; 0 where the caller
            sent an idempotency key without saying that it is the first.
        tries_left: Retry budget of the whole tree below this call.
        idempotency_key: Set when the caller sent only its own key.
    """

    request_id: int
    call_id: CallId
    attempt: int
    organisation: OrganisationId
    key_digest: KeyDigest
    service: ServiceName
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    route: Route
    remaining_ms: int
    tries_left: int
    hops: int
    idempotency_key: str = ''
    priority: Priority | None = None
    """Set for a child call; the route's own where it is None."""
    shed_draw: float = -1.0
    """`Call.shed_draw` of the parent; negative for a root call."""
    shed_pressure: float = 0.0
    """`Call.shed_pressure` of the parent."""


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """A serving node ended an attempt."""

    reply: Reply
    sender: NodeId


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The connection to a node is gone or silent.

    Attributes:
        connected: False when the connection was refused: nothing was sent
            since the last loss. A loss after any byte was written is told
            with True, and before a refused reconnection.
    """

    node_id: NodeId
    connected: bool = True


@dataclass(frozen=True, slots=True)
class AttemptUnsent:
    """No byte of this one attempt left this node, and none ever will."""

    call_id: CallId
    attempt: int


@dataclass(frozen=True, slots=True)
class HomeSeen:
    """A node told who it is, in a greeting or a heartbeat.

    Attributes:
        id_epoch: The node's own id epoch now.
    """

    node_id: NodeId
    incarnation: Incarnation
    id_epoch: int


@dataclass(frozen=True, slots=True)
class HomeGone:
    """This incarnation of a node, or an older one, never answers again."""

    node_id: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class Bound:
    """The log ties the request's idempotency key to this call id.

    Attributes:
        fresh: Whether this request's own record came first.
    """

    request_id: int
    call_id: CallId
    fresh: bool


@dataclass(frozen=True, slots=True)
class BindingFailed:
    """The request's idempotency key could not be tied to a call id.

    Attributes:
        proved_unbound: Whether it is certain that the request's own record is
            not in the log and never comes.
    """

    request_id: int
    reason: Reason
    proved_unbound: bool


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The caller went away."""

    request_id: int


EntryInput = (
    CallRequested
    | ReplyArrived
    | PeerLost
    | AttemptUnsent
    | HomeSeen
    | HomeGone
    | Bound
    | BindingFailed
    | RequestAbandoned
    | Ticked
)


# Out of the entry machine


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send an attempt to a node, this node itself included."""

    call: Call
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Tell a node that an attempt is given up."""

    cancel: Cancel
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class AskHome:
    """Connect to a node, or send a heartbeat, so that `HomeSeen` follows."""

    receiver: NodeId


@dataclass(frozen=True, slots=True)
class BindingWanted:
    """Tie an idempotency key to a call id through the log.

    Attributes:
        call_id: What to tie it to unless another record came first.
        refused: The call id that its home proved to be never run, so that a
            later record may replace it; empty for a first binding.
        deadline_s: Nobody waits for the binding after it.
    """

    request_id: int
    organisation: OrganisationId
    idempotency_key: str
    fingerprint: bytes
    call_id: CallId
    refused: CallId
    deadline_s: float


@dataclass(frozen=True, slots=True)
class Finished:
    """The request ended."""

    request_id: int
    reply: Reply


EntryOutput = SendCall | SendCancel | AskHome | BindingWanted | Finished
