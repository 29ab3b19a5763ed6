"""One seeded run of the soak."""

import time
from collections import Counter

from platform_fleet import MAX_POLLS, POLL_PERIOD_S, PlatformFleet

from soak.callers import Caller, RequestLog
from soak.checks import Violation, find_violations, status_summary
from soak.faults import FaultInjector
from soak.wire import Proxies

DEFAULT_NODES = 6
DOMAINS = ('east', 'south', 'west')
CALLERS_PER_NODE = 2
MAX_KEY_WITHDRAWAL_S = 5.0
"""Time after the last fault by which no node admits a withdrawn key."""


def run_soak(seed, steps, node_count=DEFAULT_NODES):
    """Execute one run; return the violations and a summary as text.

    Args:
        seed: Seed of the random choices of faults and callers.
        steps: Number of faults to inject.
        node_count: Number of nodes, each with a target.
    """
    proxies = Proxies()
    fleet = PlatformFleet(node_count, proxies, DOMAINS)
    try:
        return _run(seed, steps, fleet, proxies)
    finally:
        fleet.stop()
        proxies.stop()


def _run(seed, steps, fleet, proxies):
    fleet.start()
    injector = FaultInjector(seed, fleet, proxies)
    request_log = RequestLog()
    callers = [
        Caller(
            f's{seed}-{node_index}-{caller_index}',
            fleet.node_settings[node_index]['caller_address'],
            injector.active_keys,
            request_log,
        )
        for node_index in range(fleet.node_count)
        for caller_index in range(CALLERS_PER_NODE)
    ]
    for caller in callers:
        caller.start()
    injector.run(steps)
    injector.recover()
    violations = list(_find_unrecovered(fleet, injector))
    for caller in callers:
        caller.is_stopping = True
    for caller in callers:
        caller.join()
    time.sleep(1)
    run_counts = Counter()
    for target_runs in fleet.send_order('runs').values():
        run_counts.update(target_runs)
    violations.extend(find_violations(request_log.requests, run_counts))
    steps_done = ' '.join(
        f'{step.fault.value}@{step.node}{step.detail and f"({step.detail})"}'
        for step in injector.injected
    )
    return (
        violations,
        f'{status_summary(request_log.requests)} steps: {steps_done}',
    )


def _find_unrecovered(fleet, injector):
    """Yield a violation for each node and key that has not recovered.

    After all faults, each node must admit an active key and refuse each
    withdrawn key.
    """
    active_key = sorted(injector.active_keys)[0]
    for node_index in range(fleet.node_count):
        withdrawal_polls = int(MAX_KEY_WITHDRAWAL_S / POLL_PERIOD_S)
        for status, key, polls in (
            *(
                (401, withdrawn_key, withdrawal_polls)
                for withdrawn_key in injector.withdrawn_at_s
            ),
            (200, active_key, MAX_POLLS),
        ):
            try:
                fleet.wait_until(
                    lambda: _status(fleet, node_index, key) == status, polls
                )
            except AssertionError:
                actual = _status(fleet, node_index, key)
                yield Violation(
                    'recovery',
                    f'node {node_index} key {key}: {actual}, not {status}',
                )


def _status(fleet, node_index, key):
    try:
        request_id = f'watch-{time.monotonic_ns():x}'
        return fleet.call(node_index, key=key, request_id=request_id).status
    except OSError:
        return 0
