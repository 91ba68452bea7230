"""Explanation of pauses over the target by what was placed on the endpoint."""

import attrs
import pytest

from sorrelhoist.bench.experiments.virtual_gateways import COSTS
from sorrelhoist.decisions.placement.load_tracker import (
    EndpointUse,
    LoadTracker,
    RequestUse,
)
from sorrelhoist.decisions.placement.pause_monitor import (
    MAX_LOGGED_PER_S,
    MAX_SLOWNESS,
    PassCorrections,
    PauseLogRate,
    StreamPauses,
    estimate_pass,
)
from sorrelhoist.decisions.placement.prefill_history import MAX_PREFILLS


def placed_by_both(peer_ms):
    """Return a tracker with prefills of two gateways on endpoint `a`."""
    tracker = LoadTracker()
    tracker.place("r1", (RequestUse(address="a", read_ms=100.0),), now_s=0.9)
    tracker.place("r2", (RequestUse(address="a", read_ms=60.0),), now_s=1.1)
    reported = EndpointUse(address="a", streams=1, read_ms=peer_ms, placed_ms=peer_ms)
    tracker.peer_reported("peer", 1, 1, [reported], now_s=1.15)
    return tracker


def estimate(tracker, costs=COSTS):
    use = tracker.endpoint_use("a", now_s=1.3)
    return estimate_pass(tracker.history.placed("a"), use, costs, began_s=0.95)


def test_a_pause_is_explained_by_the_prefills_of_all_gateways():
    # Without the share of each gateway, a pause that a peer's prefill caused looked
    # like a slow engine.
    found = estimate(placed_by_both(peer_ms=40.0))
    assert (round(found.backlog_ms), found.own_ms, found.peer_ms) == (50, 60.0, 40.0)
    assert round(found.expected_ms) == round(COSTS.pass_ms) + 150


def test_a_pass_is_not_expected_to_prefill_more_than_its_steps_take():
    # A prefill of seconds runs over many passes and doesn't excuse one of seconds.
    costs = attrs.evolve(COSTS, chunk_tokens=2048)
    found = estimate(placed_by_both(peer_ms=19_000.0), costs)
    assert found.expected_ms < 5100


def test_the_history_of_an_endpoint_is_bounded():
    tracker = LoadTracker()
    for number in range(3 * MAX_PREFILLS):
        tracker.place(number, (RequestUse(address="a", read_ms=1.0),), now_s=1.0)
    assert len(tracker.history.placed("a")) == MAX_PREFILLS


# Endpoints that are slower than their costs


def stream(pass_s, events=20, late_every=0):
    pauses = StreamPauses(target_s=0.25)
    now_s = 0.0
    for number in range(events):
        now_s += pass_s + (0.2 if late_every and number % late_every else 0.0)
        pauses.relayed(1, now_s)
    return pauses


def slowness(*streams, now_s=1.0):
    corrections = PassCorrections()
    use = EndpointUse(address="a", streams=3)
    for one in streams:
        corrections.stream_ended("i-1", one, use, COSTS, now_s=1.0)
    return corrections.slowness("i-1", now_s)


def test_a_slow_endpoint_is_corrected_within_a_bound_and_recovers():
    pass_s = COSTS.pass_ms / 1000
    assert slowness(*[stream(2 * pass_s)] * 8) == pytest.approx(2.0, abs=0.1)
    assert slowness(*[stream(50 * pass_s)] * 30) <= MAX_SLOWNESS
    assert slowness(*[stream(2 * pass_s)] * 8, now_s=60.0) == 1.0


def test_pauses_by_prefills_of_others_are_not_taken_for_a_slow_endpoint():
    busy = stream(COSTS.pass_ms / 1000, late_every=4)
    assert slowness(*[busy] * 8) == 1.0
    # Too few events to have seen a pass without prefill.
    assert slowness(*[stream(1.0, events=3)] * 8) == 1.0


def test_streams_of_slow_endpoints_don_t_take_the_processor_with_log_lines():
    # 200 streams with an event every 0.4 s logged 500 lines a second, each with a sum
    # of all loads: the gateway lost the store and refused keys.
    rate = PauseLogRate()
    seconds = 4
    lines = sum(
        rate.try_log(now_s=100.0 + number / 500) for number in range(500 * seconds)
    )
    assert lines <= MAX_LOGGED_PER_S * (seconds + 1)
    assert lines + rate.skipped == 500 * seconds
