"""Messages between nodes for one attempt of a call, and its reply."""

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
        call_id: Shared by all attempts of one call.
        attempt: Increases with each attempt that an entry node sends.
        organisation: Owner of the key presented; empty on open routes.
        key_digest: Verified again before dispatch; empty on open routes.
        remaining_ms: Time left until the deadline when the call was sent.
        tries_left: Retry budget lent to this attempt and its subtree.
        hops: Number of calls above this one in the call tree.
        home: The only node that may run a call that is not idempotent.
        version: Configuration version in force at the entry node.
        shed_draw: Uniform draw in [0, 1) of the whole call tree, inherited
            from the parent, so that hops with the same pressure shed the same
            trees. Negative when not drawn yet.
        shed_pressure: Largest pressure that the call tree was tested with;
            determines how many offered calls this admitted one represents.
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
    """Final reply to one attempt.

    Attributes:
        status: HTTP status; that of the target where it answered.
        retry_after_ms: Delay after which a retry may succeed; 0 for none. The
            caller library does not retry an overload refusal with 0.
        tries_unspent: Unspent rest of the attempt's retry budget.
        shed_level: Lowest priority that the serving node now admits.
        in_flight: Calls in flight on the serving node's target and calls in
            its queue.
        limit: Current concurrency limit of the target; 0 when not reported.
        pressure: Shed level with a fraction: 1.4 sheds all calls below
            `Priority.LOOKUP` and 40% of the lookups.
        pressure_ceiling: Pressure of the organisation that is shed most.
        subtree_pressure: Pressure that applied to the calls made by this call.
        subtree_ceiling: Pressure ceiling that belongs to `subtree_pressure`.
        failed_below: Whether a call made by this one got no whole answer;
            the hop next to that failure has already retried it.
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
    """Cancels an attempt that the caller no longer waits for."""

    call_id: CallId
    attempt: int


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """A node in the membership view of the other nodes.

    Attributes:
        address: IP address and port for frames, such as ``127.0.0.1:9000``.
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
    """Return a reply that refuses an attempt and returns its retry budget."""
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
