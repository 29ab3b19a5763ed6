"""Serving state machine, which makes the final decision to run each call.

Each call is checked when it arrives and again just before dispatch: the key
must be in force, target and failure domain must be in service, and the
deadline must be reachable. The outcome `NOT_RUN` is reported only for calls
that were never dispatched, that failed before any byte reached the target, or
that the target itself reports as not run.
"""

from collections.abc import Callable, Iterable

import logbook
import msgspec

from rattanstile.process.messages import (
    CallArrived,
    CancelArrived,
    CancelDispatch,
    ChildCallCompleted,
    Dispatch,
    DrainBegan,
    SendReply,
    ServingInput,
    ServingOutput,
    TargetAnswered,
    TargetFailed,
    TargetFailure,
    TargetRestarted,
    Ticked,
)
from rattanstile.process.serving.admission import (
    AdmissionQueue,
    DroppedCall,
    QueuedCall,
)
from rattanstile.process.serving.boot_watch import BootWatch
from rattanstile.process.serving.call_checks import (
    ServingIdentity,
    reason_not_to_run,
)
from rattanstile.process.serving.home_table import (
    HomeTable,
    JoinRunning,
    RunCall,
)
from rattanstile.process.serving.limiter import TargetLimiter
from rattanstile.process.serving.pressure import PressureReport
from rattanstile.process.serving.pressure_gauge import PressureGauge
from rattanstile.process.serving.serving_call import (
    RESTART_SIGNS,
    LiveCall,
    Waiter,
    reply_of_answer,
    reply_of_failure,
)
from rattanstile.process.serving.slot_time import SlotTime
from rattanstile.request.envelope import Call, Reply, refusal
from rattanstile.request.ids import CallId, NodeId
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import TargetLimits
from rattanstile.version.in_force import VersionInForce

MIN_QUEUE_CALLS = 8
QUEUED_SERVICE_TIME_FACTOR = 1.2
ABANDONED_SLOT_TIMEOUT_S = 30.0
MIN_RETRY_AFTER_MS = 100
UNDECLARED_LIMITS = TargetLimits(slots=1)

__all__ = ('ServingIdentity', 'ServingMachine')

_log = logbook.Logger('serving')


class ServingMachine:
    """Admits, queues, dispatches and answers the calls of one target.

    Args:
        identity: The identity of this node.
        in_force: Returns the version in force.
        now_s: Monotonic seconds; the target is considered cold from then on.
        home_table: Limits each non-idempotent call to one run.
        limiter: Replaces the default limiter.
    """

    def __init__(
        self,
        identity: ServingIdentity,
        in_force: Callable[[], VersionInForce],
        now_s: float,
        home_table: HomeTable,
        limiter: TargetLimiter | None = None,
    ) -> None:
        """Start with a cold target and an empty queue."""
        self.draining = False
        self._identity = identity
        self._in_force = in_force
        self._home_table = home_table
        self._limiter = limiter or TargetLimiter(self._limits(), now_s)
        self._queue = AdmissionQueue()
        self._gauge = PressureGauge(now_s)
        self._slot_time = SlotTime()
        self._live: dict[CallId, LiveCall] = {}
        self._boot_watch = BootWatch(identity.target_id, self._limiter, now_s)

    @property
    def limit(self) -> int:
        """Return the concurrency limit of the target, in calls."""
        return self._limiter.limit

    @property
    def running(self) -> int:
        """Return the number of calls in flight on the target."""
        return self._limiter.in_flight

    @property
    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    @property
    def pressure(self) -> float:
        """Return the highest pressure of all organisations."""
        return self._gauge.max_pressure

    @property
    def is_idle(self) -> bool:
        """Return whether no call is queued or running, which ends a drain."""
        return not self._live

    def step(
        self, now_s: float, serving_input: ServingInput
    ) -> list[ServingOutput]:
        """Handle one input and return the resulting outputs.

        Args:
            now_s: Monotonic seconds.
            serving_input: The event to handle.
        """
        self._limiter.limits = self._limits()
        outputs = self._handle(now_s, serving_input)
        outputs.extend(self._dispatch_next(now_s))
        if self._gauge.is_due(now_s):
            self._gauge.update(
                now_s,
                self._limiter.in_flight / self._limiter.limit,
                len(self._queue) / self._capacity,
            )
        return outputs

    def _handle(
        self, now_s: float, serving_input: ServingInput
    ) -> list[ServingOutput]:
        match serving_input:
            case CallArrived():
                return self._handle_call(now_s, serving_input)
            case TargetAnswered():
                return self._handle_answer(now_s, serving_input)
            case TargetFailed():
                return self._handle_failure(now_s, serving_input)
            case TargetRestarted(boot_id=boot_id):
                self._boot_watch.record_restart(now_s, boot_id)
            case CancelArrived():
                return self._handle_cancel(now_s, serving_input)
            case ChildCallCompleted():
                self._handle_child_end(serving_input)
            case Ticked():
                return self._handle_tick(now_s)
            case DrainBegan():
                self.draining = True
        return []

    # Arrival

    def _handle_call(
        self, now_s: float, arrival: CallArrived
    ) -> list[ServingOutput]:
        call = arrival.call
        deadline_s = now_s + call.remaining_ms / 1000
        waiter = Waiter(
            arrival.sender, call.attempt, deadline_s, call.organisation
        )
        if call.idempotent:
            if call.call_id in self._live:
                return self._join(call, waiter)
        else:
            verdict = self._home_table.arrive(now_s, call)
            match verdict:
                case RunCall():
                    pass
                case JoinRunning():
                    return self._join(call, waiter)
                case _:
                    return [self._address_reply(verdict.reply, waiter)]
        live = LiveCall(call, now_s, deadline_s, [waiter])
        self._live[call.call_id] = live
        reason = self._reason_to_refuse_arrival(now_s, live)
        if reason:
            return self._refuse(now_s, live, reason)
        return self._enqueue(now_s, live, arrival.sender)

    def _join(self, call: Call, waiter: Waiter) -> list[ServingOutput]:
        live = self._live[call.call_id]
        if live.is_same_call(call):
            live.waiters.append(waiter)
            return []
        reused = refusal(call, Reason.KEY_REUSED, outcome=Outcome.UNKNOWN)
        return [self._address_reply(reused, waiter)]

    def _enqueue(
        self, now_s: float, live: LiveCall, sender: NodeId
    ) -> list[ServingOutput]:
        cost = self._slot_time.relative_cost(live.call.organisation)
        self._gauge.arrived(now_s, live.call, cost)
        queued = QueuedCall(live.call, sender, live.deadline_s, now_s, cost)
        capacity = self._capacity + self._free_slots
        dropped = self._queue.offer(queued, capacity)
        return self._drop(now_s, dropped) if dropped else []

    def _reason_to_refuse_arrival(
        self, now_s: float, live: LiveCall
    ) -> Reason | None:
        if self.draining:
            return Reason.DRAINING
        return self._reason_not_to_run(now_s, live)

    def _reason_not_to_run(self, now_s: float, live: LiveCall) -> Reason | None:
        version = self._in_force()
        reason = reason_not_to_run(live.call, self._identity, version)
        return reason or self._deadline_reason(now_s, live)

    def _deadline_reason(self, now_s: float, live: LiveCall) -> Reason | None:
        """Return `Reason.DEADLINE` if the answer would come too late.

        A call that was queued runs only if it has a margin over the mean
        service time. Under overload the head of the queue is close to its
        deadline, and half of the calls with just the mean service time left
        would miss their deadline and waste the run.
        """
        needed_s = self._limiter.service_s(now_s)
        if now_s > live.arrived_s:
            needed_s *= QUEUED_SERVICE_TIME_FACTOR
        if now_s + needed_s > live.deadline_s:
            return Reason.DEADLINE
        return None

    # Dispatch

    def _dispatch_next(self, now_s: float) -> list[ServingOutput]:
        outputs: list[ServingOutput] = []
        while self._limiter.has_free_slot(now_s):
            queued = self._queue.take()
            if queued is None:
                break
            live = self._live[queued.call.call_id]
            reason = self._reason_not_to_run(now_s, live)
            if reason:
                self._count_refused(now_s, live, reason)
                outputs.extend(self._refuse(now_s, live, reason))
                continue
            outputs.append(self._dispatch(now_s, live, queued.cost))
        return outputs

    def _dispatch(self, now_s: float, live: LiveCall, cost: float) -> Dispatch:
        live.dispatched_s = now_s
        self._limiter.started(now_s)
        self._gauge.dispatched(now_s, live.call.priority, cost)
        remaining_ms = max(1, int((live.deadline_s - now_s) * 1000))
        return Dispatch(live.call, remaining_ms)

    # Completion and expiry

    def _handle_answer(
        self, now_s: float, answer: TargetAnswered
    ) -> list[ServingOutput]:
        live = self._live.pop(answer.call_id, None)
        if live is None or live.dispatched_s is None:
            return []
        self._boot_watch.record_answer(now_s, answer.boot_id, live.dispatched_s)
        self._slot_time.ended(live.call.organisation, now_s - live.dispatched_s)
        self._limiter.ended(
            now_s, now_s - live.dispatched_s, ok=not answer.stated_not_run
        )
        return self._reply_all(now_s, live, reply_of_answer(live.call, answer))

    def _handle_failure(
        self, now_s: float, failed: TargetFailed
    ) -> list[ServingOutput]:
        live = self._live.pop(failed.call_id, None)
        if live is None or live.dispatched_s is None:
            return []
        if failed.failure in RESTART_SIGNS:
            self._boot_watch.suspect_restart(now_s)
        if failed.failure is TargetFailure.CANCELLED:
            self._limiter.released(now_s)
        else:
            self._limiter.ended(now_s, now_s - live.dispatched_s, ok=False)
        return self._reply_all(now_s, live, reply_of_failure(live.call, failed))

    def _handle_tick(self, now_s: float) -> list[ServingOutput]:
        self._home_table.tick(now_s)
        outputs: list[ServingOutput] = []
        for dropped in self._queue.expire(
            now_s, self._limiter.service_s(now_s)
        ):
            outputs.extend(self._drop(now_s, dropped))
        for live in list(self._live.values()):
            if live.dispatched_s is not None:
                outputs.extend(self._expire_running(now_s, live))
        return outputs

    def _expire_running(
        self, now_s: float, live: LiveCall
    ) -> Iterable[ServingOutput]:
        expired = live.pop_expired_waiters(now_s)
        if live.waiters and not expired:
            return
        call = live.call
        unknown = refusal(call, Reason.DEADLINE, outcome=Outcome.UNKNOWN)
        for waiter in expired:
            yield self._address_reply(unknown, waiter)
        if live.waiters:
            return
        if not live.is_cancel_sent:
            live.is_cancel_sent = True
            yield CancelDispatch(call.call_id)
        if now_s > live.deadline_s + ABANDONED_SLOT_TIMEOUT_S:
            self._live.pop(call.call_id)
            self._limiter.released(now_s)
            self._record_end(now_s, call, unknown)

    def _handle_cancel(
        self, now_s: float, arrival: CancelArrived
    ) -> list[ServingOutput]:
        cancel = arrival.cancel
        live = self._live.get(cancel.call_id)
        if live is None:
            return []
        waiter = live.pop_waiter(arrival.sender, cancel.attempt)
        if waiter is None or live.waiters:
            return []
        live.waiters.append(waiter)
        if live.dispatched_s is None:
            self._queue.cancel(live.call.call_id, live.call.attempt)
            return self._refuse(now_s, live, Reason.CANCELLED)
        live.is_cancel_sent = True
        return [CancelDispatch(cancel.call_id)]

    def _handle_child_end(self, child: ChildCallCompleted) -> None:
        live = self._live.get(child.parent)
        if live and child.pressure >= live.subtree.pressure:
            ceiling = max(child.ceiling, child.pressure)
            live.subtree = PressureReport(child.pressure, ceiling)

    # Replies

    def _drop(self, now_s: float, dropped: DroppedCall) -> list[ServingOutput]:
        live = self._live[dropped.queued.call.call_id]
        self._count_refused(now_s, live, dropped.reason)
        return self._refuse(now_s, live, dropped.reason)

    def _count_refused(
        self, now_s: float, live: LiveCall, reason: Reason
    ) -> None:
        if reason.is_overload:
            self._gauge.refused(now_s, live.call)

    def _refuse(
        self, now_s: float, live: LiveCall, reason: Reason
    ) -> list[ServingOutput]:
        self._live.pop(live.call.call_id, None)
        _log.info(
            f'event=call_refused call={live.call.call_id}'
            f' service={live.call.service} reason={reason.value}'
            f' priority={live.call.priority.name.lower()}'
        )
        retry_after_ms = 0
        if reason.is_overload:
            service_ms = int(self._limiter.latency_s * 1000)
            retry_after_ms = max(MIN_RETRY_AFTER_MS, service_ms)
        refused = refusal(live.call, reason, retry_after_ms=retry_after_ms)
        return self._reply_all(now_s, live, refused)

    def _reply_all(
        self, now_s: float, live: LiveCall, reply: Reply
    ) -> list[ServingOutput]:
        self._record_end(now_s, live.call, reply)
        reply_with_subtree = msgspec.structs.replace(
            reply,
            subtree_pressure=live.subtree.pressure,
            subtree_ceiling=live.subtree.ceiling,
        )
        return [
            self._address_reply(reply_with_subtree, waiter)
            for waiter in live.waiters
        ]

    def _record_end(self, now_s: float, call: Call, reply: Reply) -> None:
        if not call.idempotent:
            self._home_table.ended(now_s, call, reply)

    def _address_reply(self, reply: Reply, waiter: Waiter) -> SendReply:
        """Address a reply to one attempt and add the load of the target."""
        pressure_report = self._gauge.report_for(
            waiter.organisation, self._limiter.limit
        )
        reply_with_load = msgspec.structs.replace(
            reply,
            attempt=waiter.attempt,
            shed_level=self._gauge.level,
            in_flight=self._limiter.in_flight + len(self._queue),
            limit=pressure_report.weight,
            pressure=pressure_report.pressure,
            pressure_ceiling=pressure_report.ceiling,
        )
        return SendReply(reply_with_load, waiter.sender)

    # Capacity and limits

    @property
    def _capacity(self) -> int:
        return max(MIN_QUEUE_CALLS, self._limiter.limit)

    @property
    def _free_slots(self) -> int:
        return max(0, self._limiter.limit - self._limiter.in_flight)

    def _limits(self) -> TargetLimits:
        service = self._in_force().service(self._identity.service)
        return service.limits if service else UNDECLARED_LIMITS
