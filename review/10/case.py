"""A worker's heartbeat comes when its address has gone to another service."""

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

OLD_SERVICE = 'huvo11a'
NEW_SERVICE = 'wuno96b'
SERVICES = (OLD_SERVICE, NEW_SERVICE) * 3
REPLACED = 0
REUSE_DELAY_S = 2.0
LATE_S = 0.5
"""Time from the start of the new node to the late heartbeat."""
WATCH_S = 6.0
PERIOD_S = 0.02


def run(record, has_trouble):
    config = config_document(
        routes=[
            route('lookup', OLD_SERVICE, 'safe'),
            route('claims', NEW_SERVICE, 'unsafe'),
        ],
        tenants=[tenant('pulo780', 'key-pulo')],
    )
    workers = {index: {'work_s': 0.02} for index in range(len(SERVICES))}
    with Deployment(record, config, SERVICES, workers) as deployment:
        held_beat = deployment.workers[REPLACED].order('heartbeat')
        start = deployment.replace_machine(REPLACED, NEW_SERVICE)
        record.write('machine_lost', node=REPLACED, service=OLD_SERVICE)
        time.sleep(REUSE_DELAY_S)
        start()
        started_s = time.monotonic()
        record.write('machine_added', node=REPLACED, service=NEW_SERVICE)
        deployment.wait_until(lambda: deployment.ready(REPLACED))
        record.write('ready')
        time.sleep(max(0, started_s + LATE_S - time.monotonic()))
        if has_trouble:
            status = deployment.post_heartbeat(
                REPLACED, held_beat['id'], held_beat['body']
            )
            record.write('late_heartbeat', status=status)
        client = Client(
            record,
            'lookup',
            deployment.address(REPLACED),
            'key-pulo',
            PERIOD_S,
        )
        client.start()
        time.sleep(WATCH_S)
        stop_clients([client])
        return _is_broken(record, deployment)


def _is_broken(record, deployment):
    """Apply the rule UNASKED on the service of the caller's machine."""
    counts = {}
    for index, worker in deployment.workers.items():
        for request_id, _, caller in worker.order('report')['runs']:
            counts[caller] = counts.get(caller, 0) + 1
            if caller != NEW_SERVICE:
                record.write(
                    'run',
                    id=request_id,
                    worker=index,
                    caller_service=caller,
                    service_of_machine=NEW_SERVICE,
                )
    record.write('runs_by_caller_service', **counts)
    print(counts)
    if not counts:
        raise CannotRunError('no request was run')
    return any(caller != NEW_SERVICE for caller in counts)


if __name__ == '__main__':
    main(run)
