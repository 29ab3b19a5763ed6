"""Handles the messages of other nodes and reports this node to them."""

from collections.abc import Iterable

from rattanstile.connection.peer_messages import (
    AnswerCredit,
    AnswerPart,
    AnswerStart,
    CallCancellation,
    CallRequest,
    CallResponse,
    ConfigNotice,
    ConfigRequest,
    ConfigResponse,
    DemandReport,
    MembersRequest,
    MembersResponse,
    PeerHello,
    PeerMember,
    PeerMessage,
    RateSharesResponse,
    ShutdownNotice,
    StatusReport,
    TargetLoad,
    TokenRequest,
    TokenResponse,
)
from rattanstile.connection.peer_pool import PeerLink, PeerPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.call_endings import encode_ending
from rattanstile.process.mesh.config_relay import ConfigRelay
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry_handler import EntryHandler
from rattanstile.process.mesh.placement import Candidate
from rattanstile.process.mesh.rate_service import RateService
from rattanstile.process.mesh.serving_handler import ServingHandler
from rattanstile.request.exchange import AnswerHead, Ending, ServiceUsage
from rattanstile.request.ids import NodeId

USAGE_REPORT_PERIOD_S = 0.2
"""Minimum time between reports of the usage of a route to a peer."""
BUSY_SHARE = 0.6
"""Offered share of its capacity above which a target's load is broadcast."""
BUSY_REPORT_PERIOD_S = 0.2
"""Minimum time between load reports while the target is busy; slightly less
than the period of the check."""
FULL_RATE_FLEET_NODES = 40
"""Fleet size up to which `BUSY_REPORT_PERIOD_S` applies; above it the period
grows in proportion to the number of nodes."""
CAPACITY_CHANGE_SHARE = 0.3
"""Relative change of capacity that is reported, as when a target warms up."""
INCARNATION_BITS = 48
MAX_MEMBER_REQUESTS = 3
"""Peers asked for the member list until the node has read it from the store."""


class _PeerAnswerSink:
    """Sends an answer in parts to the peer that sent the call.

    Args:
        link: Connection to the peer.
        sequence: Number of the attempt among those of the peer.
    """

    def __init__(self, link: PeerLink, sequence: int) -> None:
        self._link = link
        self._sequence = sequence

    def begin_answer(self, head: AnswerHead) -> None:
        self._link.send(AnswerStart(self._sequence, head))

    def add_part(self, part: bytes) -> None:
        self._link.send(AnswerPart(self._sequence, part))


class PeerMessageHandler:
    """Represents this node to its peers.

    Args:
        context: State that the components of the node share.
        address: Address at which peers connect to this node.
    """

    def __init__(self, context: NodeContext, address: str) -> None:
        """Initialize without components; call `attach` before use."""
        self._context = context
        self._address = address
        self._incarnation = context.rng.getrandbits(INCARNATION_BITS)
        self._usage_sent_s: dict[tuple[NodeId, str], float] = {}
        self._is_busy_sent = False
        self._capacity_sent = 0
        self._busy_due_s = 0.0
        self._member_requests = 0

    def attach(
        self,
        peers: PeerPool,
        entry: EntryHandler,
        serving: ServingHandler,
        rates: RateService,
        relay: ConfigRelay,
    ) -> None:
        """Set the other components of the node."""
        self._peers = peers
        self._entry = entry
        self._serving = serving
        self._rates = rates
        self._relay = relay

    # Reports to peers

    def hello(self) -> PeerHello:
        """Return the first message on a connection."""
        return PeerHello(
            node_id=self._context.node_id,
            address=self._address,
            service=self._serving.watch.service,
            domain=self._context.domain,
            incarnation=self._incarnation,
            offset=self._context.state().offset,
            load=self._serving.load(),
            reads=self._relay.reads,
            takes_parts=True,
        )

    def neighbours(self) -> set[NodeId]:
        """Return the connected nodes in this node's failure domain."""
        domain = self._context.domain
        candidates = self._entry.attempts.candidates.values()
        return {each.node_id for each in candidates if each.domain == domain}

    def member(self) -> PeerMember:
        """Return the member entry by which other nodes find this one."""
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
        """Broadcast the service and the load of the target."""
        self._peers.broadcast(
            StatusReport(self._serving.watch.service, self._serving.load())
        )
        self._entry.peers_changed()

    def broadcast_if_busy(self, now_s: float) -> None:
        """Broadcast the load while other nodes need it to admit requests."""
        load = self._serving.load()
        capacity = load.capacity_deci_per_s
        is_busy = load.offered_deci_per_s > capacity * BUSY_SHARE
        change = abs(capacity - self._capacity_sent)
        is_changed = change > CAPACITY_CHANGE_SHARE * self._capacity_sent
        is_due = now_s >= self._busy_due_s
        if is_changed or (is_due and (is_busy or self._is_busy_sent)):
            # All nodes report to all nodes: in larger fleets each one reports
            # less often.
            period_factor = max(
                1.0, self._peers.fleet_size() / FULL_RATE_FLEET_NODES
            )
            self._busy_due_s = now_s + BUSY_REPORT_PERIOD_S * period_factor
            self._is_busy_sent = is_busy
            self._capacity_sent = capacity
            self.status_changed()

    # Connections

    def peer_ready(self, link: PeerLink) -> None:
        """Add a peer to the candidates for calls."""
        hello = link.hello
        if hello is None:
            return
        candidate = Candidate(
            hello.node_id, hello.service, hello.domain, TargetLoad()
        )
        candidate.update_load(hello.load, self._context.timers.now_s())
        self._entry.attempts.add_candidate(candidate)
        self._context.log.write(
            LineKind.PEER,
            'peer_ready',
            peer=hello.node_id,
            service=hello.service,
            domain=hello.domain,
            usable=hello.load.is_usable,
        )
        self._relay.notice_received(
            hello.node_id, hello.offset, reads=hello.reads
        )
        self._entry.peers_changed()

    def peer_lost(self, link: PeerLink) -> None:
        """Remove a peer from the candidates and end the attempts sent to it."""
        self._entry.attempts.remove_candidate(link.node_id)
        self._context.log.write(
            LineKind.PEER,
            'peer_lost',
            peer=link.node_id,
            owed=link.awaited_responses,
        )
        self._rates.peer_lost(link.node_id)
        self._entry.attempts.peer_lost(link.node_id)

    def peer_joined(self, link: PeerLink) -> None:
        """Connect to a node that opened a connection to this one."""
        hello = link.hello
        if hello is None:
            return
        self._peers.add_member(
            PeerMember(
                hello.node_id, hello.address, hello.service, hello.domain
            )
        )
        self._peers.connect_now(hello.node_id)
        if self._member_requests < MAX_MEMBER_REQUESTS:
            self._member_requests += 1
            link.send(MembersRequest())

    def peer_left(self, link: PeerLink) -> None:
        """Cancel the calls of a node whose connection closed."""
        for key in self._serving.keys_of(link):
            self._serving.cancel(key)

    # Messages

    def peer_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Dispatch a message to the component that handles it."""
        match message:
            case CallRequest():
                self._serve(link, message)
            case CallResponse():
                link.awaited_responses = max(0, link.awaited_responses - 1)
                self._entry.attempts.peer_call_ended(link.node_id, message)
            case AnswerStart(sequence, head):
                self._entry.attempts.answer_began(sequence, head)
            case AnswerPart(sequence, part):
                self._entry.attempts.answer_part_received(sequence, part)
            case AnswerCredit(sequence, size_bytes):
                self._serving.answer_taken((link, sequence), size_bytes)
            case CallCancellation(sequence):
                self._serving.cancel((link, sequence))
            case StatusReport():
                self._status_received(link, message)
            case ConfigNotice() | ConfigRequest() | ConfigResponse():
                self._relay.message(link, message)
            case (
                DemandReport()
                | RateSharesResponse()
                | TokenRequest()
                | TokenResponse()
            ):
                self._rates.message(link, message)
            case ShutdownNotice():
                self._peers.mark_left(link.node_id)
                self._update_load(link.node_id, TargetLoad())
            case MembersRequest():
                link.send(MembersResponse(self._peers.known_members()))
            case MembersResponse(members):
                self._members_received(members)

    def members_read(self, members: Iterable[PeerMember]) -> None:
        """Connect to the members that were read from the store."""
        self._member_requests = MAX_MEMBER_REQUESTS
        for member in members:
            if member.node_id != self._context.node_id:
                self._peers.add_member(member)

    def _members_received(self, members: tuple[PeerMember, ...]) -> None:
        known_ids = {member.node_id for member in self._peers.known_members()}
        known_ids.add(self._context.node_id)
        for member in members:
            if member.node_id not in known_ids:
                self._peers.add_member(member)

    def _status_received(self, link: PeerLink, message: StatusReport) -> None:
        candidate = self._entry.attempts.candidates.get(link.node_id)
        if candidate is not None:
            self._entry.attempts.set_service(candidate, message.service)
            self._update_load(link.node_id, message.load)
            self._entry.peers_changed()

    def _update_load(self, node_id: NodeId, load: TargetLoad) -> None:
        candidate = self._entry.attempts.candidates.get(node_id)
        if candidate is not None:
            candidate.update_load(load, self._context.timers.now_s())

    def _serve(self, link: PeerLink, message: CallRequest) -> None:
        route = message.call.route

        def send_ending(ending: Ending) -> None:
            load = self._serving.load()
            usage = self._usage_to_send(link.node_id, route)
            link.send(encode_ending(message.sequence, ending, load, usage))

        hello = link.hello
        sink = None
        if hello is not None and hello.takes_parts:
            sink = _PeerAnswerSink(link, message.sequence)
        self._serving.begin(
            (link, message.sequence), message.call, send_ending, sink
        )

    def _usage_to_send(
        self, node_id: NodeId, route: str
    ) -> tuple[ServiceUsage, ...]:
        """Return the usage of a route; empty if the peer got them recently."""
        now_s = self._context.timers.now_s()
        sent_s = self._usage_sent_s.get((node_id, route), float('-inf'))
        if now_s - sent_s < USAGE_REPORT_PERIOD_S:
            return ()
        self._usage_sent_s[node_id, route] = now_s
        return self._serving.usage(route, self._entry.attempts.usage)
