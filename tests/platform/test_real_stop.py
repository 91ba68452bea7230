"""Planned stop of a real process: each request ends with an answer, run or not."""

import asyncio
import random
import time

import pytest

from tests.platform.fleet import read_answer, route
from tests.platform.real_gateway import RELOAD, STOP, head, post, run_in_world
from tests.platform.standins import answer_bytes, echo_headers, streams

pytestmark = pytest.mark.process

GRACE_S = 8
CALL_INTERVAL_S = 0.25
ROUTES = [
    route("once", "non_idempotent", "app", timeout_ms=30_000),
    route("look", "idempotent", "app", timeout_ms=30_000),
    route("stream", "streaming", "llm", timeout_ms=30_000, gap_target_ms=250),
]
WARM_UP_CALLS = 8
CUT_S = GRACE_S - 1.0
"""Time after the signal at which all that still runs is answered."""


def works(work_s):
    """Answer after some work."""

    async def script(received, writer):
        await asyncio.sleep(work_s)
        writer.write(answer_bytes(200, echo_headers(received), b"whole answer"))
        await writer.drain()

    return script


async def warm_up(gateway, path):
    """Let the gateway see how long the work of a route takes."""
    calls = [post(path, wait_ms=9_000) for _ in range(WARM_UP_CALLS)]
    replies = await asyncio.gather(*(gateway.call(one, wait_s=10.0) for one in calls))
    assert [reply.status for reply in replies] == [200] * WARM_UP_CALLS


async def call_until_the_end(gateway, path):
    """Send requests until the process is gone; return replies by request id."""
    calls = {}
    end_s = time.monotonic() + GRACE_S
    while gateway.is_running and time.monotonic() < end_s:
        request_id = random.randbytes(8).hex()
        request = post(path, request_id=request_id, wait_ms=9_000)
        calls[request_id] = asyncio.ensure_future(gateway.call(request, wait_s=10.0))
        await asyncio.sleep(CALL_INTERVAL_S)
    left_s = max(0.0, end_s - time.monotonic())
    code = await gateway.exit_code(left_s)
    gateway.kill()
    return code, dict(zip(calls, await asyncio.gather(*calls.values()), strict=True))


@pytest.mark.parametrize("path", ("/once/1", "/look/1"))
@pytest.mark.parametrize("work_s", (2.5, 6.0))
def test_a_request_taken_late_in_a_planned_stop_is_not_cut(tmp_path, path, work_s):
    async def main(world):
        world.scripts("app", works(work_s))
        gateway = await world.start(grace_s=GRACE_S)
        gateway.signal(STOP)
        code, replies = await call_until_the_end(gateway, path)
        assert code == 0
        cut = [
            request_id
            for request_id, reply in replies.items()
            if world.runs(request_id) and reply.status is None
        ]
        assert not cut
        lied = [
            request_id
            for request_id, reply in replies.items()
            if world.runs(request_id) and reply.status in (429, 503)
        ]
        assert not lied
        # A request that can't be served is refused, not ended with its connection.
        lost = [r for r in replies.values() if r.status is None and not r.was_refused]
        assert not lost

    run_in_world(tmp_path, main, routes=ROUTES)


def test_a_late_stream_that_may_outlast_the_stop_is_refused(tmp_path):
    # It was taken since the streams before it were short, and cut at the end.
    pause_s, long_events = 0.05, 110
    tokens = ["X-Token-Count: 1000,4000"]  # 5.2 s by the declared costs

    def draft(path, **more):
        first = head(f"/stream/{path}", "POST", **more).decode()
        lines = first.replace("X-Token-Count: 5000,200", tokens[0])
        return (lines[:-2] + "Content-Length: 0\r\n\r\n").encode()

    async def main(world):
        async def script(received, writer):
            is_long = "long" in received.path
            count, wait_s = (long_events, pause_s) if is_long else (4, 0.0)
            await streams(count, wait_s)(received, writer)

        world.scripts("llm", script)
        world.scripts("app", works(4.5))
        gateway = await world.start(grace_s=GRACE_S)
        for _ in range(20):
            short = [gateway.call(draft("short", wait_ms=9_000)) for _ in range(8)]
            assert {reply.status for reply in await asyncio.gather(*short)} == {200}
        running = asyncio.ensure_future(
            gateway.call(post("/look/1", wait_ms=9_000), wait_s=9.0)
        )
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(draft("short", wait_ms=9_000, close=False))
        assert (await read_answer(reader, writer, keep_open=True)).status == 200
        gateway.signal(STOP)
        await asyncio.sleep(3.2)
        request_id = random.randbytes(8).hex()
        late = draft("long", wait_ms=9_000, request_id=request_id, close=False)
        writer.write(late)
        answer = await read_answer(reader, writer)
        assert (answer.status, answer.is_complete) == (503, True)
        assert not world.runs(request_id)
        assert (await running).status == 200

    run_in_world(tmp_path, main, routes=ROUTES)


def test_signals_in_series_during_a_stop_end_no_process(tmp_path):
    async def main(world):
        gateway = await world.start(grace_s=GRACE_S)
        gateway.signal(STOP)
        while gateway.is_running:
            gateway.signal(RELOAD)
            gateway.signal(STOP)
            await asyncio.sleep(0.02)
        assert await gateway.exit_code(1.0) == 0

    run_in_world(tmp_path, main)


def test_connections_in_the_accept_queue_at_the_end_of_a_stop_are_answered(tmp_path):
    async def main(world):
        gateway = await world.start(grace_s=GRACE_S)
        gateway.signal(STOP)
        replies = []
        while gateway.is_running:
            replies += await asyncio.gather(
                *(gateway.call(head(), wait_s=2.0) for _ in range(20))
            )
        lost = [r for r in replies if r.status is None and not r.was_refused]
        assert not lost

    run_in_world(tmp_path, main)


@pytest.mark.parametrize("is_warm", (False, True))
def test_short_work_is_served_as_long_as_it_fits(tmp_path, is_warm):
    async def main(world):
        world.scripts("app", works(0.1))
        world.scripts("llm", streams(60, pause_s=0.1))
        gateway = await world.start(grace_s=GRACE_S)
        if is_warm:
            await warm_up(gateway, "/once/1")
        # A stream from before the signal keeps the process for 6 s.
        stream = post("/stream/1", wait_ms=20_000)
        running = asyncio.ensure_future(gateway.call(stream, wait_s=10.0))
        await asyncio.sleep(0.2)
        gateway.signal(STOP)
        started_s = time.monotonic()
        replies = []
        while time.monotonic() < started_s + 5.5:
            call = gateway.call(post("/once/1", wait_ms=9_000), wait_s=10.0)
            replies.append(asyncio.ensure_future(call))
            await asyncio.sleep(CALL_INTERVAL_S)
        replies = await asyncio.gather(*replies)
        assert {reply.status for reply in replies} == {200}
        assert (await running).data.endswith(b"0\r\n\r\n")
        assert await gateway.exit_code(3.0) == 0

    run_in_world(tmp_path, main, routes=ROUTES)


def test_long_work_that_was_seen_before_is_refused_and_not_cut(tmp_path):
    async def main(world):
        world.scripts("app", works(4.0))
        gateway = await world.start(grace_s=GRACE_S)
        await warm_up(gateway, "/once/1")
        gateway.signal(STOP)
        code, replies = await call_until_the_end(gateway, "/once/1")
        assert code == 0
        statuses = [r.status for r in replies.values() if not r.was_refused]
        assert set(statuses) == {200, 503}
        # 4 s, rounded up by a tenth, of 7 s: those of the first 2.6 s are served.
        assert statuses.count(200) >= 2.5 / CALL_INTERVAL_S - 1
        for request_id, reply in replies.items():
            assert world.runs(request_id) == (reply.status == 200)
            if reply.status == 503:
                assert b"Connection: close" in reply.data
                assert b"Retry-After: 0." in reply.data
        (stopped,) = gateway.events("stopped")
        assert stopped["refused"] == statuses.count(503) and stopped["cut"] == 0
        refused = gateway.events("refused_by_stop")
        assert {event["request_id"] for event in refused} <= set(replies)
        assert all(event["expected_s"] >= event["left_s"] for event in refused)

    run_in_world(tmp_path, main, routes=ROUTES)


def test_a_stream_that_outlasts_the_process_is_broken_off_and_said_so(tmp_path):
    async def main(world):
        world.scripts("llm", streams(200, pause_s=0.1))
        gateway = await world.start(grace_s=GRACE_S)
        request_id = random.randbytes(8).hex()
        stream = post("/stream/1", request_id=request_id, wait_ms=25_000)
        running = asyncio.ensure_future(gateway.call(stream, wait_s=12.0))
        await asyncio.sleep(0.2)
        gateway.signal(STOP)
        started_s = time.monotonic()
        reply = await running
        assert CUT_S - 0.5 < time.monotonic() - started_s < GRACE_S
        assert reply.status == 200 and b"piece 50\n" in reply.data
        assert not reply.data.endswith(b"0\r\n\r\n")
        assert await gateway.exit_code(2.0) == 0
        (cut,) = gateway.events("cut_by_stop")
        assert (cut["request_id"], cut["is_sent"]) == (request_id, True)
        assert gateway.events("stopped")[0]["cut"] == 1

    run_in_world(tmp_path, main, routes=ROUTES)


PART = post("/once/1", body=b"z" * 1000)[:-500]
CHUNKED = head("/look/1", "POST", ["Transfer-Encoding: chunked"])


@pytest.mark.parametrize(
    "part, grace_s", [(PART, 3), (CHUNKED, 3), (PART[:40], 3), (PART[:40], 8)]
)
def test_a_request_that_is_not_complete_at_the_end_is_refused(tmp_path, part, grace_s):
    async def main(world):
        gateway = await world.start(grace_s=grace_s)
        early = asyncio.ensure_future(gateway.call(part, wait_s=9.0))
        await asyncio.sleep(0.1)
        gateway.signal(STOP)
        await asyncio.sleep(1.8)
        late = asyncio.ensure_future(gateway.call(part, wait_s=9.0))
        for reply in await asyncio.gather(early, late):
            assert (reply.status, reply.was_reset) == (503, False)
            assert b"Connection: close" in reply.data
            assert b"Retry-After: 0." in reply.data
        assert await gateway.exit_code(3.0) == 0
        assert not any(endpoint.requests for endpoint in world.endpoints.values())

    run_in_world(tmp_path, main, routes=ROUTES)


async def use_one_connection(gateway, path, sent):
    """Send requests on kept connections until the process is gone."""
    while gateway.is_running:
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        except ConnectionError:
            await asyncio.sleep(0.02)
            continue
        is_kept = True
        while is_kept:
            request_id = random.randbytes(8).hex()
            writer.write(post(path, request_id=request_id, wait_ms=9_000, close=False))
            answer = await read_answer(reader, writer, keep_open=True)
            sent[request_id] = answer
            is_kept = answer.is_complete and (
                answer.headers.get("connection", "").lower() != "close"
            )
        writer.close()


@pytest.mark.parametrize("path", ("/once/1", "/look/1"))
def test_kept_connections_lose_nothing_that_was_passed_on(tmp_path, path):
    async def main(world):
        world.scripts("app", works(0.05))
        gateway = await world.start(grace_s=GRACE_S)
        sent = {}
        users = [
            asyncio.ensure_future(use_one_connection(gateway, path, sent))
            for _ in range(5)
        ]
        await asyncio.sleep(1.0)
        served = len(sent)
        gateway.signal(STOP)
        assert await gateway.exit_code(GRACE_S) == 0
        await asyncio.gather(*users)
        assert len(sent) > served
        for request_id, answer in sent.items():
            assert world.runs(request_id) == (answer.status == 200)
            assert answer.is_complete or not world.runs(request_id)

    run_in_world(tmp_path, main, routes=ROUTES)


async def call_some_gateway(gateways, path):
    """Send a request to gateways until one serves it; return how often it was sent."""
    for attempt in range(1, 8):
        gateway = random.choice([one for one in gateways if one.is_running])
        reply = await gateway.call(post(path, wait_ms=9_000), wait_s=10.0)
        if reply.status == 200:
            return attempt
        # Nothing else allows a caller to send a `non_idempotent` request again.
        assert reply.status == 503 or reply.was_refused
        await asyncio.sleep(0.05)
    raise AssertionError(f"{path} was not served")


@pytest.mark.parametrize("work_s", (0.1, 2.5))
def test_gateways_that_stop_in_turn_serve_each_request_once(tmp_path, work_s):
    async def main(world):
        world.scripts("app", works(work_s))
        gateways = [
            await world.start(f"g{number}", grace_s=GRACE_S) for number in range(3)
        ]
        calls, paths = [], []

        async def call_for(duration_s):
            end_s = time.monotonic() + duration_s
            while time.monotonic() < end_s:
                paths.append(f"/once/{len(paths)}")
                call = call_some_gateway(gateways, paths[-1])
                calls.append(asyncio.ensure_future(call))
                await asyncio.sleep(CALL_INTERVAL_S)

        await call_for(1.0)
        for gateway in gateways[:2]:
            gateway.signal(STOP)
            await call_for(4.0)
        await asyncio.gather(*calls)
        for gateway in gateways[:2]:
            assert await gateway.exit_code(GRACE_S) == 0
        received = [one.path for e in world.endpoints.values() for one in e.requests]
        assert sorted(received) == sorted(paths)

    run_in_world(tmp_path, main, routes=ROUTES)
