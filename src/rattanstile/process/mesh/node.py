"""The node: joins the desks, the peers and the store."""

import signal
import time
from collections.abc import Awaitable, Iterator
from contextlib import ExitStack, contextmanager
from random import Random

from rattanstile.connection.http_server import (
    ServerState,
    serving_http,
)
from rattanstile.connection.peer_messages import (
    CallCancelled,
    CallSent,
    CallEnded,
    ConfigNotice,
    ConfigTold,
    ConfigWanted,
    Leaving,
    MembersTold,
    PeerHello,
    PeerMember,
    PeerMessage,
    RatesReported,
    RatesShared,
    StatusTold,
    TargetLoad,
    TokenGiven,
    TokenWanted,
)
from rattanstile.connection.peer_pool import (
    SILENT_S,
    PeerLink,
    PeerPool,
    serving_peers,
)
from rattanstile.connection.target_pool import TargetPool
from rattanstile.process.decision_log import DecisionLog, Kind
from rattanstile.process.mesh.caller_service import CallerService
from rattanstile.process.mesh.counters import Counters
from rattanstile.process.mesh.entry_desk import EntryDesk, ended_message
from rattanstile.process.mesh.node_addresses import (
    AnnouncementService,
    MetricsService,
    ReadyService,
)
from rattanstile.process.mesh.operator_words import OperatorWords
from rattanstile.process.mesh.placement import Candidate
from rattanstile.process.mesh.ports import Surroundings
from rattanstile.process.mesh.rate_service import RateService
from rattanstile.process.mesh.rerun_budget import RerunBudget
from rattanstile.process.mesh.root_admission import STEP_S, RootAdmission
from rattanstile.process.mesh.serving_desk import ServingDesk
from rattanstile.process.mesh.settings import MeshSettings
from rattanstile.process.mesh.store_follower import StoreFollower
from rattanstile.process.mesh.target_watch import TargetWatch
from rattanstile.process.reactor import Reactor
from rattanstile.process.timers import TimerService
from rattanstile.request.exchange import Ending
from rattanstile.request.ids import NodeId
from rattanstile.version.fleet_config import CallerLimits, FleetState

TICK_S = 0.05
"""A tenth of the slack within which a timeout is to be kept."""
SLOW_TICK_S = 0.25
RATES_PERIOD_S = 0.5
TIGHT_RATES_PERIOD_S = 0.25
"""While a service is nearly asked for what it serves."""
RELAY_PATIENCE_S = 0.4
"""A node reads the store itself, unless a peer is ahead for so long."""
BUSY_SHARE = 0.6
"""From this part of its capacity on, a target's load is told to all nodes."""
CHANGED_SHARE = 0.3
"""A capacity that changes by more is told, as when a target gets warm."""
NEEDS_PERIOD_S = 0.2
"""How often a peer is told what a route takes."""
SHORTEST_DRAIN_S = 2.3
"""Callers are sent elsewhere after two questions, a second apart, failed."""
SERVE_ON_S = 1.4
"""For so long the target goes on with calls of other nodes: it runs on, and
is out of reach only while this process is away."""
DRAIN_IDLE_S = 0.3
GRACE_MARGIN_S = 0.6
DEFAULT_LIMITS = CallerLimits()
INCARNATION_BITS = 48


class MeshNode:
    """One node of the fleet.

    Args:
        reactor: The process's.
        settings: What the node is told of itself.
        surroundings: What it speaks to.
    """

    def __init__(
        self,
        reactor: Reactor,
        settings: MeshSettings,
        surroundings: Surroundings,
        log: DecisionLog,
        chance: Random,
    ) -> None:
        """Join the parts; nothing runs yet."""
        self.settings = settings
        self.log = log
        self.counters = Counters()
        self.timers = TimerService(reactor, TICK_S)
        self.is_draining = False
        self._reactor = reactor
        self._chance = chance
        self._incarnation = chance.getrandbits(INCARNATION_BITS)
        self._words = OperatorWords(
            surroundings.store.decode_config, self._config_changed, log
        )
        self.peers = PeerPool(reactor, self.timers, self, log, chance)
        self._target_pool = TargetPool(
            reactor, self.timers, settings.target_address
        )
        self.serving = ServingDesk(
            settings.failure_domain,
            TargetWatch(settings.service),
            self.state,
            self._target_pool,
            surroundings.targets,
            self.timers,
            log,
            self.counters,
            self._status_changed,
        )
        admission = RootAdmission(chance)
        self._rates = RateService(
            settings.node_id, self.state, self.peers, self.timers, admission
        )
        self._reruns = RerunBudget(settings.rerun_ratio, settings.rerun_slack)
        self.entry = EntryDesk(
            settings.node_id,
            settings.failure_domain,
            self.state,
            self.serving,
            self.peers,
            self.timers,
            log,
            self.counters,
            self._rates,
            admission,
            self._reruns,
            chance,
        )
        self._follower = StoreFollower(
            reactor,
            surroundings.store,
            self._words,
            self._member,
            self.peers.know,
            self.serving.watch.recall,
            log,
            chance,
        )
        self.callers = CallerService(surroundings.callers, self.entry)
        self._caller_state = self._server_state(self.callers)
        self._announcement_state = self._server_state(
            AnnouncementService(surroundings.announcements, self)
        )
        self._ready_state = self._server_state(ReadyService(self))
        self._metrics_state = self._server_state(MetricsService(self))
        self._admission_due_s = 0.0
        self._slow_due_s = 0.0
        self._is_busy_told = False
        self._capacity_told = 0
        self._rates_due_s = 0.0
        self._needs_told: dict[tuple[NodeId, str], float] = {}
        self._ahead_since_s: dict[NodeId, float] = {}
        self._drain_since_s = 0.0
        self._idle_since_s: float | None = None

    def state(self) -> FleetState:
        """Return what operators state, as far as it is known here."""
        return self._words.state

    @property
    def is_ready(self) -> bool:
        """Tell whether callers are served."""
        return self.state().config is not None and not self.is_draining

    @contextmanager
    def running(self) -> Iterator[None]:
        """Accept connections and follow the store while the block runs."""
        settings = self.settings
        with ExitStack() as stack:
            for address, state in (
                (settings.announcement_address, self._announcement_state),
                (settings.ready_address, self._ready_state),
                (settings.metrics_address, self._metrics_state),
                (settings.caller_address, self._caller_state),
            ):
                stack.enter_context(
                    serving_http(self._reactor, address, state)
                )
            stack.enter_context(
                serving_peers(self._reactor, settings.peer_address, self.peers)
            )
            stack.enter_context(self.timers.every(TICK_S, self._tick))
            self._follower.start()
            self.log.write(
                Kind.PROCESS,
                'node_started',
                service=settings.service,
                domain=settings.failure_domain,
                cpu_s=round(time.process_time(), 3),
            )
            try:
                yield
            finally:
                self._follower.stop()
                self.log.write(
                    Kind.PROCESS, 'node_stopped', in_hand=self.in_hand
                )
                self.log.flush()

    @property
    def in_hand(self) -> int:
        """Return how many requests and calls have not ended."""
        return self.entry.in_hand + self.serving.in_hand

    def keep_left(self) -> Awaitable[None]:
        """Keep what the target said for later runs of this node."""
        return self._follower.keep_member()

    def drain(self) -> None:
        """Take no new work, finish what runs, then stop the reactor."""
        if self.is_draining:
            return
        self.is_draining = True
        self._drain_since_s = self.timers.now_s()
        self._caller_state.is_closing = True
        self.log.write(
            Kind.PROCESS,
            'drain_began',
            signal=signal.SIGTERM.name,
            in_hand=self.in_hand,
        )

    # Time

    def _tick(self, now_s: float) -> None:
        self.serving.check(now_s)
        self.entry.check(now_s)
        if now_s >= self._admission_due_s:
            self._admission_due_s = now_s + STEP_S - TICK_S / 2
            self.entry.admission.step(self.entry.service_views())
        if now_s >= self._slow_due_s:
            self._slow_due_s = now_s + SLOW_TICK_S
            self._slow_tick(now_s)
        if self.is_draining:
            self._check_drained(now_s)

    def _slow_tick(self, now_s: float) -> None:
        self.peers.check(now_s)
        self.entry.check_quiet(now_s, SILENT_S)
        for state in (
            self._caller_state,
            self._announcement_state,
            self._ready_state,
            self._metrics_state,
        ):
            state.check(now_s)
        self._target_pool.check(now_s)
        self._tell_if_busy()
        self.log.flush()
        self._ask_those_ahead(now_s)
        if now_s >= self._rates_due_s:
            is_tight = self.entry.admission.is_tight
            period_s = TIGHT_RATES_PERIOD_S if is_tight else RATES_PERIOD_S
            self._rates_due_s = now_s + period_s - TICK_S / 2
            self._rates.report(now_s)
            self._reruns.nodes_known(self._rates.fleet)
            self._log_tight()

    def _log_tight(self) -> None:
        for tight in self.entry.admission.tight_services():
            if not self.log.takes(Kind.ADMISSION):
                return
            runs = ','.join(
                f'{route}:{count}' for route, count in tight.runs.items()
            )
            self.log.append(
                'service_tight',
                service=tight.service,
                let_in=tight.let_in,
                trim=tight.trim,
                offered_per_s=round(tight.view.offered_per_s, 1),
                demand_per_s=tight.demand_per_s,
                own_per_s=tight.own_per_s,
                capacity_per_s=round(tight.view.capacity_per_s, 1),
                wait_ms=round(tight.view.wait_s * 1000, 1),
                runs=runs,
            )

    def _tell_if_busy(self) -> None:
        """Tell all nodes the load while the target is nearly overloaded."""
        load = self.serving.load()
        capacity = load.capacity_per_10s
        is_busy = load.offered_per_10s > capacity * BUSY_SHARE
        change = abs(capacity - self._capacity_told)
        is_changed = change > CHANGED_SHARE * self._capacity_told
        if is_busy or self._is_busy_told or is_changed:
            self._is_busy_told = is_busy
            self._capacity_told = capacity
            self._status_changed()

    def _check_drained(self, now_s: float) -> None:
        passed_s = now_s - self._drain_since_s
        if passed_s >= SERVE_ON_S and not self.serving.is_stopping:
            self.serving.is_stopping = True
            self._status_changed()
        if self.in_hand:
            self._idle_since_s = None
        elif self._idle_since_s is None:
            self._idle_since_s = now_s
        is_idle = (
            self._idle_since_s is not None
            and now_s - self._idle_since_s >= DRAIN_IDLE_S
        )
        is_late = passed_s >= self.settings.grace_s - GRACE_MARGIN_S
        if (is_idle and passed_s >= SHORTEST_DRAIN_S) or is_late:
            self.log.write(
                Kind.PROCESS,
                'drain_ended',
                took_s=round(passed_s, 2),
                in_hand=self.in_hand,
            )
            self.peers.broadcast(Leaving())
            self._reactor.stop()

    # What operators state

    def _config_changed(self, before: FleetState) -> None:
        self.serving.config_changed()
        self._rates.config_changed()
        self.peers.broadcast(ConfigNotice(self.state().offset))
        self.entry.peers_changed()

    def _ask_those_ahead(self, now_s: float) -> None:
        offset = self.state().offset
        for link in self.peers.links:
            hello = link.hello
            if hello is None or link.is_inbound:
                continue
            since_s = self._ahead_since_s.get(hello.node_id)
            if since_s is None or now_s - since_s < RELAY_PATIENCE_S:
                continue
            self._ahead_since_s.pop(hello.node_id)
            link.send(ConfigWanted(offset))
            return

    def _noticed(self, link: PeerLink, offset: int) -> None:
        if offset > self.state().offset:
            self._ahead_since_s.setdefault(
                link.node_id, self.timers.now_s()
            )
        else:
            self._ahead_since_s.pop(link.node_id, None)

    def _tell_config(self, link: PeerLink, offset: int) -> None:
        state = self.state()
        if state.offset > offset:
            link.send(
                ConfigTold(
                    state.offset, state.document, tuple(state.evacuated)
                )
            )

    # Peers

    def hello(self) -> PeerHello:
        """Return this node's first message."""
        return PeerHello(
            node_id=self.settings.node_id,
            address=self.settings.peer_address,
            service=self.serving.watch.service,
            domain=self.settings.failure_domain,
            incarnation=self._incarnation,
            offset=self.state().offset,
            load=self.serving.load(),
        )

    def peer_ready(self, link: PeerLink) -> None:
        """Serve with a peer from now on."""
        hello = link.hello
        if hello is None:
            return
        self.entry.candidates[hello.node_id] = Candidate(
            hello.node_id, hello.service, hello.domain, hello.load
        )
        self.log.write(
            Kind.PEER,
            'peer_ready',
            peer=hello.node_id,
            service=hello.service,
            domain=hello.domain,
            usable=hello.load.is_usable,
        )
        self._noticed(link, hello.offset)
        self.entry.peers_changed()

    def peer_lost(self, link: PeerLink) -> None:
        """Serve without a peer from now on."""
        self.entry.candidates.pop(link.node_id, None)
        self.log.write(
            Kind.PEER, 'peer_lost', peer=link.node_id, owed=link.owed
        )
        self.entry.peer_lost(link.node_id)

    def peer_joined(self, link: PeerLink) -> None:
        """Get to know a node that opened a connection to this one."""
        hello = link.hello
        if hello is None:
            return
        members = (*self.peers.known(), self._member())
        self.peers.know(
            PeerMember(
                hello.node_id, hello.address, hello.service, hello.domain
            )
        )
        self.peers.hurry(hello.node_id)
        link.send(MembersTold(members))

    def peer_left(self, link: PeerLink) -> None:
        """Drop the calls of a node whose connection is gone."""
        for key in self.serving.keys_of(link):
            self.serving.cancel(key)

    def peer_message(self, link: PeerLink, message: PeerMessage) -> None:
        """Take a message."""
        match message:
            case CallSent():
                self._serve(link, message)
            case CallEnded():
                link.owed = max(0, link.owed - 1)
                self.entry.peer_ended(link.node_id, message)
            case CallCancelled(sequence):
                self.serving.cancel((link, sequence))
            case StatusTold():
                self._status_told(link, message)
            case ConfigNotice(offset):
                self._noticed(link, offset)
            case ConfigWanted(offset):
                self._tell_config(link, offset)
            case ConfigTold():
                self._words.take_told(
                    message.offset,
                    message.document,
                    frozenset(message.evacuated),
                    f'peer:{link.node_id}',
                )
            case RatesReported() | RatesShared():
                self._rates.message(link, message)
            case TokenWanted() | TokenGiven():
                self._rates.message(link, message)
            case Leaving():
                self._peer_leaving(link)
            case MembersTold(members):
                self._members_told(members)

    def _members_told(self, members: tuple[PeerMember, ...]) -> None:
        known = {member.node_id for member in self.peers.known()}
        for member in members:
            if member.node_id not in known and (
                member.node_id != self.settings.node_id
            ):
                self.peers.know(member)

    def _peer_leaving(self, link: PeerLink) -> None:
        candidate = self.entry.candidates.get(link.node_id)
        if candidate is not None:
            candidate.told(TargetLoad())

    def _status_told(self, link: PeerLink, message: StatusTold) -> None:
        candidate = self.entry.candidates.get(link.node_id)
        if candidate is None:
            return
        candidate.service = message.service
        candidate.told(message.load)
        self.entry.peers_changed()

    def _status_changed(self) -> None:
        self.peers.broadcast(
            StatusTold(self.serving.watch.service, self.serving.load())
        )
        self.entry.peers_changed()

    def _serve(self, link: PeerLink, message: CallSent) -> None:
        call = message.call

        def ended(ending: Ending) -> None:
            load = self.serving.load()
            needs = ()
            if self._is_needs_due(link.node_id, call.route):
                needs = self.serving.needs(call.route, self.entry.needs)
            link.send(ended_message(message.sequence, ending, load, needs))

        self.serving.begin((link, message.sequence), call, ended)

    def _is_needs_due(self, node_id: NodeId, route: str) -> bool:
        now_s = self.timers.now_s()
        told_s = self._needs_told.get((node_id, route), float('-inf'))
        if now_s - told_s < NEEDS_PERIOD_S:
            return False
        self._needs_told[node_id, route] = now_s
        return True

    def metrics_text(self) -> str:
        """Return the counters, one a line."""
        counters = self.counters
        lines = [
            f'rattanstile_requests_total{{outcome="{name}"}} {count}'
            for name, count in sorted(counters.endings.items())
        ]
        lines.append(f'rattanstile_runs_total {counters.runs}')
        return '\n'.join(lines) + '\n'

    def _member(self) -> PeerMember:
        return PeerMember(
            self.settings.node_id,
            self.settings.peer_address,
            self.serving.watch.service,
            self.settings.failure_domain,
            self.serving.watch.last_left,
        )

    def _server_state(self, handler: object) -> ServerState:
        return ServerState(
            handler=handler,  # type: ignore[arg-type]
            limits=self._limits,
            now_s=self.timers.now_s,
        )

    def _limits(self) -> CallerLimits:
        config = self.state().config
        return DEFAULT_LIMITS if config is None else config.limits
