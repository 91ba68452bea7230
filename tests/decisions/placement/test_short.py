"""Replays of short prompts beside streams, at both deployments and their phases."""

import random

import pytest

from sorrelhoist.bench.experiments.deployments import DEPLOYMENTS
from sorrelhoist.bench.experiments.virtual_gateways import GatewayFleet
from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.placement.demand import Assignment, Demand, EndpointView
from sorrelhoist.decisions.placement.load_tracker import EndpointUse
from sorrelhoist.decisions.placement.pauses import breaks_pause
from sorrelhoist.decisions.placement.strategy import place_prompt
from sorrelhoist.decisions.rendezvous import ranked

A, B = DEPLOYMENTS["a"], DEPLOYMENTS["b"]

NOW_S = 100.0


def view(number, **use):
    endpoint = Endpoint(
        endpoint_id=f"i-{number}",
        service="llm",
        address=f"10.0.0.{number}:80",
        failure_domain="a",
        capacity=6,
    )
    return EndpointView(
        endpoint=endpoint, use=EndpointUse(address=endpoint.address, **use)
    )


def place(views, deployment, prompt_tokens, seed):
    quick = deployment.kinds[0]
    wanted = Demand(
        prompt_tokens=prompt_tokens,
        output_tokens=1700,
        is_tight=True,
        objective_left_s=quick.objective_s,
        deadline_left_s=quick.deadline_s,
        pause_ms=quick.pause_s * 1000,
        service_pause_ms=quick.pause_s * 1000,
    )
    costs = deployment.costs
    return place_prompt(wanted, views, costs, 1, random.Random(seed), NOW_S)


@pytest.mark.parametrize("deployment", [A, B])
@pytest.mark.parametrize("seed", range(5))
def test_a_short_prompt_goes_where_it_breaks_no_pause(deployment, seed):
    # A backlog of two short prompts was accepted anywhere, also beside streams whose
    # context makes a pass longer than half of their pause.
    pause_ms = deployment.kinds[0].pause_s * 1000
    busy = {
        "streams": 4,
        "kv_tokens": 200_000,
        "pause_ms": pause_ms,
        "read_ms": 55.0,
        "reading_s": NOW_S,
    }
    # The busy ones come first in the shared order.
    order = ranked("packing", [f"i-{number}" for number in range(12)])
    numbers = [int(endpoint_id.removeprefix("i-")) for endpoint_id in order]
    views = [view(number, **busy) for number in numbers[:8]]
    views += [view(number, streams=1, pause_ms=pause_ms) for number in numbers[8:]]
    found = place(views, deployment, 16_000, seed)
    (chosen,) = (one for one in views if one.endpoint is found.first)
    backlog_ms = chosen.use.backlog_ms(NOW_S)
    assert not breaks_pause(chosen.use, backlog_ms + found.part_ms, deployment.costs)
    # Without room elsewhere it isn't refused.
    assert isinstance(place(views[:8], deployment, 16_000, seed), Assignment)


def late_pauses(deployment, seed, slow_engines=0):
    """Replay two phases with fresh views; count the streams with late pauses."""
    rng = random.Random(seed)
    arrivals = deployment.draw_arrivals(rng, seconds_s=19.0)
    fleet = GatewayFleet(deployment.engines, 1, deployment.costs, seed)
    for engine in list(fleet.engines.values())[:slow_engines]:
        engine.slowness = 2.0
    return sum(one.late_pauses > 0 for one in fleet.replay(arrivals, rng))


@pytest.mark.parametrize(("deployment", "seed"), [(A, 1), (B, 1)])
def test_streams_keep_their_pauses_in_both_phases(deployment, seed):
    # Short prompts that ignored pauses, with limits on the backlog for another
    # objective, made 9 streams of deployment A late by a pause.
    assert late_pauses(deployment, seed) <= 3


def test_slow_engines_get_less_prefill_beside_streams():
    # Without a correction of their costs, a fifth of the engines at half their speed
    # made 145 streams late by a pause.
    assert late_pauses(A, seed=1, slow_engines=12) <= 90
