"""Entry machine: takes a request, has it run by one node, and settles it.

An idempotent call is tried again elsewhere by the hop next to the failure,
within the retry budget of its call tree and the edge's token bucket. A call
that is not idempotent goes to its home only: after a lost connection the same
id is sent to the same home again, until the deadline passes or the home is
known to be gone. It gets a new id and a new home only after its home proved
that the earlier id never runs.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count
from random import Random

import logbook

from rattanstile.process.entry.calls_in_flight import CallsInHand
from rattanstile.process.entry.entry_call import (
    EntryCall,
    IdSource,
    Phase,
    goes_elsewhere,
    may_have_run,
    source_of,
)
from rattanstile.process.entry.homes import Homes
from rattanstile.process.entry.receivers import Chooser, Receivers
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import (
    AskHome,
    AttemptUnsent,
    BindingFailed,
    BindingWanted,
    Bound,
    CallRequested,
    EntryInput,
    EntryOutput,
    Finished,
    HomeGone,
    HomeSeen,
    PeerLost,
    ReplyArrived,
    RequestAbandoned,
    SendCall,
    SendCancel,
    Ticked,
)
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.request.budget import RetryBudget
from rattanstile.request.call_id import (
    CallIdIssuer,
    ParsedCallId,
    parse_call_id,
)
from rattanstile.request.envelope import Cancel, Reply
from rattanstile.request.fingerprint import fingerprint_of
from rattanstile.request.ids import (
    Incarnation,
    NodeId,
    VersionNumber,
)
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.in_force import VersionInForce

FIRST_BACK_OFF_S = 0.02
LONGEST_BACK_OFF_S = 1.0
ASK_TIMEOUT_S = 1.0
MOST_UNSENT = 3

_MILLISECONDS = 1000
_MOST_DOUBLINGS = 10

_log = logbook.Logger('entry')


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Who issues the call ids of this entry node."""

    node_id: NodeId
    incarnation: Incarnation


class EntryMachine:
    """Keeps every request of this entry node from its arrival to its end.

    Args:
        chooser: Knows the nodes of each service and their load.
        rng: Source of jitter and choice.
        edge_buckets: Hold retries to a share of successes.
        unreachable: Nodes left alone for a while; None for no such memory.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        chooser: Chooser,
        rng: Random,
        edge_buckets: EdgeBuckets | None = None,
        unreachable: UnreachableNodes | None = None,
    ) -> None:
        """Start with no request in hand."""
        self._issuer = CallIdIssuer(identity.node_id, identity.incarnation)
        self._rng = rng
        self._receivers = Receivers(chooser, rng, unreachable)
        self._edge_buckets = edge_buckets or EdgeBuckets()
        self._homes = Homes()
        self._version = VersionNumber(0)
        self._max_hops = 0
        self._attempts = count(1)
        self._calls = CallsInHand()

    def __len__(self) -> int:
        """Return how many requests are in hand."""
        return len(self._calls)

    def adopt(self, version: VersionInForce) -> None:
        """Take the hop limit and the version number for the calls to come."""
        self._version = version.number
        self._max_hops = version.declaration.max_hops

    def next_wake_s(self) -> float | None:
        """Return when to step with `Ticked`, or None while nothing waits."""
        return self._calls.next_wake_s()

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Take one input and return what follows from it."""
        match entry_input:
            case CallRequested():
                outputs = self._requested(now_s, entry_input)
            case ReplyArrived():
                outputs = self._replied(now_s, entry_input)
            case PeerLost():
                outputs = self._peer_lost(now_s, entry_input)
            case AttemptUnsent():
                outputs = self._attempt_unsent(now_s, entry_input)
            case HomeSeen():
                outputs = self._home_seen(now_s, entry_input)
            case HomeGone():
                outputs = self._home_gone(now_s, entry_input)
            case Bound():
                outputs = self._bound(now_s, entry_input)
            case BindingFailed():
                outputs = self._binding_failed(entry_input)
            case RequestAbandoned():
                outputs = self._abandoned(now_s, entry_input)
            case Ticked():
                outputs = self._ticked(now_s)
        return list(outputs)

    # A request arrives

    def _requested(
        self, now_s: float, request: CallRequested
    ) -> Iterable[EntryOutput]:
        call = EntryCall(
            request=request,
            source=source_of(request),
            deadline_s=now_s + request.remaining_ms / _MILLISECONDS,
            budget=RetryBudget(request.tries_left),
            call_id=request.call_id,
        )
        self._calls.take(call)
        # The hop limit that stops a loop is the idea of RFC 2821, 6.2.
        if request.hops > self._max_hops:
            return self._refuse(call, Reason.HOP_LIMIT)
        if request.remaining_ms <= 0:
            return self._refuse(call, Reason.DEADLINE)
        self._calls.wake_at(call, call.deadline_s)
        if call.source is IdSource.CALLER:
            return self._take_callers_id(now_s, call)
        return self._place(now_s, call)

    def _take_callers_id(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        parsed = parse_call_id(call.request.call_id).unwrap_or(None)
        if parsed is None or bool(parsed.home) is call.is_idempotent:
            return self._refuse(call, Reason.MALFORMED)
        qualified = parsed.of_organisation(call.request.organisation)
        self._set_id(call, qualified)
        if call.is_idempotent:
            return self._place(now_s, call)
        return self._send_home(now_s, call, qualified)

    # Where a call goes

    def _place(self, now_s: float, call: EntryCall) -> Iterable[EntryOutput]:
        """Choose a node for a call that has none, or whose node is out."""
        node_id = self._receivers.choose(
            now_s,
            call.request.service,
            frozenset(call.tried),
            frozenset(call.lost_at),
        )
        if node_id is None:
            return self._refuse(call, Reason.NO_TARGET)
        if call.is_idempotent:
            if not call.call_id:
                self._set_id(call, self._issuer.issue())
            return self._send(now_s, call, node_id)
        if self._homes.is_fresh(node_id, now_s):
            return self._settle_home(now_s, call, node_id)
        call.phase = Phase.ASKING
        self._receivers.expect_answer(now_s, node_id)
        self._calls.receive_from(call, node_id)
        self._calls.wake_at(call, min(call.deadline_s, now_s + ASK_TIMEOUT_S))
        return (AskHome(node_id),)

    def _settle_home(
        self, now_s: float, call: EntryCall, node_id: NodeId
    ) -> Iterable[EntryOutput]:
        """Issue the id that names this node as the home, and use it."""
        home = self._homes.home_of(node_id)
        issued = self._issuer.issue(node_id, home.incarnation, home.id_epoch)
        if call.source is not IdSource.KEY:
            call.moving = False
            self._set_id(call, issued)
            return self._send(now_s, call, node_id)
        refused = call.call_id
        call.phase = Phase.BINDING
        self._calls.receive_from(call, NodeId(''))
        self._calls.wake_at(call, call.deadline_s)
        request = call.request
        wanted = BindingWanted(
            request_id=request.request_id,
            organisation=request.organisation,
            idempotency_key=request.idempotency_key,
            fingerprint=fingerprint_of(request),
            call_id=issued.render(),
            refused=refused,
            deadline_s=call.deadline_s,
        )
        return (wanted,)

    def _send_home(
        self, now_s: float, call: EntryCall, parsed: ParsedCallId
    ) -> Iterable[EntryOutput]:
        if self._homes.is_gone(parsed):
            # Its home never answers again: a first attempt that went no
            # further is also the last that could have run.
            call.never_runs = call.is_first_and_unsent
            call.may_run = not call.never_runs
            return self._refuse(call, Reason.HOME_GONE)
        return self._send(now_s, call, parsed.home)

    def _set_id(self, call: EntryCall, parsed: ParsedCallId) -> None:
        call.parsed_id = parsed
        call.call_id = parsed.render()

    def _send(
        self, now_s: float, call: EntryCall, node_id: NodeId
    ) -> Iterable[EntryOutput]:
        call.phase = Phase.SENT
        call.attempt = next(self._attempts)
        call.sent_s = now_s
        # A copy of the same id joins the run that holds the share already.
        is_copy = call.may_run and not call.is_idempotent
        call.lent = 0 if is_copy else call.budget.lend()
        self._calls.receive_from(call, node_id)
        self._calls.wake_at(call, call.deadline_s)
        self._calls.attempt_began(call)
        self._receivers.sent(now_s, node_id)
        _log.info(
            f'event=call_sent call={call.call_id} attempt={call.attempt}'
            f' service={call.request.service} node={node_id}'
        )
        return (SendCall(call.wire_call(now_s, self._version), node_id),)

    # A reply arrives

    def _replied(
        self, now_s: float, arrived: ReplyArrived
    ) -> Iterable[EntryOutput]:
        reply = arrived.reply
        call = self._calls.of_attempt(reply.call_id, reply.attempt)
        if call is None or call.receiver != arrived.sender:
            return ()
        self._attempt_ended(now_s, call, reply)
        call.budget.reclaim(call.lent, reply.tries_unspent)
        call.lent = 0
        is_refused = reply.outcome is Outcome.NOT_RUN
        if is_refused and reply.reason is Reason.TOO_LARGE:
            # Said by this node's own connection, not by the home.
            return self._refuse(call, Reason.TOO_LARGE)
        self._receivers.message_arrived(arrived.sender)
        if reply.outcome is Outcome.WHOLE:
            self._edge_buckets.record_success(call.request.service)
            return self._finish(call, reply)
        if call.is_idempotent:
            return self._idempotent_failed(now_s, call, reply)
        if is_refused:
            return self._home_refused(now_s, call, reply)
        return self._finish(call, reply)

    def _idempotent_failed(
        self, now_s: float, call: EntryCall, reply: Reply
    ) -> Iterable[EntryOutput]:
        if may_have_run(reply):
            call.may_run = True
            call.earlier = reply
        call.tried.add(call.receiver)
        if goes_elsewhere(reply) and self._may_retry(call):
            return self._back_off(now_s, call)
        return self._finish(call, reply)

    def _home_refused(
        self, now_s: float, call: EntryCall, reply: Reply
    ) -> Iterable[EntryOutput]:
        """Move a call whose id was proved to be never run, if that helps."""
        if call.source is IdSource.CALLER:
            return self._finish(call, reply)
        call.may_run = False
        call.moving = True
        if call.source is IdSource.KEY and not call.fresh_binding:
            return self._place_again(now_s, call)
        call.tried.add(call.receiver)
        if goes_elsewhere(reply) and self._may_retry(call):
            return self._back_off(now_s, call)
        return self._finish(call, reply)

    def _may_retry(self, call: EntryCall) -> bool:
        """Spend what another try costs, if budget and edge allow it."""
        if call.budget.tries == 0:
            return False
        if not self._edge_buckets.spend(call.request.service):
            return False
        return call.budget.spend()

    def _back_off(self, now_s: float, call: EntryCall) -> Iterable[EntryOutput]:
        doublings = min(call.failures, _MOST_DOUBLINGS)
        longest_s = min(LONGEST_BACK_OFF_S, FIRST_BACK_OFF_S * 2**doublings)
        call.failures += 1
        call.phase = Phase.BACKING_OFF
        wake_s = now_s + longest_s * self._rng.uniform(0.5, 1.0)
        self._calls.wake_at(call, min(wake_s, call.deadline_s))
        return ()

    # A connection is lost, a node restarts or leaves

    def _peer_lost(self, now_s: float, lost: PeerLost) -> Iterable[EntryOutput]:
        is_unsent = self._receivers.lost(now_s, lost)
        outputs: list[EntryOutput] = []
        for call in self._calls.of_receiver(lost.node_id):
            if call.phase is Phase.ASKING:
                call.tried.add(lost.node_id)
                outputs.extend(self._place_again(now_s, call))
            elif call.phase is Phase.SENT:
                self._attempt_ended(now_s, call, None)
                if is_unsent:
                    outputs.extend(self._unsent(now_s, call))
                else:
                    outputs.extend(self._attempt_lost(now_s, call))
        return outputs

    def _attempt_unsent(
        self, now_s: float, unsent: AttemptUnsent
    ) -> Iterable[EntryOutput]:
        call = self._calls.of_attempt(unsent.call_id, unsent.attempt)
        if call is None:
            return ()
        self._attempt_ended(now_s, call, None)
        return self._unsent(now_s, call)

    def _unsent(self, now_s: float, call: EntryCall) -> Iterable[EntryOutput]:
        call.budget.reclaim(call.lent, call.lent)
        call.lent = 0
        if call.may_move and not call.may_run:
            call.tried.add(call.receiver)
            return self._place_again(now_s, call)
        return self._try_again(now_s, call)

    def _attempt_lost(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        call.may_run = True
        call.lent = 0
        call.lost_at.add(call.receiver)
        return self._try_again(now_s, call)

    def _try_again(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        """Send the same id again: to its home, or elsewhere if it may move."""
        if not call.is_idempotent or self._may_retry(call):
            return self._back_off(now_s, call)
        return self._refuse(call, Reason.CONNECTION_LOST)

    def _place_again(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        """Place a call of which no byte left this node."""
        call.unsent += 1
        if call.unsent > MOST_UNSENT:
            return self._refuse(call, Reason.NO_TARGET)
        return self._place(now_s, call)

    def _home_seen(self, now_s: float, seen: HomeSeen) -> Iterable[EntryOutput]:
        outputs: list[EntryOutput] = []
        self._receivers.message_arrived(seen.node_id)
        if self._homes.seen(now_s, seen):
            outputs.extend(self._settle_gone(now_s, seen.node_id))
        if not self._homes.is_fresh(seen.node_id, now_s):
            return outputs
        for call in self._calls.of_receiver(seen.node_id):
            if call.phase is Phase.ASKING:
                outputs.extend(self._settle_home(now_s, call, seen.node_id))
        return outputs

    def _home_gone(self, now_s: float, gone: HomeGone) -> Iterable[EntryOutput]:
        self._homes.gone(gone.node_id, gone.incarnation)
        return self._settle_gone(now_s, gone.node_id)

    def _settle_gone(
        self, now_s: float, node_id: NodeId
    ) -> Iterable[EntryOutput]:
        """End or move the calls whose home is gone for good."""
        outputs: list[EntryOutput] = []
        for call in self._calls.of_receiver(node_id):
            parsed = call.parsed_id
            if call.is_idempotent or parsed is None or call.moving:
                continue
            if call.phase is Phase.ASKING or not self._homes.is_gone(parsed):
                continue
            if call.phase is Phase.SENT:
                self._attempt_ended(now_s, call, None)
            call.may_run = True
            outputs.extend(self._refuse(call, Reason.HOME_GONE))
        return outputs

    # An idempotency key is bound

    def _bound(self, now_s: float, bound: Bound) -> Iterable[EntryOutput]:
        call = self._calls.of_request(bound.request_id)
        parsed = parse_call_id(bound.call_id).unwrap_or(None)
        if call is None or call.phase is not Phase.BINDING:
            return ()
        call.moving = False
        call.fresh_binding = bound.fresh
        call.rebound = call.rebound or not bound.fresh
        if parsed is None:
            call.may_run = True
            return self._refuse(call, Reason.MALFORMED)
        self._set_id(call, parsed)
        return self._send_home(now_s, call, parsed)

    def _binding_failed(self, failed: BindingFailed) -> Iterable[EntryOutput]:
        call = self._calls.of_request(failed.request_id)
        if call is None or call.phase is not Phase.BINDING:
            return ()
        call.may_run = call.may_run or not failed.proved_unbound
        return self._refuse(call, failed.reason)

    # Time passes, the caller leaves

    def _ticked(self, now_s: float) -> Iterable[EntryOutput]:
        outputs: list[EntryOutput] = []
        for call in self._calls.due(now_s):
            outputs.extend(self._woken(now_s, call))
        return outputs

    def _woken(self, now_s: float, call: EntryCall) -> Iterable[EntryOutput]:
        if now_s >= call.deadline_s:
            return self._deadline_passed(now_s, call)
        if call.phase is Phase.ASKING:
            call.tried.add(call.receiver)
            self._receivers.timed_out(now_s, call.receiver)
            return self._place_again(now_s, call)
        parsed = call.parsed_id
        if call.is_idempotent or parsed is None or call.moving:
            return self._place(now_s, call)
        return self._send_home(now_s, call, parsed)

    def _deadline_passed(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        outputs = list(self._give_up(now_s, call))
        outputs.extend(self._refuse(call, Reason.DEADLINE))
        return outputs

    def _abandoned(
        self, now_s: float, abandoned: RequestAbandoned
    ) -> Iterable[EntryOutput]:
        call = self._calls.of_request(abandoned.request_id)
        if call is None:
            return ()
        outputs = list(self._give_up(now_s, call))
        self._calls.forget(call)
        return outputs

    def _give_up(self, now_s: float, call: EntryCall) -> Iterable[EntryOutput]:
        """Cancel the outstanding attempt, unless its caller may ask again."""
        if call.phase is not Phase.SENT:
            return ()
        call.may_run = True
        self._attempt_ended(now_s, call, None)
        if not call.may_move:
            return ()
        return (
            SendCancel(
                Cancel(call_id=call.call_id, attempt=call.attempt),
                call.receiver,
            ),
        )

    # The end of an attempt and of a call

    def _attempt_ended(
        self, now_s: float, call: EntryCall, reply: Reply | None
    ) -> None:
        self._calls.attempt_ended(call)
        self._receivers.ended(call.receiver, now_s - call.sent_s, reply)

    def _refuse(self, call: EntryCall, reason: Reason) -> Iterable[EntryOutput]:
        if call.earlier is not None:
            return self._finish(call, call.earlier)
        return self._finish(call, call.own_refusal(reason))

    def _finish(self, call: EntryCall, reply: Reply) -> Iterable[EntryOutput]:
        self._calls.forget(call)
        return (Finished(call.request.request_id, call.settled(reply)),)
