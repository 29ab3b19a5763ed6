"""Program: the users' store and targets, as stand-ins in one process.

The plan is JSON on standard input. Orders come to `/standin/...` on the
store's address, so that a test can write as operators do, switch troubles,
and ask what the targets ran.
"""

import sys
from contextlib import ExitStack

import msgspec

from rattanstile.connection.http_messages import (
    HttpRequest,
    encode_response,
)
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
    ServerState,
    serving_http,
)
from rattanstile.process.reactor import installed_reactor
from rattanstile.process.timers import TimerService
from rattanstile.standin.platform_store import StoreStandIn, Trouble
from rattanstile.standin.platform_target import TargetPlan, TargetStandIn
from rattanstile.version.fleet_config import CallerLimits

HEARTBEAT_S = 0.3
"""Quicker than the platform's, to keep tests short."""
CHECK_S = 0.5


class FleetPlan(msgspec.Struct, frozen=True):
    """The addresses of the store and of the targets."""

    store_address: str
    targets: list[TargetPlan]


class _FrontDoor:
    """Takes orders of tests, and hands the rest to the store."""

    def __init__(
        self, store: StoreStandIn, targets: dict[str, TargetStandIn]
    ) -> None:
        self._store = store
        self._targets = targets

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        if isinstance(request, HttpRequest) and request.path.startswith(
            '/standin/'
        ):
            body = msgspec.json.encode(self._order(request))
            connection.respond(encode_response(200, (), body))
        else:
            self._store.request_received(connection, request)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        self._store.connection_lost(connection)

    def _order(self, request: HttpRequest) -> object:
        _, _, order, *words = request.path.split('/')
        match order:
            case 'put':
                self._store.put('keyed.op', '/'.join(words), request.body)
            case 'trouble':
                self._store.trouble = Trouble(words[0])
            case 'forget':
                self._store.forget()
            case 'leave':
                self._targets[words[0]].is_leaving = True
            case 'deregister':
                self._targets[words[0]].deregister()
            case 'acknowledged':
                return [
                    name
                    for name, one in self._targets.items()
                    if one.is_acknowledged
                ]
            case 'seen':
                return {name: one.seen for name, one in self._targets.items()}
            case 'calls':
                return self._store.calls
        return {name: one.runs for name, one in self._targets.items()}


def main() -> None:
    """Run until the process is ended."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=FleetPlan)
    reactor = installed_reactor()
    timers = TimerService(reactor)
    store = StoreStandIn(timers)
    targets = {
        one.target_id: TargetStandIn(reactor, timers, one)
        for one in plan.targets
    }
    with ExitStack() as stack:
        states = [
            (plan.store_address, _state(_FrontDoor(store, targets), timers))
        ]
        for one in plan.targets:
            state = _state(targets[one.target_id], timers)
            states.append((one.address, state))
        for address, state in states:
            stack.enter_context(serving_http(reactor, address, state))
            stack.enter_context(timers.every(CHECK_S, state.check))
        for target in targets.values():
            stack.enter_context(timers.every(HEARTBEAT_S, target.announce))
        reactor.run()


def _state(handler: object, timers: TimerService) -> ServerState:
    return ServerState(
        handler=handler,  # type: ignore[arg-type]
        limits=CallerLimits,
        now_s=timers.now_s,
    )


if __name__ == '__main__':
    main()
