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
SEEDS = 3
ANY_PORT = '127.0.0.1:0'


class ReadyLine(msgspec.Struct, frozen=True):
    """Addresses that a started process prints on its standard output."""

    addresses: dict[str, str]


class Process:
    """One process of the trial, started anew on demand."""

    def __init__(self, name: str, arguments: list[str], log: Path) -> None:
        """Start the process; `ready` waits for its ready line."""
        self.name = name
        self._arguments = arguments
        self._log = log
        self._ready: ReadyLine | None = None
        self._popen = self._start()

    def restart(self) -> None:
        """Start the process again after it ended."""
        self._ready = None
        self._popen = self._start()

    @property
    def ready(self) -> ReadyLine:
        """Return the addresses of the process, once it is ready.

        Raises:
            UnavailableError: The process ended without a ready line.
        """
        if self._ready is None:
            self._ready = self._read_ready_line()
        return self._ready

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self._popen.poll() is None:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self._popen.wait(STOP_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Return the exit code, or None when it still runs after a while."""
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
        """Tell whether the process runs."""
        return self._popen.poll() is None

    def stop(self) -> None:
        """End the process, at once if it does not end by itself."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        if self.wait(STOP_TIMEOUT_S) is None:
            self.kill()

    def _start(self) -> 'subprocess.Popen[bytes]':
        with self._log.open('ab') as log:
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
                f'{self.name} did not start; its log is {self._log}'
            )
        pairs = (pair.split('=', 1) for pair in line.split())
        return ReadyLine({name: found for name, found in pairs})


class Worker:
    """A target and the node beside it."""

    def __init__(
        self,
        plan: ServicePlan,
        index: int,
        domain: FailureDomainId,
        target: Process,
    ) -> None:
        """Keep the target; the node is started later."""
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
            _ask(self.target_address, '/-/stats'), type=TargetStats
        )

    def switch(self, **changed: object) -> None:
        """Change switches of the target."""
        _ask(
            self.target_address,
            '/-/switch',
            json.dumps(changed).encode(),
        )

    def order(self, what: str) -> None:
        """Give the target an order: ``restart`` or ``warm``."""
        _ask(self.target_address, f'/-/{what}', b'{}')

    @property
    def target_address(self) -> str:
        """Return the address of the target."""
        return self.target.ready.addresses['address']

    @property
    def running_node(self) -> Process:
        """Return the node.

        Raises:
            UnavailableError: The node was not started.
        """
        if self.node is None:
            raise UnavailableError(f'the node of {self.name} was not started')
        return self.node

    @property
    def proxy(self) -> Process:
        """Return the process that calls go through: node or baseline."""
        if self.uses_baseline and self.baseline is not None:
            return self.baseline
        return self.running_node

    @property
    def caller_address(self) -> str:
        """Return the address of the proxy for callers' HTTP."""
        return self.proxy.ready.addresses['caller']

    @property
    def peer_address(self) -> str:
        """Return the address of the node for the caller library."""
        return self.running_node.ready.addresses['peer']

    @property
    def operator_address(self) -> str:
        """Return the address of the node for operators."""
        return self.running_node.ready.addresses['operator']


class Fleet:
    """All processes of a deployment."""

    def __init__(
        self, deployment: Deployment, log: Process, folder: Path
    ) -> None:
        """Hold no worker yet."""
        self.deployment = deployment
        self.log = log
        self.folder = folder
        self.workers: list[Worker] = []

    @property
    def log_address(self) -> str:
        """Return the address of the platform's log."""
        return self.log.ready.addresses['address']

    def log_switch(self, **changed: object) -> None:
        """Change switches of the log."""
        _ask(
            self.log_address,
            '/admin/switches',
            json.dumps(changed).encode(),
        )

    def of_service(self, name: str) -> list[Worker]:
        """Return the workers of a service."""
        return [one for one in self.workers if one.plan.name == name]

    def of_domain(self, domain: FailureDomainId) -> list[Worker]:
        """Return the workers of a failure domain."""
        return [one for one in self.workers if one.domain == domain]

    def start_node(self, worker: Worker) -> None:
        """Start the node of a worker, on its former ports when it had some."""
        path = self.folder / f'{worker.name}.json'
        settings = self._settings(worker)
        path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
        log = self.folder / f'{worker.name}.log'
        if worker.node is None:
            worker.node = Process(worker.name, ['node', str(path)], log)
        else:
            worker.node.restart()

    def start_all_nodes(self) -> None:
        """Start every node and tell each target its node's address."""
        for worker in self.workers:
            self.start_node(worker)
        self.use_baseline(chosen=False)

    def start_all_baselines(self) -> None:
        """Start the baseline proxy of every worker."""
        targets: dict[str, list[str]] = {}
        for worker in self.workers:
            addresses = targets.setdefault(worker.plan.name, [])
            addresses.append(worker.target_address)
        path = self.folder / 'baseline.json'
        path.write_bytes(msgspec.json.encode({'targets': targets}))
        for started in self.workers:
            started.baseline = Process(
                f'{started.name} baseline',
                ['standin', 'passthrough', str(path)],
                self.folder / f'{started.name}.baseline.log',
            )

    def use_baseline(self, *, chosen: bool) -> None:
        """Send the calls of every target through nodes or baselines."""
        for worker in self.workers:
            worker.uses_baseline = chosen
            worker.switch(node_address=worker.caller_address)

    def status(self, worker: Worker) -> dict[str, object]:
        """Return what the node of a worker tells of itself."""
        found: dict[str, object] = json.loads(
            _ask(worker.operator_address, '/status')
        )
        return found

    def _settings(self, worker: Worker) -> NodeSettings:
        former = worker.node.ready.addresses if worker.node else {}
        seeds = tuple(
            one.running_node.ready.addresses['control']
            for one in self.workers[:SEEDS]
            if one.node is not None and one is not worker
        )
        return NodeSettings(
            node_id=worker.name,
            target_id=worker.name,
            service=worker.plan.name,
            failure_domain=worker.domain,
            region=self.deployment.region,
            target_address=worker.target_address,
            log_address=self.log_address,
            caller_address=former.get('caller', ANY_PORT),
            peer_address=former.get('peer', ANY_PORT),
            control_address=former.get('control', ANY_PORT),
            operator_address=former.get('operator', ANY_PORT),
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
    """Start the log and every target of a deployment, and stop all after.

    Nodes are started by `Fleet.start_node`.

    Args:
        folder: Where settings and logs go; a temporary folder when empty.
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
    pairs = [(one.node, one.baseline) for one in fleet.workers]
    nodes = [one for pair in pairs for one in pair if one is not None]
    for node in nodes:
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGTERM)
    for stopping in nodes:
        stopping.stop()


def _ask(address: str, path: str, body: bytes | None = None) -> bytes:
    request = Request(f'http://{address}{path}', data=body)
    with urlopen(request, timeout=ADMIN_TIMEOUT_S) as answer:
        found: bytes = answer.read()
    return found
