"""Baseline of trials: a proxy without the overload control of this package.

It sends requests round robin to all targets of a service, with up to three
attempts at each hop, and has no limit, queue, priority, rate or retry budget.
It uses the same connection classes as a node, so that a comparison shows the
effect of the node's decisions alone.
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

MAX_ATTEMPTS = 3
MIN_ERROR_STATUS = 500
MS_PER_S = 1000
MAX_CONNECTIONS = 1000
DEFAULT_TIMEOUT_S = 3.0


class PassthroughSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of the baseline proxy.

    Attributes:
        targets: Addresses of the targets, by service.
    """

    targets: dict[str, tuple[str, ...]]


class Passthrough:
    """Sends each request to up to three targets in turn."""

    def __init__(self, reactor: Reactor, settings: PassthroughSettings) -> None:
        """Initialize without connections."""
        self._timers = TimerService(reactor)
        self._sessions = {
            address: self._create_sessions(reactor, address)
            for addresses in settings.targets.values()
            for address in addresses
        }
        self._round_robin = {
            service: cycle(addresses)
            for service, addresses in settings.targets.items()
        }

    @property
    def timers(self) -> TimerService:
        """Return the timers of this process."""
        return self._timers

    def handle(self, request: CallerHttpRequest) -> Deferred[Reply]:
        """Return the reply to a request."""
        return Deferred.fromCoroutine(self._run(request))

    async def _run(self, request: CallerHttpRequest) -> Reply:
        if request.service not in self._round_robin:
            return _failed_reply(Reason.NO_SUCH_SERVICE)
        started_s = self._timers.now_s()
        timeout_s = request.deadline_ms / MS_PER_S or DEFAULT_TIMEOUT_S
        for _ in range(MAX_ATTEMPTS):
            remaining_s = timeout_s - (self._timers.now_s() - started_s)
            if remaining_s <= 0:
                break
            address = next(self._round_robin[request.service])
            result = await self._sessions[address].run(
                TargetRequest(
                    method=request.method,
                    path=request.path,
                    headers=request.headers,
                    body=request.body,
                    token='-',
                    timeout_s=remaining_s,
                )
            )
            if isinstance(result, TargetAnswer):
                if result.status < MIN_ERROR_STATUS:
                    return _completed_reply(result)
        return _failed_reply(Reason.TARGET_FAILED)

    def _create_sessions(
        self, reactor: Reactor, address: str
    ) -> TargetSessions:
        target = parse_address(address)
        return TargetSessions(
            reactor, self._timers, target.host, target.port, MAX_CONNECTIONS
        )


@contextmanager
def running_passthrough(
    reactor: Reactor, settings: PassthroughSettings, host: str, port: int
) -> Iterator[int]:
    """Serve callers while the block runs; yield the port."""
    proxy = Passthrough(reactor, settings)
    with ExitStack() as stack:
        yield stack.enter_context(
            listening_for_callers(
                reactor, proxy.timers, host, port, proxy.handle
            )
        )


def _completed_reply(answer: TargetAnswer) -> Reply:
    return Reply(
        call_id=CallId('-'),
        attempt=1,
        outcome=Outcome.WHOLE,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _failed_reply(reason: Reason) -> Reply:
    return Reply(
        call_id=CallId('-'),
        attempt=1,
        outcome=Outcome.FAILED,
        reason=reason,
        status=reason.status,
    )
