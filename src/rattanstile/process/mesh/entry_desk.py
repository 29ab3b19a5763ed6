"""Takes callers' requests in, and sends each to a node that serves it."""

import heapq
from collections.abc import Callable
from random import Random

from rattanstile.connection.peer_messages import (
    CallCancelled,
    CallEnded,
    CallSent,
    TargetLoad,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.decision_log import DecisionLog, Kind
from rattanstile.process.mesh.counters import Counters
from rattanstile.process.mesh.entry_call import EntryCall, Phase
from rattanstile.process.mesh.placement import (
    INNER_NEAR_WAIT_SHARE,
    ROOT_NEAR_WAIT_SHARE,
    Candidate,
    choose,
)
from rattanstile.process.mesh.rate_keeper import RateVerdict
from rattanstile.process.mesh.rate_service import RateService
from rattanstile.process.mesh.rerun_budget import RerunBudget
from rattanstile.process.mesh.root_admission import (
    RootAdmission,
    ServiceView,
)
from rattanstile.process.mesh.service_needs import ServiceNeeds
from rattanstile.process.mesh.serving_desk import ServingDesk
from rattanstile.process.mesh.splitter import Splitter
from rattanstile.process.timers import TimerService
from rattanstile.request.exchange import (
    Answered,
    CallerAsked,
    Ending,
    EndingHandler,
    NotRun,
    NotRunReason,
    ServiceNeed,
    Unknown,
    UnknownReason,
)
from rattanstile.request.ids import (
    FailureDomainId,
    NodeId,
    ServiceName,
)
from rattanstile.version.fleet_config import (
    FleetConfig,
    FleetRoute,
    FleetState,
    Organisation,
)

MOST_MOVES = 8
"""Nodes that one request is offered to."""
NOT_READY_RETRY_S = 0.5
NO_TARGET_RETRY_S = (0.3, 1.0)
"""Targets come back within about a second of a loss of power."""
SHORTEST_RUN_S = 0.02
"""A request with less time left isn't sent once more."""
MS_PER_S = 1000


class EntryDesk:
    """Requests that came in at this node.

    Args:
        node_id: This node.
        domain: Its failure domain.
        state: Gives what operators state.
        serving: Serves those that this node's target runs.
        peers: Carries those that others run.
    """

    def __init__(
        self,
        node_id: NodeId,
        domain: FailureDomainId,
        state: Callable[[], FleetState],
        serving: ServingDesk,
        peers: PeerPool,
        timers: TimerService,
        log: DecisionLog,
        counters: Counters,
        rates: RateService,
        admission: RootAdmission,
        reruns: RerunBudget,
        chance: Random,
    ) -> None:
        """Begin without requests."""
        self.candidates: dict[NodeId, Candidate] = {}
        self.needs = ServiceNeeds()
        self.admission = admission
        self._node_id = node_id
        self._domain = domain
        self._state = state
        self._serving = serving
        self._peers = peers
        self._timers = timers
        self._log = log
        self._counters = counters
        self._rates = rates
        self._reruns = reruns
        self._chance = chance
        self._splitter = Splitter()
        self._sequence = 0
        self._sent: dict[int, EntryCall] = {}
        self._held: dict[EntryCall, None] = {}
        self._deadlines: list[tuple[float, int, EntryCall]] = []
        self._own = Candidate(
            node_id, serving.watch.service, domain, TargetLoad()
        )

    @property
    def in_hand(self) -> int:
        """Return how many requests have not ended."""
        return len(self._sent) + len(self._held)

    # A request arrives

    def begin(
        self, asked: CallerAsked, ended: EndingHandler
    ) -> EntryCall | None:
        """Take a request; None when it has ended at once."""
        now_s = self._timers.now_s()
        config = self._state().config
        if config is None:
            ended(NotRun(NotRunReason.NOT_READY, NOT_READY_RETRY_S))
            return None
        route = config.route(asked.host, asked.path.partition('?')[0])
        if route is None:
            return self._refuse(asked, ended, NotRunReason.NO_ROUTE)
        organisation = self._organisation(config, asked)
        if organisation is None and not route.open_to_all:
            if config.needs_keys:
                return self._refuse(asked, ended, NotRunReason.KEY_REFUSED)
        call = self._entry_call(now_s, asked, ended, route, organisation)
        self._add_deadline(call)
        if call.is_inner:
            self._serving.tree.called(now_s, route.name)
            self._place(now_s, call)
        else:
            self._check_rate(now_s, call)
        return call

    def abandon(self, call: EntryCall) -> None:
        """Drop a request: its caller has left."""
        if call.phase is Phase.OVER:
            return
        self._withdraw(call)
        self._over(call)
        self._counters.endings['abandoned'] += 1

    def _organisation(
        self, config: FleetConfig, asked: CallerAsked
    ) -> Organisation | None:
        if asked.key is None:
            return None
        return config.organisations.get(asked.key)

    def _entry_call(
        self,
        now_s: float,
        asked: CallerAsked,
        ended: EndingHandler,
        route: FleetRoute,
        organisation: Organisation | None,
    ) -> EntryCall:
        patience_s = route.timeout_s
        if asked.deadline_ms:
            patience_s = min(patience_s, asked.deadline_ms / MS_PER_S)
        return EntryCall(
            asked=asked,
            ended=ended,
            route=route,
            service=self._splitter.choose(route),
            organisation=organisation,
            is_inner=asked.key is None and route.open_to_all,
            arrived_s=now_s,
            deadline_s=now_s + patience_s,
        )

    def _check_rate(self, now_s: float, call: EntryCall) -> None:
        organisation = call.organisation
        if organisation is None:
            self._check_load(now_s, call)
            return
        rate = self._rates.keeper.take(now_s, organisation)
        if rate.is_admitted:
            self._check_load(now_s, call)
        elif rate.may_ask:
            call.phase = Phase.ASKING
            self._rates.ask(
                organisation,
                lambda is_granted: self._token_answered(
                    call, rate, is_granted=is_granted
                ),
            )
        else:
            self._over_rate(call, rate)

    def _token_answered(
        self, call: EntryCall, rate: RateVerdict, *, is_granted: bool
    ) -> None:
        if call.phase is Phase.OVER:
            if is_granted and call.organisation is not None:
                self._rates.keeper.give_back(call.organisation)
        elif is_granted:
            self._check_load(self._timers.now_s(), call)
        else:
            self._over_rate(call, rate)

    def _over_rate(self, call: EntryCall, rate: RateVerdict) -> None:
        self._end(call, NotRun(NotRunReason.OVER_RATE, rate.retry_after_s))

    def _check_load(self, now_s: float, call: EntryCall) -> None:
        verdict = self.admission.decide(
            call.route.name,
            call.route.priority,
            self.needs.of(call.route.name),
            call.deadline_s - now_s,
        )
        if verdict.is_admitted:
            self._place(now_s, call)
            return
        if self._log.takes(Kind.REFUSED):
            self._log.append(
                'request_shed',
                request=call.asked.request_id,
                route=call.route.name,
                service=verdict.service,
                part=verdict.part,
                let_in=verdict.let_in,
                retry_after_s=round(verdict.retry_after_s, 2),
            )
        self._end(call, NotRun(NotRunReason.OVERLOADED, verdict.retry_after_s))

    def _refuse(
        self, asked: CallerAsked, ended: EndingHandler, reason: NotRunReason
    ) -> None:
        self._counters.endings[reason.name.lower()] += 1
        if self._log.takes(Kind.REFUSED):
            state = self._state()
            self._log.append(
                'request_refused',
                request=asked.request_id,
                host=asked.host,
                path=asked.path,
                reason=reason.name.lower(),
                version=state.config.number if state.config else 0,
            )
        ended(NotRun(reason))

    # Placing

    def _place(self, now_s: float, call: EntryCall) -> None:
        share = ROOT_NEAR_WAIT_SHARE
        if call.is_inner:
            share = INNER_NEAR_WAIT_SHARE
        chosen = choose(
            self._usable(call),
            self._domain,
            call.route.aim_s * share,
            self._chance,
        )
        if chosen is None:
            self._hold(now_s, call)
            return
        self._sequence += 1
        call.sequence = self._sequence
        call.phase = Phase.SENT
        call.sent_s = now_s
        call.receiver = chosen.node_id
        self._sent[call.sequence] = call
        if not call.attempts and not call.moves:
            self._reruns.sent_first(call.service)
        self._log_placed(call, chosen)
        served = call.served_call(now_s, self._serving.watch.service)
        if chosen is self._own:
            chosen.outstanding += 1
            sequence = call.sequence
            self._serving.begin(
                sequence, served, lambda ending: self._own_ended(sequence, ending)
            )
            return
        link = self._peers.link_to(chosen.node_id)
        if link is None:
            self._sent.pop(call.sequence)
            call.tried.add(chosen.node_id)
            self._place(now_s, call)
            return
        chosen.sent()
        link.owe()
        link.send(CallSent(call.sequence, served))

    def _usable(self, call: EntryCall) -> list[Candidate]:
        evacuated = self._state().evacuated
        found = [
            each
            for each in self.candidates.values()
            if each.service == call.service
            and each.load.is_usable
            and each.domain not in evacuated
            and each.node_id not in call.tried
        ]
        own = self._own
        if self._serving.watch.service == call.service:
            own.service = call.service
            if self._serving.is_usable and own.node_id not in call.tried:
                own.load = self._serving.load()
                found.append(own)
        return found

    def _hold(self, now_s: float, call: EntryCall) -> None:
        call.phase = Phase.HELD
        call.held_until_s = call.hold_until_s()
        if now_s >= call.held_until_s:
            self._turn_away(call)
            return
        self._held[call] = None

    def _turn_away(self, call: EntryCall) -> None:
        retry_after_s = self._chance.uniform(*NO_TARGET_RETRY_S)
        self._end(call, call.refusal(call.last_refusal, retry_after_s))

    def _log_placed(self, call: EntryCall, chosen: Candidate) -> None:
        is_repeat = call.attempts or call.moves
        kind = Kind.SLOW if is_repeat else Kind.PLACED
        if not self._log.takes(kind):
            return
        self._log.append(
            'request_placed',
            request=call.asked.request_id,
            route=call.route.name,
            service=call.service,
            receiver=chosen.node_id,
            attempt=call.attempts + call.moves + 1,
            held=chosen.load.held,
            limit=chosen.load.limit,
            wait_ms=round(chosen.load.wait_us / MS_PER_S, 1),
            left_ms=int((call.deadline_s - call.sent_s) * MS_PER_S),
        )

    # An attempt ends

    def _own_ended(self, sequence: int, ending: Ending) -> None:
        call = self._sent.pop(sequence, None)
        self._own.outstanding -= 1
        if call is None:
            return
        needs = self._serving.needs(call.route.name, self.needs)
        self.needs.told(self._timers.now_s(), call.route.name, needs)
        self._attempt_ended(call, ending)

    def peer_ended(self, node_id: NodeId, message: CallEnded) -> None:
        """Take the end of an attempt that a peer served."""
        candidate = self.candidates.get(node_id)
        if candidate is not None:
            candidate.ended()
            candidate.told(message.load)
        call = self._sent.pop(message.sequence, None)
        if call is None:
            return
        if message.needs:
            self.needs.told(
                self._timers.now_s(), call.route.name, message.needs
            )
        self._attempt_ended(call, _ending_of(message))

    def peer_lost(self, node_id: NodeId) -> None:
        """Learn that attempts in hand at a peer get no answer."""
        for call in tuple(self._sent.values()):
            if call.receiver == node_id and node_id != self._node_id:
                self._sent.pop(call.sequence, None)
                call.tried.add(node_id)
                self._attempt_ended(call, Unknown(UnknownReason.PEER_LOST))

    def _attempt_ended(self, call: EntryCall, ending: Ending) -> None:
        match ending:
            case Answered():
                self._end(call, ending)
            case NotRun(reason):
                self._not_taken(call, reason)
            case Unknown(reason):
                call.attempts += 1
                call.may_have_run = reason
                self._maybe_rerun(call, ending)

    def _not_taken(self, call: EntryCall, reason: NotRunReason) -> None:
        now_s = self._timers.now_s()
        call.last_refusal = reason
        call.tried.add(call.receiver)
        call.moves += 1
        self._counters.moves += 1
        if now_s >= call.deadline_s or call.moves >= MOST_MOVES:
            self._turn_away(call)
        else:
            self._place(now_s, call)

    def _maybe_rerun(self, call: EntryCall, ending: Unknown) -> None:
        now_s = self._timers.now_s()
        if (
            call.route.idempotent
            and call.attempts < call.route.most_attempts
            and now_s + SHORTEST_RUN_S < call.deadline_s
            and self._reruns.spend(call.service)
        ):
            self._counters.reruns += 1
            call.tried.add(call.receiver)
            if not self._usable(call):
                call.tried.clear()
            self._place(now_s, call)
            return
        self._end(call, ending)

    # Time passes

    def check(self, now_s: float) -> None:
        """End what is out of time, and place what is held."""
        while self._deadlines and self._deadlines[0][0] <= now_s:
            _, _, call = heapq.heappop(self._deadlines)
            if call.phase is not Phase.OVER:
                self._out_of_time(call)
        for call in tuple(self._held):
            self._held.pop(call, None)
            if now_s >= call.held_until_s:
                self._turn_away(call)
                continue
            call.tried.clear()
            self._place(now_s, call)

    def peers_changed(self) -> None:
        """Place held requests: a target may have become fit."""
        if self._held:
            self.check(self._timers.now_s())

    def service_views(self) -> dict[ServiceName, ServiceView]:
        """Return each service as its nodes told of their targets."""
        self._own.service = self._serving.watch.service
        self._own.load = self._serving.load()
        sums: dict[ServiceName, list[TargetLoad]] = {}
        for each in (*self.candidates.values(), self._own):
            sums.setdefault(each.service, []).append(each.load)
        return {name: _view(loads) for name, loads in sums.items()}

    def check_quiet(self, now_s: float, silent_s: float) -> None:
        """Find the peers that owe a sign of life for too long."""
        for candidate in self.candidates.values():
            link = self._peers.link_to(candidate.node_id)
            candidate.is_quiet = (
                link is None or link.quiet_s(now_s) > silent_s
            )

    def _out_of_time(self, call: EntryCall) -> None:
        was_sent = call.phase is Phase.SENT
        self._withdraw(call)
        if was_sent:
            self._end(call, Unknown(UnknownReason.DEADLINE))
        else:
            self._end(call, call.refusal(call.last_refusal))

    def _add_deadline(self, call: EntryCall) -> None:
        self._sequence += 1
        heapq.heappush(
            self._deadlines, (call.deadline_s, self._sequence, call)
        )

    def _withdraw(self, call: EntryCall) -> None:
        """Take back what is sent or held."""
        self._held.pop(call, None)
        if call.phase is not Phase.SENT:
            return
        self._sent.pop(call.sequence, None)
        if call.receiver == self._node_id:
            self._own.outstanding -= 1
            self._serving.cancel(call.sequence)
            return
        link = self._peers.link_to(call.receiver)
        if link is not None:
            link.owed = max(0, link.owed - 1)
            link.send(CallCancelled(call.sequence))
        candidate = self.candidates.get(call.receiver)
        if candidate is not None:
            candidate.ended()

    # The end

    def _end(self, call: EntryCall, ending: Ending) -> None:
        if call.phase is Phase.OVER:
            return
        self._over(call)
        if isinstance(ending, NotRun):
            if call.organisation is not None and (
                ending.reason is not NotRunReason.OVER_RATE
            ):
                self._rates.keeper.give_back(call.organisation)
        self._log_end(call, ending)
        call.ended(ending)

    def _over(self, call: EntryCall) -> None:
        call.phase = Phase.OVER
        self._held.pop(call, None)

    def _log_end(self, call: EntryCall, ending: Ending) -> None:
        name, kind = _described(ending)
        self._counters.endings[name] += 1
        if not self._log.takes(kind):
            return
        state = self._state()
        self._log.append(
            'request_ended',
            request=call.asked.request_id,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else '-',
            receiver=call.receiver or '-',
            outcome=name,
            attempts=call.attempts,
            moves=call.moves,
            took_ms=int((self._timers.now_s() - call.arrived_s) * MS_PER_S),
            allowed_ms=int((call.deadline_s - call.arrived_s) * MS_PER_S),
            version=state.config.number if state.config else 0,
        )


def _view(loads: list[TargetLoad]) -> ServiceView:
    usable = [load for load in loads if load.is_usable]
    capacity = sum(load.capacity_per_10s for load in usable)
    waits = sum(load.wait_us * load.capacity_per_10s for load in usable)
    return ServiceView(
        offered_per_s=sum(load.offered_per_10s for load in loads) / 10,
        capacity_per_s=capacity / 10,
        wait_s=waits / capacity / 1e6 if capacity else 0,
    )


def _described(ending: Ending) -> tuple[str, Kind]:
    match ending:
        case Answered(answer):
            if answer.is_success:
                return 'whole', Kind.SERVED
            return f'target_{answer.status}', Kind.FAILED
        case NotRun(reason):
            return reason.name.lower(), Kind.REFUSED
        case Unknown(reason):
            return f'unknown_{reason.name.lower()}', Kind.FAILED


def _ending_of(message: CallEnded) -> Ending:
    if message.answer is not None:
        return Answered(message.answer)
    if message.not_run:
        return NotRun(NotRunReason(message.not_run))
    return Unknown(UnknownReason(message.unknown))


def ended_message(
    sequence: int,
    ending: Ending,
    load: TargetLoad,
    needs: tuple[ServiceNeed, ...],
) -> CallEnded:
    """Return the message that tells a peer how its attempt ended."""
    match ending:
        case Answered(answer):
            return CallEnded(sequence, answer, 0, 0, load, needs)
        case NotRun(reason):
            return CallEnded(sequence, None, reason.value, 0, load, needs)
        case Unknown(reason):
            return CallEnded(sequence, None, 0, reason.value, load, needs)


