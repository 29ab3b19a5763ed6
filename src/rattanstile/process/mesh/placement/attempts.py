"""Sends attempts of requests to nodes and handles their results."""

from collections.abc import Callable

from rattanstile.connection.peer_link import PeerLink
from rattanstile.connection.peer_messages import (
    AnswerCredit,
    CallCancellation,
    CallRequest,
    CallResponse,
    TargetLoad,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.admission.service_needs import UsageEstimates
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry.entry_call import EntryCall, Phase
from rattanstile.process.mesh.fleet.fleet_links import FleetLinks
from rattanstile.process.mesh.placement.call_endings import decode_ending
from rattanstile.process.mesh.placement.even_load import busiest_to_mean
from rattanstile.process.mesh.placement.placement import (
    MAX_INNER_LOCAL_WAIT_SHARE,
    MAX_ROOT_LOCAL_WAIT_SHARE,
    Candidate,
    choose,
)
from rattanstile.process.mesh.rollout.call_sample import sample_end
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.request.exchange import (
    AnswerHead,
    Ending,
    Unknown,
    UnknownReason,
)

MS_PER_S = 1000

AttemptEndHandler = Callable[[EntryCall, Ending], None]


class Attempts:
    """Attempts in flight at the nodes that serve them.

    Attributes:
        usage: Runs of each service that one run of a route causes.

    Args:
        context: State shared by the components of the node.
        serving: Serves the attempts that run on the local target.
        peers: Connections to the nodes that serve the other attempts.
        links: Opens connections for services that lack candidates.
        on_attempt_end: Called with the ending of each attempt that was not
            withdrawn.
    """

    def __init__(
        self,
        context: NodeContext,
        serving: ServingHandler,
        peers: PeerPool,
        links: FleetLinks,
        on_attempt_end: AttemptEndHandler,
    ) -> None:
        """Initialize without attempts."""
        self.usage = UsageEstimates()
        self._links = links
        self._candidates = links.candidates
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

    def send(self, now_s: float, call: EntryCall) -> bool:
        """Send an attempt and return whether a node could take it."""
        chosen = self._choose(call)
        if chosen is None and call.is_passed_on:
            # No other target can take it, so that it waits at the full one.
            call.tried.clear()
            chosen = self._choose(call)
        while chosen is not None and not self._is_connected(chosen):
            call.tried.add(chosen.node_id)
            chosen = self._choose(call)
        is_short = chosen is None or (
            chosen.expected_wait_s() > _max_local_wait_s(call)
        )
        self._links.record_call(now_s, call.service, is_short=is_short)
        if chosen is None:
            return False
        self._sequence += 1
        call.sequence = self._sequence
        call.phase = Phase.SENT
        call.sent_s = now_s
        call.receiver = chosen.node_id
        self._sent[call.sequence] = call
        call.sample = self._context.rollouts.sent(
            now_s, call.service, chosen, call.route.name
        )
        self._log_placed(call, chosen)
        self._dispatch(now_s, call, chosen)
        return True

    def withdraw(self, call: EntryCall) -> None:
        """Cancel an attempt whose result is no longer awaited."""
        if self._sent.pop(call.sequence, None) is None:
            return
        if self._context.timers.now_s() >= call.deadline_s:
            self._compare(call, Unknown(UnknownReason.DEADLINE))
        if call.link is None:
            self._serving.cancel(call.sequence)
            return
        call.link.response_received()
        call.link.send(CallCancellation(call.sequence))

    def has_untried_candidate(self, call: EntryCall) -> bool:
        """Return whether an untried node can serve the request."""
        return bool(self._usable_candidates(call))

    def peer_call_ended(self, link: PeerLink, message: CallResponse) -> None:
        """Handle the end of an attempt that a peer served."""
        candidate = self._candidates.by_id.get(link.node_id)
        if candidate is not None:
            candidate.update_load(message.load, self._context.timers.now_s())
        call = self._sent.get(message.sequence)
        if call is None or call.link is not link:
            return
        self._sent.pop(message.sequence)
        if message.usage:
            now_s = self._context.timers.now_s()
            self.usage.record(now_s, call.run_kind, message.usage)
        self._end(call, decode_ending(message))

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
        if call.link is None:
            self._serving.answer_taken(call.sequence, size_bytes)
        else:
            call.link.send(AnswerCredit(call.sequence, size_bytes))

    def link_lost(self, link: PeerLink) -> None:
        """End the attempts sent on a lost connection with unknown outcome."""
        for call in tuple(self._sent.values()):
            if call.link is link:
                self._sent.pop(call.sequence, None)
                self._end(call, Unknown(UnknownReason.PEER_LOST))

    def update_unresponsive(self, now_s: float, silent_s: float) -> None:
        """Update which peers are unresponsive.

        Args:
            now_s: Monotonic seconds.
            silent_s: Time without any message after which a peer that owes
                an answer is unresponsive.
        """
        for candidate in self._candidates.by_id.values():
            link = self._peers.link_to(candidate.node_id)
            candidate.is_unresponsive = (
                link is None or link.quiet_s(now_s) > silent_s
            )

    def _choose(self, call: EntryCall) -> Candidate | None:
        return choose(
            self._usable_candidates(call, may_expose=call.is_unsent),
            self._context.domain,
            _max_local_wait_s(call),
            self._context.rng,
            self._context.timers.now_s(),
        )

    def _usable_candidates(
        self, call: EntryCall, *, may_expose: bool = False
    ) -> list[Candidate]:
        evacuated = self._context.state().evacuated
        found = [
            each
            for each in self._candidates.of_service(call.service)
            if each.load.is_usable
            and each.domain not in evacuated
            and each.node_id not in call.tried
        ]
        local = self._local
        self._update_local_service()
        if local.service == call.service and local.node_id not in call.tried:
            if self._serving.is_usable:
                local.version = self._serving.watch.version
                local.update_load(
                    self._serving.load(), self._context.timers.now_s()
                )
                found.append(local)
        return self._context.rollouts.candidates(
            self._context.timers.now_s(),
            call.service,
            found,
            may_expose=may_expose,
        )

    def _update_local_service(self) -> None:
        local = self._local
        service = self._serving.watch.service
        if local.service_speed is None or local.service != service:
            self._candidates.speed_of(local.service).forget(local.slowness)
            local.service = service
            local.service_speed = self._candidates.speed_of(service)

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
        is_exposed = call.sample is not None and call.sample.is_paid
        call.link = None
        if chosen is not self._local:
            call.link = self._peers.link_to(chosen.node_id)
        if call.link is None:
            self._serving.begin(
                sequence,
                served,
                lambda ending: self._local_call_ended(sequence, ending),
                None if call.sink is None else _LocalAnswerSink(self, sequence),
                is_exposed=is_exposed,
            )
            return
        call.link.expect_response()
        call.link.send(CallRequest(sequence, served, is_exposed))

    def _local_call_ended(self, sequence: int, ending: Ending) -> None:
        call = self._sent.pop(sequence, None)
        if call is None:
            return
        now_s = self._context.timers.now_s()
        usage = self._serving.usage(call.route.name, self.usage)
        self.usage.record(now_s, call.run_kind, usage)
        self._end(call, ending)

    def _end(self, call: EntryCall, ending: Ending) -> None:
        self._compare(call, ending)
        self._on_attempt_end(call, ending)

    def _compare(self, call: EntryCall, ending: Ending) -> None:
        """Count the end of an attempt for the rollout of its service."""
        if call.sample is not None:
            self._context.rollouts.ended(
                self._context.timers.now_s(), call.sample, sample_end(ending)
            )
            call.sample = None

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
            target_version=chosen.version or '-',
            rollout=call.sample.label if call.sample else '-',
            attempt=call.attempts + call.moves + 1,
            held=chosen.load.pending_calls,
            limit=chosen.load.limit,
            wait_ms=round(chosen.load.wait_us / MS_PER_S, 1),
            load_age_ms=int((call.sent_s - chosen.load_received_s) * MS_PER_S),
            slowness=round(chosen.slowness.ratio, 2),
            pace=chosen.load.pace_percent,
            busiest_to_mean=round(
                busiest_to_mean(self._candidates.usable(call.service)), 2
            ),
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


def _max_local_wait_s(call: EntryCall) -> float:
    """Return how long a call may wait to stay in its failure domain."""
    share = MAX_ROOT_LOCAL_WAIT_SHARE
    if call.is_inner:
        share = MAX_INNER_LOCAL_WAIT_SHARE
    return call.route.latency_objective_s * share
