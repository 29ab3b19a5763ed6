"""Takes what other nodes send, and tells them of this one."""

from collections.abc import Iterable

from rattanstile.connection.peer_messages import (
    CallCancellation,
    CallResponse,
    CallRequest,
    ConfigNotice,
    ConfigResponse,
    ConfigRequest,
    ShutdownNotice,
    MembersResponse,
    MembersRequest,
    PeerHello,
    PeerMember,
    PeerMessage,
    DemandReport,
    RateSharesResponse,
    StatusReport,
    TargetLoad,
    TokenResponse,
    TokenRequest,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.decision_log import Kind
from rattanstile.process.mesh.call_endings import encode_ending
from rattanstile.process.mesh.config_relay import ConfigRelay
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry_handler import EntryHandler
from rattanstile.process.mesh.placement import Candidate
from rattanstile.process.mesh.rate_service import RateService
from rattanstile.process.mesh.serving_handler import ServingHandler
from rattanstile.request.exchange import Ending, ServiceUsage
from rattanstile.request.ids import NodeId

USAGE_REPORT_PERIOD_S = 0.2
"""How often a peer is told what a route takes."""
BUSY_SHARE = 0.6
"""From this part of its capacity on, a target's load is told to all nodes."""
BUSY_PERIOD_S = 0.2
"""How often a busy load is told, a little less than the check of it."""
FLEET_TOLD_EACH_TIME = 40
"""Nodes up to which the period holds; it grows in proportion beyond."""
CHANGED_SHARE = 0.3
"""A capacity that changes by more is told, as when a target gets warm."""
INCARNATION_BITS = 48
MOST_MEMBERS_ASKED = 3
"""Peers that a node asks for the others while it can't read them itself."""


class PeerDesk:
    """The node as its peers see it.

    Args:
        context: What the parts of the node share.
        address: Where peers reach this node.
    """

    def __init__(self, context: NodeContext, address: str) -> None:
        """Begin without parts; `join` is called before anything runs."""
        self._context = context
        self._address = address
        self._incarnation = context.rng.getrandbits(INCARNATION_BITS)
        self._needs_told_s: dict[tuple[NodeId, str], float] = {}
        self._is_busy_told = False
        self._capacity_told = 0
        self._busy_due_s = 0.0
        self._members_asked = 0

    def join(
        self,
        peers: PeerPool,
        entry: EntryHandler,
        serving: ServingHandler,
        rates: RateService,
        relay: ConfigRelay,
    ) -> None:
        """Learn the other parts of the node."""
        self._peers = peers
        self._entry = entry
        self._serving = serving
        self._rates = rates
        self._relay = relay

    # What peers are told

    def hello(self) -> PeerHello:
        """Return this node's first message."""
        return PeerHello(
            node_id=self._context.node_id,
            address=self._address,
            service=self._serving.watch.service,
            domain=self._context.domain,
            incarnation=self._incarnation,
            offset=self._context.state().offset,
            load=self._serving.load(),
            reads=self._relay.reads,
        )

    def neighbours(self) -> set[NodeId]:
        """Return the connected nodes of the own failure domain."""
        domain = self._context.domain
        candidates = self._entry.attempts.candidates.values()
        return {one.node_id for one in candidates if one.domain == domain}

    def member(self) -> PeerMember:
        """Return what later nodes are to know of this one."""
        watch = self._serving.watch
        return PeerMember(
            self._context.node_id,
            self._address,
            watch.service,
            self._context.domain,
            watch.last_departure.target_id,
            watch.last_departure.born_ms,
        )

    def status_changed(self) -> None:
        """Tell all nodes that the target has changed."""
        self._peers.broadcast(
            StatusReport(self._serving.watch.service, self._serving.load())
        )
        self._entry.peers_changed()

    def tell_if_busy(self, now_s: float) -> None:
        """Tell all nodes the load while they need it to admit requests."""
        load = self._serving.load()
        capacity = load.capacity_deci_per_s
        is_busy = load.offered_deci_per_s > capacity * BUSY_SHARE
        change = abs(capacity - self._capacity_told)
        is_changed = change > CHANGED_SHARE * self._capacity_told
        is_due = now_s >= self._busy_due_s
        if is_changed or (is_due and (is_busy or self._is_busy_told)):
            # All nodes tell all nodes, so in larger fleets each tells less.
            fleet_size = max(1.0, self._peers.fleet_size() / FLEET_TOLD_EACH_TIME)
            self._busy_due_s = now_s + BUSY_PERIOD_S * fleet_size
            self._is_busy_told = is_busy
            self._capacity_told = capacity
            self.status_changed()

    # Connections

    def peer_ready(self, link: PeerLink) -> None:
        """Serve with a peer from now on."""
        hello = link.hello
        if hello is None:
            return
        candidate = Candidate(
            hello.node_id, hello.service, hello.domain, TargetLoad()
        )
        candidate.told(hello.load, self._context.timers.now_s())
        self._entry.attempts.add_candidate(candidate)
        self._context.log.write(
            Kind.PEER,
            'peer_ready',
            peer=hello.node_id,
            service=hello.service,
            domain=hello.domain,
            usable=hello.load.is_usable,
        )
        self._relay.noticed(hello.node_id, hello.offset, reads=hello.reads)
        self._entry.peers_changed()

    def peer_lost(self, link: PeerLink) -> None:
        """Serve without a peer from now on."""
        self._entry.attempts.remove_candidate(link.node_id)
        self._context.log.write(
            Kind.PEER, 'peer_lost', peer=link.node_id, awaited_responses=link.awaited_responses
        )
        self._rates.peer_lost(link.node_id)
        self._entry.attempts.peer_lost(link.node_id)

    def peer_joined(self, link: PeerLink) -> None:
        """Get to know a node that opened a connection to this one."""
        hello = link.hello
        if hello is None:
            return
        self._peers.add_member(
            PeerMember(
                hello.node_id, hello.address, hello.service, hello.domain
            )
        )
        self._peers.connect_now(hello.node_id)
        if self._members_asked < MOST_MEMBERS_ASKED:
            self._members_asked += 1
            link.send(MembersRequest())

    def peer_left(self, link: PeerLink) -> None:
        """Drop the calls of a node whose connection is gone."""
        for key in self._serving.keys_of(link):
            self._serving.cancel(key)

    # Messages

    def peer_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Take a message."""
        match message:
            case CallRequest():
                self._serve(link, message)
            case CallResponse():
                link.awaited_responses = max(0, link.awaited_responses - 1)
                self._entry.attempts.peer_call_ended(link.node_id, message)
            case CallCancellation(sequence):
                self._serving.cancel((link, sequence))
            case StatusReport():
                self._status_told(link, message)
            case ConfigNotice() | ConfigRequest() | ConfigResponse():
                self._relay.message(link, message)
            case DemandReport() | RateSharesResponse() | TokenRequest() | TokenResponse():
                self._rates.message(link, message)
            case ShutdownNotice():
                self._peers.mark_left(link.node_id)
                self._told(link.node_id, TargetLoad())
            case MembersRequest():
                link.send(MembersResponse(self._peers.known_members()))
            case MembersResponse(members):
                self._members_told(members)

    def members_read(self, members: Iterable[PeerMember]) -> None:
        """Get to know the nodes that have announced themselves."""
        self._members_asked = MOST_MEMBERS_ASKED
        for member in members:
            if member.node_id != self._context.node_id:
                self._peers.add_member(member)

    def _members_told(self, members: tuple[PeerMember, ...]) -> None:
        known_members = {member.node_id for member in self._peers.known_members()}
        known_members.add(self._context.node_id)
        for member in members:
            if member.node_id not in known_members:
                self._peers.add_member(member)

    def _status_told(self, link: PeerLink, message: StatusReport) -> None:
        candidate = self._entry.attempts.candidates.get(link.node_id)
        if candidate is not None:
            self._entry.attempts.set_service(candidate, message.service)
            self._told(link.node_id, message.load)
            self._entry.peers_changed()

    def _told(self, node_id: NodeId, load: TargetLoad) -> None:
        candidate = self._entry.attempts.candidates.get(node_id)
        if candidate is not None:
            candidate.told(load, self._context.timers.now_s())

    def _serve(self, link: PeerLink, message: CallRequest) -> None:
        route = message.call.route

        def ended(ending: Ending) -> None:
            load = self._serving.load()
            usage = self._usage_due(link.node_id, route)
            link.send(encode_ending(message.sequence, ending, load, usage))

        self._serving.begin((link, message.sequence), message.call, ended)

    def _usage_due(
        self, node_id: NodeId, route: str
    ) -> tuple[ServiceUsage, ...]:
        """Return what a route takes, if the peer wasn't told a moment ago."""
        now_s = self._context.timers.now_s()
        told_s = self._needs_told_s.get((node_id, route), float('-inf'))
        if now_s - told_s < USAGE_REPORT_PERIOD_S:
            return ()
        self._needs_told_s[node_id, route] = now_s
        return self._serving.usage(route, self._entry.attempts.usage)
