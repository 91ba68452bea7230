"""Work of requests by the costs of engines and what is known of their load."""

import attrs
import pytest

from sorrelhoist.decisions.placement.load_tracker import EndpointUse
from sorrelhoist.decisions.routes import EngineCosts, Repeat, Route
from sorrelhoist.decisions.work import EngineLoad, Work, nominal_work, sized_work
from sorrelhoist.decisions.work_times import WorkTimes

COSTS = EngineCosts(
    max_running=8,
    kv_capacity_tokens=405_000,
    tokens_per_event=34,
    step_ms=1.3,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.16,
    hop_ms=0.1,
    per_stream_ms=0.01,
    context_ms_per_thousand=0.01,
)
USE = EndpointUse(address="a", streams=1, kv_tokens=1000)
LOAD = EngineLoad(first_event_s=0.1, use=USE)


CHAT = Route(
    name="chat",
    host="h",
    path_prefix="/",
    targets=(),
    repeat=Repeat.RESUMABLE,
    is_stream=True,
)


def work(load, output_tokens=3400):
    return sized_work(CHAT, "llm", COSTS, 1000, output_tokens, load)


def test_a_request_without_a_size_has_the_time_of_its_route():
    route = CHAT
    assert nominal_work(route) == Work("chat", route.timeout_s, route.timeout_s)
    times = WorkTimes()
    for _ in range(100):
        times.began("r", nominal_work(route), now_s=0.0)
        times.ended("r", True, now_s=0.5)
    # Short streams say nothing of the next one.
    assert times.expected_s(nominal_work(route), now_s=1.0) < 1.0
    assert times.longest_s(nominal_work(route), now_s=1.0) == route.timeout_s


@pytest.mark.parametrize(
    ("changes", "ratio"),
    [
        pytest.param({"use": attrs.evolve(USE, kv_tokens=131_000)}, 2.0, id="context"),
        pytest.param({"use": attrs.evolve(USE, streams=8)}, 1.053, id="batch"),
        pytest.param({"slowness": 1.5}, 1.5, id="slow engine"),
        pytest.param({"is_split": True}, 1.076, id="prompt in parts"),
    ],
)
def test_passes_take_longer_by_what_is_known_of_the_engine(changes, ratio):
    alone = work(LOAD)
    slower = work(attrs.evolve(LOAD, **changes))
    assert (alone.passes, alone.pass_s) == (100, pytest.approx(0.0449, rel=0.01))
    assert slower.pass_s / alone.pass_s == pytest.approx(ratio, rel=0.01)


def test_the_first_event_comes_when_its_placement_expects_it():
    assert work(attrs.evolve(LOAD, first_event_s=3.0)).first_event_s == 3.0
    assert work(None).first_event_s < 0.01
    assert work(None, output_tokens=0).passes == 0
