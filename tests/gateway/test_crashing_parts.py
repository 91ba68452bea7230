"""A part of a prompt under which endpoints die is kept from them, and no other part."""

import asyncio
import itertools

import attrs
import pytest

from tests.gateway.test_freshness import gateways
from tests.platform.standins import Endpoint, reset, streams

CONTACT_S = 3.0
CRASHES = 5
MAX_LATER = 3
"""Requests with the part that may reach endpoints later than `CONTACT_S` after the
fifth crash, as stated."""

ENDPOINTS = 12
RESTART_S = 0.7
SHARED, SOUND, CRASHING = "aa", "bb", "ee"
SOUND_PER_S, CRASHING_PER_S = 10.0, 2.0


def parts_of(received):
    return received.headers.get("x-prompt-prefix", "")


@attrs.define(eq=False)
class CrashingPool:
    """Endpoints of one service that crash under a part, and come back as new ones."""

    found: list
    running: list = attrs.field(factory=list)
    crashes_s: list = attrs.field(factory=list)
    arrivals_s: list = attrs.field(factory=list)
    _ids: itertools.count = attrs.field(factory=itertools.count)
    _restarts: set = attrs.field(factory=set)

    async def add(self):
        endpoint = Endpoint(endpoint_id=f"i-{next(self._ids)}")
        endpoint.scripts = [self.script(endpoint)]
        await endpoint.start()
        self.running.append(endpoint)
        self.found[0].register(endpoint, backend="llm")

    def script(self, endpoint):
        whole_stream = streams(count=3, pause_s=0.02)

        async def script(received, writer):
            if f"{CRASHING}:" not in parts_of(received):
                await whole_stream(received, writer)
                return
            now_s = asyncio.get_running_loop().time()
            self.arrivals_s.append(now_s)
            await asyncio.sleep(0.03)
            self.crashes_s.append(now_s)
            reset(writer)
            await endpoint.stop()
            self.running.remove(endpoint)
            restart = asyncio.ensure_future(self.restart(endpoint))
            self._restarts.add(restart)

        return script

    async def restart(self, endpoint):
        await asyncio.sleep(RESTART_S)
        self.found[0].store.put("keyed.servers", endpoint.endpoint_id, None)
        await self.add()

    async def stop(self):
        for restart in self._restarts:
            restart.cancel()
        for endpoint in self.running:
            await endpoint.stop()


async def ask(fleet, *parts):
    """Send a request whose prompt has these parts and one of its own."""
    own = f"{next(_own_parts):x}:9"
    prefix = ",".join([*(f"{part}:400" for part in parts), own])
    headers = [("X-Prompt-Prefix", prefix)]
    body = f"prompt {own}".encode()
    return await fleet.fetch("/stream/1", "POST", body, headers=headers)


_own_parts = itertools.count(10_000)


async def keep_asking(found, per_s, seconds, *parts):
    """Ask each gateway in turn; return the send times and the answers."""
    sent_s, tasks = [], []
    for number in range(int(per_s * seconds)):
        sent_s.append(asyncio.get_running_loop().time())
        fleet = found[number % len(found)]
        tasks.append(asyncio.ensure_future(ask(fleet, *parts)))
        await asyncio.sleep(1 / per_s)
    return list(zip(sent_s, await asyncio.gather(*tasks), strict=True))


async def crash_for(found, seconds):
    """Send sound requests and ones that crash endpoints, side by side."""
    pool = CrashingPool(found)
    for _ in range(ENDPOINTS):
        await pool.add()
    now = asyncio.get_running_loop().time
    for fleet in found:
        while not all(fleet.knows(one, "llm", now()) for one in pool.running):
            await asyncio.sleep(0.01)
    sound, crashing = await asyncio.gather(
        keep_asking(found, SOUND_PER_S, seconds, SHARED, SOUND),
        keep_asking(found, CRASHING_PER_S, seconds, SHARED, CRASHING),
    )
    await pool.stop()
    return pool, sound, crashing


def run_with_gateways(count, main):
    async def run():
        async with asyncio.timeout(60.0), gateways(count=count) as found:
            await main(found)

    asyncio.run(run())


@pytest.mark.parametrize("count", [1, 5])
def test_a_part_under_which_five_endpoints_died_reaches_no_more_of_them(count):
    # gvari-lookup, second1: no two requests alike; 64 endpoints ended.
    async def main(found):
        pool, sound, _ = await crash_for(found, seconds=2 * CONTACT_S + 5.0)
        fifth_s = pool.crashes_s[CRASHES - 1] if len(pool.crashes_s) >= CRASHES else 0.0
        later = [one for one in pool.arrivals_s if one > fifth_s + CONTACT_S]
        assert not fifth_s or len(later) <= MAX_LATER
        # Requests that share their caller and their first part are served.
        assert not any(b"endpoints died" in answer.body for _, answer in sound)
        last_s = pool.crashes_s[min(CRASHES, len(pool.crashes_s)) - 1]
        after = [one for at_s, one in sound if at_s > last_s + 2 * CONTACT_S]
        served = [one for one in after if one.status == 200 and one.is_complete]
        assert len(after) >= 20
        assert len(served) >= 0.9 * len(after)

    run_with_gateways(count, main)
