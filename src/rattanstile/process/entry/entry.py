"""Entry state machine, which has each request run by one node and replies.

An idempotent call is retried at another node by the hop next to the failure,
within the retry budget of its call tree and the token bucket of the called
service. A call that is not idempotent is sent to its home only: after a lost
connection the same id is sent to the same home again, until the deadline
passes or the home is known to be gone. It gets a new id and a new home only
after its home proved that the earlier id never runs.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import count
from random import Random

import logbook

from rattanstile.process.entry.calls_in_flight import CallsInFlight
from rattanstile.process.entry.entry_call import (
    EntryCall,
    IdSource,
    Phase,
    id_source_of,
    may_have_run,
    should_retry_elsewhere,
)
from rattanstile.process.entry.homes import Homes
from rattanstile.process.entry.receivers import Chooser, Receivers
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import (
    AttemptUnsent,
    BindingFailed,
    BindingRequest,
    CallRequested,
    EntryInput,
    EntryOutput,
    HomeGone,
    HomeReport,
    KeyBound,
    PeerLost,
    QueryHome,
    ReplyArrived,
    RequestAbandoned,
    RequestCompleted,
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

FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
HOME_QUERY_TIMEOUT_S = 1.0
MAX_REASSIGNMENTS = 3

_MS_PER_S = 1000
_MAX_DOUBLINGS = 10

_log = logbook.Logger('entry')


@dataclass(frozen=True, slots=True)
class EntryIdentity:
    """Identity under which an entry node issues call ids."""

    node_id: NodeId
    incarnation: Incarnation


class EntryMachine:
    """Handles every request of this entry node from its arrival to its reply.

    Args:
        identity: Identity under which call ids are issued.
        chooser: Knows the nodes of each service and their load.
        rng: Source of back-off jitter and of random node choices.
        edge_buckets: Limit retries to a share of the successful calls.
        unreachable: Backs off from nodes that could not be reached; None to
            try them as any other node.
    """

    def __init__(
        self,
        identity: EntryIdentity,
        chooser: Chooser,
        rng: Random,
        edge_buckets: EdgeBuckets | None = None,
        unreachable: UnreachableNodes | None = None,
    ) -> None:
        """Start with no calls in flight."""
        self._issuer = CallIdIssuer(identity.node_id, identity.incarnation)
        self._rng = rng
        self._receivers = Receivers(chooser, rng, unreachable)
        self._edge_buckets = edge_buckets or EdgeBuckets()
        self._homes = Homes()
        self._version = VersionNumber(0)
        self._max_hops = 0
        self._attempts = count(1)
        self._calls = CallsInFlight()

    def __len__(self) -> int:
        """Return the number of calls in flight."""
        return len(self._calls)

    def adopt(self, version: VersionInForce) -> None:
        """Use the hop limit and number of a version for subsequent calls."""
        self._version = version.number
        self._max_hops = version.declaration.max_hops

    def next_wake_s(self) -> float | None:
        """Return when to step with `Ticked`, or None if no call waits."""
        return self._calls.next_wake_s()

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Process one input and return the resulting outputs."""
        match entry_input:
            case CallRequested():
                outputs = self._handle_request(now_s, entry_input)
            case ReplyArrived():
                outputs = self._handle_reply(now_s, entry_input)
            case PeerLost():
                outputs = self._handle_peer_loss(now_s, entry_input)
            case AttemptUnsent():
                outputs = self._handle_unsent_attempt(now_s, entry_input)
            case HomeReport():
                outputs = self._handle_home_report(now_s, entry_input)
            case HomeGone():
                outputs = self._handle_home_gone(now_s, entry_input)
            case KeyBound():
                outputs = self._handle_binding(now_s, entry_input)
            case BindingFailed():
                outputs = self._handle_binding_failure(entry_input)
            case RequestAbandoned():
                outputs = self._handle_abandonment(now_s, entry_input)
            case Ticked():
                outputs = self._handle_tick(now_s)
        return list(outputs)

    # Requests

    def _handle_request(
        self, now_s: float, request: CallRequested
    ) -> Iterable[EntryOutput]:
        call = EntryCall(
            request=request,
            id_source=id_source_of(request),
            deadline_s=now_s + request.remaining_ms / _MS_PER_S,
            budget=RetryBudget(request.tries_left),
            call_id=request.call_id,
        )
        self._calls.add(call)
        # A hop limit that stops loops is an idea from RFC 2821, section 6.2.
        if request.hops > self._max_hops:
            return self._refuse(call, Reason.HOP_LIMIT)
        if request.remaining_ms <= 0:
            return self._refuse(call, Reason.DEADLINE)
        self._calls.wake_at(call, call.deadline_s)
        if call.id_source is IdSource.CALLER:
            return self._start_with_caller_id(now_s, call)
        return self._assign_node(now_s, call)

    def _start_with_caller_id(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        parsed = parse_call_id(call.request.call_id).unwrap_or(None)
        if parsed is None or bool(parsed.home) is call.is_idempotent:
            return self._refuse(call, Reason.MALFORMED)
        qualified = parsed.of_organisation(call.request.organisation)
        self._set_id(call, qualified)
        if call.is_idempotent:
            return self._assign_node(now_s, call)
        return self._send_to_home(now_s, call, qualified)

    # Choice of a node

    def _assign_node(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        """Choose a node for a call that has none or must change it."""
        node_id = self._receivers.choose(
            now_s,
            call.request.service,
            frozenset(call.failed_nodes),
            frozenset(call.disconnected_nodes),
        )
        if node_id is None:
            return self._refuse(call, Reason.NO_TARGET)
        if call.is_idempotent:
            if not call.call_id:
                self._set_id(call, self._issuer.issue())
            return self._send(now_s, call, node_id)
        if self._homes.is_fresh(node_id, now_s):
            return self._issue_id_for_home(now_s, call, node_id)
        call.phase = Phase.ASKING
        self._receivers.expect_answer(now_s, node_id)
        self._calls.set_receiver(call, node_id)
        self._calls.wake_at(
            call, min(call.deadline_s, now_s + HOME_QUERY_TIMEOUT_S)
        )
        return (QueryHome(node_id),)

    def _issue_id_for_home(
        self, now_s: float, call: EntryCall, node_id: NodeId
    ) -> Iterable[EntryOutput]:
        """Issue a call id with this node as home; send it or request a binding.

        The id of a call with an idempotency key is bound to the key before
        it is sent.
        """
        home = self._homes.home_of(node_id)
        new_id = self._issuer.issue(node_id, home.incarnation, home.id_epoch)
        if call.id_source is not IdSource.KEY:
            call.needs_new_id = False
            self._set_id(call, new_id)
            return self._send(now_s, call, node_id)
        refused_id = call.call_id
        call.phase = Phase.BINDING
        self._calls.set_receiver(call, NodeId(''))
        self._calls.wake_at(call, call.deadline_s)
        request = call.request
        binding_request = BindingRequest(
            request_id=request.request_id,
            organisation=request.organisation,
            idempotency_key=request.idempotency_key,
            fingerprint=fingerprint_of(request),
            call_id=new_id.render(),
            refused=refused_id,
            deadline_s=call.deadline_s,
        )
        return (binding_request,)

    def _send_to_home(
        self, now_s: float, call: EntryCall, parsed: ParsedCallId
    ) -> Iterable[EntryOutput]:
        if self._homes.is_gone(parsed):
            # The home never answers again, so that a call whose first attempt
            # was not sent never runs.
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
        # A repeated attempt with the same id joins the running call, which
        # already holds a part of the retry budget.
        is_copy = call.may_run and not call.is_idempotent
        call.lent_tries = 0 if is_copy else call.budget.lend()
        self._calls.set_receiver(call, node_id)
        self._calls.wake_at(call, call.deadline_s)
        self._calls.add_attempt(call)
        self._receivers.sent(now_s, node_id)
        _log.info(
            f'event=call_sent call={call.call_id} attempt={call.attempt}'
            f' service={call.request.service} node={node_id}'
        )
        return (SendCall(call.wire_call(now_s, self._version), node_id),)

    # Replies

    def _handle_reply(
        self, now_s: float, arrival: ReplyArrived
    ) -> Iterable[EntryOutput]:
        reply = arrival.reply
        call = self._calls.of_attempt(reply.call_id, reply.attempt)
        if call is None or call.receiver != arrival.sender:
            return ()
        self._end_attempt(now_s, call, reply)
        call.budget.reclaim(call.lent_tries, reply.tries_unspent)
        call.lent_tries = 0
        is_refused = reply.outcome is Outcome.NOT_RUN
        if is_refused and reply.reason is Reason.TOO_LARGE:
            # Reported by this node's own connection, not by the home.
            return self._refuse(call, Reason.TOO_LARGE)
        self._receivers.message_arrived(arrival.sender)
        if reply.outcome is Outcome.WHOLE:
            self._edge_buckets.record_success(call.request.service)
            return self._finish(call, reply)
        if call.is_idempotent:
            return self._handle_idempotent_failure(now_s, call, reply)
        if is_refused:
            return self._handle_home_refusal(now_s, call, reply)
        return self._finish(call, reply)

    def _handle_idempotent_failure(
        self, now_s: float, call: EntryCall, reply: Reply
    ) -> Iterable[EntryOutput]:
        if may_have_run(reply):
            call.may_run = True
            call.earlier_reply = reply
        call.failed_nodes.add(call.receiver)
        if should_retry_elsewhere(reply) and self._spend_retry(call):
            return self._back_off(now_s, call)
        return self._finish(call, reply)

    def _handle_home_refusal(
        self, now_s: float, call: EntryCall, reply: Reply
    ) -> Iterable[EntryOutput]:
        """Move a call whose id was proved never to run, if a retry may help."""
        if call.id_source is IdSource.CALLER:
            return self._finish(call, reply)
        call.may_run = False
        call.needs_new_id = True
        if call.id_source is IdSource.KEY and not call.fresh_binding:
            return self._reassign_node(now_s, call)
        call.failed_nodes.add(call.receiver)
        if should_retry_elsewhere(reply) and self._spend_retry(call):
            return self._back_off(now_s, call)
        return self._finish(call, reply)

    def _spend_retry(self, call: EntryCall) -> bool:
        """Spend a retry from budget and edge bucket, or return False."""
        if call.budget.tries == 0:
            return False
        if not self._edge_buckets.spend(call.request.service):
            return False
        return call.budget.spend()

    def _back_off(self, now_s: float, call: EntryCall) -> Iterable[EntryOutput]:
        doublings = min(call.backoff_count, _MAX_DOUBLINGS)
        max_delay_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2**doublings)
        call.backoff_count += 1
        call.phase = Phase.BACKING_OFF
        wake_s = now_s + max_delay_s * self._rng.uniform(0.5, 1.0)
        self._calls.wake_at(call, min(wake_s, call.deadline_s))
        return ()

    # Lost connections; nodes that restart or leave

    def _handle_peer_loss(
        self, now_s: float, loss: PeerLost
    ) -> Iterable[EntryOutput]:
        is_unsent = self._receivers.lost(now_s, loss)
        outputs: list[EntryOutput] = []
        for call in self._calls.of_receiver(loss.node_id):
            if call.phase is Phase.ASKING:
                call.failed_nodes.add(loss.node_id)
                outputs.extend(self._reassign_node(now_s, call))
            elif call.phase is Phase.SENT:
                self._end_attempt(now_s, call, None)
                if is_unsent:
                    outputs.extend(self._retry_unsent(now_s, call))
                else:
                    outputs.extend(self._retry_lost(now_s, call))
        return outputs

    def _handle_unsent_attempt(
        self, now_s: float, unsent_attempt: AttemptUnsent
    ) -> Iterable[EntryOutput]:
        call = self._calls.of_attempt(
            unsent_attempt.call_id, unsent_attempt.attempt
        )
        if call is None:
            return ()
        self._end_attempt(now_s, call, None)
        return self._retry_unsent(now_s, call)

    def _retry_unsent(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        call.budget.reclaim(call.lent_tries, call.lent_tries)
        call.lent_tries = 0
        if call.may_move and not call.may_run:
            call.failed_nodes.add(call.receiver)
            return self._reassign_node(now_s, call)
        return self._retry_same_id(now_s, call)

    def _retry_lost(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        call.may_run = True
        call.lent_tries = 0
        call.disconnected_nodes.add(call.receiver)
        return self._retry_same_id(now_s, call)

    def _retry_same_id(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        """Send the same id again, to another node if the call is idempotent."""
        if not call.is_idempotent or self._spend_retry(call):
            return self._back_off(now_s, call)
        return self._refuse(call, Reason.CONNECTION_LOST)

    def _reassign_node(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        """Choose a node again, which spends no retry budget.

        No byte of the call left this node, or its key was bound to the id of
        an earlier attempt, which its home refused.
        """
        call.reassignment_count += 1
        if call.reassignment_count > MAX_REASSIGNMENTS:
            return self._refuse(call, Reason.NO_TARGET)
        return self._assign_node(now_s, call)

    def _handle_home_report(
        self, now_s: float, home_report: HomeReport
    ) -> Iterable[EntryOutput]:
        outputs: list[EntryOutput] = []
        self._receivers.message_arrived(home_report.node_id)
        if self._homes.seen(now_s, home_report):
            outputs.extend(
                self._end_calls_of_gone_home(now_s, home_report.node_id)
            )
        if not self._homes.is_fresh(home_report.node_id, now_s):
            return outputs
        for call in self._calls.of_receiver(home_report.node_id):
            if call.phase is Phase.ASKING:
                outputs.extend(
                    self._issue_id_for_home(now_s, call, home_report.node_id)
                )
        return outputs

    def _handle_home_gone(
        self, now_s: float, gone_home: HomeGone
    ) -> Iterable[EntryOutput]:
        self._homes.gone(gone_home.node_id, gone_home.incarnation)
        return self._end_calls_of_gone_home(now_s, gone_home.node_id)

    def _end_calls_of_gone_home(
        self, now_s: float, node_id: NodeId
    ) -> Iterable[EntryOutput]:
        """End the calls whose home never answers again."""
        outputs: list[EntryOutput] = []
        for call in self._calls.of_receiver(node_id):
            parsed = call.parsed_id
            if call.is_idempotent or parsed is None or call.needs_new_id:
                continue
            if call.phase is Phase.ASKING or not self._homes.is_gone(parsed):
                continue
            if call.phase is Phase.SENT:
                self._end_attempt(now_s, call, None)
            call.may_run = True
            outputs.extend(self._refuse(call, Reason.HOME_GONE))
        return outputs

    # Bindings of idempotency keys

    def _handle_binding(
        self, now_s: float, binding: KeyBound
    ) -> Iterable[EntryOutput]:
        call = self._calls.of_request(binding.request_id)
        parsed = parse_call_id(binding.call_id).unwrap_or(None)
        if call is None or call.phase is not Phase.BINDING:
            return ()
        call.needs_new_id = False
        call.fresh_binding = binding.fresh
        call.was_bound_before = call.was_bound_before or not binding.fresh
        if parsed is None:
            call.may_run = True
            return self._refuse(call, Reason.MALFORMED)
        self._set_id(call, parsed)
        return self._send_to_home(now_s, call, parsed)

    def _handle_binding_failure(
        self, failure: BindingFailed
    ) -> Iterable[EntryOutput]:
        call = self._calls.of_request(failure.request_id)
        if call is None or call.phase is not Phase.BINDING:
            return ()
        call.may_run = call.may_run or not failure.proved_unbound
        return self._refuse(call, failure.reason)

    # Timers and abandoned requests

    def _handle_tick(self, now_s: float) -> Iterable[EntryOutput]:
        outputs: list[EntryOutput] = []
        for call in self._calls.due(now_s):
            outputs.extend(self._handle_wake(now_s, call))
        return outputs

    def _handle_wake(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        if now_s >= call.deadline_s:
            return self._handle_deadline(now_s, call)
        if call.phase is Phase.ASKING:
            call.failed_nodes.add(call.receiver)
            self._receivers.timed_out(now_s, call.receiver)
            return self._reassign_node(now_s, call)
        parsed = call.parsed_id
        if call.is_idempotent or parsed is None or call.needs_new_id:
            return self._assign_node(now_s, call)
        return self._send_to_home(now_s, call, parsed)

    def _handle_deadline(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        outputs = list(self._cancel_attempt(now_s, call))
        outputs.extend(self._refuse(call, Reason.DEADLINE))
        return outputs

    def _handle_abandonment(
        self, now_s: float, abandonment: RequestAbandoned
    ) -> Iterable[EntryOutput]:
        call = self._calls.of_request(abandonment.request_id)
        if call is None:
            return ()
        outputs = list(self._cancel_attempt(now_s, call))
        self._calls.remove(call)
        return outputs

    def _cancel_attempt(
        self, now_s: float, call: EntryCall
    ) -> Iterable[EntryOutput]:
        """End the outstanding attempt; cancel it if the call may move."""
        if call.phase is not Phase.SENT:
            return ()
        call.may_run = True
        self._end_attempt(now_s, call, None)
        if not call.may_move:
            return ()
        return (
            SendCancel(
                Cancel(call_id=call.call_id, attempt=call.attempt),
                call.receiver,
            ),
        )

    # End of attempts and calls

    def _end_attempt(
        self, now_s: float, call: EntryCall, reply: Reply | None
    ) -> None:
        self._calls.remove_attempt(call)
        self._receivers.ended(call.receiver, now_s - call.sent_s, reply)

    def _refuse(self, call: EntryCall, reason: Reason) -> Iterable[EntryOutput]:
        if call.earlier_reply is not None:
            return self._finish(call, call.earlier_reply)
        return self._finish(call, call.own_refusal(reason))

    def _finish(self, call: EntryCall, reply: Reply) -> Iterable[EntryOutput]:
        self._calls.remove(call)
        return (
            RequestCompleted(call.request.request_id, call.caller_reply(reply)),
        )
