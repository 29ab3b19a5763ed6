"""State of one call at an entry node, and the rules for its outcome."""

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

_MS_PER_S = 1000

_RETRY_ELSEWHERE_REASONS = frozenset(
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
    """What a call is waiting for."""

    NEW = 'new'
    BINDING = 'binding'
    """Waits for the log to bind the caller's idempotency key to a call id."""
    ASKING = 'asking'
    """Waits for the chosen home to report its incarnation and id epoch."""
    SENT = 'sent'
    BACKING_OFF = 'backing-off'


@unique
class IdSource(Enum):
    """Who issues the call id, which decides who else may send it."""

    ENTRY = 'entry'
    """This entry node; no other sender knows the id."""
    CALLER = 'caller'
    KEY = 'key'
    """The log binds the caller's idempotency key to the id."""


@dataclass(slots=True)
class EntryCall:
    """State of a call from its request to its reply.

    Attributes:
        receiver: Node that the call was last sent to, or whose report it waits
            for; empty if there is none.
        lent_tries: Retry budget that the outstanding attempt holds.
        reassignment_count: How often a node was chosen again without
            spending retry budget.
        may_run: Whether an attempt may have run or may still run. For a call
            that is not idempotent this covers its current id only: an
            earlier id is replaced only after proof that it never runs.
        never_runs: Whether its id, of which no attempt was sent, names a
            home that is gone.
        needs_new_id: Whether its id was proved never to run, so that it waits
            for a new id and a new home.
        fresh_binding: Whether the key was bound by this request's own record.
        was_bound_before: Whether the key was bound by an earlier attempt.
        failed_nodes: Nodes that refused or failed the call, or could not be
            reached.
        disconnected_nodes: Nodes whose connection was lost while they had an
            attempt of the call.
        earlier_reply: Reply of an earlier attempt that may have run.
    """

    request: CallRequested
    id_source: IdSource
    deadline_s: float
    budget: RetryBudget
    phase: Phase = Phase.NEW
    parsed_id: ParsedCallId | None = None
    call_id: CallId = CallId('')
    receiver: NodeId = NodeId('')
    attempt: int = 0
    lent_tries: int = 0
    sent_s: float = 0.0
    wake_s: float = 0.0
    backoff_count: int = 0
    reassignment_count: int = 0
    may_run: bool = False
    never_runs: bool = False
    needs_new_id: bool = False
    fresh_binding: bool = False
    was_bound_before: bool = False
    failed_nodes: set[NodeId] = field(default_factory=set)
    disconnected_nodes: set[NodeId] = field(default_factory=set)
    earlier_reply: Reply | None = None

    @property
    def is_idempotent(self) -> bool:
        """Return whether the call may run more than once."""
        return self.request.route.idempotent

    @property
    def may_move(self) -> bool:
        """Return whether this entry node alone decides where the call runs.

        A call that its caller can also send through another entry node keeps
        the id that it came with, and thereby its home.
        """
        return self.is_idempotent or self.id_source is IdSource.ENTRY

    @property
    def is_first_and_unsent(self) -> bool:
        """Return whether no attempt with a caller's id can have been sent."""
        is_unsent = self.attempt == 0 and not self.may_run
        is_first = self.request.attempt == 1
        return is_unsent and is_first and self.id_source is IdSource.CALLER

    @property
    def is_sole_attempt(self) -> bool:
        """Return whether no other attempt by the caller can run the call.

        The caller's statement that this is its first attempt is trusted,
        except for a call id that the caller can send through another entry
        node at any time.
        """
        if self.is_idempotent or self.never_runs:
            return self.request.attempt == 1
        return self.request.attempt == 1 and (
            self.id_source is not IdSource.CALLER and not self.was_bound_before
        )

    def wire_call(self, now_s: float, version: VersionNumber) -> Call:
        """Return the current attempt as the message to its receiver."""
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
            priority=_priority_of(request),
            idempotent=request.route.idempotent,
            remaining_ms=int((self.deadline_s - now_s) * _MS_PER_S),
            tries_left=self.lent_tries,
            hops=request.hops,
            home=self.receiver,
            version=version,
            shed_draw=request.shed_draw,
            shed_pressure=request.shed_pressure,
        )

    def caller_reply(self, reply: Reply) -> Reply:
        """Return the reply for the caller, with an outcome that is proved.

        `not run` from a home holds for the call id, whichever node sends it.
        An idempotency key can then be bound to a new id, so for a key it holds
        for the first attempt only.
        """
        reply = self._with_proved_outcome(reply)
        return msgspec.structs.replace(
            reply,
            call_id=self.request.call_id or self.call_id,
            attempt=self.request.attempt,
            tries_unspent=self.budget.tries,
        )

    def own_refusal(self, reason: Reason, retry_after_ms: int = 0) -> Reply:
        """Return a refusal issued by this entry node.

        The outcome is `not run` only if no attempt can have reached a home or
        a target, neither one of this request nor another one by the caller.
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

    def _with_proved_outcome(self, reply: Reply) -> Reply:
        if reply.outcome is not Outcome.NOT_RUN:
            return reply
        if self.is_idempotent:
            is_proved = self.is_sole_attempt and not self.may_run
        else:
            is_proved = (
                self.id_source is not IdSource.KEY or self.is_sole_attempt
            )
        if is_proved:
            return reply
        if self.earlier_reply is not None:
            return self.earlier_reply
        return msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN)


def should_retry_elsewhere(reply: Reply) -> bool:
    """Return whether this hop retries the call at another node.

    A refusal for overload is not retried by the hop above, nor is a failure
    that a hop further down the call tree has already retried.
    """
    if reply.reason is None or reply.reason.is_overload or reply.failed_below:
        return False
    return reply.reason in _RETRY_ELSEWHERE_REASONS


def may_have_run(reply: Reply) -> bool:
    """Return whether the attempt of this reply may have run."""
    return reply.outcome in _RUN_OUTCOMES


def own_refusal(
    request: CallRequested, reason: Reason, retry_after_ms: int = 0
) -> Reply:
    """Return an entry node's refusal of a request that it did not admit."""
    call = EntryCall(
        request=request,
        id_source=id_source_of(request),
        deadline_s=0,
        budget=RetryBudget(request.tries_left),
        call_id=request.call_id,
    )
    return call.caller_reply(call.own_refusal(reason, retry_after_ms))


def id_source_of(request: CallRequested) -> IdSource:
    """Return who issues the id of this request's call."""
    if request.call_id:
        return IdSource.CALLER
    if request.idempotency_key and not request.route.idempotent:
        return IdSource.KEY
    return IdSource.ENTRY


def _priority_of(request: CallRequested) -> Priority:
    if request.priority is None:
        return request.route.request_kind.priority
    return request.priority
