"""Grants that let callers issue call ids for a home before the first attempt.

The home is the only node that may run the calls that carry these ids.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from rattanstile.connection.frames import IdGrant
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.homes import MAX_HOME_REPORT_AGE_S
from rattanstile.process.messages import HomeReport, QueryHome
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import (
    NodeId,
    ServiceName,
)

HOME_QUERY_TIMEOUT_S = 1.0
NO_HOME = NodeId('')

GrantCallback = Callable[[IdGrant], None]


@dataclass(slots=True)
class _PendingGrant:
    """A caller's request that waits for a report from a home."""

    service: ServiceName
    on_grant: GrantCallback


class HomeGrants:
    """Chooses homes for callers and grants call ids under them.

    A grant holds the home's incarnation and id epoch, which the ids carry.

    Args:
        query_home: Requests a home's incarnation and id epoch, which arrive
            through `home_seen`.
    """

    def __init__(
        self,
        chooser: Chooser,
        timers: TimerService,
        rng: Random,
        query_home: Callable[[QueryHome], None],
    ) -> None:
        """Start without a report from any home."""
        self._chooser = chooser
        self._timers = timers
        self._rng = rng
        self._query_home = query_home
        self._reports: dict[NodeId, tuple[float, HomeReport]] = {}
        self._pending: dict[NodeId, list[_PendingGrant]] = {}

    def grant(
        self,
        service: ServiceName,
        on_grant: GrantCallback,
        avoided: NodeId = NO_HOME,
    ) -> None:
        """Choose a home and pass the grant to `on_grant`.

        The grant names no home if none is available or the home does not
        report within `HOME_QUERY_TIMEOUT_S`.

        Args:
            service: The service that the caller is going to call.
            on_grant: Receives the grant, before this method returns if it
                needs no new report from the home.
            avoided: A home that left a call of the caller unanswered; it is not
                chosen.
        """
        now_s = self._timers.now_s()
        excluded = frozenset((avoided,))
        home = self._chooser.choose(now_s, service, excluded, self._rng)
        if home is None:
            on_grant(IdGrant(service=service, home=NodeId('')))
            return
        reported_s, report = self._reports.get(home, (0.0, None))
        if report is not None and now_s - reported_s < MAX_HOME_REPORT_AGE_S:
            on_grant(self._grant_from(service, report))
            return
        pending_grant = _PendingGrant(service, on_grant)
        self._pending.setdefault(home, []).append(pending_grant)
        self._timers.after(
            HOME_QUERY_TIMEOUT_S, lambda _: self._time_out(home, pending_grant)
        )
        self._query_home(QueryHome(home))

    def home_seen(self, report: HomeReport) -> None:
        """Record a home's report and send the grants that wait for it."""
        self._reports[report.node_id] = (self._timers.now_s(), report)
        for pending_grant in self._pending.pop(report.node_id, []):
            pending_grant.on_grant(
                self._grant_from(pending_grant.service, report)
            )

    def _grant_from(self, service: ServiceName, report: HomeReport) -> IdGrant:
        return IdGrant(
            service=service,
            home=report.node_id,
            incarnation=report.incarnation,
            id_epoch=report.id_epoch,
        )

    def _time_out(self, home: NodeId, pending_grant: _PendingGrant) -> None:
        pending = self._pending.get(home, [])
        if pending_grant in pending:
            pending.remove(pending_grant)
            pending_grant.on_grant(
                IdGrant(service=pending_grant.service, home=NodeId(''))
            )
