"""Evidence against whole requests holds over any number of gateways."""

import asyncio

import attrs
import pytest

from tests.gateway.virtual_fleet import virtual_fleet
from tests.virtual_loop import run_virtual

CONTACT_S = 3.0
MAX_LATER = 3
POISON, COMMON = 1, tuple(range(100, 110))
POISON_PER_S, COMMON_PER_S, KILLS_PER_S = 4.0, 100.0, 2.0
CRASH_S = 0.1


@attrs.define(eq=False)
class World:
    """A poison request beside common ones, and endpoints that die of themselves."""

    fleet: object
    arrivals_s: list = attrs.field(factory=list)
    refused: int = 0
    served: int = 0
    is_down: bool = False
    _died: int = 0

    def die(self, gateways, fingerprint):
        """Record one death at each gateway that had a request there."""
        now_s, self._died = asyncio.get_running_loop().time(), self._died + 1
        for one in gateways:
            one.state.suspicions.endpoint_died(
                f"e{self._died}", "boot", [fingerprint], now_s, 4
            )

    def is_refused(self, gateway, fingerprint):
        now_s = asyncio.get_running_loop().time()
        return gateway.state.suspicions.is_condemned(
            fingerprint, now_s
        ) and not gateway.state.try_suspect(fingerprint, now_s)

    async def poison(self):
        gateway = self.fleet.rng.choice(self.fleet.gateways)
        if not self.is_refused(gateway, POISON):
            self.arrivals_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(CRASH_S)
            self.die([gateway], POISON)

    def common(self):
        gateway = self.fleet.rng.choice(self.fleet.gateways)
        fingerprint = self.fleet.rng.choice(COMMON)
        if self.is_refused(gateway, fingerprint):
            self.refused += 1
        elif not self.is_down:
            self.served += 1
            now_s = asyncio.get_running_loop().time()
            gateway.state.suspicions.completed(fingerprint, now_s)

    def kill(self):
        """Kill an endpoint that runs common requests of several gateways."""
        for fingerprint in self.fleet.rng.sample(COMMON, 4):
            self.die(self.fleet.rng.choices(self.fleet.gateways, k=3), fingerprint)

    async def run(self, seconds, poison=True, kills_per_s=KILLS_PER_S):
        rng, loop, tasks = self.fleet.rng, asyncio.get_running_loop(), []
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            self.common()
            if poison and rng.random() < POISON_PER_S / COMMON_PER_S:
                tasks.append(asyncio.ensure_future(self.poison()))
            if rng.random() < kills_per_s / COMMON_PER_S:
                self.kill()
            await asyncio.sleep(1 / COMMON_PER_S)
        await asyncio.gather(*tasks)


@pytest.mark.parametrize(
    "count, network",
    [
        (1, {}),
        (5, {}),
        (30, {}),
        (68, {"max_delay_s": 0.8, "loss": 0.3}),
    ],
)
def test_poison_is_refused_everywhere_and_common_requests_nowhere(count, network):
    async def main():
        with virtual_fleet(count, [None], **network) as fleet:
            await asyncio.sleep(1.0)
            world = World(fleet)
            await world.run(CONTACT_S + 6.0)
            third_s = sorted(world.arrivals_s)[2] + CRASH_S
            later = [one for one in world.arrivals_s if one > third_s + CONTACT_S]
            assert len(later) <= MAX_LATER
            assert world.refused <= 0.002 * world.served

    run_virtual(main())


@pytest.mark.parametrize("count", [1, 5, 30])
def test_common_requests_are_not_refused_around_an_outage_of_all_endpoints(count):
    async def main():
        with virtual_fleet(count, [None]) as fleet:
            await asyncio.sleep(1.0)
            world = World(fleet)
            await world.run(30.0, poison=False)
            world.is_down = True
            await world.run(15.0, poison=False, kills_per_s=0.5)
            world.is_down = False
            await world.run(10.0, poison=False)
            assert world.refused <= 0.002 * world.served

    run_virtual(main())
