"""What travels between nodes for one attempt of a call, and its reply."""

import msgspec

from rattanstile.request.ids import (
    CallId,
    FailureDomainId,
    KeyDigest,
    NodeId,
    OrganisationId,
    ServiceName,
    VersionNumber,
)
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.request.priority import NOTHING_SHED, Priority

Header = tuple[str, str]


class Call(msgspec.Struct, frozen=True, kw_only=True, tag='call'):
    """One attempt of a call, as the entry node sends it.

    Attributes:
        call_id: Same for every attempt of one call.
        attempt: Rises with the attempts that one entry node sends.
        organisation: Whose key came with the call; empty on open routes.
        key_digest: Checked again before dispatch; empty on open routes.
        remaining_ms: Time left until the deadline when the call was sent.
        tries_left: Retry budget lent to this attempt and its subtree.
        hops: How many calls lie above this one.
        home: The node that alone may run a call that is not idempotent.
        version: Version in force at the entry node.
        shed_draw: Uniform draw in [0, 1) of the whole call tree, inherited
            from the parent; hops with the same pressure then shed the same
            trees. Negative when there is none yet.
        shed_pressure: Largest pressure that the call tree was tested with;
            tells how many calls this one stands for.
    """

    call_id: CallId
    attempt: int
    organisation: OrganisationId
    key_digest: KeyDigest
    service: ServiceName
    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    priority: Priority = Priority.LOOKUP
    idempotent: bool = True
    remaining_ms: int
    tries_left: int = 0
    hops: int = 0
    home: NodeId
    version: VersionNumber = VersionNumber(0)
    shed_draw: float = -1.0
    shed_pressure: float = 0.0


class Reply(msgspec.Struct, frozen=True, kw_only=True, tag='reply'):
    """The end of one attempt.

    Attributes:
        status: HTTP status; the target's own where the target answered.
        retry_after_ms: When trying again helps; 0 where it doesn't.
        tries_unspent: What is left of the attempt's retry budget.
        shed_level: Lowest priority that the serving node now admits.
        in_flight: Calls on the serving node's target, queue included.
        limit: Calls at once that the target now bears; 0 when not told.
        pressure: Shed level with its fraction: 1.4 sheds what lies below
            `Priority.LOOKUP` and 40% of the lookups.
        pressure_ceiling: The pressure of the organisation that is shed most.
        subtree_pressure: The pressure that met the calls this call made.
        subtree_ceiling: The ceiling that belongs to it.
        failed_below: Whether a call that this one made did not end whole;
            the hop next to that failure has retried it already.
    """

    call_id: CallId
    attempt: int
    outcome: Outcome
    reason: Reason | None = None
    status: int = 200
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    retry_after_ms: int = 0
    tries_unspent: int = 0
    shed_level: Priority = NOTHING_SHED
    in_flight: int = 0
    limit: int = 0
    pressure: float = 0.0
    pressure_ceiling: float = 0.0
    subtree_pressure: float = 0.0
    subtree_ceiling: float = 0.0
    failed_below: bool = False


class Cancel(msgspec.Struct, frozen=True, kw_only=True, tag='cancel'):
    """The caller no longer waits for this attempt."""

    call_id: CallId
    attempt: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A node as the other nodes know it.

    Attributes:
        address: IP number and port for frames, such as ``127.0.0.1:9000``.
    """

    node_id: NodeId
    incarnation: int
    service: ServiceName
    failure_domain: FailureDomainId
    address: str
    control_address: str = ''


def refusal(
    call: Call,
    reason: Reason,
    *,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_ms: int = 0,
    shed_level: Priority = NOTHING_SHED,
) -> Reply:
    """Return the reply that refuses an attempt and gives its budget back."""
    return Reply(
        call_id=call.call_id,
        attempt=call.attempt,
        outcome=outcome,
        reason=reason,
        status=reason.status,
        retry_after_ms=retry_after_ms,
        tries_unspent=call.tries_left,
        shed_level=shed_level,
    )
