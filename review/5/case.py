"""A worker deregisters just after its node has started again."""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import (
    Deployment,
    Machine,
    NotRunnableError,
    configuration,
    route,
    run_case,
)

SERVICES = ['till', 'repair-desk'] * 3
ROUTES = [
    route('status-lookup', 'safe', 'repair-desk', public=True),
    route('deposit-charge', 'unsafe', 'till', public=True, priority=0),
]
GRACE_S = 6.0
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
"""After its start a machine is in touch again."""
LATE_S = 1.5
"""A heartbeat arrives as late as this."""
STAYS_S = 8.0
"""The worker serves for `drain` after the acknowledgement and longer."""
CLIENT_PERIOD_S = 0.04
USED_S = 10.0


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Restart a node; its worker leaves, and a heartbeat of it comes late.

    Without trouble the heartbeat comes at once.
    """
    clients = asyncio.create_task(deployment.send_steadily(CLIENT_PERIOD_S))
    machine = deployment.machines[0]
    worker = machine.worker
    worker.pause_heartbeats()
    await _restart_node(deployment, machine)
    in_touch_s = time.monotonic() + STABLE_WINDOW_S
    await _until_used(deployment, machine)
    heartbeat = worker.encoded_heartbeat()
    if not is_troubled:
        await worker.call_control(heartbeat)
        deployment.note('the heartbeat has arrived')
    if not await worker.deregister():
        raise NotRunnableError('the deregistration is not acknowledged')
    acknowledged_s = time.monotonic()
    deployment.note(f'the leaving of {worker.worker_id} is acknowledged')
    await asyncio.sleep(LATE_S)
    if is_troubled:
        await worker.call_control(heartbeat)
        deployment.note('the heartbeat that was sent before has arrived')
    await asyncio.sleep(STAYS_S - LATE_S)
    worker.crash()
    deployment.note(f'{worker.worker_id} ends')
    await asyncio.sleep(1.0)
    clients.cancel()
    late = [
        run
        for run in deployment.runs
        if run.worker_id == worker.worker_id
        and run.at_s > max(acknowledged_s + DRAIN_S, in_touch_s)
    ]
    if not late:
        return []
    return [
        f'{len(late)} requests reached {worker.worker_id} later than `drain` '
        'after its leaving was acknowledged, from machines in touch, the last '
        f'{late[-1].at_s - acknowledged_s:.2f} s after it'
    ]


async def _restart_node(deployment: Deployment, machine: Machine) -> None:
    """Stop a node as the platform does, and start it again."""
    machine.process.send_signal(signal.SIGTERM)
    deployment.note(f'SIGTERM to the node of {machine.name}')
    end_s = time.monotonic() + GRACE_S
    while machine.process.poll() is None and time.monotonic() < end_s:
        await asyncio.sleep(0.05)
    if machine.process.poll() is None:
        machine.process.kill()
        machine.process.wait()
    deployment.start_node(machine)
    deployment.note(f'the node of {machine.name} starts again')


async def _until_used(deployment: Deployment, machine: Machine) -> None:
    """Wait until the worker gets requests again."""
    known = len(deployment.runs)
    end_s = time.monotonic() + USED_S
    while time.monotonic() < end_s:
        await asyncio.sleep(0.05)
        if any(
            run.worker_id == machine.worker.worker_id
            for run in deployment.runs[known:]
        ):
            deployment.note(f'{machine.worker.worker_id} is used again')
            return
    raise NotRunnableError('the worker is not used after the restart')


IS_TROUBLED = os.environ.get('TROUBLE') != '0'
"""With `TROUBLE=0` the case does the same without the disruption."""

run_case(
    FOLDER,
    SERVICES,
    configuration(7, ROUTES, {}),
    play,
    is_troubled=IS_TROUBLED,
)
