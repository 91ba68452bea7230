import random

import pytest

from sorrelhoist.decisions.retry_after import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Backlog,
    BacklogBased,
    Constant,
    Exponential,
    retry_after_s,
)


@pytest.mark.parametrize(
    "advice, position, interval_s, wait_s, attempt, expected_s",
    [
        (BacklogBased(), 0, 0.0, 0.0, 0, MIN_RETRY_AFTER_S),
        (BacklogBased(), 4, 0.5, 0.0, 9, 2.5),
        (BacklogBased(), 4, 0.5, 7.0, 0, 7.0),
        (BacklogBased(), 999, 9.0, 0.0, 0, MAX_RETRY_AFTER_S),
        (Constant(3.0), 4, 0.5, 7.0, 5, 3.0),
        (Exponential(0.5), 4, 0.5, 0.0, 0, 0.5),
        (Exponential(0.5), 4, 0.5, 0.0, 3, 4.0),
        (Exponential(0.5), 4, 0.5, 0.0, 10_000, MAX_RETRY_AFTER_S),
    ],
)
def test_retry_after_and_its_jitter_stay_within_bounds(
    advice, position, interval_s, wait_s, attempt, expected_s
):
    backlog = Backlog(
        position=position,
        drain_interval_s=interval_s,
        expected_wait_s=wait_s,
        attempt=attempt,
    )
    assert retry_after_s(advice, backlog) == expected_s
    rng = random.Random(7)
    for _ in range(20):
        jittered_s = retry_after_s(advice, backlog, rng)
        assert MIN_RETRY_AFTER_S <= jittered_s <= max(expected_s * 1.2, expected_s)
