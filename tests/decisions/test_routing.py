import random

import pytest

from sorrelhoist.decisions.routing import (
    PREFIX_LIFETIME_S,
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


def router(policy=None):
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
def test_choices_are_targets_and_no_target_gives_none(policy):
    chosen = router(policy).choose(request(), TARGETS, 0.0)
    assert chosen
    assert set(chosen) <= set(TARGETS)
    assert router(policy).choose(request(), [], 0.0) == []


@pytest.mark.parametrize("prefix", range(8))
def test_a_prompt_seen_first_does_not_wait_for_its_prefix_choice(prefix):
    one = router()
    for target in TARGETS[1:]:
        one.observe(
            load(target.endpoint, queue_delay_ms=20, pending_prefill_tokens=800), 0.0
        )
    one.observe(load("e0"), 0.0)
    assert one.choose(request(prefix=prefix), TARGETS, 0.0)[0].endpoint == "e0"


def test_a_known_prefix_leads_to_the_same_endpoints_until_it_is_forgotten():
    one = router()
    for target in TARGETS:
        one.observe(load(target.endpoint), 0.0)
    one.choose(request(), TARGETS, 0.0)
    firsts = {one.choose(request(), TARGETS, 1.0)[0] for _ in range(20)}
    assert len(firsts) <= 2
    later_s = PREFIX_LIFETIME_S + 1.0
    one.choose(request(), TARGETS, later_s)
    assert not one._is_known_prefix(request(), later_s + 0.01)


def test_a_backlog_is_waited_for_until_it_has_drained():
    one = router()
    one.observe(load("e0", pending_prefill_tokens=400_000), 0.0)
    for target in TARGETS[1:]:
        one.observe(load(target.endpoint, pending_prefill_tokens=40_000), 0.0)
    wanted = request(100_000, is_long=True)
    assert one.choose(wanted, TARGETS, 0.0)[-1].endpoint == "e0"
    soon_s = one.expected_first_token_s(wanted, TARGETS[0], False, 1.0)
    late_s = one.expected_first_token_s(wanted, TARGETS[0], False, 1_000.0)
    assert soon_s > 10.0
    assert late_s < 3.0


def test_a_short_prompt_passes_a_long_one_but_for_its_chunk():
    one = router()
    figures = {"pending_prefill_tokens": 400_000, "long_requests": 1}
    one.observe(load("e0", **figures), 0.0)
    short_s = one.expected_first_token_s(request(), TARGETS[0], False, 0.0)
    idle_s = one.expected_first_token_s(request(), TARGETS[1], False, 0.0)
    assert idle_s < short_s < idle_s + 0.5


def test_a_long_prompt_waits_for_memory():
    one = router()
    one.observe(load("e0", kv_used_tokens=300_000), 0.0)
    one.observe(load("e1"), 0.0)
    wanted = request(200_000, is_long=True)
    times_s = [
        one.expected_first_token_s(wanted, target, False, 0.0) for target in TARGETS[:2]
    ]
    assert times_s[0] > times_s[1] + 1.0


def test_a_mixed_speed_is_noise_and_a_far_lower_one_is_not():
    one = router()
    for _ in range(200):
        one.observe(load("e1"), 0.0)
    one.observe(load("e2", prefill_tokens_per_s=30_000), 0.0)
    one.observe(load("e3", prefill_tokens_per_s=4_000), 0.0)
    usual_s, noisy_s, slow_s = (
        one.expected_first_token_s(request(), target, False, 0.0)
        for target in TARGETS[1:]
    )
    assert noisy_s == usual_s
    assert slow_s > 5 * usual_s
