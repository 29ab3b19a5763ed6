"""A node is killed after it has acknowledged that its worker leaves."""

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
LEAVING = 1
CALLERS = (4, 0)
STORE_DOWN_S = 4.5
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
SERVES_ON_S = 15.0
"""As long as `scale_in` with `stay` has a worker serve on."""


def run(record, has_trouble):
    config = config_document(
        routes=[
            route('lookup', 'huvo11a', 'safe'),
            route('claims', 'wuno96b', 'unsafe'),
        ],
        tenants=[tenant('pulo780', 'key-pulo')],
    )
    with Deployment(record, config, SERVICES, {LEAVING: {}}) as deployment:
        worker = deployment.workers[LEAVING]
        clients = [
            Client(
                record,
                f'claim-{index}-{number}',
                deployment.address(index),
                'key-pulo',
                0.4,
                method='POST',
                path='/claims/1?ms=300',
                body=b'claim',
            )
            for index in CALLERS
            for number in range(10)
        ]
        for client in clients:
            client.start()
        time.sleep(3)
        if not worker.order('report')['runs']:
            raise CannotRunError('the worker gets no requests')
        in_touch_s, acknowledged_s = _leave(
            record, deployment, worker, has_trouble
        )
        end_s = acknowledged_s + SERVES_ON_S
        time.sleep(max(0, end_s - time.monotonic()))
        runs = worker.order('report')['runs']
        worker.process.kill()
        record.write('worker_exits')
        time.sleep(1)
        stop_clients(clients)
        _record_lost(record, clients, runs)
        return _is_broken(record, runs, acknowledged_s, in_touch_s)


def _record_lost(record, clients, runs):
    """Record the claims at which the worker was at work when it exited."""
    run_ids = {request_id for request_id, _ in runs}
    for client in clients:
        for request_id, (_, _, status) in client.by_id().items():
            if request_id in run_ids and status != 200:
                record.write('claim_lost', id=request_id, status=status)


def _leave(record, deployment, worker, has_trouble):
    """Have the worker leave; return when all are in touch and the ack."""
    store_back_s = time.monotonic()
    if has_trouble:
        deployment.order('trouble/down')
        record.write('store_down')
        store_back_s += STORE_DOWN_S
    time.sleep(0.3)
    answer = worker.order('deregister')
    record.write('deregistered', status=answer['status'])
    if answer['status'] != 200:
        raise CannotRunError('the departure was not acknowledged')
    acknowledged_s = answer['at_s']
    started_s = acknowledged_s
    if has_trouble:
        deployment.signal(LEAVING, signal.SIGKILL)
        record.write('node_killed', node=LEAVING)
        time.sleep(1)
        deployment.start_node(LEAVING)
        started_s = time.monotonic()
        time.sleep(max(0, store_back_s - time.monotonic()))
        deployment.order('trouble/none')
        record.write('store_back')
    time.sleep(max(0, acknowledged_s + STORE_DOWN_S - time.monotonic()))
    late = worker.order('late')
    record.write('late_heartbeat', status=late['status'])
    return max(store_back_s, started_s) + STABLE_WINDOW_S, acknowledged_s


def _is_broken(record, runs, acknowledged_s, in_touch_s):
    """Apply the rule DRAIN, for what was sent on by machines in touch."""
    after_s = max(acknowledged_s + DRAIN_S, in_touch_s)
    for request_id, at_s in runs:
        if at_s > acknowledged_s:
            record.write(
                'run_by_leaving_worker',
                id=request_id,
                after_ack_s=round(at_s - acknowledged_s, 3),
            )
    late = [request_id for request_id, at_s in runs if at_s > after_s]
    record.write(
        'counts',
        runs=len(runs),
        in_touch_after_ack_s=round(in_touch_s - acknowledged_s, 3),
        late=len(late),
    )
    print({'runs': len(runs), 'late': len(late)})
    return bool(late)


if __name__ == '__main__':
    main(run)
