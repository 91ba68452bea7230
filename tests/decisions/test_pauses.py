"""Pauses end late rather than early, at different times, or with a new start."""

import random

import attrs

from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.pauses import MAX_PAUSE_S, RETURN_JITTER, EndpointPauses

ONE = Endpoint(
    endpoint_id="i-1",
    service="app",
    address="10.0.0.1:80",
    failure_domain="a",
    capacity=8,
    born_ms=1000,
)
TWO = attrs.evolve(ONE, endpoint_id="i-2")


def test_68_gateways_that_were_turned_away_together_return_spread():
    ends_s = [
        EndpointPauses().pause(ONE, 4.0, random.Random(seed), 10.0)
        for seed in range(68)
    ]
    assert min(ends_s) >= 14.0
    assert max(ends_s) <= 14.0 + 4.0 * RETURN_JITTER
    most = max(sum(a <= one < a + 0.1 for one in ends_s) for a in ends_s)
    assert most <= 68 / 4


def test_a_shorter_pause_does_not_end_a_longer_one():
    pauses, rng = EndpointPauses(), random.Random(1)
    until_s = pauses.pause(ONE, 4.0, rng, 10.0)
    assert pauses.pause(ONE, 0.5, rng, 10.1) == until_s


def test_an_endpoint_that_started_again_is_not_paused():
    pauses = EndpointPauses()
    pauses.pause(ONE, 4.0, random.Random(1), 10.0)
    assert pauses.is_paused(ONE, 11.0)
    assert not pauses.is_paused(attrs.evolve(ONE, born_ms=2000), 11.0)


def test_the_time_left_is_that_of_the_first_of_all():
    pauses, rng = EndpointPauses(), random.Random(1)
    first_s = pauses.pause(ONE, 1.0, rng, 10.0)
    assert pauses.left_s([ONE, TWO], 10.0) is None
    pauses.pause(TWO, 5.0, rng, 10.0)
    assert pauses.left_s([ONE, TWO], 10.5) == first_s - 10.5
    assert pauses.left_s([], 10.5) is None


def test_a_huge_pause_is_cut():
    until_s = EndpointPauses().pause(ONE, float("inf"), random.Random(1), 0.0)
    assert until_s <= MAX_PAUSE_S * (1 + RETURN_JITTER)
