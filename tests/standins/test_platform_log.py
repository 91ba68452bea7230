"""Logs and rate limits of the stand-in platform."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.standins.platform_log import Log, TokenBucket


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just("append"), st.integers(0, 4)),
            st.tuples(st.just("expire"), st.integers(0, 30)),
        ),
        max_size=30,
    ),
    st.integers(0, 40),
    st.integers(1, 5),
)
def test_fuzz_log_offsets_stay_gapless_as_records_expire(steps, skip, limit):
    log, oracle, first_offset = Log(), [], 1
    for now_s, (action, number) in enumerate(steps):
        if action == "append":
            values = [f"{now_s}-{i}" for i in range(number)]
            assert log.append(values, now_s) == len(oracle) + 1
            oracle += [(now_s, value) for value in values]
        else:
            log.expire(number)
            while first_offset <= len(oracle) and oracle[first_offset - 1][0] < number:
                first_offset += 1
    assert (log.first_offset, log.next_offset) == (first_offset, len(oracle) + 1)
    from_offset = first_offset + skip
    expected = oracle[from_offset - 1 :][:limit]
    read = log.read(from_offset, limit)
    assert [(one.appended_at_s, one.value) for one in read] == expected
    assert [one.offset for one in read] == list(
        range(from_offset, from_offset + len(expected))
    )


@pytest.mark.parametrize(
    ("per_s", "times_s", "taken"),
    [
        (0.0, [0, 0, 0, 0], 4),
        (1.0, [0, 0, 0, 0], 2),
        (1.0, [0, 0, 1, 2, 3], 5),
        (2.0, [0, 0, 0.25, 0.5, 0.6], 3),
        (1.0, [0, 0, 100, 100, 100], 4),
    ],
)
def test_token_bucket_allows_a_burst_and_then_its_rate(per_s, times_s, taken):
    limit = TokenBucket(per_s, 2.0)
    waits_s = [limit.take(time_s) for time_s in times_s]
    assert sum(wait_s == 0 for wait_s in waits_s) == taken
    assert all(wait_s <= 1 / per_s for wait_s in waits_s if wait_s)
