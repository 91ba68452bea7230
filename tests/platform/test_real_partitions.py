"""Partitions, lost power and clocks that step, at real gateway processes."""

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections import Counter

import attrs
import pytest

from tests.platform.real_gateway import (
    CHECKOUT,
    RealGateway,
    head,
    post,
    run_in_world,
)
from tests.platform.standins import HOST, READ_BYTES, whole

pytestmark = pytest.mark.process

CONTACT_S = 3.0
REVOKE_S = 5.0
WAIT_S = 2.0
EXPIRY_S = 2.4
"""Three heartbeats, after which the platform removes the entry of a silent endpoint."""


@attrs.define(eq=False)
class Relay:
    """Passes connections on, and can go silent without closing any."""

    target: tuple
    port: int = 0
    mode: str = "up"
    _server: object = None
    _fillers: list = attrs.field(factory=list)
    _tasks: set = attrs.field(factory=set)

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(
            self._connected, HOST, self.port, backlog=100
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _connected(self, reader, writer):
        is_cut_for_good = False
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(*self.target)

            async def pass_on(source, target):
                nonlocal is_cut_for_good
                while data := await source.read(READ_BYTES):
                    is_cut_for_good |= self.mode != "up"
                    if not is_cut_for_good:
                        target.write(data)
                if not is_cut_for_good:
                    target.close()

            both = [
                asyncio.ensure_future(pass_on(reader, far_writer)),
                asyncio.ensure_future(pass_on(far_reader, writer)),
            ]
            self._tasks.update(both)
            await asyncio.gather(*both, return_exceptions=True)

    def cut(self, accepts=True):
        """Drop what comes; unless it ``accepts``, complete no new connections."""
        self.mode = "cut"
        if not accepts:
            listener = self._server.sockets[0]
            asyncio.get_running_loop().remove_reader(listener.fileno())
            # As the backlog is full, the kernel drops further SYN packets.
            os.set_blocking(listener.fileno(), False)
            listener._sock.listen(0)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    filler.connect((HOST, self.port))
                self._fillers.append(filler)

    async def heal(self):
        """Pass on what comes from now on; what was cut stays cut."""
        self.mode = "up"
        if self._fillers:
            for one in self._fillers:
                one.close()
            self._fillers.clear()
            self._server.close()
            await self.start()

    def stop(self):
        for one in (*self._fillers, *self._tasks):
            one.close() if isinstance(one, socket.socket) else one.cancel()
        self._server.close()


@attrs.define
class Asked:
    """What became of a request."""

    at_s: float
    status: int | None
    took_s: float
    request_id: str


async def ask(gateway, asked, seconds, path="/look/1", pause_s=0.05):
    """Send requests one by one, each without waiting for the others."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    sent = []

    async def one(number):
        request_id, began_s = f"{id(asked):x}{path[1]}{number:06}", loop.time()
        extra = {"request_id": request_id, "wait_ms": int(WAIT_S * 1000)}
        data = post(path, **extra) if path.startswith("/once") else head(path, **extra)
        reply = await gateway.call(data, wait_s=WAIT_S + 2.0)
        took_s = loop.time() - began_s
        asked.append(Asked(began_s, reply.status, took_s, request_id))

    while loop.time() < end_s:
        sent.append(asyncio.ensure_future(one(len(sent))))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*sent)


def check_truth(world, asked):
    """Check that each request was answered in time, and as it was."""
    assert {one.status for one in asked} <= {200, 502, 503, 504}
    assert max(one.took_s for one in asked) < WAIT_S + 0.5
    for one in asked:
        if one.status == 503:
            assert not world.runs(one.request_id), one


@pytest.mark.parametrize("accepts", [True, False], ids=["accepts", "drops SYN"])
def test_a_silent_endpoint_costs_callers_no_more_than_contact(tmp_path, accepts):
    async def main(world):
        loop = asyncio.get_running_loop()
        endpoint = world.endpoints["i-a1"]
        relay = await Relay((HOST, endpoint.port)).start()
        entry = endpoint.entry
        world.endpoints.pop("i-a1")

        def renew():
            fields = entry(backend="app") | {"addr": relay.address}
            world.store.put("keyed.servers", "i-a1", fields)

        async def beat():
            while True:
                renew()
                await asyncio.sleep(0.8)

        beating = asyncio.ensure_future(beat())
        gateways = [await world.start(f"g{n}") for n in range(2)]
        asked = {path: [] for path in ("/look/1", "/once/1")}
        asking = [
            asyncio.ensure_future(ask(one, asked[path], 10.0, path))
            for one in gateways
            for path in asked
        ]
        await asyncio.sleep(1.5)
        cut_s = loop.time()
        relay.cut(accepts)
        beating.cancel()
        await asyncio.sleep(EXPIRY_S)
        world.store.put("keyed.servers", "i-a1", None)
        await asyncio.sleep(2.0)
        await relay.heal()
        beating = asyncio.ensure_future(beat())
        healed_s = loop.time()
        await asyncio.gather(*asking)
        beating.cancel()
        relay.stop()
        world.endpoints["i-a1"] = endpoint
        for found in asked.values():
            before = [one for one in found if one.at_s < cut_s - WAIT_S / 2]
            during = [one for one in found if cut_s <= one.at_s < cut_s + CONTACT_S]
            after = [one for one in found if one.at_s > cut_s + CONTACT_S]
            assert {one.status for one in before} == {200}
            served = sum(one.status == 200 for one in during)
            assert served >= 0.9 * len(during)
            check_truth(world, found)
            assert {one.status for one in after} == {200}
        assert all(one.is_running for one in gateways)
        late = [one for one in endpoint.requests if one.at_s > healed_s]
        assert late

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("accepts", [True, False], ids=["accepts", "drops SYN"])
def test_a_gateway_cut_off_from_the_store_serves_as_others_confirm(tmp_path, accepts):
    async def main(world):
        relay = await Relay((HOST, world.store.port)).start()
        cut_off = RealGateway(folder=tmp_path, store_address=relay.address, name="g0")
        world.gateways.append(cut_off)
        cut_off.start()
        await cut_off.wait_ready()
        other = await world.start("g1")
        asked = {one.name: [] for one in (cut_off, other)}
        asking = [
            asyncio.ensure_future(ask(one, asked[one.name], 15.0, "/once/1"))
            for one in (cut_off, other)
        ]
        await asyncio.sleep(1.5)
        relay.cut(accepts)
        await asyncio.sleep(8.0)
        assert await cut_off.is_ready()
        await relay.heal()
        tenants = [{"name": "tenant-1", "api_keys": ["key-1", "key-2"]}]
        world.configure(tenants=tenants)
        await asyncio.gather(*asking)
        reply = await cut_off.call(head(authorization="Token key-2"))
        relay.stop()
        for found in asked.values():
            check_truth(world, found)
            assert {one.status for one in found} == {200}
        assert reply.status == 200
        assert cut_off.is_running and other.is_running

    run_in_world(tmp_path, main)


def test_a_gateway_cut_off_from_the_store_uses_no_revoked_key(tmp_path):
    async def main(world):
        loop = asyncio.get_running_loop()
        relay = await Relay((HOST, world.store.port)).start()
        cut_off = RealGateway(folder=tmp_path, store_address=relay.address, name="g0")
        world.gateways.append(cut_off)
        cut_off.start()
        await cut_off.wait_ready()
        await world.start("g1")
        asked = []
        asking = asyncio.ensure_future(ask(cut_off, asked, 10.0))
        await asyncio.sleep(1.0)
        relay.cut()
        await asyncio.sleep(2.0)
        world.configure(tenants=[{"name": "tenant-1", "api_keys": ["key-2"]}])
        revoked_s = loop.time()
        await asking
        await relay.heal()
        await asyncio.sleep(CONTACT_S)
        reply = await cut_off.call(head(authorization="Token key-2"))
        relay.stop()
        late = [one for one in asked if one.at_s > revoked_s + REVOKE_S]
        assert late
        assert not {one.status for one in late} & {200}
        assert reply.status == 200

    run_in_world(tmp_path, main)


def test_open_connections_to_the_store_that_go_silent_for_good_are_noticed(tmp_path):
    async def main(world):
        relay = await Relay((HOST, world.store.port)).start()
        gateway = RealGateway(folder=tmp_path, store_address=relay.address, name="g0")
        world.gateways.append(gateway)
        gateway.start()
        await gateway.wait_ready()
        asked = []
        asking = asyncio.ensure_future(ask(gateway, asked, 8.0))
        for _ in range(3):
            await asyncio.sleep(1.5)
            relay.cut()
            await asyncio.sleep(0.05)
            await relay.heal()
        await asking
        relay.stop()
        assert {one.status for one in asked} == {200}

    run_in_world(tmp_path, main)


def test_a_gateway_that_stands_still_disturbs_no_other_and_uses_no_old_key(tmp_path):
    async def main(world):
        gateways = [await world.start(f"g{n}") for n in range(3)]
        await asyncio.sleep(1.0)
        asked = []
        asking = [asyncio.ensure_future(ask(one, asked, 10.0)) for one in gateways[:2]]
        await asyncio.sleep(1.0)
        gateways[2].signal(signal.SIGSTOP)
        tenants = [{"name": "tenant-1", "api_keys": ["key-1", "key-2"]}]
        world.configure(tenants=tenants)
        await asyncio.sleep(6.0)
        gateways[2].signal(signal.SIGCONT)
        replies = await asyncio.gather(
            *(gateways[2].call(head(authorization="Token key-2")) for _ in range(20))
        )
        statuses = Counter(one.status for one in replies)
        await asyncio.sleep(CONTACT_S)
        later = await gateways[2].call(head(authorization="Token key-2"))
        await asyncio.gather(*asking)
        assert {one.status for one in asked} == {200}
        assert set(statuses) <= {200, 503}
        assert later.status == 200

    run_in_world(tmp_path, main)


STEPPING = """
import runpy, sys, time
wall, wall_ns, monotonic = time.time, time.time_ns, time.monotonic
began_s, every_s, step_s = monotonic(), float(sys.argv[2]), float(sys.argv[3])

def offset_s():
    number = int((monotonic() - began_s) / every_s) if every_s else 1
    return step_s * (number % 2)

time.time = lambda: wall() + offset_s()
time.time_ns = lambda: wall_ns() + int(offset_s() * 1e9)
sys.argv = [sys.argv[1]]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


@attrs.define(eq=False)
class SteppingGateway(RealGateway):
    """A gateway whose wall clock steps forth and back, or is wrong from the start."""

    every_s: float = 0.0
    step_s: float = 3600.0

    def start(self):
        if not self.settings_path.exists():
            self.write_settings()
        program = str(CHECKOUT / "deploy/gateway.py")
        steps = [str(self.every_s), str(self.step_s)]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-c", STEPPING, program, *steps],
                stdout=log,
                stderr=log,
                env=os.environ | {"SORRELHOIST_SETTINGS": str(self.settings_path)},
            )
        return self


@pytest.mark.parametrize("step_s", [3600.0, -3600.0])
@pytest.mark.parametrize("every_s", [0.0, 0.11, 1.7])
def test_a_wall_clock_that_is_wrong_or_steps_costs_no_request(
    tmp_path, every_s, step_s
):
    async def main(world):
        other = await world.start("g1")
        gateway = SteppingGateway(
            folder=tmp_path,
            store_address=world.store.address,
            name="g0",
            every_s=every_s,
            step_s=step_s,
        )
        world.gateways.append(gateway)
        gateway.start()
        await gateway.wait_ready()
        world.scripts("app", whole())
        asked = []
        asking = [
            asyncio.ensure_future(ask(one, asked, 6.0, path))
            for one in (gateway, other)
            for path in ("/look/1", "/once/1")
        ]
        await asyncio.sleep(3.0)
        # It starts again, with a clock that is behind the one it had.
        gateway.kill()
        gateway.step_s -= 7200.0
        gateway.start()
        await gateway.wait_ready()
        await asyncio.gather(*asking)
        lost = [one for one in asked if one.status is None]
        found = [one for one in asked if one.status is not None]
        assert {one.status for one in found} == {200}
        assert len(lost) < 0.2 * len(asked)
        assert not gateway.events("dependency_lost")
        assert gateway.is_running and other.is_running

    run_in_world(tmp_path, main)
