"""Grows the configuration by many routes that clients then call."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, configuration, route, run_case

SERVICES = ['till', 'repair-desk'] * 3
ROUTES_ADDED = 350
"""`count` of `big_config` in the site files."""
TIMEOUT_S = 2.0
SLACK_S = 0.5
DEADLINE_MS = 6000
CLIENT_PERIOD_S = 0.015
BEFORE_S = 3.0
AFTER_S = 30.0
MIN_LATE = 8
SETTLE_S = 3.0


def _routes(added: int) -> list[dict]:
    """Return the first routes and those that were added, all open to all."""
    routes = [
        route('deposit-charge', 'unsafe', 'till', public=True, priority=0),
        route('status-lookup', 'safe', 'repair-desk', public=True),
    ]
    for number in range(added):
        service = SERVICES[number % 2]
        routes.append(route(f'a{number}', 'safe', service, public=True))
    return routes


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Grow the configuration once; the rate of requests stays the same."""
    prefixes = [each['pathPrefix'] for each in _routes(0)]
    clients = asyncio.create_task(_send(deployment, prefixes))
    await asyncio.sleep(BEFORE_S)
    if is_troubled:
        routes = _routes(ROUTES_ADDED)
        await deployment.store.put('config', configuration(12, routes, {}))
        deployment.note(f'{len(routes)} routes; acknowledged')
        await asyncio.sleep(SETTLE_S)
        prefixes[:] = [each['pathPrefix'] for each in routes]
        deployment.note('clients use the routes that were added')
    await asyncio.sleep(AFTER_S)
    clients.cancel()
    await asyncio.sleep(DEADLINE_MS / 1000 + SLACK_S)
    asked = [each for each in deployment.answers]
    open_at_timeout = [each for each in asked if each.took_s > TIMEOUT_S]
    late = [
        each
        for each in open_at_timeout
        if each.took_s > TIMEOUT_S + SLACK_S
    ]
    never = [each for each in late if each.status == 0]
    is_broken = len(late) >= MIN_LATE and 2 * len(late) > len(open_at_timeout)
    if not is_broken:
        return []
    return [
        f'{len(open_at_timeout)} of {len(asked)} requests were unanswered at '
        f'the timeout of their route, {len(late)} of them half a second '
        f'later; {len(never)} were never answered'
    ]


async def _send(deployment: Deployment, prefixes: list[str]) -> None:
    requests = set()
    for number in itertools.count():
        machine = deployment.machines[number % len(deployment.machines)]
        prefix = prefixes[number // len(deployment.machines) % len(prefixes)]
        method = 'POST' if prefix == '/deposit-charge/' else 'GET'
        task = asyncio.create_task(
            deployment.request(
                machine, f'{prefix}7', method=method, deadline_ms=DEADLINE_MS
            )
        )
        requests.add(task)
        task.add_done_callback(requests.discard)
        await asyncio.sleep(CLIENT_PERIOD_S)


run_case(FOLDER, SERVICES, configuration(7, _routes(0), {}), play)
