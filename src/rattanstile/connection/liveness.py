"""Lets the kernel find connections that the other end has lost."""

import socket
from typing import Any

UNACKNOWLEDGED_TIMEOUT_MS = 2500
"""Below the time after which a machine counts as in touch again."""
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2


def set_liveness_options(transport: Any) -> None:
    """Send segments at once, and drop a connection that goes silent."""
    transport.setTcpNoDelay(True)
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None:
        return
    handle = get_handle()
    if not isinstance(handle, socket.socket):
        return
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, amount in (
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PERIOD_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, amount)
