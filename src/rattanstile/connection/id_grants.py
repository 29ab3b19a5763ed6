"""Call ids that the caller library issues under an entry node's grant."""

from dataclasses import dataclass, field

from rattanstile.connection.frames import IdGrant
from rattanstile.request.call_id import CallIdIssuer
from rattanstile.request.ids import CallId, Incarnation, NodeId, ServiceName

GRANT_TERM_S = 10.0
MAX_GRANT_CALLS = 16
MAX_UNANSWERED_S = 0.5


@dataclass(slots=True)
class _Grant:
    """A grant and its remaining use.

    Attributes:
        message: Grant as the entry node sent it.
        expires_s: End of the term, in monotonic seconds.
        unanswered: Issue time of each call id without a reply, in monotonic
            seconds, oldest first.
    """

    message: IdGrant
    expires_s: float
    calls_left: int = MAX_GRANT_CALLS
    unanswered: dict[CallId, float] = field(default_factory=dict)

    def is_home_suspected(self, now_s: float) -> bool:
        """Return whether a call waits too long for the home's reply."""
        oldest_issue_s = next(iter(self.unanswered.values()), now_s)
        return now_s - oldest_issue_s > MAX_UNANSWERED_S


class IdGrants:
    """Keeps the grants in force and issues call ids under them.

    A grant covers few calls and a short time, so that calls spread over the
    home nodes and an id is recent when it is first sent. It ends early when
    its home leaves a call unanswered, so that few calls wait for a home that
    is paused or has failed.

    Args:
        issuer: Issues unique ids.
    """

    def __init__(self, issuer: CallIdIssuer) -> None:
        """Initialize without grants."""
        self._issuer = issuer
        self._grants: dict[ServiceName, _Grant] = {}

    def add(self, now_s: float, message: IdGrant) -> None:
        """Store a grant; it replaces an earlier one for the service."""
        self._grants[message.service] = _Grant(message, now_s + GRANT_TERM_S)

    def issue(self, now_s: float, service: ServiceName) -> CallId | None:
        """Return a new call id, or None if a new grant must be requested."""
        grant = self._grants.get(service)
        if grant is None or not _is_usable(grant, now_s):
            return None
        grant.calls_left -= 1
        message = grant.message
        call_id = self._issuer.issue(
            message.home, Incarnation(message.incarnation), message.id_epoch
        ).render()
        grant.unanswered[call_id] = now_s
        return call_id

    def suspected_home(self, now_s: float, service: ServiceName) -> NodeId:
        """Return the home that leaves a call unanswered, or an empty id."""
        grant = self._grants.get(service)
        if grant is None or not grant.is_home_suspected(now_s):
            return NodeId('')
        return grant.message.home

    def answered(self, service: ServiceName, call_id: CallId) -> None:
        """Record that a call has ended with its home's reply."""
        grant = self._grants.get(service)
        if grant is not None:
            grant.unanswered.pop(call_id, None)

    def drop(self, service: ServiceName) -> None:
        """Discard a grant, such as one whose home has refused a call."""
        self._grants.pop(service, None)


def _is_usable(grant: _Grant, now_s: float) -> bool:
    return (
        grant.calls_left > 0
        and now_s < grant.expires_s
        and not grant.is_home_suspected(now_s)
    )
