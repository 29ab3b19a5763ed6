"""A worker as `PROTOCOL.md` describes it, for one machine.

Reads its plan as a line of JSON from standard input, then orders, one a line:
`deregister` (it deregisters first and goes on serving, and its health check
fails from then on), `late` (the last heartbeat that it had sent before, which
was held up, arrives now) and `report`. It writes one line of JSON for each
acknowledgement and each report. Times are monotonic seconds of the machine.

With `answer_bytes` its answers have that many bytes, which repeat the id of the
request, in chunks with `is_chunked`. With `extra_every` each answer of that number
is followed by a second one to the same request (`garble`, `how = "extra"`).
"""

import asyncio
import json
import sys
import time

HEARTBEAT_S = 1.5
SLOTS = 143
WORK_S = 0.3


class Worker:
    def __init__(self, plan):
        self.plan = plan
        self.born_ms = int(time.time() * 1000)
        self.sequence = 0
        self.is_leaving = False
        self.held_beat = None
        self.runs = []
        self.garbled = []

    async def serve(self):
        host, _, port = self.plan['address'].rpartition(':')
        await asyncio.start_server(self._connected, host, int(port))
        asyncio.ensure_future(self._beat())
        reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
        )
        while line := await reader.readline():
            await self._obey(line.decode().strip())

    async def _obey(self, order):
        if order == 'deregister':
            # One more heartbeat is on its way, and is held up.
            self.sequence += 1
            self.held_beat = self._heartbeat()
            self.is_leaving = True
            status = await self._post(
                'deregister', {'born': self.born_ms}
            )
            write(event='deregistered', status=status, at_s=time.monotonic())
        elif order == 'late':
            status = await self._post('heartbeat', self.held_beat)
            write(event='late_heartbeat', status=status, at_s=time.monotonic())
        elif order == 'report':
            write(
                event='report', runs=self.runs, garbled=self.garbled
            )

    async def _beat(self):
        while not self.is_leaving:
            self.sequence += 1
            await self._post('heartbeat', self._heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def _heartbeat(self):
        return {
            'address': self.plan['address'],
            'born': self.born_ms,
            'info': {
                'service': self.plan['service'],
                'version': 'v1',
                'zone': self.plan['zone'],
                'slots': SLOTS,
            },
            'status': {
                'state': 'ready',
                'sequence': self.sequence,
                'coldRemaining': '0ms',
            },
        }

    async def _post(self, what, body):
        host, _, port = self.plan['control'].rpartition(':')
        encoded = json.dumps(body).encode()
        path = f'/v1/instances/{self.plan["id"]}/{what}'
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'POST {path} HTTP/1.1\r\nHost: node\r\n'
                f'Content-Type: application/json\r\nConnection: close\r\n'
                f'Content-Length: {len(encoded)}\r\n\r\n'.encode()
                + encoded
            )
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return int(line.split()[1]) if line else 0
        except (OSError, asyncio.TimeoutError):
            return 0

    async def _connected(self, reader, writer):
        try:
            while True:
                request = await reader.readuntil(b'\r\n\r\n')
                await self._answer(request, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def _answer(self, request, reader, writer):
        lines = request.decode('latin-1').split('\r\n')
        path = lines[0].split()[1]
        headers = dict(
            (name.lower(), content.strip())
            for name, _, content in (line.partition(':') for line in lines[1:])
        )
        await reader.readexactly(int(headers.get('content-length', '0')))
        own = self.plan['id']
        if path == '/healthz':
            status = 503 if self.is_leaving else 200
            self._respond(writer, status, f'Instance-Id: {own}\r\n')
            return
        request_id = headers.get('request-id', '')
        echoed = f'Request-Id: {request_id}\r\n'
        if headers.get('expect-instance', own) != own:
            self._respond(writer, 421, echoed)
            return
        self.runs.append([request_id, time.monotonic()])
        await asyncio.sleep(self.plan.get('work_s', WORK_S))
        signed = echoed + 'Response-Signature: s1\r\n'
        size_bytes = self.plan.get('answer_bytes', 2)
        body = f'{request_id}-' * (size_bytes // (len(request_id) + 1) + 1)
        body = body[:size_bytes]
        self._respond(writer, 200, signed, body)
        extra_every = self.plan.get('extra_every')
        if extra_every and len(self.runs) % extra_every == 0:
            self.garbled.append(request_id)
            self._respond(writer, 200, signed, body)

    def _respond(self, writer, status, headers, body=''):
        framing = f'Content-Length: {len(body)}'
        if body and self.plan.get('is_chunked'):
            framing = 'Transfer-Encoding: chunked'
            body = f'{len(body):x}\r\n{body}\r\n0\r\n\r\n'
        writer.write(
            f'HTTP/1.1 {status} -\r\n{headers}{framing}\r\n\r\n{body}'.encode()
        )


def write(**fields):
    print(json.dumps(fields), flush=True)


if __name__ == '__main__':
    asyncio.run(Worker(json.loads(sys.stdin.readline())).serve())
