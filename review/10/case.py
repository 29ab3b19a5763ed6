"""The settings change just after nodes were restarted, three times."""

import signal
import time

from deployment import (
    CannotRunError,
    Client,
    Deployment,
    config_document,
    main,
    route,
    stop_clients,
    tenant,
)

SERVICES = ('huvo11a', 'wuno96b', 'huvo11a', 'wuno96b', 'huvo11a', 'wuno96b')
RESTARTED = (0, 1)
ROUNDS = 3
RESTART_DELAY_S = 1.0
HUP_AFTER_S = 0.1
"""Time from the start of a process to the signal."""
GRACE_S = 6.0
ENDS_ALLOWED = 2


def run(record, has_trouble):
    config = config_document(
        routes=[
            route('lookup', 'huvo11a', 'safe'),
            route('claims', 'wuno96b', 'unsafe'),
        ],
        tenants=[tenant('pulo780', 'key-pulo')],
    )
    own_ends = dict.fromkeys(RESTARTED, 0)
    with Deployment(record, config, SERVICES) as deployment:
        clients = [
            Client(
                record,
                f'lookup-{index}',
                deployment.address(index),
                'key-pulo',
                0.2,
            )
            for index in range(len(SERVICES))
        ]
        for client in clients:
            client.start()
        for _ in range(ROUNDS):
            _restart(record, deployment)
            if has_trouble:
                time.sleep(HUP_AFTER_S)
                record.write('settings_changed')
                for index in range(len(SERVICES)):
                    deployment.signal(index, signal.SIGHUP)
            time.sleep(0.5)
            for index in RESTARTED:
                if not deployment.is_running(index):
                    own_ends[index] += 1
                    record.write(
                        'node_ended',
                        node=index,
                        exit=deployment.exit_code(index),
                    )
                    time.sleep(RESTART_DELAY_S)
                    deployment.start_node(index)
            for index in RESTARTED:
                deployment.wait_until(lambda index=index: deployment.ready(index))
            time.sleep(1)
        stop_clients(clients)
        runs = deployment.order('runs')
    record.write(
        'run_by_targets',
        **{name: sum(counts.values()) for name, counts in runs.items()},
    )
    for index, count in own_ends.items():
        record.write('ends_of_node', node=index, count=count)
    print({'ends': own_ends})
    return all(count > ENDS_ALLOWED for count in own_ends.values())


def _restart(record, deployment):
    """Stop the nodes with SIGTERM and start them again."""
    for index in RESTARTED:
        deployment.signal(index, signal.SIGTERM)
        record.write('node_stopped', node=index)
    end_s = time.monotonic() + GRACE_S
    while any(map(deployment.is_running, RESTARTED)):
        if time.monotonic() > end_s:
            raise CannotRunError('a node did not end after SIGTERM')
        time.sleep(0.05)
    time.sleep(RESTART_DELAY_S)
    for index in RESTARTED:
        deployment.start_node(index)


if __name__ == '__main__':
    main(run)
