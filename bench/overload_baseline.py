"""Pass-through nodes: no limits, round robin, three tries at each hop."""

from itertools import count, cycle

from bench.overload_model import Node
from rattanstile.process.messages import (
    CallArrived,
    CallRequested,
    Dispatch,
    EntryInput,
    EntryOutput,
    ReplyArrived,
    RequestCompleted,
    SendCall,
    SendReply,
    ServingInput,
    ServingOutput,
    TargetAnswered,
    TargetFailed,
    Ticked,
)
from rattanstile.request.envelope import Call, Reply, refusal
from rattanstile.request.ids import NodeId
from rattanstile.request.outcome import Outcome, Reason

TRIES = 3
ERROR_STATUS = 500


class PassThroughServing:
    """Sends every call to the target at once."""

    def __init__(self) -> None:
        """Begin with no call."""
        self._running: dict[str, tuple[Call, NodeId]] = {}

    def step(
        self, now_s: float, serving_input: ServingInput
    ) -> list[ServingOutput]:
        """Take one input."""
        match serving_input:
            case CallArrived(call=call, sender=sender):
                self._running[call.call_id] = (call, sender)
                return [Dispatch(call, call.remaining_ms)]
            case TargetAnswered(call_id=call_id, status=status):
                return self._reply(call_id, is_whole=status < ERROR_STATUS)
            case TargetFailed(call_id=call_id):
                return self._reply(call_id, is_whole=False)
        return []

    def _reply(self, call_id: str, *, is_whole: bool) -> list[ServingOutput]:
        call, sender = self._running.pop(call_id)
        if is_whole:
            reply = Reply(
                call_id=call_id, attempt=call.attempt, outcome=Outcome.WHOLE
            )
        else:
            reply = refusal(call, Reason.TARGET_FAILED, outcome=Outcome.FAILED)
        return [SendReply(reply, sender)]


class PassThroughEntry:
    """Round robin with three tries, each up to the call's own timeout."""

    _ids = count(1)

    def __init__(self, node: Node) -> None:
        """Begin with no call."""
        self._node = node
        self._receivers: dict[str, cycle[NodeId]] = {}
        self._outstanding: dict[str, tuple[CallRequested, int, float]] = {}

    def step(self, now_s: float, entry_input: EntryInput) -> list[EntryOutput]:
        """Take one input."""
        match entry_input:
            case CallRequested():
                return [self._send(now_s, entry_input, 1)]
            case ReplyArrived(reply=reply):
                return self._replied(now_s, reply)
            case Ticked():
                return self._ticked(now_s)
        return []

    def _send(
        self, now_s: float, request: CallRequested, attempt: int
    ) -> SendCall:
        call_id = f'pass-{next(self._ids)}'
        deadline_s = now_s + request.remaining_ms / 1000
        self._outstanding[call_id] = (request, attempt, deadline_s)
        call = Call(
            call_id=call_id,
            attempt=attempt,
            organisation=request.organisation,
            key_digest=request.key_digest,
            service=request.service,
            method=request.method,
            path=request.path,
            body=request.body,
            remaining_ms=request.remaining_ms,
            hops=request.hops,
            home=NodeId(''),
        )
        return SendCall(call, self._next(request.service))

    def _next(self, service: str) -> NodeId:
        if service not in self._receivers:
            nodes = self._node.fleet.of(service)
            self._receivers[service] = cycle(
                [node.member.node_id for node in nodes]
            )
        return next(self._receivers[service])

    def _replied(self, now_s: float, reply: Reply) -> list[EntryOutput]:
        found = self._outstanding.pop(reply.call_id, None)
        if found is None:
            return []
        request, attempt, _ = found
        if reply.outcome is Outcome.WHOLE or attempt >= TRIES:
            return [RequestCompleted(request.request_id, reply)]
        return [self._send(now_s, request, attempt + 1)]

    def _ticked(self, now_s: float) -> list[EntryOutput]:
        outputs: list[EntryOutput] = []
        for call_id, found in list(self._outstanding.items()):
            request, attempt, deadline_s = found
            if now_s < deadline_s:
                continue
            self._outstanding.pop(call_id)
            if attempt < TRIES:
                outputs.append(self._send(now_s, request, attempt + 1))
            else:
                lost = Reply(
                    call_id=call_id,
                    attempt=attempt,
                    outcome=Outcome.UNKNOWN,
                    reason=Reason.DEADLINE,
                )
                outputs.append(RequestCompleted(request.request_id, lost))
        return outputs
