"""Metrics of a gateway: OpenTelemetry counters, latency histograms and a gauge."""

import time
from collections.abc import Callable, Mapping

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
    hold : Histogram
        Time for which requests were held before their admission, by outcome.
    prefill_lateness : Histogram
        Time by which the first event of a long prompt came later than expected when it
        was sent, by the age of the load that was known then.
    overdue_prefills : Counter
        Checks of long prompts whose first event was overdue, by outcome.
    """

    requests: Counter
    failures: Counter
    callers_cut: Counter
    placement_wait: Histogram
    first_event: Histogram
    stream_pause: Histogram
    pauses_over_target: Counter
    hold: Histogram
    prefill_lateness: Histogram
    overdue_prefills: Counter

    @classmethod
    def create(cls, meter: Meter, state: GatewayState) -> "GatewayMetrics":
        """Register the instruments, with gauges of the state."""
        _observe_state(meter, state)
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
            hold=meter.create_histogram("sorrelhoist_gateway_hold_seconds"),
            prefill_lateness=meter.create_histogram(
                "sorrelhoist_gateway_prefill_lateness_seconds"
            ),
            overdue_prefills=meter.create_counter(
                "sorrelhoist_gateway_overdue_prefills"
            ),
        )


_Value = Callable[[GatewayState], float | None]

_GAUGES: dict[str, _Value] = {
    "sorrelhoist_contact_age": lambda state: state.contact.age_s(boot_time_s()),
    "sorrelhoist_paused_endpoints": lambda state: len(
        state.pauses.dump(time.monotonic())
    ),
    "sorrelhoist_leaving_endpoints": lambda state: len(state.directory.leaving_ids),
    "sorrelhoist_limited_endpoints": lambda state: len(state.named_limits.limited()),
    "sorrelhoist_gateway_slow_endpoints": lambda state: len(
        state.pass_corrections.slow(time.monotonic())
    ),
    "sorrelhoist_gateway_held_requests": lambda state: state.startup.held_count,
    "sorrelhoist_gateway_memory_budget_bytes": lambda state: state.memory.budget_bytes,
    "sorrelhoist_gateway_memory_held_bytes": lambda state: state.memory.held_bytes,
    "sorrelhoist_gateway_memory_pressure": lambda state: int(state.memory.is_short),
    "sorrelhoist_gateway_headroom": lambda state: state.health.headroom,
    "sorrelhoist_gateway_withdrawn": lambda state: int(state.is_withdrawn),
}
"""Gauges of the state, by name; one without a value is left out."""

_COUNTERS: dict[str, Callable[[GatewayState], Mapping[str, int]]] = {
    "sorrelhoist_gateway_directory_updates": lambda state: state.directory_updates,
    "sorrelhoist_gateway_load_updates": lambda state: {
        "sent": state.update_rate.sent,
        "held_back": state.update_rate.held_back,
    },
}
"""Counters of the state, by name; their values by outcome."""

_TOTALS: dict[str, _Value] = {
    "sorrelhoist_store_restorations": lambda state: state.store_restorations,
    "sorrelhoist_gateway_early_refusals": lambda state: state.early_refusals,
}
"""Counters of the state without a distinction of outcomes."""


def _observe_state(meter: Meter, state: GatewayState) -> None:
    """Register instruments whose values are read from the state."""

    def gauge(value: _Value) -> Callable[[CallbackOptions], list[Observation]]:
        def observe(options: CallbackOptions) -> list[Observation]:
            found = value(state)
            return [] if found is None else [Observation(found)]

        return observe

    def counter(
        counts: Callable[[GatewayState], Mapping[str, int]],
    ) -> Callable[[CallbackOptions], list[Observation]]:
        return lambda options: [
            Observation(count, {"outcome": outcome})
            for outcome, count in counts(state).items()
        ]

    def waiting(options: CallbackOptions) -> list[Observation]:
        services = state.table.services if state.table else {}
        now_s = time.monotonic()
        return [
            Observation(count, {"service": service, "gateways": gateways})
            for service in services
            for gateways, count in (
                ("own", len(state.own_work.waiting(service))),
                ("others", state.fleet_demand.others(service, now_s).waiting),
            )
        ]

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

    meter.create_observable_gauge("sorrelhoist_gateway_waiting_requests", [waiting])
    meter.create_observable_counter("sorrelhoist_gateway_located_requests", [located])
    meter.create_observable_counter(
        "sorrelhoist_gateway_outside_bytes", [outside_bytes]
    )
    for name, value in _GAUGES.items():
        meter.create_observable_gauge(name, [gauge(value)])
    for name, counts in _COUNTERS.items():
        meter.create_observable_counter(name, [counter(counts)])
    for name, total in _TOTALS.items():
        meter.create_observable_counter(name, [gauge(total)])


def create_metrics(state: GatewayState) -> tuple[ProcessMetrics, GatewayMetrics]:
    """Create the metrics of the process and of the gateway."""
    process = ProcessMetrics(state.node_id, "gateway")
    return process, GatewayMetrics.create(process.meter, state)
