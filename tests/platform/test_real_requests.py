"""Requests of ordinary clients to a real process, within the operator's limits."""

import asyncio

import pytest

from tests.platform.real_gateway import head, post, run_in_world
from tests.platform.standins import (
    answer_bytes,
    echo_headers,
    hangs,
    streams,
    whole,
)

pytestmark = pytest.mark.process

LIMITS = {
    "max_header_bytes": 65_536,
    "max_body_bytes": 16 << 20,
    "header_timeout_ms": 2000,
    "idle_timeout_ms": 3000,
}
CHUNKED = ("Transfer-Encoding: chunked",)


def chunked(*lines):
    return head("/once/1", "POST", extra=CHUNKED) + b"\r\n".join(lines) + b"\r\n\r\n"


PROPER = {
    "scheme in lower case": head(authorization="token key-1"),
    "absolute form": head("http://example.test/look/1"),
    "chunk extension": chunked(b"5;a=b", b"hello", b"0"),
    "trailer": chunked(b"5", b"hello", b"0", b"X-Trailer: 1"),
    "Latin-1 header": head(extra=["X-Name: @"]).replace(b"@", b"Ka\xe1p"),
    "UTF-8 header": head(extra=["X-Name: @"]).replace(b"@", "Kašpárek".encode()),
    "fractional deadline": head(wait_ms="3000.5"),
    "pipelined": head(close=False) + head(),
    "empty line first": b"\r\n" + head(),
    "HTTP/1.0": head(version="1.0"),
}


@pytest.mark.parametrize("name", PROPER)
def test_a_proper_request_is_served(tmp_path, name):
    async def main(world):
        gateway = await world.start()
        reply = await gateway.call(PROPER[name])
        count = PROPER[name].count(b"HTTP/1.")
        assert reply.statuses == [200] * count, reply

    run_in_world(tmp_path, main)


def test_a_path_that_http_does_not_allow_is_answered(tmp_path):
    async def main(world):
        gateway = await world.start()
        reply = await gateway.call(head("/look/@").replace(b"@", "š".encode()))
        assert reply.status in (200, 400), reply

    run_in_world(tmp_path, main)


async def limited(world, **changes):
    """Start a gateway and let it apply other limits for callers."""
    gateway = await world.start()
    world.configure(limits=LIMITS | changes)
    await asyncio.sleep(1.0)
    return gateway


@pytest.mark.parametrize("size_bytes", (4_300_000, 8_000_000))
@pytest.mark.parametrize("is_chunked", (False, True))
def test_a_body_within_the_operators_limit_is_served(tmp_path, size_bytes, is_chunked):
    async def main(world):
        gateway = await limited(world)
        body = b"x" * size_bytes
        request = post(body=body)
        if is_chunked:
            request = chunked(b"%x" % size_bytes, body, b"0")
        reply = await gateway.call(request, wait_s=8.0)
        assert reply.status == 200, reply

    run_in_world(tmp_path, main)


def test_a_head_within_the_operators_limit_is_served(tmp_path):
    async def main(world):
        gateway = await limited(world)
        reply = await gateway.call(head(extra=["X-Long: " + "a" * 40_000]))
        assert reply.status == 200, reply

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("size_bytes", (2_000, 9_000_000))
def test_a_body_over_the_operators_limit_gets_413(tmp_path, size_bytes):
    async def main(world):
        gateway = await limited(world, max_body_bytes=1_000)
        reply = await gateway.call(post(body=b"x" * size_bytes), wait_s=8.0)
        assert reply.status == 413, reply
        assert not reply.was_reset

    run_in_world(tmp_path, main)


def test_a_chunked_body_over_the_operators_limit_gets_413(tmp_path):
    async def main(world):
        gateway = await limited(world, max_body_bytes=1_000)
        request = chunked(b"%x" % 9_000_000, b"x" * 9_000_000, b"0")
        reply = await gateway.call(request, wait_s=8.0)
        assert reply.status == 413, reply
        assert not reply.was_reset

    run_in_world(tmp_path, main)


@pytest.mark.parametrize(
    "over_bytes, is_split, status",
    ((0, False, 200), (0, True, 200), (1, False, 431), (1, True, 431)),
)
def test_header_fields_of_the_operators_limit_are_served(
    tmp_path, over_bytes, is_split, status
):
    # The request line and the empty line counted too.
    async def main(world):
        gateway = await limited(world, max_header_bytes=4_096)
        size_bytes = 4_096 + over_bytes
        line, fields = head(extra=["X-N: "]).split(b"\r\n", 1)
        fill = b"a" * (size_bytes - len(fields) + 2)
        request = line + b"\r\n" + fields.replace(b"X-N: ", b"X-N: " + fill)
        parts = (request[:-1], request[-1:]) if is_split else (request,)
        reply = await gateway.call(*parts)
        assert reply.status == status, reply

    run_in_world(tmp_path, main)


def test_a_head_over_the_operators_limit_gets_431(tmp_path):
    async def main(world):
        gateway = await limited(world, max_header_bytes=4_096)
        reply = await gateway.call(head(extra=["X-Long: " + "a" * 9_000]))
        assert reply.status == 431, reply
        assert not reply.was_reset

    run_in_world(tmp_path, main)


def test_half_a_head_ends_after_the_operators_timeout(tmp_path):
    async def main(world):
        gateway = await limited(world)
        reply = await gateway.call(head()[:30], wait_s=4.0)
        assert not reply.is_open
        assert reply.status == 408, reply

    run_in_world(tmp_path, main)


def test_limits_that_change_apply_to_connections_that_are_open(tmp_path):
    async def main(world):
        gateway = await limited(world)
        small = post(body=b"x" * 2_000, close=False)
        call = gateway.call(small, small, pause_s=2.0, wait_s=5.0)
        calling = asyncio.ensure_future(call)
        await asyncio.sleep(0.7)
        world.configure(limits=LIMITS | {"max_body_bytes": 1_000})
        assert (await calling).statuses == [200, 413]

    run_in_world(tmp_path, main)


def test_an_idle_connection_is_kept_for_the_operators_timeout(tmp_path):
    async def main(world):
        gateway = await limited(world, idle_timeout_ms=2000)
        reply = await gateway.call(head(close=False), head(), pause_s=1.6)
        assert reply.statuses == [200, 200], reply
        reply = await gateway.call(head(close=False), wait_s=4.0)
        assert not reply.is_open

    run_in_world(tmp_path, main)


def in_two_parts(body, pause_s):
    """Answer with a body whose last byte comes after a pause."""

    async def script(received, writer):
        writer.write(answer_bytes(200, echo_headers(received), body)[:-1])
        await asyncio.sleep(pause_s)
        writer.write(body[-1:])
        await writer.drain()

    return script


def test_a_request_over_its_share_of_the_memory_is_answered(tmp_path):
    # Its connection was closed without an answer.
    async def main(world):
        world.scripts("app", in_two_parts(b"x" * 14_000_000, 1.5))
        gateway = world.gateway()
        gateway.write_settings(**{"memory_mb = 300": "memory_mb = 150"})
        await gateway.start().wait_ready()
        calls = (gateway.call(post(request_id=f"r-{n}")) for n in range(6))
        replies = await asyncio.gather(*calls)
        assert {reply.status for reply in replies} == {200, 502}, replies
        cuts = gateway.events("caller_cut")
        assert {one["outcome"] for one in cuts} == {"refused"}
        assert len(cuts) == sum(reply.status == 502 for reply in replies)
        # What was held for them is free: the next ones are served.
        assert (await gateway.call(post())).status == 200

    run_in_world(tmp_path, main)


def without_body(*extra, **more):
    """Return the head of a request whose body of 100 kB doesn't follow."""
    return head(method="POST", extra=["Content-Length: 100000", *extra], **more)


REFUSED = {
    "unknown key": (401, {"authorization": "Token other"}),
    "no route": (404, {"path": "/none"}),
    "bad deadline": (400, {"wait_ms": "soon"}),
}


@pytest.mark.parametrize("extra", ((), ("Expect: 100-continue",)))
@pytest.mark.parametrize("name", REFUSED)
def test_a_request_refused_by_its_head_is_answered_before_its_body(
    tmp_path, name, extra
):
    async def main(world):
        gateway = await world.start()
        status, fields = REFUSED[name]
        reply = await gateway.call(without_body(*extra, **fields), wait_s=1.0)
        assert reply.statuses == [status] and b" 100 " not in reply.data, reply
        assert not reply.is_open

    run_in_world(tmp_path, main)


def test_a_refusal_does_not_cost_the_connection_if_the_body_is_there(tmp_path):
    async def main(world):
        gateway = await world.start()
        body = b"x" * 300_000
        refused = post(body=body, authorization="Token other", close=False)
        reply = await gateway.call(refused, head())
        assert reply.statuses == [401, 200], reply

    run_in_world(tmp_path, main)


def test_a_proper_request_is_continued(tmp_path):
    async def main(world):
        gateway = await world.start()
        expecting = without_body("Expect: 100-continue")
        reply = await gateway.call(expecting, b"x" * 100_000, pause_s=0.5)
        assert reply.status == 200 and b" 100 " in reply.data, reply

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("wait_ms, limit_s", ((1000, 1.0), (60_000, 3.0)))
def test_a_body_that_comes_byte_by_byte_ends_with_the_deadline(
    tmp_path, wait_ms, limit_s
):
    # Only the time between two bytes was bounded. The route allows 3 s.
    async def main(world):
        gateway = await world.start()
        parts = [without_body(wait_ms=wait_ms, request_id="slow"), *[b"x"] * 50]
        started_s = asyncio.get_running_loop().time()
        reply = await gateway.call(*parts, pause_s=0.1, wait_s=5.0)
        took_s = asyncio.get_running_loop().time() - started_s
        assert reply.status == 408 and world.runs("slow") == 0, reply
        assert limit_s <= took_s < limit_s + 0.3

    run_in_world(tmp_path, main)


async def half_closed(gateway, request, stay_s=0.0, pause_s=0.0, wait_s=8.0):
    """Send a request, end the caller's side later, and read after a pause."""
    reader, writer = await asyncio.open_connection(
        gateway.ip, gateway.front, limit=1000
    )
    writer.write(request)
    await asyncio.sleep(stay_s)
    writer.write_eof()
    await asyncio.sleep(pause_s)
    async with asyncio.timeout(wait_s):
        data = await reader.read()
    writer.close()
    return data


def after(pause_s, script):
    async def paused(received, writer):
        await asyncio.sleep(pause_s)
        await script(received, writer)

    return paused


@pytest.mark.parametrize(
    "size_bytes, stay_s, pause_s",
    ((10, 0.0, 0.0), (15_000_000, 0.0, 1.0), (15_000_000, 1.0, 0.5)),
)
def test_a_caller_that_ends_only_its_own_side_gets_its_answer(
    tmp_path, size_bytes, stay_s, pause_s
):
    async def main(world):
        body = b"y" * size_bytes
        world.scripts("app", after(0.1, whole(body=body)))
        gateway = await world.start()
        data = await half_closed(gateway, post(close=False), stay_s, pause_s)
        assert data.startswith(b"HTTP/1.1 200") and data.endswith(b"\r\n\r\n" + body)

    run_in_world(tmp_path, main)


def test_a_caller_that_ends_only_its_own_side_gets_its_whole_stream(tmp_path):
    async def main(world):
        world.scripts("llm", streams(8, pause_s=0.1))
        gateway = await world.start()
        request = post("/stream/1", b"prompt")
        data = await half_closed(gateway, request)
        assert b"piece 8" in data and data.endswith(b"0\r\n\r\n")

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("stay_s", (0.0, 0.2))
def test_the_work_for_a_caller_that_is_gone_ends(tmp_path, stay_s):
    async def main(world):
        gateway = await world.start()
        world.scripts("app", hangs())
        _, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(post(request_id="gone"))
        await asyncio.sleep(stay_s)
        writer.close()
        await asyncio.sleep(0.6)
        assert world.runs("gone") == 1
        assert sum(len(e.left) for e in world.endpoints.values()) == 1

    run_in_world(tmp_path, main)
