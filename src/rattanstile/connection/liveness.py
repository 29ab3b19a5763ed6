"""Socket options that let the kernel detect a lost remote end."""

import socket
from typing import Any

UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""Shorter than the time after which a VM counts as reachable again."""
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2


def watch_local_end(transport: Any) -> None:
    """Set up a connection to a process on the same VM.

    It may read as slowly as it likes. A limit on unacknowledged data would also
    bound the time for which its receive window stays closed (tcp(7)), and the
    VM can't be lost without this process.
    """
    handle = _handle(transport)
    if handle is None:
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)


def watch_remote_end(transport: Any) -> None:
    """Set up a connection to another VM; a silent one is dropped."""
    watch_local_end(transport)
    handle = _handle(transport)
    if handle is not None:
        handle.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        )


def _handle(transport: Any) -> socket.socket | None:
    """Return the socket of a transport, with Nagle's algorithm disabled."""
    transport.setTcpNoDelay(True)
    get_handle = getattr(transport, 'getHandle', None)
    handle = None if get_handle is None else get_handle()
    return handle if isinstance(handle, socket.socket) else None
