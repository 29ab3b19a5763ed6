"""Inputs and outputs of the entry and serving state machines."""

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
    """Why a target gave no complete response to a call."""

    NOT_SENT = 'not-sent'
    """No byte of the call reached the target."""
    RESET = 'reset'
    TIMEOUT = 'timeout'
    ANSWER_CUT = 'answer-cut'
    CANCELLED = 'cancelled'


# Inputs of the serving state machine


@dataclass(frozen=True, slots=True)
class CallArrived:
    """An attempt arrived at the serving node; `sender` gets the reply."""

    call: Call
    sender: NodeId


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The target sent a complete response.

    Attributes:
        boot_id: Boot id that the target sent; empty if it sent none.
        stated_not_run: Whether the target reported that it did not run the
            call.
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
    """The target sent no complete response."""

    call_id: CallId
    failure: TargetFailure


@dataclass(frozen=True, slots=True)
class TargetRestarted:
    """Evidence that the target began a cold start.

    The evidence is a refused or reset connection, or a boot id.
    """

    boot_id: str = ''


@dataclass(frozen=True, slots=True)
class CancelArrived:
    """The sender of an attempt cancelled it."""

    cancel: Cancel
    sender: NodeId


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time has passed; the time itself is an argument of the step."""


@dataclass(frozen=True, slots=True)
class DrainBegan:
    """The node is draining and accepts no new calls from now on."""


@dataclass(frozen=True, slots=True)
class ChildCallCompleted:
    """A child call, which the target made for a running call, has completed.

    Attributes:
        parent: Id of the running call.
        pressure: The larger of the child's own and subtree pressure; for a
            child refused at this entry node, the pressure that refused it.
        ceiling: Ceiling that belongs to that pressure; 0 if not reported.
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
    | ChildCallCompleted
    | Ticked
    | DrainBegan
)


# Outputs of the serving state machine


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Run a call on the target now."""

    call: Call
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class SendReply:
    """Send the reply of an attempt to the node that sent the attempt."""

    reply: Reply
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class CancelDispatch:
    """Cancel a call on the target, as no attempt waits for it any more."""

    call_id: CallId


ServingOutput = Dispatch | SendReply | CancelDispatch


# Inputs of the entry state machine


@dataclass(frozen=True, slots=True)
class CallRequested:
    """A caller's request has passed the key and route checks.

    Attributes:
        request_id: Chosen by the entry service; identifies the request in
            inputs and outputs.
        call_id: Set if the caller library issued one, else empty.
        attempt: The caller's own attempt number, from 1; 0 if the caller
            sent an idempotency key, which doesn't say whether it is the first.
        tries_left: Retry budget of the whole call tree below this call.
        idempotency_key: Set if the caller sent only its own key.
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
    """Set for a child call; None means the priority of the route."""
    shed_draw: float = -1.0
    """`Call.shed_draw` of the parent; negative for a root call."""
    shed_pressure: float = 0.0
    """`Call.shed_pressure` of the parent."""


@dataclass(frozen=True, slots=True)
class ReplyArrived:
    """A serving node replied to an attempt."""

    reply: Reply
    sender: NodeId


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The connection to a node was refused or lost, or is silent.

    Attributes:
        connected: False if the connection was refused, so that nothing was
            sent since the last loss. A loss after any byte was written is
            reported with True, before a refused reconnection is.
    """

    node_id: NodeId
    connected: bool = True


@dataclass(frozen=True, slots=True)
class AttemptUnsent:
    """No byte of this one attempt was sent, and none ever will be."""

    call_id: CallId
    attempt: int


@dataclass(frozen=True, slots=True)
class HomeReport:
    """A node identified itself in a hello frame or a heartbeat.

    Attributes:
        id_epoch: The node's current id epoch.
    """

    node_id: NodeId
    incarnation: Incarnation
    id_epoch: int


@dataclass(frozen=True, slots=True)
class HomeGone:
    """This incarnation of a node, and any older one, never replies again."""

    node_id: NodeId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class KeyBound:
    """The log binds the request's idempotency key to this call id.

    Attributes:
        fresh: Whether the binding comes from this request's own record.
    """

    request_id: int
    call_id: CallId
    fresh: bool


@dataclass(frozen=True, slots=True)
class BindingFailed:
    """The request's idempotency key could not be bound to a call id.

    Attributes:
        proved_unbound: Whether it is certain that the request's own record is
            not in the log and never will be.
    """

    request_id: int
    reason: Reason
    proved_unbound: bool


@dataclass(frozen=True, slots=True)
class RequestAbandoned:
    """The caller no longer waits for the request."""

    request_id: int


EntryInput = (
    CallRequested
    | ReplyArrived
    | PeerLost
    | AttemptUnsent
    | HomeReport
    | HomeGone
    | KeyBound
    | BindingFailed
    | RequestAbandoned
    | Ticked
)


# Outputs of the entry state machine


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send an attempt to a node, which may be this node."""

    call: Call
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Cancel an attempt at a node."""

    cancel: Cancel
    receiver: NodeId


@dataclass(frozen=True, slots=True)
class QueryHome:
    """Connect to a node, or send a heartbeat, to make it identify itself."""

    receiver: NodeId


@dataclass(frozen=True, slots=True)
class BindingRequest:
    """Bind an idempotency key to a call id through the log.

    Attributes:
        call_id: Call id to bind the key to unless another record came first.
        refused: Call id that its home proved to be never run, so that a
            later record may replace it; empty for a first binding.
        deadline_s: No request waits for the binding after this time.
    """

    request_id: int
    organisation: OrganisationId
    idempotency_key: str
    fingerprint: bytes
    call_id: CallId
    refused: CallId
    deadline_s: float


@dataclass(frozen=True, slots=True)
class RequestCompleted:
    """Reply to the request, which has completed."""

    request_id: int
    reply: Reply


EntryOutput = (
    SendCall | SendCancel | QueryHome | BindingRequest | RequestCompleted
)
