"""Export of a gateway's measurements and state by OpenTelemetry.

The libraries take longer to import than the rest of a gateway's start, so this module
is imported by `MetricsLoader` once the gateway serves.
"""

import time
from collections.abc import Callable, Mapping

from opentelemetry.metrics import CallbackOptions, Meter, Observation

from ..node.metrics import ProcessMetrics
from .metrics import Counter, GatewayMetrics
from .state import GatewayState, boot_time_s

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
    "sorrelhoist_gateway_retry_gateways": lambda state: state.retries.processes,
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
    "sorrelhoist_gateway_memory_asks": lambda state: state.memory_asks,
    "sorrelhoist_gateway_task_failures": lambda state: state.task_failures,
}
"""Counters of the state, by name; their values by outcome, or by task."""

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


def export_metrics(state: GatewayState, metrics: GatewayMetrics) -> ProcessMetrics:
    """Return the exporter of the state and the measurements of a gateway."""
    process = ProcessMetrics(state.node_id, "gateway")
    meter = process.meter
    _observe_state(meter, state)
    for instrument in metrics.instruments():
        if isinstance(instrument, Counter):
            instrument.write_to(meter.create_counter(instrument.name).add)
        else:
            histogram = meter.create_histogram(
                instrument.name,
                unit=instrument.unit,
                explicit_bucket_boundaries_advisory=instrument.boundaries,
            )
            instrument.write_to(histogram.record)
    return process
