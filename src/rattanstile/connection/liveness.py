"""Socket options that let the kernel detect a lost remote end."""

import socket
from typing import Any

UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""Shorter than the time after which a VM counts as reachable again."""
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2


def set_liveness_options(transport: Any) -> None:
    """Disable Nagle's algorithm; let the kernel drop a silent connection."""
    transport.setTcpNoDelay(True)
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None:
        return
    handle = get_handle()
    if not isinstance(handle, socket.socket):
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, setting in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, setting)
