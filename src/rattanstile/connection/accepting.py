"""Listening sockets that accept few connections at once.

A connection that gives way frees its descriptor in the next step of the
reactor, so that a step may only accept as many as the reserve has room for.
Accepts that fail for want of descriptors end the step; Twisted closes what
waits by means of a descriptor that it keeps for that.
"""

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ServerFactory
from twisted.internet.tcp import Port

MAX_ACCEPTS = 16


class _BoundedPort(Port):
    """A port that accepts a bounded number of connections in one step."""

    def doRead(self) -> None:  # noqa: N802
        """Accept connections."""
        self.numberAccepts = min(self.numberAccepts, MAX_ACCEPTS)
        super().doRead()


def listen(
    reactor: IReactorTCP,
    host: str,
    port: int,
    factory: ServerFactory,
    backlog: int,
) -> Port:
    """Return a port that listens."""
    listener = _BoundedPort(port, factory, backlog, host, reactor)
    listener.startListening()
    return listener
