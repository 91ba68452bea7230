"""Long prompts whose first event is overdue, at endpoints that stall or only wait."""

import asyncio

from sorrelhoist.decisions.placement.load_tracker import EndpointUse
from tests.platform.fleet import run_with_fleet
from tests.platform.standins import all_events, hangs, in_sequence, streams

LONG = "45000,200"


def slow(delay_s):
    async def script(received, writer):
        await asyncio.sleep(delay_s)
        await streams(3)(received, writer)

    return script


async def add_endpoints(fleet, script):
    for _ in range(3):
        await fleet.add(script)


def requests(fleet):
    return sum(len(one.requests) for one in fleet.endpoints)


def test_a_long_prompt_at_a_stalled_endpoint_is_moved_once():
    async def main(fleet):
        await add_endpoints(fleet, in_sequence(hangs(), slow(0.1)))
        answer = await fleet.stream(wait_ms=4000, size=LONG)
        assert answer.body == all_events(1, 3)
        assert answer.took_s < 2.5
        assert requests(fleet) == 2

    run_with_fleet(main)


def test_a_long_prompt_behind_newer_parts_of_another_gateway_is_not_cut():
    # The gateway cut it 0.9 s after the first expectation and began again elsewhere.
    async def main(fleet):
        await add_endpoints(fleet, in_sequence(slow(2.2), streams(3)))
        asked = asyncio.ensure_future(fleet.stream(wait_ms=6000, size=LONG))
        while not requests(fleet):
            await asyncio.sleep(0.02)
        now_s = asyncio.get_running_loop().time()
        newer = [
            EndpointUse(address=use.address, read_ms=2000.0, placed_ms=2000.0)
            for use in fleet.state.loads.own_uses()
        ]
        fleet.state.loads.peer_updated("peer", 1, 1, newer, now_s)
        answer = await asked
        assert answer.is_complete
        assert requests(fleet) == 1

    run_with_fleet(main)
