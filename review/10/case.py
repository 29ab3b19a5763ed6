"""One tenant sends eight times its rate, with short deadlines."""

import asyncio
import bisect
import time

from deployment import (
    HOST,
    CannotRunError,
    Deployment,
    config_document,
    main,
    route,
    tenant,
)

SERVICES = ('huvo11a', 'wuno96b', 'huvo11a', 'wuno96b', 'huvo11a', 'wuno96b')
RATE_PER_S = 171
BURST = 171
TIMES_THE_RATE = 8
CONNECTIONS = 4
"""Kept connections of the tenant at each node."""
DEADLINE_MS = 20
USUAL_DEADLINE_MS = 5000
RUN_S = 20.0
QUOTA_WINDOW_S = 5.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20


class Tenant:
    """The tenant's clients.

    Attributes:
        served: When each request that was served was sent and answered.
        statuses: Number of answers by status.
    """

    def __init__(self, record, deadline_ms):
        self.served = []
        self.statuses = {}
        self._record = record
        self._deadline_ms = deadline_ms

    async def press(self, deployment):
        end_s = time.monotonic() + RUN_S
        await asyncio.gather(
            *(
                self._keep_sending(deployment.address(index), name, end_s)
                for index in range(len(SERVICES))
                for name in (f'{index}-{n}' for n in range(CONNECTIONS))
            )
        )

    async def _keep_sending(self, address, name, end_s):
        period_s = CONNECTIONS * len(SERVICES) / (RATE_PER_S * TIMES_THE_RATE)
        due_s = time.monotonic()
        writer = None
        count = 0
        while due_s < end_s:
            await asyncio.sleep(max(0, due_s - time.monotonic()))
            due_s = max(due_s + period_s, time.monotonic() - 0.2)
            count += 1
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(*address)
                status = await self._exchange(
                    f'{name}-{count}', reader, writer
                )
            except (OSError, asyncio.TimeoutError, EOFError) as error:
                status = type(error).__name__
                writer = None
            self.statuses[status] = self.statuses.get(status, 0) + 1

    async def _exchange(self, request_id, reader, writer):
        sent_s = time.monotonic()
        lines = (
            'GET /lookup/1 HTTP/1.1',
            f'Host: {HOST}',
            f'Request-Id: {request_id}',
            f'Request-Deadline-Ms: {self._deadline_ms}',
            'Authorization: Token key-pulo',
            '\r\n',
        )
        writer.write('\r\n'.join(lines).encode())
        head = await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 3)
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length: '):
                await reader.readexactly(int(line[16:]))
        answered_s = time.monotonic()
        status = int(head.split()[1])
        self._record.write('request', id=request_id, status=status)
        if status == 200:
            self.served.append((sent_s, answered_s))
        return status


def run(record, has_trouble):
    config = config_document(
        routes=[
            route('lookup', 'huvo11a', 'safe'),
            route('claims', 'wuno96b', 'unsafe'),
        ],
        tenants=[tenant('pulo780', 'key-pulo', RATE_PER_S)],
    )
    deadline_ms = DEADLINE_MS if has_trouble else USUAL_DEADLINE_MS
    with Deployment(record, config, SERVICES) as deployment:
        clients = Tenant(record, deadline_ms)
        asyncio.run(clients.press(deployment))
        if not clients.served:
            raise CannotRunError('nothing was served')
        runs = deployment.order('runs')
        record.write(
            'run_by_targets',
            **{name: sum(counts.values()) for name, counts in runs.items()},
        )
    most = _most_in_a_window(clients.served)
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * (1 + QUOTA_OVER)
    allowed += QUOTA_SLACK
    counts = {
        'most_in_a_window': most,
        'allowed': round(allowed, 1),
        'served_per_s': round(len(clients.served) / RUN_S, 1),
        'rate_per_s': RATE_PER_S,
    }
    record.write('counts', **counts)
    print(counts, clients.statuses)
    return most > allowed


def _most_in_a_window(served):
    """Return the most requests that were sent and answered in one window.

    What was answered has arrived and run before; others, which ran and were
    answered too late, aren't counted.
    """
    served.sort()
    sent_s = [sent for sent, _ in served]
    most = 0
    for first, begin_s in enumerate(sent_s):
        end_s = begin_s + QUOTA_WINDOW_S
        last = bisect.bisect_right(sent_s, end_s)
        within = sum(answered <= end_s for _, answered in served[first:last])
        most = max(most, within)
    return most


if __name__ == '__main__':
    main(run)
