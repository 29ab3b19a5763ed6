"""Stand-in of a worker beside a node."""

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field

from wire import (
    ClosedError,
    Message,
    Server,
    encode_request,
    encode_response,
    exchange,
)

HEARTBEAT_S = 1.5
ACK_S = 1.0
KEEP_ALIVE_S = 10
LEAVING = 'leaving'
"""After its deregistration, of which its heartbeats tell nothing."""


@dataclass(frozen=True)
class Run:
    """A request that a worker ran."""

    at_s: float
    worker_id: str
    service: str
    request_id: str
    path: str
    caller_service: str
    tenant: str


@dataclass
class Worker:
    """One incarnation of a worker.

    Attributes:
        control: Address of the node on its machine for heartbeats.
        work_s: Time that a run takes.
        padding_bytes: Length of what is added to each answer's body.
        born_ms: Start of the incarnation by the clock of its machine.
        first_heartbeat_s: Delay of the first heartbeat.
        runs: Receives what is run.
        acknowledged_s: When each call about its state was acknowledged, by
            the state that it told.
    """

    worker_id: str
    service: str
    address: str
    control: str
    zone: str
    runs: list[Run]
    slots: int = 20
    work_s: float = 0.05
    padding_bytes: int = 0
    born_ms: int = 0
    first_heartbeat_s: float = 0.0
    state: str = 'ready'
    acknowledged_s: dict[str, float] = field(default_factory=dict)

    async def start(self) -> None:
        """Serve and send heartbeats."""
        self.born_ms = self.born_ms or int(time.time() * 1000)
        self._free = asyncio.Semaphore(self.slots)
        self._sequence = itertools.count(1)
        self._server = Server(self.address, self._handle)
        await self._server.start()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def crash(self) -> None:
        """End at once; the connections are reset."""
        self._heartbeats.cancel()
        self._server.crash()

    async def drain(self) -> None:
        """Report `draining` until it is acknowledged."""
        self.state = 'draining'
        while not await self._send_heartbeat():
            await asyncio.sleep(0.2)

    async def deregister(self) -> bool:
        """Report that it leaves; return whether that is acknowledged."""
        self.state = LEAVING
        self._heartbeats.cancel()
        path = f'/v1/instances/{self.worker_id}/deregister'
        return await self.call_control(
            encode_request('POST', path, {'Host': 'node'})
        )

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.first_heartbeat_s)
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def pause_heartbeats(self) -> None:
        """Send no more heartbeats by itself."""
        self._heartbeats.cancel()

    def encoded_heartbeat(self) -> bytes:
        """Return the next heartbeat."""
        body = {
            'address': self.address,
            'born': self.born_ms,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': next(self._sequence),
                'coldRemaining': '0ms',
            },
        }
        return encode_request(
            'POST',
            f'/v1/instances/{self.worker_id}/heartbeat',
            {'Host': 'node', 'Content-Type': 'application/json'},
            json.dumps(body).encode(),
        )

    async def call_control(self, encoded: bytes) -> bool:
        """Send a call about its state; return whether it is acknowledged."""
        try:
            response = await exchange(self.control, encoded, ACK_S)
        except ClosedError:
            return False
        return 200 <= response.status < 300

    async def _send_heartbeat(self) -> bool:
        state = self.state
        is_acknowledged = await self.call_control(self.encoded_heartbeat())
        if is_acknowledged:
            self.acknowledged_s.setdefault(state, time.monotonic())
        return is_acknowledged

    async def _handle(self, request: Message) -> bytes:
        headers = request.headers
        if request.start[1] == '/healthz':
            status = 200 if self.state == 'ready' else 503
            return encode_response(status, {'Instance-Id': self.worker_id})
        request_id = headers.get('request-id', '')
        echoed = {'Request-Id': request_id}
        if not request_id:
            return encode_response(400, {'Not-Executed': '1'})
        if headers.get('expect-instance', self.worker_id) != self.worker_id:
            return encode_response(
                421, {**echoed, 'Instance-Id': self.worker_id}
            )
        async with self._free:
            self.runs.append(
                Run(
                    time.monotonic(),
                    self.worker_id,
                    self.service,
                    request_id,
                    request.start[1],
                    headers.get('caller-service', ''),
                    headers.get('tenant', ''),
                )
            )
            await asyncio.sleep(self.work_s)
        signed = {
            **echoed,
            'Response-Signature': f'sig-{request_id}',
            'Keep-Alive': f'timeout={KEEP_ALIVE_S}',
        }
        if self.state != 'ready':
            signed['Connection'] = 'close'
        return encode_response(
            200,
            signed,
            f'{self.service} ran {request_id}'.encode()
            + b'.' * self.padding_bytes,
        )
