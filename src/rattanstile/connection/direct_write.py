"""Socket writes that do not wait for the next reactor iteration."""

from typing import Any

from twisted.internet.abstract import FileDescriptor
from twisted.internet.tcp import Connection


def write_now(transport: Any, encoded: bytes) -> None:
    """Write to the socket at once unless earlier data is still buffered.

    Twisted's own `write` has the reactor wait for the socket and writes in the
    reactor's next iteration. Bytes that the socket does not accept now are
    written that way.

    Args:
        transport: Any transport; only TCP ones are written to directly.
        encoded: Bytes to write.
    """
    if isinstance(transport, Connection) and _is_drained(transport):
        sent_bytes = transport.writeSomeData(encoded)
        if isinstance(sent_bytes, int):
            if sent_bytes < len(encoded):
                transport.write(encoded[sent_bytes:])
            return
    # If the direct write failed, the reactor's write hits the same error and
    # reports it.
    transport.write(encoded)


def unsent_bytes(transport: Any) -> int:
    """Return how many bytes wait for the socket; 0 if it isn't a TCP transport.

    Args:
        transport: Any transport.
    """
    if not isinstance(transport, Connection):
        return 0
    buffered = len(transport.dataBuffer) - transport.offset
    return buffered + int(transport._tempDataLen)


def _is_drained(transport: FileDescriptor) -> bool:
    return (
        bool(transport.connected)
        and not transport.disconnecting
        and not transport._writeDisconnecting
        and not unsent_bytes(transport)
    )
