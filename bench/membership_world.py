"""Virtual fleet around the membership machines, counting encoded bytes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import msgspec

from bench.rates_world import World
from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.membership.membership import TICK_S, Membership
from rattanstile.process.membership.membership_messages import (
    InterestChanged,
    LeaveBegan,
    MemberLost,
    MembersChanged,
)
from rattanstile.process.messages import Ticked
from rattanstile.request.envelope import Member
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

LINK_S = 0.001
ACROSS_S = 0.03
READ_S = 0.5
SERVICES = 660
INTEREST = 5


def member_of(
    index: int, domains: int, services: int, incarnation: int = 1
) -> Member:
    """Return a member with ids and addresses of the usual length."""
    high, low = divmod(index, 250)
    host = f'10.{index % domains}.{high}.{low}'
    return Member(
        node_id=NodeId(f'node-{index:05}'),
        incarnation=1_700_000_000_000 + incarnation,
        service=ServiceName(f'service-{index // domains % services:03}'),
        failure_domain=FailureDomainId(f'domain-{index % domains:02}'),
        address=f'{host}:9000',
        control_address=f'{host}:9001',
    )


@dataclass(slots=True)
class Traffic:
    """Bytes and messages of one node."""

    sent_bytes: int = 0
    received_bytes: int = 0
    messages: int = 0

    def total(self) -> int:
        """Return bytes sent and received."""
        return self.sent_bytes + self.received_bytes


@dataclass(slots=True)
class VirtualMember:
    """One process with its machine."""

    fleet: 'MemberFleet'
    member: Member
    seeds: tuple[NodeId, ...]
    interest: tuple[ServiceName, ...]
    traffic: Traffic = field(default_factory=Traffic)
    alive: bool = True
    paused: bool = False
    read: int = 0
    views: dict[ServiceName, set[NodeId]] = field(default_factory=dict)
    lost: list[tuple[float, MemberLost]] = field(default_factory=list)
    machine: Membership = field(init=False)
    _kept: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the machine and its ticks."""
        index = int(self.member.node_id[5:])
        self.machine = Membership(self.member, self.seeds, Random(index))
        world = self.fleet.world
        world.after(world.random.random() * TICK_S, self.tick)
        world.after(world.random.random() * READ_S, self.read_log)
        self.take(InterestChanged(self.interest))

    def tick(self) -> None:
        """Tick, and again after a period."""
        if self.alive:
            self.fleet.world.after(TICK_S, self.tick)
            if not self.paused:
                self.take(Ticked())

    def read_log(self) -> None:
        """Read what is new in the log, if this node has to."""
        if not self.alive:
            return
        self.fleet.world.after(READ_S, self.read_log)
        if self.paused or not self.fleet.log_up:
            return
        if self.machine.should_read_log():
            for record in self.fleet.records[self.read :]:
                self.take(LogRecordRead('members', record))
            self.read = len(self.fleet.records)

    def arrived(self, sender: NodeId, encoded_bytes: int, message) -> None:
        """Take a message, now or after the pause."""
        if not self.alive:
            return
        if self.paused:
            self._kept.append(
                partial(self.arrived, sender, encoded_bytes, message)
            )
            return
        self.traffic.received_bytes += encoded_bytes
        self.take(ControlArrived(sender, message))

    def resume(self) -> None:
        """Go on after a pause."""
        self.paused = False
        kept = self._kept
        self._kept = []
        self.take(Ticked())
        for action in kept:
            action()

    def leave(self) -> None:
        """Drain and leave."""
        self.take(LeaveBegan())

    def take(self, message) -> None:
        """Step the machine and carry out its outputs."""
        now_s = self.fleet.world.now_s
        for output in self.machine.step(now_s, message):
            match output:
                case SendControl(receiver, control):
                    self.fleet.send(self, receiver, control)
                case AppendRecord(_, record):
                    self.fleet.append(record)
                case MembersChanged(service, members):
                    self.views[service] = {one.node_id for one in members}
                case MemberLost():
                    self.lost.append((now_s, output))


class MemberFleet:
    """Processes, links and the log."""

    def __init__(
        self, seed: int, count: int, domains: int, services: int
    ) -> None:
        """Start every process; the log is up."""
        self.world = World(Random(seed))
        self.random = Random(seed + 1)
        self.domains = domains
        self.services = services
        self.records: list[msgspec.Struct] = []
        self.log_up = True
        self.nodes: dict[NodeId, VirtualMember] = {}
        for index in range(count):
            self.start(member_of(index, domains, services))

    def start(self, member: Member) -> VirtualMember:
        """Start a process; it joins through a random one."""
        seeds: tuple[NodeId, ...] = ()
        if self.nodes:
            seeds = (self.random.choice(list(self.nodes)),)
        interest = tuple(
            ServiceName(f'service-{self.random.randrange(self.services):03}')
            for _ in range(INTEREST)
        )
        node = VirtualMember(self, member, seeds, interest)
        self.nodes[member.node_id] = node
        return node

    def live(self) -> Iterable[VirtualMember]:
        """Return the processes that run."""
        return [node for node in self.nodes.values() if node.alive]

    def append(self, record: msgspec.Struct) -> None:
        """Append a record, unless the log is down."""
        if self.log_up:
            self.world.after(LINK_S, partial(self.records.append, record))

    def encoded_bytes(self, control) -> int:
        """Return the size of a message as it is sent."""
        return len(msgspec.msgpack.encode(control))

    def send(self, sender: VirtualMember, receiver: NodeId, control) -> None:
        """Carry a message and count its bytes at both ends."""
        encoded_bytes = self.encoded_bytes(control)
        sender.traffic.sent_bytes += encoded_bytes
        sender.traffic.messages += 1
        node = self.nodes.get(receiver)
        if node is None:
            return
        is_near = node.member.failure_domain == sender.member.failure_domain
        delay_s = LINK_S if is_near else ACROSS_S
        arrived = partial(
            node.arrived, sender.member.node_id, encoded_bytes, control
        )
        self.world.after(delay_s * self.random.uniform(0.8, 1.2), arrived)
