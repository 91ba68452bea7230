import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.bench.load_client import make_prompt
from sorrelhoist.bench.load_plan import (
    MIN_LONG_PROMPT_TOKENS,
    MIN_PROMPT_TOKENS,
    LoadWorkspace,
    draw_prompt_tokens,
    make_plan,
    without_long,
)
from sorrelhoist.standins.engine_model import prompt_tokens

SMALL = LoadWorkspace("small", "k1", 9.0, 50_000)
LARGE = LoadWorkspace("large", "k2", 1.0, 8_000_000)


def test_a_plan_is_determined_by_its_seed():
    plans = [make_plan(seed, [SMALL, LARGE], 20.0, 30.0) for seed in (5, 5, 6)]
    assert plans[0] == plans[1]
    assert plans[0] != plans[2]


def test_one_in_fifty_is_long_and_comes_from_a_workspace_with_a_sufficient_limit():
    plan = make_plan(1, [SMALL, LARGE], 50.0, 40.0)
    long = [arrival for arrival in plan if arrival.is_long]
    assert len(plan) // 50 <= len(long) <= len(plan) // 50 + 1
    assert {arrival.workspace for arrival in long} == {LARGE}
    assert {arrival.workspace for arrival in plan} == {SMALL, LARGE}
    assert without_long(plan) == [arrival for arrival in plan if arrival not in long]


@pytest.mark.parametrize(("duration_s", "count", "expected"), [(10, 7, 7), (0, 9, 0)])
def test_a_plan_is_bounded_by_duration_and_request_count(duration_s, count, expected):
    plan = make_plan(1, [LARGE], 50.0, duration_s, max_requests=count)
    assert len(plan) == expected


@given(st.integers(0, 2**32), st.booleans())
def test_fuzz_prompt_lengths_stay_in_their_range(seed, is_long):
    tokens = draw_prompt_tokens(random.Random(seed), is_long, 300_000)
    low = MIN_LONG_PROMPT_TOKENS if is_long else MIN_PROMPT_TOKENS
    high = 300_000 if is_long else MIN_LONG_PROMPT_TOKENS - 1
    assert low <= tokens <= high


def test_prompts_have_the_planned_length_and_differ_in_their_first_bytes():
    plan = make_plan(1, [LARGE], 50.0, 1.0)
    prompts = [make_prompt(arrival, "run") for arrival in plan]
    assert [prompt_tokens(p) for p in prompts] == [a.prompt_tokens for a in plan]
    assert len({prompt[:64] for prompt in prompts}) == len(prompts)
