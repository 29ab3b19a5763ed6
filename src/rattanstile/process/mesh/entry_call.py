"""One request at the node where it came in."""

from dataclasses import dataclass, field
from enum import Enum, unique

from rattanstile.process.mesh.service_needs import RunKind
from rattanstile.request.exchange import (
    CallerAsked,
    EndingHandler,
    NotRun,
    NotRunReason,
    ServedCall,
    Unknown,
    UnknownReason,
)
from rattanstile.request.ids import NodeId, OrganisationId, ServiceName
from rattanstile.version.fleet_config import FleetRoute, Organisation

MS_PER_S = 1000
NO_ONE = OrganisationId('')
ROOT_HOLD_SHARE = 0.125
"""Part of its aim that a root request may wait for a target to be fit."""
INNER_HOLD_SHARE = 0.5
"""Part of its time that an inner one may; its tree has run in part."""


@unique
class Phase(Enum):
    """Where a request stands."""

    ASKING = 'asking'
    HELD = 'held'
    SENT = 'sent'
    ENDED = 'over'


@dataclass(eq=False, slots=True)
class EntryCall:
    """A request between its arrival and its end.

    Attributes:
        ended: Told how it ended, once.
        deadline_s: The earlier of the caller's and the route's.
        receiver: Where the present attempt is.
        tried: Nodes that could not take it.
        attempts: Sends that may have run.
        may_have_run: Whether an earlier send may have run.
        last_refusal: Why the last node did not take it.
    """

    asked: CallerAsked
    ended: EndingHandler
    route: FleetRoute
    service: ServiceName
    organisation: Organisation | None
    is_inner: bool
    arrived_s: float
    deadline_s: float
    phase: Phase = Phase.HELD
    sequence: int = 0
    sent_s: float = 0.0
    receiver: NodeId = NodeId('')
    tried: set[NodeId] = field(default_factory=set)
    attempts: int = 0
    moves: int = 0
    may_have_run: UnknownReason | None = None
    last_refusal: NotRunReason = NotRunReason.NO_TARGET
    held_until_s: float = 0.0

    @property
    def priority(self) -> int:
        """Return the rank; 0 is the most urgent."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def run_kind(self) -> RunKind:
        """Return what its runs are counted as."""
        return RunKind(self.route.name, self.service)

    def hold_until_s(self) -> float:
        """Return until when the request may wait for a fit target."""
        if self.is_inner:
            share_s = (self.deadline_s - self.arrived_s) * INNER_HOLD_SHARE
        else:
            share_s = self.route.aim_s * ROOT_HOLD_SHARE
        return min(self.arrived_s + share_s, self.deadline_s)

    def served_call(self, now_s: float, own: ServiceName) -> ServedCall:
        """Return the attempt that is sent now.

        Args:
            now_s: Monotonic seconds.
            own: Service of the VM where the request began.
        """
        asked = self.asked
        organisation = self.organisation
        return ServedCall(
            request_id=asked.request_id,
            route=self.route.name,
            service=self.service,
            moves=self.moves,
            inner=self.is_inner,
            idempotent=self.route.idempotent,
            priority=self.priority,
            aim_ms=int(self.route.aim_s * MS_PER_S),
            remaining_ms=max(1, int((self.deadline_s - now_s) * MS_PER_S)),
            caller_service=own,
            organisation=organisation.name if organisation else NO_ONE,
            method=asked.method,
            host=asked.host,
            path=asked.path,
            headers=asked.headers,
            body=asked.body,
        )

    def refusal(
        self, reason: NotRunReason, retry_after_s: float = 0
    ) -> NotRun | Unknown:
        """Return the end of a request that is not sent on."""
        if self.may_have_run is not None:
            return Unknown(self.may_have_run)
        return NotRun(reason, retry_after_s)
