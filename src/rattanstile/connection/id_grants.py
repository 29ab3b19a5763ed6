"""Call ids that the caller library issues by an entry node's grant."""

from dataclasses import dataclass, field

from rattanstile.connection.frames import IdGrant
from rattanstile.request.call_id import CallIdIssuer
from rattanstile.request.ids import CallId, Incarnation, NodeId, ServiceName

GRANT_TERM_S = 10.0
GRANT_CALLS = 16
GRANT_DOUBT_S = 0.5


@dataclass(slots=True)
class _Grant:
    """A grant and how much of it is left."""

    granted: IdGrant
    expires_s: float
    calls_left: int = GRANT_CALLS
    unanswered: dict[CallId, float] = field(default_factory=dict)

    def is_in_doubt(self, now_s: float) -> bool:
        """Tell whether the home leaves a call without an answer."""
        oldest_s = next(iter(self.unanswered.values()), now_s)
        return now_s - oldest_s > GRANT_DOUBT_S


class IdGrants:
    """Holds the grants in force and issues ids under them.

    A grant serves few calls and a short time, so that calls spread over the
    homes and an id is young when it is first sent. It ends early when its
    home leaves a call without an answer, so that few calls wait for a home
    that is paused or gone.

    Args:
        issuer: Issues each id once.
    """

    def __init__(self, issuer: CallIdIssuer) -> None:
        """Begin without grants."""
        self._issuer = issuer
        self._grants: dict[ServiceName, _Grant] = {}

    def add(self, now_s: float, granted: IdGrant) -> None:
        """Take a grant."""
        self._grants[granted.service] = _Grant(granted, now_s + GRANT_TERM_S)

    def issue(self, now_s: float, service: ServiceName) -> CallId | None:
        """Return a new call id, or None when a grant must be asked for."""
        grant = self._grants.get(service)
        if grant is None or not _is_good(grant, now_s):
            return None
        grant.calls_left -= 1
        granted = grant.granted
        call_id = self._issuer.issue(
            granted.home, Incarnation(granted.incarnation), granted.id_epoch
        ).render()
        grant.unanswered[call_id] = now_s
        return call_id

    def suspected_home(self, now_s: float, service: ServiceName) -> NodeId:
        """Return the home that leaves a call unanswered, or an empty name."""
        grant = self._grants.get(service)
        if grant is None or not grant.is_in_doubt(now_s):
            return NodeId('')
        return grant.granted.home

    def answered(self, service: ServiceName, call_id: CallId) -> None:
        """Learn that a call has ended with its home's reply."""
        grant = self._grants.get(service)
        if grant is not None:
            grant.unanswered.pop(call_id, None)

    def drop(self, service: ServiceName) -> None:
        """Forget a grant, such as one whose home has refused a call."""
        self._grants.pop(service, None)


def _is_good(grant: _Grant, now_s: float) -> bool:
    return (
        grant.calls_left > 0
        and now_s < grant.expires_s
        and not grant.is_in_doubt(now_s)
    )
