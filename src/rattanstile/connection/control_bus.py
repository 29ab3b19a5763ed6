"""Control messages between nodes, over pynng sockets on the reactor."""

from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

import logbook
import pynng
from twisted.internet.interfaces import IReactorFDSet, IReadDescriptor
from zope.interface import implementer

MAX_DIALLED = 64
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
SEND_BUFFER_MESSAGES = 256
RECEIVE_BUFFER_MESSAGES = 1024
MAX_READ_AT_ONCE = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000

_log = logbook.Logger('control-bus')

Receive = Callable[[bytes], None]


class ControlSender(Protocol):
    """Sends one encoded message to a control address, or drops it."""

    def send(self, address: str, encoded: bytes) -> None:
        """Queue the message without waiting."""


@implementer(IReadDescriptor)
class ControlBus:
    """One listening socket, and a bounded set of dialled ones.

    A message to a node that is gone or slow is dropped: the machines that
    use the bus repair lost messages themselves.
    """

    def __init__(self, host: str, port: int, receive: Receive) -> None:
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
        """Return the address that the bus listens on."""
        return self._address

    def send(self, address: str, encoded: bytes) -> None:
        """Queue the message without waiting; drop it when that fails."""
        try:
            self._socket(address).send(encoded, block=False)
        except pynng.NNGException as error:
            self.dropped += 1
            _log.debug(
                'event=control_dropped receiver={} why="{}"', address, error
            )
            return
        self.sent_bytes += len(encoded)

    def fileno(self) -> int:
        """Return the descriptor that turns readable on a message."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name that the reactor logs."""
        return 'control-bus'

    def doRead(self) -> None:  # noqa: N802
        """Hand on the messages that wait, a bounded number at a time."""
        for _ in range(MAX_READ_AT_ONCE):
            try:
                encoded = self._listener.recv(block=False)
            except pynng.NNGException:
                return
            self.received_bytes += len(encoded)
            self._guarded_receive(encoded)

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

    def _guarded_receive(self, encoded: bytes) -> None:
        try:
            self._receive(encoded)
        except Exception:
            _log.exception('event=control_message_failed')

    def _socket(self, address: str) -> pynng.Push0:
        socket = self._dialled.get(address)
        if socket is None:
            socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            socket.reconnect_time_min = RECONNECT_MIN_MS
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(f'tcp://{address}', block=False)
            self._dialled[address] = socket
            self._close_oldest()
        self._dialled.move_to_end(address)
        return socket

    def _close_oldest(self) -> None:
        while len(self._dialled) > MAX_DIALLED:
            _, oldest = self._dialled.popitem(last=False)
            oldest.close()


@contextmanager
def opened_control_bus(
    reactor: IReactorFDSet, host: str, port: int, receive: Receive
) -> Iterator[ControlBus]:
    """Open a bus that reads on the reactor, and close it after the block."""
    bus = ControlBus(host, port, receive)
    reactor.addReader(bus)
    try:
        yield bus
    finally:
        if bus.fileno() >= 0:
            reactor.removeReader(bus)
            bus.close()
