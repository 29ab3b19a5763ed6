"""A few real machines within a fleet of any size; the rest only answer.

What a node does depends on the members that it knows and on the messages
that come in, so the others need no machines: they answer probes, probe at
the usual rate, carry the usual news, and subscribe.
"""

from random import Random

from bench.membership_world import MemberFleet, VirtualMember, member_of
from rattanstile.process.membership.directory import paginate
from rattanstile.process.membership.gossip import (
    PROBE_PERIOD_S,
    MAX_UPDATES_PER_MESSAGE,
)
from rattanstile.process.membership.membership import SUBSCRIBE_PERIOD_S
from rattanstile.process.membership.membership_messages import (
    Ack,
    DomainSummary,
    InterestChanged,
    JoinResponse,
    MemberState,
    Ping,
    PingRequest,
    Subscribe,
    Update,
)
from rattanstile.request.envelope import Member
from rattanstile.request.ids import NodeId, ServiceName

RESTARTS_A_DAY = 5600
PEAK_FACTOR = 10
"""Restarts come in waves: the churn is that of ten times the day's mean."""
NEWS_S = 15.0
LIVE = 20
RESTART_S = 4.0


def update_of(member: Member) -> Update:
    """Return the news that a member lives."""
    return Update(
        member.node_id, member.incarnation, MemberState.ALIVE, 0, member
    )


class SampledFleet(MemberFleet):
    """Some processes of one failure domain, its directories among them."""

    def __init__(
        self, seed: int, count: int, domains: int, services: int
    ) -> None:
        """Start the sample, with every member known."""
        super().__init__(seed, 0, domains, services)
        self.size = count
        members = [member_of(one, domains, services) for one in range(count)]
        self.fakes = {member.node_id: member for member in members}
        self.near = [
            one
            for one in self.fakes.values()
            if one.failure_domain == 'domain-00'
        ]
        self.news: list[tuple[float, Update]] = []
        self.log_up = False
        self.start_sample()
        self.world.after(0, self.churn)
        for node in self.live():
            self.probe_by_others(node)
            if node.member.node_id in node.machine.directories():
                self.subscribe_by_others(node)

    def start_sample(self) -> None:
        """Start the directories of the domain and some further nodes."""
        probe = VirtualMember(self, self.near[0], (), ())
        self._tell(probe, self.near)
        probe.alive = False
        directories = probe.machine.directories()
        chosen = [self.fakes[node_id] for node_id in directories]
        chosen += [one for one in self.near if one not in chosen]
        for member in chosen[:LIVE]:
            interest = tuple(
                ServiceName(
                    f'service-{self.random.randrange(self.services):03}'
                )
                for _ in range(5)
            )
            node = VirtualMember(self, member, (), ())
            self.nodes[member.node_id] = node
            self._tell(node, self.near)
            is_directory = member.node_id in directories
            self._tell(
                node,
                [
                    one
                    for one in self.fakes.values()
                    if is_directory or one.service in interest
                ],
            )
            node.take(InterestChanged(interest))
            node.traffic.sent_bytes = 0

    def churn(self) -> None:
        """Restart a member of the domain, as often as its share is due."""
        rate_per_s = (
            RESTARTS_A_DAY * PEAK_FACTOR / 86_400 * self.size / 14_000
        ) / self.domains
        self.world.after(
            self.random.expovariate(rate_per_s) if rate_per_s else 1e9,
            self.churn,
        )
        if not self.world.now_s:
            return
        member = self.random.choice(self.near)
        if member.node_id not in self.nodes:
            newer = Member(
                node_id=member.node_id,
                incarnation=member.incarnation + int(self.world.now_s * 1000),
                service=member.service,
                failure_domain=member.failure_domain,
                address=member.address,
                control_address=member.control_address,
            )
            joined = update_of(newer)
            left = Update(member.node_id, member.incarnation, MemberState.LEFT)
            self.news.append((self.world.now_s, left))
            self.world.after(
                RESTART_S, lambda: self.news.append((self.world.now_s, joined))
            )
            self.fakes[member.node_id] = newer

    def updates(self) -> tuple[Update, ...]:
        """Return the news that the other nodes now carry."""
        fresh = [
            update
            for told_s, update in self.news
            if self.world.now_s < told_s + NEWS_S
        ]
        return tuple(fresh[-MAX_UPDATES_PER_MESSAGE:])

    def probe_by_others(self, node: VirtualMember) -> None:
        """Probe a live node as often as the others do."""
        self.world.after(
            self.random.expovariate(1 / PROBE_PERIOD_S),
            lambda: self.probe_by_others(node),
        )
        sender = self.random.choice(self.near)
        ping = Ping(1, sender.incarnation, self.updates())
        self._deliver(sender.node_id, node, ping)

    def subscribe_by_others(self, node: VirtualMember) -> None:
        """Subscribe at a directory as often as its part of the domain does."""
        rate_per_s = len(self.near) / 3 / SUBSCRIBE_PERIOD_S
        self.world.after(
            self.random.expovariate(rate_per_s),
            lambda: self.subscribe_by_others(node),
        )
        sender = self.random.choice(self.near)
        random = Random(sender.node_id)
        services = tuple(
            ServiceName(f'service-{random.randrange(self.services):03}')
            for _ in range(5)
        )
        digest = node.machine.digest(services)
        self._deliver(sender.node_id, node, Subscribe(services, digest))

    def send(self, sender: VirtualMember, receiver: NodeId, control) -> None:
        """Carry a message; a fake member answers as a real one would."""
        super().send(sender, receiver, control)
        fake = self.fakes.get(receiver)
        if fake is None or receiver in self.nodes:
            return
        match control:
            case Ping(sequence=sequence):
                answer = Ack(sequence, fake.incarnation, self.updates())
                self._deliver(receiver, sender, answer)
            case PingRequest(sequence=sequence):
                self._deliver(receiver, sender, Ack(sequence, 0))
            case DomainSummary(is_reply_requested=True):
                digest = sender.machine.domain_digest(fake.failure_domain)
                answer = DomainSummary(fake.failure_domain, digest, False)
                self._deliver(receiver, sender, answer)
                asked = DomainSummary(fake.failure_domain, digest, True)
                self._deliver(receiver, sender, asked)

    def _deliver(self, sender: NodeId, node: VirtualMember, control) -> None:
        encoded_bytes = self.encoded_bytes(control)
        self.world.after(
            0.002, lambda: node.arrived(sender, encoded_bytes, control)
        )

    def _tell(self, node: VirtualMember, members: list[Member]) -> None:
        pages = paginate([update_of(member) for member in members])
        for page, updates in enumerate(pages):
            answer = JoinResponse(page, len(pages), tuple(updates))
            node.arrived(NodeId('seed'), 0, answer)
