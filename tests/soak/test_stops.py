"""A short soak of planned stops, with one gateway and with two."""

import asyncio

import pytest

from tests.soak.stops import soak_stops

pytestmark = pytest.mark.process

MAX_AGE_S = 4.0


@pytest.mark.parametrize("seed", (1, 4))
def test_no_planned_stop_loses_a_request(seed, tmp_path):
    counts, wrong = asyncio.run(soak_stops(seed, tmp_path, max_age_s=MAX_AGE_S))
    assert wrong == []
    assert counts["200"] > counts["503"] / 4
