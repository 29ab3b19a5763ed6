"""Carries calls, cancels and replies between this node's parts and peers."""

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
    AskHome,
    AttemptUnsent,
    BindingWanted,
    HomeSeen,
    PeerLost,
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
EntryRequestOutput = SendCall | SendCancel | AskHome | BindingWanted


class CallRouter:
    """Hands each message to this node or to the peer that it is for.

    Args:
        own: This node.
        id_epoch: Gives the id epoch of this node's home table.
        member_of: Gives a member, or None for one that is gone.

    Attributes:
        entry: Set before the first message.
        serving: Set before the first message.
        pool: Set before the first message.
        want_binding: Takes the bindings that calls need.
        home_seen: Takes what nodes tell of themselves.
        from_caller: Takes what the caller library sent.
    """

    entry: EntryService
    serving: ServingService
    pool: PeerPool
    request_binding: Callable[[BindingWanted], None]
    home_seen: Callable[[HomeSeen], None]
    on_caller_event: Callable[[CallerMessageArrived | CallerLost], None]

    def __init__(
        self,
        own: Member,
        id_epoch: Callable[[], int],
        member_of: Callable[[NodeId], Member | None],
        timers: TimerService,
    ) -> None:
        """Begin without any peer heard."""
        self._own = own
        self._id_epoch = id_epoch
        self._member_of = member_of
        self._timers = timers
        self._incarnations: dict[NodeId, Incarnation] = {}

    def send(self, output: EntryRequestOutput) -> None:
        """Take what the entry machine wants sent."""
        match output:
            case SendCall(call=call, receiver=receiver):
                self._send_call(call, receiver)
            case SendCancel(cancel=cancel, receiver=receiver):
                self._send_cancel(cancel, receiver)
            case AskHome(receiver=receiver):
                self._ask_home(receiver)
            case BindingWanted():
                self.request_binding(output)

    def deliver(self, output: SendReply) -> None:
        """Take a reply from the serving machine to where the call is from."""
        if output.receiver == self._own.node_id:
            self.entry.step(ReplyArrived(output.reply, output.receiver))
            return
        try:
            self.pool.reply(output.receiver, output.reply)
        except MessageTooLargeError:
            self.pool.reply(output.receiver, _too_large(output.reply))

    def take(self, event: PeerEvent) -> None:
        """Take an event of the connections."""
        match event:
            case MessageArrived(sender=sender, message=message):
                self._take_message(sender, message)
            case PeerReady():
                self._incarnations[event.node_id] = Incarnation(
                    event.incarnation
                )
                self._home_seen(event.node_id, event.id_epoch)
            case EpochReceived():
                self._home_seen(event.node_id, event.id_epoch)
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

    def _take_message(self, sender: NodeId, message: Message) -> None:
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
        if receiver == self._own.node_id:
            self.serving.arrive(call, receiver)
            return
        member = self._member_of(receiver)
        if member is None:
            # Of this attempt alone: others may wait on a link still open.
            self._step_later(AttemptUnsent(call.call_id, call.attempt))
            return
        try:
            self.pool.send(member, call)
        except MessageTooLargeError:
            refused = refusal(call, Reason.TOO_LARGE)
            self.entry.step(ReplyArrived(refused, receiver))

    def _send_cancel(self, cancel: Cancel, receiver: NodeId) -> None:
        if receiver == self._own.node_id:
            self.serving.cancel(cancel, receiver)
            return
        member = self._member_of(receiver)
        if member is not None:
            self.pool.send(member, cancel)

    def _ask_home(self, receiver: NodeId) -> None:
        if receiver == self._own.node_id:
            self._incarnations[receiver] = Incarnation(self._own.incarnation)
            self._home_seen(receiver, self._id_epoch())
            return
        member = self._member_of(receiver)
        if member is not None:
            beat = Heartbeat(sequence=0, id_epoch=self._id_epoch())
            self.pool.send(member, beat)

    def _step_later(self, entry_input: AttemptUnsent) -> None:
        self._timers.after(0, lambda _: self.entry.step(entry_input))

    def _home_seen(self, node_id: NodeId, id_epoch: int) -> None:
        incarnation = self._incarnations.get(node_id)
        if incarnation is None:
            return
        seen = HomeSeen(node_id, incarnation, id_epoch)
        self.home_seen(seen)
        self.entry.step(seen)


def _too_large(reply: Reply) -> Reply:
    return Reply(
        call_id=reply.call_id,
        attempt=reply.attempt,
        outcome=Outcome.UNKNOWN,
        reason=Reason.TOO_LARGE,
        status=Reason.ANSWER_CUT.status,
        tries_unspent=reply.tries_unspent,
    )
