"""Which nodes this node keeps connections to.

The load pattern: a fleet of hundreds or thousands of nodes, in which calls
rarely leave their failure domain. If each node were connected to each other
one, connections, load reports and the storm of connections after a power loss
would grow with the square of the fleet. So what a node is connected to is
bounded:

- the nodes of its own failure domain; in a large domain a subset of a fixed
  size for each service, which differs from node to node so that each target is
  in about as many subsets (deterministic subsetting);
- the gateways of the domains, the nodes with the smallest IDs, among
  themselves: they exchange digests, demand and configurations;
- a few nodes of other domains for each service that this node calls and that
  has few usable targets in its own domain, and more of them for a while when
  those targets have no room. They are taken from the domains that have room.
"""

import zlib
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from rattanstile.connection.peer_messages import PeerMember
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

GATEWAYS_PER_DOMAIN = 3
"""Nodes that connect their failure domain to the others; two of them may be
lost at once."""
MAX_NEAR_PER_SERVICE = 40
"""Nodes of its own domain that a node is connected to, for each service."""
MIN_CANDIDATES = 5
"""Usable nodes of a service to choose from."""
SPILL_CANDIDATES = 6
"""Further nodes of a service whose targets in this domain have no room."""
MAX_EXTRA_LINKS = 2
"""Further nodes that are connected to while some of those connected to don't
accept calls."""
USED_FOR_S = 20.0
"""How long connections are kept for a service that is no longer called."""
SPILL_FOR_S = 6.0
"""How long the further connections are kept after the last call that found no
room; shorter than most surges, longer than their waves."""
PATIENCE_S = 2.0
"""A node that can't be connected to for this long is replaced by another."""
_MIXER = 0x9E3779B1
_MASK = 0xFFFFFFFF


@dataclass(frozen=True, slots=True)
class LinkFacts:
    """What the plan depends on, beside the members and the calls.

    Attributes:
        evacuated: Returns the failure domains that get no new work.
        is_failing: Whether connecting to a node has failed for some time, in
            seconds.
        accepts_calls: Whether a connected node accepts calls; None for one
            that isn't connected.
        has_room: Whether a domain is known to have room for a service; None
            if nothing is known.
    """

    evacuated: Callable[[], Collection[FailureDomainId]]
    is_failing: Callable[[NodeId, float], bool]
    accepts_calls: Callable[[NodeId], bool | None]
    has_room: Callable[[FailureDomainId, ServiceName], bool | None]


@dataclass(slots=True)
class _Need:
    """When a service was last called, and last found without room."""

    used_s: float = float('-inf')
    short_s: float = float('-inf')


@dataclass(slots=True)
class _ServiceMembers:
    """Nodes of one service; those of other domains in this node's order."""

    near: list[NodeId] = field(default_factory=list)
    far: list[PeerMember] = field(default_factory=list)


class LinkPlan:
    """Plans the connections of one node.

    Attributes:
        is_gateway: Whether this node connects its domain to the others.

    Args:
        node_id: The node that plans.
        domain: Its failure domain.
    """

    def __init__(self, node_id: NodeId, domain: FailureDomainId) -> None:
        """Start without members and calls."""
        self.is_gateway = False
        self._node_id = node_id
        self._domain = domain
        self._seed = zlib.crc32(node_id.encode())
        self._needs: dict[ServiceName, _Need] = {}
        self._services: dict[ServiceName, _ServiceMembers] = {}
        self._domains: dict[FailureDomainId, list[NodeId]] = {domain: [node_id]}

    def set_members(self, members: Collection[PeerMember]) -> None:
        """Set the known nodes."""
        self._services = {}
        self._domains = {self._domain: [self._node_id]}
        for member in members:
            self._domains.setdefault(member.domain, []).append(member.node_id)
            of_service = self._services.setdefault(
                member.service, _ServiceMembers()
            )
            if member.domain == self._domain:
                of_service.near.append(member.node_id)
            else:
                of_service.far.append(member)
        for node_ids in self._domains.values():
            node_ids.sort()
        for of_service in self._services.values():
            of_service.near.sort(key=self._rank)
            of_service.far.sort(key=self._member_rank)

    def record_call(
        self, now_s: float, service: ServiceName, *, is_short: bool
    ) -> bool:
        """Record a call to a service.

        Args:
            now_s: Monotonic seconds.
            service: The service that is called.
            is_short: Whether no connected node has room for the call.

        Returns:
            Whether the plan should be made again at once.
        """
        need = self._needs.get(service)
        if need is None:
            need = self._needs.setdefault(service, _Need())
        is_changed = now_s - need.used_s > USED_FOR_S
        need.used_s = now_s
        if is_short:
            is_changed = is_changed or now_s - need.short_s > SPILL_FOR_S
            need.short_s = now_s
        return is_changed

    def wanted(self, now_s: float, facts: LinkFacts) -> set[NodeId]:
        """Return the nodes to keep connections to."""
        wanted: set[NodeId] = set()
        for of_service in self._services.values():
            wanted.update(_near(of_service.near, facts))
        wanted.update(self._gateways(facts))
        for service, need in tuple(self._needs.items()):
            if now_s - need.used_s > USED_FOR_S:
                self._needs.pop(service)
                continue
            is_short = now_s - need.short_s <= SPILL_FOR_S
            wanted.update(self._far(service, facts, is_short=is_short))
        wanted.discard(self._node_id)
        return wanted

    def _gateways(self, facts: LinkFacts) -> set[NodeId]:
        """Return the gateways that this node is to be connected to."""
        own = _first_reachable(
            self._domains[self._domain], facts, GATEWAYS_PER_DOMAIN
        )
        self.is_gateway = self._node_id in own
        gateways = set(own)
        if self.is_gateway:
            for domain, node_ids in self._domains.items():
                if domain != self._domain:
                    gateways.update(
                        _first_reachable(node_ids, facts, GATEWAYS_PER_DOMAIN)
                    )
        return gateways

    def _far(
        self, service: ServiceName, facts: LinkFacts, *, is_short: bool
    ) -> set[NodeId]:
        """Return the nodes of other domains that may be called."""
        of_service = self._services.get(service)
        if of_service is None:
            return set()
        missing = MIN_CANDIDATES + SPILL_CANDIDATES
        if not is_short:
            missing = MIN_CANDIDATES - self._usable_near(of_service, facts)
        far: set[NodeId] = set()
        extra = 0
        for node_id in _far_in_order(service, of_service.far, facts):
            if missing <= 0 or extra > MAX_EXTRA_LINKS:
                break
            far.add(node_id)
            if facts.accepts_calls(node_id) is False:
                extra += 1
            else:
                missing -= 1
        return far

    def _usable_near(self, members: _ServiceMembers, facts: LinkFacts) -> int:
        if self._domain in facts.evacuated():
            return 0
        return sum(
            facts.accepts_calls(node_id) is True for node_id in members.near
        )

    def _member_rank(self, member: PeerMember) -> int:
        return self._rank(member.node_id)

    def _rank(self, node_id: NodeId) -> int:
        """Return the place of a node in an order of this node's own."""
        return zlib.crc32(node_id.encode(), self._seed) * _MIXER & _MASK


def _far_in_order(
    service: ServiceName, members: list[PeerMember], facts: LinkFacts
) -> list[NodeId]:
    """Return the nodes that can be called; those with room first."""
    full: list[NodeId] = []
    free: list[NodeId] = []
    for member in members:
        if member.domain in facts.evacuated():
            continue
        if facts.is_failing(member.node_id, 0):
            continue
        is_full = facts.has_room(member.domain, service) is False
        (full if is_full else free).append(member.node_id)
    return free + full


def _near(node_ids: list[NodeId], facts: LinkFacts) -> list[NodeId]:
    """Return the nodes of a service in this domain to be connected to.

    The load pattern: the entries of VMs that have gone stay in the member list.
    """
    if len(node_ids) <= MAX_NEAR_PER_SERVICE:
        return node_ids
    return _first_reachable(node_ids, facts, MAX_NEAR_PER_SERVICE)


def _first_reachable(
    node_ids: list[NodeId], facts: LinkFacts, limit: int
) -> list[NodeId]:
    """Return the first nodes without those that can't be reached."""
    reachable = [
        node_id
        for node_id in node_ids
        if not facts.is_failing(node_id, PATIENCE_S)
    ]
    return (reachable or node_ids)[:limit]
