"""Tests of the routing experiment's virtual fleet."""

import pytest

from sorrelhoist.bench.experiments.routing import POLICIES, WORKSPACES
from sorrelhoist.bench.experiments.virtual_fleet import run_fleet
from sorrelhoist.bench.load_client import Outcome
from sorrelhoist.bench.load_plan import make_plan

PLAN = make_plan(3, WORKSPACES, 4.0, 20.0, 330_000)


@pytest.mark.parametrize("name", POLICIES)
def test_each_request_ends_once_and_a_run_is_reproducible(name):
    runs = [run_fleet(POLICIES[name], PLAN, 4, 2, 5) for _ in range(2)]
    assert runs[0] == runs[1]
    assert sorted(s.arrival.number for s in runs[0]) == [a.number for a in PLAN]
    assert {s.outcome for s in runs[0]} <= {Outcome.WHOLE, Outcome.LATE}
    assert all(0 < s.first_token_s <= s.total_s for s in runs[0])


def test_first_token_time_on_an_idle_engine_follows_the_cost_model():
    plan = [arrival for arrival in PLAN if not arrival.is_long][:1]
    (sample,) = run_fleet(POLICIES["round robin"], plan, 3, 1, 1)
    reading_s = plan[0].prompt_tokens / 40_000
    assert reading_s < sample.first_token_s < reading_s + 0.1
