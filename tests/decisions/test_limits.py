"""Limits hold across all entries, follow demand, and return an exact Retry-After."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from sorrelhoist.decisions.limits import (
    LimitKind,
    WorkspaceLimit,
    WorkspaceLimits,
)

RATE_PER_S, BURST, TOKENS = 20.0, 10.0, 1000
LIMIT = WorkspaceLimit(RATE_PER_S, BURST, TOKENS)


def entries(count, limit=LIMIT):
    limits = [WorkspaceLimits(count) for _ in range(count)]
    for entry in limits:
        entry.set_limits({"desk": limit}, 0.0)
    return limits


def exchange(limits, now_s, lost=()):
    reports = [entry.report(now_s) for entry in limits]
    for receiver, entry in enumerate(limits):
        for sender, report in enumerate(reports):
            if sender != receiver and (sender, receiver) not in lost:
                entry.record_peer_report(f"entry-{sender}", report, now_s)


def refusal(result):
    return result.failure().kind, result.failure().retry_after_s


@pytest.mark.parametrize(
    "tokens, workspace, expected",
    [
        (TOKENS + 1, "desk", (LimitKind.TOO_LARGE, None)),
        (1, "nobody", (LimitKind.NO_WORKSPACE, None)),
    ],
)
def test_request_that_can_never_be_admitted_has_no_retry_after(
    tokens, workspace, expected
):
    (entry,) = entries(1)
    assert refusal(entry.admit(workspace, tokens, 0.0)) == expected


def test_tokens_are_held_until_released():
    (entry,) = entries(1)
    first = entry.admit("desk", TOKENS, 0.0).unwrap()
    assert refusal(entry.admit("desk", 1, 0.0))[0] is LimitKind.TOKENS
    entry.release(first)
    assert isinstance(entry.admit("desk", TOKENS, 0.0), Success)


def test_request_as_large_as_the_limit_is_not_locked_out_by_shares():
    limits = entries(4)
    exchange(limits, 1.0)
    assert isinstance(limits[0].admit("desk", TOKENS, 1.0), Success)
    exchange(limits, 2.0)
    assert refusal(limits[1].admit("desk", 1, 2.0))[0] is LimitKind.TOKENS


def test_changed_limit_still_counts_running_requests():
    (entry,) = entries(1)
    entry.admit("desk", 600, 0.0)
    entry.set_limits({"desk": WorkspaceLimit(RATE_PER_S, BURST, 700)}, 1.0)
    assert refusal(entry.admit("desk", 200, 1.0))[0] is LimitKind.TOKENS
    assert isinstance(entry.admit("desk", 100, 1.0), Success)


def test_share_is_at_most_equal_while_other_entries_are_silent():
    limits = entries(4)
    for number in range(10):
        limits[0].admit("desk", 0, float(number))
        exchange(limits, float(number))
    for number in range(10, 20):
        limits[0].report(float(number))
    assert limits[0].dump()["desk"]["share"] <= 0.25


def test_share_follows_demand():
    """With all demand at one of four entries, an equal share would admit a quarter."""
    limits, admitted = entries(4), 0
    for step in range(4000):
        now_s = step / 100
        if step % 100 == 0:
            exchange(limits, now_s)
        result = limits[0].admit("desk", 0, now_s)
        admitted += isinstance(result, Success) and now_s >= 10
    assert 0.8 * RATE_PER_S * 30 < admitted < RATE_PER_S * 30 + BURST


@given(
    st.floats(0.1, 500),
    st.floats(1, 50),
    st.lists(st.floats(0, 2), min_size=1, max_size=30),
)
def test_fuzz_retry_after_is_exact(rate_per_s, burst, gaps_s):
    (entry,) = entries(1, WorkspaceLimit(rate_per_s, burst, TOKENS))
    now_s = 0.0
    for gap_s in gaps_s:
        now_s += gap_s
        result = entry.admit("desk", 0, now_s)
        if isinstance(result, Success):
            continue
        kind, wait_s = refusal(result)
        assert kind is LimitKind.REQUESTS
        early = entry.admit("desk", 0, now_s + 0.99 * wait_s)
        assert not isinstance(early, Success)
        now_s += wait_s
        assert isinstance(entry.admit("desk", 0, now_s), Success)


@given(st.integers(1, 5), st.integers(0, 10_000))
def test_fuzz_total_over_entries_stays_within_the_bound(count, seed):
    rng, limits, running = random.Random(seed), entries(count), []
    level, largest, last_s = 0.0, 200, 0.0
    weights = [rng.random() ** 3 for _ in limits]
    for step in range(600):
        now_s = step / 50
        if step % 50 == 0:
            exchange(limits, now_s)
            weights = [rng.random() ** 3 for _ in limits]
        entry = rng.choices(limits, weights)[0]
        tokens = rng.randint(0, largest)
        level = max(0.0, level - (now_s - last_s) * RATE_PER_S)
        last_s = now_s
        result = entry.admit("desk", tokens, now_s)
        if isinstance(result, Success):
            level += 1
            running.append((entry, result.unwrap()))
        if running and rng.random() < 0.3:
            done, admission = running.pop(rng.randrange(len(running)))
            done.release(admission)
        assert level <= BURST + count + 1e-6
        held = sum(admission.tokens for _, admission in running)
        # Each entry may exceed its allowance by one request, except a single entry.
        excess = count * largest if count > 1 else 0
        assert held <= TOKENS + excess


request_counts = st.integers(0, 100)


@given(
    st.lists(
        st.tuples(request_counts, request_counts, request_counts),
        min_size=2,
        max_size=6,
    ),
    st.randoms(),
)
def test_fuzz_shares_never_exceed_one_while_all_are_one_report_behind(rounds, rng):
    limits, reports = entries(len(rounds)), []
    for entry, counts in zip(limits, rounds, strict=True):
        reports.append([])
        for number, count in enumerate(counts):
            for _ in range(count):
                entry.admit("desk", 0, float(number))
            reports[-1].append(entry.report(number + 1.0))
    for index, entry in enumerate(limits):
        for sender, (first, second, third) in enumerate(reports):
            heard = [first, second] + [third] * rng.randint(0, 1)
            for report in heard if sender != index else ():
                entry.record_peer_report(f"entry-{sender}", report, 4.0)
    shares = [entry.dump()["desk"]["share"] for entry in limits]
    assert sum(shares) <= 1 + 1e-9
