"""Contexts of the calls that the target of this node is running."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import NewType

from result import Err, Ok, Result

from rattanstile.errors import RattanstileError
from rattanstile.request.budget import RetryBudget
from rattanstile.request.envelope import Call
from rattanstile.request.ids import CallId, KeyDigest, OrganisationId
from rattanstile.request.priority import Priority

CallToken = NewType('CallToken', str)
"""Opaque token; all that a target learns about the call that it runs."""

MAX_CONTEXTS = 4096

_MS_PER_S = 1000


class ContextsFullError(RattanstileError):
    """The maximum number of running calls is reached."""


class UnknownTokenError(RattanstileError):
    """No running call has this token."""


@dataclass(frozen=True, slots=True)
class ChildShare:
    """What a child call inherits from the call that makes it.

    Attributes:
        hops: Number of calls above the child.
        deadline_s: Deadline in monotonic seconds of this node.
        tries: Retry budget lent to the child.
        parent: The call that makes the child call.
        shed_draw: See `Call.shed_draw`; one draw for the whole call tree.
        shed_pressure: See `Call.shed_pressure`.
    """

    organisation: OrganisationId
    key_digest: KeyDigest
    priority: Priority
    hops: int
    deadline_s: float
    tries: int
    parent: CallId
    shed_draw: float
    shed_pressure: float


@dataclass(frozen=True, slots=True)
class ContextEnd:
    """What the context of an ended call adds to its reply.

    Attributes:
        tries_unspent: Retry budget to return; what children still hold is
            lost.
        failed_below: Whether any call that it made failed to end as
            `Outcome.WHOLE`.
    """

    tries_unspent: int = 0
    failed_below: bool = False


class _Context:
    def __init__(self, call: Call, deadline_s: float) -> None:
        self.call = call
        self.deadline_s = deadline_s
        self.budget = RetryBudget(call.tries_left)
        self.failed_below = False


class CallContexts:
    """Maps the token that a target sends to the call that it is running.

    Args:
        max_contexts: Maximum number of running calls.
        make_token: Returns a string that can't be guessed.
    """

    def __init__(
        self,
        max_contexts: int = MAX_CONTEXTS,
        make_token: Callable[[], str] = secrets.token_urlsafe,
    ) -> None:
        """Start without running calls."""
        self._max_contexts = max_contexts
        self._make_token = make_token
        self._contexts: dict[CallToken, _Context] = {}
        self._tokens: dict[CallId, CallToken] = {}

    def __len__(self) -> int:
        """Return the number of running calls."""
        return len(self._contexts)

    def begin(
        self, now_s: float, call: Call, remaining_ms: int
    ) -> Result[CallToken, ContextsFullError]:
        """Store the context of a call and return the token for its target.

        An earlier context of the same call is ended.
        """
        if len(self._contexts) >= self._max_contexts:
            return Err(
                ContextsFullError('maximum number of running calls reached')
            )
        self.end(call.call_id)
        token = CallToken(self._make_token())
        deadline_s = now_s + remaining_ms / _MS_PER_S
        self._contexts[token] = _Context(call, deadline_s)
        self._tokens[call.call_id] = token
        return Ok(token)

    def child(self, token: CallToken) -> Result[ChildShare, UnknownTokenError]:
        """Return what a child call inherits, with a share of the budget."""
        context = self._contexts.get(token)
        if context is None:
            return Err(UnknownTokenError('no running call has this token'))
        return Ok(
            ChildShare(
                organisation=context.call.organisation,
                key_digest=context.call.key_digest,
                priority=context.call.priority,
                hops=context.call.hops + 1,
                deadline_s=context.deadline_s,
                tries=context.budget.lend(),
                parent=context.call.call_id,
                shed_draw=context.call.shed_draw,
                shed_pressure=context.call.shed_pressure,
            )
        )

    def child_ended(
        self, token: CallToken, share: ChildShare, unspent: int, *, whole: bool
    ) -> None:
        """Take back the retry budget that a child has not spent.

        Has no effect if the parent call has ended in the meantime.

        Args:
            token: Token of the parent call.
            share: What the child inherited.
            unspent: Retry budget that the child returns.
            whole: Whether the child ended as `Outcome.WHOLE`.
        """
        context = self._contexts.get(token)
        if context is None:
            return
        context.budget.reclaim(share.tries, unspent)
        if not whole:
            context.failed_below = True

    def end(self, call_id: CallId) -> ContextEnd:
        """Remove the context of a call and invalidate its token."""
        token = self._tokens.pop(call_id, None)
        if token is None:
            return ContextEnd()
        context = self._contexts.pop(token)
        return ContextEnd(context.budget.tries, context.failed_below)
