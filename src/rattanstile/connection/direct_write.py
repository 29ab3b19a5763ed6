"""Writes that skip a turn of the reactor."""

from typing import Any

from twisted.internet.abstract import FileDescriptor
from twisted.internet.tcp import Connection


def write_now(transport: Any, written: bytes) -> None:
    """Write to the socket at once where nothing waits before it.

    Twisted's own write asks the reactor to wait for the socket and writes in
    its next turn. What the socket doesn't take now goes that way.

    Args:
        transport: Any transport; only TCP ones are written to directly.
    """
    if isinstance(transport, Connection) and _is_drained(transport):
        sent = transport.writeSomeData(written)
        if isinstance(sent, int):
            if sent < len(written):
                transport.write(written[sent:])
            return
    # After an error the reactor's write meets it too and reports it.
    transport.write(written)


def _is_drained(transport: FileDescriptor) -> bool:
    return (
        bool(transport.connected)
        and not transport.disconnecting
        and not transport._writeDisconnecting
        and not transport.dataBuffer
        and not transport._tempDataBuffer
    )
