"""Runs stand-ins for the platform's store and targets in one process.

Reads the plan as a line of JSON from standard input. Accepts commands at
`/standin/...` on the store's address, by which a test writes records as
operators do, sets faults of the store, and reads which requests the targets
ran.
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
from rattanstile.connection.request_memory import MemoryShare
from rattanstile.process.reactor import installed_reactor
from rattanstile.process.timers import TimerService
from rattanstile.standin.platform_store import StoreFault, StoreStandIn
from rattanstile.standin.platform_target import TargetPlan, TargetStandIn
from rattanstile.version.fleet_config import CallerLimits

HEARTBEAT_PERIOD_S = 0.3
"""Shorter than the platform's, to keep tests short."""
CHECK_PERIOD_S = 0.5
MAX_STANDIN_BYTES = 1 << 32
"""Targets of the tests hold answers of any size."""


class FleetPlan(msgspec.Struct, frozen=True):
    """Address of the store, and settings of the targets."""

    store_address: str
    targets: list[TargetPlan]


class _CommandHandler:
    """Runs commands of tests and passes other requests to the store."""

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
            body = msgspec.json.encode(self._run_command(request))
            connection.respond(encode_response(200, (), body))
        else:
            self._store.request_received(connection, request)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        self._store.connection_lost(connection)

    def _run_command(self, request: HttpRequest) -> object:
        _, _, command, *arguments = request.path.split('/')
        match command:
            case 'put':
                self._store.put('keyed.op', '/'.join(arguments), request.body)
            case 'entry':
                self._store.put('keyed.members', arguments[0], request.body)
            case 'trouble':
                self._store.fault = StoreFault(arguments[0])
            case 'forget':
                self._store.expire_records()
            case 'copy':
                self._store.copy()
            case 'restore':
                self._store.restore()
            case 'append-lost':
                self._store.append_lost()
            case 'leave':
                self._targets[arguments[0]].is_draining = True
            case 'deregister':
                self._targets[arguments[0]].deregister()
            case 'acknowledged':
                return [
                    name
                    for name, target in self._targets.items()
                    if target.is_acknowledged
                ]
            case 'seen':
                return {
                    name: target.received_headers
                    for name, target in self._targets.items()
                }
            case 'members':
                return self._store.keys('keyed.members')
            case 'statuses':
                return self._store.contents('keyed.status', '/'.join(arguments))
            case 'calls':
                return self._store.calls
        return {name: target.runs for name, target in self._targets.items()}


def main() -> None:
    """Serve until the process is stopped."""
    plan = msgspec.json.decode(sys.stdin.readline(), type=FleetPlan)
    reactor = installed_reactor()
    timers = TimerService(reactor)
    store = StoreStandIn(timers)
    targets = {
        target_plan.target_id: TargetStandIn(reactor, timers, target_plan)
        for target_plan in plan.targets
    }
    with ExitStack() as stack:
        states = [
            (
                plan.store_address,
                _server_state(_CommandHandler(store, targets), timers),
            )
        ]
        for target_plan in plan.targets:
            state = _server_state(targets[target_plan.target_id], timers)
            states.append((target_plan.address, state))
        for address, state in states:
            stack.enter_context(serving_http(reactor, address, state))
            stack.enter_context(timers.every(CHECK_PERIOD_S, state.check))
        for target in targets.values():
            stack.enter_context(
                timers.every(HEARTBEAT_PERIOD_S, target.announce)
            )
        reactor.run()


def _server_state(handler: object, timers: TimerService) -> ServerState:
    return ServerState(
        handler=handler,  # type: ignore[arg-type]
        limits=CallerLimits,
        now_s=timers.now_s,
        memory=MemoryShare(MAX_STANDIN_BYTES),
    )


if __name__ == '__main__':
    main()
