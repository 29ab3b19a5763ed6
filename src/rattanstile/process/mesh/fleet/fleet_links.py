"""The nodes that a node is connected to, and what it knows of the others."""

from collections.abc import Callable, Iterable

from rattanstile.connection.peer_messages import (
    DomainDigest,
    PeerMember,
    TargetLoad,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.mesh.admission.root_admission import ServiceView
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.fleet.fleet_digests import (
    FleetDigests,
    service_digest,
)
from rattanstile.process.mesh.fleet.fleet_view import FleetKnowledge, NodeCounts
from rattanstile.process.mesh.fleet.link_plan import LinkFacts, LinkPlan
from rattanstile.process.mesh.placement.candidates import CandidateTable
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

PLAN_PERIOD_S = 1.0
"""How often connections are planned without a particular reason."""


class FleetLinks:
    """Keeps connections as planned, and knows the load of the fleet.

    Attributes:
        candidates: Connected nodes that attempts can be sent to.
        digests: Load of the other failure domains.
        near_count: Number of other nodes in this node's failure domain that
            have not left.
        own_load: Returns the load of the local target.

    Args:
        context: State shared by the components of the node.
        peers: Opens and closes the connections.
        own_load: Returns the load of the local target.
        own_service: Returns its service.
    """

    def __init__(
        self,
        context: NodeContext,
        peers: PeerPool,
        own_load: Callable[[], TargetLoad],
        own_service: Callable[[], ServiceName],
    ) -> None:
        """Start without members."""
        self.own_load = own_load
        self.near_count = 0
        self._own_service = own_service
        self.candidates = CandidateTable()
        self.digests = FleetDigests()
        self._node_counts: NodeCounts = {}
        self._context = context
        self._peers = peers
        self._plan = LinkPlan(context.node_id, context.domain)
        self._planned_version = -1
        self._due_s = 0.0
        self._facts = LinkFacts(
            evacuated=self._evacuated,
            is_failing=peers.is_failing,
            accepts_calls=self.candidates.accepts_calls,
            has_room=self._has_room,
        )

    @property
    def is_gateway(self) -> bool:
        """Return whether this node connects its domain to the others."""
        return self._plan.is_gateway

    def add_members(self, members: Iterable[PeerMember]) -> None:
        """Add nodes and connect to those that are wanted."""
        for member in members:
            self._peers.add_member(member)
        if self._planned_version != self._peers.members_version:
            self._apply(self._context.timers.now_s())

    def record_call(
        self, now_s: float, service: ServiceName, *, is_short: bool
    ) -> None:
        """Record a call to a service.

        Args:
            now_s: Monotonic seconds.
            service: The service that is called.
            is_short: Whether no connected node has room for the call.
        """
        if self._plan.record_call(now_s, service, is_short=is_short):
            self._apply(now_s)

    def check(self, now_s: float) -> None:
        """Plan again when members have changed, or periodically."""
        is_changed = self._planned_version != self._peers.members_version
        if is_changed or now_s >= self._due_s:
            self._apply(now_s)

    # Load of the fleet

    def views(self, now_s: float) -> dict[ServiceName, ServiceView | None]:
        """Return the load of each service over the whole fleet."""
        connected: dict[ServiceName, list[Candidate]] = {}
        for each in self._with_local(now_s):
            connected.setdefault(each.service, []).append(each)
        knowledge = FleetKnowledge(
            self._context.domain, connected, self._node_counts, self.digests
        )
        return knowledge.views(now_s)

    def own_digest(self, now_s: float) -> DomainDigest:
        """Return the load in this node's failure domain."""
        near: dict[ServiceName, list[Candidate]] = {}
        for each in self._with_local(now_s):
            if each.domain == self._context.domain:
                near.setdefault(each.service, []).append(each)
        return DomainDigest(
            self._context.domain,
            0,
            1 + self.near_count,
            tuple(
                service_digest(now_s, service, nodes)
                for service, nodes in near.items()
            ),
        )

    def load_received(
        self, now_s: float, node_id: NodeId, load: TargetLoad
    ) -> None:
        """Record the load that a connected node reports."""
        candidate = self.candidates.by_id.get(node_id)
        if candidate is not None:
            candidate.update_load(load, now_s)

    def near_ids(self) -> set[NodeId]:
        """Return the connected nodes in this node's failure domain."""
        return {
            each.node_id
            for each in self.candidates.by_id.values()
            if each.domain == self._context.domain
        }

    def _apply(self, now_s: float) -> None:
        self._due_s = now_s + PLAN_PERIOD_S
        version = self._peers.members_version
        if version != self._planned_version:
            self._planned_version = version
            self._plan.set_members(self._peers.known_members())
        present = self._peers.present_members()
        self._node_counts = _count_nodes(present)
        self.near_count = sum(
            member.domain == self._context.domain for member in present
        )
        self._peers.keep_only(self._plan.wanted(now_s, self._facts))

    def _with_local(self, now_s: float) -> list[Candidate]:
        local = Candidate(
            self._context.node_id,
            self._own_service(),
            self._context.domain,
            self.own_load(),
            load_received_s=now_s,
        )
        return [*self.candidates.by_id.values(), local]

    def _evacuated(self) -> frozenset[FailureDomainId]:
        return self._context.state().evacuated

    def _has_room(
        self, domain: FailureDomainId, service: ServiceName
    ) -> bool | None:
        now_s = self._context.timers.now_s()
        return self.digests.has_room(now_s, domain, service)


def _count_nodes(members: Iterable[PeerMember]) -> NodeCounts:
    counts: dict[ServiceName, dict[FailureDomainId, int]] = {}
    for member in members:
        by_domain = counts.setdefault(member.service, {})
        by_domain[member.domain] = by_domain.get(member.domain, 0) + 1
    return counts
