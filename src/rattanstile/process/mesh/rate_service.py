"""Exchanges demand, rate shares and tokens with the other nodes."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanstile.connection.peer_messages import (
    DemandReport,
    RateSharesResponse,
    TokenRequest,
    TokenResponse,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.rate_allocator import RateAllocator
from rattanstile.process.mesh.rate_limiter import (
    LocalRateLimiter,
    PoolDecision,
    RatePool,
)
from rattanstile.process.mesh.root_admission import RootAdmission
from rattanstile.request.ids import NodeId, OrganisationId
from rattanstile.version.fleet_config import Organisation

TOKEN_TIMEOUT_S = 0.1
"""Many times the round trip to another failure domain."""
SUSPECT_S = 2.0
"""How long a node that let a token request time out isn't chosen as the
allocator."""

MIN_CONNECTED_S = 1.0
"""A restarted node isn't chosen as the allocator before all others have
connected to it."""
LINK_WAIT_S = 0.15
"""Links that were reset are open again within this time."""

TokenHandler = Callable[[PoolDecision], None]


@dataclass(eq=False, slots=True)
class _TokenRequest:
    """A request that waits for a token of the pool.

    Attributes:
        on_answer: Called once with the decision of the pool.
        allocator: Node that was asked for the token.
        is_last_attempt: Whether a timeout refuses the token; set for a request
            that is retried or forwarded.
        link_deadline_s: Until when it may wait for a link.
        sent_s: When it was last sent.
    """

    organisation: Organisation
    on_answer: TokenHandler
    allocator: NodeId
    is_last_attempt: bool
    link_deadline_s: float
    sent_s: float = 0.0


class RateService:
    """Reports demand, receives rate shares, and requests tokens of the pool.

    The allocator, named `sharer` in the log, is the connected node that
    allocates the shares of the rates and keeps the pool.

    Args:
        context: Shared components of the node.
        peers: Links to the other nodes.
        admission: Provides the demand of root requests, and receives the
            demand of the fleet.
    """

    def __init__(
        self,
        context: NodeContext,
        peers: PeerPool,
        admission: RootAdmission,
    ) -> None:
        """Start without shares."""
        self.limiter = LocalRateLimiter()
        self.fleet_size = 1
        self._node_id = context.node_id
        self._state = context.state
        self._peers = peers
        self._timers = context.timers
        self._started_s = context.timers.now_s()
        self._log = context.log
        self._admission = admission
        self._allocator = RateAllocator()
        self._allocator_id = context.node_id
        self._suspected_until_s: dict[NodeId, float] = {}
        self._pool = RatePool()
        self._sequence = 0
        self._in_flight: dict[int, _TokenRequest] = {}
        self._waiting: list[_TokenRequest] = []

    def config_changed(self) -> None:
        """Start to collect tokens for new organisations."""
        self.limiter.add_organisations(
            self._timers.now_s(), self._organisations().values()
        )

    def report(self, now_s: float) -> None:
        """Report demand to the allocator."""
        self.fleet_size = self._peers.fleet_size()
        self.limiter.set_node_count(self.fleet_size)
        demand = self.limiter.demand(now_s)
        calls = self._admission.own_demand()
        self._choose_allocator(now_s)
        if self._allocator_id == self._node_id:
            self._allocator.record_report(now_s, self._node_id, demand, calls)
            self._allocate(now_s)
            return
        self._pool.stop()
        link = self._peers.link_to(self._allocator_id)
        if link is not None:
            self._sequence += 1
            link.send(DemandReport(self._sequence, demand, calls))

    def request_token(
        self, organisation: Organisation, on_answer: TokenHandler
    ) -> None:
        """Request a token of the pool; `on_answer` is called once, soon."""
        link_deadline_s = self._timers.now_s() + LINK_WAIT_S
        self._send_request(
            _TokenRequest(
                organisation,
                on_answer,
                self._allocator_id,
                is_last_attempt=False,
                link_deadline_s=link_deadline_s,
            )
        )

    def peer_lost(self, node_id: NodeId) -> None:
        """Report to the next allocator when the current one is lost."""
        if node_id == self._allocator_id:
            self.report(self._timers.now_s())

    def check(self, now_s: float) -> None:
        """Retry the token requests that wait for a link."""
        waiting = self._waiting
        self._waiting = []
        for request in waiting:
            self._send_request(request)

    def message(
        self,
        link: PeerLink,
        message: DemandReport
        | RateSharesResponse
        | TokenRequest
        | TokenResponse,
    ) -> None:
        """Handle a message from another node."""
        now_s = self._timers.now_s()
        match message:
            case DemandReport():
                self._answer_report(now_s, link, message)
            case RateSharesResponse(organisation_shares=shares):
                self.limiter.set_shares(now_s, shares)
                self._admission.set_fleet_demand(
                    message.calls_per_s, message.nodes
                )
            case TokenRequest():
                self._answer_request(now_s, link, message)
            case TokenResponse(sequence, is_granted, wait_ms):
                request = self._in_flight.pop(sequence, None)
                if request is not None:
                    self._complete(
                        request, PoolDecision(is_granted, wait_ms / 1000)
                    )

    def _send_request(self, request: _TokenRequest) -> None:
        now_s = self._timers.now_s()
        link = self._peers.link_to(self._allocator_id)
        if link is None:
            self._choose_allocator(now_s)
            link = self._peers.link_to(self._allocator_id)
        request.allocator = self._allocator_id
        request.sent_s = now_s
        if link is None:
            self._take_from_own_pool(now_s, request)
            return
        self._sequence += 1
        sequence = self._sequence
        self._in_flight[sequence] = request
        self._timers.after(TOKEN_TIMEOUT_S, lambda _: self._timed_out(sequence))
        link.send(TokenRequest(sequence, request.organisation.name))

    def _take_from_own_pool(self, now_s: float, request: _TokenRequest) -> None:
        """Take a token of the own pool, unless links may reopen soon."""
        is_alone = self.fleet_size > 1 and not self._peers.connected()
        if is_alone and now_s < request.link_deadline_s:
            self._waiting.append(request)
            return
        self._complete(request, self._take_token(now_s, request.organisation))

    def _take_token(
        self, now_s: float, organisation: Organisation
    ) -> PoolDecision:
        if not self._pool.is_open:
            self.report(now_s)
        return self._pool.take(now_s, organisation)

    def _choose_allocator(self, now_s: float) -> None:
        """Choose the smallest id of the nodes connected to all other nodes."""
        for node_id, until_s in tuple(self._suspected_until_s.items()):
            if until_s <= now_s:
                self._suspected_until_s.pop(node_id)
        connected_before_s = now_s - MIN_CONNECTED_S
        candidates = set(self._peers.connected_since(connected_before_s))
        if self._started_s <= connected_before_s:
            candidates.add(self._node_id)
        if not candidates:
            candidates = {member.node_id for member in self._peers.connected()}
            candidates.add(self._node_id)
        candidates -= self._suspected_until_s.keys()
        self._allocator_id = min(candidates, default=self._node_id)

    def _organisations(self) -> dict[OrganisationId, Organisation]:
        config = self._state().config
        if config is None:
            return {}
        return {
            organisation.name: organisation
            for organisation in config.organisations.values()
        }

    def _allocate(self, now_s: float) -> None:
        organisations = self._organisations()
        self._allocator.allocate(now_s, self.fleet_size, organisations)
        self.limiter.set_shares(now_s, self._allocator.shares_of(self._node_id))
        self._fill_pool(now_s)
        self._admission.set_fleet_demand(
            self._allocator.calls_per_s(), self.fleet_size
        )

    def _fill_pool(self, now_s: float) -> None:
        self._pool.refill(
            now_s,
            self._organisations().values(),
            self._allocator.reachable_share(now_s, self.fleet_size),
            self._allocator.held_shares,
        )

    def _answer_report(
        self, now_s: float, link: PeerLink, message: DemandReport
    ) -> None:
        self._allocator.record_report(
            now_s, link.node_id, message.demand_per_s, message.calls_per_s
        )
        if self._allocator_id == self._node_id:
            self._fill_pool(now_s)
        shares = self._allocator.shares_of(link.node_id)
        calls = self._allocator.calls_per_s()
        link.send(
            RateSharesResponse(message.sequence, shares, calls, self.fleet_size)
        )

    def _answer_request(
        self, now_s: float, link: PeerLink, message: TokenRequest
    ) -> None:
        organisation = self._organisations().get(message.organisation)
        if organisation is None:
            link.send(TokenResponse(message.sequence, False, 0))
            return
        if self._allocator_id != self._node_id:
            self._forward(now_s, link, message.sequence, organisation)
            return
        taken = self._take_token(now_s, organisation)
        link.send(
            TokenResponse(
                message.sequence, taken.is_granted, int(taken.wait_s * 1000)
            )
        )

    def _forward(
        self,
        now_s: float,
        link: PeerLink,
        sequence: int,
        organisation: Organisation,
    ) -> None:
        """Forward the request of a node that can't reach the allocator."""

        def on_answer(taken: PoolDecision) -> None:
            link.send(
                TokenResponse(
                    sequence, taken.is_granted, int(taken.wait_s * 1000)
                )
            )

        self._send_request(
            _TokenRequest(
                organisation,
                on_answer,
                self._allocator_id,
                is_last_attempt=True,
                link_deadline_s=now_s,
            )
        )

    def _timed_out(self, sequence: int) -> None:
        request = self._in_flight.pop(sequence, None)
        if request is None:
            return
        now_s = self._timers.now_s()
        if (
            now_s - request.sent_s > 2 * TOKEN_TIMEOUT_S
            and not request.is_last_attempt
        ):
            # This process was paused; the answer may still be unread.
            request.is_last_attempt = True
            self._send_request(request)
            return
        self._suspected_until_s[request.allocator] = now_s + SUSPECT_S
        self._choose_allocator(now_s)
        self._log.write(
            LineKind.RATE,
            'rate_sharer_doubted',
            sharer=request.allocator,
            waited_s=TOKEN_TIMEOUT_S,
            next=self._allocator_id,
        )
        if request.is_last_attempt:
            self._complete(
                request,
                PoolDecision(is_granted=False, wait_s=TOKEN_TIMEOUT_S),
            )
        else:
            request.is_last_attempt = True
            self._send_request(request)

    def _complete(self, request: _TokenRequest, taken: PoolDecision) -> None:
        if not taken.is_granted:
            self.limiter.record_empty_pool(
                self._timers.now_s(), request.organisation, taken.wait_s
            )
        elif taken.wait_s:
            granted = PoolDecision(is_granted=True)
            self._timers.after(
                taken.wait_s, lambda _: request.on_answer(granted)
            )
            return
        request.on_answer(taken)
