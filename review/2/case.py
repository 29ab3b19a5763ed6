"""Takes the last keys away, then asks for work without a valid key."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, configuration, route, run_case

SERVICES = ['repair-desk', 'till'] * 3
ROUTES = [
    route('status-lookup', 'safe', 'repair-desk'),
    route('deposit-charge', 'unsafe', 'till', priority=0),
]
TENANTS = {'zicu926': ['key-a'], 'pulo780': ['key-b'], 'lehu44b': ['key-c']}
KEYS = [key for keys in TENANTS.values() for key in keys]
GAP_S = 0.4
SETTLED_S = 5.0
"""`config` (2 s) after the acknowledgement, `revoke` (5 s) as well."""
WATCH_S = 4.0


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Take all keys away one by one; without trouble all but the last."""
    for machine in deployment.machines:
        for key in KEYS:
            await _ask(deployment, machine, key)
    remaining = {name: list(keys) for name, keys in TENANTS.items()}
    taken = KEYS if is_troubled else KEYS[:-1]
    for number, key in enumerate(taken):
        for keys in remaining.values():
            if key in keys:
                keys.remove(key)
        await deployment.store.put(
            'config', configuration(12 + 3 * number, ROUTES, remaining)
        )
        deployment.note(f'{key} is taken away; acknowledged')
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(SETTLED_S)
    settled_s = time.monotonic()
    deployment.note('the last version is in force')
    while time.monotonic() < settled_s + WATCH_S:
        for machine in deployment.machines:
            for key in (*taken, 'key-never-held', None):
                await _ask(deployment, machine, key)
        await asyncio.sleep(0.5)
    sent_late = {
        answer.request_id
        for answer in deployment.answers
        if answer.sent_s > settled_s
    }
    late_runs = [run for run in deployment.runs if run.request_id in sent_late]
    if not late_runs:
        return []
    return [
        f'{len(late_runs)} of {len(sent_late)} requests with a key that was '
        'taken away, with a key that was never held or without a key ran, '
        f'{sum(run.service == "till" for run in late_runs)} of them charges'
    ]


async def _ask(deployment, machine, key) -> None:
    await deployment.request(machine, '/status-lookup/7', key=key)
    await deployment.request(
        machine, '/deposit-charge/7', method='POST', key=key, body=b'{}'
    )


IS_TROUBLED = os.environ.get('TROUBLE') != '0'
"""With `TROUBLE=0` the case does the same without the disruption."""

run_case(
    FOLDER,
    SERVICES,
    configuration(7, ROUTES, TENANTS),
    play,
    is_troubled=IS_TROUBLED,
)
