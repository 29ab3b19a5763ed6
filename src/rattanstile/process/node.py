"""Connects the parts of a node, and drains them in order."""

import resource
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from functools import partial

import logbook
from twisted.internet.defer import Deferred

from rattanstile.connection.http_request import CallerHttpRequest
from rattanstile.connection.peer import PeerPool
from rattanstile.connection.target_http import TargetSessions
from rattanstile.process.configuration.configuration import Configuration
from rattanstile.process.configuration.log_reader import LogReader, StreamEvent
from rattanstile.process.configuration.operator_http import (
    NodeStatus,
)
from rattanstile.process.configuration.relay_messages import RelayMember
from rattanstile.process.control_messages import ControlArrived
from rattanstile.process.control_service import ControlService, Family
from rattanstile.process.entry.binding import BindingMachine
from rattanstile.process.entry.binding_service import BindingService
from rattanstile.process.entry.call_router import CallRouter
from rattanstile.process.entry.caller_links import CallerLinks
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.contexts import CallContexts
from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.entry.entry_service import (
    EntryPorts,
    EntryRequest,
    EntryService,
)
from rattanstile.process.entry.request_checker import (
    RequestChecker,
    RequestHead,
)
from rattanstile.process.entry.shedding import SheddingEntry
from rattanstile.process.key_values import key_values
from rattanstile.process.membership.member_service import (
    MemberPorts,
    MemberService,
)
from rattanstile.process.membership.membership import Membership
from rattanstile.process.membership.membership_messages import MemberLost
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import HomeGone
from rattanstile.process.node_core import NodeCore, NodeState
from rattanstile.process.rates.rate_borrower import Borrower
from rattanstile.process.rates.rate_messages import (
    ProcessGone,
    ProcessId,
    RateMessage,
    RatePeer,
    RatePeersChanged,
)
from rattanstile.process.rates.rate_owner import RateOwner
from rattanstile.process.rates.rate_service import RateService
from rattanstile.process.rates.rate_stream import RateStream
from rattanstile.process.serving.home_grants import HomeGrants
from rattanstile.process.serving.serving import ServingIdentity, ServingMachine
from rattanstile.process.serving.serving_service import ServingService
from rattanstile.process.settings import parse_address
from rattanstile.request.envelope import Member, Reply
from rattanstile.request.ids import (
    Incarnation,
    NodeId,
    TargetId,
    VersionNumber,
)
from rattanstile.version.declaration import Declaration
from rattanstile.version.in_force import VersionInForce
from rattanstile.version.records import MEMBERS_STREAM

MS_PER_S = 1000
DRAIN_CHECK_PERIOD_S = 0.05
FLUSH_DELAY_S = 0.3
MAX_STALENESS_S = 86_400.0
MIN_DRAIN_S = 2.0
NO_VERSION = VersionInForce(VersionNumber(0), Declaration())
MAX_FOLLOWED_SERVICES = 32

StreamHandler = Callable[[StreamEvent], None]

_log = logbook.Logger('node')


class Node:
    """The parts of a node whose control and peer ports already listen.

    Args:
        core: State that the parts share.
        control: Sends control messages; its handlers are set here.
        pool: Connections to peers.
    """

    def __init__(
        self, core: NodeCore, control: ControlService, pool: PeerPool
    ) -> None:
        """Build and connect the parts."""
        self.state = NodeState.STARTING
        self.on_serving: list[Callable[[], None]] = []
        self.core = core
        self.pool = pool
        self.control = control
        own_member = core.member()
        self.members = self._build_members(own_member)
        self.configuration = Configuration(
            RelayMember(core.node_id, core.failure_domain),
            core.timers,
            core.log_client,
            partial(control.send, Family.RELAY),
            self._version_changed,
            core.rng,
        )
        self.rates = self._build_rates()
        self.rate_stream = RateStream(
            core.reactor, core.log_client, core.rng, self.rates.take
        )
        self.contexts = CallContexts()
        self.router = CallRouter(
            own_member,
            lambda: core.home_table.id_epoch,
            self.members.member,
            core.timers,
        )
        self.serving = self._build_serving()
        self.chooser = Chooser(core.failure_domain, self._in_force)
        self.entry = self._build_entry()
        self.bindings = BindingService(
            BindingMachine(f'{core.node_id}/{core.incarnation}'),
            core.log_client,
            core.timers,
            self.entry.step,
        )
        self._connect_router()
        control.handlers = {
            Family.RELAY: self.configuration.receive,
            Family.RATES: self._receive_rate_message,
            Family.MEMBERSHIP: self.members.receive,
        }

    def handle_http(self, request: CallerHttpRequest) -> 'Deferred[Reply]':
        """Return the reply to a caller's HTTP request."""
        return self.entry.handle(
            EntryRequest(
                head=RequestHead(
                    key=request.key,
                    service=request.service,
                    method=request.method,
                    path=request.path,
                    deadline_ms=request.deadline_ms,
                    parent=request.parent,
                ),
                headers=request.headers,
                body=request.body,
                attempt=0 if request.idempotency_key else 1,
                idempotency_key=request.idempotency_key,
            )
        )

    @contextmanager
    def running(self) -> Iterator[None]:
        """Run all parts while the block runs."""
        core = self.core
        with ExitStack() as stack:
            for part in (
                self.pool,
                self.members,
                self.configuration,
                self.rates,
                self.rate_stream,
                self.serving,
                self.entry,
                self.bindings,
            ):
                stack.enter_context(part.running())
            if core.settings.static_slot >= 0:
                self.rates.static_slot(core.settings.static_slot)
            yield

    def drain(self, done: Callable[[], None]) -> None:
        """Accept no new calls, and call `done` after the last reply is sent.

        The wait for running calls is bounded by ``drain_timeout_s``.
        """
        if self.state is NodeState.DRAINING:
            return
        self.state = NodeState.DRAINING
        _log.notice(key_values('drain_began', node=self.core.node_id))
        self.members.leave()
        self.pool.announce_drain()
        self.serving.drain()
        self.entry.drain()
        now_s = self.core.timers.now_s()
        # Calls that peers send before they know that this node is leaving
        # must get an explicit refusal; a closed connection would leave their
        # outcome unknown.
        self.core.timers.after(
            MIN_DRAIN_S,
            lambda _: self._await_idle(
                now_s + self.core.settings.drain_timeout_s, done
            ),
        )

    def status(self) -> NodeStatus:
        """Return the status that the node reports to operators."""
        core = self.core
        usage = resource.getrusage(resource.RUSAGE_SELF)
        machine = self.serving.machine
        bus = self.control.bus
        return NodeStatus(
            node_id=core.node_id,
            incarnation=core.incarnation,
            service=core.service,
            failure_domain=core.failure_domain,
            state=self.state.value,
            version=self._in_force().number,
            admits_keyed_calls=self.configuration.admits_keyed(),
            staleness_s=self._staleness_s(),
            limit=machine.limit,
            in_flight=machine.running,
            queued=machine.queued,
            members=len(self.members.live()),
            control_bytes_sent=bus.sent_bytes if bus else 0,
            control_bytes_received=bus.received_bytes if bus else 0,
            processor_s=usage.ru_utime + usage.ru_stime,
            rss_kb=usage.ru_maxrss,
        )

    def register_gauges(self) -> None:
        """Register the gauges of this node."""
        gauge = self.core.metrics.gauge
        machine = self.serving.machine
        gauge('queue', '{call}', lambda: machine.queued)
        gauge('limit', '{call}', lambda: machine.limit)
        gauge('in_flight', '{call}', lambda: machine.running)
        gauge('version', '1', lambda: self._in_force().number)
        gauge('staleness', 's', self._staleness_s)
        gauge('loans', '{token}', self._loans)

    # Construction

    def _build_members(self, own_member: Member) -> MemberService:
        core = self.core
        seeds = tuple(NodeId(seed) for seed in core.settings.seeds)

        def make_reader(handler: StreamHandler) -> LogReader:
            return LogReader(
                core.reactor, core.log_client, MEMBERS_STREAM, core.rng, handler
            )

        return MemberService(
            Membership(own_member, seeds, core.rng),
            core.log_client,
            make_reader,
            core.timers,
            MemberPorts(
                self._members_changed,
                self._member_lost,
                lambda output: self.control.send(
                    Family.MEMBERSHIP, output.receiver, output.message
                ),
            ),
        )

    def _build_rates(self) -> RateService:
        core = self.core
        return RateService(
            core.node_id,
            Borrower(core.process_id, core.rng),
            RateOwner(core.process_id, core.failure_domain),
            core.timers,
            lambda output: self.control.send(
                Family.RATES, output.receiver, output.message
            ),
            lambda output: self.rate_stream.append(output),
        )

    def _build_serving(self) -> ServingService:
        core = self.core
        target = parse_address(core.settings.target_address)
        identity = ServingIdentity(
            node_id=core.node_id,
            target_id=TargetId(core.settings.target_id),
            failure_domain=core.failure_domain,
            service=core.service,
        )
        machine = ServingMachine(
            identity,
            self._in_force_when_serving,
            core.timers.now_s(),
            core.home_table,
        )
        sessions = TargetSessions(
            core.reactor,
            core.timers,
            target.host,
            target.port,
            core.settings.connections.max_target_connections,
        )
        return ServingService(
            machine, sessions, self.contexts, core.timers, self.router.deliver
        )

    def _build_entry(self) -> EntryService:
        core = self.core
        machine = EntryMachine(
            EntryIdentity(core.node_id, core.incarnation),
            self.chooser,
            core.rng,
            unreachable=UnreachableNodes(),
        )
        checker = RequestChecker(
            self._in_force,
            lambda _: self.configuration.admits_keyed(),
            self.contexts,
        )
        service = EntryService(
            checker,
            machine,
            SheddingEntry(machine, self._in_force, core.rng),
            self.rates,
            core.timers,
            core.metrics.calls,
            EntryPorts(
                self.router.send,
                self.serving.child_ended,
                self.members.is_followed,
                lambda service: self.members.follow(frozenset((service,))),
            ),
        )
        self.rates.decided = service.rate_decided
        return service

    def _connect_router(self) -> None:
        core = self.core
        grants = HomeGrants(
            self.chooser,
            core.timers,
            core.rng,
            self.router.send,
        )
        self.router.entry = self.entry
        self.router.serving = self.serving
        self.router.pool = self.pool
        self.router.request_binding = self.bindings.bind
        self.router.home_seen = grants.home_seen
        self.router.on_caller_event = CallerLinks(
            self.entry.handle, grants
        ).take

    # State and events

    def _in_force(self) -> VersionInForce:
        return self.configuration.in_force

    def _in_force_when_serving(self) -> VersionInForce:
        """Return no version while the node does not listen for callers.

        The target's child calls can't come in before then.
        """
        if self.state is NodeState.STARTING:
            return NO_VERSION
        return self.configuration.in_force

    def _staleness_s(self) -> float:
        return min(self.configuration.staleness_s(), MAX_STALENESS_S)

    def _loans(self) -> float:
        return self.rates.borrower.loans(self.core.timers.now_s())

    def _version_changed(self, version: VersionInForce) -> None:
        self.entry.machine.adopt(version)
        self.rates.adopt(version)
        services = version.declaration.services
        if len(services) <= MAX_FOLLOWED_SERVICES:
            self.members.follow(frozenset(service.name for service in services))

    def _members_changed(self) -> None:
        now_s = self.core.timers.now_s()
        self.chooser.members_changed(self.members.members(), now_s)
        live = self.members.live()
        self.configuration.set_members(
            tuple(
                RelayMember(member.node_id, member.failure_domain)
                for member in live
            )
        )
        peers = tuple(
            RatePeer(_process_id_of(member), member.failure_domain)
            for member in live
            if member.node_id != self.core.node_id
        )
        self.rates.take(RatePeersChanged(peers))

    def _member_lost(self, lost: MemberLost) -> None:
        if not lost.ended:
            return
        incarnation = Incarnation(lost.incarnation)
        self.entry.step(HomeGone(lost.node_id, incarnation))
        process_id = ProcessId(node_id=lost.node_id, incarnation=incarnation)
        self.rates.process_gone(ProcessGone(process_id))

    def _receive_rate_message(
        self, sender: NodeId, message: RateMessage
    ) -> None:
        self.rates.take(ControlArrived(sender, message))

    def _await_idle(
        self, drain_deadline_s: float, done: Callable[[], None]
    ) -> None:
        idle = self.serving.machine.is_idle and not len(self.entry)
        timers = self.core.timers
        if idle or timers.now_s() > drain_deadline_s:
            _log.notice(key_values('drain_ended', idle=idle))
            timers.after(FLUSH_DELAY_S, lambda _: done())
            return
        timers.after(
            DRAIN_CHECK_PERIOD_S,
            lambda _: self._await_idle(drain_deadline_s, done),
        )


def _process_id_of(member: Member) -> ProcessId:
    return ProcessId(
        node_id=member.node_id, incarnation=Incarnation(member.incarnation)
    )
