"""Membership: bytes at any size, detection, pauses, a domain that is lost."""

from collections.abc import Callable, Iterator
from itertools import chain

from bench.membership_sample import SampledFleet
from bench.membership_world import MemberFleet, VirtualMember
from bench.row import Row
from rattanstile.request.envelope import Member
from rattanstile.request.ids import FailureDomainId, NodeId

SIZES = ((14, 3, 4), (140, 3, 8), (1400, 18, 66), (14_000, 18, 660))
"""Members, failure domains, services."""
WARM_S = 20.0
COUNTED_S = 60.0
BYTES_BOUND = 2048
FEW_SECONDS_S = 5.0
PAUSES_S = (0.3, 1.0, 3.0, 10.0)
SMALL = (42, 3, 6)
NEVER_S = 1e9
KILL_SEEDS = range(8)


def control_bytes(members: int, domains: int, services: int) -> Row:
    """Return bytes a second at the nodes of a fleet, directories too."""
    fleet = SampledFleet(1, members, domains, services)
    fleet.world.run(WARM_S)
    before = {id(node): node.traffic.total() for node in fleet.live()}
    fleet.world.run(WARM_S + COUNTED_S)
    directories = set(next(iter(fleet.live())).machine.directories())
    ordinary = []
    told = []
    for node in fleet.live():
        rate = (node.traffic.total() - before[id(node)]) / COUNTED_S
        is_directory = node.member.node_id in directories
        (told if is_directory else ordinary).append(rate)
    return Row(
        f'membership: control bytes a node, {members} members',
        f'{max(ordinary):.0f} B/s most at a node,'
        f' {max(told):.0f} B/s at a directory, sent and received',
        f'at most {BYTES_BOUND} B/s',
        max(ordinary + told) <= BYTES_BOUND,
        f'{mesh_bytes(members):.0f} B/s with a heartbeat to every node',
    )


def mesh_bytes(members: int) -> float:
    """Return what a heartbeat a second to and from every node takes."""
    heartbeat_bytes = 30
    return 2 * heartbeat_bytes * (members - 1)


def killed() -> Row:
    """Return when the last node drops a killed one."""
    worst = 0.0
    for seed in KILL_SEEDS:
        fleet = settled(seed)
        victim = victim_of(fleet)
        victim.alive = False
        killed_s = fleet.world.now_s
        fleet.world.run(killed_s + 30)
        worst = max(worst, last_drop_s(fleet, victim) - killed_s)
    return Row(
        'membership: a node killed, the last that knows it drops it, 8 runs',
        f'{worst:.1f} s',
        f'at most {FEW_SECONDS_S:.0f} s',
        worst <= FEW_SECONDS_S,
    )


def paused() -> Iterator[Row]:
    """Yield what becomes of a paused node, for several pauses."""
    for pause_s in PAUSES_S:
        fleet = settled()
        victim = victim_of(fleet)
        victim.paused = True
        fleet.world.run(fleet.world.now_s + pause_s)
        taken = sum(dropped_s(node, victim) < NEVER_S for node in fleet.live())
        victim.resume()
        fleet.world.run(fleet.world.now_s + FEW_SECONDS_S)
        ended = sum(
            news.ended for node in fleet.live() for _, news in node.lost
        )
        back = all(
            victim.member in node.machine.members(victim.member.service)
            for node in fleet.live()
            if node.member.failure_domain == victim.member.failure_domain
        )
        yield Row(
            f'membership: a node paused for {pause_s} s',
            f'{taken} nodes took it for lost, {ended} for ended;'
            f' back everywhere: {"yes" if back else "no"}',
            f'0 for ended, back within {FEW_SECONDS_S:.0f} s',
            ended == 0 and back,
        )


def domain_lost() -> Row:
    """Return when the last node drops a failure domain that is lost."""
    fleet = settled()
    domain = FailureDomainId('domain-01')
    for node in fleet.live():
        if node.member.failure_domain == domain:
            node.alive = False
    worst = gone_s(fleet, lambda member: member.failure_domain == domain)
    return Row(
        'membership: a failure domain lost, the last node drops it',
        f'{worst:.1f} s',
        f'at most {FEW_SECONDS_S:.0f} s',
        worst <= FEW_SECONDS_S,
    )


def leaves() -> Row:
    """Return when the last node drops one that leaves, the log down."""
    fleet = settled()
    fleet.log_up = False
    victim = victim_of(fleet)
    victim.leave()
    worst = gone_s(fleet, lambda member: member == victim.member)
    return Row(
        'membership: a node leaves, the log down, the last one drops it',
        f'{worst:.1f} s',
        f'at most {FEW_SECONDS_S:.0f} s',
        worst <= FEW_SECONDS_S,
    )


def gone_s(fleet: MemberFleet, is_gone: Callable[[Member], bool]) -> float:
    """Return after how long no node gives work to some members any more."""
    began_s = fleet.world.now_s
    for tenth in range(1, 300):
        fleet.world.run(began_s + tenth / 10)
        live_members = chain.from_iterable(
            node.machine.live_members() for node in fleet.live()
        )
        if not any(map(is_gone, live_members)):
            return tenth / 10
    return NEVER_S


def settled(seed: int = 3) -> MemberFleet:
    """Return a small fleet of real machines that all know each other."""
    fleet = MemberFleet(seed, *SMALL)
    fleet.world.run(WARM_S + COUNTED_S)
    return fleet


def victim_of(fleet: MemberFleet) -> VirtualMember:
    """Return the node that a fault hits."""
    return fleet.nodes[NodeId('node-00007')]


def last_drop_s(fleet: MemberFleet, victim: VirtualMember) -> float:
    """Return when the last node that has to know a victim dropped it."""
    near = victim.member.failure_domain
    service = victim.member.service
    concerned = [
        node
        for node in fleet.live()
        if service in node.interest or node.member.failure_domain == near
    ]
    return max(
        dropped_s(node, victim) for node in concerned if node is not victim
    )


def dropped_s(node: VirtualMember, victim: VirtualMember) -> float:
    """Return when a node first took another for lost."""
    times = (
        lost_s
        for lost_s, news in node.lost
        if news.node_id == victim.member.node_id
    )
    return next(times, NEVER_S)


def rows() -> Iterator[Row]:
    """Yield the rows of this bench."""
    for size in SIZES:
        yield control_bytes(*size)
    yield killed()
    yield leaves()
    yield from paused()
    yield domain_lost()
