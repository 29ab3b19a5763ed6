"""Load generator: many clients that hold what a node gives them."""

import selectors
import socket
import time
from collections import deque
from dataclasses import dataclass
from random import Random

from rattanstile.standin.crowd_shapes import (
    CrowdIdentity,
    CrowdShape,
    crowd_parts,
)

CONNECT_TIMEOUT_S = 5.0
READ_BYTES = 64 * 1024
STEP_S = 0.02
UNREAD_BUFFER_BYTES = 4096
"""Receive buffer of clients that don't read: answers stay at the node."""


@dataclass(frozen=True, slots=True)
class CrowdCounts:
    """How the clients of a crowd fared.

    Attributes:
        connected: Connections that were opened.
        refused: Connections that could not be opened.
        closed: Connections that the node has closed.
        sent_bytes: Bytes that the node's system took.
    """

    connected: int
    refused: int
    closed: int
    sent_bytes: int


class _Client:
    """One connection; it stays open until the node or the crowd closes it."""

    def __init__(
        self,
        address: tuple[str, int],
        shape: CrowdShape,
        parts: deque[bytes],
        first_due_s: float,
    ) -> None:
        self.socket = socket.socket()
        if not shape.reads:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        self.socket.settimeout(CONNECT_TIMEOUT_S)
        try:
            self.socket.connect(address)
        except OSError:
            self.socket.close()
            raise
        self.socket.setblocking(False)
        self.sent_bytes = 0
        self.is_closed = False
        self._shape = shape
        self._parts = parts
        self._due_s = first_due_s

    @property
    def has_parts(self) -> bool:
        """Return whether not everything is sent."""
        return bool(self._parts) and not self.is_closed

    def send(self, now_s: float) -> None:
        """Send what is due and what the connection takes."""
        while self.has_parts and now_s >= self._due_s:
            part = self._parts.popleft()
            try:
                sent = self.socket.send(part)
            except BlockingIOError:
                self._parts.appendleft(part)
                return
            except OSError:
                self.close()
                return
            self.sent_bytes += sent
            if sent < len(part):
                self._parts.appendleft(part[sent:])
            elif self._shape.parts_per_s:
                self._due_s += 1 / self._shape.parts_per_s

    def read(self) -> None:
        """Read and drop what the node has sent."""
        try:
            if not self.socket.recv(READ_BYTES):
                self.close()
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self.is_closed = True
        self.socket.close()


class Crowd:
    """Clients of one shape, in one thread.

    Args:
        address: Host and port of the listener.
        shape: What each client sends.
        identity: Host and key of the requests.
        seed: Seed of the order in which the clients send.
    """

    def __init__(
        self,
        address: str,
        shape: CrowdShape,
        identity: CrowdIdentity,
        seed: int,
    ) -> None:
        """Initialize without connections."""
        host, _, port = address.rpartition(':')
        self._address = (host, int(port))
        self._shape = shape
        self._identity = identity
        self._rng = Random(seed)
        self._seed = seed
        self._clients: list[_Client] = []
        self._refused = 0

    @property
    def counts(self) -> CrowdCounts:
        """Return how the clients have fared so far."""
        return CrowdCounts(
            connected=len(self._clients),
            refused=self._refused,
            closed=sum(client.is_closed for client in self._clients),
            sent_bytes=sum(client.sent_bytes for client in self._clients),
        )

    @property
    def is_sent(self) -> bool:
        """Return whether every client that is still connected sent all."""
        return not any(client.has_parts for client in self._clients)

    def connect(self) -> None:
        """Open all connections; those that fail are counted as refused."""
        now_s = time.monotonic()
        for number in range(self._shape.connections):
            parts = deque(
                crowd_parts(
                    self._shape, self._identity, f'c{self._seed}-{number}'
                )
            )
            first_due_s = now_s
            if self._shape.parts_per_s:
                first_due_s += self._rng.random() / self._shape.parts_per_s
            try:
                self._clients.append(
                    _Client(self._address, self._shape, parts, first_due_s)
                )
            except OSError:
                self._refused += 1

    def run(self, duration_s: float) -> None:
        """Send and read until all is sent, but no longer than a given time."""
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s and not self.is_sent:
            self.step()

    def hold(self, duration_s: float) -> None:
        """Send and read for a given time; connections stay open."""
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s:
            self.step()

    def step(self) -> None:
        """Send and read once."""
        now_s = time.monotonic()
        open_clients = [
            client for client in self._clients if not client.is_closed
        ]
        self._rng.shuffle(open_clients)
        with selectors.DefaultSelector() as selector:
            for client in open_clients:
                client.send(now_s)
                if not client.is_closed:
                    selector.register(
                        client.socket, selectors.EVENT_READ, client
                    )
            if not self._shape.reads or not selector.get_map():
                time.sleep(STEP_S)
                return
            for key, _ in selector.select(STEP_S):
                key.data.read()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()
