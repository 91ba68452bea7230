"""Engines left to long prompts while the load switches between phases."""

import random

import pytest

from sorrelhoist.decisions.overload.phase_share import PhaseShare
from tests.gateway.overload_fleet import FACTORS, PHASE_S, A, B

ENGINES = 60


def reserved(deployment, seconds=38.0):
    """Replay arrivals in phases; return the engines reserved each 0.1 s, by phase."""
    rng, share = random.Random(1), PhaseShare()
    costs, *kinds = deployment
    found = ([], [])
    for tenth in range(int(seconds * 10)):
        now_s = tenth / 10
        phase = int(now_s / PHASE_S) % 2
        for kind in kinds:
            mean = kind.per_s * FACTORS[kind.name][phase] / 10
            for _ in range(int(mean) + (rng.random() < mean % 1)):
                read_ms = costs.read_ms(kind.tokens)
                share.offered(kind.name == "long", read_ms, now_s)
        if now_s % PHASE_S > 4.0:
            found[phase].append(share.reserved_engines(ENGINES, now_s))
    return found


@pytest.mark.parametrize("deployment", [A, B])
def test_the_reserved_engines_follow_the_phases(deployment):
    many_long, many_short = reserved(deployment)
    mean_long = sum(many_long) / len(many_long)
    mean_short = sum(many_short) / len(many_short)
    assert mean_long > 2 * mean_short
    assert max(many_long) <= 0.75 * ENGINES


def test_what_is_not_used_is_given_back_within_a_second():
    share = PhaseShare()
    for tenth in range(50):
        share.offered(True, 2000.0, tenth / 10)
    given = [share.reserved_engines(ENGINES, 4.9 + tenth / 10) for tenth in range(11)]
    assert given[0] >= 14
    assert given == sorted(given, reverse=True)
    assert given[-1] == 0


def test_both_kinds_share_the_engines_if_more_is_offered_than_fits():
    share = PhaseShare()
    for tenth in range(100):
        share.offered(True, 12_000.0, tenth / 10)
        share.offered(False, 12_000.0, tenth / 10)
    assert share.reserved_engines(ENGINES, 9.95) <= ENGINES / 2
