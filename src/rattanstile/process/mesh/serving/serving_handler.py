"""Runs calls from all nodes on the local target."""

from collections.abc import Callable, Hashable, Sequence

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.connection.target_pool import TargetPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.admission.call_tree import CallAttribution
from rattanstile.process.mesh.admission.service_needs import (
    UsageEstimates,
    add_own_usage,
    calls_by_service,
)
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.placement.placement import Candidate
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.placement.run_positions import (
    Run,
    RunPositions,
)
from rattanstile.process.mesh.ports import (
    RunAnswered,
    RunFailed,
    RunRefused,
    TargetCodec,
)
from rattanstile.process.mesh.serving.failing_share import FailingShare
from rattanstile.process.mesh.serving.pass_on import passes_on
from rattanstile.process.mesh.serving.past_incarnations import TargetDeparture
from rattanstile.process.mesh.serving.reported_times import ReportedTimes
from rattanstile.process.mesh.serving.served_calls import (
    PendingCall,
    PendingCalls,
)
from rattanstile.process.mesh.serving.served_stream import ServedStream
from rattanstile.process.mesh.serving.target_gate import TargetQueue
from rattanstile.process.mesh.serving.target_prober import TargetProber
from rattanstile.process.mesh.serving.target_watch import (
    Announcement,
    TargetChange,
    TargetWatch,
)
from rattanstile.process.mesh.serving.waiting_call import WaitingCall
from rattanstile.request.exchange import (
    Answered,
    AnswerSink,
    Ending,
    EndingHandler,
    NotRun,
    NotRunReason,
    ServedCall,
    ServiceUsage,
    Streamed,
    Unknown,
    UnknownReason,
)
from rattanstile.request.ids import ServiceName

SPARE_CONNECTIONS = 8
"""Connections beyond the concurrency limit, as some are about to close."""
MAX_CONNECTION_SHARE = 0.9
"""Share of the service's maximum number of connections that is used."""
MS_PER_S = 1000
PERCENT = 100
_SERVER_ERROR = 500


class ServingHandler:
    """Queues calls, runs them on the target and reports how they ended.

    Attributes:
        watch: State of the target.
        queue: Queue and limits in front of the target.
        attribution: Calls that a run of each route makes.
        positions: Runs in progress, and the calls that each has made.
        siblings: Returns the other nodes whose targets serve the service.

    Args:
        context: State shared by the components of the node.
        watch: State of the target.
        pool: Connections to the target.
        codec: Encodes calls to the target and decodes its responses.
        status_changed: Called when the target starts or stops being usable,
            to report the load to other nodes.
        reruns: Retry budget of the calls that the target makes; None accepts
            every repeated call.
    """

    def __init__(
        self,
        context: NodeContext,
        watch: TargetWatch,
        pool: TargetPool,
        codec: TargetCodec,
        status_changed: Callable[[], None],
        reruns: RerunBudget | None = None,
    ) -> None:
        """Initialize without calls."""
        self._reruns = reruns
        self.watch = watch
        self.queue = TargetQueue()
        self.attribution = CallAttribution()
        self.positions = RunPositions(self.attribution.calls_of)
        self.siblings: Callable[[], Sequence[Candidate]] = tuple
        self._failing = FailingShare()
        self._times = ReportedTimes()
        self._is_stopping = False
        self._end_s = float('inf')
        self._context = context
        self._state = context.state
        self._pool = pool
        self._codec = codec
        self._timers = context.timers
        self._log = context.log
        self._status_changed = status_changed
        self._settings_service = watch.service
        self._pending = PendingCalls()
        self._was_usable = False
        self._prober = TargetProber(
            context,
            watch,
            pool,
            codec,
            lambda change: self._target_changed(change, 'probe'),
        )
        self._was_evacuated = False

    # Reports to other nodes

    def load(self) -> TargetLoad:
        """Return the load of the target and its queue."""
        now_s = self._timers.now_s()
        is_cold = self._is_cold(now_s)
        queue = self.queue
        limit = queue.limit
        if is_cold:
            limit = max(1, int(queue.cold_calls_per_s * queue.service_s))
        wait_s = max(0.0, queue.expected_wait_s(is_cold=is_cold))
        cold_s = self.watch.cold_until_s - now_s if is_cold else 0
        return TargetLoad(
            is_usable=self.is_usable,
            pending_calls=queue.in_flight + queue.waiting,
            limit=limit,
            service_us=int(queue.service_s * 1e6) if queue.run_count else 0,
            wait_us=int(wait_s * 1e6),
            offered_deci_per_s=int(queue.offered_per_s(now_s) * 10),
            capacity_deci_per_s=int(queue.capacity_per_s(is_cold=is_cold) * 10),
            failing_percent=int(self._failing.share(now_s) * PERCENT),
            cold_ms=int(cold_s * MS_PER_S),
            route_code=self._times.last_code,
            route_deci_ms=self._times.last_deci_ms,
            pace_percent=self._times.pace_percent(now_s),
        )

    def usage(
        self, route: str, estimates: UsageEstimates
    ) -> tuple[ServiceUsage, ...]:
        """Return the runs of each service that one run of a route causes."""
        own = ServiceUsage(self.watch.service, 1.0)
        return add_own_usage(
            own, estimates.total_usage(self.attribution.calls_of(route))
        )

    @property
    def is_usable(self) -> bool:
        """Return whether new calls are accepted."""
        return (
            self.watch.is_usable
            and not self._is_stopping
            and self._context.domain not in self._state().evacuated
            and not self._context.rollouts.is_closed(
                self._timers.now_s(), self.watch.service, self.watch.version
            )
        )

    @property
    def in_hand(self) -> int:
        """Return how many calls wait or run."""
        return len(self._pending)

    def _is_cold(self, now_s: float) -> bool:
        """Return whether the cold rate of the service limits the calls."""
        return self.queue.limits_cold_calls and self.watch.is_cold(now_s)

    # Calls

    def begin(
        self,
        key: Hashable,
        call: ServedCall,
        on_end: EndingHandler,
        sink: AnswerSink | None = None,
        *,
        is_exposed: bool = False,
    ) -> None:
        """Queue a call, or refuse it.

        Args:
            key: Identifies the call for `cancel`.
            call: The attempt to run.
            on_end: Called once with the ending, but not after `cancel`.
            sink: Receives a large answer in parts, before `on_end`; None
                keeps any answer until it is complete.
            is_exposed: Whether the sender has paid for running it on the
                target version of a rollout.
        """
        now_s = self._timers.now_s()
        waiting = WaitingCall(
            key, call, now_s, now_s + call.remaining_ms / MS_PER_S
        )
        pending = PendingCall(waiting, on_end, stream=self._stream(sink))
        reason = self._refusal_reason(waiting, is_exposed=is_exposed)
        if reason is None and self._passes_on(now_s, call):
            on_end(NotRun(NotRunReason.QUEUE_FULL))
            return
        if reason is None and not self._reserve(now_s, pending):
            reason = NotRunReason.RETRY_BUDGET
        if reason is None:
            reason = self.queue.offer(
                now_s, waiting, is_cold=self._is_cold(now_s)
            )
        if reason is not None:
            self._release(now_s, pending)
            self._log_refused(call, reason)
            on_end(NotRun(reason))
            return
        self._pending.add(pending)
        self.send_waiting()

    def cancel(self, key: Hashable) -> None:
        """Drop a call whose result is no longer awaited."""
        pending = self._pending.pop(key)
        if pending is None:
            return
        now_s = self._timers.now_s()
        if pending.exchange is None:
            self.queue.cancel(pending.waiting)
            self._release(now_s, pending)
            return
        if pending.is_streaming and now_s > pending.waiting.deadline_s:
            # An answer without end is a failure of the target.
            self._failing.add(now_s, is_failed=True)
        self._pool.abandon(pending.exchange)

    def answer_taken(self, key: Hashable, size_bytes: int) -> None:
        """Count bytes of an answer in parts that its caller has taken."""
        pending = self._pending.get(key)
        if pending is not None and pending.stream is not None:
            pending.stream.taken(size_bytes)

    def keys_of(self, owner: Hashable) -> list[Hashable]:
        """Return the keys of the calls received on one connection."""
        return self._pending.keys_of(owner)

    def send_waiting(self) -> None:
        """Send waiting calls to the target, as far as its limits allow."""
        now_s = self._timers.now_s()
        if not self.watch.is_usable:
            return
        is_cold = self._is_cold(now_s)
        while True:
            waiting = self.queue.take(now_s, is_cold=is_cold)
            if waiting is None:
                return
            self._send_to_target(now_s, waiting)

    def check(self, now_s: float) -> None:
        """Do the periodic work: expire calls, send waiting ones, probe."""
        self.attribution.step(now_s)
        for waiting in self.queue.pop_expired(now_s):
            self._refuse(waiting, NotRunReason.DEADLINE)
        is_cold = self._is_cold(now_s)
        for late in self.queue.pop_late(now_s, is_cold=is_cold):
            self._refuse(late, NotRunReason.QUEUE_FULL)
        self._end_overdue(now_s)
        self._check_evacuation(now_s)
        if not self.watch.is_usable and self.queue.waiting:
            self._refuse_waiting()
        self._notify_if_changed()
        self.send_waiting()
        self._prober.check(now_s)

    def accept_until(self, end_s: float) -> None:
        """Refuse the calls that may not have ended when the process ends.

        Args:
            end_s: Monotonic time at which it ends.
        """
        self._end_s = end_s
        for waiting in self.queue.pop_later(end_s):
            self._refuse(waiting, NotRunReason.TARGET_LEAVING)

    def stop_accepting(self) -> None:
        """Accept no new calls and refuse the waiting ones."""
        if not self._is_stopping:
            self._is_stopping = True
            self._refuse_waiting()
            self._notify_if_changed()

    # Target

    def is_named(self, service: ServiceName) -> bool:
        """Return whether the settings or the configuration name a service."""
        config = self._state().config
        is_configured = config is not None and service in config.services
        return is_configured or service == self._settings_service

    def announced(self, announcement: Announcement) -> TargetChange:
        """Handle an announcement of the target."""
        service = self.watch.service
        version = self.watch.version
        change = self.watch.announced(self._timers.now_s(), announcement)
        if self.watch.service != service:
            # The calls that wait are for the service of before.
            self._refuse_waiting()
        was_usable = self._was_usable
        self._target_changed(change, 'announcement')
        is_reported = self._was_usable != was_usable
        if self.watch.version != version and not is_reported:
            self._status_changed()
        return change

    def settings_named(self, service: ServiceName) -> None:
        """Apply the target's service that changed settings name."""
        if service == self._settings_service:
            return
        self._settings_service = service
        self.watch.settings_named(self._timers.now_s(), service)
        self._refuse_waiting()
        self._notify_if_changed()

    def deregistered(self, departure: TargetDeparture) -> TargetChange:
        """Handle a deregistration of the target."""
        change = self.watch.deregistered(self._timers.now_s(), departure)
        self._target_changed(change, 'deregistration')
        return change

    def config_changed(self) -> None:
        """Apply the configured limits of the target's service."""
        config = self._state().config
        service = config.services.get(self.watch.service) if config else None
        if service is None:
            return
        self.queue.cold_calls_per_s = service.cold_calls_per_s
        self._pool.connection_limit = min(
            max(8, int(service.max_connections * MAX_CONNECTION_SHARE)),
            max(8, self.queue.highest_limit + SPARE_CONNECTIONS),
        )

    def _target_changed(self, change: TargetChange, source: str) -> None:
        now_s = self._timers.now_s()
        if change is TargetChange.NEW:
            self.queue.forget_target()
            self._times = ReportedTimes()
        if change in {TargetChange.NEW, TargetChange.LEAVING}:
            self._log.write(
                LineKind.TARGET,
                f'target_{change.value}',
                target=self.watch.target_id,
                service=self.watch.service,
                source=source,
                slots=self.watch.slots,
                cold_s=round(max(0, self.watch.cold_until_s - now_s), 2),
            )
        if self.watch.slots:
            self.queue.slots = self.watch.slots
        self.config_changed()
        if change is TargetChange.LEAVING:
            self._refuse_waiting()
        self._notify_if_changed()
        self.send_waiting()

    def _check_evacuation(self, now_s: float) -> None:
        is_evacuated = self._context.domain in self._state().evacuated
        if is_evacuated and not self._was_evacuated:
            self._refuse_waiting()
        if self._was_evacuated and not is_evacuated:
            # Targets of a restored failure domain are cold.
            self.watch.suspect(now_s)
        self._was_evacuated = is_evacuated

    def _notify_if_changed(self) -> None:
        usable = self.is_usable
        if usable != self._was_usable:
            self._was_usable = usable
            self._status_changed()

    def _refuse_waiting(self) -> None:
        for waiting in self.queue.pop_all():
            self._refuse(waiting, NotRunReason.TARGET_LEAVING)

    # Runs

    def _end_overdue(self, now_s: float) -> None:
        """End calls that the target should have ended by their deadline."""
        for pending in self._pending.pop_overdue(now_s):
            self._log_failed(now_s, pending.waiting, 'overdue')
            self._failing.add(now_s, is_failed=True)
            if pending.exchange is not None:
                self._pool.abandon(pending.exchange)
            pending.on_end(Unknown(UnknownReason.DEADLINE))

    def _send_to_target(self, now_s: float, waiting: WaitingCall) -> None:
        pending = self._pending[waiting.key]
        call = waiting.call
        remaining_ms = max(1, int((waiting.deadline_s - now_s) * MS_PER_S))
        self.attribution.began(now_s, call.route)
        pending.run = Run(
            call.route,
            call.is_repeat,
            call.root_priority,
            waiting.deadline_s,
        )
        self.positions.began(now_s, pending.run)
        self._pending.start_timeout(pending)
        pending.exchange = self._pool.send(
            self._codec.encode_call(call, self.watch.target_id, remaining_ms),
            lambda end: self._run_ended(pending, end),
            is_head=call.method == 'HEAD',
            check_response=lambda response: self._codec.match_answer(
                call, response
            ),
            body_sink=pending.stream,
        )
        if pending.stream is not None:
            pending.stream.exchange = pending.exchange

    def _stream(self, sink: AnswerSink | None) -> ServedStream | None:
        if sink is None:
            return None
        return ServedStream(sink, self._codec.decode_answer, self._timers.now_s)

    def _run_ended(
        self, pending: PendingCall, end: HttpResponse | ExchangeFailure
    ) -> None:
        now_s = self._timers.now_s()
        waiting = pending.waiting
        run_end = (
            RunFailed(end)
            if isinstance(end, ExchangeFailure)
            else self._codec.decode_answer(end)
        )
        self.queue.release(
            now_s, waiting, has_run=isinstance(run_end, RunAnswered)
        )
        if not isinstance(run_end, RunFailed) and not self.watch.is_cold(now_s):
            is_rejected = isinstance(run_end, RunRefused)
            self.queue.record_answer(now_s, waiting, is_rejected=is_rejected)
        self.attribution.ended(now_s, waiting.call.route)
        if pending.run is not None:
            self.positions.ended(
                now_s, pending.run, has_finished=_is_success(run_end)
            )
        self._release(now_s, pending)
        if end is not ExchangeFailure.ABANDONED:
            self._failing.add(now_s, is_failed=_is_failed(run_end))
        self._record_time(now_s, waiting, run_end)
        is_awaited = self._pending.pop(waiting.key) is not None
        if is_awaited:
            ending = self._ending(now_s, waiting, run_end)
            if isinstance(ending, Answered) and pending.is_streaming:
                ending = Streamed(ending.answer.status)
            pending.on_end(ending)
        self.send_waiting()

    def _record_time(
        self,
        now_s: float,
        waiting: WaitingCall,
        run_end: RunAnswered | RunRefused | RunFailed,
    ) -> None:
        """Record how long the target took, unless it failed the call."""
        if waiting.started_s is None or not isinstance(run_end, RunAnswered):
            return
        if not _is_failed(run_end):
            took_s = now_s - waiting.started_s
            self._times.record(now_s, waiting.call.route, took_s)

    def _ending(
        self,
        now_s: float,
        waiting: WaitingCall,
        run_end: RunAnswered | RunRefused | RunFailed,
    ) -> Ending:
        match run_end:
            case RunAnswered(answer):
                self._context.counters.runs += 1
                return Answered(answer)
            case RunRefused(is_other_target):
                if is_other_target:
                    self._suspect(now_s, 'other_target')
                self._log_refused(waiting.call, NotRunReason.TARGET_REFUSED)
                return NotRun(NotRunReason.TARGET_REFUSED)
            case RunFailed(failure):
                return self._failure_ending(now_s, waiting, failure)

    def _failure_ending(
        self, now_s: float, waiting: WaitingCall, failure: ExchangeFailure
    ) -> Ending:
        if failure is ExchangeFailure.UNSENT:
            self._suspect(now_s, failure.value)
            return NotRun(NotRunReason.TARGET_UNREACHED)
        if failure is ExchangeFailure.RESET and not self._pool.open_connections:
            self._suspect(now_s, failure.value)
        self._log_failed(now_s, waiting, failure.value)
        if failure in {ExchangeFailure.RESET, ExchangeFailure.CUT}:
            return Unknown(UnknownReason.ANSWER_LOST)
        return Unknown(UnknownReason.ANSWER_SPOILED)

    def _log_failed(
        self, now_s: float, waiting: WaitingCall, failure: str
    ) -> None:
        self._log.write(
            LineKind.FAILED,
            'run_failed',
            request=waiting.call.request_id,
            route=waiting.call.route,
            target=self.watch.target_id,
            failure=failure,
            ran_s=round(now_s - (waiting.started_s or now_s), 3),
        )

    def _suspect(self, now_s: float, why: str) -> None:
        if self.watch.is_verified:
            self._log.write(
                LineKind.TARGET,
                'target_suspected',
                target=self.watch.target_id,
                why=why,
            )
        self.watch.suspect(now_s)
        self._refuse_waiting()
        self._notify_if_changed()

    # Retry budget

    def _reserve(self, now_s: float, pending: PendingCall) -> bool:
        """Reserve the calls of a repeated run; return whether they fit."""
        call = pending.waiting.call
        if self._reruns is None or not call.is_repeat:
            return True
        pending.reservation = self._reruns.reserve(
            now_s, calls_by_service(self.attribution.calls_of(call.route))
        )
        return pending.reservation is not None

    def _release(self, now_s: float, pending: PendingCall) -> None:
        if self._reruns is not None and pending.reservation is not None:
            self._reruns.release(now_s, pending.reservation)
            pending.reservation = None

    # Refusals

    def _refusal_reason(
        self, waiting: WaitingCall, *, is_exposed: bool
    ) -> NotRunReason | None:
        if waiting.call.service != self.watch.service:
            return NotRunReason.NO_TARGET
        if self.watch.is_leaving or self._is_stopping:
            return NotRunReason.TARGET_LEAVING
        if waiting.deadline_s > self._end_s:
            return NotRunReason.TARGET_LEAVING
        watch = self.watch
        is_unpaid = not is_exposed and self._context.rollouts.needs_payment(
            watch.service, watch.version
        )
        if is_unpaid or not self.is_usable:
            return NotRunReason.NO_TARGET
        return None

    def _passes_on(self, now_s: float, call: ServedCall) -> bool:
        """Return whether another target should take a call, and count it."""
        queue = self.queue
        if self._is_cold(now_s) or not passes_on(
            call, queue, self.siblings(), self._context.domain
        ):
            return False
        queue.count_offered(now_s)
        self._context.counters.not_taken['passed_on'] += 1
        if self._log.reserve_line(LineKind.REFUSED):
            self._log.append(
                'call_passed_on',
                request=call.request_id,
                route=call.route,
                waiting=queue.waiting,
                in_flight=queue.in_flight,
                limit=queue.limit,
            )
        return True

    def _refuse(self, waiting: WaitingCall, reason: NotRunReason) -> None:
        pending = self._pending.pop(waiting.key)
        if pending is None:
            return
        self._release(self._timers.now_s(), pending)
        self._log_refused(waiting.call, reason)
        pending.on_end(NotRun(reason))

    def _route_ms(self, route: str) -> float:
        """Return the mean service time of a route; 0 while it isn't known."""
        route_time = self.queue.route_times.of_route(route)
        if route_time is None:
            return 0
        return round(route_time.mean_s * MS_PER_S, 1)

    def _log_refused(self, call: ServedCall, reason: NotRunReason) -> None:
        self._context.counters.not_taken[reason.name.lower()] += 1
        if not self._log.reserve_line(LineKind.REFUSED):
            return
        self._log.append(
            'call_not_taken',
            request=call.request_id,
            route=call.route,
            reason=reason.name.lower(),
            waiting=self.queue.waiting,
            in_flight=self.queue.in_flight,
            limit=self.queue.limit,
            service_ms=round(self.queue.service_s * MS_PER_S, 1),
            route_ms=self._route_ms(call.route),
            scarce=self.queue.is_scarce,
            left_ms=call.remaining_ms,
        )


def _is_success(run_end: RunAnswered | RunRefused | RunFailed) -> bool:
    return isinstance(run_end, RunAnswered) and run_end.answer.is_success


def _is_failed(run_end: RunAnswered | RunRefused | RunFailed) -> bool:
    """Return whether the target failed a call that reached it."""
    match run_end:
        case RunAnswered(answer):
            return answer.status >= _SERVER_ERROR
        case RunRefused(is_other_target):
            return not is_other_target
        case RunFailed(failure):
            return failure is not ExchangeFailure.UNSENT
