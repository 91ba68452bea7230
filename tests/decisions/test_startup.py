"""Requests that arrive before the first configuration are served, not refused."""

import pytest

from sorrelhoist.decisions.peer_configurations import PeerContact
from sorrelhoist.decisions.startup import (
    MAX_HELD,
    MAX_LOADS_WAIT_S,
    RELEASE_COUNT,
    STARTUP_S,
    Startup,
    hold_until_s,
)

UNKNOWN, LOST, FRESH = PeerContact.UNKNOWN, PeerContact.LOST, PeerContact.FRESH


def held(startup, count, now_s, until_s, size_bytes=0):
    return [
        startup.hold(now_s + 1.0 - k / 1000, until_s, size_bytes, now_s)
        for k in range(count)
    ]


def test_a_power_fault_refuses_no_request_that_can_be_served_0_2_s_later():
    # Replays 34.0 to 34.2 s of deployment A: 25 requests, configuration after 0.2 s.
    startup = Startup(started_s=34.0)
    numbers = []
    for tick in range(20):
        now_s = 34.0 + tick / 100
        assert startup.is_ready_soon(UNKNOWN, now_s)
        until_s = hold_until_s(now_s, None, 10.8, now_s)
        numbers.append(startup.hold(now_s + 0.3, until_s, 20_000, now_s))
        assert startup.release(False, UNKNOWN, now_s) == []
    left = []
    for tick in range(20, 26):
        leaving = startup.release(True, FRESH, 34.0 + tick / 100)
        assert len(leaving) <= RELEASE_COUNT
        left += leaving
    assert left == numbers


@pytest.mark.parametrize(
    ("startup", "others", "now_s"),
    [
        (Startup(started_s=1.0), LOST, 1.1),
        (Startup(started_s=1.0, failed_reads=2), UNKNOWN, 1.1),
        (Startup(started_s=1.0), FRESH, 1.0 + STARTUP_S),
        (Startup(), FRESH, 1.0),
        (Startup(started_s=1.0, is_complete=True), UNKNOWN, 1.1),
    ],
)
def test_an_outage_is_refused_at_once(startup, others, now_s):
    assert not startup.is_ready_soon(others, now_s)


def test_held_requests_are_refused_once_the_outage_is_known():
    startup = Startup(started_s=1.0)
    numbers = held(startup, 9, now_s=1.1, until_s=1.6)
    assert startup.release(False, LOST, 1.2) == numbers[::-1]
    assert startup.held_count == 0


def test_a_renewal_is_expected_for_a_bounded_time():
    startup = Startup()
    startup.renewal_expected(100.0)
    assert startup.is_ready_soon(FRESH, 100.4)
    assert not startup.is_ready_soon(LOST, 100.4)
    assert not startup.is_ready_soon(FRESH, 100.5)


def test_the_earliest_due_requests_leave_first_and_others_when_their_time_is_over():
    startup = Startup(started_s=1.0)
    late = startup.hold(9.0, 1.2, 0, 1.0)
    numbers = held(startup, 6, now_s=1.1, until_s=1.6)
    assert startup.release(True, FRESH, 1.3) == [*numbers[:1:-1], late]
    assert startup.release(True, FRESH, 1.31) == numbers[1::-1]


def test_number_and_bytes_of_held_requests_are_bounded():
    startup = Startup()
    startup.begin(1.0, memory_bytes=200_000_000)
    assert held(startup, 3, 1.0, 1.5, size_bytes=4_000_000)[1:] != [None, None]
    assert startup.hold(2.0, 1.5, 4_000_000, 1.0) is None
    assert held(startup, MAX_HELD, 1.0, 1.5)[-1] is None
    assert startup.held_count == MAX_HELD


@pytest.mark.parametrize("gateways", [5, 30, 68, 300])
def test_large_prompts_wait_once_and_boundedly_for_the_loads_of_peers(gateways):
    startup = Startup(started_s=1.0)
    first_s = startup.loads_wait_s(1900.0, FRESH, gateways, 1.2)
    assert 0 < first_s <= MAX_LOADS_WAIT_S
    assert startup.loads_wait_s(1900.0, FRESH, gateways, 1.2 + first_s) == 0.0
    assert startup.loads_wait_s(20.0, FRESH, gateways, 1.2) == 0.0
    assert Startup().loads_wait_s(1900.0, FRESH, gateways, 1.2) == 0.0
