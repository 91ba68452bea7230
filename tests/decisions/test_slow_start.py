import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.slow_start import Additive, Doubling, SlowStart


def make_slow_start():
    return SlowStart(2, 250, 16, 2000)


def full_rounds(start):
    sizes = []
    while not start.full:
        allowed = start.allowed_requests
        for _ in range(allowed):
            start.completed(10, allowed, 10 * allowed)
        sizes.append(start.allowed_requests)
    return sizes


@pytest.mark.parametrize(
    "growth, second_round, rounds",
    [(Doubling(), (4, 5), (3, 4)), (Additive(1.0), (2, 3), (13, 18))],
)
def test_grows_with_each_allowance_of_completed_work(growth, second_round, rounds):
    start = SlowStart(2, 250, 16, 2000, growth)
    sizes = full_rounds(start)
    assert sizes[0] in second_round
    assert rounds[0] <= len(sizes) <= rounds[1]


def test_growth_is_slower_after_a_back_off_until_the_allowance_is_full_again():
    start = make_slow_start()
    first = len(full_rounds(start))
    start.back_off()
    assert start.allowed_requests == 2
    slower = len(full_rounds(start))
    start.reset()
    assert slower > 1.5 * first
    assert len(full_rounds(start)) == first


def test_growth_stops_at_low_utilisation():
    start = make_slow_start()
    for _ in range(100):
        start.completed(10, 4, 40)
    assert start.allowed_requests == 8


def test_failures_halve_the_allowance_down_to_the_floor():
    start = make_slow_start()
    while not start.full:
        start.completed(1000, 16, 2000)
    sizes = []
    for _ in range(4):
        start.troubled()
        sizes.append((start.allowed_requests, start.allowed_tokens))
    assert sizes == [(8, 1000), (4, 500), (2, 250), (2, 250)]


@given(st.lists(st.one_of(st.none(), st.integers(0, 5000))))
def test_fuzz_stays_between_floor_and_ceiling(events):
    start = make_slow_start()
    for tokens in events:
        if tokens is None:
            start.troubled()
        else:
            start.completed(tokens, 16, 2000)
        assert 2 <= start.allowed_requests <= 16
        assert 250 <= start.allowed_tokens <= 2000
