"""HTTP endpoints for readiness, metrics and target announcements."""

from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from rattanstile.connection.http_messages import encode_response
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.decision_log import LineKind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.ports import (
    AnnouncementCodec,
    InvalidAnnouncement,
)
from rattanstile.process.mesh.serving.past_incarnations import TargetDeparture
from rattanstile.process.mesh.serving.serving_handler import ServingHandler
from rattanstile.process.mesh.serving.target_watch import Announcement

PERSIST_TIMEOUT_S = 0.6
"""Targets accept an acknowledgement that arrives within one second."""
_READY = 200
_NOT_READY = 503


class _Node(Protocol):
    serving: ServingHandler
    context: NodeContext

    @property
    def is_ready(self) -> bool:
        """Return whether callers are served."""

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""

    def persist_departure(self) -> Coroutine[Any, Any, None]:
        """Store the departure of the target for later runs of this node."""


class ReadyService:
    """Reports whether callers are served."""

    def __init__(self, node: _Node) -> None:
        """Initialize with the node."""
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Respond at once."""
        status = _READY if self._node.is_ready else _NOT_READY
        closes = connection.closes_after_response
        connection.respond(
            encode_response(status, (), b'', closes=closes), closes=closes
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Do nothing: connections have no state here."""


class MetricsService:
    """Reports the metrics of the node."""

    def __init__(self, node: _Node) -> None:
        """Initialize with the node."""
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Respond at once."""
        closes = connection.closes_after_response
        body = self._node.metrics_text().encode()
        headers = ((b'content-type', b'text/plain; version=0.0.4'),)
        connection.respond(
            encode_response(_READY, headers, body, closes=closes),
            closes=closes,
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Do nothing: connections have no state here."""


class _PendingAcknowledgement:
    """An acknowledgement, sent once unless the connection is lost first."""

    def __init__(
        self, codec: AnnouncementCodec, connection: HttpServerConnection
    ) -> None:
        """Create an acknowledgement that is not sent yet."""
        self.is_done = False
        self._codec = codec
        self._connection = connection

    def send(self) -> None:
        """Send the acknowledgement unless it was sent or dropped."""
        if self.is_done:
            return
        self.is_done = True
        closes = self._connection.closes_after_response
        self._connection.respond(
            self._codec.acknowledge(closes=closes), closes=closes
        )


class AnnouncementService:
    """Accepts the announcements of the target beside the node."""

    def __init__(self, codec: AnnouncementCodec, node: _Node) -> None:
        """Initialize with the codec and the node."""
        self._codec = codec
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Record an announcement or a departure and acknowledge it."""
        closes = connection.closes_after_response
        decoded = self._decode(request)
        match decoded:
            case InvalidAnnouncement(why):
                self._node.context.log.write(
                    LineKind.TARGET, 'announcement_rejected', why=why
                )
                rejection = self._codec.reject(decoded, closes=closes)
            case TargetDeparture():
                self._apply(
                    connection, lambda: self._node.serving.deregistered(decoded)
                )
                return
            case _:
                self._apply(
                    connection, lambda: self._node.serving.announced(decoded)
                )
                return
        connection.respond(rejection, closes=closes)

    def _decode(
        self, request: ReceivedRequest
    ) -> Announcement | TargetDeparture | InvalidAnnouncement:
        decoded = self._codec.decode(request)
        if isinstance(decoded, Announcement) and (
            not self._node.serving.is_named(decoded.service)
        ):
            return InvalidAnnouncement(f'unknown service {decoded.service}')
        return decoded

    def _apply(
        self, connection: HttpServerConnection, apply: Callable[[], object]
    ) -> None:
        """Apply and acknowledge; a departure once it is stored.

        If storing it for a later run of this node takes longer than
        `PERSIST_TIMEOUT_S`, the acknowledgement is sent before.
        """
        watch = self._node.serving.watch
        stored_departure = watch.last_departure
        apply()
        acknowledgement = _PendingAcknowledgement(self._codec, connection)
        if watch.last_departure == stored_departure:
            acknowledgement.send()
            return
        connection.handler_context = acknowledgement
        persisted: Deferred[None] = Deferred.fromCoroutine(
            self._node.persist_departure()
        )
        persisted.addCallback(lambda _: acknowledgement.send())
        self._node.context.timers.after(
            PERSIST_TIMEOUT_S, lambda _: acknowledgement.send()
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Drop the acknowledgement: the target no longer waits for it."""
        acknowledgement = connection.handler_context
        if isinstance(acknowledgement, _PendingAcknowledgement):
            acknowledgement.is_done = True
