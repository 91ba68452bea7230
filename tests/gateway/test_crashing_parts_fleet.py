"""Evidence against a part of prompts holds over any number of gateways."""

import asyncio
from contextlib import ExitStack

import attrs
import pytest

from tests.gateway.virtual_fleet import virtual_fleet
from tests.virtual_loop import run_virtual

CONTACT_S = 3.0
MAX_LATER = 3
HOT, BAD = "hot", "bad"
SOUND_PARTS = 60
CRASHING_PER_S, SOUND_PER_S = 8.0, 100.0
BESIDE = 3
"""Sound requests that break off, at other gateways, when an endpoint dies."""

RETRY_S = 0.25


@attrs.define(eq=False)
class World:
    """Requests with a crashing part, and sound ones, at the gateways of a fleet."""

    fleet: object
    arrivals_s: list = attrs.field(factory=list)
    refused_sound: int = 0
    served_sound: int = 0

    async def crash(self):
        """Send one request with the part to two endpoints, as its attempts allow."""
        loop = asyncio.get_running_loop()
        gateway = self.fleet.rng.choice(self.fleet.gateways)
        for _ in range(2):
            if gateway.state.blamed_part((HOT, BAD), loop.time()):
                return
            self.arrivals_s.append(loop.time())
            await asyncio.sleep(RETRY_S)
            self.die(gateway)

    def die(self, gateway):
        now_s = asyncio.get_running_loop().time()
        endpoint = f"e{len(self.arrivals_s)}-{now_s}"
        evidence = gateway.state.part_suspicions
        evidence.endpoint_died(endpoint, "boot", [HOT, BAD], now_s)
        for beside in self.fleet.rng.choices(self.fleet.gateways, k=BESIDE):
            parts = [HOT, self.sound_part()]
            beside.state.part_suspicions.endpoint_died(endpoint, "boot", parts, now_s)

    def sound_part(self):
        return f"sound-{self.fleet.rng.randrange(SOUND_PARTS)}"

    def serve_sound(self):
        now_s = asyncio.get_running_loop().time()
        gateway = self.fleet.rng.choice(self.fleet.gateways)
        parts = (HOT, self.sound_part())
        if gateway.state.blamed_part(parts, now_s):
            self.refused_sound += 1
            return
        self.served_sound += 1
        gateway.state.part_suspicions.completed(parts, now_s)

    async def run(self, seconds):
        loop = asyncio.get_running_loop()
        end_s, crashing, tasks = loop.time() + seconds, 0.0, []
        while loop.time() < end_s:
            self.serve_sound()
            crashing += CRASHING_PER_S / SOUND_PER_S
            if crashing >= 1.0:
                crashing -= 1.0
                tasks.append(asyncio.ensure_future(self.crash()))
            await asyncio.sleep(1 / SOUND_PER_S)
        await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    "count, network",
    [
        (5, {}),
        (30, {}),
        (68, {}),
        (68, {"max_delay_s": 0.8, "loss": 0.3}),
        (300, {"loss": 0.3}),
    ],
)
def test_a_crashing_part_is_known_to_all_gateways_in_time(count, network):
    async def main():
        with virtual_fleet(count, [None], **network) as fleet:
            await asyncio.sleep(1.0)
            world = World(fleet)
            await world.run(CONTACT_S + 3.0)
            fifth_s = sorted(world.arrivals_s)[4] + RETRY_S
            later = [one for one in world.arrivals_s if one > fifth_s + CONTACT_S]
            assert len(later) <= MAX_LATER
            assert world.refused_sound <= 0.01 * world.served_sound

    run_virtual(main())


def test_gateways_that_start_later_hear_of_a_crashing_part():
    async def main():
        with virtual_fleet(30, [None]) as fleet:
            await asyncio.sleep(1.0)
            await World(fleet).run(4.0)
            with ExitStack() as stack:
                new = fleet.restart(0, stack)
                await asyncio.sleep(CONTACT_S)
                now_s = asyncio.get_running_loop().time()
                assert new.state.part_suspicions.blame([HOT, BAD], now_s)
                assert not new.state.part_suspicions.blame([HOT, "own"], now_s)

    run_virtual(main())
