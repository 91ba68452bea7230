"""Requests that crash endpoints are refused, common ones during outages are not."""

import pytest

from sorrelhoist.decisions.request_suspicion import (
    DEATHS_TO_CONDEMN,
    TRIAL_BASE_S,
    RequestSuspicions,
)

COMMON, POISON = 7, 8


def die(requests, numbers, fingerprint, now_s, running=4):
    for number in numbers:
        requests.endpoint_died(f"e{number}", "boot", [fingerprint], now_s, running)


def test_a_common_request_is_served_after_a_power_failure():
    requests = RequestSuspicions("g")
    for number in range(50):
        requests.completed(COMMON, number / 10)
    die(requests, range(12), COMMON, 6.0)
    assert not requests.is_condemned(COMMON, 6.0)
    assert not requests.is_condemned(COMMON, 600.0)


def test_a_common_request_is_served_while_endpoints_die_in_series():
    requests = RequestSuspicions("g")
    now_s = 0.0
    for number in range(40):
        die(requests, [number], COMMON, now_s)
        assert not requests.is_condemned(COMMON, now_s)
        now_s += 0.5
        requests.completed(COMMON, now_s)


def test_a_request_that_never_completed_is_refused_after_three_deaths():
    requests = RequestSuspicions("g")
    requests.completed(COMMON, 0.5)
    die(requests, range(DEATHS_TO_CONDEMN - 1), POISON, 1.0)
    assert not requests.is_condemned(POISON, 1.0)
    die(requests, [DEATHS_TO_CONDEMN], POISON, 2.2)
    assert requests.is_condemned(POISON, 2.2)


def test_a_power_failure_at_a_gateway_that_has_just_started_refuses_nothing():
    requests = RequestSuspicions("g")
    for number in range(12):
        die(requests, [number], COMMON, 1.0 + number / 20)
    assert not requests.is_condemned(COMMON, 2.0)


def test_requests_that_crash_endpoints_at_the_same_time_are_all_refused():
    requests = RequestSuspicions("g")
    for number in range(4):
        for poison in range(5):
            die(requests, [f"{number}-{poison}"], poison, 1.0 + number)
    assert all(requests.is_condemned(poison, 5.0) for poison in range(5))


def test_a_request_that_begins_to_crash_endpoints_is_refused_in_the_end():
    requests = RequestSuspicions("g")
    for number in range(1000):
        requests.completed(POISON, number / 100)
    for number in range(25):
        die(requests, [number], POISON, 11.0 + number)
    assert requests.is_condemned(POISON, 36.0)


def test_completions_at_another_gateway_clear_a_request():
    here, there = RequestSuspicions("g1"), RequestSuspicions("g2")
    for number in range(4):
        die(here, [number], COMMON, 1.0 + number)
    assert here.is_condemned(COMMON, 4.0)
    there.completed(COMMON, 4.2)
    there.merge(here.for_gossip(4.5), 4.5)
    here.merge(there.for_gossip(4.6), 4.6)
    assert not here.is_condemned(COMMON, 4.6)
    assert not there.is_condemned(COMMON, 4.6)


def test_a_refused_request_is_tried_by_one_gateway_at_growing_intervals():
    gateways = [RequestSuspicions(f"g{number}") for number in range(5)]
    ids = [f"g{number}" for number in range(5)]
    for one in gateways:
        die(one, range(3), POISON, 0.0)
    tried_s, last_s = [], 0.0
    for step in range(4 * 400):
        now_s = step / 4
        tried = sum(one.try_trial(POISON, ids, now_s) for one in gateways)
        assert tried <= 1
        if tried:
            tried_s.append(now_s)
            for one in gateways:
                die(one, [f"trial-{now_s}"], POISON, now_s + 0.2)
            last_s = now_s
    assert tried_s[0] == TRIAL_BASE_S
    assert len(tried_s) == 2 and last_s < 400


@pytest.mark.parametrize("deaths", [3, 10])
def test_a_trial_that_completes_ends_the_refusal(deaths):
    requests = RequestSuspicions("g")
    for number in range(deaths):
        die(requests, [number], COMMON, number)
    assert requests.is_condemned(COMMON, 1400.0)
    assert requests.try_trial(COMMON, ["g"], 1400.0)
    requests.completed(COMMON, 1400.5)
    assert not requests.is_condemned(COMMON, 1400.5)
