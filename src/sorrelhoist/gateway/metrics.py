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

PAUSE_BUCKETS_S = (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.6, 0.8, 1.0, 2.0, 4.0)
"""Boundaries around the usual pause targets of routes."""


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
    callers_cut : Counter
        Callers that were disconnected for what was held for them, by reason.
    first_event : Histogram
        Time from the receipt of the request headers to the first event, in seconds.
    stream_pause : Histogram
        Time between two relayed events of a stream in seconds, by route.
    pauses_over_target : Counter
        Pauses of streams that exceed the target of their route, by route.
    """

    requests: Counter
    failures: Counter
    callers_cut: Counter
    placement_wait: Histogram
    first_event: Histogram
    stream_pause: Histogram
    pauses_over_target: Counter

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

        def load_updates(options: CallbackOptions) -> list[Observation]:
            rate = state.update_rate
            return [
                Observation(rate.sent, {"outcome": "sent"}),
                Observation(rate.held_back, {"outcome": "held_back"}),
            ]

        meter.create_observable_counter(
            "sorrelhoist_gateway_load_updates", [load_updates]
        )

        def memory_budget(options: CallbackOptions) -> list[Observation]:
            budget_bytes = state.memory.budget_bytes
            return [] if budget_bytes is None else [Observation(budget_bytes)]

        def memory_held(options: CallbackOptions) -> list[Observation]:
            return [Observation(state.memory.held_bytes)]

        def memory_pressure(options: CallbackOptions) -> list[Observation]:
            return [Observation(int(state.memory.is_short))]

        def slow_endpoints(options: CallbackOptions) -> list[Observation]:
            return [Observation(len(state.pass_corrections.slow(time.monotonic())))]

        meter.create_observable_gauge(
            "sorrelhoist_gateway_slow_endpoints", [slow_endpoints]
        )
        meter.create_observable_gauge("sorrelhoist_contact_age", [contact_age])
        meter.create_observable_gauge(
            "sorrelhoist_gateway_memory_budget_bytes", [memory_budget]
        )
        meter.create_observable_gauge(
            "sorrelhoist_gateway_memory_held_bytes", [memory_held]
        )
        meter.create_observable_gauge(
            "sorrelhoist_gateway_memory_pressure", [memory_pressure]
        )
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
            callers_cut=meter.create_counter("sorrelhoist_gateway_callers_cut"),
            placement_wait=meter.create_histogram(
                "sorrelhoist_gateway_placement_wait_seconds"
            ),
            first_event=meter.create_histogram(
                "sorrelhoist_gateway_first_event_seconds"
            ),
            # Without the suffix of the unit, which the exporter adds, the boundaries
            # of this instrument apply instead of the general ones.
            stream_pause=meter.create_histogram(
                "sorrelhoist_gateway_stream_pause",
                unit="s",
                explicit_bucket_boundaries_advisory=PAUSE_BUCKETS_S,
            ),
            pauses_over_target=meter.create_counter(
                "sorrelhoist_gateway_pauses_over_target"
            ),
        )


def create_metrics(state: GatewayState) -> tuple[ProcessMetrics, GatewayMetrics]:
    """Create the metrics of the process and of the gateway."""
    process = ProcessMetrics(state.node_id, "gateway")
    return process, GatewayMetrics.create(process.meter, state)
