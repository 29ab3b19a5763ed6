"""Callers of a trial: plain HTTP, and the caller library."""

import json
from collections.abc import Iterator, Sequence
from contextlib import ExitStack, contextmanager

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError

from rattanstile.client import (
    Answer,
    CallResult,
    Client,
    FailedError,
    NotRunError,
)
from rattanstile.process.reactor import Reactor
from rattanstile.process.timers import TimerService
from rattanstile.request.outcome import Outcome
from rattanstile.trial.load import DueCall, Seen
from rattanstile.trial.plain_http import PlainHttp

GRACE_S = 1.0
MOST_ENTRIES = 3
DEADLINE_S = 3.0
ELSEWHERE = frozenset(('draining', 'not-verified'))
WHOLE_STATUS = 200
NOT_RUN_STATUSES = frozenset((400, 401, 404, 413, 429, 503))


class HttpCaller:
    """Calls entry nodes by plain HTTP, one request for each call.

    Args:
        entries: Caller addresses of the nodes.
        keys: Key of each organisation.
    """

    def __init__(
        self, reactor: Reactor, entries: Sequence[str], keys: dict[str, str]
    ) -> None:
        """Open no connection yet."""
        self.entries = list(entries)
        self._keys = keys
        self._http = PlainHttp(reactor)

    def call(self, due: DueCall) -> 'Deferred[Seen]':
        """Call the entry node that the due call names."""
        return Deferred.fromCoroutine(self._call(due))

    async def _call(self, due: DueCall) -> Seen:
        for turn in range(MOST_ENTRIES):
            index = (due.entry + turn) % len(self.entries)
            try:
                seen = await self._call_entry(self.entries[index], due)
            except ConnectError:
                continue  # nothing was sent
            if seen.reason not in ELSEWHERE:
                return seen
        return Seen(Outcome.NOT_RUN, 'no-entry')

    async def _call_entry(self, entry: str, due: DueCall) -> Seen:
        request = (
            f'{due.method} /{due.service}{due.path} HTTP/1.1\r\n'
            f'Host: {entry}\r\n'
            f'Authorization: Bearer {self._keys[due.organisation]}\r\n'
            f'Trial-Id: {due.trial_id}\r\n'
            f'Content-Length: 0\r\n\r\n'
        )
        answer = await self._http.ask(
            entry, request.encode(), DEADLINE_S + GRACE_S
        )
        said = dict(answer.headers).get('rattanstile-outcome')
        if said is None:
            return Seen(_outcome_of_status(answer.status), '', answer.body)
        outcome = Outcome(said)
        if outcome is Outcome.WHOLE:
            return Seen(outcome, '', answer.body)
        return Seen(outcome, _reason(answer.body), answer.body)


class LibraryCaller:
    """Calls through the caller library, one client for each organisation."""

    def __init__(self, clients: dict[str, Client]) -> None:
        """Keep the clients, by organisation."""
        self._clients = clients

    def call(self, due: DueCall) -> Deferred[Seen]:
        """Make the due call with the client of its organisation."""
        made = self._clients[due.organisation].call(
            due.service,
            due.method,
            due.path,
            headers=(('trial-id', due.trial_id),),
            deadline_s=DEADLINE_S,
            idempotent=not due.is_write,
        )
        return made.addCallback(_seen)


@contextmanager
def opened_library_caller(
    reactor: Reactor, entries: Sequence[str], keys: dict[str, str]
) -> Iterator[LibraryCaller]:
    """Keep a client open for each organisation while the block runs."""
    clients = {
        name: Client(reactor, entries, key) for name, key in keys.items()
    }
    with ExitStack() as stack:
        for client in clients.values():
            stack.enter_context(client.running())
        yield LibraryCaller(clients)


def _seen(found: CallResult) -> Seen:
    match found:
        case Ok(Answer(body=body)):
            return Seen(Outcome.WHOLE, '', body)
        case Err(NotRunError(reason=reason)):
            return Seen(Outcome.NOT_RUN, reason.value)
        case Err(FailedError(reason=reason)):
            return Seen(Outcome.FAILED, reason.value)
        case Err(error):
            return Seen(Outcome.UNKNOWN, error.reason.value)
    raise AssertionError(found)


class HardRetries:
    """Tries again at once whatever did not end whole, as a bad caller does.

    A call that is not idempotent is tried again only where it did not run.
    """

    def __init__(
        self, caller: HttpCaller, tries: int, timers: TimerService
    ) -> None:
        """Keep the caller behind."""
        self._timers = timers
        self._caller = caller
        self._tries = tries

    def call(self, due: DueCall) -> Deferred[Seen]:
        """Make the due call, up to the tries allowed beyond the first."""
        return Deferred.fromCoroutine(self._call(due))

    async def _call(self, due: DueCall) -> Seen:
        until_s = self._timers.now_s() + DEADLINE_S
        seen = await self._caller.call(due)
        for _ in range(self._tries):
            may_repeat = not due.is_write or seen.outcome is Outcome.NOT_RUN
            if seen.outcome is Outcome.WHOLE or not may_repeat:
                break
            if self._timers.now_s() > until_s:
                break
            seen = await self._caller.call(due)
        return seen


def _outcome_of_status(status: int) -> Outcome:
    if status == WHOLE_STATUS:
        return Outcome.WHOLE
    if status in NOT_RUN_STATUSES:
        return Outcome.NOT_RUN
    return Outcome.FAILED


def _reason(body: bytes) -> str:
    try:
        return str(json.loads(body)['reason'])
    except (ValueError, KeyError, TypeError):
        return 'no-reason'
