"""Starts and stops the processes of a trial."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from urllib.request import Request, urlopen

import msgspec

from rattanstile.errors import UnavailableError
from rattanstile.process.settings import (
    ConnectionSettings,
    LogSettings,
    NodeSettings,
)
from rattanstile.request.ids import FailureDomainId
from rattanstile.standin.target import TargetStats
from rattanstile.trial.deployments import Deployment, ServicePlan, profile_of

ADMIN_TIMEOUT_S = 5
STOP_TIMEOUT_S = 10
MAX_SEEDS = 3
ANY_PORT = '127.0.0.1:0'


class ReadyLine(msgspec.Struct, frozen=True):
    """Addresses that a process prints on standard output once it is ready."""

    addresses: dict[str, str]


class Process:
    """A process of the trial that can be restarted."""

    def __init__(self, name: str, arguments: list[str], log_path: Path) -> None:
        """Start the process; `ready` waits for its ready line."""
        self.name = name
        self._arguments = arguments
        self._log_path = log_path
        self._ready_line: ReadyLine | None = None
        self._popen = self._start()

    def restart(self) -> None:
        """Restart the process after it has exited."""
        self._ready_line = None
        self._popen = self._start()

    @property
    def ready(self) -> ReadyLine:
        """Return the addresses of the process; blocks until it is ready.

        Raises:
            UnavailableError: The process exited without a ready line.
        """
        if self._ready_line is None:
            self._ready_line = self._read_ready_line()
        return self._ready_line

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.signal(signal.SIGKILL)
        self._popen.wait(STOP_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None if the process exceeds the timeout."""
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self._popen.poll() is None

    def stop(self) -> None:
        """Terminate the process, and kill it if it does not exit in time.

        A suspended process is resumed first.
        """
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.wait(STOP_TIMEOUT_S) is None:
            self.kill()

    def _start(self) -> 'subprocess.Popen[bytes]':
        with self._log_path.open('ab') as log:
            return subprocess.Popen(
                [sys.executable, '-m', 'rattanstile', *self._arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env=dict(os.environ, PYTHONHASHSEED='0'),
            )

    def _read_ready_line(self) -> ReadyLine:
        output = self._popen.stdout
        line = output.readline().decode() if output else ''
        if not line:
            raise UnavailableError(
                f'{self.name} exited before it was ready; see {self._log_path}'
            )
        pairs = (pair.split('=', 1) for pair in line.split())
        return ReadyLine({name: address for name, address in pairs})


class Worker:
    """A target and the proxies beside it: its node and the baseline."""

    def __init__(
        self,
        plan: ServicePlan,
        index: int,
        domain: FailureDomainId,
        target: Process,
    ) -> None:
        """Initialise with a started target; the node is started later."""
        self.plan = plan
        self.name = f'{plan.name}-{index}'
        self.domain = domain
        self.target = target
        self.node: Process | None = None
        self.baseline: Process | None = None
        self.uses_baseline = False

    def stats(self) -> TargetStats:
        """Return the counters of the target."""
        return msgspec.json.decode(
            _admin_request(self.target_address, '/-/stats'), type=TargetStats
        )

    def set_switches(self, **switches: object) -> None:
        """Set switches of the target, and keep the others."""
        _admin_request(
            self.target_address,
            '/-/switch',
            json.dumps(switches).encode(),
        )

    def send_command(self, command: str) -> None:
        """Send an admin command: ``restart``, ``warm`` or ``forget``."""
        _admin_request(self.target_address, f'/-/{command}', b'{}')

    @property
    def target_address(self) -> str:
        """Return the address of the target."""
        return self.target.ready.addresses['address']

    @property
    def running_node(self) -> Process:
        """Return the process of the node.

        Raises:
            UnavailableError: The node has not been started.
        """
        if self.node is None:
            raise UnavailableError(
                f'the node of {self.name} has not been started'
            )
        return self.node

    @property
    def proxy(self) -> Process:
        """Return the proxy that calls go through: node or baseline."""
        if self.uses_baseline and self.baseline is not None:
            return self.baseline
        return self.running_node

    @property
    def caller_address(self) -> str:
        """Return the address at which the proxy serves callers over HTTP."""
        return self.proxy.ready.addresses['caller']

    @property
    def peer_address(self) -> str:
        """Return the address at which the node serves the caller library."""
        return self.running_node.ready.addresses['peer']

    @property
    def operator_address(self) -> str:
        """Return the address at which the node serves operators."""
        return self.running_node.ready.addresses['operator']


class Fleet:
    """All processes of a deployment."""

    def __init__(
        self, deployment: Deployment, log: Process, folder: Path
    ) -> None:
        """Initialise the fleet without workers."""
        self.deployment = deployment
        self.log = log
        self.folder = folder
        self.workers: list[Worker] = []

    @property
    def log_address(self) -> str:
        """Return the address of the platform's log."""
        return self.log.ready.addresses['address']

    def set_log_switches(self, **switches: object) -> None:
        """Set switches of the log, and keep the others."""
        _admin_request(
            self.log_address,
            '/admin/switches',
            json.dumps(switches).encode(),
        )

    def of_service(self, name: str) -> list[Worker]:
        """Return the workers of a service."""
        return [worker for worker in self.workers if worker.plan.name == name]

    def of_domain(self, domain: FailureDomainId) -> list[Worker]:
        """Return the workers of a failure domain."""
        return [worker for worker in self.workers if worker.domain == domain]

    def start_node(self, worker: Worker) -> None:
        """Start the node of a worker, on its previous ports after a restart."""
        path = self.folder / f'{worker.name}.json'
        settings = self._settings(worker)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        log_path = self.folder / f'{worker.name}.log'
        if worker.node is None:
            worker.node = Process(worker.name, ['node', str(path)], log_path)
        else:
            worker.node.restart()

    def start_all_nodes(self) -> None:
        """Start every node and set its address at its target."""
        for worker in self.workers:
            self.start_node(worker)
        self.use_baseline(enabled=False)

    def start_all_baselines(self) -> None:
        """Start the baseline proxy of every worker."""
        targets: dict[str, list[str]] = {}
        for worker in self.workers:
            addresses = targets.setdefault(worker.plan.name, [])
            addresses.append(worker.target_address)
        path = self.folder / 'baseline.json'
        path.write_bytes(msgspec.json.encode({'targets': targets}))
        for baseline_worker in self.workers:
            baseline_worker.baseline = Process(
                f'{baseline_worker.name} baseline',
                ['standin', 'passthrough', str(path)],
                self.folder / f'{baseline_worker.name}.baseline.log',
            )

    def use_baseline(self, *, enabled: bool) -> None:
        """Route the calls of every target through baselines or nodes."""
        for worker in self.workers:
            worker.uses_baseline = enabled
            worker.set_switches(node_address=worker.caller_address)

    def status(self, worker: Worker) -> dict[str, object]:
        """Return the status that the node of a worker reports."""
        node_status: dict[str, object] = json.loads(
            _admin_request(worker.operator_address, '/status')
        )
        return node_status

    def _settings(self, worker: Worker) -> NodeSettings:
        previous = worker.node.ready.addresses if worker.node else {}
        seeds = tuple(
            seed_worker.running_node.ready.addresses['control']
            for seed_worker in self.workers[:MAX_SEEDS]
            if seed_worker.node is not None and seed_worker is not worker
        )
        return NodeSettings(
            node_id=worker.name,
            target_id=worker.name,
            service=worker.plan.name,
            failure_domain=worker.domain,
            region=self.deployment.region,
            target_address=worker.target_address,
            log_address=self.log_address,
            caller_address=previous.get('caller', ANY_PORT),
            peer_address=previous.get('peer', ANY_PORT),
            control_address=previous.get('control', ANY_PORT),
            operator_address=previous.get('operator', ANY_PORT),
            seeds=seeds,
            static_slot=self.workers.index(worker),
            log=LogSettings(level='info'),
            connections=ConnectionSettings(
                max_callers=worker.plan.connections,
                max_target_connections=worker.plan.connections,
            ),
        )


@contextmanager
def running_fleet(deployment: Deployment, folder: str = '') -> Iterator[Fleet]:
    """Run the log and every target of a deployment inside the context.

    Nodes are started by `Fleet.start_node`. All processes are stopped on exit.

    Args:
        folder: Folder for settings and logs; a temporary one if empty.
    """
    with ExitStack() as stack:
        if not folder:
            folder = stack.enter_context(
                tempfile.TemporaryDirectory(prefix='rattanstile-')
            )
        path = Path(folder)
        path.mkdir(parents=True, exist_ok=True)
        log = Process('log', ['standin', 'log'], path / 'log.log')
        stack.callback(log.stop)
        fleet = Fleet(deployment, log, path)
        stack.callback(_stop_nodes, fleet)
        for worker in _workers(deployment, path):
            stack.callback(worker.target.stop)
            fleet.workers.append(worker)
        yield fleet


def _workers(deployment: Deployment, folder: Path) -> Iterator[Worker]:
    for plan in deployment.services:
        for index in range(plan.workers):
            profile = folder / f'{plan.name}-{index}.target.json'
            profile.write_bytes(msgspec.json.encode(profile_of(plan, index)))
            target = Process(
                f'{plan.name}-{index} target',
                ['standin', 'target', str(profile)],
                folder / f'{plan.name}-{index}.target.log',
            )
            yield Worker(plan, index, deployment.domain(index), target)


def _stop_nodes(fleet: Fleet) -> None:
    pairs = [(worker.node, worker.baseline) for worker in fleet.workers]
    nodes = [
        process for pair in pairs for process in pair if process is not None
    ]
    for node in nodes:
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGTERM)
    for stopping_node in nodes:
        stopping_node.stop()


def _admin_request(address: str, path: str, body: bytes | None = None) -> bytes:
    request = Request(f'http://{address}{path}', data=body)
    with urlopen(request, timeout=ADMIN_TIMEOUT_S) as response:
        content: bytes = response.read()
    return content
