"""The checks that a caller's request passes before any work is spent on it."""

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
UNDRAWN = -1.0
LONGEST_DEADLINE_MS = 60_000
NO_ORGANISATION = OrganisationId('')
NO_KEY = KeyDigest('')


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What a caller's request says, whatever brought it.

    Attributes:
        key: The key presented; empty when there is none.
        deadline_ms: Time that the caller allows; 0 when it states none.
        parent: Token of the call that a target is serving, else empty.
    """

    key: str
    service: ServiceName
    method: str
    path: str
    deadline_ms: int
    parent: str


@dataclass(frozen=True, slots=True)
class Passed:
    """A request that may go on, and for whom it runs.

    Attributes:
        tries: Retry budget of the call tree, or of the share lent to it.
        hops: Calls above this one.
        shed_draw: See `rattanstile.request.envelope.Call`.
        shed_pressure: See there too.
        share: What the parent lent; None for a root call.
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
        """Tell whether the call counts against a rate."""
        return self.share is None and bool(self.organisation)


@dataclass(frozen=True, slots=True)
class Denied:
    """A request that goes no further; nothing of it was run."""

    reason: Reason


class RequestChecker:
    """Finds out for whom a request runs, and refuses what may not run.

    Args:
        in_force: Gives the version in force.
        admits_keyed_calls: Tells, for a time, whether the version is known
            to be fresh enough to check keys against.
        contexts: The calls that the own target runs now.
    """

    def __init__(
        self,
        in_force: Callable[[], VersionInForce],
        admits_keyed_calls: Callable[[float], bool],
        contexts: CallContexts,
    ) -> None:
        """Keep what the checks are made against."""
        self._in_force = in_force
        self._admits_keyed_calls = admits_keyed_calls
        self._contexts = contexts

    def check(self, now_s: float, asked: RequestHead) -> Result[Passed, Denied]:
        """Return for whom the request runs, or why it doesn't."""
        version = self._in_force()
        if version.number == 0:
            return Err(Denied(Reason.NOT_VERIFIED))
        service = version.service(asked.service)
        route = version.route(asked.service, asked.method, asked.path)
        if service is None or route is None:
            return Err(Denied(Reason.NO_SUCH_SERVICE))
        if asked.parent:
            return self._check_child(now_s, asked, service, route)
        return self._check_root(now_s, asked, service, route)

    def _check_root(
        self, now_s: float, asked: RequestHead, service: Service, route: Route
    ) -> Result[Passed, Denied]:
        declaration = self._in_force().declaration
        organisation = NO_ORGANISATION
        digest = NO_KEY
        if not route.open_to_all:
            digest = digest_of(asked.key)
            denied = self._deny_key(now_s, digest)
            if denied:
                return Err(denied)
            organisation = (
                self._in_force().organisation_of(digest) or NO_ORGANISATION
            )
        return Ok(
            Passed(
                organisation=organisation,
                key_digest=digest,
                route=route,
                priority=route.request_kind.priority,
                remaining_ms=_remaining_ms(asked, service),
                tries=declaration.retry_budget,
                hops=0,
                shed_draw=UNDRAWN,
            )
        )

    def _check_child(
        self, now_s: float, asked: RequestHead, service: Service, route: Route
    ) -> Result[Passed, Denied]:
        lent = self._contexts.child(CallToken(asked.parent))
        if lent.is_err():
            return Err(Denied(Reason.CANCELLED))
        share = lent.unwrap()
        denied = self._deny_child(now_s, share)
        if denied:
            self.give_back(asked.parent, share, share.tries, whole=False)
            return Err(denied)
        left_ms = int((share.deadline_s - now_s) * MS_PER_S)
        return Ok(
            Passed(
                organisation=share.organisation,
                key_digest=share.key_digest,
                route=route,
                priority=max(share.priority, route.request_kind.priority),
                remaining_ms=min(_remaining_ms(asked, service), left_ms),
                tries=share.tries,
                hops=share.hops,
                shed_draw=share.shed_draw,
                shed_pressure=share.shed_pressure,
                share=share,
            )
        )

    def give_back(
        self, parent: str, share: ChildShare, unspent: int, *, whole: bool
    ) -> None:
        """Return to the parent what its child did not spend."""
        self._contexts.child_ended(
            CallToken(parent), share, unspent, whole=whole
        )

    def _deny_child(self, now_s: float, share: ChildShare) -> Denied | None:
        if share.hops > self._in_force().declaration.max_hops:
            return Denied(Reason.HOP_LIMIT)
        if now_s >= share.deadline_s:
            return Denied(Reason.DEADLINE)
        if share.organisation:
            return self._deny_key(now_s, share.key_digest)
        return None

    def _deny_key(self, now_s: float, digest: KeyDigest) -> Denied | None:
        if not self._admits_keyed_calls(now_s):
            return Denied(Reason.NOT_VERIFIED)
        if self._in_force().organisation_of(digest) is None:
            return Denied(Reason.KEY_REFUSED)
        return None


def _remaining_ms(asked: RequestHead, service: Service) -> int:
    wanted_ms = asked.deadline_ms or int(service.timeout_s * MS_PER_S)
    return min(wanted_ms, LONGEST_DEADLINE_MS)
