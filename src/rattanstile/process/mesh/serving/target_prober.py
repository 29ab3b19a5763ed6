"""Sends health probes to the local target while its state is unverified."""

from collections.abc import Callable

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.target_pool import TargetPool
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.ports import TargetCodec
from rattanstile.process.mesh.serving.target_watch import (
    TargetChange,
    TargetWatch,
)

PROBE_TIMEOUT_S = 1.0
"""A probe waits for a slot of the target, as any call does."""
MAX_PROBE_BYTES = 64 * 1024
"""Nothing is read of the body of a response to a probe."""


class TargetProber:
    """Sends one probe at a time.

    Args:
        context: State shared by the components of the node.
        watch: State of the target; decides when a probe is due.
        pool: Connections to the target.
        codec: Encodes probes and decodes their responses.
        on_change: Called with the change that each response caused.
    """

    def __init__(
        self,
        context: NodeContext,
        watch: TargetWatch,
        pool: TargetPool,
        codec: TargetCodec,
        on_change: Callable[[TargetChange], None],
    ) -> None:
        """Initialize without a probe."""
        self._context = context
        self._watch = watch
        self._pool = pool
        self._codec = codec
        self._on_change = on_change
        self._is_probing = False

    def check(self, now_s: float) -> None:
        """Send a probe if one is due and none is in flight."""
        config = self._context.state().config
        if config is None or self._is_probing:
            return
        service = config.services.get(self._watch.service)
        if service is None or not self._watch.poll_probe_due(now_s):
            return
        self._is_probing = True
        self._context.counters.probes += 1
        exchange = self._pool.send(
            self._codec.encode_probe(service.health_path),
            self._probed,
            check_response=self._codec.match_probe,
            max_body_bytes=MAX_PROBE_BYTES,
        )
        self._context.timers.after(
            PROBE_TIMEOUT_S, lambda _: self._pool.abandon(exchange)
        )

    def _probed(self, end: HttpResponse | ExchangeFailure) -> None:
        self._is_probing = False
        if isinstance(end, ExchangeFailure):
            return
        result = self._codec.decode_probe(end)
        now_s = self._context.timers.now_s()
        self._on_change(self._watch.probed(now_s, result))
