"""Attempts of a whole fleet to read a store that is away."""

import random

import pytest

from sorrelhoist.decisions.peer_configurations import PeerContact
from sorrelhoist.decisions.store_backoff import store_backoff_s
from sorrelhoist.decisions.store_readers import READER_COUNT

OUTAGE_S = 300.0


@pytest.mark.parametrize("gateways", [5, 30, 68, 300])
def test_calls_in_an_outage_for_all_do_not_grow_with_the_fleet(gateways):
    # Each gateway went through short backoffs, and the readers probed within 0.4 s.
    rng = random.Random(gateways)
    calls = 0
    for number in range(gateways):
        now_s, failures = 3.0, 2
        while now_s < OUTAGE_S:
            is_reader = number < READER_COUNT
            now_s += store_backoff_s(
                failures, is_reader, PeerContact.LOST, gateways, rng
            )
            failures += 1
            calls += 1
    assert calls / OUTAGE_S <= READER_COUNT * 2.6
