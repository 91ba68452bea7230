"""OpenTelemetry metrics of a process, exported in the Prometheus text format."""

import attrs
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram, Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

_LATENCY_BUCKETS_S = (
    0.05,
    0.1,
    0.2,
    0.4,
    0.61,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
    300.0,
)


class ProcessMetrics:
    """Meter of one process, and its export for a Prometheus scraper.

    Parameters
    ----------
    node_id, role : str
        `node_id` becomes an attribute of the resource, `role` part of the meter's
        name.
    """

    def __init__(self, node_id: str, role: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        self._provider = MeterProvider(
            metric_readers=[reader],
            resource=Resource({"service.name": "sorrelhoist", "node_id": node_id}),
            views=[
                View(
                    instrument_name="*_seconds",
                    aggregation=ExplicitBucketHistogramAggregation(_LATENCY_BUCKETS_S),
                )
            ],
            shutdown_on_exit=False,
        )
        self.meter: Meter = self._provider.get_meter(f"sorrelhoist.{role}")

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


@attrs.frozen
class EntryMetrics:
    """Metric instruments of an entry."""

    requests: Counter
    refusals: Counter
    retries: Counter
    tokens: Counter
    first_token: Histogram

    @classmethod
    def create(cls, meter: Meter) -> "EntryMetrics":
        """Create the instruments on a meter."""
        return cls(
            requests=meter.create_counter("sorrelhoist_requests"),
            refusals=meter.create_counter("sorrelhoist_refusals"),
            retries=meter.create_counter("sorrelhoist_retries"),
            tokens=meter.create_counter("sorrelhoist_output_tokens"),
            first_token=meter.create_histogram("sorrelhoist_first_token_seconds"),
        )


@attrs.frozen
class AgentMetrics:
    """Metric instruments of an agent."""

    grants: Counter
    denials: Counter
    endpoint_deaths: Counter
    cancels: Counter
    lapsed_leases: Counter

    @classmethod
    def create(cls, meter: Meter) -> "AgentMetrics":
        """Create the instruments on a meter."""
        return cls(
            grants=meter.create_counter("sorrelhoist_grants"),
            denials=meter.create_counter("sorrelhoist_denials"),
            endpoint_deaths=meter.create_counter("sorrelhoist_endpoint_deaths"),
            cancels=meter.create_counter("sorrelhoist_engine_cancels"),
            lapsed_leases=meter.create_counter("sorrelhoist_lapsed_leases"),
        )
