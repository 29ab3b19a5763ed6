"""Transport of control messages between nodes over pynng sockets."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import logbook
import pynng
from twisted.internet.interfaces import IReactorFDSet, IReadDescriptor
from zope.interface import implementer

MAX_DIALLED_SOCKETS = 64
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
MAX_MESSAGES_PER_READ = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000

_log = logbook.Logger('control-bus')

MessageHandler = Callable[[bytes], None]


class ControlSender(Protocol):
    """Sends encoded messages to control addresses; may drop them."""

    def send(self, address: str, encoded: bytes) -> None:
        """Queue a message without blocking."""


@implementer(IReadDescriptor)
class ControlBus:
    """One listening socket and a bounded set of dialled sockets.

    A message to an unreachable or slow node is dropped: the protocols that
    use the bus recover from lost messages themselves. Beyond
    `MAX_DIALLED_SOCKETS` the least recently used socket is closed.
    """

    def __init__(self, host: str, port: int, receive: MessageHandler) -> None:
        """Open the listening socket."""
        self._receive = receive
        self._dialled: OrderedDict[str, pynng.Push0] = OrderedDict()
        self._listener = pynng.Pull0(
            listen=f'tcp://{host}:{port}',
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=MAX_MESSAGE_BYTES,
        )
        self._address = str(self._listener.listeners[0].local_address)
        self._descriptor = int(self._listener.recv_fd)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped = 0

    @property
    def address(self) -> str:
        """Return the listening address of the bus."""
        return self._address

    def send(self, address: str, encoded: bytes) -> None:
        """Queue a message without blocking; drop it if that fails."""
        try:
            self._socket_for(address).send(encoded, block=False)
        except pynng.NNGException as error:
            self.dropped += 1
            _log.debug(
                'event=control_dropped receiver={} why="{}"', address, error
            )
            return
        self.sent_bytes += len(encoded)

    def fileno(self) -> int:
        """Return the descriptor that is readable when a message waits."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name for logs of the reactor."""
        return 'control-bus'

    def doRead(self) -> None:  # noqa: N802
        """Handle waiting messages, at most `MAX_MESSAGES_PER_READ`."""
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                encoded = self._listener.recv(block=False)
            except pynng.NNGException:
                return
            self.received_bytes += len(encoded)
            self._handle_message(encoded)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Close every socket."""
        self.close()

    def close(self) -> None:
        """Close every socket."""
        self._descriptor = -1
        for socket in self._dialled.values():
            socket.close()
        self._dialled.clear()
        self._listener.close()

    def _handle_message(self, encoded: bytes) -> None:
        try:
            self._receive(encoded)
        except Exception:
            _log.exception('event=control_message_failed')

    def _socket_for(self, address: str) -> pynng.Push0:
        socket = self._dialled.get(address)
        if socket is None:
            socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            socket.reconnect_time_min = RECONNECT_MIN_MS
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(f'tcp://{address}', block=False)
            self._dialled[address] = socket
            self._evict_least_recently_used()
        self._dialled.move_to_end(address)
        return socket

    def _evict_least_recently_used(self) -> None:
        while len(self._dialled) > MAX_DIALLED_SOCKETS:
            _, evicted = self._dialled.popitem(last=False)
            evicted.close()


@contextmanager
def opened_control_bus(
    reactor: IReactorFDSet, host: str, port: int, receive: MessageHandler
) -> Iterator[ControlBus]:
    """Open a bus read by the reactor, and close it after the block."""
    bus = ControlBus(host, port, receive)
    reactor.addReader(bus)
    try:
        yield bus
    finally:
        if bus.fileno() >= 0:
            reactor.removeReader(bus)
            bus.close()
