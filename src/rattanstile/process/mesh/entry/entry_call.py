"""State of one request at its entry node."""

from dataclasses import dataclass, field
from enum import Enum, unique

from rattanstile.connection.peer_link import PeerLink
from rattanstile.process.mesh.admission.root_admission import (
    RequestClass,
    RequestOrigin,
)
from rattanstile.process.mesh.admission.service_needs import RunKind
from rattanstile.process.mesh.placement.run_positions import CallChain
from rattanstile.process.mesh.rollout.call_sample import CallSample
from rattanstile.request.exchange import (
    AnswerSink,
    EndingHandler,
    IncomingRequest,
    NotRun,
    NotRunReason,
    ServedCall,
    Unknown,
    UnknownReason,
)
from rattanstile.request.ids import NodeId, OrganisationId, ServiceName
from rattanstile.version.fleet_config import FleetRoute, Organisation

MS_PER_S = 1000
NO_ORGANISATION = OrganisationId('')
MAX_ROOT_HOLD_SHARE = 0.125
"""Share of its latency objective that a root request may wait for a usable
target."""
MIN_OBJECTIVE_SHARE = 0.25
"""Share of its latency objective that a moved request is sent with at least, as
a late answer is still of use."""
MAX_INNER_HOLD_SHARE = 0.5
"""Share of its time limit that an inner request may wait for a usable target;
part of its call tree has already run."""


@unique
class Phase(Enum):
    """Phase of a request at its entry node.

    A held request waits for a usable target. The answer of a streaming one is
    on its way to the caller, so that no other attempt can follow.
    """

    AWAITING_TOKEN = 'awaiting_token'
    HELD = 'held'
    SENT = 'sent'
    STREAMING = 'streaming'
    ENDED = 'ended'


@dataclass(eq=False, slots=True)
class EntryCall:
    """A request in progress.

    Attributes:
        caller_request: The request as received.
        on_end: Called once with the ending.
        is_inner: Whether a target made the request while it ran another.
        arrived_s: Monotonic time of arrival.
        deadline_s: Monotonic time; the earlier of the caller's deadline and
            the timeout of the route.
        sequence: Number of the current attempt at this node.
        sent_s: Monotonic time at which the current attempt was sent.
        receiver: Node that the current attempt was sent to.
        link: Connection that it was sent on; None for the local target.
        tried: Nodes that are excluded from the next choice.
        attempts: Number of ended attempts that may have run.
        moves: Number of attempts that ended without having run.
        may_have_run: Why the outcome of an earlier attempt is unknown; None
            if no earlier attempt may have run.
        last_refusal: Why the last node did not run the request.
        held_until_s: Monotonic time until which a held request waits.
        is_repeat: Whether its runs count as repeats: it is sent again after it
            has reached a target, or a repeated run has made it.
        is_counted: Whether its first attempt is recorded in the retry budget.
        has_unused_repeat: Whether it has taken a repeat from the retry budget
            and no attempt has reached a target since.
        origin: Calls of the run that has made an inner request, as inferred;
            None for root requests.
        sink: Receives a large answer in parts; None keeps any answer until it
            is complete.
        is_beyond_rate: Whether only tokens that refused requests gave back
            cover it.
        sample: The current attempt, if it is compared by version.
    """

    caller_request: IncomingRequest
    on_end: EndingHandler
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
    link: PeerLink | None = None
    tried: set[NodeId] = field(default_factory=set)
    attempts: int = 0
    moves: int = 0
    may_have_run: UnknownReason | None = None
    last_refusal: NotRunReason = NotRunReason.NO_TARGET
    held_until_s: float = 0.0
    is_repeat: bool = False
    is_counted: bool = False
    has_unused_repeat: bool = False
    origin: CallChain | None = None
    sink: AnswerSink | None = None
    is_beyond_rate: bool = False
    sample: CallSample | None = None

    @property
    def urgency(self) -> int:
        """Return the priority of the root request, as far as it is known."""
        return self.priority if self.origin is None else self.origin.run.urgency

    @property
    def is_unsent(self) -> bool:
        """Return whether no attempt has ended yet."""
        return not (self.attempts or self.moves)

    @property
    def priority(self) -> int:
        """Return the priority; 0 is the most urgent.

        The priority of the organisation takes precedence over the route's.
        """
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    @property
    def caller_deadline_s(self) -> float:
        """Return the monotonic time until which the caller waits.

        The timeout of the route may end before: one attempt of the caller
        ends then, but a later one, or a begun answer, may still succeed.
        """
        stated_s = self.caller_request.deadline_ms / MS_PER_S
        return max(self.deadline_s, self.arrived_s + stated_s)

    @property
    def sender(self) -> RequestOrigin:
        """Return who sends the request, for admission."""
        organisation = self.organisation
        name = organisation.name if organisation else NO_ORGANISATION
        return RequestOrigin(
            name, self.is_beyond_rate, self.route.latency_objective_s
        )

    @property
    def request_class(self) -> RequestClass:
        """Return the class that it is admitted with."""
        return RequestClass(
            self.route.priority, self.run_kind, self.is_beyond_rate
        )

    @property
    def is_passed_on(self) -> bool:
        """Return whether only a full target has refused it, and once."""
        return (
            self.moves == 1
            and not self.attempts
            and self.last_refusal is NotRunReason.QUEUE_FULL
        )

    @property
    def run_kind(self) -> RunKind:
        """Return the route and service that its runs are accounted to."""
        return RunKind(self.route.name, self.service)

    def hold_until_s(self) -> float:
        """Return the monotonic time until which it may wait for a target."""
        if self.is_inner:
            share_s = (self.deadline_s - self.arrived_s) * MAX_INNER_HOLD_SHARE
        else:
            share_s = self.route.latency_objective_s * MAX_ROOT_HOLD_SHARE
        return min(self.arrived_s + share_s, self.deadline_s)

    def served_call(
        self, now_s: float, caller_service: ServiceName
    ) -> ServedCall:
        """Return the message for an attempt that is sent now.

        Args:
            now_s: Monotonic seconds.
            caller_service: Service of the VM where the request came in.
        """
        caller_request = self.caller_request
        organisation = self.organisation
        return ServedCall(
            request_id=caller_request.request_id,
            route=self.route.name,
            service=self.service,
            moves=self.moves,
            inner=self.is_inner,
            idempotent=self.route.idempotent,
            priority=self.priority,
            latency_objective_ms=int(self._objective_left_s(now_s) * MS_PER_S),
            remaining_ms=max(1, int((self.deadline_s - now_s) * MS_PER_S)),
            caller_service=caller_service,
            organisation=organisation.name if organisation else NO_ORGANISATION,
            method=caller_request.method,
            host=caller_request.host,
            path=caller_request.path,
            headers=caller_request.headers,
            body=caller_request.body,
            is_repeat=self.is_repeat,
            urgency=self.urgency,
        )

    def _objective_left_s(self, now_s: float) -> float:
        """Return what is left of the latency objective of a moved request."""
        objective_s = self.route.latency_objective_s
        if not self.moves:
            return objective_s
        left_s = objective_s - (now_s - self.arrived_s)
        return max(left_s, objective_s * MIN_OBJECTIVE_SHARE)

    def refusal(
        self, reason: NotRunReason, retry_after_s: float = 0
    ) -> NotRun | Unknown:
        """Return the ending of a request that is not sent again.

        The outcome is unknown if an earlier attempt may have run.
        """
        if self.may_have_run is not None:
            return Unknown(self.may_have_run)
        return NotRun(reason, retry_after_s)
