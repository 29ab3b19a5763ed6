"""What answers on the node's small addresses."""

from collections.abc import Coroutine
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from rattanstile.connection.http_messages import encode_response
from rattanstile.connection.http_server import (
    HttpServerConnection,
    ReceivedRequest,
)
from rattanstile.process.decision_log import Kind
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.ports import (
    AnnouncementDialect,
    InvalidAnnouncement,
)
from rattanstile.process.mesh.serving_handler import ServingHandler
from rattanstile.process.mesh.target_watch import TargetChange, TargetDeparture

KEPT_TIMEOUT_S = 0.6
"""Targets take an acknowledgement that comes within a second."""
_READY = 200
_NOT_READY = 503


class _Node(Protocol):
    serving: ServingHandler
    context: NodeContext

    @property
    def is_ready(self) -> bool:
        """Tell whether callers are served."""

    def metrics_text(self) -> str:
        """Return the counters."""

    def keep_left(self) -> Coroutine[Any, Any, None]:
        """Keep what the target said for later runs of this node."""


class ReadyService:
    """Answers whether callers are served."""

    def __init__(self, node: _Node) -> None:
        """Keep the node."""
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Answer at once."""
        status = _READY if self._node.is_ready else _NOT_READY
        closes = connection.closes_after_response
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
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Answer at once."""
        closes = connection.closes_after_response
        body = self._node.metrics_text().encode()
        headers = ((b'content-type', b'text/plain; version=0.0.4'),)
        connection.respond(
            encode_response(_READY, headers, body, closes=closes),
            closes=closes,
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Nothing is kept for a connection."""


class _Acknowledgement:
    """An acknowledgement that is sent once, unless its reader has left."""

    def __init__(
        self, codec: AnnouncementDialect, connection: HttpServerConnection
    ) -> None:
        """Keep both."""
        self.is_over = False
        self._codec = codec
        self._connection = connection

    def send(self) -> None:
        """Send it now."""
        if self.is_over:
            return
        self.is_over = True
        closes = self._connection.closes_after_response
        self._connection.respond(
            self._codec.acknowledge(closes=closes), closes=closes
        )


class AnnouncementService:
    """Takes the announcements of the target beside the node."""

    def __init__(self, codec: AnnouncementDialect, node: _Node) -> None:
        """Keep both."""
        self._codec = codec
        self._node = node

    def request_received(
        self, connection: HttpServerConnection, request: ReceivedRequest
    ) -> None:
        """Take an announcement and acknowledge it."""
        closes = connection.closes_after_response
        told = self._codec.decode(request)
        match told:
            case InvalidAnnouncement(why):
                self._node.context.log.write(
                    Kind.TARGET, 'announcement_rejected', why=why
                )
                written = self._codec.reject(told, closes=closes)
            case TargetDeparture():
                self._acknowledge(
                    connection, self._node.serving.deregistered(told)
                )
                return
            case _:
                heard = self._node.serving.announced(told)
                self._acknowledge(connection, heard)
                return
        connection.respond(written, closes=closes)

    def _acknowledge(
        self, connection: HttpServerConnection, heard: TargetChange
    ) -> None:
        """Acknowledge; a target's leaving when a later run would know it."""
        waiting = _Acknowledgement(self._codec, connection)
        if heard is not TargetChange.LEAVING:
            waiting.send()
            return
        connection.handler_context = waiting
        kept: Deferred[None] = Deferred.fromCoroutine(self._node.keep_left())
        kept.addCallback(lambda _: waiting.send())
        self._node.context.timers.after(
            KEPT_TIMEOUT_S, lambda _: waiting.send()
        )

    def connection_lost(self, connection: HttpServerConnection) -> None:
        """Acknowledge nothing: nobody reads it."""
        waiting = connection.handler_context
        if isinstance(waiting, _Acknowledgement):
            waiting.is_over = True
