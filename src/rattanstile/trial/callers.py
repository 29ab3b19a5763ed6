"""Callers of a trial: plain HTTP, and the caller library."""

import json
from collections.abc import Sequence

from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from rattanstile.process.reactor import Reactor
from rattanstile.request.outcome import Outcome
from rattanstile.trial.load import DueCall, Seen

CONNECTIONS_PER_NODE = 64
CONNECT_TIMEOUT_S = 2
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
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = CONNECTIONS_PER_NODE
        pool.retryAutomatically = False
        self._agent = Agent(
            reactor, pool=pool, connectTimeout=CONNECT_TIMEOUT_S
        )

    def call(self, due: DueCall) -> 'Deferred[Seen]':
        """Call the entry node that the due call names."""
        return Deferred.fromCoroutine(self._call(due))

    async def _call(self, due: DueCall) -> Seen:
        entry = self.entries[due.entry % len(self.entries)]
        headers = Headers(
            {
                'authorization': [f'Bearer {self._keys[due.organisation]}'],
                'trial-id': [due.trial_id],
            }
        )
        response = await self._agent.request(
            due.method.encode(),
            f'http://{entry}/{due.service}{due.path}'.encode(),
            headers,
        )
        body = await readBody(response)
        said = response.headers.getRawHeaders('rattanstile-outcome', [''])[0]
        if not said:
            return Seen(_outcome_of_status(response.code), '', body)
        outcome = Outcome(said)
        if outcome is Outcome.WHOLE:
            return Seen(outcome, '', body)
        return Seen(outcome, _reason(body), body)


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
