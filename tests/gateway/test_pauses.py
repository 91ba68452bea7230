"""An endpoint that asks a gateway for a pause gets nothing from it until the end."""

import asyncio
import time

import pytest

from sorrelhoist.decisions.forwarding import PAUSE_KEPT_SHARE
from tests.gateway.test_named_limits import add_endpoint, run_with_gateways, send_calls
from tests.platform.standins import declines, in_sequence, resets, whole

SETTLED_S = 0.5
MAX_LATER = 2
"""Requests that may reach the endpoint from one gateway, from `SETTLED_S` after its
answer until the end of the pause, as stated."""


def asks_for(pause_s):
    return declines(extra=[("Retry-After", str(pause_s))])


def during_pause(endpoint, pause_s):
    """Return the arrivals that the rule counts."""
    began_s = endpoint.requests[0].at_s
    return [
        one
        for one in endpoint.requests
        if began_s + SETTLED_S < one.at_s < began_s + pause_s
    ]


@pytest.mark.parametrize("pause_s", [1.5, 4])
def test_an_endpoint_that_asks_for_a_pause_gets_no_requests(pause_s):
    async def main(found):
        paused = await add_endpoint(
            found, in_sequence(asks_for(pause_s), whole()), capacity=100
        )
        await add_endpoint(found, whole(), capacity=100)
        answers = await send_calls(found, per_s=20.0, seconds=pause_s * 1.25 + 1.0)
        assert {one.status for one in answers} == {200}
        assert len(during_pause(paused, pause_s)) <= MAX_LATER
        assert paused.requests[-1].at_s > paused.requests[0].at_s + pause_s

    run_with_gateways(1, main)


def test_if_all_ask_for_a_pause_callers_hear_at_once_when_it_ends():
    async def main(found):
        for pause_s in (3, 8):
            await add_endpoint(found, asks_for(pause_s), capacity=100)
        await send_calls(found, per_s=20.0, seconds=0.3)
        started_s = time.monotonic()
        answer = await found[0].fetch()
        assert time.monotonic() - started_s < 0.1
        assert answer.status == 503
        assert 1.0 < float(answer.headers["retry-after"]) <= 3 * 1.25

    run_with_gateways(1, main)


def test_a_request_waits_for_the_end_of_a_short_pause():
    async def main(found):
        endpoint = await add_endpoint(
            found, in_sequence(asks_for(0.05), whole()), capacity=100
        )
        assert (await found[0].fetch()).status == 200
        assert len(endpoint.requests) == 2

    run_with_gateways(1, main)


def test_a_pause_is_no_failure_of_the_endpoint():
    async def main(found):
        state = found[0].state
        endpoint = await add_endpoint(found, asks_for(2), capacity=100)
        await found[0].fetch()
        now_s = asyncio.get_running_loop().time()
        assert state.troubles.score(endpoint.endpoint_id, now_s) == 0.0
        assert state.faults.score(endpoint.endpoint_id, now_s) == 0.0

    run_with_gateways(1, main)


def test_pauses_leave_a_quarter_of_the_retries_for_real_failures():
    async def main(found):
        # Each call is declined once, with a pause that has ended by the next call.
        for _ in range(3):
            await add_endpoint(found, asks_for(0.01), capacity=100)
        budget = found[0].state.retries.budget("app")
        for _ in range(40):
            await found[0].fetch()
        assert budget.dump()["balance"] >= budget.max_balance * PAUSE_KEPT_SHARE

    run_with_gateways(1, main)


@pytest.mark.parametrize("text", ["-1", "soon", "nan", ""])
def test_a_malformed_pause_is_none(text):
    async def main(found):
        endpoint = await add_endpoint(
            found, in_sequence(asks_for(text), whole()), capacity=100
        )
        await add_endpoint(found, resets(), capacity=1)
        await asyncio.sleep(0)
        await found[0].fetch()
        now_s = asyncio.get_running_loop().time()
        assert found[0].knows(endpoint, "app", now_s)
        assert found[0].state.dump(now_s)["pauses"] == {}

    run_with_gateways(1, main)
