"""Exchanges demand, rate shares, digests and tokens with the other nodes.

Demand goes up from each node to the delegate of its failure domain, and from
the delegates to the allocator; shares of the rates, the demand of the whole
fleet and the load of the other domains come back with the responses. So a
node exchanges these with one other node, whatever the size of the fleet.
"""

from collections.abc import Collection

from rattanstile.connection.peer_link import PeerLink
from rattanstile.connection.peer_messages import (
    DemandReport,
    DomainDigest,
    DomainReport,
    FleetLoad,
    RateSharesResponse,
    TokenRequest,
    TokenResponse,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.mesh.admission.root_admission import RootAdmission
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.fleet.delegates import MIN_CONNECTED_S, Delegates
from rattanstile.process.mesh.fleet.domain_ledger import DomainLedger
from rattanstile.process.mesh.fleet.fleet_digests import MS_PER_S
from rattanstile.process.mesh.fleet.fleet_links import FleetLinks
from rattanstile.process.mesh.rates.rate_allocator import Demand, RateAllocator
from rattanstile.process.mesh.rates.rate_limiter import (
    SHARE_LEASE_S,
    LocalRateLimiter,
    PoolDecision,
    RatePool,
)
from rattanstile.process.mesh.rates.token_requests import TokenRequests
from rattanstile.process.mesh.rollout.fleet_rollouts import FleetRollouts
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    OrganisationId,
    ServiceName,
)
from rattanstile.version.fleet_config import Organisation

MAX_NEAR_DIRECT = 40
"""Nodes of a domain up to which each of them hears from all the others."""
NO_DOMAIN = FailureDomainId('')


class RateService:
    """Reports demand, receives rate shares, and keeps the pool if it is to.

    Attributes:
        limiter: Admits requests within the shares of this node.
        tokens: Requests tokens of the pool for requests beyond them.
        fleet_size: Number of nodes, as far as known.
        delegates: Whom this node reports to.
        rollouts: Reports on rollouts, which go the way of the demand.

    Args:
        context: Shared components of the node.
        peers: Links to the other nodes.
        links: Nodes and their load, near and far.
        admission: Provides the demand of root requests, and receives the
            demand of the fleet.
    """

    def __init__(
        self,
        context: NodeContext,
        peers: PeerPool,
        links: FleetLinks,
        admission: RootAdmission,
    ) -> None:
        """Start without shares."""
        self.limiter = LocalRateLimiter()
        self.fleet_size = 1
        self.delegates = Delegates(
            context.node_id, context.domain, context.timers.now_s()
        )
        self._node_id = context.node_id
        self._domain = context.domain
        self._state = context.state
        self._peers = peers
        self._links = links
        self._timers = context.timers
        self._admission = admission
        self._ledger = DomainLedger()
        self._allocator = RateAllocator()
        self._pool = RatePool()
        self._calls_per_s: dict[ServiceName, float] = {}
        self.rollouts = FleetRollouts(context.rollouts, context.log)
        self._sequence = 0
        self.tokens = TokenRequests(context, peers, self.limiter, self)

    def config_changed(self) -> None:
        """Start to collect tokens for new organisations."""
        self.limiter.add_organisations(
            self._timers.now_s(), self.organisations().values()
        )

    # Reports

    def report(self, now_s: float) -> None:
        """Report the demand at this node to the delegate of its domain."""
        self.limiter.set_node_count(self._known_fleet_size(now_s))
        demand = Demand(
            self.limiter.demand(now_s), self._admission.own_demand(), 1
        )
        self.choose(now_s)
        delegate_id = self.delegates.delegate_id
        if self.delegates.is_delegate:
            self._ledger.record_report(now_s, self._node_id, demand)
            self.rollouts.record_node(
                now_s,
                self._node_id,
                self.rollouts.take_reports(now_s, delegate_id),
            )
            return
        self.rollouts.decider.resign()
        self._pool.stop()
        link = self._peers.link_to(delegate_id)
        if link is not None:
            self._sequence += 1
            link.send(
                DemandReport(
                    self._sequence,
                    dict(demand.requests_per_s),
                    dict(demand.calls_per_s),
                    self._links.own_load(),
                    self.rollouts.take_reports(now_s, delegate_id),
                )
            )

    def report_domain(self, now_s: float) -> None:
        """Report the demand of the domain, if this node is its delegate."""
        if not self.delegates.is_delegate:
            return
        demand = self._ledger.total(now_s)
        digest = self._links.own_digest(now_s)
        self._links.digests.record(now_s, digest)
        if self.delegates.is_allocator:
            self._allocator.record_report(now_s, self._node_id, demand)
            self._allocate(now_s)
            return
        self.rollouts.decider.resign()
        self._pool.stop()
        link = self._peers.link_to(self.delegates.upstream_id)
        if link is not None:
            self._sequence += 1
            link.send(
                DomainReport(
                    self._sequence,
                    demand.nodes,
                    dict(demand.requests_per_s),
                    dict(demand.calls_per_s),
                    digest,
                    self.rollouts.domain_reports(now_s),
                )
            )

    def peer_lost(self, node_id: NodeId) -> None:
        """Report to the next node when the one that was reported to is lost."""
        if node_id == self.delegates.upstream_id:
            self._report_now(self._timers.now_s())

    def message(
        self,
        link: PeerLink,
        message: DemandReport
        | DomainReport
        | RateSharesResponse
        | FleetLoad
        | TokenRequest
        | TokenResponse,
    ) -> None:
        """Handle a message from another node."""
        now_s = self._timers.now_s()
        match message:
            case DemandReport():
                self._answer_node(now_s, link, message)
            case DomainReport():
                self._answer_domain(now_s, link, message)
            case RateSharesResponse():
                self._shares_received(now_s, message)
            case FleetLoad():
                self._fleet_load_received(now_s, message)
            case TokenRequest() | TokenResponse():
                self.tokens.message(now_s, link, message)

    def take_token(
        self, now_s: float, organisation: Organisation
    ) -> PoolDecision:
        """Take a token of the pool that this node keeps."""
        if not self._pool.is_open:
            self._report_now(now_s)
        return self._pool.take(now_s, organisation)

    def _report_now(self, now_s: float) -> None:
        self.report(now_s)
        self.report_domain(now_s)

    def choose(self, now_s: float) -> None:
        """Choose the node to report to."""
        self.delegates.choose(
            now_s,
            self._peers.connected_since(now_s - MIN_CONNECTED_S),
            self._peers.connected(),
        )

    def _known_fleet_size(self, now_s: float) -> int:
        """Update and return the number of nodes.

        Only the delegate of a domain knows which of its nodes have left.
        """
        by_domain: dict[FailureDomainId, int] = {self._domain: 1}
        for member in self._peers.present_members():
            by_domain[member.domain] = by_domain.get(member.domain, 0) + 1
        self.fleet_size = by_domain.pop(self._domain)
        for domain, count in by_domain.items():
            reported = self._links.digests.node_count(now_s, domain)
            self.fleet_size += count if reported is None else reported
        return self.fleet_size

    def organisations(self) -> dict[OrganisationId, Organisation]:
        """Return all organisations by name."""
        config = self._state().config
        if config is None:
            return {}
        return {
            organisation.name: organisation
            for organisation in config.organisations.values()
        }

    def _allocate(self, now_s: float) -> None:
        organisations = self.organisations()
        node_count = self._known_fleet_size(now_s)
        self._allocator.allocate(now_s, node_count, organisations)
        self._fill_pool(now_s, node_count)
        self._calls_per_s = self._allocator.calls_per_s()
        reachable_share = self._allocator.reachable_share(now_s, node_count)
        is_verdict_new = self.rollouts.decide(
            now_s, self._domain, is_whole=reachable_share >= 1
        )
        self._set_domain_shares(
            now_s, self._allocator.shares_of(self._node_id), SHARE_LEASE_S
        )
        if is_verdict_new:
            self._send_fleet_load(now_s)

    def _fill_pool(self, now_s: float, node_count: int) -> None:
        self._pool.refill(
            now_s,
            self.organisations().values(),
            self._allocator.reachable_share(now_s, node_count),
            self._allocator.held_shares,
        )

    def _set_domain_shares(
        self, now_s: float, shares: dict[OrganisationId, float], lease_s: float
    ) -> None:
        """Divide the shares of the domain, and use those of this node."""
        self._ledger.set_shares(now_s, shares, lease_s)
        own = self._ledger.shares_of(now_s, self._node_id)
        self.limiter.set_shares(now_s, own, lease_s)
        self._admission.set_fleet_demand(self._calls_per_s, self.fleet_size)
        if self._admission.is_near_capacity:
            self._send_fleet_load(now_s)

    def _send_fleet_load(self, now_s: float) -> None:
        """Tell the nodes of the domain what the delegate has just learnt.

        The load pattern: a surge comes in at all nodes, and each admits its
        part by what it knows of the whole. A later figure admits too much.
        """
        services = self._calls_per_s.keys()
        digests = self._digests_for_node(now_s, services)
        self._peers.broadcast(
            FleetLoad(
                self._calls_per_s,
                self.fleet_size,
                digests,
                self.rollouts.open_directives(now_s),
            ),
            near_only=True,
        )

    def _fleet_load_received(self, now_s: float, message: FleetLoad) -> None:
        if self.delegates.is_delegate:
            return
        for digest in message.digests:
            self._links.digests.record(now_s, digest)
        self.rollouts.directives_received(now_s, message.rollouts)
        self._calls_per_s = message.calls_per_s
        self.fleet_size = message.nodes
        self._admission.set_fleet_demand(self._calls_per_s, self.fleet_size)

    def _shares_received(
        self, now_s: float, message: RateSharesResponse
    ) -> None:
        if message.is_for_domain and not self.delegates.is_delegate:
            # The shares of a whole domain, requested before a smaller ID came.
            return
        for digest in message.digests:
            self._links.digests.record(now_s, digest)
        is_verdict_new = self.rollouts.directives_received(
            now_s, message.rollouts
        )
        self._calls_per_s = message.calls_per_s
        self.fleet_size = message.nodes
        lease_s = message.lease_ms / MS_PER_S
        if message.is_for_domain:
            self._set_domain_shares(now_s, message.organisation_shares, lease_s)
            if is_verdict_new:
                self._send_fleet_load(now_s)
            return
        self.limiter.set_shares(now_s, message.organisation_shares, lease_s)
        self._admission.set_fleet_demand(self._calls_per_s, self.fleet_size)

    def _answer_node(
        self, now_s: float, link: PeerLink, message: DemandReport
    ) -> None:
        """Answer the report of a node of this failure domain."""
        demand = Demand(message.demand_per_s, message.calls_per_s, 1)
        self._ledger.record_report(now_s, link.node_id, demand)
        self.rollouts.record_node(now_s, link.node_id, message.rollouts)
        if message.load is not None:
            self._links.load_received(now_s, link.node_id, message.load)
        link.send(
            RateSharesResponse(
                message.sequence,
                self._ledger.shares_of(now_s, link.node_id),
                self._calls_per_s,
                self.fleet_size,
                int(self._ledger.lease_s(now_s) * MS_PER_S),
                self._digests_for_node(now_s, message.calls_per_s),
                rollouts=self.rollouts.directives(now_s, message.rollouts),
            )
        )

    def _digests_for_node(
        self, now_s: float, services: Collection[ServiceName]
    ) -> tuple[DomainDigest, ...]:
        """Return the load of the services that a node of this domain uses."""
        without = self._domain
        if self._links.near_count > MAX_NEAR_DIRECT:
            without = NO_DOMAIN
        return self._links.digests.to_send(
            now_s, without=without, services=services
        )

    def _answer_domain(
        self, now_s: float, link: PeerLink, message: DomainReport
    ) -> None:
        """Answer the report of the delegate of another failure domain."""
        self._links.digests.record(now_s, message.digest)
        self.rollouts.record_domain(
            now_s, message.digest.domain, message.rollouts
        )
        self._allocator.record_report(
            now_s,
            link.node_id,
            Demand(
                message.demand_per_s, message.calls_per_s, message.reporting
            ),
        )
        if self.delegates.is_allocator:
            self._fill_pool(now_s, self._known_fleet_size(now_s))
        link.send(
            RateSharesResponse(
                message.sequence,
                self._allocator.shares_of(link.node_id),
                self._allocator.calls_per_s(),
                self.fleet_size,
                int(SHARE_LEASE_S * MS_PER_S),
                self._links.digests.to_send(
                    now_s, without=message.digest.domain
                ),
                is_for_domain=True,
                rollouts=self.rollouts.directives(now_s, message.rollouts),
            )
        )
