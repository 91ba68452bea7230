"""Metrics of a gateway: OpenTelemetry counters, latency histograms and a gauge."""

import time

import attrs
from opentelemetry.metrics import (
    CallbackOptions,
    Counter,
    Histogram,
    Meter,
    Observation,
)

from ..node.metrics import ProcessMetrics
from .state import GatewayState, boot_time_s


@attrs.frozen
class GatewayMetrics:
    """Request counters by outcome and latency histograms.

    Parameters
    ----------
    requests : Counter
        Ended requests, by outcome.
    failures : Counter
        Failed attempts, by kind.
    placement_wait : Histogram
        Duration of each placement in seconds, with the time in the queue.
    first_event : Histogram
        Time from the receipt of the request headers to the first event, in seconds.
    """

    requests: Counter
    failures: Counter
    placement_wait: Histogram
    first_event: Histogram

    @classmethod
    def create(cls, meter: Meter, state: GatewayState) -> "GatewayMetrics":
        """Register the instruments, with gauges of the state."""

        def contact_age(options: CallbackOptions) -> list[Observation]:
            return [Observation(state.contact.age_s(boot_time_s()))]

        def restorations(options: CallbackOptions) -> list[Observation]:
            return [Observation(state.store_restorations)]

        def limited_endpoints(options: CallbackOptions) -> list[Observation]:
            return [Observation(len(state.named_limits.limited()))]

        def leaving_endpoints(options: CallbackOptions) -> list[Observation]:
            return [Observation(len(state.directory.leaving_ids))]

        def paused_endpoints(options: CallbackOptions) -> list[Observation]:
            return [Observation(len(state.pauses.dump(time.monotonic())))]

        def located(options: CallbackOptions) -> list[Observation]:
            names = ("service", "kind", "where", "reason")
            return [
                Observation(count, dict(zip(names, key, strict=True)))
                for key, count in state.localities.counts().items()
            ]

        def outside_bytes(options: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, {"service": service})
                for service, count in state.localities.outside_bytes().items()
            ]

        meter.create_observable_counter(
            "sorrelhoist_gateway_located_requests", [located]
        )
        meter.create_observable_counter(
            "sorrelhoist_gateway_outside_bytes", [outside_bytes]
        )
        meter.create_observable_gauge("sorrelhoist_contact_age", [contact_age])
        meter.create_observable_gauge(
            "sorrelhoist_paused_endpoints", [paused_endpoints]
        )
        meter.create_observable_gauge(
            "sorrelhoist_leaving_endpoints", [leaving_endpoints]
        )
        meter.create_observable_gauge(
            "sorrelhoist_limited_endpoints", [limited_endpoints]
        )
        meter.create_observable_counter(
            "sorrelhoist_store_restorations", [restorations]
        )
        return cls(
            requests=meter.create_counter("sorrelhoist_gateway_requests"),
            failures=meter.create_counter("sorrelhoist_gateway_failed_attempts"),
            placement_wait=meter.create_histogram(
                "sorrelhoist_gateway_placement_wait_seconds"
            ),
            first_event=meter.create_histogram(
                "sorrelhoist_gateway_first_event_seconds"
            ),
        )


def create_metrics(state: GatewayState) -> tuple[ProcessMetrics, GatewayMetrics]:
    """Create the metrics of the process and of the gateway."""
    process = ProcessMetrics(state.node_id, "gateway")
    return process, GatewayMetrics.create(process.meter, state)
