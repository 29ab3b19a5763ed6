"""One seeded run of the soak."""

import time
from collections import Counter

from platform_fleet import PlatformFleet

from soak.callers import Caller, Records
from soak.checks import Broken, broken_promises, summary
from soak.faults import Saboteur
from soak.wire import Wires

NODES = 5
CALLERS_EACH = 2
REVOKE_S = 5.0
"""Within this time no node in touch admits a key that was taken away."""


def run_soak(seed, steps, nodes=NODES):
    """Play one run; return the promises broken and a summary.

    Args:
        seed: Of the faults and the callers.
        steps: Faults to do.
        nodes: Nodes, each with a target.
    """
    wires = Wires()
    fleet = PlatformFleet(nodes, wires)
    try:
        return _run(seed, steps, fleet, wires)
    finally:
        fleet.stop()
        wires.stop()


def _run(seed, steps, fleet, wires):
    fleet.start()
    saboteur = Saboteur(seed, fleet, wires)
    records = Records()
    callers = [
        Caller(
            f's{seed}-{number}-{one}',
            fleet.nodes[number]['caller_address'],
            saboteur.keys,
            records,
        )
        for number in range(fleet.count)
        for one in range(CALLERS_EACH)
    ]
    for caller in callers:
        caller.start()
    saboteur.run(steps)
    saboteur.settle()
    broken = list(_not_recovered(fleet, saboteur))
    for caller in callers:
        caller.is_over = True
    for caller in callers:
        caller.join()
    time.sleep(1)
    runs = Counter()
    for counts in fleet.order('runs').values():
        runs.update(counts)
    broken.extend(broken_promises(records.asked, runs))
    steps_done = ' '.join(
        f'{step.fault.value}@{step.number}{step.detail and f"({step.detail})"}'
        for step in saboteur.done
    )
    return broken, f'{summary(records.asked)} steps: {steps_done}'


def _not_recovered(fleet, saboteur):
    """Yield what is not as it was once all faults are over."""
    key = sorted(saboteur.keys)[0]
    for number in range(fleet.count):
        for status, used in (
            (200, key),
            *((401, k) for k in saboteur.withdrawn),
        ):
            try:
                fleet.until(lambda: _status(fleet, number, used) == status)
            except AssertionError:
                got = _status(fleet, number, used)
                yield Broken(
                    'recovers', f'node {number} key {used}: {got}, not {status}'
                )


def _status(fleet, number, key):
    try:
        request_id = f'watch-{time.monotonic_ns():x}'
        return fleet.call(number, key=key, request_id=request_id).status
    except OSError:
        return 0
