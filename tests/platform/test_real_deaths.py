"""Endpoints that die while requests run, at a real gateway process."""

import asyncio

import pytest

from tests.platform.real_gateway import head, run_in_world
from tests.platform.standins import reset, whole

pytestmark = pytest.mark.process

CONTACT_S = 3.0
MAX_LATER = 3


def works(seconds):
    async def script(received, writer):
        await asyncio.sleep(seconds)
        await whole()(received, writer)

    return script


async def statuses(gateway, count, path="/look/1"):
    calls = (gateway.call(head(path)) for _ in range(count))
    return [one.status for one in await asyncio.gather(*calls)]


async def return_after(endpoint, seconds):
    await asyncio.sleep(seconds)
    await endpoint.start()


@pytest.mark.parametrize("warm", [True, False], ids=["served before", "just started"])
def test_a_common_request_is_not_refused_after_endpoints_died(tmp_path, warm):
    # Its fingerprint is equal for all callers of a workspace that ask for the path.
    async def main(world):
        for number in (3, 4, 5):
            await world.add_endpoint(f"i-a{number}", "app")
        gateway = await world.start()
        world.scripts("app", works(0.05))
        if warm:
            for _ in range(4):
                assert set(await statuses(gateway, 5)) == {200}
        endpoints = [world.endpoints[f"i-a{number}"] for number in range(1, 6)]
        answers = []
        world.scripts("app", works(0.4))
        for dying in (endpoints[:1], endpoints[1:2], endpoints):
            running = asyncio.ensure_future(statuses(gateway, 20))
            await asyncio.sleep(0.2)
            for one in dying:
                await one.stop()
            answers += await running
            if len(dying) == 1:
                answers += await statuses(gateway, 20)
        for one in endpoints:
            await one.start()
        world.scripts("app", works(0.01))
        await asyncio.sleep(1.0)
        answers += (after := await statuses(gateway, 40))
        assert 422 not in answers
        assert after.count(200) >= 36

    run_in_world(tmp_path, main)


def test_a_request_that_crashes_endpoints_is_refused_among_common_ones(tmp_path):
    crashes_s, arrivals_s, returning = [], [], []

    def crashes(endpoint):
        async def script(received, writer):
            if received.path != "/look/bad":
                await works(0.02)(received, writer)
                return
            now_s = asyncio.get_running_loop().time()
            arrivals_s.append(now_s)
            await asyncio.sleep(0.03)
            crashes_s.append(now_s)
            reset(writer)
            await endpoint.stop()
            returning.append(asyncio.ensure_future(return_after(endpoint, 0.5)))

        return script

    async def main(world):
        for number in (3, 4, 5, 6):
            await world.add_endpoint(f"i-a{number}", "app")
        for name, endpoint in world.endpoints.items():
            if world.services[name] == "app":
                endpoint.scripts = [crashes(endpoint)]
        gateway = await world.start()
        sound, tasks = [], []
        for _ in range(40):
            tasks.append(asyncio.ensure_future(statuses(gateway, 1, "/look/bad")))
            sound += await statuses(gateway, 4)
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks, *returning)
        assert len(crashes_s) >= 2
        third_s = crashes_s[min(2, len(crashes_s) - 1)]
        later = [at_s for at_s in arrivals_s if at_s > third_s + CONTACT_S]
        assert len(later) <= MAX_LATER
        assert 422 not in sound
        assert sound.count(200) >= 0.9 * len(sound)

    run_in_world(tmp_path, main)
