"""Callers of a trial: plain HTTP and the caller library."""

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
from rattanstile.trial.load import ObservedResult, ScheduledCall
from rattanstile.trial.plain_http import PlainHttp

RESPONSE_GRACE_S = 1.0
MAX_ENTRY_ATTEMPTS = 3
DEADLINE_S = 3.0
RETRY_ELSEWHERE_REASONS = frozenset(('draining', 'not-verified'))
WHOLE_STATUS = 200
NOT_RUN_STATUSES = frozenset((400, 401, 404, 413, 429, 503))


class HttpCaller:
    """Calls entry nodes over plain HTTP.

    A call is sent to the next entry node only if the connection fails or the
    node refuses the call as ``draining`` or ``not-verified``.

    Args:
        entries: Caller addresses of the entry nodes.
        keys: API key of each organisation.
    """

    def __init__(
        self, reactor: Reactor, entries: Sequence[str], keys: dict[str, str]
    ) -> None:
        """Initialise the caller; connections are opened on demand."""
        self.entries = list(entries)
        self._keys = keys
        self._http = PlainHttp(reactor)

    def call(self, scheduled: ScheduledCall) -> 'Deferred[ObservedResult]':
        """Make the scheduled call, starting at the entry node that it names."""
        return Deferred.fromCoroutine(self._call(scheduled))

    async def _call(self, scheduled: ScheduledCall) -> ObservedResult:
        for entry_attempt in range(MAX_ENTRY_ATTEMPTS):
            index = (scheduled.entry + entry_attempt) % len(self.entries)
            try:
                observed = await self._call_entry(
                    self.entries[index], scheduled
                )
            except ConnectError:
                continue  # nothing was sent; try the next entry node
            if observed.reason not in RETRY_ELSEWHERE_REASONS:
                return observed
        return ObservedResult(Outcome.NOT_RUN, 'no-entry')

    async def _call_entry(
        self, entry: str, scheduled: ScheduledCall
    ) -> ObservedResult:
        request = (
            f'{scheduled.method} /{scheduled.service}{scheduled.path}'
            f' HTTP/1.1\r\n'
            f'Host: {entry}\r\n'
            f'Authorization: Bearer {self._keys[scheduled.organisation]}\r\n'
            f'Trial-Id: {scheduled.trial_id}\r\n'
            f'Content-Length: 0\r\n\r\n'
        )
        response = await self._http.send_request(
            entry, request.encode(), DEADLINE_S + RESPONSE_GRACE_S
        )
        outcome_header = dict(response.headers).get('rattanstile-outcome')
        if outcome_header is None:
            return ObservedResult(
                _outcome_of_status(response.status), '', response.body
            )
        outcome = Outcome(outcome_header)
        if outcome is Outcome.WHOLE:
            return ObservedResult(outcome, '', response.body)
        return ObservedResult(
            outcome, _reason_from_body(response.body), response.body
        )


class LibraryCaller:
    """Calls through the caller library, with one client per organisation."""

    def __init__(self, clients: dict[str, Client]) -> None:
        """Initialise with the client of each organisation."""
        self._clients = clients

    def call(self, scheduled: ScheduledCall) -> Deferred[ObservedResult]:
        """Make the scheduled call with the client of its organisation."""
        deferred = self._clients[scheduled.organisation].call(
            scheduled.service,
            scheduled.method,
            scheduled.path,
            headers=(('trial-id', scheduled.trial_id),),
            deadline_s=DEADLINE_S,
            idempotent=not scheduled.is_write,
        )
        return deferred.addCallback(_observed_result)


@contextmanager
def opened_library_caller(
    reactor: Reactor, entries: Sequence[str], keys: dict[str, str]
) -> Iterator[LibraryCaller]:
    """Keep a client of each organisation running inside the context."""
    clients = {
        name: Client(reactor, entries, key) for name, key in keys.items()
    }
    with ExitStack() as stack:
        for client in clients.values():
            stack.enter_context(client.running())
        yield LibraryCaller(clients)


def _observed_result(call_result: CallResult) -> ObservedResult:
    match call_result:
        case Ok(Answer(body=body)):
            return ObservedResult(Outcome.WHOLE, '', body)
        case Err(NotRunError(reason=reason)):
            return ObservedResult(Outcome.NOT_RUN, reason.value)
        case Err(FailedError(reason=reason)):
            return ObservedResult(Outcome.FAILED, reason.value)
        case Err(error):
            return ObservedResult(Outcome.UNKNOWN, error.reason.value)
    raise AssertionError(call_result)


class ImmediateRetryCaller:
    """Retries incomplete calls without backoff, as a misbehaving caller does.

    A call that is not idempotent is retried only if it did not run. No retry
    starts later than `DEADLINE_S` after the first attempt.
    """

    def __init__(
        self, caller: HttpCaller, max_retries: int, timers: TimerService
    ) -> None:
        """Wrap a caller that makes each attempt."""
        self._timers = timers
        self._caller = caller
        self._max_retries = max_retries

    def call(self, scheduled: ScheduledCall) -> Deferred[ObservedResult]:
        """Make the scheduled call with up to `max_retries` retries."""
        return Deferred.fromCoroutine(self._call(scheduled))

    async def _call(self, scheduled: ScheduledCall) -> ObservedResult:
        retry_until_s = self._timers.now_s() + DEADLINE_S
        observed = await self._caller.call(scheduled)
        for _ in range(self._max_retries):
            may_repeat = (
                not scheduled.is_write or observed.outcome is Outcome.NOT_RUN
            )
            if observed.outcome is Outcome.WHOLE or not may_repeat:
                break
            if self._timers.now_s() > retry_until_s:
                break
            observed = await self._caller.call(scheduled)
        return observed


def _outcome_of_status(status: int) -> Outcome:
    if status == WHOLE_STATUS:
        return Outcome.WHOLE
    if status in NOT_RUN_STATUSES:
        return Outcome.NOT_RUN
    return Outcome.FAILED


def _reason_from_body(body: bytes) -> str:
    try:
        return str(json.loads(body)['reason'])
    except (ValueError, KeyError, TypeError):
        return 'no-reason'
