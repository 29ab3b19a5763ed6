"""One call that an entry node has in hand, and the rules for its outcome."""

from dataclasses import dataclass, field
from enum import Enum, unique

import msgspec

from rattanstile.process.messages import CallRequested
from rattanstile.request.budget import RetryBudget
from rattanstile.request.call_id import ParsedCallId
from rattanstile.request.envelope import Call, Reply
from rattanstile.request.ids import CallId, NodeId, VersionNumber
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.request.priority import Priority

_MILLISECONDS = 1000

_ELSEWHERE = frozenset(
    (
        Reason.DRAINING,
        Reason.OUT_OF_SERVICE,
        Reason.NO_TARGET,
        Reason.NOT_VERIFIED,
        Reason.TARGET_REFUSED,
        Reason.TARGET_FAILED,
        Reason.ANSWER_CUT,
        Reason.CONNECTION_LOST,
        Reason.HOME_FULL,
    ),
)
_RUN_OUTCOMES = frozenset((Outcome.FAILED, Outcome.UNKNOWN))


@unique
class Phase(Enum):
    """What a call waits for."""

    NEW = 'new'
    BINDING = 'binding'
    """The log is to tie the caller's key to a call id."""
    ASKING = 'asking'
    """The chosen home is to tell its incarnation and id epoch."""
    SENT = 'sent'
    BACKING_OFF = 'backing-off'


@unique
class IdSource(Enum):
    """Who made the call id, and so who else may send it."""

    ENTRY = 'entry'
    """This entry node: no other node knows the id."""
    CALLER = 'caller'
    KEY = 'key'
    """The log, from the caller's idempotency key."""


@dataclass(slots=True)
class EntryCall:
    """A call from its request to its end.

    Attributes:
        may_run: Whether an attempt may have run or may still run. For a call
            that is not idempotent this is about its current id only: an
            earlier id was proved to be never run before it was replaced.
        never_runs: Whether its id, of which no attempt was sent, names a
            home that is gone.
        moving: Whether its id was proved to be never run, so that it waits
            for a new id and a new home.
        lent: Retry budget that the outstanding attempt holds.
        fresh_binding: Whether this request's own record bound its key.
        rebound: Whether an earlier attempt had bound the key.
        tried: Nodes that refused or failed it, or could not be reached.
        lost_at: Nodes whose connection was lost under it.
        earlier: The reply of an earlier attempt that did run.
    """

    request: CallRequested
    source: IdSource
    deadline_s: float
    budget: RetryBudget
    phase: Phase = Phase.NEW
    parsed_id: ParsedCallId | None = None
    call_id: CallId = CallId('')
    receiver: NodeId = NodeId('')
    attempt: int = 0
    lent: int = 0
    sent_s: float = 0.0
    wake_s: float = 0.0
    failures: int = 0
    unsent: int = 0
    may_run: bool = False
    never_runs: bool = False
    moving: bool = False
    fresh_binding: bool = False
    rebound: bool = False
    tried: set[NodeId] = field(default_factory=set)
    lost_at: set[NodeId] = field(default_factory=set)
    earlier: Reply | None = None

    @property
    def is_idempotent(self) -> bool:
        """Tell whether the call may run more than once."""
        return self.request.route.idempotent

    @property
    def may_move(self) -> bool:
        """Tell whether this entry node alone decides where the call runs.

        A call that its caller can send through another entry node stays with
        the id, and so the home, that it came with.
        """
        return self.is_idempotent or self.source is IdSource.ENTRY

    @property
    def is_first_and_unsent(self) -> bool:
        """Tell whether no attempt under a caller's id can have left a node."""
        is_unsent = self.attempt == 0 and not self.may_run
        is_first = self.request.attempt == 1
        return is_unsent and is_first and self.source is IdSource.CALLER

    @property
    def is_sole_attempt(self) -> bool:
        """Tell whether no other attempt of the caller's can run the call.

        The caller's own word is taken for its first attempt, but not for a
        call id that it can send through another entry node at any time.
        """
        if self.is_idempotent or self.never_runs:
            return self.request.attempt == 1
        return self.request.attempt == 1 and (
            self.source is not IdSource.CALLER and not self.rebound
        )

    def wire_call(self, now_s: float, version: VersionNumber) -> Call:
        """Return the attempt as it is sent to the receiver."""
        request = self.request
        return Call(
            call_id=self.call_id,
            attempt=self.attempt,
            organisation=request.organisation,
            key_digest=request.key_digest,
            service=request.service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            priority=_priority(request),
            idempotent=request.route.idempotent,
            remaining_ms=int((self.deadline_s - now_s) * _MILLISECONDS),
            tries_left=self.lent,
            hops=request.hops,
            home=self.receiver,
            version=version,
            shed_draw=request.shed_draw,
            shed_pressure=request.shed_pressure,
        )

    def settled(self, reply: Reply) -> Reply:
        """Return the reply for the caller, its outcome made certain.

        `not run` from a home covers the call id, whoever sends it. A key can
        be bound anew after it, so that it covers a key's first attempt only.
        """
        reply = self._certain(reply)
        return msgspec.structs.replace(
            reply,
            call_id=self.request.call_id or self.call_id,
            attempt=self.request.attempt,
            tries_unspent=self.budget.tries,
        )

    def own_refusal(self, reason: Reason, retry_after_ms: int = 0) -> Reply:
        """Return the refusal by this entry node.

        It says `not run` only where no attempt can have reached a home or a
        target: none of this request's, and no other one of the caller's.
        """
        is_proved = self.is_sole_attempt and not self.may_run
        return Reply(
            call_id=self.call_id,
            attempt=self.attempt,
            outcome=Outcome.NOT_RUN if is_proved else Outcome.UNKNOWN,
            reason=reason,
            status=reason.status,
            retry_after_ms=retry_after_ms,
        )

    def _certain(self, reply: Reply) -> Reply:
        if reply.outcome is not Outcome.NOT_RUN:
            return reply
        if self.is_idempotent:
            is_proved = self.is_sole_attempt and not self.may_run
        else:
            is_proved = self.source is not IdSource.KEY or self.is_sole_attempt
        if is_proved:
            return reply
        if self.earlier is not None:
            return self.earlier
        return msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN)


def goes_elsewhere(reply: Reply) -> bool:
    """Tell whether another node may do better, and this hop is to try it.

    An overload answer is not retried by the hop above, and neither is a
    failure that a hop further down has retried already.
    """
    if reply.reason is None or reply.reason.is_overload or reply.failed_below:
        return False
    return reply.reason in _ELSEWHERE


def may_have_run(reply: Reply) -> bool:
    """Tell whether the attempt of this reply may have run."""
    return reply.outcome in _RUN_OUTCOMES


def own_refusal(
    request: CallRequested, reason: Reason, retry_after_ms: int = 0
) -> Reply:
    """Return an entry node's refusal of a request before it is taken in."""
    call = EntryCall(
        request=request,
        source=source_of(request),
        deadline_s=0,
        budget=RetryBudget(request.tries_left),
        call_id=request.call_id,
    )
    return call.settled(call.own_refusal(reason, retry_after_ms))


def source_of(request: CallRequested) -> IdSource:
    """Return who makes the id of this request's call."""
    if request.call_id:
        return IdSource.CALLER
    if request.idempotency_key and not request.route.idempotent:
        return IdSource.KEY
    return IdSource.ENTRY


def _priority(request: CallRequested) -> Priority:
    if request.priority is None:
        return request.route.request_kind.priority
    return request.priority
