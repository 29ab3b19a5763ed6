"""A small fleet of real processes on the platform's stand-ins."""

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from itertools import islice
from pathlib import Path

MOST_TRIES = 200
MOST_STARTS = 5
MOST_ADDRESSES = 9
"""Of a node, with those of its wires."""
PAUSE_S = 0.05
HOST = 'forest.example'
KEY = 'key-north'


class ProcessEndedError(Exception):
    """A process that was started has ended by itself."""


def free_addresses(count):
    """Return addresses whose ports the system has just given out."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    found = [f'127.0.0.1:{one.getsockname()[1]}' for one in sockets]
    for one in sockets:
        one.close()
    return found


def document(version=1, keys=(KEY,), rate_per_s=5000, services=('claims',)):
    """Return a configuration as operators publish it."""
    routes = [
        _route('claims', 'unsafe', False),
        _route('lookup', 'safe', False),
        _route('inner', 'safe', True),
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'claims',
                'healthPath': '/healthz',
                'maxConnections': 50,
                'protocol': 'h1',
                'tls': False,
                'coldStart': '3s',
                'coldPerS': 25.0,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 100000,
            'headerTimeout': '1000ms',
            'idleTimeout': '5000ms',
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


def _route(name, kind, public):
    return {
        'name': f'r-{name}',
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'routeType': kind,
        'timeout': '2000ms',
        'targetLatency': '1000ms',
        'priority': 1,
        'service': 'claims',
        'maxAttempts': 2,
        'public': public,
    }


class Answer:
    """What a caller got."""

    def __init__(self, response):
        """Read the response whole."""
        self.status = response.status
        self.body = response.read()
        self.headers = dict(response.getheaders())

    def header(self, name):
        found = [
            text for key, text in self.headers.items() if key.lower() == name
        ]
        return found[0] if found else None


class PlatformFleet:
    """The stand-ins and `count` nodes, as processes."""

    def __init__(self, count=2, wires=None):
        """`start` chooses addresses and starts the processes.

        With `wires`, each node reaches the store, its target and the other
        nodes through proxies: `store-N`, `target-N` and `peer-N`.
        """
        self.wires = wires
        self.folder = tempfile.TemporaryDirectory()
        self.count = count
        self.standin = None
        self.running = {}

    def start(self, published=True):
        """Start everything and wait until it serves.

        Another process may take a port between its choice and its use; then
        a process ends at once, and all begin anew with other ports.
        """
        for _ in range(MOST_STARTS):
            # All at once: one that is let go may be given out again.
            self._free = iter(free_addresses(MOST_ADDRESSES * self.count + 1))
            self.store = next(self._free)
            self.nodes = [
                self._settings(number) for number in range(self.count)
            ]
            self._lay_wires()
            try:
                self._start_once(published)
            except ProcessEndedError:
                self._end_processes()
            else:
                return
        raise AssertionError('no ports were left')

    def target_address(self, number):
        """Return where a target listens."""
        wired = self.wires and self.wires.by_name[f'target-{number}'].target
        return wired or self.nodes[number]['target_address']

    def _lay_wires(self):
        if self.wires is None:
            return
        for number, node in enumerate(self.nodes):
            store, target, peer = islice(self._free, 3)
            self.wires.add(f'store-{number}', store, node['store_address'])
            self.wires.add(f'target-{number}', node['target_address'], target)
            self.wires.add(f'peer-{number}', node['peer_address'], peer)
            node['store_address'] = store
            node['peer_listen_address'] = peer
        self.wires.start()

    def _start_once(self, published):
        plan = {
            'store_address': self.store,
            'targets': [
                {
                    'target_id': f'i-{number}',
                    'service': 'claims',
                    'address': self.target_address(number),
                    'announced_address': node['target_address'],
                    'announce_to': node['announcement_address'],
                    'calls_to': node['caller_address'],
                    'child_host': HOST,
                }
                for number, node in enumerate(self.nodes)
            ],
        }
        self.standin = subprocess.Popen(
            [sys.executable, '-m', 'rattanstile.standin.platform_fleet'],
            stdin=subprocess.PIPE,
            text=True,
        )
        self.standin.stdin.write(json.dumps(plan) + '\n')
        self.standin.stdin.flush()
        self.until(lambda: self.order('calls') is not None)
        if published:
            self.publish(document())
        for number in range(len(self.nodes)):
            self.start_node(number)
        if published:
            for number in range(len(self.nodes)):
                self.until_served(number)

    def start_node(self, number):
        """Start one node."""
        file_name = Path(self.folder.name) / f'node-{number}.json'
        file_name.write_text(json.dumps(self.nodes[number]))
        log = Path(self.folder.name, f'node-{number}.log').open('ab')
        self.running[number] = subprocess.Popen(
            [sys.executable, '-m', 'rattanstile.platform'],
            env={**os.environ, 'RATTANSTILE_BOOT': str(file_name)},
            stdout=log,
        )
        log.close()

    def stop(self):
        """End the processes that were started."""
        self._end_processes()
        self.folder.cleanup()

    def _end_processes(self):
        for process in (*self.running.values(), self.standin):
            if process is not None:
                process.kill()
                process.wait()
        if self.standin is not None:
            self.standin.stdin.close()
        self.standin = None
        self.running = {}

    def _check_alive(self):
        for process in (self.standin, *self.running.values()):
            if process.poll() not in {None, 0, -9}:
                raise ProcessEndedError

    def signal(self, number, sent=signal.SIGTERM):
        self.running[number].send_signal(sent)

    def log(self, number):
        """Return a node's lines."""
        return Path(self.folder.name, f'node-{number}.log').read_text()

    def publish(self, config):
        self.order('put/config', json.dumps(config))

    def order(self, order, body=''):
        """Give the stand-ins an order."""
        try:
            found = _exchange(self.store, 'POST', f'/standin/{order}', body)
        except OSError:
            return None
        return json.loads(found.body)

    def call(self, number=0, path='/lookup/1', method='GET', **changes):
        """Make a request at a node."""
        fields = {
            'key': KEY,
            'request_id': f'watch-{time.monotonic_ns():x}',
            'body': None,
            'deadline_ms': 2000,
            **changes,
        }
        headers = {
            'Host': HOST,
            'Request-Id': fields['request_id'],
            'Request-Deadline-Ms': str(fields['deadline_ms']),
        }
        if fields['key']:
            headers['Authorization'] = f'Token {fields["key"]}'
        address = self.nodes[number]['caller_address']
        return _exchange(address, method, path, fields['body'], headers)

    def runs(self, request_id):
        """Return how often the targets ran a request."""
        found = self.order('runs')
        return sum(runs.get(request_id, 0) for runs in found.values())

    def until_served(self, number):
        self.until(lambda: self._is_served(number))

    def until(self, is_true):
        """Wait, for a bounded number of tries, until something holds."""
        for _ in range(MOST_TRIES):
            if is_true():
                return
            self._check_alive()
            time.sleep(PAUSE_S)
        raise AssertionError('it did not become so')

    def _is_served(self, number):
        try:
            return self.call(number).status == 200
        except OSError:
            return False

    def _settings(self, number):
        names = ('target', 'caller', 'peer', 'ready', 'announcement', 'metrics')
        addresses = zip(names, islice(self._free, len(names)), strict=True)
        return {
            'node_id': f'node-{number}',
            'service': 'claims',
            'failure_domain': 'east',
            **{f'{name}_address': found for name, found in addresses},
            'store_address': self.store,
            'grace': '6s',
            'rerun_ratio': 0.2,
            'rerun_slack': 49,
        }


def _exchange(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        return Answer(connection.getresponse())
    finally:
        connection.close()
