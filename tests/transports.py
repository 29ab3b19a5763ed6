"""In-memory transports, and the two ends of a connection joined by them."""

from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.python.failure import Failure


class FakeReactor(Clock):
    """A virtual clock that keeps the connections asked for.

    `twisted.internet.testing` has the like, but it imports trial, whose
    marks on `unittest.TestCase` stop nose2 from loading any test.
    """

    def __init__(self):
        """Begin with nothing asked for."""
        super().__init__()
        self.factories = []

    def connectTCP(self, host, port, factory, timeout=30):  # noqa: N802
        """Keep the factory."""
        self.factories.append(factory)

    def dialled(self, index=-1):
        """Return the protocol of a connection that was asked for, made."""
        protocol = self.factories[index].buildProtocol(None)
        connect(protocol)
        return protocol

    def refuse(self, index=-1):
        """Refuse a connection that was asked for."""
        self.factories[index].clientConnectionFailed(None, None)


class FakeTcpTransport:
    """A transport that keeps what is written."""

    def __init__(self):
        """Begin with nothing written."""
        self._written = b''
        self.write_side_closed = False
        self.aborted = False
        self.is_reading = True

    def write(self, written):
        """Keep bytes."""
        self._written += written

    def registerProducer(self, producer, streaming):  # noqa: N802
        """Take no notice."""

    def setTcpNoDelay(self, enabled):  # noqa: N802
        """Take no notice."""

    def pauseProducing(self):  # noqa: N802
        """Note that nothing is read."""
        self.is_reading = False

    def resumeProducing(self):  # noqa: N802
        """Note that reading goes on."""
        self.is_reading = True

    def loseWriteConnection(self):  # noqa: N802
        """Note that no more will be written."""
        self.write_side_closed = True

    def abortConnection(self):  # noqa: N802
        """Note that the connection is gone."""
        self.aborted = True

    def take(self):
        """Return what was written since the last time."""
        written = self._written
        self._written = b''
        return written


def connect(protocol):
    """Give a protocol its transport and return it."""
    transport = FakeTcpTransport()
    protocol.makeConnection(transport)
    return transport


def lose(protocol):
    """Tell a protocol that its connection closed."""
    protocol.connectionLost(Failure(ConnectionDone()))


class Wire:
    """Carries bytes between two connected protocols, until it is cut."""

    def __init__(self, one, other):
        """Join both ends."""
        self.ends = (one, other)
        self.is_cut = False

    def pump(self):
        """Carry bytes until both ends have nothing more to say."""
        one, other = self.ends
        moved = True
        while moved and not self.is_cut:
            moved = False
            for source, sink in ((one, other), (other, one)):
                written = source.transport.take()
                if written:
                    sink.dataReceived(written)
                    moved = True
