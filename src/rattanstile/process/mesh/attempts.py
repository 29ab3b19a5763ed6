"""Sends attempts of requests to nodes, and hears how they ended."""

from collections.abc import Callable

from rattanstile.connection.peer_messages import (
    CallCancelled,
    CallEnded,
    CallSent,
    TargetLoad,
)
from rattanstile.connection.peer_pool import PeerPool
from rattanstile.process.decision_log import Kind
from rattanstile.process.mesh.call_endings import ending_of
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.entry_call import EntryCall, Phase
from rattanstile.process.mesh.placement import (
    INNER_NEAR_WAIT_SHARE,
    ROOT_NEAR_WAIT_SHARE,
    Candidate,
    choose,
)
from rattanstile.process.mesh.root_admission import ServiceView
from rattanstile.process.mesh.service_needs import UsageEstimates
from rattanstile.process.mesh.serving_handler import ServingHandler
from rattanstile.request.exchange import Ending, Unknown, UnknownReason
from rattanstile.request.ids import NodeId, ServiceName

MS_PER_S = 1000

AttemptEnded = Callable[[EntryCall, Ending], None]


class Attempts:
    """The attempts that are out, and the nodes they can go to.

    Args:
        serving: Runs those that the own target serves.
        peers: Carries the others.
        ended: Told how an attempt ended, unless it was withdrawn.
    """

    def __init__(
        self,
        context: NodeContext,
        serving: ServingHandler,
        peers: PeerPool,
        ended: AttemptEnded,
    ) -> None:
        """Begin without attempts."""
        self.candidates: dict[NodeId, Candidate] = {}
        self._by_service: dict[ServiceName, list[Candidate]] = {}
        self.usage = UsageEstimates()
        self._context = context
        self._serving = serving
        self._peers = peers
        self._ended = ended
        self._sequence = 0
        self._sent: dict[int, EntryCall] = {}
        self._own = Candidate(
            context.node_id,
            serving.watch.service,
            context.domain,
            TargetLoad(),
        )

    def __len__(self) -> int:
        """Return how many attempts are out."""
        return len(self._sent)

    def add_candidate(self, candidate: Candidate) -> None:
        """Send to a node from now on."""
        self.remove_candidate(candidate.node_id)
        self.candidates[candidate.node_id] = candidate
        self._by_service.setdefault(candidate.service, []).append(candidate)

    def remove_candidate(self, node_id: NodeId) -> None:
        """Send to a node no more."""
        candidate = self.candidates.pop(node_id, None)
        if candidate is not None:
            self._by_service[candidate.service].remove(candidate)

    def set_service(self, candidate: Candidate, service: ServiceName) -> None:
        """Learn what a node serves now."""
        if candidate.service != service:
            self.remove_candidate(candidate.node_id)
            candidate.service = service
            self.add_candidate(candidate)

    def send(self, now_s: float, call: EntryCall) -> bool:
        """Send an attempt; False when no node can take it."""
        chosen = self._choose(call)
        while chosen is not None and not self._is_reached(chosen):
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
        self._hand_over(now_s, call, chosen)
        return True

    def withdraw(self, call: EntryCall) -> None:
        """Take back an attempt: nobody waits for it any more."""
        if self._sent.pop(call.sequence, None) is None:
            return
        if call.receiver == self._context.node_id:
            self._serving.cancel(call.sequence)
            return
        link = self._peers.link_to(call.receiver)
        if link is not None:
            link.owed = max(0, link.owed - 1)
            link.send(CallCancelled(call.sequence))

    def can_go_elsewhere(self, call: EntryCall) -> bool:
        """Tell whether a node is left that was not tried."""
        return bool(self._usable(call))

    def peer_call_ended(self, node_id: NodeId, message: CallEnded) -> None:
        """Take the end of an attempt that a peer served."""
        candidate = self.candidates.get(node_id)
        if candidate is not None:
            candidate.told(message.load, self._context.timers.now_s())
        call = self._sent.pop(message.sequence, None)
        if call is None:
            return
        if message.usage:
            now_s = self._context.timers.now_s()
            self.usage.told(now_s, call.run_kind, message.usage)
        self._ended(call, ending_of(message))

    def peer_lost(self, node_id: NodeId) -> None:
        """Learn that attempts in hand at a peer get no answer."""
        for call in tuple(self._sent.values()):
            if call.receiver == node_id and node_id != self._context.node_id:
                self._sent.pop(call.sequence, None)
                self._ended(call, Unknown(UnknownReason.PEER_LOST))

    def update_unresponsive(self, now_s: float, silent_s: float) -> None:
        """Find the peers that have owed a sign of life for too long."""
        for candidate in self.candidates.values():
            link = self._peers.link_to(candidate.node_id)
            candidate.is_quiet = link is None or link.quiet_s(now_s) > silent_s

    def service_views(self) -> dict[ServiceName, ServiceView]:
        """Return each service as its nodes told of their targets."""
        self._own.service = self._serving.watch.service
        self._own.load = self._serving.load()
        loads: dict[ServiceName, list[TargetLoad]] = {}
        for each in (*self.candidates.values(), self._own):
            loads.setdefault(each.service, []).append(each.load)
        return {name: _view(found) for name, found in loads.items()}

    def _choose(self, call: EntryCall) -> Candidate | None:
        share = ROOT_NEAR_WAIT_SHARE
        if call.is_inner:
            share = INNER_NEAR_WAIT_SHARE
        return choose(
            self._usable(call),
            self._context.domain,
            call.route.aim_s * share,
            self._context.rng,
        )

    def _usable(self, call: EntryCall) -> list[Candidate]:
        evacuated = self._context.state().evacuated
        found = [
            each
            for each in self._by_service.get(call.service, ())
            if each.load.is_usable
            and each.domain not in evacuated
            and each.node_id not in call.tried
        ]
        own = self._own
        own.service = self._serving.watch.service
        if own.service == call.service and own.node_id not in call.tried:
            if self._serving.is_usable:
                own.told(self._serving.load(), self._context.timers.now_s())
                found.append(own)
        return found

    def _is_reached(self, chosen: Candidate) -> bool:
        if chosen is self._own:
            return True
        return self._peers.link_to(chosen.node_id) is not None

    def _hand_over(
        self, now_s: float, call: EntryCall, chosen: Candidate
    ) -> None:
        served = call.served_call(now_s, self._serving.watch.service)
        sequence = call.sequence
        chosen.sent()
        link = self._peers.link_to(chosen.node_id)
        if chosen is self._own or link is None:
            self._serving.begin(
                sequence,
                served,
                lambda ending: self._own_ended(sequence, ending),
            )
            return
        link.owe()
        link.send(CallSent(sequence, served))

    def _own_ended(self, sequence: int, ending: Ending) -> None:
        call = self._sent.pop(sequence, None)
        if call is None:
            return
        now_s = self._context.timers.now_s()
        usage = self._serving.usage(call.route.name, self.usage)
        self.usage.told(now_s, call.run_kind, usage)
        self._ended(call, ending)

    def _log_placed(self, call: EntryCall, chosen: Candidate) -> None:
        kind = Kind.PLACED
        if call.attempts or call.moves:
            kind = Kind.PLACED_AGAIN
        log = self._context.log
        if not log.takes(kind):
            return
        log.append(
            'request_placed',
            request=call.asked.request_id,
            route=call.route.name,
            service=call.service,
            receiver=chosen.node_id,
            attempt=call.attempts + call.moves + 1,
            held=chosen.load.held,
            limit=chosen.load.limit,
            wait_ms=round(chosen.load.wait_us / MS_PER_S, 1),
            load_age_ms=int((call.sent_s - chosen.told_s) * MS_PER_S),
            left_ms=int((call.deadline_s - call.sent_s) * MS_PER_S),
        )


def _view(loads: list[TargetLoad]) -> ServiceView:
    usable = [load for load in loads if load.is_usable]
    capacity = sum(load.capacity_deci_per_s for load in usable)
    waits = sum(load.wait_us * load.capacity_deci_per_s for load in usable)
    return ServiceView(
        offered_per_s=sum(load.offered_deci_per_s for load in usable) / 10,
        capacity_per_s=capacity / 10,
        wait_s=waits / capacity / 1e6 if capacity else 0,
    )
