"""An endpoint that names a limit gets no more than that from all gateways together."""

import asyncio

import pytest

from tests.gateway.test_freshness import gateways
from tests.platform.standins import whole

CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_PER_S = 1.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""The stated bound, over all gateways that have passed on an answer with the limit."""


def most_in_window(times_s, window_s=WINDOW_S):
    """Return the largest number of times in any window."""
    return max(
        (sum(start <= one < start + window_s for one in times_s) for start in times_s),
        default=0,
    )


async def send_calls(found, per_s, seconds):
    """Send calls to the gateways in turn and return their answers."""
    calls = []
    for number in range(int(per_s * seconds)):
        fleet = found[number % len(found)]
        calls.append(asyncio.ensure_future(fleet.fetch()))
        await asyncio.sleep(1 / per_s)
    return await asyncio.gather(*calls)


async def add_endpoint(found, *scripts, **entry):
    endpoint = await found[0].add(*scripts, service="app", **entry)
    now = asyncio.get_running_loop().time
    for fleet in found:
        while not fleet.knows(endpoint, "app", now()):
            await asyncio.sleep(0.01)
    return endpoint


def run_with_gateways(count, main):
    async def run():
        async with asyncio.timeout(60.0), gateways(count=count) as found:
            await main(found)

    asyncio.run(run())


@pytest.mark.parametrize("count", [1, 5])
def test_an_endpoint_that_names_a_limit_gets_no_more_from_all_gateways(count):
    # gvari-lookup, inc1: 12 requests in 4 s at a limit of 1 a second.
    async def main(found):
        limited = await add_endpoint(
            found,
            whole(extra=[("Server-Limit", str(LIMIT_PER_S))]),
            capacity=100,
        )
        await add_endpoint(found, whole(), capacity=100)
        answers = await send_calls(found, per_s=20.0, seconds=CONTACT_S + 6.0)
        assert {one.status for one in answers} == {200}
        times_s = [one.at_s for one in limited.requests]
        bound_from_s = times_s[0] + CONTACT_S
        later_s = [one for one in times_s if one >= bound_from_s]
        assert most_in_window(later_s) <= MAX_IN_WINDOW

    run_with_gateways(count, main)
