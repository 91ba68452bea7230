"""Waits for the first event of long prompts in waves of long prompts."""

import pytest

from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.placement.demand import Assignment, Busy
from sorrelhoist.decisions.placement.load_tracker import (
    EndpointUse,
    LoadTracker,
    RequestUse,
)
from sorrelhoist.decisions.placement.prefill_watch import Move, PrefillWatch, Wait

SLACK_S, DEADLINE_S = 5.0, 15.0


def endpoint(name):
    return Endpoint(
        endpoint_id=name, service="llm", address=name, failure_domain="a", capacity=6
    )


PLACED = Assignment(
    first=endpoint("a"), helpers=(endpoint("b"),), first_event_ms=1900.0, is_long=True
)


def elsewhere(first_event_ms):
    return lambda: Assignment(first=endpoint("c"), first_event_ms=first_event_ms)


def started():
    loads = LoadTracker()
    uses = tuple(
        RequestUse(address=name, read_ms=1800.0, is_stream=name == "a") for name in "ab"
    )
    loads.place("own", uses, 0.0)
    return loads, PrefillWatch.start(PLACED, loads, SLACK_S, 0.0)


def peers_place(loads, read_ms, at_s, gateways, address="b"):
    for number in range(gateways):
        use = EndpointUse(address=address, read_ms=read_ms, placed_ms=read_ms)
        loads.peer_updated(f"peer-{number}", 1, 1, [use], at_s)


@pytest.mark.parametrize("gateways", [5, 30, 68, 300])
def test_a_wait_that_parts_of_other_gateways_explain_is_not_cut(gateways):
    # The fixed timer cut prefills 5 s beyond the first estimate although six newer
    # prefills of other gateways had been placed on their helpers.
    loads, watch = started()
    peers_place(loads, 6000.0 / gateways, 1.0, gateways)
    assert round(watch.expected_s(loads), 3) == 7.9
    found = watch.check(loads, elsewhere(500.0), DEADLINE_S, 1.9 + SLACK_S)
    assert found == Wait(watch.expected_s(loads) + SLACK_S, "explained")


def test_an_unexplained_wait_is_moved_as_soon_as_before():
    loads, watch = started()
    # What is placed on other endpoints explains nothing.
    peers_place(loads, 4000.0, 1.0, 3, address="z")
    before = watch.check(loads, elsewhere(900.0), DEADLINE_S, 1.89 + SLACK_S)
    assert isinstance(before, Wait)
    after = watch.check(loads, elsewhere(900.0), DEADLINE_S, 1.91 + SLACK_S)
    assert after == Move(900.0)


@pytest.mark.parametrize(
    "found, now_s, reason",
    [
        (elsewhere(5500.0), 7.0, "no sooner elsewhere"),
        (elsewhere(4000.0), 12.0, "too late elsewhere"),
        (lambda: Busy(), 7.0, "no room elsewhere"),
    ],
)
def test_a_prefill_stays_where_a_move_would_not_serve_its_caller(found, now_s, reason):
    loads, watch = started()
    decision = watch.check(loads, found, DEADLINE_S, now_s)
    assert isinstance(decision, Wait)
    assert (decision.reason, decision.until_s > now_s) == (reason, True)


def test_updates_and_reports_of_one_placement_explain_a_wait_once():
    loads, watch = started()
    use = EndpointUse(address="b", read_ms=700.0, placed_ms=700.0)
    loads.peer_updated("peer", 1, 1, [use], 1.0)
    loads.peer_reported("peer", 1, 2, [use], 1.1)
    assert watch.placed_since_ms(loads) == {"b": 700.0}
