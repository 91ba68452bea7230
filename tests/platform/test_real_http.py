"""What HTTP allows and forbids, sent to a real process."""

import asyncio
import random

import pytest

from tests.platform.real_gateway import head, post, run_in_world
from tests.platform.standins import answer_bytes, echo_headers, whole

pytestmark = pytest.mark.process

CHUNKED = "Transfer-Encoding: chunked"
NO_HOST = head().replace(b"Host: example.test\r\n", b"")

STATUSES = {
    "two hosts": (head(extra=["Host: example.test"]), 400),
    "no host": (NO_HOST, 400),
    "no host in HTTP/1.0": (NO_HOST.replace(b"/1.1", b"/1.0"), 404),
    "invalid host": (head(host="a b"), 400),
    "host of the target": (head("http://example.test/look/1", host="other.test"), 200),
    "CONNECT": (head("example.test:80", "CONNECT"), 400),
    "OPTIONS *": (head("*", "OPTIONS"), 404),
    "no path": (head("look/1"), 400),
    "HTTP/2.0": (head(version="2.0"), 505),
    "HTTP/1.2": (head(version="1.2"), 200),
    "preface of HTTP/2": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505),
    "no HTTP": (b"\x16\x03\x01\x02\x00\r\n", 400),
    "Upgrade": (head(extra=["Upgrade: h2c", "Connection: upgrade"]), 200),
    "length and chunks": (post(extra=[CHUNKED]), 400),
    "two lengths": (post(body=b"abc", extra=["Content-Length: 4"]), 400),
    "equal lengths": (post(body=b"abc", extra=["Content-Length: 3"]), 200),
    "other coding": (head(extra=["Transfer-Encoding: gzip, chunked"]), 501),
    "garbled chunk": (head("/once/1", "POST", extra=[CHUNKED]) + b"x\r\n", 400),
    "bare line feeds": (head().replace(b"\r\n", b"\n"), 200),
    "folded line": (head(extra=["X-A: a\r\n b"]), 200),
    "space before a colon": (head(extra=["X-A : a"]), 400),
    "tabs and empty values": (head(extra=["X-A:\ta\tb\t", "X-B:"]), 200),
    "odd names": (head(extra=["!#$%&'*+-.^_`|~: a"]), 200),
    "100 headers": (head(extra=[f"X-{n}: a" for n in range(100)]), 200),
    "control character": (head(extra=["X-A: a\x01b"]), 400),
    "Latin-1 id": (head(request_id="@").replace(b"@", b"\xe1"), 200),
    "Latin-1 host": (head(host="@").replace(b"@", b"\xe1"), 400),
    "keep-alive in HTTP/1.0": (
        head(version="1.0", extra=["Connection: keep-alive"], close=False),
        200,
    ),
    "deadline below 0": (head(wait_ms="-1"), 400),
    "no id": (head(request_id="@").replace(b"X-Attempt-Id: @\r\n", b""), 400),
}


def test_each_request_is_answered_as_http_says(tmp_path):
    async def main(world):
        gateway = await world.start()
        found = {}
        for name, (request, _) in STATUSES.items():
            reply = await gateway.call(request)
            found[name] = reply.status
            assert not (reply.was_reset or reply.is_open), (name, reply)
        assert found == {name: status for name, (_, status) in STATUSES.items()}
        rejected = gateway.events("caller_rejected")
        assert {one["outcome"] for one in rejected} == {"400", "501", "505"}
        assert all(one["reason"] for one in rejected)
        assert not gateway.events("internal_error")

    run_in_world(tmp_path, main)


def test_header_values_reach_both_sides_unchanged(tmp_path):
    value, answered = b"Ka\xe1p\xc5\xa1", "z\xe1p\x85"

    async def main(world):
        world.scripts("app", whole(extra=[("X-Name", answered)]))
        gateway = await world.start()
        request = head(extra=["X-Name: @"], request_id="#")
        request = request.replace(b"@", value).replace(b"#", b"r-\xe1")
        reply = await gateway.call(request)
        assert b"X-Name: " + answered.encode("latin-1") in reply.data
        assert b"X-Attempt-Id: r-\xe1\r\n" in reply.data
        received = [one for e in world.endpoints.values() for one in e.requests]
        assert received[0].headers["x-name"].encode("latin-1") == value
        assert received[0].headers["x-attempt-id"] == "r-\xe1"

    run_in_world(tmp_path, main)


def test_an_answer_to_head_has_headers_only_and_the_length_of_the_body(tmp_path):
    async def script(received, writer):
        headers = [*echo_headers(received), ("Content-Length", "1234")]
        writer.write(answer_bytes(200, headers, length=False))
        await writer.drain()

    async def main(world):
        world.scripts("app", script)
        gateway = await world.start()
        reply = await gateway.call(head(method="HEAD", close=False), head())
        assert b"Content-Length: 1234\r\n" in reply.data, reply
        assert reply.data.count(b"HTTP/1.1 200") >= 1

    run_in_world(tmp_path, main)


def test_a_caller_who_expects_100_is_told_to_go_on_or_refused_at_once(tmp_path):
    async def main(world):
        gateway = await world.start()
        expects = ["Expect: 100-continue"]
        request = post(body=b"abc", extra=expects)
        reply = await gateway.call(request[:-3], request[-3:])
        assert reply.data.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200")
        large = head("/once/1", "POST", extra=[*expects, "Content-Length: 99999999"])
        reply = await gateway.call(large)
        assert reply.data.startswith(b"HTTP/1.1 413")

    run_in_world(tmp_path, main)


def test_one_request_byte_by_byte_and_many_at_once_are_all_served(tmp_path):
    async def main(world):
        gateway = await world.start()
        parts = [bytes([one]) for one in post(body=b"abc")]
        reply = await gateway.call(*parts, pause_s=0.001)
        assert reply.statuses == [200]
        reply = await gateway.call(post(close=False) * 30 + head(), wait_s=8.0)
        assert reply.statuses == [200] * 31

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("ahead", (b"", head(), head()[:20]))
def test_a_caller_who_leaves_cancels_the_work_also_with_requests_waiting(
    tmp_path, ahead
):
    async def slow(received, writer):
        await asyncio.sleep(20)

    async def main(world):
        world.scripts("app", slow)
        gateway = await world.start()
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(head(close=False, wait_ms=15000) + ahead)
        await asyncio.sleep(0.5)
        writer.close()
        await asyncio.sleep(0.5)
        left = [one for e in world.endpoints.values() for one in e.left]
        assert len(left) == 1

    run_in_world(tmp_path, main)


def test_endless_trailers_and_chunk_headers_are_refused(tmp_path):
    async def main(world):
        gateway = await world.start()
        start = head("/once/1", "POST", extra=[CHUNKED])
        for rest in (b"5;a=", b"5\r\nhello\r\n0\r\nX-A: "):
            reply = await gateway.call(start + rest + b"a" * 300_000)
            assert reply.status == 431 and not reply.was_reset

    run_in_world(tmp_path, main)


def test_garbage_of_any_kind_gets_an_answer_and_ends_no_process(tmp_path):
    draw = random.Random(7)

    async def main(world):
        gateway = await world.start()
        for _ in range(60):
            request = bytearray(post(body=b"abc"))
            for _ in range(draw.randrange(1, 4)):
                request[draw.randrange(len(request))] = draw.randrange(256)
            reply = await gateway.call(bytes(request), b"\r\n\r\n", wait_s=1.0)
            assert reply.status is not None or reply.is_open, bytes(request)
        assert gateway.is_running
        assert not gateway.events("internal_error")

    run_in_world(tmp_path, main)
