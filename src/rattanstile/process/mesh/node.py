"""The node: connects entry, serving, peers and the store."""

from collections import Counter
from collections.abc import Coroutine, Iterator
from contextlib import ExitStack, contextmanager
from random import Random
from typing import Any

from rattanstile.connection.descriptor_budget import (
    descriptor_budget,
    descriptor_limit,
)
from rattanstile.connection.http_server import (
    RequestHandler,
    ServerState,
    serving_http,
)
from rattanstile.connection.peer_link import UNRESPONSIVE_AFTER_S, NodePlace
from rattanstile.connection.peer_messages import ShutdownNotice
from rattanstile.connection.peer_pool import PeerPool, serving_peers
from rattanstile.connection.request_memory import MemoryAccount
from rattanstile.connection.target_pool import TargetPool
from rattanstile.process.decision_log import DecisionLog, LineKind
from rattanstile.process.heap import HeapTrimmer
from rattanstile.process.mesh.admission.root_admission import (
    STEP_S,
    RootAdmission,
    ServiceView,
)
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.counters import Counters
from rattanstile.process.mesh.drain import Drain, DrainStep
from rattanstile.process.mesh.entry.caller_service import CallerService
from rattanstile.process.mesh.entry.entry_handler import EntryHandler
from rattanstile.process.mesh.fleet.fleet_join import FleetJoin, JoinHandlers
from rattanstile.process.mesh.fleet.fleet_links import FleetLinks
from rattanstile.process.mesh.fleet.peer_handler import PeerMessageHandler
from rattanstile.process.mesh.metrics import metrics_text
from rattanstile.process.mesh.node_addresses import (
    AnnouncementService,
    MetricsService,
    ReadyService,
)
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.ports import NodeAdapters
from rattanstile.process.mesh.rates.rate_service import RateService
from rattanstile.process.mesh.rollout.node_rollouts import (
    LocalTarget,
    NodeRollouts,
)
from rattanstile.process.mesh.rollout.status_writer import StatusWriter
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.process.mesh.serving.target_watch import TargetWatch
from rattanstile.process.mesh.settings import MeshSettings
from rattanstile.process.mesh.store.config_relay import ConfigRelay
from rattanstile.process.mesh.store.operator_state import OperatorState
from rattanstile.process.mesh.store.store_follower import StoreFollower
from rattanstile.process.mesh.store.store_readers import StoreReaders
from rattanstile.process.mesh.store.store_retry import StoreRetry
from rattanstile.process.reactor import Reactor
from rattanstile.process.timers import TimerService
from rattanstile.request.ids import ServiceName
from rattanstile.version.fleet_config import CallerLimits, FleetState

TICK_S = 0.05
"""A tenth of the tolerance within which timeouts must fire."""
SLOW_TICK_S = 0.25
VIEWS_PERIOD_S = 0.25
"""How often the load of services is summed while no demand is near it."""
RATES_PERIOD_S = 0.5
FAST_RATES_PERIOD_S = 0.25
"""Used while the demand for a service is close to its capacity."""
BYTES_PER_MB = 1024 * 1024
DEFAULT_LIMITS = CallerLimits()
SMALL_LIMITS = CallerLimits(body_bytes=64 * 1024)
"""A target announces itself in under a kilobyte."""


class MeshNode:
    """One node of the fleet.

    Args:
        reactor: The reactor of the process.
        settings: Identity, addresses and limits of the node.
        adapters: Codecs and the store for everything outside the fleet.
        log: Receives a line for each decision.
        rng: Source of all randomness.
    """

    def __init__(
        self,
        reactor: Reactor,
        settings: MeshSettings,
        adapters: NodeAdapters,
        log: DecisionLog,
        rng: Random,
    ) -> None:
        """Build and connect the components; nothing runs yet."""
        self.settings = settings
        self.timers = TimerService(reactor, TICK_S)
        self.context = NodeContext(
            node_id=settings.node_id,
            domain=settings.failure_domain,
            state=self._state,
            timers=self.timers,
            log=log,
            counters=Counters(),
            rng=rng,
            rollouts=NodeRollouts(
                settings.rollout_bounds, rng, domain=settings.failure_domain
            ),
        )
        self._reactor = reactor
        self._heap = HeapTrimmer()
        self._drain: Drain | None = None
        self._admission_due_s = 0.0
        self._views_due_s = 0.0
        self._views: dict[ServiceName, ServiceView | None] = {}
        self._slow_due_s = 0.0
        self._rates_due_s = 0.0
        self._operator_state = OperatorState(
            adapters.store.decode_config,
            self._config_changed,
            log,
            self.timers.now_s,
        )
        self._build_services(adapters)
        self._build_servers(adapters)
        retry = StoreRetry(reactor, rng)
        self._joining = FleetJoin(
            adapters.store,
            retry,
            JoinHandlers(
                self.peer_service.member,
                self.peer_service.members_read,
                lambda departure: self.serving.watch.restore_departure(
                    self.timers.now_s(), departure
                ),
            ),
            log,
            is_new_fleet=settings.new_fleet,
        )
        self._follower = StoreFollower(
            adapters.store,
            retry,
            self._operator_state,
            self._relay,
            self._joining,
            log,
        )

    def _build_services(self, adapters: NodeAdapters) -> None:
        context = self.context
        settings = self.settings
        self.peer_service = PeerMessageHandler(context, settings.peer_address)
        self.peers = PeerPool(
            self._reactor,
            self.timers,
            NodePlace(context.node_id, context.domain),
            self.peer_service,
            context.log,
            context.rng,
        )
        self._target_pool = TargetPool(
            self._reactor, self.timers, settings.target_address
        )
        self.reruns = RerunBudget(
            settings.rerun_ratio, settings.rerun_slack, context.rng.random
        )
        self.serving = ServingHandler(
            context,
            TargetWatch(settings.service, awaits_departure=True),
            self._target_pool,
            adapters.targets,
            self.peer_service.status_changed,
            self.reruns,
        )
        context.rollouts.target = self._local_target
        self._operator_state.verdict_on = context.rollouts.verdict_on
        self.admission = RootAdmission(context.rng)
        self.links = FleetLinks(
            context,
            self.peers,
            self.serving.load,
            lambda: self.serving.watch.service,
        )
        self.serving.siblings = lambda: self.links.candidates.of_service(
            self.serving.watch.service
        )
        self.rates = RateService(
            context, self.peers, self.links, self.admission
        )
        self._statuses = StatusWriter(
            adapters.store, self.rates.rollouts.decider, context.log
        )
        self.entry = EntryHandler(
            context,
            self.serving,
            self.peers,
            self.rates,
            self.admission,
            self.reruns,
            self.links,
        )
        readers = StoreReaders(context.node_id, self.links.near_ids)
        self._relay = ConfigRelay(
            self._operator_state,
            self.peers,
            self.timers,
            readers,
            lambda: self.links.is_gateway,
            context.rng,
            context.freshness,
        )
        self.peer_service.attach(
            self.peers,
            self.links,
            self.entry,
            self.serving,
            self.rates,
            self._relay,
        )

    def _build_servers(self, adapters: NodeAdapters) -> None:
        settings = self.settings
        self.memory = MemoryAccount(settings.request_memory_mb * BYTES_PER_MB)
        self._descriptors = descriptor_budget(
            descriptor_limit(), settings.reserved_descriptors
        )
        self.peers.memory = self.memory.nodes
        self.peers.max_unnamed_links = self._descriptors.unknown_nodes
        callers = CallerService(adapters.callers, self.entry, self.context)
        announcements = AnnouncementService(adapters.announcements, self)
        self._caller_state = self._server_state(callers)
        self.listeners = {
            'announcements': self._small_server_state(announcements),
            'ready': self._small_server_state(ReadyService(self)),
            'metrics': self._small_server_state(MetricsService(self)),
            'callers': self._caller_state,
        }
        self._servers = {
            settings.announcement_address: self.listeners['announcements'],
            settings.ready_address: self.listeners['ready'],
            settings.metrics_address: self.listeners['metrics'],
            settings.caller_address: self._caller_state,
        }
        self._clients_closed: Counter[str] = Counter()

    @property
    def is_ready(self) -> bool:
        """Return whether callers are served."""
        return self._state().config is not None and self._drain is None

    @property
    def in_hand(self) -> int:
        """Return the number of requests, calls and unsent responses."""
        return (
            self.entry.in_hand
            + self.serving.in_hand
            + self._caller_state.unsent_responses
        )

    @contextmanager
    def running(self) -> Iterator[None]:
        """Accept connections and follow the store while the block runs."""
        with ExitStack() as stack:
            for address, state in self._servers.items():
                stack.enter_context(serving_http(self._reactor, address, state))
            listen_address = (
                self.settings.peer_listen_address or self.settings.peer_address
            )
            stack.enter_context(
                serving_peers(self._reactor, listen_address, self.peers)
            )
            stack.enter_context(self.timers.every(TICK_S, self._tick))
            stack.callback(self._shut_down)
            self._follower.start()
            self._log_start()
            yield

    def drain(self, signalled_s: float) -> None:
        """Stop taking work, finish calls in progress, then stop the reactor.

        Args:
            signalled_s: Monotonic time of the stop signal; the reactor may
                have been busy since.
        """
        if self._drain is not None:
            return
        self._drain = Drain(signalled_s, self.settings.grace_s)
        self._caller_state.is_closing = True
        self.context.log.write(
            LineKind.PROCESS, 'drain_began', in_hand=self.in_hand
        )

    def persist_departure(self) -> Coroutine[Any, Any, None]:
        """Store the departure of the target for later runs of this node."""
        return self._joining.persist_member()

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""
        return metrics_text(self)

    def _log_start(self) -> None:
        self.context.log.write(
            LineKind.PROCESS,
            'node_started',
            service=self.settings.service,
            domain=self.settings.failure_domain,
            store=self.settings.store_address,
        )

    def _shut_down(self) -> None:
        self._follower.stop()
        self.context.log.write(
            LineKind.PROCESS, 'node_stopped', in_hand=self.in_hand
        )
        self.context.log.flush()

    # Periodic work

    def _tick(self, now_s: float) -> None:
        self.serving.check(now_s)
        self.rates.tokens.check(now_s)
        self.entry.check(now_s)
        if now_s >= self._admission_due_s:
            self._admission_due_s = now_s + STEP_S - TICK_S / 2
            if self.admission.is_near_capacity or now_s >= self._views_due_s:
                self._views_due_s = now_s + VIEWS_PERIOD_S
                self._views = self.links.views(now_s)
            self.admission.step(self._views)
        if now_s >= self._slow_due_s:
            self._slow_due_s = now_s + SLOW_TICK_S - TICK_S / 2
            self._slow_tick(now_s)
        if self._drain is not None:
            self._advance_drain(now_s, self._drain)

    def _slow_tick(self, now_s: float) -> None:
        self.peers.check(now_s)
        self.entry.attempts.update_unresponsive(now_s, UNRESPONSIVE_AFTER_S)
        self._check_clients(now_s)
        self._target_pool.check(now_s)
        self.context.log.flush()
        self._operator_state.check(now_s)
        self._relay.check(now_s)
        self._follower.check(now_s)
        self.peer_service.check(now_s)
        self.links.check(now_s)
        if now_s >= self._rates_due_s:
            is_near_capacity = self.admission.is_near_capacity
            period_s = (
                FAST_RATES_PERIOD_S if is_near_capacity else RATES_PERIOD_S
            )
            self._rates_due_s = now_s + period_s - TICK_S / 2
            self.context.rollouts.release_expired(now_s)
            self.rates.report(now_s)
            self.reruns.set_node_count(self.rates.fleet_size)
            self._log_tight_services()
        self.rates.report_domain(now_s)
        self._check_statuses(now_s)

    def _check_clients(self, now_s: float) -> None:
        """Apply timeouts and limits of the connections that others opened."""
        for state in self._servers.values():
            state.check(now_s)
        self._log_closed_clients()
        self._heap.check(self.memory.held_bytes)

    def _check_statuses(self, now_s: float) -> None:
        """Store the statuses of rollouts, if this node decides them."""
        if not self.rates.delegates.is_allocator:
            self._statuses.forget()
        elif self.context.knows_newest(now_s):
            self._statuses.check(now_s, self._state().era)

    def _local_target(self) -> LocalTarget:
        watch = self.serving.watch
        return LocalTarget(watch.service, watch.version, self.serving.load())

    def _log_closed_clients(self) -> None:
        for listener, state in self.listeners.items():
            closed = state.evictions.total()
            if closed > self._clients_closed[listener]:
                self.context.log.write(
                    LineKind.CLIENT,
                    'clients_closed',
                    listener=listener,
                    count=closed - self._clients_closed[listener],
                    open=len(state.connections),
                    max_open=state.max_connections,
                    held_bytes=state.memory.held_bytes,
                    max_held_bytes=state.memory.limit_bytes,
                )
                self._clients_closed[listener] = closed

    def _advance_drain(self, now_s: float, drain: Drain) -> None:
        self.entry.end_s = drain.end_s(now_s)
        if self.entry.end_s is not None:
            self.serving.accept_until(self.entry.end_s)
        match drain.step(now_s, self.entry.roots, self.in_hand):
            case DrainStep.KEEP_SERVING:
                return
            case DrainStep.FINISH:
                self.serving.stop_accepting()
            case DrainStep.END:
                self.context.log.write(
                    LineKind.PROCESS,
                    'drain_ended',
                    took_s=round(now_s - drain.began_s, 2),
                    in_hand=self.in_hand,
                )
                self.serving.stop_accepting()
                self.entry.end_all()
                self.peers.broadcast(ShutdownNotice(), near_only=False)
                self._reactor.stop()

    def _log_tight_services(self) -> None:
        log = self.context.log
        for service in self.admission.services_near_capacity():
            log.write(LineKind.ADMISSION, 'service_tight', **service.fields())

    # Operator state

    def _state(self) -> FleetState:
        return self._operator_state.state

    def _config_changed(self, previous: FleetState) -> None:
        rollouts = self.context.rollouts
        rollouts.set_orders(self._state().orders)
        if previous.era != self._state().era:
            rollouts.store_restored(self.timers.now_s())
        self.serving.config_changed()
        self.rates.config_changed()
        self.entry.config_changed()
        self._relay.broadcast_notice()
        self.entry.peers_changed()
        self._joining.era_seen(self._state().era)

    def _server_state(self, handler: RequestHandler) -> ServerState:
        return ServerState(
            handler=handler,
            limits=self._limits,
            now_s=self.timers.now_s,
            memory=self.memory.callers,
            max_connections=self._descriptors.callers,
            min_bytes_per_s=self.settings.min_progress_bytes_per_s,
        )

    def _small_server_state(self, handler: RequestHandler) -> ServerState:
        """Return the state of an address that takes no callers' requests."""
        return ServerState(
            handler=handler,
            limits=lambda: SMALL_LIMITS,
            now_s=self.timers.now_s,
            memory=self.memory.targets,
            max_connections=self._descriptors.small_listener,
            min_bytes_per_s=self.settings.min_progress_bytes_per_s,
        )

    def _limits(self) -> CallerLimits:
        config = self._state().config
        return DEFAULT_LIMITS if config is None else config.limits
