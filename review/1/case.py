"""Grows the configuration by many routes that clients then call."""

import asyncio
import itertools
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import (
    Deployment,
    Machine,
    configuration,
    route,
    run_case,
)
from wire import ClosedError, encode_request, exchange

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
READY_S = 1.0
MISSES_UNTIL_OUT = 2


def _routes(added: int) -> list[dict]:
    """Return the first routes and those that were added, all open to all."""
    routes = [
        route('deposit-charge', 'unsafe', 'till', public=True, priority=0),
        route('status-lookup', 'safe', 'repair-desk', public=True),
    ]
    for number in range(added):
        service = SERVICES[number % 2]
        routes.append(route(f'a{number}', 'unsafe', service, public=True))
    return routes


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Grow the configuration once; the rate of requests stays the same."""
    prefixes = [each['pathPrefix'] for each in _routes(0)]
    readiness = Readiness(deployment)
    questions = asyncio.create_task(readiness.ask())
    clients = asyncio.create_task(_send(deployment, prefixes, readiness))
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
    questions.cancel()
    asked = deployment.answers
    open_at_timeout = [each for each in asked if each.took_s > TIMEOUT_S]
    late = [
        each for each in open_at_timeout if each.took_s > TIMEOUT_S + SLACK_S
    ]
    never = [each for each in late if each.status == 0]
    is_broken = len(late) >= MIN_LATE and 2 * len(late) > len(open_at_timeout)
    if not is_broken:
        return []
    return [
        f'{len(open_at_timeout)} of {len(asked)} requests were unanswered at '
        f'the timeout of their route, {len(late)} of them half a second '
        f'later; {len(never)} were never answered. {readiness.missed} of '
        f'{readiness.asked} questions whether a node is ready got no answer '
        f'within {READY_S:.0f} s, at most {readiness.most_in_a_row} in a row'
    ]


class Readiness:
    """Asks each node once a second whether it is ready, as the platform does.

    Args:
        deployment: Its nodes are asked.
    """

    def __init__(self, deployment: Deployment) -> None:
        self.asked = 0
        self.missed = 0
        self.most_in_a_row = 0
        self._deployment = deployment
        self._misses = dict.fromkeys(
            (machine.name for machine in deployment.machines), 0
        )

    def takes_work(self, machine: Machine) -> bool:
        """Return whether the clients on a machine get new work."""
        zone = [
            each
            for each in self._deployment.machines
            if each.zone == machine.zone
        ]
        ready = sum(self._is_in(each) for each in zone)
        return self._is_in(machine) or 2 * ready < len(zone)

    async def ask(self) -> None:
        """Ask until it is cancelled."""
        await asyncio.gather(
            *(self._ask_node(each) for each in self._deployment.machines)
        )

    def _is_in(self, machine: Machine) -> bool:
        return self._misses[machine.name] < MISSES_UNTIL_OUT

    async def _ask_node(self, machine: Machine) -> None:
        encoded = encode_request('GET', '/v1/readyz', {'Host': 'node'})
        while True:
            began_s = time.monotonic()
            self.asked += 1
            try:
                answer = await exchange(
                    machine.address('ready'), encoded, READY_S
                )
                is_ready = answer.status == 200
            except ClosedError:
                is_ready = False
            self.missed += not is_ready
            misses = 0 if is_ready else self._misses[machine.name] + 1
            self._misses[machine.name] = misses
            self.most_in_a_row = max(self.most_in_a_row, misses)
            if not is_ready:
                self._deployment.note(f'{machine.name}: no answer: ready?')
            await asyncio.sleep(READY_S - (time.monotonic() - began_s))


async def _send(
    deployment: Deployment, prefixes: list[str], readiness: Readiness
) -> None:
    requests = set()
    for number in itertools.count():
        await asyncio.sleep(CLIENT_PERIOD_S)
        machine = deployment.machines[number % len(deployment.machines)]
        if not readiness.takes_work(machine):
            continue
        prefix = prefixes[number // len(deployment.machines) % len(prefixes)]
        method = 'GET' if prefix == '/status-lookup/' else 'POST'
        task = asyncio.create_task(
            deployment.request(
                machine, f'{prefix}7', method=method, deadline_ms=DEADLINE_MS
            )
        )
        requests.add(task)
        task.add_done_callback(requests.discard)


IS_TROUBLED = os.environ.get('TROUBLE') != '0'
"""With `TROUBLE=0` the case does the same without the disruption."""

run_case(
    FOLDER,
    SERVICES,
    configuration(7, _routes(0), {}),
    play,
    is_troubled=IS_TROUBLED,
)
