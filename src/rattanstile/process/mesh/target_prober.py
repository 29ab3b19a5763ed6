"""Probes the target beside the node while nothing is known of it."""

from collections.abc import Callable

from rattanstile.connection.http_client import ExchangeFailure
from rattanstile.connection.http_messages import HttpResponse
from rattanstile.connection.target_pool import TargetPool
from rattanstile.process.mesh.context import NodeContext
from rattanstile.process.mesh.ports import TargetCodec
from rattanstile.process.mesh.target_watch import TargetChange, TargetWatch

PROBE_TIMEOUT_S = 1.0
"""A probe waits for a slot as any call does."""


class TargetProber:
    """Sends one probe at a time.

    Args:
        context: What the parts of the node share.
        watch: Says when a probe is wanted, and takes its answer.
        pool: Carries the probes.
        dialect: How the target is spoken to.
        heard: Told what each answer changed.
    """

    def __init__(
        self,
        context: NodeContext,
        watch: TargetWatch,
        pool: TargetPool,
        codec: TargetCodec,
        heard: Callable[[TargetChange], None],
    ) -> None:
        """Begin without a probe."""
        self._context = context
        self._watch = watch
        self._pool = pool
        self._codec = codec
        self._heard = heard
        self._is_probing = False

    def check(self, now_s: float) -> None:
        """Send a probe if one is wanted."""
        config = self._context.state().config
        if config is None or self._is_probing:
            return
        service = config.services.get(self._watch.service)
        if service is None or not self._watch.wants_probe(now_s):
            return
        self._is_probing = True
        self._context.counters.probes += 1
        exchange = self._pool.send(
            self._codec.encode_probe(service.health_path), self._probed
        )
        self._context.timers.after(
            PROBE_TIMEOUT_S, lambda _: self._pool.abandon(exchange)
        )

    def _probed(self, end: HttpResponse | ExchangeFailure) -> None:
        self._is_probing = False
        if isinstance(end, ExchangeFailure):
            return
        probed = self._codec.decode_probe(end)
        now_s = self._context.timers.now_s()
        self._heard(self._watch.probed(now_s, probed))
