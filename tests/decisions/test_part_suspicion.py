"""Only the part that explains the deaths of endpoints is blamed for them."""

import random
import time

import pytest

from sorrelhoist.decisions.part_suspicion import (
    MIN_DEATHS,
    TRIAL_BASE_S,
    PartSuspicions,
)

BAD, HOT = "bad", "hot"
MAX_BLAME_S = 0.02
"""Far below the shortest latency objective, even on a busy machine."""


def kill(parts, number, now_s, *running):
    parts.endpoint_died(f"e{number}", "boot", running, now_s)


def after_deaths(count, *running, apart_s=1.0):
    parts = PartSuspicions("g")
    for number in range(count):
        kill(parts, number, number * apart_s, *running)
    return parts


def test_a_part_is_blamed_from_the_fourth_death():
    assert after_deaths(MIN_DEATHS - 1, BAD).blame([BAD], 9.0) is None
    assert after_deaths(MIN_DEATHS, BAD).blame([BAD], 9.0).part == BAD


def test_deaths_at_one_moment_blame_no_part():
    # A failure domain loses power: all its endpoints ran prompts with the hot part.
    parts = after_deaths(20, HOT, apart_s=0.004)
    assert parts.blame([HOT], 1.0) is None


def test_neighbours_in_the_same_prompt_are_not_blamed():
    parts = after_deaths(6, HOT, BAD)
    kill(parts, 9, 9.0, BAD, "other")
    assert parts.blame([HOT, BAD], 10.0).part == BAD
    assert parts.blame([HOT, "own"], 10.0) is None
    assert parts.blame(["other"], 10.0) is None


def test_of_two_parts_that_were_always_together_neither_is_blamed_alone():
    parts = after_deaths(6, HOT, BAD)
    assert parts.blame([HOT], 10.0) is None
    assert parts.blame([BAD], 10.0) is None
    assert parts.blame([BAD, HOT], 10.0) is not None
    parts.completed([HOT], 10.0)
    assert parts.blame([BAD], 10.0).part == BAD
    assert parts.blame([HOT], 10.0) is None


def test_parts_that_ran_on_the_same_endpoints_are_cleared_when_they_complete():
    parts = after_deaths(6, BAD, HOT)
    parts.completed([HOT, "own"], 6.5)
    kill(parts, 7, 7.0, BAD, HOT)
    assert parts.blame([HOT], 8.0) is None
    assert parts.blame([BAD], 8.0).part == BAD


def test_a_part_in_steady_use_needs_more_deaths_to_be_blamed():
    parts = PartSuspicions("g")
    for number in range(100):
        parts.completed([HOT], number * 0.1)
    for number in range(8):
        kill(parts, number, 10.0 + number * 0.2, HOT)
    assert parts.blame([HOT], 12.0) is None


def test_a_part_that_was_sound_is_blamed_once_it_crashes_endpoints():
    parts = PartSuspicions("g")
    for number in range(10):
        parts.completed([BAD], float(number))
    for number in range(10):
        kill(parts, number, 12.0 + number * 0.5, BAD)
    assert parts.blame([BAD], 17.0).part == BAD


@pytest.mark.parametrize("seed", range(20))
def test_random_deaths_among_sound_requests_blame_no_part(seed):
    # Endpoints die at random moments while all parts complete now and then.
    rng = random.Random(seed)
    parts, names = PartSuspicions("g"), [f"p{number}" for number in range(20)]
    for step in range(600):
        now_s = step * 0.1
        parts.completed([HOT, rng.choice(names)], now_s)
        if rng.random() < 0.1:
            running = {HOT, *rng.choices(names, k=4)}
            kill(parts, step, now_s, *running)
        assert parts.blame([HOT], now_s) is None


def test_a_trial_is_made_by_one_gateway_and_rarely():
    everyone = [f"g{number}" for number in range(68)]
    trials_s = []
    for node_id in everyone:
        parts = PartSuspicions(node_id)
        for number in range(MIN_DEATHS):
            kill(parts, number, float(number), BAD)
        for now_s in range(10, 200):
            blame = parts.blame([BAD], now_s)
            if parts.try_trial(blame, everyone, now_s):
                trials_s.append(now_s)
    assert len(trials_s) == 3
    assert trials_s[0] >= TRIAL_BASE_S


def test_a_trial_waits_longer_after_each_further_death():
    parts = after_deaths(MIN_DEATHS + 2, BAD)
    blame = parts.blame([BAD], 10.0)
    last_s = MIN_DEATHS + 1
    assert not parts.try_trial(blame, ["g"], last_s + 4 * TRIAL_BASE_S - 1)
    assert parts.try_trial(blame, ["g"], last_s + 4 * TRIAL_BASE_S)


def test_evidence_of_several_gateways_adds_up_and_counts_once():
    here, there = PartSuspicions("g"), PartSuspicions("h")
    for number in range(2):
        kill(here, number, float(number), BAD, HOT)
        kill(there, number + 2, float(number) + 2, BAD)
        kill(there, number, float(number), "beside")
    for _ in range(3):
        here.merge(there.for_gossip(5.0, 100), 5.0)
        there.merge(here.for_gossip(5.0, 100), 5.0)
    for parts in (here, there):
        assert parts.blame([BAD], 6.0).deaths == 4
        assert parts.blame(["beside"], 6.0) is None
    there.completed([BAD], 7.0)
    here.merge(there.for_gossip(7.0, 100), 7.0)
    assert here.blame([BAD], 8.0) is None


def test_blame_among_many_deaths_does_not_hold_up_a_gateway():
    parts = PartSuspicions("g")
    for number in range(1000):
        kill(parts, number, float(number), HOT, BAD, f"p{number % 60}")
    started_s = time.process_time()
    assert parts.blame([HOT, BAD], 1000.0) is not None
    assert parts.blame([HOT], 1000.0) is None
    assert time.process_time() - started_s < MAX_BLAME_S
