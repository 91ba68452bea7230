"""Placement of prompts under the load patterns that it is designed for."""

import math
import random

import attrs
import pytest

from sorrelhoist.decisions.directory import Endpoint
from sorrelhoist.decisions.placement.demand import (
    Assignment,
    Busy,
    Demand,
    EndpointView,
    Impossible,
    first_kv_tokens,
)
from sorrelhoist.decisions.placement.load_tracker import (
    EndpointUse,
    LoadTracker,
    RequestUse,
)
from sorrelhoist.decisions.placement.long import (
    MAX_HELPERS,
    MAX_LOOSE_PART_MS,
    MAX_TIGHT_PART_MS,
)
from sorrelhoist.decisions.placement.strategy import place_prompt
from sorrelhoist.decisions.report_rate import report_interval_s
from sorrelhoist.decisions.routes import EngineCosts

COSTS = EngineCosts(
    max_running=8,
    kv_capacity_tokens=405_000,
    tokens_per_event=34,
    step_ms=1.31,
    prefill_tokens_per_s=154_000.0,
    pair_ms_per_million=0.162,
    hop_ms=0.1,
)
NOW_S = 100.0


def endpoint(number):
    return Endpoint(
        endpoint_id=f"i-{number}",
        service="llm",
        address=f"10.0.0.{number}:80",
        failure_domain="zone-a",
        capacity=8,
    )


def demand(
    prompt_tokens,
    tight=False,
    objective_s=3.0,
    deadline_s=15.0,
    output_tokens=600,
    **more,
):
    return Demand(
        objective_left_s=objective_s,
        prompt_tokens=prompt_tokens,
        output_tokens=output_tokens,
        is_tight=tight,
        deadline_left_s=deadline_s,
        **more,
    )


def views(count=16, uses=None, avoided=()):
    uses = uses or {}
    return [
        EndpointView(
            endpoint=endpoint(number),
            use=uses.get(number) or EndpointUse(address=endpoint(number).address),
            is_avoided=number in avoided,
        )
        for number in range(count)
    ]


def tight(streams, **more):
    return EndpointUse(address="", streams=streams, tight_streams=streams, **more)


def place(wanted, found, gateways=1):
    return place_prompt(wanted, found, COSTS, gateways, random.Random(1), NOW_S)


class World:
    """Places arrivals one after the other and tracks their load."""

    def __init__(self, count=16, gateways=1, seed=1):
        self.tracker = LoadTracker()
        self.gateways = gateways
        self.rng = random.Random(seed)
        self.count = count
        self.now_s = NOW_S
        self.placed = {}

    def arrive(self, request_id, wanted):
        found = place_prompt(
            wanted, self.views(), COSTS, self.gateways, self.rng, self.now_s
        )
        if isinstance(found, Assignment):
            first = RequestUse(
                address=found.first.address,
                read_ms=found.part_ms,
                kv_tokens=first_kv_tokens(wanted, COSTS),
                is_tight=wanted.is_tight,
            )
            helpers = (
                RequestUse(address=h.address, read_ms=found.part_ms, is_stream=False)
                for h in found.helpers
            )
            self.tracker.place(request_id, (first, *helpers), self.now_s)
            self.placed[request_id] = found
        return found

    def views(self):
        totals = self.tracker.totals(self.now_s)
        return [
            EndpointView(
                endpoint=one,
                use=totals.get(one.address) or EndpointUse(address=one.address),
            )
            for one in map(endpoint, range(self.count))
        ]


# The mix changes between short and long prompts


def test_short_prompts_leave_endpoints_free_for_long_ones():
    world = World()
    for number in range(20):
        world.arrive(number, demand(5_000, tight=True))
        world.tracker.prefill_completed(number)
        world.now_s += 0.05
    used = {found.first.endpoint_id for found in world.placed.values()}
    assert len(used) <= math.ceil(20 / COSTS.max_running) + 1


def test_all_gateways_pack_short_prompts_on_the_same_endpoints():
    few = demand(5_000, tight=True)
    drawn = {
        place_prompt(few, found, COSTS, 1, random.Random(seed), NOW_S).first
        for seed in range(20)
        for found in (views(), views()[::-1])
    }
    assert len(drawn) == 1


def test_a_long_prompt_after_a_burst_of_short_ones_gets_the_free_endpoints():
    world = World()
    for number in range(60):
        world.arrive(number, demand(5_000, tight=True))
        world.tracker.prefill_completed(number)
        world.now_s += 0.025
    long = world.arrive("long", demand(182_000))
    quick = {found.first for key, found in world.placed.items() if key != "long"}
    assert not quick & {long.first, *long.helpers}
    assert long.first_event_ms < 3000


# Many gateways with stale views


@pytest.mark.parametrize("gateways", [4, 30])
def test_concurrent_gateways_rarely_overfill_an_endpoint(gateways):
    # Gateways with stale views chose the same endpoints. On kasparek-hoist-grown
    # quiet-1, 471 of 1,301 quick replies were late and full endpoints declined 98
    # arrivals while others were idle.
    burst = Burst(gateways)
    for step in range(int(6.0 / STEP_S)):
        burst.advance(step)
    assert burst.placed > 3 * burst.arrivals_per_s
    assert burst.over <= burst.placed * 0.05


STEP_S = 0.005
STREAM_S = 2.0
ARRIVALS_PER_S = 3.6


class Burst:
    """Short prompts at gateways that exchange load reports at intervals."""

    def __init__(self, gateways):
        self.arrivals_per_s = ARRIVALS_PER_S * gateways
        interval_s = report_interval_s(gateways)
        self.steps_between_reports = max(1, int(interval_s / STEP_S))
        self.worlds = [
            World(count=2 * gateways, gateways=gateways, seed=n)
            for n in range(gateways)
        ]
        self.rng = random.Random(7)
        self.ends = []
        self.placed = self.over = 0

    def advance(self, step):
        now_s = NOW_S + step * STEP_S
        for world in self.worlds:
            world.now_s = now_s
        while self.ends and self.ends[0][0] <= now_s:
            _, key, world = self.ends.pop(0)
            world.tracker.release(key)
        if self.rng.random() < self.arrivals_per_s * STEP_S:
            self.arrive(step, now_s)
        if step % self.steps_between_reports == 0:
            self.report(step, now_s)

    def arrive(self, key, now_s):
        world = self.rng.choice(self.worlds)
        found = world.arrive(key, demand(5_000, tight=True))
        world.tracker.prefill_completed(key)
        if isinstance(found, Assignment):
            self.placed += 1
            self.ends.append((now_s + STREAM_S, key, world))
            self.over += self.streams_at(found.first.address) > COSTS.max_running

    def streams_at(self, address):
        """Count the streams that actually run, which no gateway knows."""
        return sum(
            use.streams
            for world in self.worlds
            for use in world.tracker.own_uses()
            if use.address == address
        )

    def report(self, sequence, now_s):
        for number, world in enumerate(self.worlds):
            uses = world.tracker.own_uses()
            for other in self.worlds:
                if other is not world:
                    other.tracker.peer_reported(str(number), 1, sequence, uses, now_s)


def test_gateways_do_not_all_choose_the_endpoint_with_least_backlog():
    # On kasparek-hoist-grown quiet-1, when the mix changed from long prompts to quick
    # replies, all endpoints had a prefill backlog and 30 gateways chose the same one.
    reading = {
        n: EndpointUse(address="", streams=1, read_ms=120.0 + n, reading_s=NOW_S)
        for n in range(16)
    }
    few = demand(5_000, tight=True)
    drawn = {
        place_prompt(
            few, views(uses=reading), COSTS, 30, random.Random(seed), NOW_S
        ).first
        for seed in range(60)
    }
    assert len(drawn) >= 4


# Long prefills on endpoints that decode streams with a short pause target


@pytest.mark.parametrize("prompt_tokens", [45_000, 182_000, 300_000])
def test_a_part_on_endpoints_with_tight_streams_keeps_their_pause_target(prompt_tokens):
    found = place(demand(prompt_tokens), views(uses={0: tight(3), 1: tight(7)}))
    beside = {endpoint(0), endpoint(1)} & {found.first, *found.helpers}
    assert not beside or found.part_ms <= MAX_TIGHT_PART_MS


def test_a_prefill_of_middle_length_is_split_if_all_endpoints_decode_streams():
    everywhere = {number: tight(5) for number in range(16)}
    found = place(demand(45_000), views(uses=everywhere))
    assert isinstance(found, Assignment)
    assert found.part_ms <= MAX_TIGHT_PART_MS


def test_a_part_on_endpoints_with_loose_streams_keeps_their_pause_target():
    loose = {n: EndpointUse(address="", streams=1) for n in range(16)}
    found = place(demand(182_000), views(uses=loose))
    assert found.part_ms <= MAX_LOOSE_PART_MS


# Queueing of long prefills


def test_a_long_prefill_is_split_less_with_many_gateways():
    # Few gateways need a small fraction of the objective (a wide split), many a large
    # one. On gvari-lookup scale-1 the score of archives was 0.52 with a large and 0.72
    # with a small fraction; on kasparek-hoist-grown quiet-1 with 30 gateways, 0.77 and
    # 0.71.
    alone = place(demand(182_000), views(), gateways=1)
    crowded = place(demand(182_000), views(), gateways=30)
    assert alone.first_event_ms < crowded.first_event_ms < 1500
    assert len(crowded.helpers) < 8 < len(alone.helpers)


def test_a_prefill_that_misses_its_objective_keeps_pause_targets():
    # On kasparek-hoist-grown quiet-1 (trial C), parts of 4.3 s of the largest prompts
    # were placed on endpoints with streams, which paused for as long.
    streaming = {n: tight(3) for n in range(10)}
    found = place(demand(900_000), views(uses=streaming))
    assert found.first_event_ms > 3000
    beside = {endpoint(n) for n in range(10)} & {found.first, *found.helpers}
    assert not beside


def test_no_more_helpers_than_engines_take():
    found = place(demand(390_000), views(count=40))
    assert len(found.helpers) <= MAX_HELPERS


def test_a_second_long_prefill_waits_no_longer_than_the_parts_of_the_first():
    world = World()
    world.arrive("a", demand(182_000))
    world.arrive("b", demand(182_000))
    one, other = world.placed["a"], world.placed["b"]
    assert other.first_event_ms <= 2 * one.first_event_ms


def test_a_prefill_that_cannot_meet_its_deadline_is_impossible():
    found = place(demand(380_000, deadline_s=0.5), views())
    assert isinstance(found, Impossible)


# Capacity


def test_a_prompt_is_not_placed_without_free_slots():
    full = {number: tight(8) for number in range(16)}
    assert isinstance(place(demand(5_000, tight=True), views(uses=full)), Busy)


def test_kv_cache_in_use_is_not_allocated_again():
    used = {
        number: EndpointUse(address="", kv_tokens=300_000, streams=1)
        for number in range(16)
    }
    assert isinstance(place(demand(182_000), views(uses=used)), Busy)


def test_a_prompt_too_large_for_one_engine_gets_tickets_for_its_whole_length():
    found = place(demand(900_000), views())
    assert sum(ticket.tokens for ticket in found.tickets) >= 900_000
    held = {ticket.endpoint for ticket in found.tickets}
    assert held <= set(found.helpers)
    assert all(t.tokens < COSTS.kv_capacity_tokens for t in found.tickets)


def test_endpoints_with_recent_failures_are_avoided_if_others_are_usable():
    found = place(demand(182_000), views(avoided={0, 1, 2}))
    chosen = {found.first, *found.helpers}
    assert not chosen & {endpoint(0), endpoint(1), endpoint(2)}
    only = place(demand(5_000, tight=True), views(count=2, avoided={0, 1}))
    assert isinstance(only, Assignment)


def test_an_endpoint_that_failed_this_request_is_not_chosen_again():
    excluded = frozenset(f"i-{number}" for number in range(15))
    found = place(demand(5_000, tight=True, excluded=excluded), views())
    assert found.first == endpoint(15)


@pytest.mark.parametrize("kv_capacity_tokens", [100_000, 232_000, 405_000, 1_000_000])
@pytest.mark.parametrize("share", [0.5, 0.96, 0.98, 1.06, 1.3, 1.9, 3.0])
def test_any_prompt_that_idle_endpoints_can_hold_together_is_placed(
    kv_capacity_tokens, share
):
    # Replays lumenvale-perth quiet-1: on engines of 232,000 tokens, a prompt of 225,000
    # to 300,000 tokens got one ticket for all of it, which no engine could hold, and
    # waited in vain until it was refused.
    costs = attrs.evolve(COSTS, kv_capacity_tokens=kv_capacity_tokens)
    prompt_tokens = int(kv_capacity_tokens * share)
    wanted = demand(prompt_tokens, objective_s=60.0, deadline_s=120.0)
    rng = random.Random(1)
    found = place_prompt(wanted, views(17), costs, 1, rng, NOW_S)
    assert isinstance(found, Assignment)
    if found.tickets:
        assert sum(ticket.tokens for ticket in found.tickets) >= prompt_tokens
        assert max(t.tokens for t in found.tickets) <= kv_capacity_tokens * 0.97
