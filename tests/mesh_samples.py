"""Sample objects shared by the tests of the fleet's node."""

from random import Random
from types import SimpleNamespace

from twisted.internet.task import Clock

from rattanstile.connection.peer_messages import TargetLoad
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.counters import Counters
from rattanstile.process.timers import TimerService
from rattanstile.request.exchange import (
    IncomingRequest,
    ServedCall,
    WholeAnswer,
)
from rattanstile.version.fleet_config import (
    CallerLimits,
    FleetConfig,
    FleetRoute,
    FleetService,
    FleetState,
    Organisation,
    Share,
)

USABLE = TargetLoad(
    is_usable=True,
    pending_calls=0,
    limit=10,
    service_us=20_000,
    wait_us=0,
    offered_deci_per_s=0,
    capacity_deci_per_s=5000,
)
ANSWER = WholeAnswer(200, b'OK', ((b'request-id', b'a'),), b'whole')


class RecordingLog:
    """A decision log that records its lines."""

    def __init__(self):
        self.lines = []

    def reserve_line(self, kind):
        return True

    def write(self, kind, event, **fields):
        self.lines.append((event, fields))

    def append(self, event, **fields):
        self.lines.append((event, fields))

    def flush(self):
        """Do nothing."""

    def events(self):
        return [event for event, _ in self.lines]


def route(name='claims', **changes):
    fields = {
        'name': name,
        'host': 'forest.example',
        'path_prefix': f'/{name}/',
        'shares': (Share('registry', 1),),
        'idempotent': True,
        'timeout_s': 2.0,
        'latency_objective_s': 1.0,
        'priority': 1,
        'most_attempts': 2,
        'open_to_all': False,
    }
    return FleetRoute(**{**fields, **changes})


def organisation(name='north', rate_per_s=100.0, keys=('k1',)):
    return Organisation(name, frozenset(keys), rate_per_s, rate_per_s, None)


def config(number=1, routes=(), organisations=()):
    by_host = {}
    for each in routes:
        by_host.setdefault(each.host, {})[each.path_prefix] = each
    return FleetConfig(
        number=number,
        routes=by_host,
        services={'registry': FleetService('registry', '/h', 50, 3.0, 25.0)},
        organisations={
            key: each for each in organisations for key in each.keys
        },
        limits=CallerLimits(),
        requires_keys=bool(organisations),
    )


def context(state=None, clock=None, node_id='n1', domain='east'):
    clock = clock or Clock()
    state_holder = SimpleNamespace(state=state or FleetState())
    node_context = NodeContext(
        node_id=node_id,
        domain=domain,
        state=lambda: state_holder.state,
        timers=TimerService(clock),
        log=RecordingLog(),
        counters=Counters(),
        rng=Random(1),
    )
    node_context.freshness.confirm(float('inf'))
    return node_context, clock, state_holder


def caller_request(request_id='a', path='/claims/1', key='k1', **changes):
    fields = {
        'request_id': request_id,
        'method': 'GET',
        'host': 'forest.example',
        'path': path,
        'headers': (),
        'body': b'',
        'key': key,
        'deadline_ms': 2000,
    }
    return IncomingRequest(**{**fields, **changes})


def served_call(request_id='a', **changes):
    fields = {
        'request_id': request_id,
        'route': 'claims',
        'service': 'registry',
        'moves': 0,
        'inner': False,
        'idempotent': True,
        'priority': 1,
        'latency_objective_ms': 1000,
        'remaining_ms': 2000,
        'caller_service': 'registry',
        'organisation': 'north',
        'method': 'GET',
        'host': 'forest.example',
        'path': '/claims/1',
        'headers': (),
        'body': b'',
    }
    return ServedCall(**{**fields, **changes})
