"""Live: a declaration reaches 14 node processes while a reader is killed.

Run by hand as ``python -m bench.configuration_live``; it needs a machine that
is not busy and stays out of the timing of CI.
"""

import os
import sys
import time
from collections.abc import Iterator
from random import Random
from urllib.request import Request, urlopen

import msgspec

from bench.row import Row
from rattanstile.process.configuration.relay_tree import RelayTree
from rattanstile.request.ids import NodeId, PlanId, RecordId, VersionNumber
from rattanstile.trial.deployments import VEDLOTT, declaration_of
from rattanstile.trial.fleet import Fleet, Worker, running_fleet
from rattanstile.version.change import change_between
from rattanstile.version.declaration import Declaration
from rattanstile.version.keys import make_key
from rattanstile.version.records import ConfigurationRecord, encode_record

ROUNDS = 20
FIRST_HOPS = 10
IN_FORCE_BOUND_S = 4.0
GIVE_UP_S = 30.0
POLL_S = 0.02
KILL_BEFORE_S = 0.05
REQUEST_TIMEOUT_S = 5.0


class LiveConfiguration:
    """The nodes of one deployment, and the versions seen at each."""

    def __init__(self, fleet: Fleet) -> None:
        """Begin before the first version."""
        self.fell = 0
        self._fleet = fleet
        self._random = Random(1)
        self._version = 0
        self._declaration = Declaration()
        self._seen: dict[str, int] = {}

    def accept(self, declaration: Declaration) -> None:
        """Append the next version to the log."""
        record = ConfigurationRecord(
            record_id=RecordId(f'live-{self._version}'),
            base=VersionNumber(self._version),
            plan_id=PlanId(f'live-{self._version}'),
            change=change_between(self._declaration, declaration),
        )
        address = self._fleet.log_address
        request = Request(
            f'http://{address}/streams/configuration/records',
            data=encode_record(record),
        )
        with urlopen(request, timeout=REQUEST_TIMEOUT_S) as answer:
            answer.read()
        self._declaration = declaration
        self._version += 1

    def in_force_after_s(self) -> float:
        """Wait until every running node has the version; infinite if never."""
        began_s = time.monotonic()
        while time.monotonic() - began_s < GIVE_UP_S:
            if all([self._has_version(one) for one in self._running()]):
                return time.monotonic() - began_s
            time.sleep(POLL_S)
        return float('inf')

    def a_reader(self) -> Worker:
        """Return a node that reads the log for its failure domain."""
        readers = [one for one in self._running() if self._reads_log(one)]
        return self._random.choice(readers)

    def kill(self, worker: Worker) -> None:
        """End a node without warning."""
        worker.running_node.kill()
        self._seen.pop(worker.name, None)

    def start_again(self, worker: Worker) -> None:
        """Start a node anew and wait until it has the version."""
        self._fleet.start_node(worker)
        self.in_force_after_s()

    def _running(self) -> Iterator[Worker]:
        for worker in self._fleet.workers:
            if worker.node is not None and worker.node.alive:
                yield worker

    def _reads_log(self, worker: Worker) -> bool:
        near = [
            NodeId(one.name) for one in self._fleet.of_domain(worker.domain)
        ]
        return RelayTree(NodeId(worker.name), near).reads_log

    def _has_version(self, worker: Worker) -> bool:
        try:
            status = self._fleet.status(worker)
        except OSError:
            return False
        version = int(str(status['version']))
        self.fell += version < self._seen.get(worker.name, 0)
        self._seen[worker.name] = version
        return version >= self._version


def rows() -> list[Row]:
    """Confirm `ROUNDS` declarations, killing a reader at each."""
    os.environ.setdefault('PYTHONPATH', 'src')
    took_s = []
    with running_fleet(VEDLOTT) as fleet:
        fleet.start_all_nodes()
        live = LiveConfiguration(fleet)
        keys = {name: make_key().digest for name in VEDLOTT.organisations}
        declaration = declaration_of(VEDLOTT, keys)
        live.accept(declaration)
        live.in_force_after_s()
        for turn in range(ROUNDS):
            reader = live.a_reader()
            if turn % 2:
                live.kill(reader)
                time.sleep(KILL_BEFORE_S)
            live.accept(_changed(declaration, turn))
            if reader.running_node.alive:
                live.kill(reader)
            took_s.append(live.in_force_after_s())
            sys.stdout.write(f'{turn}: {took_s[-1]:.2f} s\n')
            sys.stdout.flush()
            live.start_again(reader)
    late = sum(one_s > IN_FORCE_BOUND_S for one_s in took_s)
    return [
        Row(
            case=f'configuration live: reader killed, {ROUNDS} times',
            figure=(
                f'slowest {max(took_s):.2f} s, {late} late,'
                f' {live.fell} versions fell'
            ),
            bound=f'{IN_FORCE_BOUND_S:.0f} s at every node, 0 fell',
            held=not late and not live.fell,
        )
    ]


def _changed(declaration: Declaration, turn: int) -> Declaration:
    return msgspec.structs.replace(declaration, max_hops=FIRST_HOPS + turn)


if __name__ == '__main__':
    for row in rows():
        print(row)
