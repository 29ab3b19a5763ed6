"""What a node adds to a call, on live processes over loopback.

Three kinds of the same call are interleaved in one run: directly to the
target stand-in, through the node beside the target, and through the node of
another service, which sends it on to the node beside the target. Latency is
counted from the moment of sending; sending never waits for an answer.
"""

import argparse
import os
import random
import sys
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, unique
from pathlib import Path
from time import perf_counter_ns

import httptools
from hdrh.histogram import HdrHistogram
from twisted.internet.defer import gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol

from rattanstile.process.reactor import Reactor, installed_reactor
from rattanstile.process.settings import parse_address
from rattanstile.trial.deployments import Deployment, ServicePlan
from rattanstile.trial.fleet import Worker, running_fleet
from rattanstile.trial.run import TrialRun, run_trial

TARGET_ADDED_MS = 0.62
CALLS_PER_S = 280
LENGTH_S = 20.0
IDLE_S = 5.0
SETTLE_S = 4.0
SESSIONS = 8
EXTRA_CONNECTIONS = 1000
WHOLE_STATUS = 200
MAX_LATENCY_NS = 10_000_000_000
DIGITS = 3
PERCENTILES = (10, 50, 99)
NS_PER_MS = 1_000_000
US_PER_S = 1_000_000
SEED = 11


@unique
class Kind(Enum):
    """Which way a call takes."""

    DIRECT = 'direct to the target'
    LOCAL = 'through its node'
    OTHER = 'through another node'


@dataclass(slots=True)
class Seen:
    """What came of the calls of one kind."""

    latency_ns: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_LATENCY_NS, DIGITS)
    )
    failed: int = 0

    def ms_at(self, percentile: float) -> float:
        """Return the latency at a percentile in milliseconds."""
        found: int = self.latency_ns.get_value_at_percentile(percentile)
        return found / NS_PER_MS


class Session(Protocol):
    """A keep-alive connection that carries one call at a time."""

    def __init__(self, idle: 'deque[Session]', seen: Seen) -> None:
        """Begin idle."""
        self._idle = idle
        self._seen = seen
        self._parser = httptools.HttpResponseParser(self)
        self._sent_ns = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Offer the connection for calls."""
        self.transport.setTcpNoDelay(True)
        self._idle.append(self)

    def send(self, request: bytes) -> None:
        """Send a call."""
        self._sent_ns = perf_counter_ns()
        self.transport.write(request)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the answer."""
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Count the answer."""
        if self._parser.get_status_code() == WHOLE_STATUS:
            took_ns = perf_counter_ns() - self._sent_ns
            self._seen.latency_ns.record_value(took_ns)
        else:
            self._seen.failed += 1
        self._idle.append(self)


class Way:
    """The connections and the request of one kind of call."""

    def __init__(self, address: str, request: bytes) -> None:
        """Begin without connections."""
        self.seen = Seen()
        self.not_sent = 0
        self.idle: deque[Session] = deque()
        self._address = parse_address(address)
        self._request = request

    async def connect(self, reactor: Reactor, sessions: int) -> None:
        """Open the connections."""
        endpoint = TCP4ClientEndpoint(
            reactor, self._address.host, self._address.port
        )
        await gatherResults(
            connectProtocol(endpoint, Session(self.idle, self.seen))
            for _ in range(sessions)
        )

    def call(self) -> None:
        """Send one call, unless every connection is busy."""
        if self.idle:
            self.idle.popleft().send(self._request)
        else:
            self.not_sent += 1


def _plan(name: str, service_time_ms: float) -> ServicePlan:
    return ServicePlan(
        name=name,
        workers=1,
        slots=100,
        connections=EXTRA_CONNECTIONS * 2,
        service_time_ms=service_time_ms,
        write_kind='claim',
        share=0.5,
        write_share=0,
    )


def _deployment() -> Deployment:
    return Deployment(
        name='hot-path',
        region='loopback',
        domains=1,
        client_delay_ms=0,
        calls_per_s=CALLS_PER_S * 100,
        services=(_plan('near', 0), _plan('far', 0)),
        organisations=('caller',),
    )


def _request(path: str, key: str) -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: n\r\nAuthorization: Bearer {key}\r\n\r\n'
    ).encode()


class HotPath:
    """Runs the calls and prints what they took.

    Args:
        run: A fleet of two nodes, each of its own service.
        calls_per_s: Calls a second that the near node serves, half of them
            from its own callers and half from the other node.
        length_s: How long calls are made.
    """

    def __init__(
        self,
        reactor: Reactor,
        run: TrialRun,
        calls_per_s: float,
        length_s: float,
    ) -> None:
        """Begin without connections."""
        self._reactor = reactor
        self._run = run
        self._calls_per_s = calls_per_s
        self._length_s = length_s
        self._chance = random.Random(SEED)

    async def main(self) -> int:
        """Measure and print; return an exit code."""
        await self._run.begin()
        near, far = self._run.fleet.workers
        ways = self._ways(near, far)
        for way in ways.values():
            await way.connect(self._reactor, SESSIONS)
        await self._offer(ways, SETTLE_S)
        idle_s = [self._processor_s(one) for one in (near, far)]
        await self._run.sleep(IDLE_S)
        began_s = [self._processor_s(one) for one in (near, far)]
        for way in ways.values():
            way.seen.latency_ns.reset()
        await self._offer(ways, self._length_s)
        ended_s = [self._processor_s(one) for one in (near, far)]
        _print_latency(ways)
        loads = ', '.join(f'{load:.1f}' for load in os.getloadavg())
        _say(f'load of the machine, last 1, 5 and 15 minutes: {loads}')
        calls = self._calls_per_s * self._length_s
        for name, idle, began, ended, made in zip(
            ('near, entry of half and serving of all', 'far, entry of half'),
            idle_s,
            began_s,
            ended_s,
            (calls, calls / 2),
            strict=True,
        ):
            at_rest = (began - idle) / IDLE_S
            spent_s = ended - began - at_rest * self._length_s
            _say(
                f'processor of node {name}:'
                f' {spent_s / made * US_PER_S:.0f} us a call,'
                f' {at_rest * 100:.2f}% of a core at rest'
            )
        await self._print_memory(near)
        return 0

    def _ways(self, near: Worker, far: Worker) -> dict[Kind, Way]:
        key = self._run.keys['caller']
        through = _request('/near/', key)
        return {
            Kind.DIRECT: Way(near.target_address, _request('/', 'none')),
            Kind.LOCAL: Way(near.caller_address, through),
            Kind.OTHER: Way(far.caller_address, through),
        }

    async def _offer(self, ways: dict[Kind, Way], length_s: float) -> None:
        until_s = self._run.timers.now_s() + length_s
        due_s = self._run.timers.now_s()
        for way in _forever(ways):
            due_s += self._chance.expovariate(self._calls_per_s * 3 / 2)
            wait_s = due_s - self._run.timers.now_s()
            if due_s > until_s:
                break
            if wait_s > 0:
                await self._run.sleep(wait_s)
            way.call()
        await self._run.sleep(1)

    def _processor_s(self, worker: Worker) -> float:
        found = self._run.fleet.status(worker)['processor_s']
        return float(str(found))

    async def _print_memory(self, near: Worker) -> None:
        pid = near.running_node.pid
        before_kb = _rss_kb(pid)
        way = Way(near.caller_address, b'')
        await way.connect(self._reactor, EXTRA_CONNECTIONS)
        await self._run.sleep(1)
        _say(
            f'memory of node near: {before_kb / 1024:.1f} MB,'
            f' and {(_rss_kb(pid) - before_kb) / 1024:.1f} MB'
            f' for {EXTRA_CONNECTIONS} more connections'
        )


def _forever(ways: dict[Kind, Way]) -> Iterator[Way]:
    while True:
        yield from ways.values()


def _rss_kb(pid: int) -> int:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


def _print_latency(ways: dict[Kind, Way]) -> None:
    direct = ways[Kind.DIRECT].seen
    for kind, way in ways.items():
        seen = way.seen
        added = [
            seen.ms_at(percentile) - direct.ms_at(percentile)
            for percentile in PERCENTILES
        ]
        _say(
            f'{kind.value}: {seen.latency_ns.get_total_count()} whole,'
            f' {seen.failed} failed, {way.not_sent} not sent;'
            f' p50 {seen.ms_at(50):.3f} ms, p99 {seen.ms_at(99):.3f} ms;'
            f' added p10 {added[0]:.3f} ms, p50 {added[1]:.3f} ms,'
            f' p99 {added[2]:.3f} ms (target {TARGET_ADDED_MS} ms at p99)'
        )


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def main() -> int:
    """Run the bench; see ``--help``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--length-s', type=float, default=LENGTH_S)
    parser.add_argument('--calls-per-s', type=float, default=CALLS_PER_S)
    parser.add_argument('--folder', default='', help='keeps settings and logs')
    arguments = parser.parse_args()
    reactor = installed_reactor()
    with running_fleet(_deployment(), arguments.folder) as fleet:
        hot_path = HotPath(
            reactor,
            TrialRun(reactor, fleet, _say),
            arguments.calls_per_s,
            arguments.length_s,
        )
        return run_trial(reactor, hot_path.main)


if __name__ == '__main__':
    sys.exit(main())
