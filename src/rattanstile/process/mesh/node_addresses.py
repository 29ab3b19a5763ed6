"""What answers on the node's small addresses."""

from typing import Protocol

from rattanstile.connection.http_messages import encode_response
from rattanstile.connection.http_server import (
    HttpServerConnection,
    Received,
)
from rattanstile.process.mesh.ports import (
    AnnouncementDialect,
    NotAnnounced,
    TargetLeft,
)
from rattanstile.process.mesh.serving_desk import ServingDesk

_READY = 200
_NOT_READY = 503


class _Node(Protocol):
    serving: ServingDesk

    @property
    def is_ready(self) -> bool:
        """Tell whether callers are served."""

    def metrics_text(self) -> str:
        """Return the counters."""


class ReadyService:
    """Answers whether callers are served."""

    def __init__(self, node: _Node) -> None:
        """Keep the node."""
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: Received
    ) -> None:
        """Answer at once."""
        status = _READY if self._node.is_ready else _NOT_READY
        closes = connection.closes_next
        connection.respond(
            encode_response(status, (), b'', closes=closes), closes=closes
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Nothing is kept for a connection."""


class MetricsService:
    """Answers with the counters."""

    def __init__(self, node: _Node) -> None:
        """Keep the node."""
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: Received
    ) -> None:
        """Answer at once."""
        closes = connection.closes_next
        body = self._node.metrics_text().encode()
        headers = ((b'content-type', b'text/plain; version=0.0.4'),)
        connection.respond(
            encode_response(_READY, headers, body, closes=closes),
            closes=closes,
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Nothing is kept for a connection."""


class AnnouncementService:
    """Takes the announcements of the target beside the node."""

    def __init__(self, dialect: AnnouncementDialect, node: _Node) -> None:
        """Keep both."""
        self._dialect = dialect
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: Received
    ) -> None:
        """Take an announcement and acknowledge it."""
        closes = connection.closes_next
        told = self._dialect.decode(request)
        match told:
            case NotAnnounced():
                written = self._dialect.reject(told, closes=closes)
            case TargetLeft():
                self._node.serving.left(told)
                written = self._dialect.acknowledge(closes=closes)
            case _:
                self._node.serving.announced(told)
                written = self._dialect.acknowledge(closes=closes)
        connection.respond(written, closes=closes)

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Nothing is kept for a connection."""
