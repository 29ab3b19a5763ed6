"""Handles the messages of other nodes and reports this node to them."""

from collections.abc import Iterable

from rattanstile.connection.peer_link import PeerLink
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
    DomainReport,
    FleetLoad,
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
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.connection.request_memory import SERVED_COPIES
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry.entry_handler import EntryHandler
from rattanstile.process.mesh.fleet.fleet_links import FleetLinks
from rattanstile.process.mesh.fleet.load_reports import LoadReports
from rattanstile.process.mesh.placement.call_endings import encode_ending
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.rates.rate_service import RateService
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.process.mesh.store.config_relay import ConfigRelay
from rattanstile.request.exchange import (
    AnswerHead,
    Ending,
    NotRun,
    NotRunReason,
    ServiceUsage,
)
from rattanstile.request.ids import NodeId

USAGE_REPORT_PERIOD_S = 0.2
"""Minimum time between reports of the usage of a route to a peer."""
MAX_USAGE_ROUTES = 1000
"""Routes of which it is known when their usage was reported to a peer; beyond
it, some are reported once more than needed."""
INCARNATION_BITS = 48
MEMBERS_WAIT_S = 0.5
"""Time for which a node that starts waits for the member list of the store
before it asks its peers for theirs."""
MEMBERS_REQUEST_PERIOD_S = 1.0


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
        self._held_bytes: dict[tuple[PeerLink, int], int] = {}
        self._usage_sent_s: dict[NodeId, dict[str, float]] = {}
        self._reports = LoadReports()
        self._are_members_read = False
        self._members_due_s = context.timers.now_s() + MEMBERS_WAIT_S

    def attach(
        self,
        peers: PeerPool,
        links: FleetLinks,
        entry: EntryHandler,
        serving: ServingHandler,
        rates: RateService,
        relay: ConfigRelay,
    ) -> None:
        """Set the other components of the node."""
        self._peers = peers
        self._links = links
        self._candidates = links.candidates
        self._entry = entry
        self._serving = serving
        self._rates = rates
        self._relay = relay

    # Reports to peers

    def hello(self) -> PeerHello:
        """Return the first message on a connection."""
        notice = self._relay.notice()
        return PeerHello(
            node_id=self._context.node_id,
            address=self._address,
            service=self._serving.watch.service,
            domain=self._context.domain,
            incarnation=self._incarnation,
            offset=notice.offset,
            load=self._serving.load(),
            reads=notice.reads,
            takes_parts=True,
            era=notice.era,
            version=notice.version,
            kept=notice.kept,
            confirmed_ms=notice.confirmed_ms,
            target_version=self._serving.watch.version,
        )

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
        """Report the service and the load of the target."""
        self._peers.broadcast(
            StatusReport(
                self._serving.watch.service,
                self._serving.load(),
                self._serving.watch.version,
            ),
            near_only=False,
        )
        self._entry.peers_changed()

    def check(self, now_s: float) -> None:
        """Report the load if it is due, and ask for missing members."""
        receivers = len(self._peers.links)
        if self._reports.is_due(now_s, self._serving.load(), receivers):
            self.status_changed()
        if not self._are_members_read and now_s >= self._members_due_s:
            self._members_due_s = now_s + MEMBERS_REQUEST_PERIOD_S
            self._request_members()

    def serves_calls_of(self, link: PeerLink) -> bool:
        """Return whether calls received on a connection are in progress."""
        return bool(self._serving.keys_of(link))

    # Connections

    def peer_ready(self, link: PeerLink) -> None:
        """Add a peer to the candidates for calls."""
        hello = link.hello
        if hello is None:
            return
        candidate = Candidate(
            hello.node_id, hello.service, hello.domain, TargetLoad()
        )
        candidate.version = hello.target_version
        candidate.update_load(hello.load, self._context.timers.now_s())
        self._candidates.add(candidate)
        self._context.log.write(
            LineKind.PEER,
            'peer_ready',
            peer=hello.node_id,
            service=hello.service,
            domain=hello.domain,
            usable=hello.load.is_usable,
        )
        self._relay.notice_received(
            link,
            ConfigNotice(
                hello.offset,
                hello.reads,
                hello.era,
                hello.version,
                hello.kept,
                hello.confirmed_ms,
            ),
        )
        self._entry.peers_changed()

    def peer_joined(self, link: PeerLink) -> None:
        """Connect to a node that opened a connection to this one."""
        self._links.add_members(())
        self._peers.connect_now(link.node_id)

    def peer_lost(self, link: PeerLink) -> None:
        """End the attempts sent on a connection and cancel its calls."""
        node_id = link.node_id
        if self._peers.link_to(node_id) is None:
            self._candidates.remove(node_id)
            self._rates.peer_lost(node_id)
            self._usage_sent_s.pop(node_id, None)
        self._context.log.write(
            LineKind.PEER,
            'peer_lost',
            peer=node_id,
            owed=link.awaited_responses,
        )
        self._entry.attempts.link_lost(link)
        for key in self._serving.keys_of(link):
            self._serving.cancel(key)
        for call_key in tuple(self._held_bytes):
            if call_key[0] is link:
                self._release_call(call_key)

    # Messages

    def peer_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Dispatch a message to the component that handles it."""
        match message:
            case CallRequest():
                self._serve(link, message)
            case CallResponse():
                link.response_received()
                self._entry.attempts.peer_call_ended(link, message)
            case AnswerStart(sequence, head):
                self._entry.attempts.answer_began(sequence, head)
            case AnswerPart(sequence, part):
                self._entry.attempts.answer_part_received(sequence, part)
            case AnswerCredit(sequence, size_bytes):
                self._serving.answer_taken((link, sequence), size_bytes)
            case CallCancellation(sequence):
                self._cancel(link, sequence)
            case StatusReport():
                self._status_received(link, message)
            case ConfigNotice() | ConfigRequest() | ConfigResponse():
                self._relay.message(link, message)
            case (
                DemandReport()
                | DomainReport()
                | RateSharesResponse()
                | FleetLoad()
                | TokenRequest()
                | TokenResponse()
            ):
                self._rates.message(link, message)
            case ShutdownNotice():
                self._peers.mark_left(link.node_id)
                self._load_received(link, TargetLoad())
            case MembersRequest():
                link.send(MembersResponse(self._peers.known_members()))
            case MembersResponse(members):
                self._links.add_members(self._unknown(members))

    def members_read(self, members: Iterable[PeerMember]) -> None:
        """Add the members that were read from the store."""
        self._are_members_read = True
        self._links.add_members(members)

    def _request_members(self) -> None:
        """Ask a node of the same domain; traffic between domains costs more."""
        near_ids = sorted(self._links.near_ids())
        if near_ids:
            link = self._peers.link_to(self._context.rng.choice(near_ids))
            if link is not None:
                link.send(MembersRequest())

    def _unknown(self, members: tuple[PeerMember, ...]) -> list[PeerMember]:
        """Return the nodes that are new; a peer may know an old address."""
        known_ids = {member.node_id for member in self._peers.known_members()}
        return [each for each in members if each.node_id not in known_ids]

    def _status_received(self, link: PeerLink, message: StatusReport) -> None:
        candidate = self._candidates.by_id.get(link.node_id)
        if candidate is not None:
            self._candidates.set_service(candidate, message.service)
            candidate.version = message.target_version
            self._load_received(link, message.load)
            self._entry.peers_changed()

    def _load_received(self, link: PeerLink, load: TargetLoad) -> None:
        now_s = self._context.timers.now_s()
        self._links.load_received(now_s, link.node_id, load)

    def _serve(self, link: PeerLink, message: CallRequest) -> None:
        route = message.call.route
        key = (link, message.sequence)

        def send_ending(ending: Ending) -> None:
            self._release_call(key)
            load = self._serving.load()
            usage = self._usage_to_send(link.node_id, route)
            link.send(encode_ending(message.sequence, ending, load, usage))

        link.frame_taken()
        held_bytes = (1 + SERVED_COPIES) * len(message.call.body)
        if not self._peers.memory.hold(held_bytes):
            send_ending(NotRun(NotRunReason.QUEUE_FULL))
            return
        self._held_bytes[key] = held_bytes
        hello = link.hello
        sink = None
        if hello is not None and hello.takes_parts:
            sink = _PeerAnswerSink(link, message.sequence)
        self._serving.begin(
            key,
            message.call,
            send_ending,
            sink,
            is_exposed=message.is_exposed,
        )

    def _cancel(self, link: PeerLink, sequence: int) -> None:
        self._serving.cancel((link, sequence))
        self._release_call((link, sequence))

    def _release_call(self, key: tuple[PeerLink, int]) -> None:
        """Free the memory counted for a call from another node."""
        self._peers.memory.change(-self._held_bytes.pop(key, 0))

    def _usage_to_send(
        self, node_id: NodeId, route: str
    ) -> tuple[ServiceUsage, ...]:
        """Return the usage of a route; empty if the peer got them recently."""
        now_s = self._context.timers.now_s()
        sent_s = self._usage_sent_s.setdefault(node_id, {})
        if now_s - sent_s.get(route, float('-inf')) < USAGE_REPORT_PERIOD_S:
            return ()
        if len(sent_s) > MAX_USAGE_ROUTES:
            sent_s.clear()
        sent_s[route] = now_s
        return self._serving.usage(route, self._entry.attempts.usage)
