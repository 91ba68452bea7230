"""A short soak with a fixed seed, and with each seed that has failed before."""

import asyncio

import pytest

from tests.soak.soak import soak

pytestmark = pytest.mark.process

DURATION_S = 8.0
# Seeds that have failed before, each with a line on the cause.
REGRESSIONS = ()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_guarantees_hold_under_faults(seed, tmp_path):
    world = asyncio.run(soak(seed, DURATION_S, tmp_path))
    assert world.violations == []
    assert world.served > world.attempted * 0.25
