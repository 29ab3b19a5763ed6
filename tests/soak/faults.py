"""Faults from outside: signals, harmed wires, troubles of the store."""

import signal
import time
from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from platform_fleet import document

from soak.wire import Harm

LONGEST_PAUSE_S = 0.6
HARM_S = (0.2, 2.0)
TROUBLES = ('down', 'slow', 'silent', 'answers-lost')


@unique
class Fault(Enum):
    """What can be done to a fleet."""

    KILL = 'kill'
    STOP = 'stop'
    PAUSE = 'pause'
    WIRE = 'wire'
    RESET = 'reset'
    STORE = 'store'
    FORGET = 'forget'
    KEYS = 'keys'
    SERIES = 'series'


@dataclass(frozen=True, slots=True)
class Step:
    """One fault, for the log of the run."""

    fault: Fault
    number: int
    detail: str


class Saboteur:
    """Does faults, drawn from a seed, until it has done enough.

    Attributes:
        keys: Those that operators have not taken away.
        withdrawn: When each other one was, by the clock of the soak.
        done: All steps.
    """

    def __init__(self, seed, fleet, wires):
        """Begin with one key."""
        self.keys = {'key-north'}
        self.withdrawn = {}
        self.done = []
        self._chance = Random(seed)
        self._fleet = fleet
        self._wires = wires
        self._version = 1

    def run(self, steps):
        """Do some steps; several may overlap."""
        for _ in range(steps):
            fault = self._chance.choice(tuple(Fault))
            number = self._chance.randrange(self._fleet.count)
            detail = getattr(self, f'_{fault.value}')(number) or ''
            self.done.append(Step(fault, number, detail))
            time.sleep(self._chance.uniform(0, LONGEST_PAUSE_S))

    def settle(self):
        """End all troubles, and start what is down."""
        self._fleet.order('trouble/none')
        self._wires.heal()
        for name in self._wires.by_name:
            self._wires.reset(name)
        for number, process in self._fleet.running.items():
            process.send_signal(signal.SIGCONT)
            if process.poll() is not None:
                self._fleet.start_node(number)

    # Faults

    def _kill(self, number):
        self._fleet.running[number].kill()
        self._restart(number)

    def _stop(self, number):
        self._fleet.running[number].send_signal(signal.SIGTERM)
        if self._chance.random() < 0.3:
            # It is told again, and then killed in the middle of its drain.
            self._fleet.running[number].send_signal(signal.SIGTERM)
            time.sleep(self._chance.uniform(0, LONGEST_PAUSE_S))
            self._fleet.running[number].kill()
        self._restart(number)

    def _pause(self, number):
        process = self._fleet.running[number]
        process.send_signal(signal.SIGSTOP)
        time.sleep(self._chance.uniform(*HARM_S))
        process.send_signal(signal.SIGCONT)

    def _wire(self, number):
        name = self._wire_name(number)
        harm = self._chance.choice(tuple(Harm))
        self._wires.by_name[name].harm = harm
        if self._chance.random() < 0.5:
            time.sleep(self._chance.uniform(*HARM_S))
            self._wires.by_name[name].harm = Harm.NONE
        return f'{name} {harm.value}'

    def _reset(self, number):
        name = self._wire_name(number)
        self._wires.reset(name)
        return name

    def _store(self, number):
        trouble = self._chance.choice(TROUBLES)
        self._fleet.order(f'trouble/{trouble}')
        if self._chance.random() < 0.6:
            time.sleep(self._chance.uniform(*HARM_S))
            self._fleet.order('trouble/none')
        return trouble

    def _forget(self, number):
        self._fleet.order('forget')

    def _keys(self, number):
        """Give out a key and, at times, take the others away."""
        self._version += 1
        key = f'key-{self._version}'
        kept = {key}
        if self._chance.random() < 0.5:
            kept |= self.keys
        self._fleet.publish(document(version=self._version, keys=kept))
        now_s = time.monotonic()
        for gone in self.keys - kept:
            self.withdrawn[gone] = now_s
        self.keys -= self.keys - kept
        self.keys.add(key)
        return ','.join(sorted(kept))

    def _series(self, number):
        """Hit the same node several times."""
        for _ in range(3):
            self._kill(number)
            time.sleep(self._chance.uniform(0, LONGEST_PAUSE_S))

    def _wire_name(self, number):
        kind = self._chance.choice(('store', 'target', 'peer'))
        return f'{kind}-{number}'

    def _restart(self, number):
        process = self._fleet.running[number]
        process.send_signal(signal.SIGCONT)
        process.wait()
        self._fleet.start_node(number)
