"""Routing of calls, cancels and replies to local services and peers."""

from collections.abc import Callable

import logbook

from rattanstile.connection.frames import (
    DrainNotice,
    Heartbeat,
    Message,
    MessageTooLargeError,
)
from rattanstile.connection.peer import (
    CallerLost,
    CallerMessageArrived,
    EpochReceived,
    MessageArrived,
    PeerEvent,
    PeerPool,
    PeerReady,
)
from rattanstile.process.entry.entry_service import EntryService
from rattanstile.process.key_values import key_values
from rattanstile.process.messages import (
    AttemptUnsent,
    BindingRequest,
    HomeReport,
    PeerLost,
    QueryHome,
    ReplyArrived,
    SendCall,
    SendCancel,
    SendReply,
)
from rattanstile.process.serving.serving_service import ServingService
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Call, Cancel, Member, Reply, refusal
from rattanstile.request.ids import Incarnation, NodeId
from rattanstile.request.outcome import Outcome, Reason

_log = logbook.Logger('call-router')
EntryRequestOutput = SendCall | SendCancel | QueryHome | BindingRequest


class CallRouter:
    """Passes each message to a service of this node or to the right peer.

    Args:
        own_member: This node.
        id_epoch: Returns the id epoch of this node's home table.
        member_of: Returns a member, or None if it is gone.

    Attributes:
        entry: Assigned before the first message.
        serving: Assigned before the first message.
        pool: Assigned before the first message.
        request_binding: Called with each binding that a call requires.
        home_seen: Called with the incarnation and id epoch of each node that
            reports them.
        on_caller_event: Called with each event of a caller's connection.
    """

    entry: EntryService
    serving: ServingService
    pool: PeerPool
    request_binding: Callable[[BindingRequest], None]
    home_seen: Callable[[HomeReport], None]
    on_caller_event: Callable[[CallerMessageArrived | CallerLost], None]

    def __init__(
        self,
        own_member: Member,
        id_epoch: Callable[[], int],
        member_of: Callable[[NodeId], Member | None],
        timers: TimerService,
    ) -> None:
        """Start without a report from any peer."""
        self._own_member = own_member
        self._id_epoch = id_epoch
        self._member_of = member_of
        self._timers = timers
        self._incarnations: dict[NodeId, Incarnation] = {}

    def send(self, output: EntryRequestOutput) -> None:
        """Perform an output of the entry machine."""
        match output:
            case SendCall(call=call, receiver=receiver):
                self._send_call(call, receiver)
            case SendCancel(cancel=cancel, receiver=receiver):
                self._send_cancel(cancel, receiver)
            case QueryHome(receiver=receiver):
                self._query_home(receiver)
            case BindingRequest():
                self.request_binding(output)

    def deliver(self, output: SendReply) -> None:
        """Send a reply of the serving machine to the sender of the call."""
        if output.receiver == self._own_member.node_id:
            self.entry.step(ReplyArrived(output.reply, output.receiver))
            return
        try:
            self.pool.reply(output.receiver, output.reply)
        except MessageTooLargeError:
            self.pool.reply(output.receiver, _too_large_reply(output.reply))

    def take(self, event: PeerEvent) -> None:
        """Handle an event of a connection to a peer or a caller."""
        match event:
            case MessageArrived(sender=sender, message=message):
                self._handle_message(sender, message)
            case PeerReady():
                self._incarnations[event.node_id] = Incarnation(
                    event.incarnation
                )
                self._report_home(event.node_id, event.id_epoch)
            case EpochReceived():
                self._report_home(event.node_id, event.id_epoch)
            case PeerLost():
                _log.info(
                    key_values(
                        'peer_lost',
                        peer=event.node_id,
                        connected=event.connected,
                    )
                )
                self.entry.step(event)
            case CallerMessageArrived() | CallerLost():
                self.on_caller_event(event)

    def _handle_message(self, sender: NodeId, message: Message) -> None:
        match message:
            case Call():
                self.serving.arrive(message, sender)
            case Reply():
                self.entry.step(ReplyArrived(message, sender))
            case Cancel():
                self.serving.cancel(message, sender)
            case DrainNotice():
                _log.info(key_values('peer_drains', peer=sender))

    def _send_call(self, call: Call, receiver: NodeId) -> None:
        if receiver == self._own_member.node_id:
            self.serving.arrive(call, receiver)
            return
        member = self._member_of(receiver)
        if member is None:
            # Reports only this attempt as unsent: others may still be in
            # flight on an open connection to the node.
            self._step_later(AttemptUnsent(call.call_id, call.attempt))
            return
        try:
            self.pool.send(member, call)
        except MessageTooLargeError:
            refused = refusal(call, Reason.TOO_LARGE)
            self.entry.step(ReplyArrived(refused, receiver))

    def _send_cancel(self, cancel: Cancel, receiver: NodeId) -> None:
        if receiver == self._own_member.node_id:
            self.serving.cancel(cancel, receiver)
            return
        member = self._member_of(receiver)
        if member is not None:
            self.pool.send(member, cancel)

    def _query_home(self, receiver: NodeId) -> None:
        if receiver == self._own_member.node_id:
            self._incarnations[receiver] = Incarnation(
                self._own_member.incarnation
            )
            self._report_home(receiver, self._id_epoch())
            return
        member = self._member_of(receiver)
        if member is not None:
            heartbeat = Heartbeat(sequence=0, id_epoch=self._id_epoch())
            self.pool.send(member, heartbeat)

    def _step_later(self, entry_input: AttemptUnsent) -> None:
        self._timers.after(0, lambda _: self.entry.step(entry_input))

    def _report_home(self, node_id: NodeId, id_epoch: int) -> None:
        incarnation = self._incarnations.get(node_id)
        if incarnation is None:
            return
        report = HomeReport(node_id, incarnation, id_epoch)
        self.home_seen(report)
        self.entry.step(report)


def _too_large_reply(reply: Reply) -> Reply:
    return Reply(
        call_id=reply.call_id,
        attempt=reply.attempt,
        outcome=Outcome.UNKNOWN,
        reason=Reason.TOO_LARGE,
        status=Reason.ANSWER_CUT.status,
        tries_unspent=reply.tries_unspent,
    )
