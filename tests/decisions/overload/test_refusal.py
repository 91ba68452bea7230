"""Estimates, refusals at once and their Retry-After."""

import random

import pytest

from sorrelhoist.decisions.overload.fleet_demand import (
    MAX_REPORTED_MS,
    ServiceLoad,
    WorkspaceLoad,
    services_to_report,
    workspace_hash,
)
from sorrelhoist.decisions.overload.refusal import overload_retry_after_s
from sorrelhoist.decisions.overload.start_estimate import (
    Ahead,
    ServiceCapacity,
    estimate_start,
    fleet_ahead,
)
from sorrelhoist.gateway.peer_exchange import _demands_to_wire
from sorrelhoist.messages.frames import Message, encode
from sorrelhoist.messages.gen import ttypes


def test_the_demands_of_a_report_fit_into_one_datagram():
    # Larger datagrams are fragmented, and lost if one fragment is.
    workspaces = {
        workspace_hash(str(n)): WorkspaceLoad(read_ms=MAX_REPORTED_MS, waiting=10**6)
        for n in range(24)
    }
    load = ServiceLoad(
        waiting=10**6, waiting_read_ms=MAX_REPORTED_MS, workspaces=workspaces
    )
    loads = {f"service-with-a-long-name-{n}": load for n in range(12)}
    demands = _demands_to_wire(loads)
    assert all(len(one.workspaces) == 8 for one in demands)
    with_demands = encode(Message(0, ttypes.LoadReport(node_id="g", demands=demands)))
    without = encode(Message(0, ttypes.LoadReport(node_id="g")))
    assert len(with_demands) - len(without) < 1400


def test_the_services_with_most_prefill_are_reported():
    loads = {
        str(n): ServiceLoad(workspaces={1: WorkspaceLoad(read_ms=n)}) for n in range(9)
    }
    assert set(services_to_report(loads)) == {"8", "7", "6", "5", "4"}


def test_a_request_due_early_is_not_behind_those_due_later():
    own = [(5.0, 1000.0)] * 10
    others = Ahead(requests=90, read_ms=90_000.0)
    early, late = (fleet_ahead(due_s, own, others, 10) for due_s in (1.0, 6.0))
    capacity = ServiceCapacity(engines=10, prefill_share=1.0)
    assert estimate_start(capacity, early, 10).prefill_s <= 5.0
    assert estimate_start(capacity, late, 10).prefill_s > 7.5


@pytest.mark.parametrize("wait_s", [0.2, 2.0, 5.0])
def test_callers_that_are_refused_together_return_spread_out_and_in_time(wait_s):
    rng = random.Random(1)
    times_s = [overload_retry_after_s(wait_s, 2.0, 15.0, rng) for _ in range(200)]
    assert min(times_s) >= max(0.1, wait_s - 2.0)
    assert max(times_s) <= 15.0 / 3
    assert max(times_s) - min(times_s) >= 0.09


def test_no_return_is_named_that_the_caller_could_not_use():
    # A Retry-After of 2.9 s with 3 s left cost callers their only repetition.
    assert overload_retry_after_s(2.9, 0.2, 3.0, random.Random(1)) is None
