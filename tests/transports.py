"""In-memory transports, and a link that joins two protocols over them."""

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure


class FakeReactor(Clock):
    """A virtual clock that records connection attempts.

    `twisted.internet.testing` has a similar class, but it imports trial, whose
    changes to `unittest.TestCase` stop nose2 from loading any test.
    """

    def __init__(self):
        """Start without connection attempts."""
        super().__init__()
        self.factories = []

    def connectTCP(self, host, port, factory, timeout=30):  # noqa: N802
        """Record the factory of a connection attempt."""
        self.factories.append(factory)

    def complete_connection(self, index=-1):
        """Complete a connection attempt and return its connected protocol."""
        protocol = self.factories[index].buildProtocol(None)
        connect(protocol)
        return protocol

    def refuse_connection(self, index=-1):
        """Fail a connection attempt."""
        self.factories[index].clientConnectionFailed(None, None)


class FakeTcpTransport:
    """A transport that buffers the written bytes."""

    def __init__(self):
        """Start with an empty buffer."""
        self._written = b''
        self.write_side_closed = False
        self.aborted = False
        self.is_reading = True

    def write(self, data):
        """Buffer bytes."""
        self._written += data

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Do nothing."""

    def unregisterProducer(self):  # noqa: N802
        """Do nothing."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Do nothing."""

    def pauseProducing(self):  # noqa: N802
        """Record that reading is paused."""
        self.is_reading = False

    def resumeProducing(self):  # noqa: N802
        """Record that reading has resumed."""
        self.is_reading = True

    def loseWriteConnection(self):  # noqa: N802
        """Record that the write side was closed."""
        self.write_side_closed = True

    def abortConnection(self):  # noqa: N802
        """Record that the connection was aborted."""
        self.aborted = True

    def take(self):
        """Return the bytes written since the previous call."""
        written = self._written
        self._written = b''
        return written


def connect(protocol):
    """Connect a protocol to a new transport and return the transport."""
    transport = FakeTcpTransport()
    protocol.makeConnection(transport)
    return transport


def lose_connection(protocol):
    """Report to a protocol that its connection closed cleanly."""
    protocol.connectionLost(Failure(ConnectionDone()))


class InMemoryLink:
    """Carries bytes between two connected protocols until `is_cut` is set."""

    def __init__(self, first, second):
        """Join two connected protocols."""
        self.ends = (first, second)
        self.is_cut = False

    def pump(self):
        """Carry bytes until neither end has written any more."""
        first, second = self.ends
        moved = True
        while moved and not self.is_cut:
            moved = False
            for source, sink in ((first, second), (second, first)):
                written = source.transport.take()
                if written:
                    sink.dataReceived(written)
                    moved = True
