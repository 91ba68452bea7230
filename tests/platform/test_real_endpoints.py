"""Endpoints with bounds, early answers and addresses in use again, at real gateways."""

import asyncio
import contextlib
from collections import Counter

import attrs
import pytest

from tests.platform.fleet import route
from tests.platform.real_gateway import post, run_in_world
from tests.platform.standins import (
    Endpoint,
    answer_bytes,
    reset,
    streams,
    whole,
)

pytestmark = pytest.mark.process

MAX_CONNECTIONS = 20
CALLERS = 100
LONG_BYTES = 2_000_000


def works(seconds):
    async def script(received, writer):
        await asyncio.sleep(seconds)
        await whole()(received, writer)

    return script


@attrs.define(eq=False)
class BoundedEndpoint(Endpoint):
    """Resets the connections beyond a number, of all callers together."""

    max_connections: int = MAX_CONNECTIONS
    resets: int = 0

    def entry(self, **more):
        return super().entry(capacity=2 * CALLERS, **more)

    async def _connected(self, reader, writer):
        if len(self._writers) >= self.max_connections:
            self.resets += 1
            reset(writer)
            return
        await super()._connected(reader, writer)


async def replace_endpoints(world, service, made):
    """Replace the endpoints of a service by others, before a gateway starts."""
    for name in [n for n, known in world.services.items() if known == service]:
        await world.endpoints.pop(name).stop()
        world.store.put("keyed.servers", name, None)
    for one in made:
        await one.start()
        world.endpoints[one.endpoint_id] = one
        world.services[one.endpoint_id] = service
    world.renew()


@pytest.mark.parametrize("count", [1, 3])
def test_callers_beyond_the_connections_of_endpoints_lose_nothing(tmp_path, count):
    routes = [route("once", "non_idempotent", "app", goal_ms=2500)]
    services = [
        {"name": "app", "health_path": "/healthz", "max_conns": MAX_CONNECTIONS}
    ]

    async def main(world):
        made = [
            BoundedEndpoint(endpoint_id=f"i-b{n}", scripts=[works(0.1)]) for n in (1, 2)
        ]
        await replace_endpoints(world, "app", made)
        gateways = [await world.start(f"g{n}") for n in range(count)]
        await asyncio.sleep(1.0)
        calls = [gateways[n % count].call(post()) for n in range(CALLERS)]
        answers = Counter([one.status for one in await asyncio.gather(*calls)])
        assert sum(answers.values()) == answers[200] + answers[503]
        if count == 1:
            assert answers[200] == CALLERS
        else:  # they learn of each other's connections later
            assert answers[200] >= len(made) * MAX_CONNECTIONS

    run_in_world(tmp_path, main, routes=routes, backends=services)


@attrs.define(eq=False)
class EarlyEndpoint(Endpoint):
    """Answers once it has read a head, and resets without reading the body."""

    answer: bytes = b""

    async def _connected(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):  # asked if it is there
            self.received.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)
        reset(writer)
        writer.close()


@pytest.mark.parametrize("size", [5, 60_000])
def test_an_answer_before_a_reset_reaches_the_caller(tmp_path, size):
    async def main(world):
        body = b"b" * size
        answer = answer_bytes(200, [("X-Response-Stamp", "s")], body)
        early = EarlyEndpoint(endpoint_id="i-early", answer=answer)
        await replace_endpoints(world, "app", [early])
        gateway = await world.start()
        for _ in range(10):
            reply = await gateway.call(post(body=b"x" * LONG_BYTES))
            content = reply.data.partition(b"\r\n\r\n")[2]
            assert (reply.status, len(content)) == (200, size)

    run_in_world(tmp_path, main)


def test_a_reset_is_not_the_end_of_an_answer_without_a_length(tmp_path):
    async def main(world):
        answer = answer_bytes(200, [("X-Response-Stamp", "s")], b"part", length=False)
        early = EarlyEndpoint(endpoint_id="i-early", answer=answer)
        await replace_endpoints(world, "app", [early])
        gateway = await world.start()
        for _ in range(10):
            reply = await gateway.call(post(body=b"x" * LONG_BYTES))
            assert reply.status == 502

    run_in_world(tmp_path, main)


def test_a_refusal_before_a_reset_is_a_refusal(tmp_path):
    async def main(world):
        answer = answer_bytes(503, [("X-Not-Executed", "1")])
        made = [EarlyEndpoint(endpoint_id="i-early", answer=answer)]
        made.append(Endpoint(endpoint_id="i-sound", scripts=[whole()]))
        await replace_endpoints(world, "app", made)
        gateway = await world.start()
        await asyncio.sleep(2.0)
        replies = [
            (await gateway.call(post(body=b"x" * LONG_BYTES))).status for _ in range(20)
        ]
        # A retry that the shared budget doesn't allow yet is refused as not run.
        assert set(replies) <= {200, 503}
        assert replies.count(200) >= 18

    run_in_world(tmp_path, main)


def test_an_address_in_use_by_another_service_gets_none_of_its_requests(tmp_path):
    async def main(world):
        gateway = await world.start()
        moved = world.endpoints.pop("i-a1")
        world.services.pop("i-a1")
        answers = []

        async def ask(seconds):
            end_s = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < end_s:
                calls = (gateway.call(post(path)) for path in ("/once/1", "/look/1"))
                answers.extend([one.status for one in await asyncio.gather(*calls)])

        asking = asyncio.ensure_future(ask(4.0))
        await asyncio.sleep(0.5)
        # It ends; its entry stays for a while; another service starts at its address.
        moved.stop_listening()
        await asyncio.sleep(0.3)
        other = Endpoint(endpoint_id="i-new", scripts=[streams()], port=moved.port)
        await other.start()
        world.endpoints["i-new"], world.services["i-new"] = other, "llm"
        world.renew()
        await asyncio.sleep(1.5)
        world.store.put("keyed.servers", "i-a1", None)
        await asking
        assert set(answers) == {200}
        served = [one for one in other.received if one.path != "/order"]
        expected = {one.headers["x-expect-instance"] for one in served}
        assert expected <= {"i-a1", "i-new"}
        replies = [await gateway.call(post("/stream/1")) for _ in range(10)]
        assert {one.status for one in replies} == {200}

    run_in_world(tmp_path, main)
