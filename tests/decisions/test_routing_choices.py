import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.decisions.routing import (
    MAX_CANDIDATES,
    ExpectedFirstToken,
    FewestRequests,
    FewestTokens,
    RoundRobin,
    Router,
    RouteRequest,
    Target,
)
from sorrelhoist.messages.gen import ttypes

POLICIES = [ExpectedFirstToken(), RoundRobin(), FewestRequests(), FewestTokens()]
SHORT = RouteRequest("m", "praha-a", 1000, 16, (), False)
LONG = attrs.evolve(SHORT, prompt_tokens=200_000, is_long=True)


def targets(count, domain="praha-a"):
    return [Target(f"e-{n}", f"agent-{n}", domain, 450_000) for n in range(count)]


def load(endpoint, **figures):
    zeros = dict.fromkeys(
        ("running_requests", "queued_requests", "kv_used_tokens")
        + ("pending_prefill_tokens", "long_requests", "queue_delay_ms"),
        0,
    )
    rate = {"prefill_tokens_per_s": 40_000, "kv_capacity_tokens": 450_000}
    return ttypes.Load(endpoint=endpoint, phase="warm", **(zeros | rate | figures))


def make_router(policy=None, seed=0):
    return Router(policy or ExpectedFirstToken(), random.Random(seed))


def names(router, request, found, now_s=0.0):
    return [target.endpoint for target in router.choose(request, found, now_s)]


@pytest.mark.parametrize("policy", POLICIES)
@given(st.integers(0, 12), st.booleans(), st.integers(0, 99))
def test_fuzz_choice_has_no_duplicates_and_at_most_the_maximum(
    policy, count, is_long, seed
):
    chosen = names(
        make_router(policy, seed), LONG if is_long else SHORT, targets(count)
    )
    assert len(chosen) == len(set(chosen)) <= MAX_CANDIDATES
    assert bool(chosen) is bool(count)


@pytest.mark.parametrize(
    "busy",
    [
        {"pending_prefill_tokens": 400_000},
        {"queue_delay_ms": 5000},
        {"running_requests": 40},
    ],
)
def test_busy_endpoint_is_ranked_last(busy):
    router = make_router()
    router.observe(load("e-0", **busy), 0.0)
    for name in ("e-1", "e-2"):
        router.observe(load(name), 0.0)
    assert names(router, SHORT, targets(3))[-1] == "e-0"


def test_backlog_estimate_shrinks_with_the_age_of_the_load():
    router = make_router()
    router.observe(load("e-0", pending_prefill_tokens=400_000), 0.0)
    wait = [
        router.expected_first_token_s(LONG, targets(1)[0], False, now_s)
        for now_s in (0.0, 2.0, 60.0)
    ]
    assert wait[0] > wait[1] > wait[2]


def test_requests_sent_since_the_last_load_report_are_counted():
    router = make_router()
    router.observe(load("e-0"), 0.0)
    before = router.expected_first_token_s(SHORT, targets(1)[0], False, 0.0)
    router.sent("e-0", 100_000)
    assert (
        router.expected_first_token_s(SHORT, targets(1)[0], False, 0.0) > before + 1.0
    )


def test_long_set_separates_long_prompts_from_short_ones():
    router = make_router(ExpectedFirstToken(long_set=True))
    long_set = set(names(router, LONG, targets(9)))
    assert len(long_set) == 3
    router.long_started("m", 200_000)
    for seed in range(20):
        router.rng.seed(seed)
        assert not set(names(router, SHORT, targets(9))) & long_set
        assert set(names(router, LONG, targets(9))) <= long_set
    router.long_ended("m", 200_000)
    assert not router.dump()["long_tokens"]["m"]


def test_affinity_key_gives_all_entries_the_same_first_endpoint():
    request = attrs.evolve(SHORT, affinity="key-1")
    first = {names(make_router(seed=s), request, targets(9))[0] for s in range(20)}
    assert len(first) == 1


def test_shared_prefix_selects_the_same_endpoints():
    request = attrs.evolve(SHORT, prefix_hashes=(17, 18))
    first = {names(make_router(seed=s), request, targets(9))[0] for s in range(20)}
    assert len(first) <= 2


def test_own_failure_domain_is_preferred():
    found = targets(1) + [Target("e-9", "agent-9", "praha-b", 450_000)]
    assert names(make_router(), SHORT, found)[0] == "e-0"
