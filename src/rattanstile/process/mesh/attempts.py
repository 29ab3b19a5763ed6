"""Sends attempts of requests to nodes and handles their results."""

from collections.abc import Callable
from statistics import fmean

from rattanstile.connection.peer_messages import (
    AnswerCredit,
    CallCancellation,
    CallRequest,
    CallResponse,
    TargetLoad,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.call_endings import decode_ending
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry_call import EntryCall, Phase
from rattanstile.process.mesh.placement import (
    MAX_INNER_LOCAL_WAIT_SHARE,
    MAX_ROOT_LOCAL_WAIT_SHARE,
    Candidate,
    choose,
)
from rattanstile.process.mesh.root_admission import ServiceView
from rattanstile.process.mesh.service_needs import UsageEstimates
from rattanstile.process.mesh.serving_handler import ServingHandler
from rattanstile.request.exchange import (
    AnswerHead,
    Ending,
    Unknown,
    UnknownReason,
)
from rattanstile.request.ids import NodeId, ServiceName

MS_PER_S = 1000

AttemptEndHandler = Callable[[EntryCall, Ending], None]


class Attempts:
    """Attempts in flight, and the nodes that can serve attempts.

    Attributes:
        candidates: Peers that can serve attempts, by node id.
        usage: Runs of each service that one run of a route causes.

    Args:
        context: State shared by the components of the node.
        serving: Serves the attempts that run on the local target.
        peers: Connections to the nodes that serve the other attempts.
        on_attempt_end: Called with the ending of each attempt that was not
            withdrawn.
    """

    def __init__(
        self,
        context: NodeContext,
        serving: ServingHandler,
        peers: PeerPool,
        on_attempt_end: AttemptEndHandler,
    ) -> None:
        """Initialize without attempts."""
        self.candidates: dict[NodeId, Candidate] = {}
        self._by_service: dict[ServiceName, list[Candidate]] = {}
        self.usage = UsageEstimates()
        self._context = context
        self._serving = serving
        self._peers = peers
        self._on_attempt_end = on_attempt_end
        self._sequence = 0
        self._sent: dict[int, EntryCall] = {}
        self._local = Candidate(
            context.node_id,
            serving.watch.service,
            context.domain,
            TargetLoad(),
        )

    def __len__(self) -> int:
        """Return how many attempts are in flight."""
        return len(self._sent)

    def add_candidate(self, candidate: Candidate) -> None:
        """Add a node that can serve attempts, replacing its earlier entry."""
        self.remove_candidate(candidate.node_id)
        self.candidates[candidate.node_id] = candidate
        self._by_service.setdefault(candidate.service, []).append(candidate)

    def remove_candidate(self, node_id: NodeId) -> None:
        """Remove a node from those that can serve attempts."""
        candidate = self.candidates.pop(node_id, None)
        if candidate is not None:
            self._by_service[candidate.service].remove(candidate)

    def set_service(self, candidate: Candidate, service: ServiceName) -> None:
        """Set the service that a node serves."""
        if candidate.service != service:
            self.remove_candidate(candidate.node_id)
            candidate.service = service
            self.add_candidate(candidate)

    def send(self, now_s: float, call: EntryCall) -> bool:
        """Send an attempt and return whether a node could take it."""
        chosen = self._choose(call)
        while chosen is not None and not self._is_connected(chosen):
            call.tried.add(chosen.node_id)
            chosen = self._choose(call)
        if chosen is None:
            return False
        self._sequence += 1
        call.sequence = self._sequence
        call.phase = Phase.SENT
        call.sent_s = now_s
        call.receiver = chosen.node_id
        self._sent[call.sequence] = call
        self._log_placed(call, chosen)
        self._dispatch(now_s, call, chosen)
        return True

    def withdraw(self, call: EntryCall) -> None:
        """Cancel an attempt whose result is no longer awaited."""
        if self._sent.pop(call.sequence, None) is None:
            return
        if call.receiver == self._context.node_id:
            self._serving.cancel(call.sequence)
            return
        link = self._peers.link_to(call.receiver)
        if link is not None:
            link.awaited_responses = max(0, link.awaited_responses - 1)
            link.send(CallCancellation(call.sequence))

    def has_untried_candidate(self, call: EntryCall) -> bool:
        """Return whether an untried node can serve the request."""
        return bool(self._usable_candidates(call))

    def peer_call_ended(self, node_id: NodeId, message: CallResponse) -> None:
        """Handle the end of an attempt that a peer served."""
        candidate = self.candidates.get(node_id)
        if candidate is not None:
            candidate.update_load(message.load, self._context.timers.now_s())
        call = self._sent.pop(message.sequence, None)
        if call is None:
            return
        if message.usage:
            now_s = self._context.timers.now_s()
            self.usage.record(now_s, call.run_kind, message.usage)
        self._on_attempt_end(call, decode_ending(message))

    def answer_began(self, sequence: int, head: AnswerHead) -> None:
        """Pass on the start of an answer; the attempt is the last one."""
        call = self._sent.get(sequence)
        if call is not None and call.sink is not None:
            call.phase = Phase.STREAMING
            call.sink.begin_answer(head)

    def answer_part_received(self, sequence: int, part: bytes) -> None:
        """Pass on a part of an answer."""
        call = self._sent.get(sequence)
        if call is not None and call.sink is not None:
            call.sink.add_part(part)

    def answer_taken(self, call: EntryCall, size_bytes: int) -> None:
        """Report that the caller has taken a part of its answer."""
        if call.sequence not in self._sent:
            return
        if call.receiver == self._context.node_id:
            self._serving.answer_taken(call.sequence, size_bytes)
            return
        link = self._peers.link_to(call.receiver)
        if link is not None:
            link.send(AnswerCredit(call.sequence, size_bytes))

    def peer_lost(self, node_id: NodeId) -> None:
        """End the attempts in flight at a lost peer with unknown outcome."""
        for call in tuple(self._sent.values()):
            if call.receiver == node_id and node_id != self._context.node_id:
                self._sent.pop(call.sequence, None)
                self._on_attempt_end(call, Unknown(UnknownReason.PEER_LOST))

    def update_unresponsive(self, now_s: float, silent_s: float) -> None:
        """Update which peers are unresponsive.

        Args:
            now_s: Monotonic seconds.
            silent_s: Time without any message after which a peer that owes
                an answer is unresponsive.
        """
        for candidate in self.candidates.values():
            link = self._peers.link_to(candidate.node_id)
            candidate.is_unresponsive = (
                link is None or link.quiet_s(now_s) > silent_s
            )

    def service_views(self, now_s: float) -> dict[ServiceName, ServiceView]:
        """Return the load of each service, aggregated over its targets."""
        self._local.service = self._serving.watch.service
        self._local.update_load(self._serving.load(), now_s)
        loads: dict[ServiceName, list[TargetLoad]] = {}
        warm_times_s: dict[ServiceName, list[float]] = {}
        for each in (*self.candidates.values(), self._local):
            each_loads = loads.setdefault(each.service, [])
            each_loads.append(each.load)
            warm_at_s = each.load_received_s + each.load.cold_ms / MS_PER_S
            if warm_at_s > now_s and each.load.is_usable:
                warm_times_s.setdefault(each.service, []).append(warm_at_s)
        return {
            name: _service_view(found, warm_times_s.get(name, []))
            for name, found in loads.items()
        }

    def _choose(self, call: EntryCall) -> Candidate | None:
        share = MAX_ROOT_LOCAL_WAIT_SHARE
        if call.is_inner:
            share = MAX_INNER_LOCAL_WAIT_SHARE
        return choose(
            self._usable_candidates(call),
            self._context.domain,
            call.route.latency_objective_s * share,
            self._context.rng,
        )

    def _usable_candidates(self, call: EntryCall) -> list[Candidate]:
        evacuated = self._context.state().evacuated
        found = [
            each
            for each in self._by_service.get(call.service, ())
            if each.load.is_usable
            and each.domain not in evacuated
            and each.node_id not in call.tried
        ]
        local = self._local
        local.service = self._serving.watch.service
        if local.service == call.service and local.node_id not in call.tried:
            if self._serving.is_usable:
                local.update_load(
                    self._serving.load(), self._context.timers.now_s()
                )
                found.append(local)
        return found

    def _is_connected(self, chosen: Candidate) -> bool:
        if chosen is self._local:
            return True
        return self._peers.link_to(chosen.node_id) is not None

    def _dispatch(
        self, now_s: float, call: EntryCall, chosen: Candidate
    ) -> None:
        served = call.served_call(now_s, self._serving.watch.service)
        sequence = call.sequence
        chosen.count_sent()
        link = self._peers.link_to(chosen.node_id)
        if chosen is self._local or link is None:
            self._serving.begin(
                sequence,
                served,
                lambda ending: self._local_call_ended(sequence, ending),
                None if call.sink is None else _LocalAnswerSink(self, sequence),
            )
            return
        link.expect_response()
        link.send(CallRequest(sequence, served))

    def _local_call_ended(self, sequence: int, ending: Ending) -> None:
        call = self._sent.pop(sequence, None)
        if call is None:
            return
        now_s = self._context.timers.now_s()
        usage = self._serving.usage(call.route.name, self.usage)
        self.usage.record(now_s, call.run_kind, usage)
        self._on_attempt_end(call, ending)

    def _log_placed(self, call: EntryCall, chosen: Candidate) -> None:
        kind = LineKind.PLACED
        if call.attempts or call.moves:
            kind = LineKind.PLACED_AGAIN
        log = self._context.log
        if not log.reserve_line(kind):
            return
        log.append(
            'request_placed',
            request=call.caller_request.request_id,
            route=call.route.name,
            service=call.service,
            receiver=chosen.node_id,
            attempt=call.attempts + call.moves + 1,
            held=chosen.load.pending_calls,
            limit=chosen.load.limit,
            wait_ms=round(chosen.load.wait_us / MS_PER_S, 1),
            load_age_ms=int((call.sent_s - chosen.load_received_s) * MS_PER_S),
            left_ms=int((call.deadline_s - call.sent_s) * MS_PER_S),
        )


class _LocalAnswerSink:
    """Passes on an answer of the local target.

    Args:
        attempts: The attempts in flight.
        sequence: Number of the attempt.
    """

    def __init__(self, attempts: Attempts, sequence: int) -> None:
        self._attempts = attempts
        self._sequence = sequence

    def begin_answer(self, head: AnswerHead) -> None:
        self._attempts.answer_began(self._sequence, head)

    def add_part(self, part: bytes) -> None:
        self._attempts.answer_part_received(self._sequence, part)


def _service_view(
    loads: list[TargetLoad], warm_times_s: list[float]
) -> ServiceView:
    usable = [load for load in loads if load.is_usable]
    capacity = sum(load.capacity_deci_per_s for load in usable)
    waits = sum(load.wait_us * load.capacity_deci_per_s for load in usable)
    return ServiceView(
        offered_per_s=sum(load.offered_deci_per_s for load in usable) / 10,
        capacity_per_s=capacity / 10,
        wait_s=waits / capacity / 1e6 if capacity else 0,
        warm_at_s=fmean(warm_times_s) if warm_times_s else 0,
    )
