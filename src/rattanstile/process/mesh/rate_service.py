"""Joins the parts of rates of this node with those of the fleet."""

from collections.abc import Callable
from dataclasses import dataclass

from rattanstile.connection.peer_messages import (
    RatesReported,
    RatesShared,
    TokenGiven,
    TokenWanted,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.decision_log import Kind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.rate_limiter import (
    PoolDecision,
    RateKeeper,
    RatePool,
)
from rattanstile.process.mesh.rate_allocator import RateSharer
from rattanstile.process.mesh.root_admission import RootAdmission
from rattanstile.request.ids import NodeId, OrganisationId
from rattanstile.version.fleet_config import Organisation

ASK_TIMEOUT_S = 0.1
"""Many times the way to another failure domain and back."""
DOUBT_S = 2.0
"""A node that let an ask wait for too long shares nothing out for a while."""

SETTLED_S = 1.0
"""A node that is back shares nothing out before all others have met it."""
PASSED_DRY_MS = 250
"""When a node that could not reach the pool itself is to ask again."""
PATIENCE_S = 0.15
"""Links that were reset are open again within this time."""

TokenHandler = Callable[[bool], None]


@dataclass(eq=False, slots=True)
class _Ask:
    """A request that waits for a token.

    Attributes:
        sharer: Whom it was asked of.
        is_second: Whether another one was asked before.
        until_s: Until when it may wait for a link.
        asked_s: When it was asked.
    """

    organisation: Organisation
    answered: TokenHandler
    sharer: NodeId
    is_second: bool
    until_s: float
    asked_s: float = 0.0


class RateService:
    """Reports demand, takes parts, and asks for tokens of the pool.

    Args:
        context: What the parts of the node share.
        peers: Reaches the other nodes.
        admission: Knows what root requests would take.
    """

    def __init__(
        self,
        context: NodeContext,
        peers: PeerPool,
        admission: RootAdmission,
    ) -> None:
        """Begin without parts."""
        self.limiter = RateKeeper()
        self.fleet = 1
        self._node_id = context.node_id
        self._state = context.state
        self._peers = peers
        self._timers = context.timers
        self._started_s = context.timers.now_s()
        self._log = context.log
        self._admission = admission
        self._sharer = RateSharer()
        self._sharer_id = context.node_id
        self._doubted_until_s: dict[NodeId, float] = {}
        self._pool = RatePool()
        self._sequence = 0
        self._asked: dict[int, _Ask] = {}
        self._waiting: list[_Ask] = []

    def config_changed(self) -> None:
        """Begin to collect tokens of new organisations."""
        self.limiter.know(self._timers.now_s(), self._organisations().values())

    def report(self, now_s: float) -> None:
        """Report demand to the node that shares the rates out."""
        self.fleet = self._peers.fleet()
        self.limiter.set_node_count(self.fleet)
        demand = self.limiter.demand(now_s)
        calls = self._admission.own_demand()
        self._choose_sharer(now_s)
        if self._sharer_id == self._node_id:
            self._sharer.reported(now_s, self._node_id, demand, calls)
            self._share_own(now_s)
            return
        self._pool.stop()
        link = self._peers.link_to(self._sharer_id)
        if link is not None:
            self._sequence += 1
            link.send(RatesReported(self._sequence, demand, calls))

    def request_token(self, organisation: Organisation, answered: TokenHandler) -> None:
        """Ask the pool for a token; `answered` is told once, soon."""
        until_s = self._timers.now_s() + PATIENCE_S
        self._ask(
            _Ask(
                organisation,
                answered,
                self._sharer_id,
                is_second=False,
                until_s=until_s,
            )
        )

    def peer_lost(self, node_id: NodeId) -> None:
        """Report to the next node when the one that shares out is gone."""
        if node_id == self._sharer_id:
            self.report(self._timers.now_s())

    def check(self, now_s: float) -> None:
        """Ask again for the requests that wait for a link."""
        waiting = self._waiting
        self._waiting = []
        for request_token in waiting:
            self._ask(request_token)

    def message(
        self,
        link: PeerLink,
        message: RatesReported | RatesShared | TokenWanted | TokenGiven,
    ) -> None:
        """Take a message of another node."""
        now_s = self._timers.now_s()
        match message:
            case RatesReported():
                self._share(now_s, link, message)
            case RatesShared(parts=parts):
                self.limiter.shared(now_s, parts)
                self._admission.fleet_demand(message.calls_per_s, message.nodes)
            case TokenWanted():
                self._give(now_s, link, message)
            case TokenGiven(sequence, is_granted, wait_ms):
                asked = self._asked.pop(sequence, None)
                if asked is not None:
                    self._settle(asked, wait_ms / 1000, is_granted=is_granted)

    def _ask(self, request_token: _Ask) -> None:
        now_s = self._timers.now_s()
        link = self._peers.link_to(self._sharer_id)
        if link is None:
            self._choose_sharer(now_s)
            link = self._peers.link_to(self._sharer_id)
        request_token.sharer = self._sharer_id
        request_token.asked_s = now_s
        if link is None:
            self._ask_own(now_s, request_token)
            return
        self._sequence += 1
        sequence = self._sequence
        self._asked[sequence] = request_token
        self._timers.after(ASK_TIMEOUT_S, lambda _: self._timed_out(sequence))
        link.send(TokenWanted(sequence, request_token.organisation.name))

    def _ask_own(self, now_s: float, request_token: _Ask) -> None:
        """Take a token of the own pool, unless the links may be back soon."""
        is_alone = self.fleet > 1 and not self._peers.connected()
        if is_alone and now_s < request_token.until_s:
            self._waiting.append(request_token)
            return
        taken = self._take(now_s, request_token.organisation)
        self._settle(request_token, taken.wait_s, is_granted=taken.is_granted)

    def _take(self, now_s: float, organisation: Organisation) -> PoolDecision:
        if not self._pool.is_open:
            self.report(now_s)
        return self._pool.take(now_s, organisation)

    def _choose_sharer(self, now_s: float) -> None:
        """Choose the first node by name that has been met by all."""
        for node_id, until_s in tuple(self._doubted_until_s.items()):
            if until_s <= now_s:
                self._doubted_until_s.pop(node_id)
        settled_s = now_s - SETTLED_S
        found = set(self._peers.settled(settled_s))
        if self._started_s <= settled_s:
            found.add(self._node_id)
        if not found:
            found = {one.node_id for one in self._peers.connected()}
            found.add(self._node_id)
        found -= self._doubted_until_s.keys()
        self._sharer_id = min(found, default=self._node_id)

    def _organisations(self) -> dict[OrganisationId, Organisation]:
        config = self._state().config
        if config is None:
            return {}
        return {one.name: one for one in config.organisations.values()}

    def _share_own(self, now_s: float) -> None:
        organisations = self._organisations()
        self._sharer.share(now_s, self.fleet, organisations)
        self.limiter.shared(now_s, self._sharer.parts_of(self._node_id))
        self._fill_pool(now_s)
        self._admission.fleet_demand(self._sharer.calls_per_s(), self.fleet)

    def _fill_pool(self, now_s: float) -> None:
        self._pool.know(
            now_s,
            self._organisations().values(),
            self._sharer.reachable(now_s, self.fleet),
            self._sharer.held,
        )

    def _share(
        self, now_s: float, link: PeerLink, message: RatesReported
    ) -> None:
        self._sharer.reported(
            now_s, link.node_id, message.demand_per_s, message.calls_per_s
        )
        if self._sharer_id == self._node_id:
            self._fill_pool(now_s)
        parts = self._sharer.parts_of(link.node_id)
        calls = self._sharer.calls_per_s()
        link.send(RatesShared(message.sequence, parts, calls, self.fleet))

    def _give(self, now_s: float, link: PeerLink, message: TokenWanted) -> None:
        organisation = self._organisations().get(message.organisation)
        if organisation is None:
            link.send(TokenGiven(message.sequence, False, 0))
            return
        if self._sharer_id != self._node_id:
            self._pass_on(now_s, link, message.sequence, organisation)
            return
        taken = self._take(now_s, organisation)
        link.send(
            TokenGiven(
                message.sequence, taken.is_granted, int(taken.wait_s * 1000)
            )
        )

    def _pass_on(
        self,
        now_s: float,
        link: PeerLink,
        sequence: int,
        organisation: Organisation,
    ) -> None:
        """Ask the sharer for a node that can't reach it."""

        def answered(is_granted: bool) -> None:  # noqa: FBT001
            wait_ms = 0 if is_granted else PASSED_DRY_MS
            link.send(TokenGiven(sequence, is_granted, wait_ms))

        self._ask(
            _Ask(
                organisation,
                answered,
                self._sharer_id,
                is_second=True,
                until_s=now_s,
            )
        )

    def _timed_out(self, sequence: int) -> None:
        asked = self._asked.pop(sequence, None)
        if asked is None:
            return
        now_s = self._timers.now_s()
        if now_s - asked.asked_s > 2 * ASK_TIMEOUT_S and not asked.is_second:
            # This node stood still; the answer may lie in its connection.
            asked.is_second = True
            self._ask(asked)
            return
        self._doubted_until_s[asked.sharer] = now_s + DOUBT_S
        self._choose_sharer(now_s)
        self._log.write(
            Kind.RATE,
            'rate_sharer_doubted',
            sharer=asked.sharer,
            waited_s=ASK_TIMEOUT_S,
            next=self._sharer_id,
        )
        if asked.is_second:
            self._settle(asked, ASK_TIMEOUT_S, is_granted=False)
        else:
            asked.is_second = True
            self._ask(asked)

    def _settle(self, asked: _Ask, wait_s: float, *, is_granted: bool) -> None:
        if is_granted and wait_s:
            self._timers.after(wait_s, lambda _: asked.answered(True))
            return
        if not is_granted:
            now_s = self._timers.now_s()
            self.limiter.pool_was_dry(now_s, asked.organisation, wait_s)
        asked.answered(is_granted)
