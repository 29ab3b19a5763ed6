"""Checks of a caller's request that precede any work on it."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from rattanstile.process.entry.contexts import (
    CallContexts,
    CallToken,
    ChildShare,
)
from rattanstile.request.ids import (
    KeyDigest,
    OrganisationId,
    ServiceName,
)
from rattanstile.request.outcome import Reason
from rattanstile.request.priority import Priority
from rattanstile.version.declaration import Route, Service
from rattanstile.version.in_force import VersionInForce
from rattanstile.version.keys import digest_of

MS_PER_S = 1000
NO_SHED_DRAW = -1.0
MAX_DEADLINE_MS = 60_000
NO_ORGANISATION = OrganisationId('')
NO_KEY = KeyDigest('')


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request fields that are checked, independent of the transport.

    Attributes:
        key: API key of the caller; empty if it sent none.
        deadline_ms: Time that the caller allows; 0 if it states none.
        parent: Token of the parent call, for a call made by a target while it
            serves another one; else empty.
    """

    key: str
    service: ServiceName
    method: str
    path: str
    deadline_ms: int
    parent: str


@dataclass(frozen=True, slots=True)
class CheckedRequest:
    """A request that passed the checks, with the attributes of its call.

    Attributes:
        tries: Retry budget of the call tree; for a child call the part that
            its parent lent to it.
        hops: Number of calls above this one in the call tree.
        shed_draw: See `rattanstile.request.envelope.Call`.
        shed_pressure: See `rattanstile.request.envelope.Call`.
        share: Attributes and retry budget taken from the parent call; None
            for a root call.
    """

    organisation: OrganisationId
    key_digest: KeyDigest
    route: Route
    priority: Priority
    remaining_ms: int
    tries: int
    hops: int
    shed_draw: float
    shed_pressure: float = 0.0
    share: ChildShare | None = None

    @property
    def is_charged(self) -> bool:
        """Return whether the call counts against its organisation's rate."""
        return self.share is None and bool(self.organisation)


@dataclass(frozen=True, slots=True)
class Denial:
    """Refusal of a request, of which nothing was run."""

    reason: Reason


class RequestChecker:
    """Identifies the organisation of a request and refuses invalid requests.

    Args:
        in_force: Returns the version in force.
        admits_keyed_calls: Returns, for a monotonic time in seconds, whether
            the version is recent enough to check keys against.
        contexts: Calls that this node's own target is running.
    """

    def __init__(
        self,
        in_force: Callable[[], VersionInForce],
        admits_keyed_calls: Callable[[float], bool],
        contexts: CallContexts,
    ) -> None:
        """Create the checks for a version source and the running calls."""
        self._in_force = in_force
        self._admits_keyed_calls = admits_keyed_calls
        self._contexts = contexts

    def check(
        self, now_s: float, head: RequestHead
    ) -> Result[CheckedRequest, Denial]:
        """Return the checked request, or why it is refused."""
        version = self._in_force()
        if version.number == 0:
            return Err(Denial(Reason.NOT_VERIFIED))
        service = version.service(head.service)
        route = version.route(head.service, head.method, head.path)
        if service is None or route is None:
            return Err(Denial(Reason.NO_SUCH_SERVICE))
        if head.parent:
            return self._check_child(now_s, head, service, route)
        return self._check_root(now_s, head, service, route)

    def _check_root(
        self, now_s: float, head: RequestHead, service: Service, route: Route
    ) -> Result[CheckedRequest, Denial]:
        declaration = self._in_force().declaration
        organisation = NO_ORGANISATION
        digest = NO_KEY
        if not route.open_to_all:
            digest = digest_of(head.key)
            denial = self._deny_key(now_s, digest)
            if denial:
                return Err(denial)
            organisation = (
                self._in_force().organisation_of(digest) or NO_ORGANISATION
            )
        return Ok(
            CheckedRequest(
                organisation=organisation,
                key_digest=digest,
                route=route,
                priority=route.request_kind.priority,
                remaining_ms=_remaining_ms(head, service),
                tries=declaration.retry_budget,
                hops=0,
                shed_draw=NO_SHED_DRAW,
            )
        )

    def _check_child(
        self, now_s: float, head: RequestHead, service: Service, route: Route
    ) -> Result[CheckedRequest, Denial]:
        share_result = self._contexts.child(CallToken(head.parent))
        if share_result.is_err():
            return Err(Denial(Reason.CANCELLED))
        share = share_result.unwrap()
        denial = self._deny_child(now_s, share)
        if denial:
            self.return_unspent(head.parent, share, share.tries, whole=False)
            return Err(denial)
        left_ms = int((share.deadline_s - now_s) * MS_PER_S)
        return Ok(
            CheckedRequest(
                organisation=share.organisation,
                key_digest=share.key_digest,
                route=route,
                priority=max(share.priority, route.request_kind.priority),
                remaining_ms=min(_remaining_ms(head, service), left_ms),
                tries=share.tries,
                hops=share.hops,
                shed_draw=share.shed_draw,
                shed_pressure=share.shed_pressure,
                share=share,
            )
        )

    def return_unspent(
        self, parent: str, share: ChildShare, unspent: int, *, whole: bool
    ) -> None:
        """Return the unspent retry budget of a child call to its parent."""
        self._contexts.child_ended(
            CallToken(parent), share, unspent, whole=whole
        )

    def _deny_child(self, now_s: float, share: ChildShare) -> Denial | None:
        if share.hops > self._in_force().declaration.max_hops:
            return Denial(Reason.HOP_LIMIT)
        if now_s >= share.deadline_s:
            return Denial(Reason.DEADLINE)
        if share.organisation:
            return self._deny_key(now_s, share.key_digest)
        return None

    def _deny_key(self, now_s: float, digest: KeyDigest) -> Denial | None:
        if not self._admits_keyed_calls(now_s):
            return Denial(Reason.NOT_VERIFIED)
        if self._in_force().organisation_of(digest) is None:
            return Denial(Reason.KEY_REFUSED)
        return None


def _remaining_ms(head: RequestHead, service: Service) -> int:
    requested_ms = head.deadline_ms or int(service.timeout_s * MS_PER_S)
    return min(requested_ms, MAX_DEADLINE_MS)
