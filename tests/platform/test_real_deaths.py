"""Endpoints that die while requests run, at a real gateway process."""

import asyncio
import socket

import pytest

from tests.platform.real_gateway import head, post, run_in_world
from tests.platform.standins import reset, streams, whole

pytestmark = pytest.mark.process

CONTACT_S = 3.0
MAX_LATER = 3
DEATHS, BLAMED = b"endpoints died", "blamed"


def works(seconds):
    async def script(received, writer):
        await asyncio.sleep(seconds)
        await whole()(received, writer)

    return script


async def statuses(gateway, count, path="/look/1"):
    """Return the statuses of some requests, `BLAMED` if one is refused for deaths."""
    calls = (gateway.call(head(path)) for _ in range(count))
    replies = await asyncio.gather(*calls)
    return [BLAMED if DEATHS in one.data else one.status for one in replies]


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
        assert BLAMED not in answers
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
        assert BLAMED not in sound
        assert sound.count(200) >= 0.9 * len(sound)

    run_in_world(tmp_path, main)


PART = "aa"


def ask_with_part(number, is_same=False):
    """Return a streaming request with a shared part and one of its own."""
    prefix = f"X-Prompt-Prefix: {PART}:400,{number + 4096:x}:9"
    body = b"prompt" if is_same else f"prompt {number}".encode()
    return post("/stream/1", body, extra=[prefix])


class Backlog:
    """Listens in place of an endpoint that accepts nothing, as if it were overloaded.

    Its queue is full, so that the kernel drops the next connections.
    """

    def __init__(self, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", port))
        self.listener.listen(0)
        self.clients = []
        for _ in range(4):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", port))
            self.clients.append(client)

    def close(self):
        for one in (*self.clients, self.listener):
            one.close()


async def fail_one(world, gateway, request, is_killed):
    """Send a request, and break off the endpoint that runs it."""
    asking = asyncio.ensure_future(gateway.call(request))
    async with asyncio.timeout(5.0):
        while not (busy := [e for e in world.endpoints.values() if e.requests]):
            assert not asking.done(), asking.result().data
            await asyncio.sleep(0.02)
    await asyncio.sleep(0.15)
    (one,) = busy
    one.stop_listening()
    backlog = None if is_killed else Backlog(one.port)
    await one.stop()
    await asyncio.sleep(0.5)
    asking.cancel()
    if backlog is not None:
        backlog.close()
    del world.endpoints[one.endpoint_id]
    world.store.put("keyed.servers", one.endpoint_id, None)
    for other in world.endpoints.values():
        other.received.clear()
    await asyncio.sleep(0.5)


@pytest.mark.parametrize("is_same", [False, True], ids=["part", "request"])
def test_endpoints_that_can_not_be_reached_are_no_evidence(tmp_path, is_same):
    # Connections to overloaded endpoints timed out after their streams had broken off.
    # That counted as deaths, and proper requests got 422 from then on.
    async def main(world):
        for number in range(3, 10):
            await world.add_endpoint(f"i-l{number}", "llm")
        gateway = await world.start()
        world.scripts("llm", streams(40, 0.1))
        for number in range(5):
            request = ask_with_part(number, is_same)
            await fail_one(world, gateway, request, is_killed=False)
        world.scripts("llm", streams(3))
        await asyncio.sleep(CONTACT_S)
        for number in range(90, 94):
            reply = await gateway.call(ask_with_part(number, is_same))
            assert reply.status == 200, reply.data
        assert not gateway.events("endpoint_died")

    run_in_world(tmp_path, main)


@pytest.mark.parametrize(
    ("is_same", "deaths"), [(False, 4), (True, 2)], ids=["part", "request"]
)
def test_callers_learn_when_a_suspected_request_is_tried_again(
    tmp_path, is_same, deaths
):
    # Deaths that have another reason are evidence all the same, but no proof: a caller
    # that gets 422 doesn't come again.
    async def main(world):
        for number in range(3, 10):
            await world.add_endpoint(f"i-l{number}", "llm")
        gateway = await world.start()
        world.scripts("llm", streams(40, 0.1))
        for number in range(deaths):
            request = ask_with_part(number, is_same)
            await fail_one(world, gateway, request, is_killed=True)
        await asyncio.sleep(CONTACT_S)
        reply = await gateway.call(ask_with_part(90, is_same))
        assert (reply.status, DEATHS in reply.data) == (503, True)
        assert b"Retry-After" in reply.data
        assert len(gateway.events("endpoint_died")) == deaths

    run_in_world(tmp_path, main)
