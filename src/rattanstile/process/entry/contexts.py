"""What this node remembers of each call that its target runs now."""

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
"""All that a target learns of the call that it runs."""

MOST_CONTEXTS = 4096

_MILLISECONDS = 1000


class ContextsFullError(RattanstileError):
    """The node remembers as many running calls as it may."""


class UnknownTokenError(RattanstileError):
    """No call that runs now has this token."""


@dataclass(frozen=True, slots=True)
class ChildShare:
    """What a child call takes over from the call that makes it.

    Attributes:
        hops: Calls above the child.
        deadline_s: Monotonic time of this node.
        tries: Retry budget lent to the child.
        parent: The call that makes this one.
        shed_draw: See `Call.shed_draw`; one draw for the whole tree.
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
    """What a call leaves behind for its reply.

    Attributes:
        tries_unspent: Retry budget to give back; what children still hold is
            lost.
        failed_below: Whether a call that it made did not end whole.
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
    """Maps the token that a target quotes to the call that it is running.

    Args:
        most_contexts: Calls remembered at most.
        make_token: Returns a text that can't be guessed.
    """

    def __init__(
        self,
        most_contexts: int = MOST_CONTEXTS,
        make_token: Callable[[], str] = secrets.token_urlsafe,
    ) -> None:
        """Start with no call running."""
        self._most_contexts = most_contexts
        self._make_token = make_token
        self._contexts: dict[CallToken, _Context] = {}
        self._tokens: dict[CallId, CallToken] = {}

    def __len__(self) -> int:
        """Return how many calls are remembered."""
        return len(self._contexts)

    def begin(
        self, now_s: float, call: Call, remaining_ms: int
    ) -> Result[CallToken, ContextsFullError]:
        """Remember a call until `end`, and return the token for its target."""
        if len(self._contexts) >= self._most_contexts:
            return Err(ContextsFullError('too many calls run at once'))
        self.end(call.call_id)
        token = CallToken(self._make_token())
        deadline_s = now_s + remaining_ms / _MILLISECONDS
        self._contexts[token] = _Context(call, deadline_s)
        self._tokens[call.call_id] = token
        return Ok(token)

    def child(self, token: CallToken) -> Result[ChildShare, UnknownTokenError]:
        """Lend a share of the call's retry budget to a call that it makes."""
        context = self._contexts.get(token)
        if context is None:
            return Err(UnknownTokenError('no call that runs has this token'))
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
        """Take back what a child left of its share.

        Nothing happens when the call has ended in the meantime.
        """
        context = self._contexts.get(token)
        if context is None:
            return
        context.budget.reclaim(share.tries, unspent)
        if not whole:
            context.failed_below = True

    def end(self, call_id: CallId) -> ContextEnd:
        """Forget a call; its token is worth nothing from now on."""
        token = self._tokens.pop(call_id, None)
        if token is None:
            return ContextEnd()
        context = self._contexts.pop(token)
        return ContextEnd(context.budget.tries, context.failed_below)
