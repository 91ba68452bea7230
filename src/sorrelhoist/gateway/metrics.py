"""What a gateway counts and measures."""

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
    """Counters by outcome, and latency histograms.

    Parameters
    ----------
    requests : Counter
        Ended requests, by outcome.
    failures : Counter
        Attempts that failed, by kind.
    placement_wait, first_event : Histogram
        Seconds from the arrival of the headers.
    """

    requests: Counter
    failures: Counter
    placement_wait: Histogram
    first_event: Histogram

    @classmethod
    def create(cls, meter: Meter, state: GatewayState) -> "GatewayMetrics":
        """Register the instruments."""

        def contact_age(options: CallbackOptions) -> list[Observation]:
            return [Observation(state.contact.age_s(boot_time_s()))]

        meter.create_observable_gauge("sorrelhoist_contact_age", [contact_age])
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
    """Return the process's meter and the gateway's instruments."""
    process = ProcessMetrics(state.node_id, "gateway")
    return process, GatewayMetrics.create(process.meter, state)
