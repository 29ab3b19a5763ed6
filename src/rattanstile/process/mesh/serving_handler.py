"""Serves the calls of all nodes on the target beside this one."""

from collections.abc import Callable, Hashable

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.connection.target_pool import TargetPool
from rattanstile.process.decision_log import Kind
from rattanstile.process.mesh.call_tree import CallAttribution
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.failing_share import FailingShare
from rattanstile.process.mesh.ports import (
    RunAnswered,
    RunFailed,
    RunRefused,
    TargetCodec,
)
from rattanstile.process.mesh.served_calls import ServedCalls, ServedInHand
from rattanstile.process.mesh.service_needs import UsageEstimates, add_own_usage
from rattanstile.process.mesh.target_gate import TargetGate, WaitingCall
from rattanstile.process.mesh.target_prober import TargetProber
from rattanstile.process.mesh.target_watch import (
    Announcement,
    TargetChange,
    TargetDeparture,
    TargetWatch,
)
from rattanstile.request.exchange import (
    Answered,
    Ending,
    EndingHandler,
    NotRun,
    NotRunReason,
    ServedCall,
    ServiceUsage,
    Unknown,
    UnknownReason,
)

SPARE_CONNECTIONS = 8
"""Connections beyond the limit, for those that are about to close."""
CONNECTION_SHARE = 0.9
MS_PER_S = 1000
PERCENT = 100
_SERVER_ERROR = 500


class ServingHandler:
    """Takes calls in, runs them on the target and tells how they ended.

    Args:
        context: What the parts of the node share.
        watch: Follows the target.
        pool: Carries the calls.
        dialect: How the target is spoken to.
        status_changed: Called when other nodes are to be told the load.
    """

    def __init__(
        self,
        context: NodeContext,
        watch: TargetWatch,
        pool: TargetPool,
        codec: TargetCodec,
        status_changed: Callable[[], None],
    ) -> None:
        """Begin without calls."""
        self.watch = watch
        self.queue = TargetGate()
        self.attribution = CallAttribution()
        self._failing = FailingShare()
        self._is_stopping = False
        self._context = context
        self._state = context.state
        self._pool = pool
        self._codec = codec
        self._timers = context.timers
        self._log = context.log
        self._status_changed = status_changed
        self._served = ServedCalls()
        self._was_usable = False
        self._prober = TargetProber(
            context,
            watch,
            pool,
            codec,
            lambda heard: self._heard(heard, 'probe'),
        )
        self._was_evacuated = False

    # What others are told

    def load(self) -> TargetLoad:
        """Return how the target and the queue before it are."""
        now_s = self._timers.now_s()
        is_cold = self.watch.is_cold(now_s)
        queue = self.queue
        limit = queue.limit
        if is_cold:
            limit = max(1, int(queue.cold_calls_per_s * queue.service_s))
        wait_s = max(0.0, queue.expected_wait_s(is_cold=is_cold))
        return TargetLoad(
            is_usable=self.is_usable,
            held=queue.in_flight + queue.waiting,
            limit=limit,
            service_us=int(queue.service_s * 1e6) if queue.ran else 0,
            wait_us=int(wait_s * 1e6),
            offered_deci_per_s=int(queue.offered_per_s(now_s) * 10),
            capacity_deci_per_s=int(queue.capacity_per_s(is_cold=is_cold) * 10),
            failing_percent=int(self._failing.share(now_s) * PERCENT),
        )

    def usage(self, route: str, below: UsageEstimates) -> tuple[ServiceUsage, ...]:
        """Return what a run of a route takes, of this service and others."""
        own = ServiceUsage(self.watch.service, 1.0)
        return add_own_usage(own, below.below(self.attribution.calls_of(route)))

    @property
    def is_usable(self) -> bool:
        """Tell whether new calls are taken."""
        return (
            self.watch.is_usable
            and not self._is_stopping
            and self._context.domain not in self._state().evacuated
        )

    @property
    def in_hand(self) -> int:
        """Return how many calls wait or run."""
        return len(self._served)

    # Calls

    def begin(
        self, key: Hashable, call: ServedCall, ended: EndingHandler
    ) -> None:
        """Take a call; `ended` is told once, and not after `cancel`."""
        now_s = self._timers.now_s()
        reason = self._reason_not_to_take(call)
        waiting = WaitingCall(
            key, call, now_s, now_s + call.remaining_ms / MS_PER_S
        )
        if reason is None:
            reason = self.queue.offer(
                now_s, waiting, is_cold=self.watch.is_cold(now_s)
            )
        if reason is not None:
            self._log_refused(call, reason)
            ended(NotRun(reason))
            return
        self._served.add(ServedInHand(waiting, ended))
        self.pump()

    def cancel(self, key: Hashable) -> None:
        """Drop a call: nobody waits for it any more."""
        served = self._served.pop(key)
        if served is None:
            return
        if served.exchange is None:
            self.queue.cancel(served.waiting)
            return
        self._pool.abandon(served.exchange)

    def keys_of(self, owner: Hashable) -> list[Hashable]:
        """Return the keys of the calls that came in on one connection."""
        return self._served.keys_of(owner)

    def pump(self) -> None:
        """Send the calls that may be sent now."""
        now_s = self._timers.now_s()
        if not self.watch.is_usable:
            return
        is_cold = self.watch.is_cold(now_s)
        while True:
            waiting = self.queue.take(now_s, is_cold=is_cold)
            if waiting is None:
                return
            self._run(now_s, waiting)

    def check(self, now_s: float) -> None:
        """Do what time brings: expiry, pace, probes."""
        self.attribution.step(now_s)
        for waiting in self.queue.expired(now_s):
            self._refuse(waiting, NotRunReason.DEADLINE)
        self._end_overdue(now_s)
        self._check_evacuation(now_s)
        if not self.watch.is_usable and self.queue.waiting:
            self._bounce()
        self._tell_if_changed()
        self.pump()
        self._prober.check(now_s)

    def stop_accepting(self) -> None:
        """Take no new call, and give back those that wait."""
        if not self._is_stopping:
            self._is_stopping = True
            self._bounce()
            self._tell_if_changed()

    # The target

    def announced(self, told: Announcement) -> TargetChange:
        """Take the target's word of itself."""
        heard = self.watch.announced(self._timers.now_s(), told)
        self._heard(heard, 'announcement')
        return heard

    def deregistered(self, told: TargetDeparture) -> TargetChange:
        """Take the target's word that it goes."""
        heard = self.watch.deregistered(told)
        self._heard(heard, 'deregistration')
        return heard

    def config_changed(self) -> None:
        """Take the declared limits of the target's service."""
        config = self._state().config
        service = config.services.get(self.watch.service) if config else None
        if service is None:
            return
        self.queue.cold_calls_per_s = service.cold_calls_per_s
        self._pool.most_connections = min(
            max(8, int(service.max_connections * CONNECTION_SHARE)),
            max(8, self.queue.limit + SPARE_CONNECTIONS),
        )

    def _heard(self, heard: TargetChange, source: str) -> None:
        now_s = self._timers.now_s()
        if heard in {TargetChange.NEW, TargetChange.LEAVING}:
            self._log.write(
                Kind.TARGET,
                f'target_{heard.value}',
                target=self.watch.target_id,
                service=self.watch.service,
                source=source,
                slots=self.watch.slots,
                cold_s=round(max(0, self.watch.cold_until_s - now_s), 2),
            )
        if self.watch.slots:
            self.queue.slots = self.watch.slots
        self.config_changed()
        if heard is TargetChange.LEAVING:
            self._bounce()
        self._tell_if_changed()
        self.pump()

    def _check_evacuation(self, now_s: float) -> None:
        is_evacuated = self._context.domain in self._state().evacuated
        if is_evacuated and not self._was_evacuated:
            self._bounce()
        if self._was_evacuated and not is_evacuated:
            # Targets of a domain that comes back are cold.
            self.watch.suspect(now_s)
        self._was_evacuated = is_evacuated

    def _tell_if_changed(self) -> None:
        usable = self.is_usable
        if usable != self._was_usable:
            self._was_usable = usable
            self._status_changed()

    def _bounce(self) -> None:
        for waiting in self.queue.emptied():
            self._refuse(waiting, NotRunReason.TARGET_LEAVING)

    # Runs

    def _end_overdue(self, now_s: float) -> None:
        """End calls that the target should have stopped by itself."""
        for served in self._served.overdue(now_s):
            self._log_failed(now_s, served.waiting, 'overdue')
            self._failing.add(now_s, is_failed=True)
            if served.exchange is not None:
                self._pool.abandon(served.exchange)
            served.ended(Unknown(UnknownReason.DEADLINE))

    def _run(self, now_s: float, waiting: WaitingCall) -> None:
        served = self._served[waiting.key]
        call = waiting.call
        remaining_ms = max(1, int((waiting.deadline_s - now_s) * MS_PER_S))
        self.attribution.began(now_s, call.route)
        self._served.runs(served)
        served.exchange = self._pool.send(
            self._codec.encode_call(call, self.watch.target_id, remaining_ms),
            lambda end: self._ran(served, end),
            is_head=call.method == 'HEAD',
            is_own=lambda response: self._codec.is_answer_to(call, response),
        )

    def _ran(
        self, served: ServedInHand, end: HttpResponse | ExchangeFailure
    ) -> None:
        now_s = self._timers.now_s()
        waiting = served.waiting
        run_end = (
            RunFailed(end)
            if isinstance(end, ExchangeFailure)
            else self._codec.decode_answer(end)
        )
        self.queue.ended(now_s, waiting, ran=isinstance(run_end, RunAnswered))
        self.attribution.ended(now_s, waiting.call.route)
        if end is not ExchangeFailure.ABANDONED:
            self._failing.add(now_s, is_failed=_is_failed(run_end))
        is_wanted = self._served.pop(waiting.key) is not None
        if is_wanted:
            served.ended(self._ending(now_s, waiting, run_end))
        self.pump()

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
                return self._failed(now_s, waiting, failure)

    def _failed(
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
            Kind.FAILED,
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
                Kind.TARGET,
                'target_suspected',
                target=self.watch.target_id,
                why=why,
            )
        self.watch.suspect(now_s)
        self._bounce()
        self._tell_if_changed()

    # Refusals

    def _reason_not_to_take(self, call: ServedCall) -> NotRunReason | None:
        if call.service != self.watch.service:
            return NotRunReason.NO_TARGET
        if self.watch.is_leaving or self._is_stopping:
            return NotRunReason.TARGET_LEAVING
        if not self.is_usable:
            return NotRunReason.NO_TARGET
        return None

    def _refuse(self, waiting: WaitingCall, reason: NotRunReason) -> None:
        served = self._served.pop(waiting.key)
        if served is None:
            return
        self._log_refused(waiting.call, reason)
        served.ended(NotRun(reason))

    def _log_refused(self, call: ServedCall, reason: NotRunReason) -> None:
        self._context.counters.not_taken[reason.name.lower()] += 1
        if not self._log.takes(Kind.REFUSED):
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
            left_ms=call.remaining_ms,
        )


def _is_failed(run_end: RunAnswered | RunRefused | RunFailed) -> bool:
    """Tell whether the target failed a call that reached it."""
    match run_end:
        case RunAnswered(answer):
            return answer.status >= _SERVER_ERROR
        case RunRefused(is_other_target):
            return not is_other_target
        case RunFailed(failure):
            return failure is not ExchangeFailure.UNSENT
