"""The baseline of trials: a proxy without any of this package's decisions.

Round robin over all targets of a service, three tries at each hop, no limit,
no queue, no priority, no rate, no retry budget. It shares the connections of
a node, so that a comparison shows the decisions alone.
"""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import cycle

import msgspec
from twisted.internet.defer import Deferred

from rattanstile.connection.caller_http import listening_for_callers
from rattanstile.connection.http_request import CallerHttpRequest
from rattanstile.connection.target_answer import TargetAnswer
from rattanstile.connection.target_http import TargetRequest, TargetSessions
from rattanstile.process.reactor import Reactor
from rattanstile.process.settings import parse_address
from rattanstile.process.timers import TimerService
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import CallId
from rattanstile.request.outcome import Outcome, Reason

TRIES = 3
ERROR_STATUS = 500
MS_PER_S = 1000
MAX_CONNECTIONS = 1000
DEFAULT_TIMEOUT_S = 3.0


class PassthroughSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the baseline proxy.

    Attributes:
        targets: Addresses of the targets of each service.
    """

    targets: dict[str, tuple[str, ...]]


class Passthrough:
    """Sends each request to the next target, up to three times."""

    def __init__(self, reactor: Reactor, settings: PassthroughSettings) -> None:
        """Open no connection yet."""
        self._timers = TimerService(reactor)
        self._sessions = {
            address: self._session(reactor, address)
            for addresses in settings.targets.values()
            for address in addresses
        }
        self._next = {
            service: cycle(addresses)
            for service, addresses in settings.targets.items()
        }

    @property
    def timers(self) -> TimerService:
        """Return the time of this process."""
        return self._timers

    def handle(self, request: CallerHttpRequest) -> Deferred[Reply]:
        """Return the reply to a request."""
        return Deferred.fromCoroutine(self._run(request))

    async def _run(self, request: CallerHttpRequest) -> Reply:
        if request.service not in self._next:
            return _failed(Reason.NO_SUCH_SERVICE)
        began_s = self._timers.now_s()
        timeout_s = request.deadline_ms / MS_PER_S or DEFAULT_TIMEOUT_S
        for _ in range(TRIES):
            left_s = timeout_s - (self._timers.now_s() - began_s)
            if left_s <= 0:
                break
            address = next(self._next[request.service])
            result = await self._sessions[address].run(
                TargetRequest(
                    method=request.method,
                    path=request.path,
                    headers=request.headers,
                    body=request.body,
                    token='-',
                    timeout_s=left_s,
                )
            )
            if isinstance(result, TargetAnswer):
                if result.status < ERROR_STATUS:
                    return _whole(result)
        return _failed(Reason.TARGET_FAILED)

    def _session(self, reactor: Reactor, address: str) -> TargetSessions:
        target = parse_address(address)
        return TargetSessions(
            reactor, self._timers, target.host, target.port, MAX_CONNECTIONS
        )


@contextmanager
def running_passthrough(
    reactor: Reactor, settings: PassthroughSettings, host: str, port: int
) -> Iterator[int]:
    """Serve callers while the block runs; yields the port."""
    proxy = Passthrough(reactor, settings)
    with ExitStack() as stack:
        yield stack.enter_context(
            listening_for_callers(
                reactor, proxy.timers, host, port, proxy.handle
            )
        )


def _whole(answer: TargetAnswer) -> Reply:
    return Reply(
        call_id=CallId('-'),
        attempt=1,
        outcome=Outcome.WHOLE,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _failed(reason: Reason) -> Reply:
    return Reply(
        call_id=CallId('-'),
        attempt=1,
        outcome=Outcome.FAILED,
        reason=reason,
        status=reason.status,
    )
