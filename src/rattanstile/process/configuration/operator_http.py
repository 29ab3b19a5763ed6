"""HTTP endpoints of a node for operators: status and metrics."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
from twisted.internet.interfaces import IReactorTCP
from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from rattanstile.process.metrics import Metrics
from rattanstile.process.settings import Address


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status that a node reports to operators.

    Attributes:
        state: ``starting``, ``serving``, ``draining``.
        version: Version of the configuration in force at this node; 0 for
            none.
        admits_keyed_calls: Whether the version is fresh enough to admit calls
            with a key.
        staleness_s: Age of the latest evidence, from the log or a peer, that
            the version is current.
        limit: Current concurrency limit of the target.
        control_bytes_sent: Bytes of control traffic sent to other nodes.
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


class _JsonResource(Resource):
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
    """Serve ``/status`` and ``/metrics`` in the block, and yield the port."""
    root = Resource()
    root.putChild(
        b'status', _JsonResource(lambda: msgspec.json.encode(status()))
    )
    root.putChild(b'metrics', _JsonResource(lambda: metrics.to_json().encode()))
    listener = reactor.listenTCP(
        address.port,
        Site(root),  # type: ignore[arg-type]
        interface=address.host,
    )
    try:
        yield listener.getHost().port  # type: ignore[attr-defined]
    finally:
        listener.stopListening()
