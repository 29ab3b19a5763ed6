"""Joins the parts of rates of this node with those of the fleet."""

from collections.abc import Callable

from rattanstile.connection.peer_messages import (
    RatesReported,
    RatesShared,
    TokenGiven,
    TokenWanted,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.rate_keeper import RateKeeper, RatePool
from rattanstile.process.mesh.rate_sharer import RateSharer
from rattanstile.process.mesh.root_admission import RootAdmission
from rattanstile.request.ids import NodeId, OrganisationId
from rattanstile.version.fleet_config import Organisation

ASK_TIMEOUT_S = 0.1
"""Many times the way to another failure domain and back."""

TokenHandler = Callable[[bool], None]


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
        self.keeper = RateKeeper()
        self.fleet = 1
        self._node_id = context.node_id
        self._state = context.state
        self._peers = peers
        self._timers = context.timers
        self._admission = admission
        self._sharer = RateSharer()
        self._pool = RatePool()
        self._sequence = 0
        self._asked: dict[int, tuple[Organisation, TokenHandler]] = {}

    def config_changed(self) -> None:
        """Begin to collect tokens of new organisations."""
        self.keeper.know(self._timers.now_s(), self._organisations().values())

    def report(self, now_s: float) -> None:
        """Report demand to the node that shares the rates out."""
        self.fleet = len(self._peers.known()) + 1
        self.keeper.nodes_known(self.fleet)
        demand = self.keeper.demand(now_s)
        calls = self._admission.own_demand()
        sharer = self._sharer_id()
        if sharer == self._node_id:
            self._sharer.reported(now_s, sharer, demand, calls)
            self._share_own(now_s)
            return
        self._pool.stop()
        link = self._peers.link_to(sharer)
        if link is not None:
            self._sequence += 1
            link.send(RatesReported(self._sequence, demand, calls))

    def ask(self, organisation: Organisation, answered: TokenHandler) -> None:
        """Ask the pool for a token; `answered` is told once, soon."""
        sharer = self._sharer_id()
        now_s = self._timers.now_s()
        if sharer == self._node_id:
            taken = self._pool.take(now_s, organisation)
            self._settle(organisation, answered, taken.is_granted, taken.wait_s)
            return
        link = self._peers.link_to(sharer)
        if link is None:
            answered(False)
            return
        self._sequence += 1
        sequence = self._sequence
        self._asked[sequence] = (organisation, answered)
        self._timers.after(ASK_TIMEOUT_S, lambda _: self._timed_out(sequence))
        link.send(TokenWanted(sequence, organisation.name))

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
                self.keeper.shared(now_s, parts)
                self._admission.fleet_demand(message.calls_per_s, message.nodes)
            case TokenWanted():
                self._give(now_s, link, message)
            case TokenGiven(sequence, is_granted, wait_ms):
                asked = self._asked.pop(sequence, None)
                if asked is not None:
                    self._settle(*asked, is_granted, wait_ms / 1000)

    def _sharer_id(self) -> NodeId:
        connected = (one.node_id for one in self._peers.connected())
        return min((*connected, self._node_id))

    def _organisations(self) -> dict[OrganisationId, Organisation]:
        config = self._state().config
        if config is None:
            return {}
        return {one.name: one for one in config.organisations.values()}

    def _share_own(self, now_s: float) -> None:
        parts = self._sharer.parts_of(now_s, self._node_id, self.fleet)
        self.keeper.shared(now_s, parts)
        self._pool.know(
            now_s,
            self._organisations().values(),
            self._sharer.reachable(now_s, self.fleet),
        )
        self._admission.fleet_demand(self._sharer.calls_per_s(), self.fleet)

    def _share(
        self, now_s: float, link: PeerLink, message: RatesReported
    ) -> None:
        self._sharer.reported(
            now_s, link.node_id, message.demand_per_s, message.calls_per_s
        )
        parts = self._sharer.parts_of(now_s, link.node_id, self.fleet)
        calls = self._sharer.calls_per_s()
        link.send(RatesShared(message.sequence, parts, calls, self.fleet))

    def _give(self, now_s: float, link: PeerLink, message: TokenWanted) -> None:
        organisation = self._organisations().get(message.organisation)
        if organisation is None:
            link.send(TokenGiven(message.sequence, False, 0))
            return
        taken = self._pool.take(now_s, organisation)
        link.send(
            TokenGiven(
                message.sequence, taken.is_granted, int(taken.wait_s * 1000)
            )
        )

    def _timed_out(self, sequence: int) -> None:
        asked = self._asked.pop(sequence, None)
        if asked is not None:
            self._settle(*asked, False, 2 * ASK_TIMEOUT_S)

    def _settle(
        self,
        organisation: Organisation,
        answered: TokenHandler,
        is_granted: bool,  # noqa: FBT001
        wait_s: float,
    ) -> None:
        if not is_granted:
            self.keeper.pool_was_dry(self._timers.now_s(), organisation, wait_s)
        answered(is_granted)
