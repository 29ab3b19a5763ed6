"""OpenTelemetry metrics, read on the operator address or sent by OTLP.

The call path only increments plain counters; OpenTelemetry observes them when
a reader collects.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from opentelemetry.exporter.otlp.proto.http.metric_exporter import (
    OTLPMetricExporter,
)
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import (
    InMemoryMetricReader,
    MetricReader,
    PeriodicExportingMetricReader,
)
from opentelemetry.sdk.resources import Resource

from rattanstile.process.settings import MetricsSettings, NodeSettings
from rattanstile.request.envelope import Reply
from rattanstile.request.ids import OrganisationId, ServiceName

MS_PER_S = 1000
Gauge = Callable[[], float]
CallKey = tuple[ServiceName, OrganisationId, str, str]


class CallCounters:
    """Counts completed calls by service, organisation, outcome and reason."""

    def __init__(self) -> None:
        """Start all counters at zero."""
        self.completed: Counter[CallKey] = Counter()
        self.attempts: Counter[ServiceName] = Counter()

    def count(
        self, service: ServiceName, organisation: OrganisationId, reply: Reply
    ) -> None:
        """Count a completed call at its entry node."""
        reason = reply.reason.value if reply.reason else ''
        self.completed[service, organisation, reply.outcome.value, reason] += 1

    def observe_completed(self, _: CallbackOptions) -> Iterable[Observation]:
        """Yield the number of completed calls for each set of attributes."""
        for (service, organisation, outcome, reason), count in tuple(
            self.completed.items()
        ):
            yield Observation(
                count,
                {
                    'service': service,
                    'organisation': organisation,
                    'outcome': outcome,
                    'reason': reason,
                },
            )

    def observe_attempts(self, _: CallbackOptions) -> Iterable[Observation]:
        """Yield the number of attempts sent for each service."""
        for service, count in tuple(self.attempts.items()):
            yield Observation(count, {'service': service})


class Metrics:
    """Instruments of a node and the reader behind the operator address."""

    def __init__(self, provider: MeterProvider, reader: InMemoryMetricReader):
        """Create the counters."""
        self._meter = provider.get_meter('rattanstile')
        self._reader = reader
        self.calls = CallCounters()
        self._meter.create_observable_counter(
            'rattanstile.calls',
            callbacks=[self.calls.observe_completed],
            unit='{call}',
            description='Calls ended at this entry node.',
        )
        self._meter.create_observable_counter(
            'rattanstile.attempts',
            callbacks=[self.calls.observe_attempts],
            unit='{attempt}',
            description='Attempts sent by this entry node.',
        )

    def gauge(self, name: str, unit: str, read: Gauge) -> None:
        """Register a gauge; the name gets the prefix ``rattanstile.``."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            yield Observation(read())

        self._meter.create_observable_gauge(
            f'rattanstile.{name}', callbacks=[observe], unit=unit
        )

    def to_json(self) -> str:
        """Return all current values in OpenTelemetry's JSON format."""
        metrics_data = self._reader.get_metrics_data()
        return (
            '{}'
            if metrics_data is None
            else str(metrics_data.to_json(indent=None))
        )


@contextmanager
def opened_metrics(settings: NodeSettings) -> Iterator[Metrics]:
    """Provide metrics while the block runs, with the configured exporters."""
    reader = InMemoryMetricReader()
    readers: list[MetricReader] = [reader]
    readers.extend(_exporters(settings.metrics))
    provider = MeterProvider(
        metric_readers=readers,
        resource=Resource.create(
            {
                'service.name': 'rattanstile',
                'service.instance.id': settings.node_id,
            }
        ),
        shutdown_on_exit=False,
    )
    try:
        yield Metrics(provider, reader)
    finally:
        provider.shutdown()


def _exporters(settings: MetricsSettings) -> list[MetricReader]:
    if not settings.otlp_endpoint:
        return []
    exporter = OTLPMetricExporter(endpoint=settings.otlp_endpoint)
    period_ms = settings.export_period_s * MS_PER_S
    return [
        PeriodicExportingMetricReader(
            exporter, export_interval_millis=period_ms
        )
    ]
