"""Opens HTTP/1.1 client connections."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from rattanstile.connection.http_client import HttpClientConnection


class _ClientFactory(ClientFactory):
    """Builds one connection and reports whether connecting succeeded."""

    noisy = False

    def __init__(
        self,
        on_open: Callable[[HttpClientConnection | None], None],
        on_lost: Callable[[HttpClientConnection], None],
        *,
        is_remote: bool,
    ) -> None:
        self._on_open = on_open
        self._on_lost = on_lost
        self._is_remote = is_remote

    def buildProtocol(  # noqa: N802
        self, addr: Any
    ) -> HttpClientConnection:
        return _NotifyingConnection(
            self._on_open, self._on_lost, is_remote=self._is_remote
        )

    def clientConnectionFailed(  # noqa: N802
        self, connector: Any, reason: Any
    ) -> None:
        self._on_open(None)


class _NotifyingConnection(HttpClientConnection):
    """A connection that notifies its owner when it opens."""

    def __init__(
        self,
        on_open: Callable[[HttpClientConnection | None], None],
        on_lost: Callable[[HttpClientConnection], None],
        *,
        is_remote: bool,
    ) -> None:
        super().__init__(on_lost, is_remote=is_remote)
        self._on_open = on_open

    def connectionMade(self) -> None:  # noqa: N802
        super().connectionMade()
        self._on_open(self)


def connect_http(
    reactor: IReactorTCP,
    address: str,
    timeout_s: float,
    on_open: Callable[[HttpClientConnection | None], None],
    on_lost: Callable[[HttpClientConnection], None],
    *,
    is_remote: bool = False,
) -> None:
    """Open a connection.

    Args:
        address: Host and port.
        timeout_s: Maximum time to connect.
        on_open: Called with the connection, or with None when connecting
            failed.
        on_lost: Called when an open connection has closed.
        is_remote: Whether the server is on another VM.
    """
    host, _, port = address.rpartition(':')
    reactor.connectTCP(
        host,
        int(port),
        _ClientFactory(on_open, on_lost, is_remote=is_remote),
        timeout_s,
    )
