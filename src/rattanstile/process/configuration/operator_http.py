"""The operator address of a node: status and metrics over HTTP."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
from twisted.internet.interfaces import IReactorTCP
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from rattanstile.process.metrics import Metrics
from rattanstile.process.settings import Address


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a node tells of itself.

    Attributes:
        state: ``starting``, ``serving``, ``draining``.
        version: Version of the configuration in force here; 0 for none.
        admits_keyed_calls: Whether the version is fresh enough for calls
            that come with a key.
        staleness_s: Age of the last word of the log or of a peer.
        limit: Calls at once that the target is now given.
        control_bytes_sent: Bytes sent to other nodes for control.
    """

    node_id: str
    incarnation: int
    service: str
    failure_domain: str
    state: str
    version: int
    admits_keyed_calls: bool
    staleness_s: float
    limit: int
    in_flight: int
    queued: int
    members: int
    control_bytes_sent: int
    control_bytes_received: int
    processor_s: float
    rss_kb: int


class _JsonPage(Resource):
    isLeaf = True

    def __init__(self, render: Callable[[], bytes]) -> None:
        super().__init__()
        self._render = render

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        request.setHeader(b'content-type', b'application/json')
        return self._render()


@contextmanager
def listening_for_operators(
    reactor: IReactorTCP,
    address: Address,
    status: Callable[[], NodeStatus],
    metrics: Metrics,
) -> Iterator[int]:
    """Serve ``/status`` and ``/metrics`` in the block; yields the port."""
    root = Resource()
    root.putChild(b'status', _JsonPage(lambda: msgspec.json.encode(status())))
    root.putChild(b'metrics', _JsonPage(lambda: metrics.to_json().encode()))
    listening = reactor.listenTCP(
        address.port,
        Site(root),  # type: ignore[arg-type]
        interface=address.host,
    )
    try:
        yield listening.getHost().port  # type: ignore[attr-defined]
    finally:
        listening.stopListening()
