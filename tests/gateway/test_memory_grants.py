"""Memory of engines is asked for where it is granted, over a lossy network."""

import asyncio

import pytest

from sorrelhoist.decisions.placement.memory_grants import LEASE_S
from sorrelhoist.gateway.memory_grants import ASK_TIMEOUT_S
from tests.gateway.virtual_fleet import virtual_fleet
from tests.virtual_loop import run_virtual

ADDRESS = "10.0.0.0:80"
LIMIT_TOKENS = 340_000
KNOWN_S = 2.0
"""Time after which all gateways know which of them grant memory."""


def in_fleet(steps, count=5, **options):
    """Run steps with gateways that know each other, those that ask for memory first."""

    async def main():
        with virtual_fleet(count, [None], **options) as fleet:
            await asyncio.sleep(KNOWN_S)
            now_s = asyncio.get_running_loop().time()
            askers = sorted(
                fleet.gateways,
                key=lambda one: one.exchange.memory_grants.is_granted_here(
                    ADDRESS, now_s
                ),
            )
            await steps(askers, fleet)

    run_virtual(main())


async def acquire(gateway, tokens=200_000):
    return await gateway.state.acquire_memory(ADDRESS, tokens, LIMIT_TOKENS)


@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_of_gateways_that_ask_at_the_same_time_one_gets_the_memory(loss):
    async def steps(askers, fleet):
        answers = await asyncio.gather(*(acquire(one) for one in askers))
        assert sum(answers) == 1

    in_fleet(steps, loss=loss)


def test_an_answer_that_comes_too_late_gives_the_memory_back():
    async def steps(askers, fleet):
        fleet.network.min_delay_s = fleet.network.max_delay_s = ASK_TIMEOUT_S
        assert not await acquire(askers[0])
        assert askers[0].state.memory_asks["unanswered"] == 1
        await asyncio.sleep(2 * ASK_TIMEOUT_S)
        fleet.network.min_delay_s = fleet.network.max_delay_s = 0.001
        assert await acquire(askers[1])

    in_fleet(steps)


def test_a_gateway_of_the_former_build_is_not_asked():
    async def steps(askers, fleet):
        for gateway in fleet.gateways:
            if not gateway.is_old:
                answers = [await acquire(gateway, 10_000) for _ in range(5)]
                assert all(answers)
                assert not gateway.state.memory_asks["unanswered"]

    in_fleet(steps, count=6, old_every=2)


def test_a_granter_that_has_ended_is_followed_by_another():
    async def steps(askers, fleet):
        fleet.network.gateways.pop(askers[-1].port)
        askers[-1].exchange._transport = None
        assert not await acquire(askers[0])
        await asyncio.sleep(LEASE_S)  # its reports have expired
        assert await acquire(askers[0])

    in_fleet(steps)


def test_memory_is_not_checked_until_a_gateway_grants_it():
    async def main():
        with virtual_fleet(5, [None]) as fleet:
            await asyncio.sleep(0.2)
            assert all([await acquire(one) for one in fleet.gateways])
            assert fleet.gateways[0].state.memory_asks == {"unchecked": 1}

    run_virtual(main())
