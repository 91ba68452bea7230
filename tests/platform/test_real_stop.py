"""Planned stop of a real process: each request ends with an answer, run or not."""

import asyncio
import random
import time

import pytest

from tests.platform.fleet import route
from tests.platform.real_gateway import RELOAD, STOP, head, post, run_in_world
from tests.platform.standins import answer_bytes, echo_headers

pytestmark = pytest.mark.process

GRACE_S = 8
CALL_INTERVAL_S = 0.25
ROUTES = [
    route("once", "non_idempotent", "app", timeout_ms=30_000),
    route("look", "idempotent", "app", timeout_ms=30_000),
]


def works(work_s):
    """Answer after some work."""

    async def script(received, writer):
        await asyncio.sleep(work_s)
        writer.write(answer_bytes(200, echo_headers(received), b"whole answer"))
        await writer.drain()

    return script


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
