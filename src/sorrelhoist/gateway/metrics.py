"""Measurements of a gateway, kept until the libraries that export them are loaded."""

import asyncio
import importlib
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

import attrs

from .state import GatewayState

PAUSE_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 2.0, 4.0)
"""Boundaries around the usual pause targets of routes."""

EXPORT_DELAY_S = 3.0
"""Time after the start until the exporter is loaded: by then callers have come back to
a gateway that was restarted."""

EXPORT_MODULES = (
    "prometheus_client",
    "opentelemetry.metrics",
    "opentelemetry.sdk.resources",
    "opentelemetry.sdk.metrics",
    "opentelemetry.exporter.prometheus",
)
"""Modules of the exporter, each after those that it imports."""

IMPORT_PAUSE_S = 0.1
"""Time for requests between two imports, each of which blocks the event loop."""

Attributes = Mapping[str, str]
Write = Callable[[float, Attributes | None], None]


@attrs.define(eq=False, repr=False)
class _Instrument:
    """Passes measurements to an instrument of OpenTelemetry once there is one.

    Parameters
    ----------
    name : str
    """

    name: str
    _write: Write | None = attrs.field(default=None, init=False)
    _kept: list[tuple[float, Attributes | None]] = attrs.field(factory=list, init=False)

    def write_to(self, write: Write) -> None:
        """Pass on all measurements, those so far included."""
        self._write = write
        for value, attributes in self._kept:
            write(value, attributes)
        self._kept.clear()

    def _measured(self, value: float, attributes: Attributes | None) -> None:
        if self._write is None:
            self._kept.append((value, attributes))
        else:
            self._write(value, attributes)


@attrs.define(eq=False, repr=False)
class Counter(_Instrument):
    """A count of events, by attributes."""

    def add(self, value: float, attributes: Attributes | None = None) -> None:
        """Add to the count."""
        self._measured(value, attributes)


@attrs.define(eq=False, repr=False)
class Histogram(_Instrument):
    """A distribution of values, by attributes.

    Parameters
    ----------
    unit : str
        The exporter adds it to the name.
    boundaries : sequence of float or None
        Boundaries of the buckets; those of `node.metrics` if None.
    """

    unit: str = ""
    boundaries: Sequence[float] | None = None

    def record(self, value: float, attributes: Attributes | None = None) -> None:
        """Record a value."""
        self._measured(value, attributes)


def _counter(name: str) -> Counter:
    return attrs.field(factory=lambda: Counter(name))


def _histogram(
    name: str, unit: str = "", boundaries: Sequence[float] | None = None
) -> Histogram:
    return attrs.field(factory=lambda: Histogram(name, unit, boundaries))


@attrs.frozen(eq=False)
class GatewayMetrics:
    """Request counters by outcome and latency histograms.

    Parameters
    ----------
    requests : Counter
        Ended requests, by outcome.
    failures : Counter
        Failed attempts, by kind.
    retries : Counter
        Retries that the budget allowed or denied, by service and outcome.
    callers_cut : Counter
        Callers that were disconnected for what was held for them, by reason.
    callers_rejected : Counter
        Requests that were rejected before their admission, by status.
    placement_wait : Histogram
        Duration of each placement in seconds, with the time in the queue.
    first_event : Histogram
        Time from the receipt of the request headers to the first event, in seconds.
    stream_pause : Histogram
        Time between two relayed events of a stream in seconds, by route.
    pauses_over_target : Counter
        Pauses of streams that exceed the target of their route, by route.
    hold : Histogram
        Time for which requests were held before their admission, by outcome.
    prefill_lateness : Histogram
        Time by which the first event of a long prompt came later than expected when it
        was sent, by the age of the load that was known then.
    overdue_prefills : Counter
        Checks of long prompts whose first event was overdue, by outcome.
    planned_stops : Counter
        Requests that a planned stop refused or cut, by outcome.
    """

    requests: Counter = _counter("sorrelhoist_gateway_requests")
    failures: Counter = _counter("sorrelhoist_gateway_failed_attempts")
    retries: Counter = _counter("sorrelhoist_gateway_retries")
    callers_cut: Counter = _counter("sorrelhoist_gateway_callers_cut")
    callers_rejected: Counter = _counter("sorrelhoist_gateway_callers_rejected")
    placement_wait: Histogram = _histogram("sorrelhoist_gateway_placement_wait_seconds")
    first_event: Histogram = _histogram("sorrelhoist_gateway_first_event_seconds")
    # Without the suffix of the unit, which the exporter adds, the boundaries of this
    # instrument apply instead of the general ones.
    stream_pause: Histogram = _histogram(
        "sorrelhoist_gateway_stream_pause", "s", PAUSE_BUCKETS_S
    )
    pauses_over_target: Counter = _counter("sorrelhoist_gateway_pauses_over_target")
    hold: Histogram = _histogram("sorrelhoist_gateway_hold_seconds")
    prefill_lateness: Histogram = _histogram(
        "sorrelhoist_gateway_prefill_lateness_seconds"
    )
    overdue_prefills: Counter = _counter("sorrelhoist_gateway_overdue_prefills")
    planned_stops: Counter = _counter("sorrelhoist_gateway_planned_stop_requests")

    def instruments(self) -> list[Counter | Histogram]:
        """Return all instruments."""
        return [getattr(self, field.name) for field in attrs.fields(type(self))]


class Exporter(Protocol):
    """What `MetricsLoader` loads."""

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""


@attrs.define(eq=False, repr=False)
class MetricsLoader:
    """Loads the exporter some time after the start, or when it is first asked for.

    Parameters
    ----------
    state : GatewayState
    metrics : GatewayMetrics
    """

    state: GatewayState
    metrics: GatewayMetrics
    _exporter: Exporter | None = attrs.field(default=None, init=False)

    async def run(self) -> None:
        """Load the exporter in steps between which requests are served."""
        await asyncio.sleep(EXPORT_DELAY_S)
        for name in EXPORT_MODULES:
            importlib.import_module(name)
            await asyncio.sleep(IMPORT_PAUSE_S)
        self._load()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._load().text()

    def _load(self) -> Exporter:
        if self._exporter is None:
            from .metrics_export import export_metrics

            self._exporter = export_metrics(self.state, self.metrics)
        return self._exporter
