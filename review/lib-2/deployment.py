"""A small deployment on loopback: store, targets, nodes, and a platform.

The store and the targets are the project's own stand-ins, in one process. The
nodes run with the command of `deploy/system.toml`, on settings that are
`deploy/node.json` with its placeholders filled in. The platform starts, signals,
kills and restarts them as `DEPLOY.md` says.
"""

import http.client
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = 'hulo84.example'
MEMORY_MB = 300
"""`limits.memoryMb` of the small deployments."""
RESTART_DELAY_S = 1.0
START_TIMEOUT_S = 20.0
START_ATTEMPTS = 3
"""Another process may take a port between its assignment and its use."""
HELD_EXIT = 0
BROKEN_EXIT = 1
NOT_RUN_EXIT = 2


class CannotRunError(Exception):
    """The case can't run here, which says nothing about the rule."""


def free_ports(count):
    """Return ports that the system has just assigned."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def fill(template, fields):
    """Fill the placeholders of a settings template."""

    def replace(found):
        value = fields
        name, _, form = found.group(1).partition('|')
        for part in name.split('.'):
            value = value[int(part) if part.isdigit() else part]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', replace, template)


class Record:
    """What was sent, answered and run, in `record.txt` of the case."""

    def __init__(self, folder):
        self._file = Path(folder, 'record.txt').open('w')
        self._start_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, event, **fields):
        pairs = ' '.join(f'{name}={value}' for name, value in fields.items())
        at_s = time.monotonic() - self._start_s
        with self._lock:
            self._file.write(f'{at_s:8.3f} {event} {pairs}\n')
            self._file.flush()


def config_document(routes, tenants, version=1):
    """Return a configuration with the limits of the small deployments."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'healthPath': '/healthz',
                'maxConnections': 958,
                'protocol': 'h1',
                'tls': False,
                'coldStart': '3s',
                'coldPerS': 25.0,
            }
            for name in sorted({route['service'] for route in routes})
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
        'tenants': tenants,
    }


def route(name, service, route_type, timeout='5000ms'):
    return {
        'name': f'r-{name}',
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'routeType': route_type,
        'timeout': timeout,
        'targetLatency': '800ms',
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
    }


def tenant(name, key, rate_per_s=171):
    return {
        'name': name,
        'apiKeys': [key],
        'ratePerS': rate_per_s,
        'burst': rate_per_s,
    }


class Deployment:
    """The processes of a deployment; all are killed at the end of the block.

    Args:
        record: Receives a line for each start and end of a node.
        config: The configuration that the operator writes.
        services: Service of each node's target; their number is that of nodes.
        own_workers: Indexes of the nodes whose worker is one of `worker.py`,
            and its further settings.
    """

    def __init__(self, record, config, services, own_workers=None):
        self.record = record
        self.services = services
        self.ended = {index: [] for index in range(len(services))}
        self._config = config
        self._own_workers = own_workers or {}
        self.workers = {}
        self._folder = tempfile.TemporaryDirectory()
        self._processes = {}
        self._standin = None
        self._watch = None
        self._is_over = threading.Event()
        self._command = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text()
        )['roles']['node']['run'].split()

    def __enter__(self):
        for attempt in range(START_ATTEMPTS):
            try:
                self._start()
            except CannotRunError:
                self._kill_all()
                if attempt + 1 == START_ATTEMPTS:
                    raise
            except BaseException:
                self.__exit__()
                raise
            else:
                break
        return self

    def __exit__(self, *_):
        self._is_over.set()
        if self._watch is not None:
            self._watch.join()
        self._kill_all()
        self._folder.cleanup()

    def _kill_all(self):
        workers = [worker.process for worker in self.workers.values()]
        for process in (*self._processes.values(), *workers, self._standin):
            if process is not None:
                process.kill()
                process.wait()
        self._processes = {}
        self.workers = {}
        self._standin = None

    def address(self, index):
        """Return the address at which a node takes requests of clients."""
        return '127.0.0.1', self._fields[index]['ports']['outbound']

    def is_running(self, index):
        return self._processes[index].poll() is None

    def exit_code(self, index):
        return self._processes[index].poll()

    def signal(self, index, number):
        self._processes[index].send_signal(number)

    def start_node(self, index, *, bootstrap=False):
        """Start a node with the settings in effect."""
        fields = {**self._fields[index], 'bootstrap': bootstrap}
        path = Path(self._folder.name, f'node-{index}.json')
        path.write_text(
            fill((ROOT / 'deploy/node.json').read_text(), fields)
        )
        with Path(self._folder.name, f'node-{index}.log').open('ab') as log:
            self._processes[index] = subprocess.Popen(
                [sys.executable, *self._command[1:]],
                cwd=ROOT,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': self._folder.name,
                    'LANG': 'C.UTF-8',
                    'PYTHONPATH': str(ROOT / 'target/deps'),
                    'RATTANSTILE_BOOT': str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.write('node_started', node=index)

    def watch_memory(self, period_s=0.1):
        """Kill and restart nodes above the memory of their machine.

        Nodes that end by themselves are restarted too.
        """
        self._watch = threading.Thread(
            target=self._watch_nodes, args=(period_s,), daemon=True
        )
        self._watch.start()

    def ready(self, index):
        """Return whether the platform's readiness check gets a 200."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self._fields[index]['ports']['ready'], timeout=1
        )
        try:
            connection.request('GET', '/v1/readyz')
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def order(self, path, body=''):
        """Send an order to the stand-ins."""
        connection = http.client.HTTPConnection(
            '127.0.0.1', self._store_port, timeout=5
        )
        try:
            connection.request('POST', f'/standin/{path}', body=body)
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def wait_until(self, condition, timeout_s=START_TIMEOUT_S):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            if condition():
                return
            time.sleep(0.1)
        raise CannotRunError('a condition did not become true in time')

    def _start(self):
        names = ('outbound', 'inbound', 'ready', 'control')
        per_node = len(names) + 2
        ports = free_ports(per_node * len(self.services) + 1)
        self._store_port = ports.pop()
        self._fields = {}
        zones = ('no-east-a', 'no-east-b', 'no-east-c')
        for index, service in enumerate(self.services):
            own = ports[index * per_node : (index + 1) * per_node]
            by_name = dict(zip((*names, 'metrics', 'app'), own, strict=True))
            self._fields[index] = {
                'ports': by_name,
                'nodeName': f'sidecar-{index}',
                'service': service,
                'zone': zones[index % len(zones)],
                'ip': '127.0.0.1',
                'appAddr': f'127.0.0.1:{by_name["app"]}',
                'listenAddrs': {
                    name: f'127.0.0.1:{by_name[name]}' for name in names
                },
                'portRange': [by_name['metrics']],
                'platform': {'address': f'127.0.0.1:{self._store_port}'},
                'bounds': {
                    'grace': '6s',
                    'retryBudgetRatio': 0.2,
                    'retrySlack': 49,
                },
            }
        self._start_standin()
        for index in self._fields:
            self.start_node(index, bootstrap=True)
        for index, further in self._own_workers.items():
            self.workers[index] = Worker(self._fields[index], further)
        for index in self._fields:
            self.wait_until(lambda index=index: self._has_started(index))
        # Targets are cold or unknown for a moment after the start.
        time.sleep(3)

    def _has_started(self, index):
        if not self.is_running(index):
            raise CannotRunError(f'node {index} ended at its start')
        return self.ready(index)

    def _start_standin(self):
        plan = {
            'store_address': f'127.0.0.1:{self._store_port}',
            'targets': [
                {
                    'target_id': f'i-{index}',
                    'service': fields['service'],
                    'address': fields['appAddr'],
                    'announce_to': fields['listenAddrs']['control'],
                    'calls_to': fields['listenAddrs']['outbound'],
                    'child_host': HOST,
                    'slots': 143,
                }
                for index, fields in self._fields.items()
                if index not in self._own_workers
            ],
        }
        self._standin = subprocess.Popen(
            [sys.executable, '-m', 'rattanstile.standin.platform_fleet'],
            stdin=subprocess.PIPE,
            env={**os.environ, 'PYTHONPATH': str(ROOT / 'target/deps')},
            text=True,
        )
        self._standin.stdin.write(json.dumps(plan) + '\n')
        self._standin.stdin.flush()
        self.wait_until(self._is_standin_up)
        self.order('put/config', json.dumps(self._config))

    def _is_standin_up(self):
        try:
            self.order('calls')
        except OSError:
            return False
        return True

    def _watch_nodes(self, period_s):
        restart_s = {}
        while not self._is_over.wait(period_s):
            now_s = time.monotonic()
            for index, process in tuple(self._processes.items()):
                if index in restart_s:
                    if now_s >= restart_s[index]:
                        restart_s.pop(index)
                        self.start_node(index)
                    continue
                why = self._why_ended(process)
                if why is not None:
                    self.ended[index].append(now_s)
                    self.record.write('node_ended', node=index, why=why)
                    restart_s[index] = now_s + RESTART_DELAY_S

    def _why_ended(self, process):
        if process.poll() is not None:
            return f'exit_{process.returncode}'
        resident_mb = resident_megabytes(process.pid)
        if resident_mb > MEMORY_MB:
            process.kill()
            process.wait()
            return f'memory_{resident_mb}_MB_of_{MEMORY_MB}'
        return None


class Worker:
    """A worker of `worker.py`, as a process."""

    def __init__(self, fields, further):
        plan = {
            **further,
            'id': f'i-own-{fields["nodeName"]}',
            'service': fields['service'],
            'zone': fields['zone'],
            'address': fields['appAddr'],
            'control': fields['listenAddrs']['control'],
        }
        self.process = subprocess.Popen(
            [sys.executable, str(ROOT / 'review/lib-2/worker.py')],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self._write(json.dumps(plan))

    def order(self, order):
        """Give an order and return the answer to it."""
        self._write(order)
        return json.loads(self.process.stdout.readline())

    def _write(self, line):
        self.process.stdin.write(line + '\n')
        self.process.stdin.flush()


def resident_megabytes(pid):
    """Return the resident memory of a process."""
    try:
        text = Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    found = re.search(r'VmRSS:\s+(\d+) kB', text)
    return 0 if found is None else int(found.group(1)) // 1024


class Client(threading.Thread):
    """Sends a request every period, each on a new connection.

    Attributes:
        requests: Time sent, time answered or None, and status of each.
    """

    def __init__(self, record, name, address, key, period_s, **request):
        super().__init__(daemon=True)
        self.requests = []
        self.stopping = threading.Event()
        self._record = record
        self._name = name
        self._address = address
        self._key = key
        self._period_s = period_s
        self._method = request.get('method', 'GET')
        self._path = request.get('path', '/lookup/1')
        self._body = request.get('body')
        self._deadline_ms = request.get('deadline_ms', 5000)

    def by_id(self):
        """Return the requests by their ids."""
        return {
            f'{self._name}-{number}': request
            for number, request in enumerate(self.requests)
        }

    def run(self):
        due_s = time.monotonic()
        while not self.stopping.wait(max(0, due_s - time.monotonic())):
            due_s = max(due_s + self._period_s, time.monotonic())
            self._send(f'{self._name}-{len(self.requests)}')

    def _send(self, request_id):
        sent_s = time.monotonic()
        answered_s = None
        connection = http.client.HTTPConnection(
            *self._address, timeout=self._deadline_ms / 1000
        )
        try:
            connection.request(
                self._method,
                self._path,
                body=self._body,
                headers={
                    'Host': HOST,
                    'Request-Id': request_id,
                    'Request-Deadline-Ms': str(self._deadline_ms),
                    'Authorization': f'Token {self._key}',
                },
            )
            response = connection.getresponse()
            response.read()
            status = response.status
            answered_s = time.monotonic()
        except (OSError, http.client.HTTPException) as error:
            status = type(error).__name__
        finally:
            connection.close()
        self.requests.append((sent_s, answered_s, status))
        self._record.write(
            'request',
            id=request_id,
            status=status,
            took_ms=int((time.monotonic() - sent_s) * 1000),
        )


def stop_clients(clients):
    for client in clients:
        client.stopping.set()
    for client in clients:
        client.join()


def main(run):
    """Run a case and exit as the issue says."""
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN_EXIT))
    # The processes started here inherit whether it is ignored, as by nohup.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    record = Record(Path(sys.argv[0]).resolve().parent)
    try:
        is_broken = run(record, has_trouble)
    except (CannotRunError, OSError) as error:
        record.write('cannot_run', why=repr(error))
        print('cannot run:', error)
        sys.exit(NOT_RUN_EXIT)
    record.write('result', broken=is_broken, trouble=has_trouble)
    print('broken' if is_broken else 'held')
    sys.exit(BROKEN_EXIT if is_broken else HELD_EXIT)
