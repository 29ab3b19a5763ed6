"""A small deployment: the store, machines with node and worker, clients."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from store import Store
from wire import ClosedError, encode_request, exchange
from worker import Run, Worker

ROOT = Path(__file__).resolve().parents[2]
REGION = 'prairie'
ZONES = ('regina', 'saskatoon', 'moose-jaw')
BOUNDS = {
    'stableWindow': '3000ms',
    'reuseDelay': '2s',
    'drain': '2000ms',
    'config': '2000ms',
    'grace': '6s',
    'retryBudgetRatio': 0.2,
    'retrySlack': 48,
}
READY_S = 25.0
CLOSE_S = 0.2
PORTS = (12_000, 30_000)
NOT_RUN = 2
_ADDRESSES = ('inbound', 'outbound', 'ready', 'control')
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


class NotRunnableError(Exception):
    """The case could not run."""


@dataclass
class Machine:
    """A machine with a node and a worker."""

    name: str
    zone: str
    service: str
    settings: dict
    process: subprocess.Popen | None = None
    worker: Worker | None = None

    def address(self, name: str) -> str:
        """Return one of the node's listen addresses."""
        return self.settings['listenAddrs'][name]


@dataclass
class Answer:
    """What a client got for one attempt; status 0 for a closed connection."""

    request_id: str
    sent_s: float
    status: int
    body: bytes = b''
    took_s: float = 0.0


@dataclass
class Deployment:
    """Everything that a case starts, and what was seen.

    Args:
        services: Service of each machine's worker, in the order of machines.
        slots: Requests that each worker runs at the same time.
    """

    services: list[str]
    slots: int = 20
    machines: list[Machine] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)
    began_s: float = field(default_factory=time.monotonic)
    requests: int = 0
    store: Store | None = None
    _folder: tempfile.TemporaryDirectory | None = None

    # Start and end

    async def start(self, config: dict) -> None:
        """Start all; return when every node is ready and every worker runs."""
        self._folder = tempfile.TemporaryDirectory()
        free = iter(_free_ports(1 + 6 * len(self.services)))
        self.store = Store(f'127.0.0.1:{next(free)}')
        await self.store.server.start()
        await self.store.put('config', config)
        for number, service in enumerate(self.services):
            zone = ZONES[number % len(ZONES)]
            name = f'sidecar-{zone}-{number // len(ZONES) + 1}'
            settings = self._settings(name, zone, service, free)
            self.machines.append(Machine(name, zone, service, settings))
        for machine in self.machines:
            self.start_node(machine)
            await self.start_worker(machine, f'i-{machine.name}')
        await self._until_ready()

    async def _until_ready(self) -> None:
        end_s = time.monotonic() + READY_S
        for machine in self.machines:
            while not await self._serves(machine):
                if time.monotonic() > end_s:
                    raise NotRunnableError(f'{machine.name} is not ready')
                await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)
        self.note('all nodes are ready')

    async def _serves(self, machine: Machine) -> bool:
        if machine.process is not None and machine.process.poll() is not None:
            raise NotRunnableError(f'{machine.name} has ended by itself')
        encoded = encode_request('GET', '/v1/readyz', {'Host': 'node'})
        try:
            response = await exchange(machine.address('ready'), encoded, 1.0)
        except ClosedError:
            return False
        return response.status == 200

    def start_node(self, machine: Machine) -> None:
        """Start the project's node with the command of the deploy file."""
        file = Path(self._folder.name, f'{machine.name}.settings')
        file.write_text(_rendered(machine.settings))
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        with Path(self._folder.name, f'{machine.name}.log').open('ab') as log:
            machine.process = subprocess.Popen(
                ['python3', '-OO', '-m', 'rattanstile.platform'],
                cwd=ROOT,
                env={
                    **kept,
                    'RATTANSTILE_BOOT': str(file),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                },
                stdout=log,
                stderr=log,
            )

    def change_service(self, machine: Machine, service: str) -> None:
        """Write the settings of a machine anew, and send SIGHUP."""
        machine.settings['service'] = service
        file = Path(self._folder.name, f'{machine.name}.settings')
        file.write_text(_rendered(machine.settings))
        machine.process.send_signal(signal.SIGHUP)
        self.note(f'settings of {machine.name}: service {service}; SIGHUP')

    async def start_worker(
        self, machine: Machine, worker_id: str, **overrides: object
    ) -> Worker:
        """Start a worker at the address of the machine's worker."""
        fields = {
            'service': machine.service,
            'slots': self.slots,
            **overrides,
        }
        machine.worker = Worker(
            worker_id=worker_id,
            address=machine.settings['appAddr'],
            control=machine.address('control'),
            zone=machine.zone,
            runs=self.runs,
            **fields,
        )
        await machine.worker.start()
        self.note(
            f'worker {worker_id} of {machine.worker.service} starts at '
            f'{machine.worker.address} on {machine.name}, '
            f'born {machine.worker.born_ms}'
        )
        return machine.worker

    async def stop(self) -> None:
        """End all processes and stand-ins that were started."""
        for machine in self.machines:
            if machine.worker is not None:
                machine.worker.crash()
        if self.store is not None:
            self.store.server.crash()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGKILL)
            if machine.process is not None:
                machine.process.wait()
        if self._folder is not None:
            self._folder.cleanup()
        await asyncio.sleep(CLOSE_S)

    def node_log(self, machine: Machine) -> str:
        """Return what the node wrote."""
        return Path(self._folder.name, f'{machine.name}.log').read_text()

    def _settings(
        self, name: str, zone: str, service: str, free: object
    ) -> dict:
        listen = {each: f'127.0.0.1:{next(free)}' for each in _ADDRESSES}
        return {
            'nodeName': name,
            'service': service,
            'zone': zone,
            'region': REGION,
            'ip': '127.0.0.1',
            'listenAddrs': listen,
            'appAddr': f'127.0.0.1:{next(free)}',
            'portRange': [next(free), 0],
            'bootstrap': True,
            'bounds': BOUNDS,
            'platform': {'address': self.store.server.address},
        }

    async def send_steadily(self, period_s: float) -> None:
        """Send lookups and charges at all machines in turn."""
        requests = set()
        while True:
            for machine in self.machines:
                for path, method in (
                    ('/status-lookup/7', 'GET'),
                    ('/deposit-charge/7', 'POST'),
                ):
                    task = asyncio.create_task(
                        self.request(machine, path, method=method)
                    )
                    requests.add(task)
                    task.add_done_callback(requests.discard)
                await asyncio.sleep(period_s)

    # What is done and seen

    def note(self, line: str) -> None:
        """Add a line to the record."""
        self.lines.append(f'{time.monotonic() - self.began_s:8.3f} {line}')

    async def request(
        self,
        machine: Machine,
        path: str,
        *,
        method: str = 'GET',
        key: str | None = None,
        body: bytes = b'',
        deadline_ms: int = 2000,
    ) -> Answer:
        """Send a client's request to the node of its machine."""
        self.requests += 1
        request_id = f'{self.requests:016x}'
        headers = {
            'Host': 'clock.example',
            'Request-Id': request_id,
            'Request-Deadline-Ms': str(deadline_ms),
        }
        if key is not None:
            headers['Authorization'] = f'Token {key}'
        answer = Answer(request_id, time.monotonic(), 0)
        encoded = encode_request(method, path, headers, body)
        try:
            response = await exchange(
                machine.address('outbound'), encoded, deadline_ms / 1000
            )
            answer.status = response.status
            answer.body = response.body
        except ClosedError:
            answer.status = 0
        answer.took_s = time.monotonic() - answer.sent_s
        self.answers.append(answer)
        self.note(
            f'{machine.name}: {method} {path} id={request_id} '
            f'key={key or "-"}: {answer.status or "no answer"} '
            f'after {answer.took_s:.2f} s'
        )
        return answer

    def record(self, file: Path, verdict: str) -> None:
        """Write what was sent, answered and run."""
        runs = [
            f'{run.at_s - self.began_s:8.3f} run by {run.worker_id} of '
            f'{run.service}: {run.path} id={run.request_id} '
            f'caller={run.caller_service} tenant={run.tenant or "-"}'
            for run in self.runs
        ]
        lines = sorted([*self.lines, *runs], key=lambda line: float(line[:8]))
        file.write_text('\n'.join([*lines, verdict, '']))


def route(name: str, route_type: str, service: str, **others: object) -> dict:
    """Return a route for `/NAME/`."""
    return {
        'name': f'r-{name}',
        'host': 'clock.example',
        'pathPrefix': f'/{name}/',
        'routeType': route_type,
        'timeout': '2000ms',
        'targetLatency': '1500ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **others,
    }


def configuration(
    version: int, routes: list[dict], tenants: dict[str, list[str]]
) -> dict:
    """Return a configuration; `tenants` has the keys of each tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConnections': 754,
                'protocol': 'h1',
                'tls': False,
                'coldStart': '3s',
                'coldPerS': 21.0,
            }
            for name in sorted({each['service'] for each in routes})
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeout': '3s',
            'idleTimeout': '15s',
        },
        'tenants': [
            {'name': name, 'apiKeys': keys, 'ratePerS': 200.0, 'burst': 200.0}
            for name, keys in tenants.items()
        ],
    }


def run_case(
    folder: Path,
    services: list[str],
    config: dict,
    play: Callable[[Deployment, bool], Awaitable[list[str]]],
    slots: int = 20,
    *,
    is_troubled: bool,
) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if not, 2 if not run.

    Args:
        folder: Receives `record.txt`.
        play: Plays the case with or without the disruption; returns what
            broke the rule.
        slots: Requests that each worker runs at the same time.
        is_troubled: Whether the disruption is played.
    """
    deployment = Deployment(services, slots)
    try:
        code = asyncio.run(_run(folder, deployment, config, play, is_troubled))
    except Exception:
        traceback.print_exc()
        code = NOT_RUN
    sys.exit(code)


async def _run(folder, deployment, config, play, is_troubled) -> int:
    code = NOT_RUN
    verdict = 'not run'
    try:
        await deployment.start(config)
        broken = await play(deployment, is_troubled)
        code = 1 if broken else 0
        verdict = '\n'.join(broken) or 'the rule held'
    except Exception:
        verdict = f'not run: {traceback.format_exc()}'
        for machine in deployment.machines:
            if machine.process is not None:
                verdict += deployment.node_log(machine)[-1000:]
    finally:
        await deployment.stop()
        deployment.record(folder / 'record.txt', verdict)
        print(verdict)
    return code


def _rendered(settings: dict) -> str:
    """Return the deploy template, filled in as the platform does."""
    template = (ROOT / 'deploy' / 'node.json').read_text()

    def replace(found: re.Match) -> str:
        value = settings
        for part in found.group(1).split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if found.group(2) else str(value)

    return _PLACEHOLDER.sub(replace, template)


def _free_ports(count: int) -> list[int]:
    """Return ports that are free, none of which is given out by itself.

    They are below those that the system assigns to outgoing connections.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        if port in ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        ports.append(port)
    return ports
