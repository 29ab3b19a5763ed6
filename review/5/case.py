"""Restarts a worker under its id after its clock jumped back; it drains."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, configuration, route, run_case

SERVICES = ['till', 'repair-desk'] * 3
ROUTES = [
    route('status-lookup', 'safe', 'repair-desk', public=True),
    route('deposit-charge', 'unsafe', 'till', public=True, priority=0),
]
STEP_MS = 2000
"""The clock of the machine jumps back by this."""
DOWN_S = 0.5
DRAIN_S = 2.0
STAYS_S = 6.0
"""The worker serves for `drain` after the acknowledgement and longer."""
WORK_S = 0.12
CLIENT_PERIOD_S = 0.04
IN_TOUCH_S = 4.0


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Restart a new worker of the till, and have it drain."""
    clients = asyncio.create_task(
        deployment.send_steadily(CLIENT_PERIOD_S)
    )
    machine = deployment.machines[0]
    machine.worker.crash()
    await asyncio.sleep(3.0)
    await deployment.start_worker(machine, 'i-new')
    await asyncio.sleep(0.5)
    machine.worker.crash()
    deployment.note('the new worker has crashed')
    await asyncio.sleep(DOWN_S)
    born_ms = int(time.time() * 1000)
    if is_troubled:
        born_ms -= STEP_MS
        deployment.note(f'the clock has jumped back by {STEP_MS} ms')
    worker = await deployment.start_worker(
        machine, 'i-new', born_ms=born_ms, work_s=WORK_S
    )
    await asyncio.sleep(IN_TOUCH_S)
    await worker.drain()
    acknowledged_s = worker.acknowledged_s['draining']
    deployment.note(f'`draining` of {worker.worker_id} is acknowledged')
    await asyncio.sleep(STAYS_S)
    await worker.deregister()
    worker.crash()
    deployment.note(f'{worker.worker_id} has deregistered and ends')
    await asyncio.sleep(1.0)
    clients.cancel()
    late = [
        run
        for run in deployment.runs
        if run.worker_id == worker.worker_id
        and run.at_s > acknowledged_s + DRAIN_S
    ]
    if not late:
        return []
    failed = {
        answer.request_id
        for answer in deployment.answers
        if answer.status == 502
    }
    lost = sum(run.request_id in failed for run in late)
    return [
        f'{len(late)} requests reached {worker.worker_id} later than `drain` '
        'after its leaving was acknowledged, the last '
        f'{late[-1].at_s - acknowledged_s:.2f} s after it; {lost} charges '
        'were running there when it ended and got 502'
    ]


run_case(FOLDER, SERVICES, configuration(7, ROUTES, {}), play)
