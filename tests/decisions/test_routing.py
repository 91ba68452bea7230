import random

import pytest

from sorrelhoist.decisions.routing import (
    PREFIX_TTL_S,
    ExpectedFirstToken,
    FewestRequests,
    FewestTokens,
    RoundRobin,
    Router,
    RouteRequest,
    Target,
)
from sorrelhoist.messages.gen import ttypes

TARGETS = [Target(f"e{n}", f"agent-e{n}", "d", 450_000) for n in range(4)]
POLICIES = (ExpectedFirstToken(), RoundRobin(), FewestRequests(), FewestTokens())


def make_router(policy=None):
    return Router(policy or ExpectedFirstToken(), random.Random(1))


def request(prompt_tokens=2_000, prefix=7, is_long=False):
    return RouteRequest("m", "d", prompt_tokens, 10, [prefix], is_long)


def load(endpoint, **figures):
    usual = {
        "phase": "serving",
        "running_requests": 0,
        "queued_requests": 0,
        "kv_used_tokens": 0,
        "kv_capacity_tokens": 450_000,
        "pending_prefill_tokens": 0,
        "prefill_tokens_per_s": 40_000,
        "long_requests": 0,
        "queue_delay_ms": 0,
    }
    return ttypes.Load(endpoint=endpoint, **(usual | figures))


@pytest.mark.parametrize("policy", POLICIES)
def test_choice_is_a_subset_of_targets_and_empty_without_targets(policy):
    chosen = make_router(policy).choose(request(), TARGETS, 0.0)
    assert chosen
    assert set(chosen) <= set(TARGETS)
    assert make_router(policy).choose(request(), [], 0.0) == []


@pytest.mark.parametrize("prefix", range(8))
def test_new_prompt_does_not_wait_for_its_prefix_candidate(prefix):
    router = make_router()
    for target in TARGETS[1:]:
        router.observe(
            load(target.endpoint, queue_delay_ms=20, pending_prefill_tokens=800), 0.0
        )
    router.observe(load("e0"), 0.0)
    assert router.choose(request(prefix=prefix), TARGETS, 0.0)[0].endpoint == "e0"


def test_known_prefix_selects_the_same_endpoints_until_it_expires():
    router = make_router()
    for target in TARGETS:
        router.observe(load(target.endpoint), 0.0)
    router.choose(request(), TARGETS, 0.0)
    firsts = {router.choose(request(), TARGETS, 1.0)[0] for _ in range(20)}
    assert len(firsts) <= 2
    later_s = PREFIX_TTL_S + 1.0
    router.choose(request(), TARGETS, later_s)
    assert not router._is_known_prefix(request(), later_s + 0.01)


def test_backlog_delays_first_token_until_it_has_drained():
    router = make_router()
    router.observe(load("e0", pending_prefill_tokens=400_000), 0.0)
    for target in TARGETS[1:]:
        router.observe(load(target.endpoint, pending_prefill_tokens=40_000), 0.0)
    wanted = request(100_000, is_long=True)
    assert router.choose(wanted, TARGETS, 0.0)[-1].endpoint == "e0"
    soon_s = router.expected_first_token_s(wanted, TARGETS[0], False, 1.0)
    late_s = router.expected_first_token_s(wanted, TARGETS[0], False, 1_000.0)
    assert soon_s > 10.0
    assert late_s < 3.0


def test_short_prompt_waits_for_one_chunk_of_a_long_prompt_only():
    router = make_router()
    figures = {"pending_prefill_tokens": 400_000, "long_requests": 1}
    router.observe(load("e0", **figures), 0.0)
    short_s = router.expected_first_token_s(request(), TARGETS[0], False, 0.0)
    idle_s = router.expected_first_token_s(request(), TARGETS[1], False, 0.0)
    assert idle_s < short_s < idle_s + 0.5


def test_long_prompt_waits_for_kv_cache_capacity():
    router = make_router()
    router.observe(load("e0", kv_used_tokens=300_000), 0.0)
    router.observe(load("e1"), 0.0)
    wanted = request(200_000, is_long=True)
    times_s = [
        router.expected_first_token_s(wanted, target, False, 0.0)
        for target in TARGETS[:2]
    ]
    assert times_s[0] > times_s[1] + 1.0


def test_small_rate_difference_is_ignored_and_a_large_one_is_not():
    router = make_router()
    for _ in range(200):
        router.observe(load("e1"), 0.0)
    router.observe(load("e2", prefill_tokens_per_s=30_000), 0.0)
    router.observe(load("e3", prefill_tokens_per_s=4_000), 0.0)
    usual_s, noisy_s, slow_s = (
        router.expected_first_token_s(request(), target, False, 0.0)
        for target in TARGETS[1:]
    )
    assert noisy_s == usual_s
    assert slow_s > 5 * usual_s
