"""Clients read their answers late; their machines stay healthy."""

import asyncio
import os
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from deployment import Deployment, configuration, route, run_case
from wire import ClosedError, encode_request, read_message

SERVICES = ['till', 'repair-desk'] * 3
ROUTES = [
    route(
        'deposit-charge',
        'unsafe',
        'till',
        public=True,
        priority=0,
        timeout='6000ms',
    ),
    route('status-lookup', 'safe', 'repair-desk', public=True),
]
ANSWER_BYTES = 9000
"""The longest answer to a charge in the site files."""
RECEIVE_BYTES = 4096
PAUSE_S = 4.0
DEADLINE_MS = 6000
CLIENTS = 6
CLOSED_ALLOWED = 3


async def play(deployment: Deployment, is_troubled: bool) -> list[str]:
    """Have clients pause before they read; without trouble they don't."""
    for machine in deployment.machines:
        machine.worker.padding_bytes = ANSWER_BYTES
    pause_s = PAUSE_S if is_troubled else 0
    ends = await asyncio.gather(
        *(
            _client(deployment, deployment.machines[number % 6], pause_s)
            for number in range(CLIENTS)
        )
    )
    cut = sum(not is_whole for is_whole in ends)
    if cut <= CLOSED_ALLOWED:
        return []
    return [f'{cut} of {len(ends)} kept connections closed without an answer']


async def _client(deployment, machine, pause_s) -> bool:
    """Return False if a charge that has run gets no whole answer."""
    host, _, port = machine.address('outbound').rpartition(':')
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2048)
    try:
        for wait_s in (0, pause_s):
            deployment.requests += 1
            request_id = f'{deployment.requests:016x}'
            headers = {
                'Host': 'clock.example',
                'Request-Id': request_id,
                'Request-Deadline-Ms': str(DEADLINE_MS),
            }
            if wait_s:
                writer.transport.pause_reading()
            writer.write(
                encode_request('POST', '/deposit-charge/7', headers, b'{}')
            )
            deployment.note(f'{machine.name}: sends {request_id}')
            sent_s = time.monotonic()
            if wait_s:
                await asyncio.sleep(wait_s)
                writer.transport.resume_reading()
            try:
                response = await read_message(reader)
            except ClosedError:
                deployment.note(
                    f'{machine.name}: {request_id} has no whole answer, '
                    f'{time.monotonic() - sent_s:.2f} s after it was sent'
                )
                return not any(
                    run.request_id == request_id for run in deployment.runs
                )
            deployment.note(
                f'{machine.name}: {request_id} gets {response.status} with '
                f'{len(response.body)} bytes, '
                f'{time.monotonic() - sent_s:.2f} s after it was sent'
            )
    finally:
        writer.transport.abort()
    return True


IS_TROUBLED = os.environ.get('TROUBLE') != '0'
"""With `TROUBLE=0` the case does the same without the disruption."""

run_case(
    FOLDER,
    SERVICES,
    configuration(7, ROUTES, {}),
    play,
    is_troubled=IS_TROUBLED,
)
