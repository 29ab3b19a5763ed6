"""Call ids that the caller library issues by an entry node's grant."""

from dataclasses import dataclass

from rattanstile.connection.frames import IdsGranted
from rattanstile.request.call_id import CallIdIssuer
from rattanstile.request.ids import CallId, Incarnation, ServiceName

GRANT_TERM_S = 10.0
GRANT_CALLS = 16


@dataclass(slots=True)
class _Grant:
    """A grant and how much of it is left."""

    granted: IdsGranted
    expires_s: float
    calls_left: int


class IdGrants:
    """Holds the grants in force and issues ids under them.

    A grant serves few calls and a short time, so that calls spread over the
    homes and an id is young when it is first sent.

    Args:
        issuer: Issues each id once.
    """

    def __init__(self, issuer: CallIdIssuer) -> None:
        """Begin without grants."""
        self._issuer = issuer
        self._grants: dict[ServiceName, _Grant] = {}

    def add(self, now_s: float, granted: IdsGranted) -> None:
        """Take a grant."""
        self._grants[granted.service] = _Grant(
            granted, now_s + GRANT_TERM_S, GRANT_CALLS
        )

    def issue(self, now_s: float, service: ServiceName) -> CallId | None:
        """Return a new call id, or None when a grant must be asked for."""
        grant = self._grants.get(service)
        if grant is None or now_s >= grant.expires_s or not grant.calls_left:
            return None
        grant.calls_left -= 1
        granted = grant.granted
        return self._issuer.issue(
            granted.home, Incarnation(granted.incarnation), granted.id_epoch
        ).render()

    def drop(self, service: ServiceName) -> None:
        """Forget a grant, such as one whose home has refused a call."""
        self._grants.pop(service, None)
