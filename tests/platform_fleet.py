"""Start a small fleet of node processes against the platform's stand-ins."""

import http.client
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from itertools import islice
from pathlib import Path

MAX_POLLS = 200
MAX_START_ATTEMPTS = 5
MAX_ADDRESSES_PER_NODE = 9
"""Addresses that one node uses, including those of its proxies."""
POLL_PERIOD_S = 0.05
HOST = 'forest.example'
API_KEY = 'key-north'


class ProcessExitedError(Exception):
    """A started process exited by itself with an error."""


def free_addresses(count):
    """Return loopback addresses whose ports the system has just assigned."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(('127.0.0.1', 0))
    addresses = [f'127.0.0.1:{sock.getsockname()[1]}' for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def config_document(
    version=1,
    keys=(API_KEY,),
    rate_per_s=5000,
    timeout='2000ms',
    max_connections=50,
    idle_timeout='5000ms',
    header_timeout='1000ms',
    max_body_bytes=100000,
):
    """Return a configuration document in the form operators publish."""
    routes = [
        _route('claims', 'unsafe', False, timeout),
        _route('lookup', 'safe', False, timeout),
        _route('inner', 'safe', True, timeout),
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'claims',
                'healthPath': '/healthz',
                'maxConnections': max_connections,
                'protocol': 'h1',
                'tls': False,
                'coldStart': '3s',
                'coldPerS': 25.0,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': max_body_bytes,
            'headerTimeout': header_timeout,
            'idleTimeout': idle_timeout,
        },
        'tenants': [
            {
                'name': 'north',
                'apiKeys': list(keys),
                'ratePerS': rate_per_s,
                'burst': rate_per_s,
            }
        ],
    }


def _route(name, route_type, public, timeout):
    return {
        'name': f'r-{name}',
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'routeType': route_type,
        'timeout': timeout,
        'targetLatency': '1000ms',
        'priority': 1,
        'service': 'claims',
        'maxAttempts': 2,
        'public': public,
    }


class CallerResponse:
    """A response as received by a caller."""

    def __init__(self, response):
        """Read the whole response body."""
        self.status = response.status
        self.body = response.read()
        self.headers = dict(response.getheaders())

    def header(self, name):
        values = [
            value for key, value in self.headers.items() if key.lower() == name
        ]
        return values[0] if values else None


class PlatformFleet:
    """The stand-ins and `node_count` nodes, each as a process."""

    def __init__(
        self,
        node_count=2,
        proxies=None,
        domains=('east',),
        slots=10,
        max_descriptors=None,
        targets=None,
    ):
        """Set up a fleet; `start` assigns addresses and starts processes.

        Args:
            node_count: Number of nodes, each with a target.
            proxies: If given, each node reaches the store, its target and the
                other nodes through proxies named `store-N`, `target-N` and
                `peer-N`.
            domains: Failure domains that the nodes are spread over.
            slots: Calls that each target runs at the same time.
            max_descriptors: Limit of open descriptors of each node; None for
                that of this process.
            targets: Further settings of each target, by index of its node.
        """
        self.target_changes = targets or {}
        self.slots = slots
        self.max_descriptors = max_descriptors
        self.proxies = proxies
        self.domains = domains
        self.temp_directory = tempfile.TemporaryDirectory()
        self.node_count = node_count
        self.standin = None
        self.node_processes = {}

    def start(self, with_config=True):
        """Start all processes; with a configuration, wait until nodes serve.

        Another process may take a port between its assignment and its use.
        The process that needs the port then exits at once, and the whole
        fleet is started again with other ports.

        Args:
            with_config: Whether to publish a configuration first.

        Raises:
            AssertionError: Every start attempt failed.
        """
        for _ in range(MAX_START_ATTEMPTS):
            # Assign all ports at once: the system may reassign a released port.
            self._unused_addresses = iter(
                free_addresses(MAX_ADDRESSES_PER_NODE * self.node_count + 1)
            )
            self.store = next(self._unused_addresses)
            self.node_settings = [
                self._settings_of_node(node_index)
                for node_index in range(self.node_count)
            ]
            try:
                self._set_up_proxies()
                self._start_once(with_config)
            except (ProcessExitedError, OSError):
                self._kill_processes()
            else:
                return
        raise AssertionError('a process exited early in every start attempt')

    def target_address(self, node_index):
        """Return the address on which a target listens."""
        proxied = (
            self.proxies
            and self.proxies.by_name[f'target-{node_index}'].destination_address
        )
        return proxied or self.node_settings[node_index]['target_address']

    def _set_up_proxies(self):
        if self.proxies is None:
            return
        for node_index, node in enumerate(self.node_settings):
            store, target, peer = islice(self._unused_addresses, 3)
            self.proxies.add(
                f'store-{node_index}', store, node['store_address']
            )
            self.proxies.add(
                f'target-{node_index}', node['target_address'], target
            )
            self.proxies.add(f'peer-{node_index}', node['peer_address'], peer)
            node['store_address'] = store
            node['peer_listen_address'] = peer
        self.proxies.start()

    def _start_once(self, with_config):
        plan = {
            'store_address': self.store,
            'targets': [
                {
                    'target_id': f'i-{node_index}',
                    'service': 'claims',
                    'address': self.target_address(node_index),
                    'announced_address': node['target_address'],
                    'announce_to': node['announcement_address'],
                    'calls_to': node['caller_address'],
                    'child_host': HOST,
                    'slots': self.slots,
                    **self.target_changes.get(node_index, {}),
                }
                for node_index, node in enumerate(self.node_settings)
            ],
        }
        self.standin = subprocess.Popen(
            [sys.executable, '-m', 'rattanstile.standin.platform_fleet'],
            stdin=subprocess.PIPE,
            text=True,
        )
        self.standin.stdin.write(json.dumps(plan) + '\n')
        self.standin.stdin.flush()
        self.wait_until(lambda: self.send_order('calls') is not None)
        if with_config:
            self.publish(config_document())
        for node_index in range(len(self.node_settings)):
            self.start_node(node_index)
        if with_config:
            for node_index in range(len(self.node_settings)):
                self.wait_until_served(node_index)

    def start_node(self, node_index):
        """Start the process of one node and append its output to its log."""
        file_name = Path(self.temp_directory.name) / f'node-{node_index}.json'
        file_name.write_text(json.dumps(self.node_settings[node_index]))
        log_file = Path(
            self.temp_directory.name, f'node-{node_index}.log'
        ).open('ab')
        self.node_processes[node_index] = subprocess.Popen(
            [sys.executable, '-m', 'rattanstile.platform'],
            env={**os.environ, 'RATTANSTILE_BOOT': str(file_name)},
            stdout=log_file,
            preexec_fn=self._limit_descriptors,
        )
        log_file.close()

    def _limit_descriptors(self):
        if self.max_descriptors is not None:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def stop(self):
        """Kill the started processes and delete the temporary directory."""
        self._kill_processes()
        self.temp_directory.cleanup()

    def _kill_processes(self):
        for process in (*self.node_processes.values(), self.standin):
            if process is not None:
                process.kill()
                process.wait()
        if self.standin is not None and self.standin.stdin is not None:
            self.standin.stdin.close()
        self.standin = None
        self.node_processes = {}

    def _check_alive(self):
        for process in (self.standin, *self.node_processes.values()):
            if process.poll() not in {None, 0, -9}:
                raise ProcessExitedError

    def signal_node(self, node_index, signal_number=signal.SIGTERM):
        self.node_processes[node_index].send_signal(signal_number)

    def read_log(self, node_index):
        """Return the log of a node as text."""
        return Path(
            self.temp_directory.name, f'node-{node_index}.log'
        ).read_text()

    def publish(self, config):
        self.send_order('put/config', json.dumps(config))

    def send_order(self, order, body=''):
        """Send an order to the stand-ins; return None if unreachable."""
        try:
            response = _exchange(self.store, 'POST', f'/standin/{order}', body)
        except OSError:
            return None
        return json.loads(response.body)

    def call(self, node_index=0, path='/lookup/1', method='GET', **overrides):
        """Send a request to a node and return the response."""
        fields = {
            'key': API_KEY,
            'request_id': f'watch-{time.monotonic_ns():x}',
            'body': None,
            'deadline_ms': 2000,
            **overrides,
        }
        headers = {
            'Host': HOST,
            'Request-Id': fields['request_id'],
            'Request-Deadline-Ms': str(fields['deadline_ms']),
        }
        if fields['key']:
            headers['Authorization'] = f'Token {fields["key"]}'
        address = self.node_settings[node_index]['caller_address']
        return _exchange(address, method, path, fields['body'], headers)

    def run_count(self, request_id):
        """Return how often all targets together ran a request."""
        run_counts = self.send_order('runs')
        return sum(counts.get(request_id, 0) for counts in run_counts.values())

    def wait_until_served(self, node_index):
        self.wait_until(lambda: self._is_served(node_index))

    def wait_until(self, condition, polls=MAX_POLLS):
        """Poll until a condition holds.

        Raises:
            AssertionError: It did not hold within this number of polls.
            ProcessExitedError: A process exited by itself.
        """
        for _ in range(polls):
            if condition():
                return
            self._check_alive()
            time.sleep(POLL_PERIOD_S)
        raise AssertionError('the condition did not become true in time')

    def _is_served(self, node_index):
        try:
            return self.call(node_index).status == 200
        except OSError:
            return False

    def _settings_of_node(self, node_index):
        names = ('target', 'caller', 'peer', 'ready', 'announcement', 'metrics')
        addresses = zip(
            names, islice(self._unused_addresses, len(names)), strict=True
        )
        return {
            'node_id': f'node-{node_index}',
            'service': 'claims',
            'failure_domain': self.domains[node_index % len(self.domains)],
            **{f'{name}_address': address for name, address in addresses},
            'store_address': self.store,
            'grace': '6s',
            'rerun_ratio': 0.2,
            'rerun_slack': 49,
        }


def _exchange(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        return CallerResponse(connection.getresponse())
    finally:
        connection.close()
