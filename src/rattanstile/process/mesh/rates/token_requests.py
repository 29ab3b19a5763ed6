"""Requests for single tokens of the pool, wherever it is kept.

The load pattern: most organisations ask a node for a call only now and then,
so that no share of their rate fits the node. Each such call takes a token: from
the pool, by way of the delegate of the failure domain. The allocator may be
lost, paused or unreachable for this node; the next one is asked once.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from rattanstile.connection.peer_link import PeerLink
from rattanstile.connection.peer_messages import TokenRequest, TokenResponse
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.fleet.delegates import Delegates
from rattanstile.process.mesh.rates.rate_limiter import (
    LocalRateLimiter,
    PoolDecision,
)
from rattanstile.request.ids import NodeId, OrganisationId
from rattanstile.version.fleet_config import Organisation

TOKEN_TIMEOUT_S = 0.1
"""Many times the round trip to another failure domain."""
RELAYED_TOKEN_TIMEOUT_S = 0.25
"""Longer than a delegate takes to ask two nodes one after the other."""
LINK_WAIT_S = 0.15
"""Links that were reset are open again within this time."""
MS_PER_S = 1000

TokenHandler = Callable[[PoolDecision], None]


class PoolKeeper(Protocol):
    """The part of a node that keeps the pool while it is the allocator."""

    fleet_size: int
    delegates: Delegates

    def take_token(
        self, now_s: float, organisation: Organisation
    ) -> PoolDecision:
        """Take a token of the pool that this node keeps."""

    def choose(self, now_s: float) -> None:
        """Choose the node to report to."""

    def organisations(self) -> Mapping[OrganisationId, Organisation]:
        """Return all organisations by name."""


@dataclass(eq=False, slots=True)
class _TokenRequest:
    """A request that waits for a token of the pool.

    Attributes:
        on_answer: Called once with the decision of the pool.
        receiver: Node that was asked for the token.
        is_last_attempt: Whether a timeout refuses the token; set for a request
            that is sent again.
        link_deadline_s: Until when it may wait for a link.
        sent_s: When it was last sent.
    """

    organisation: Organisation
    on_answer: TokenHandler
    receiver: NodeId
    is_last_attempt: bool
    link_deadline_s: float
    sent_s: float = 0.0


class TokenRequests:
    """Requests of this node, and those that it forwards for others.

    Args:
        context: Shared components of the node.
        peers: Links to the other nodes.
        limiter: Learns for how long the pool is empty.
        keeper: Keeps the pool while this node is the allocator.
    """

    def __init__(
        self,
        context: NodeContext,
        peers: PeerPool,
        limiter: LocalRateLimiter,
        keeper: PoolKeeper,
    ) -> None:
        """Start without requests."""
        self._timers = context.timers
        self._log = context.log
        self._peers = peers
        self._limiter = limiter
        self._keeper = keeper
        self._sequence = 0
        self._in_flight: dict[int, _TokenRequest] = {}
        self._waiting: list[_TokenRequest] = []

    def request(
        self, organisation: Organisation, on_answer: TokenHandler
    ) -> None:
        """Request a token of the pool; `on_answer` is called once, soon."""
        link_deadline_s = self._timers.now_s() + LINK_WAIT_S
        self._send_request(
            _TokenRequest(
                organisation,
                on_answer,
                self._keeper.delegates.upstream_id,
                is_last_attempt=False,
                link_deadline_s=link_deadline_s,
            )
        )

    def check(self, now_s: float) -> None:
        """Retry the token requests that wait for a link."""
        waiting = self._waiting
        self._waiting = []
        for request in waiting:
            self._send_request(request)

    def message(
        self,
        now_s: float,
        link: PeerLink,
        message: TokenRequest | TokenResponse,
    ) -> None:
        """Handle a message from another node."""
        match message:
            case TokenRequest():
                self._answer_request(now_s, link, message)
            case TokenResponse(sequence, is_granted, wait_ms):
                request = self._in_flight.pop(sequence, None)
                if request is not None:
                    wait_s = wait_ms / MS_PER_S
                    self._complete(request, PoolDecision(is_granted, wait_s))

    def _send_request(self, request: _TokenRequest) -> None:
        now_s = self._timers.now_s()
        link = self._peers.link_to(self._keeper.delegates.upstream_id)
        if link is None:
            self._keeper.choose(now_s)
            link = self._peers.link_to(self._keeper.delegates.upstream_id)
        request.receiver = self._keeper.delegates.upstream_id
        request.sent_s = now_s
        if link is None:
            self._take_from_own_pool(now_s, request)
            return
        self._sequence += 1
        sequence = self._sequence
        self._in_flight[sequence] = request
        self._timers.after(
            self._token_timeout_s(), lambda _: self._timed_out(sequence)
        )
        link.send(TokenRequest(sequence, request.organisation.name))

    def _take_from_own_pool(self, now_s: float, request: _TokenRequest) -> None:
        """Take a token of the own pool, unless links may reopen soon."""
        is_alone = self._keeper.fleet_size > 1 and not self._peers.connected()
        if is_alone and now_s < request.link_deadline_s:
            self._waiting.append(request)
            return
        self._complete(
            request, self._keeper.take_token(now_s, request.organisation)
        )

    def _token_timeout_s(self) -> float:
        """Return how long an answer may take; a delegate may ask another."""
        if self._keeper.delegates.is_delegate:
            return TOKEN_TIMEOUT_S
        return RELAYED_TOKEN_TIMEOUT_S

    def _answer_request(
        self, now_s: float, link: PeerLink, message: TokenRequest
    ) -> None:
        organisation = self._keeper.organisations().get(message.organisation)
        if organisation is None:
            link.send(TokenResponse(message.sequence, False, 0))
            return
        if not self._keeper.delegates.is_allocator:
            self._forward(now_s, link, message.sequence, organisation)
            return
        taken = self._keeper.take_token(now_s, organisation)
        link.send(
            TokenResponse(
                message.sequence, taken.is_granted, int(taken.wait_s * MS_PER_S)
            )
        )

    def _forward(
        self,
        now_s: float,
        link: PeerLink,
        sequence: int,
        organisation: Organisation,
    ) -> None:
        """Forward the request of a node of this domain, or of a delegate."""

        def on_answer(taken: PoolDecision) -> None:
            link.send(
                TokenResponse(
                    sequence, taken.is_granted, int(taken.wait_s * MS_PER_S)
                )
            )

        self._send_request(
            _TokenRequest(
                organisation,
                on_answer,
                self._keeper.delegates.upstream_id,
                is_last_attempt=False,
                link_deadline_s=now_s,
            )
        )

    def _timed_out(self, sequence: int) -> None:
        request = self._in_flight.pop(sequence, None)
        if request is None:
            return
        now_s = self._timers.now_s()
        if (
            now_s - request.sent_s > 2 * self._token_timeout_s()
            and not request.is_last_attempt
        ):
            # This process was paused; the answer may still be unread.
            request.is_last_attempt = True
            self._send_request(request)
            return
        self._keeper.delegates.suspect(now_s, request.receiver)
        self._keeper.choose(now_s)
        self._log.write(
            LineKind.RATE,
            'rate_sharer_doubted',
            sharer=request.receiver,
            waited_s=round(now_s - request.sent_s, 2),
            next=self._keeper.delegates.upstream_id,
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
            self._limiter.record_empty_pool(
                self._timers.now_s(), request.organisation, taken.wait_s
            )
        elif taken.wait_s:
            granted = PoolDecision(is_granted=True)
            self._timers.after(
                taken.wait_s, lambda _: request.on_answer(granted)
            )
            return
        request.on_answer(taken)
