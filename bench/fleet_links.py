"""Connections and control traffic of a node, by the size of the fleet."""

from collections import Counter
from collections.abc import Iterator

from bench.row import Row
from rattanstile.connection.peer_messages import (
    DemandReport,
    DomainDigest,
    DomainReport,
    PeerMember,
    RateSharesResponse,
    ServiceDigest,
    StatusReport,
    TargetLoad,
    encode_peer_frame,
)
from rattanstile.process.mesh.fleet.link_plan import LinkFacts, LinkPlan
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

FLEETS = ((14, 3), (82, 3), (195, 5))
"""Nodes and failure domains."""
SERVICE_SHARES = (0.4, 0.3, 0.24, 0.06)
LARGE_FLEET_NODES = 14_000
LARGE_FLEET_DOMAINS = 18
SAMPLED_NODES = 12
MAX_SOCKETS = 120
MAX_CONTROL_BYTES_PER_S = 2048
BUSY_REPORTS_PER_S = 4.0
DEMAND_REPORTS_PER_S = 4.0
DOMAIN_REPORTS_PER_S = 4.0
FULL_RATE_RECEIVERS = 40
LOAD = TargetLoad(
    is_usable=True,
    pending_calls=9,
    limit=10,
    service_us=180_000,
    wait_us=40_000,
    offered_deci_per_s=600,
    capacity_deci_per_s=550,
)
FACTS = LinkFacts(
    evacuated=frozenset,
    is_failing=lambda node_id, for_s: False,
    accepts_calls=lambda node_id: True,
    has_room=lambda domain, service: None,
)


def members_of(nodes: int, domains: int) -> list[PeerMember]:
    """Return the nodes of a fleet; services are spread over the domains."""
    services = [
        ServiceName(f'service-{index}')
        for index, share in enumerate(SERVICE_SHARES)
        for _ in range(max(1, round(share * nodes)))
    ]
    return [
        PeerMember(
            NodeId(f'd{number % domains:02}-{number:05}'),
            f'10.0.{number // 250}.{number % 250}:1',
            services[number % len(services)],
            FailureDomainId(f'd{number % domains:02}'),
        )
        for number in range(nodes)
    ]


def plan_of(own: PeerMember, members: list[PeerMember]) -> set[NodeId]:
    """Return what a node is connected to that calls all services."""
    plan = LinkPlan(own.node_id, own.domain)
    plan.set_members([each for each in members if each is not own])
    for service in sorted({member.service for member in members}):
        plan.record_call(0.0, service, is_short=False)
    return plan.wanted(0.0, FACTS)


def sockets(nodes: int, domains: int) -> int:
    """Return the most connections of any node, those of others included."""
    members = members_of(nodes, domains)
    domain_of = {member.node_id: member.domain for member in members}
    counts: Counter[NodeId] = Counter()
    pairs: set[frozenset[NodeId]] = set()
    for own in members:
        wanted = plan_of(own, members)
        near = {each for each in wanted if domain_of[each] == own.domain}
        pairs.update(frozenset((own.node_id, each)) for each in near)
        far = wanted - near
        counts.update(far)
        counts[own.node_id] += len(far)
    counts.update(node_id for pair in pairs for node_id in pair)
    return max(counts.values())


def sockets_rows() -> Iterator[Row]:
    """Return the connections of a node, with those of a full mesh beside."""
    for nodes, domains in FLEETS:
        most = sockets(nodes, domains)
        yield Row(
            f'links: {nodes} nodes in {domains} failure domains',
            f'{most} connections at the worst node',
            f'{MAX_SOCKETS}',
            most <= MAX_SOCKETS,
            f'{2 * (nodes - 1)} in a full mesh',
        )


def opened(nodes: int) -> int:
    """Return the most connections that any of a few sampled nodes opens."""
    members = members_of(nodes, LARGE_FLEET_DOMAINS)
    sampled = members[:: nodes // SAMPLED_NODES]
    return max(len(plan_of(own, members)) for own in sampled)


def large_fleet_row() -> Row:
    """Return whether connections grow once failure domains are large."""
    once = opened(LARGE_FLEET_NODES)
    twice = opened(2 * LARGE_FLEET_NODES)
    return Row(
        f'links: {LARGE_FLEET_NODES} nodes, and twice as many',
        f'{once} and {twice} connections opened by a node',
        'no growth',
        twice <= once,
        f'{LARGE_FLEET_NODES - 1} in a full mesh',
    )


def _digest(domain: str) -> DomainDigest:
    services = tuple(
        ServiceDigest(
            ServiceName(f'service-{index}'), 40, 38, 900, 1200, 20_000, 3, 0
        )
        for index in range(len(SERVICE_SHARES))
    )
    return DomainDigest(FailureDomainId(domain), 300, 39, services)


def _size(message: object) -> int:
    return len(encode_peer_frame(message))  # type: ignore[arg-type]


def control_bytes_per_s(nodes: int, domains: int) -> float:
    """Return the control bytes that a node sends while all are busy."""
    calls = {ServiceName(f'service-{index}'): 100.0 for index in range(4)}
    digests = tuple(_digest(f'd{index:02}') for index in range(domains - 1))
    demand = _size(DemandReport(9, {}, calls, LOAD))
    shares = _size(RateSharesResponse(9, {}, calls, nodes, 4000, digests))
    domain = _size(DomainReport(9, 39, {}, calls, _digest('d00')))
    status = _size(StatusReport(ServiceName('service-0'), LOAD))
    receivers = sockets(nodes, domains)
    period_factor = max(1.0, receivers / FULL_RATE_RECEIVERS)
    status_per_s = BUSY_REPORTS_PER_S * receivers / period_factor
    # Responses are sent by few nodes; the mean over the fleet counts.
    per_domain = DOMAIN_REPORTS_PER_S * (domain + shares) * domains / nodes
    exchanges = DEMAND_REPORTS_PER_S * (demand + shares)
    return status_per_s * status + exchanges + per_domain


def full_mesh_bytes_per_s(nodes: int) -> float:
    """Return the same if each node reports to each other one."""
    status = _size(StatusReport(ServiceName('service-0'), LOAD))
    period_factor = max(1.0, nodes / FULL_RATE_RECEIVERS)
    return BUSY_REPORTS_PER_S / period_factor * (nodes - 1) * status


def growth_row() -> Row:
    """Return how control traffic grows from 82 to 195 nodes, all busy."""
    before = control_bytes_per_s(82, 3)
    after = control_bytes_per_s(195, 5)
    return Row(
        'links: control bytes a node, all busy, 82 to 195 nodes',
        f'{before:.0f} to {after:.0f} B/s, {after / before:.2f} times',
        'less than 1.5 times',
        after < 1.5 * before,
        f'{full_mesh_bytes_per_s(82):.0f} to {full_mesh_bytes_per_s(195):.0f}'
        ' B/s for load alone, four fifths to other domains',
    )


def rest_row() -> Row:
    """Return the control bytes of a node at rest in a fleet of 195."""
    calls = {ServiceName(f'service-{index}'): 1.0 for index in range(4)}
    digests = tuple(_digest(f'd{index:02}') for index in range(4))
    demand = _size(DemandReport(9, {}, calls, LOAD))
    shares = _size(RateSharesResponse(9, {}, calls, 195, 4000, digests))
    domain = _size(DomainReport(9, 39, {}, calls, _digest('d00')))
    per_s = DEMAND_REPORTS_PER_S / 2 * (demand + shares)
    per_s += DOMAIN_REPORTS_PER_S * (domain + shares) * 5 / 195
    return Row(
        'links: control bytes a node at rest, 195 nodes',
        f'{per_s:.0f} B/s',
        f'{MAX_CONTROL_BYTES_PER_S} B/s',
        per_s <= MAX_CONTROL_BYTES_PER_S,
    )


def rows() -> Iterator[Row]:
    """Return all rows."""
    yield from sockets_rows()
    yield large_fleet_row()
    yield growth_row()
    yield rest_row()
