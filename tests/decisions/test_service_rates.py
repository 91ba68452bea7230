import pytest

from sorrelhoist.decisions.service_rates import ServiceRates


def test_prefill_is_measured_over_busy_time_of_all_lanes():
    rates = ServiceRates(1000.0)
    rates.prefill_began(0.0)
    for second in range(1, 100):
        rates.prefill_ended(100, float(second), busy=True)
    rates.prefill_ended(40_100, 100.0, busy=False)
    assert rates.prefill_per_s > 500
    rates.prefill_began(1000.0)
    rates.prefill_ended(50_000, 1100.0, busy=False)
    assert rates.prefill_per_s == pytest.approx(500, rel=0.15)


def test_the_drain_interval_is_measured_only_while_requests_wait():
    rates = ServiceRates(1000.0)
    rates.drained(0.0, waiting=False)
    rates.drained(100.0, waiting=True)
    rates.drained(102.0, waiting=True)
    assert rates.drain_interval_s == pytest.approx(2.0)


def test_a_single_slow_prefill_is_not_reported_as_slow():
    rates = ServiceRates(1000.0)
    verdicts = [
        rates.record_exclusive_prefill(tokens, elapsed_s, 250.0)
        for tokens, elapsed_s in [
            (3000, 60),
            (3000, 1),
            (9, 60),
            (3000, 60),
            (3000, 60),
        ]
    ]
    assert verdicts == [False, False, False, False, True]


def test_decode_time_is_smoothed():
    rates = ServiceRates(1000.0)
    for elapsed_s in (1.0, 2.0):
        rates.decoded(100, elapsed_s)
    rates.decoded(0, 5.0)
    assert rates.decode_s_per_token == pytest.approx(0.012)
    assert rates.service_s(2000, 100) == pytest.approx(3.2)
