"""External faults: process signals, network faults, store failures."""

import signal
import time
from dataclasses import dataclass, replace
from enum import Enum, unique
from random import Random

from platform_fleet import HOST, config_document

from rattanstile.standin.crowd_shapes import (
    CROWD_SHAPES,
    CrowdIdentity,
    CrowdListener,
)
from rattanstile.trial.crowd import Crowd
from soak.wire import ProxyFault

MAX_STEP_PAUSE_S = 0.6
FAULT_DURATION_RANGE_S = (0.2, 2.0)
SOAK_CONNECTIONS = 40
"""Enough to hold a share of the memory, few enough for a small machine."""
STORE_FAULTS = ('down', 'slow', 'silent', 'answers-lost')


@unique
class Fault(Enum):
    """A fault; the method of `FaultInjector` named ``_VALUE`` injects it."""

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    WIRE = 'wire'
    RESET = 'reset'
    STORE = 'store'
    FORGET = 'forget'
    KEYS = 'keys'
    SERIES = 'series'
    CROWD = 'crowd'


@dataclass(frozen=True, slots=True)
class Step:
    """One injected fault, for the summary of the run.

    Attributes:
        fault: Kind of fault.
        node: Index of the node.
        detail: Fault parameters; empty if there are none.
    """

    fault: Fault
    node: int
    detail: str


class FaultInjector:
    """Injects a given number of faults, chosen at random from a seed.

    Attributes:
        active_keys: API keys that operators have not withdrawn.
        withdrawn_at_s: Time at which each other key was withdrawn, in seconds
            of the monotonic clock of the soak process.
        injected: All steps so far, in order.
    """

    def __init__(self, seed, fleet, proxies):
        """Start with one active key."""
        self.active_keys = {'key-north'}
        self.withdrawn_at_s = {}
        self.injected = []
        self._random = Random(seed)
        self._fleet = fleet
        self._proxies = proxies
        self._version = 1

    def run(self, steps):
        """Inject faults one after another; their effects may overlap."""
        for _ in range(steps):
            fault = self._random.choice(tuple(Fault))
            node_index = self._random.randrange(self._fleet.node_count)
            detail = getattr(self, f'_{fault.value}')(node_index) or ''
            self.injected.append(Step(fault, node_index, detail))
            time.sleep(self._random.uniform(0, MAX_STEP_PAUSE_S))

    def recover(self):
        """End all faults, and start the nodes that are down."""
        self._fleet.send_order('trouble/none')
        self._proxies.clear_faults()
        for name in self._proxies.by_name:
            self._proxies.reset(name)
        for node_index, process in self._fleet.node_processes.items():
            process.send_signal(signal.SIGCONT)
            if process.poll() is not None:
                self._fleet.start_node(node_index)

    # One method per fault, looked up by the value of the fault.

    def _kill(self, node_index):
        self._fleet.node_processes[node_index].kill()
        self._restart(node_index)

    def _stop(self, node_index):
        self._fleet.node_processes[node_index].send_signal(signal.SIGTERM)
        if self._random.random() < 0.3:
            # A second signal arrives, then the node is killed while it drains.
            self._fleet.node_processes[node_index].send_signal(signal.SIGTERM)
            time.sleep(self._random.uniform(0, MAX_STEP_PAUSE_S))
            self._fleet.node_processes[node_index].kill()
        self._restart(node_index)

    def _pause(self, node_index):
        process = self._fleet.node_processes[node_index]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(*FAULT_DURATION_RANGE_S))
        process.send_signal(signal.SIGCONT)

    def _wire(self, node_index):
        name = self._proxy_name(node_index)
        proxy_fault = self._random.choice(tuple(ProxyFault))
        self._proxies.by_name[name].active_fault = proxy_fault
        if self._random.random() < 0.5:
            time.sleep(self._random.uniform(*FAULT_DURATION_RANGE_S))
            self._proxies.by_name[name].active_fault = ProxyFault.NONE
        return f'{name} {proxy_fault.value}'

    def _reset(self, node_index):
        name = self._proxy_name(node_index)
        self._proxies.reset(name)
        return name

    def _store(self, node_index):
        store_fault = self._random.choice(STORE_FAULTS)
        self._fleet.send_order(f'trouble/{store_fault}')
        if self._random.random() < 0.6:
            time.sleep(self._random.uniform(*FAULT_DURATION_RANGE_S))
            self._fleet.send_order('trouble/none')
        return store_fault

    def _forget(self, node_index):
        self._fleet.send_order('forget')

    def _keys(self, node_index):
        """Publish a new key and, in half of the cases, withdraw the others."""
        self._version += 1
        key = f'key-{self._version}'
        published_keys = {key}
        if self._random.random() < 0.5:
            published_keys |= self.active_keys
        self._fleet.publish(
            config_document(version=self._version, keys=published_keys)
        )
        now_s = time.monotonic()
        for withdrawn_key in self.active_keys - published_keys:
            self.withdrawn_at_s[withdrawn_key] = now_s
        self.active_keys -= self.active_keys - published_keys
        self.active_keys.add(key)
        return ','.join(sorted(published_keys))

    def _series(self, node_index):
        """Kill and restart the same node three times."""
        for _ in range(3):
            self._kill(node_index)
            time.sleep(self._random.uniform(0, MAX_STEP_PAUSE_S))

    def _crowd(self, node_index):
        """Have clients hold memory and connections for a short time."""
        shape = self._random.choice(CROWD_SHAPES)
        shape = replace(shape, connections=SOAK_CONNECTIONS)
        node = self._fleet.node_settings[node_index]
        address = {
            CrowdListener.CALLERS: node['caller_address'],
            CrowdListener.NODES: node['peer_address'],
            CrowdListener.ANNOUNCEMENTS: node['announcement_address'],
        }[shape.listener]
        crowd = Crowd(
            address, shape, CrowdIdentity(HOST), self._random.randrange(1000)
        )
        try:
            crowd.connect()
            crowd.run(self._random.uniform(*FAULT_DURATION_RANGE_S))
        finally:
            crowd.close()
        return shape.name

    def _proxy_name(self, node_index):
        kind = self._random.choice(('store', 'target', 'peer'))
        return f'{kind}-{node_index}'

    def _restart(self, node_index):
        process = self._fleet.node_processes[node_index]
        process.send_signal(signal.SIGCONT)
        process.wait()
        self._fleet.start_node(node_index)
