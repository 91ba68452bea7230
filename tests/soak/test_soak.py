"""A short seeded soak, and each seed that ever failed."""

import asyncio

import pytest

from tests.soak.soak import soak

pytestmark = pytest.mark.process

SECONDS = 8.0
# Seeds that failed once, with a line on the cause.
REGRESSIONS = ()


@pytest.mark.parametrize("seed", [1, *REGRESSIONS])
def test_promises_hold_under_faults(seed, tmp_path):
    world = asyncio.run(soak(seed, SECONDS, tmp_path))
    assert world.broken == []
    assert world.served > world.asked * 0.25
