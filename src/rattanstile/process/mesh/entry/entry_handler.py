"""Handles caller requests: validation, admission, routing and completion."""

import heapq

from result import Err

from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.admission.retry_after import (
    return_at_token_s,
    spread_return_s,
)
from rattanstile.process.mesh.admission.root_admission import (
    AdmissionDecision,
    RootAdmission,
)
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry.entry_call import EntryCall, Phase
from rattanstile.process.mesh.entry.request_checks import (
    NOT_READY_RETRY_S,
    RequestChecks,
)
from rattanstile.process.mesh.fleet.fleet_links import FleetLinks
from rattanstile.process.mesh.placement.attempts import MS_PER_S, Attempts
from rattanstile.process.mesh.placement.call_endings import (
    ending_label,
    is_success,
)
from rattanstile.process.mesh.placement.repeat_ranking import (
    RepeatDecision,
    RepeatRanking,
    repeat_cost,
)
from rattanstile.process.mesh.placement.rerun_budget import RerunBudget
from rattanstile.process.mesh.placement.splitter import Splitter
from rattanstile.process.mesh.rates.rate_limiter import (
    PoolDecision,
    RateDecision,
)
from rattanstile.process.mesh.rates.rate_service import RateService
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.request.exchange import (
    Answered,
    AnswerSink,
    Ending,
    EndingHandler,
    IncomingRequest,
    NotRun,
    NotRunReason,
    Streamed,
    Unknown,
    UnknownReason,
)
from rattanstile.version.fleet_config import FleetRoute, Organisation

MAX_MOVES = 8
"""Maximum number of nodes that one request is offered to."""
MIN_RERUN_TIME_S = 0.02
"""Time that must be left before the deadline to rerun a request."""


class EntryHandler:
    """Coordinates the requests that callers send to this node.

    Attributes:
        roots: Number of root requests in progress.
        end_s: Monotonic time at which this process ends, which requests that
            begin must not exceed; None while it isn't about to end.

    Args:
        context: State shared by the components of the node.
        serving: Serves the attempts that run on this node's target.
        peers: Connections to the nodes that serve the other attempts.
        rates: Admits requests by the rate limits of organisations.
        admission: Admits requests by the load of services.
        reruns: Retry budget of each service.
        links: Opens connections for services that lack candidates.
    """

    def __init__(
        self,
        context: NodeContext,
        serving: ServingHandler,
        peers: PeerPool,
        rates: RateService,
        admission: RootAdmission,
        reruns: RerunBudget,
        links: FleetLinks,
    ) -> None:
        """Initialize without requests."""
        self.attempts = Attempts(
            context, serving, peers, links, self._attempt_ended
        )
        self._context = context
        self._serving = serving
        self._rates = rates
        self._admission = admission
        self._reruns = reruns
        self._ranking = RepeatRanking(reruns)
        self._splitter = Splitter()
        self._checks = RequestChecks(context)
        self.roots = 0
        self.end_s: float | None = None
        self._arrivals = 0
        self._held: dict[EntryCall, None] = {}
        self._deadlines: list[tuple[float, int, EntryCall]] = []

    @property
    def in_hand(self) -> int:
        """Return how many requests are sent or held."""
        return len(self.attempts) + len(self._held)

    # Arrival

    def begin(
        self,
        caller_request: IncomingRequest,
        on_end: EndingHandler,
        sink: AnswerSink | None = None,
    ) -> EntryCall | None:
        """Start handling a request.

        Args:
            caller_request: The request as received.
            on_end: Called once with the ending, unless the request is
                abandoned.
            sink: Receives a large answer in parts, before `on_end`.

        Returns:
            The request in progress, or None if it was refused immediately.
        """
        validated = self._checks.route_of(caller_request)
        if isinstance(validated, Err):
            on_end(validated.err_value)
            return None
        now_s = self._context.timers.now_s()
        call = self._entry_call(
            now_s, caller_request, validated.ok_value, on_end
        )
        call.sink = sink
        if self._may_outlast_process(call):
            refused = NotRun(
                NotRunReason.NOT_READY, self._return_to_next_s(now_s)
            )
            self._checks.log_refused(caller_request, refused)
            on_end(refused)
            return None
        self._add_deadline(call, call.deadline_s)
        if call.is_inner:
            self._serving.attribution.called(now_s, call.run_kind)
            self._infer_origin(now_s, call)
            self._place(now_s, call)
        else:
            self.roots += 1
            self._check_rate(now_s, call)
        return call

    def config_changed(self) -> None:
        """Forget what is kept of routes that were removed."""
        config = self._context.state().config
        if config is not None:
            self._splitter.keep(config.route_names)

    def abandon(self, call: EntryCall) -> None:
        """Drop a request whose caller has disconnected."""
        if call.phase is Phase.ENDED:
            return
        self.attempts.withdraw(call)
        self._mark_ended(call, is_success=False)
        self._context.counters.outcomes['abandoned'] += 1

    def _entry_call(
        self,
        now_s: float,
        caller_request: IncomingRequest,
        route: FleetRoute,
        on_end: EndingHandler,
    ) -> EntryCall:
        allowed_s = route.timeout_s
        if caller_request.deadline_ms:
            allowed_s = min(allowed_s, caller_request.deadline_ms / MS_PER_S)
        is_inner = caller_request.key is None and route.open_to_all
        return EntryCall(
            caller_request=caller_request,
            on_end=on_end,
            route=route,
            service=self._splitter.choose(route),
            organisation=self._organisation(caller_request),
            is_inner=is_inner,
            arrived_s=now_s,
            deadline_s=now_s + allowed_s,
        )

    def _infer_origin(self, now_s: float, call: EntryCall) -> None:
        """Infer which run of the local target makes a call."""
        call.origin = self._serving.positions.called(
            now_s, call.run_kind, call.caller_deadline_s
        )
        if call.origin is not None:
            call.is_repeat = call.origin.run.is_repeat

    def _organisation(
        self, caller_request: IncomingRequest
    ) -> Organisation | None:
        config = self._context.state().config
        if config is None or caller_request.key is None:
            return None
        return config.organisations.get(caller_request.key)

    # Admission

    def _check_rate(self, now_s: float, call: EntryCall) -> None:
        organisation = call.organisation
        if organisation is None:
            self._check_load(now_s, call)
            return
        rate = self._rates.limiter.take(now_s, organisation)
        if rate.is_admitted:
            call.is_beyond_rate = rate.is_given_back
            self._check_load(now_s, call)
        elif rate.may_use_pool:
            call.phase = Phase.AWAITING_TOKEN
            self._rates.tokens.request(
                organisation,
                lambda taken: self._token_answered(call, rate, taken),
            )
        else:
            retry_after_s = spread_return_s(
                self._context.rng,
                call.caller_deadline_s - now_s,
                rate.token_wait_s,
            )
            self._refuse_over_rate(call, rate, retry_after_s)

    def _token_answered(
        self, call: EntryCall, rate: RateDecision, taken: PoolDecision
    ) -> None:
        now_s = self._context.timers.now_s()
        if call.phase is Phase.ENDED:
            if taken.is_granted and call.organisation is not None:
                self._rates.limiter.give_back(call.organisation)
        elif taken.is_granted:
            self._check_load(now_s, call)
        else:
            retry_after_s = return_at_token_s(
                self._context.rng, call.caller_deadline_s - now_s, taken.wait_s
            )
            self._refuse_over_rate(call, rate, retry_after_s)

    def _refuse_over_rate(
        self, call: EntryCall, rate: RateDecision, retry_after_s: float
    ) -> None:
        organisation = call.organisation
        self._context.log.write(
            LineKind.RATE,
            'request_over_rate',
            request=call.caller_request.request_id,
            organisation=organisation.name if organisation else '-',
            tokens=round(rate.tokens, 2),
            part=round(rate.part, 4),
            asked_pool=rate.may_use_pool,
            retry_after_s=round(retry_after_s, 2),
        )
        self._end(call, NotRun(NotRunReason.OVER_RATE, retry_after_s))

    def _check_load(self, now_s: float, call: EntryCall) -> None:
        verdict = self._admission.decide(
            call.run_kind,
            call.route.priority,
            self.attempts.usage.usage_of(call.run_kind),
            now_s,
            call.caller_deadline_s,
            call.sender,
        )
        if verdict.is_admitted:
            self._place(now_s, call)
            return
        self._log_shed(call, verdict)
        self._end(call, NotRun(NotRunReason.OVERLOADED, verdict.retry_after_s))

    def _log_shed(self, call: EntryCall, verdict: AdmissionDecision) -> None:
        if self._context.log.reserve_line(LineKind.REFUSED):
            self._context.log.append(
                'request_shed',
                request=call.caller_request.request_id,
                route=call.route.name,
                service=verdict.service,
                part=verdict.part,
                let_in=verdict.let_in,
                beyond_rate=call.is_beyond_rate,
                retry_after_s=round(verdict.retry_after_s, 2),
            )

    # Placement

    def _may_outlast_process(self, call: EntryCall) -> bool:
        return self.end_s is not None and call.deadline_s > self.end_s

    def _return_to_next_s(self, now_s: float) -> float:
        """Return when a caller finds the next process at this address."""
        end_s = now_s if self.end_s is None else self.end_s
        return NOT_READY_RETRY_S + max(0.0, end_s - now_s)

    def _place(self, now_s: float, call: EntryCall) -> None:
        if self._may_outlast_process(call):
            retry_after_s = self._return_to_next_s(now_s)
            self._end(call, call.refusal(NotRunReason.NOT_READY, retry_after_s))
            return
        if not call.is_counted and not self._count_first_attempt(now_s, call):
            call.last_refusal = NotRunReason.RETRY_BUDGET
            self._end_unplaced(call)
            return
        if not self.attempts.send(now_s, call):
            self._hold(now_s, call)

    def _count_first_attempt(self, now_s: float, call: EntryCall) -> bool:
        """Record the first attempt; return whether the budget allows it."""
        call.is_counted = True
        call.has_unused_repeat = (
            self._reruns.record_first_attempt(
                now_s, call.service, is_repeat=call.is_repeat
            )
            and call.is_repeat
        )
        return call.has_unused_repeat or not call.is_repeat

    def _hold(self, now_s: float, call: EntryCall) -> None:
        call.phase = Phase.HELD
        call.held_until_s = call.hold_until_s()
        if now_s >= call.held_until_s:
            self._end_unplaced(call)
            return
        self._held[call] = None

    def _end_unplaced(self, call: EntryCall) -> None:
        now_s = self._context.timers.now_s()
        self._refund_unused(now_s, call)
        deadline_s = call.caller_deadline_s
        if call.is_inner:
            retry_after_s = self._admission.retry_after_s(
                call.service, now_s, deadline_s
            )
        else:
            retry_after_s = self._admission.return_s(
                call.service,
                call.request_class,
                call.sender,
                now_s,
                deadline_s,
            )
        self._end(call, call.refusal(call.last_refusal, retry_after_s))

    def _refund_unused(self, now_s: float, call: EntryCall) -> None:
        """Take back the repeat of a call that has since reached no target."""
        if call.has_unused_repeat:
            call.has_unused_repeat = False
            self._reruns.refund(now_s, call.service)

    # End of an attempt

    def _attempt_ended(self, call: EntryCall, ending: Ending) -> None:
        if call.phase is Phase.STREAMING:
            if isinstance(ending, NotRun):
                # Parts of its answer were passed on, so it has run.
                ending = Unknown(UnknownReason.ANSWER_LOST)
            self._end(call, ending)
            return
        match ending:
            case Answered() | Streamed():
                self._end(call, ending)
            case NotRun(reason):
                self._attempt_not_run(call, reason)
            case Unknown(reason):
                call.attempts += 1
                call.has_unused_repeat = False
                call.may_have_run = reason
                self._rerun_or_end(call, ending)

    def _attempt_not_run(self, call: EntryCall, reason: NotRunReason) -> None:
        now_s = self._context.timers.now_s()
        call.last_refusal = reason
        call.has_unused_repeat &= reason is not NotRunReason.TARGET_REFUSED
        call.tried.add(call.receiver)
        call.moves += 1
        self._context.counters.moves += 1
        if now_s >= call.deadline_s or call.moves >= MAX_MOVES:
            self._end_unplaced(call)
        elif self._may_move(now_s, call, reason):
            self._place(now_s, call)
        else:
            self._end_unplaced(call)

    def _may_move(
        self, now_s: float, call: EntryCall, reason: NotRunReason
    ) -> bool:
        """Return whether an attempt that did not run may be sent again."""
        if reason is not NotRunReason.TARGET_REFUSED:
            return True
        # The attempt has reached a target, so sending it again is a repeat.
        call.is_repeat = True
        call.has_unused_repeat = self._may_repeat(now_s, call)
        return call.has_unused_repeat

    def _may_repeat(self, now_s: float, call: EntryCall) -> bool:
        """Count a repeat; return whether budget and ranking allow it."""
        calls_left = self.attempts.usage.calls_of_tree({call.run_kind: 1.0})
        if call.origin is not None:
            calls_left += self.attempts.usage.calls_of_tree(
                self._serving.positions.calls_left(now_s, call.origin)
            )
        cost = repeat_cost(calls_left, call.urgency)
        decision = self._ranking.decide(now_s, call.service, cost)
        self._context.counters.repeats[decision.value] += 1
        if decision is RepeatDecision.GRANTED:
            return True
        self._context.log.write(
            LineKind.PLACED_AGAIN,
            'repeat_refused',
            request=call.caller_request.request_id,
            service=call.service,
            why=decision.value,
            calls_left=round(calls_left, 1),
            urgency=call.urgency,
            budget_left=round(self._reruns.left(now_s, call.service), 1),
        )
        return False

    def _rerun_or_end(self, call: EntryCall, ending: Unknown) -> None:
        now_s = self._context.timers.now_s()
        if not self._may_rerun(now_s, call):
            self._end(call, ending)
            return
        self._context.counters.reruns += 1
        call.is_repeat = True
        call.has_unused_repeat = True
        call.tried.add(call.receiver)
        if not self.attempts.has_untried_candidate(call):
            call.tried.clear()
        self._place(now_s, call)

    def _may_rerun(self, now_s: float, call: EntryCall) -> bool:
        return (
            call.route.idempotent
            and call.attempts < call.route.most_attempts
            and now_s + MIN_RERUN_TIME_S < call.deadline_s
            and not self._may_outlast_process(call)
            and self._may_repeat(now_s, call)
        )

    # Periodic work

    def check(self, now_s: float) -> None:
        """End requests past their deadline and place held requests."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, call = heapq.heappop(self._deadlines)
            if call.phase is Phase.STREAMING and now_s < call.caller_deadline_s:
                self._add_deadline(call, call.caller_deadline_s)
            elif call.phase is not Phase.ENDED:
                self._expire(call)
        for held in tuple(self._held):
            self._held.pop(held, None)
            if now_s >= held.held_until_s:
                self._end_unplaced(held)
                continue
            held.tried.clear()
            self._place(now_s, held)

    def peers_changed(self) -> None:
        """Place held requests, since a target may have become usable."""
        if self._held:
            self.check(self._context.timers.now_s())

    def end_all(self) -> None:
        """End all requests, because the process ends before them."""
        refusal = NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_S)
        for _, _, call in tuple(self._deadlines):
            if call.phase is not Phase.ENDED:
                self._end_unfinished(call, UnknownReason.SHUTDOWN, refusal)

    def _expire(self, call: EntryCall) -> None:
        refusal = NotRun(call.last_refusal)
        self._end_unfinished(call, UnknownReason.DEADLINE, refusal)

    def _end_unfinished(
        self, call: EntryCall, unknown: UnknownReason, refusal: NotRun
    ) -> None:
        was_sent = call.phase in {Phase.SENT, Phase.STREAMING}
        self.attempts.withdraw(call)
        if was_sent:
            self._end(call, Unknown(unknown))
        else:
            self._refund_unused(self._context.timers.now_s(), call)
            self._end(call, call.refusal(refusal.reason, refusal.retry_after_s))

    def _add_deadline(self, call: EntryCall, at_s: float) -> None:
        self._arrivals += 1
        heapq.heappush(self._deadlines, (at_s, self._arrivals, call))

    # End of a request

    def _end(self, call: EntryCall, ending: Ending) -> None:
        if call.phase is Phase.ENDED:
            return
        self._mark_ended(call, is_success=is_success(ending))
        if isinstance(ending, NotRun):
            if call.organisation is not None and (
                ending.reason is not NotRunReason.OVER_RATE
            ):
                self._rates.limiter.give_back(call.organisation)
        self._log_end(call, ending)
        call.on_end(ending)

    def _mark_ended(self, call: EntryCall, *, is_success: bool) -> None:
        if call.origin is not None:
            self._serving.positions.answered(
                self._context.timers.now_s(),
                call.origin,
                has_failed=not is_success,
            )
        call.phase = Phase.ENDED
        self._held.pop(call, None)
        self.roots -= not call.is_inner

    def _log_end(self, call: EntryCall, ending: Ending) -> None:
        end = ending_label(ending)
        context = self._context
        took_s = context.timers.now_s() - call.arrived_s
        context.counters.outcomes[end.name] += 1
        context.counters.record_latency(call.route.name, took_s)
        if not context.log.reserve_line(end.kind):
            return
        context.log.append(
            'request_ended',
            request=call.caller_request.request_id,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else '-',
            receiver=call.receiver or '-',
            outcome=end.name,
            attempts=call.attempts,
            moves=call.moves,
            took_ms=int(took_s * MS_PER_S),
            allowed_ms=int((call.deadline_s - call.arrived_s) * MS_PER_S),
            version=context.version,
        )
