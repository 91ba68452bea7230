"""Endpoints that send without end, faster than a real gateway reads."""

import asyncio
import contextlib
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.platform.endless_endpoint import KINDS
from tests.platform.real_gateway import CHECKOUT, head, post, run_in_world
from tests.platform.standins import Endpoint, streams

pytestmark = pytest.mark.process

OTHERS = 20
TIMEOUT_S = 3.0
"""That of all routes."""
ANSWER_SLACK_S = 0.5
"""Time after its timeout within which a request has its final answer."""
MAX_GROWTH_MB = 64
"""What a gateway may hold for one answer: four times the longest that it relays."""


@contextlib.asynccontextmanager
async def endless_endpoint(world, service, kind):
    """Run an endpoint that spoils each answer in place of those of a service."""
    for name in [n for n, known in world.services.items() if known == service]:
        await world.endpoints.pop(name).stop()
        world.store.put("keyed.servers", name, None)
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.platform.endless_endpoint", kind],
        stdout=subprocess.PIPE,
        cwd=CHECKOUT,
    )
    try:
        endpoint = Endpoint(endpoint_id="i-e", port=int(process.stdout.readline()))
        world.store.put("keyed.servers", "i-e", endpoint.entry(backend=service))
        yield
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def memory_mb(process):
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has ended")


async def timed(call):
    """Return a reply and the time it took."""
    started_s = time.monotonic()
    reply = await call
    return reply, time.monotonic() - started_s


@pytest.mark.parametrize("service", ["app", "llm"])
@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_without_end_delays_no_other_request(tmp_path, kind, service):
    # The reader of such an answer kept the event loop while there were data: neither
    # other requests nor its own timeout had a turn, and small pieces filled the memory.
    path, other = (
        ("/once/1", "/stream/1") if service == "app" else ("/stream/1", "/look/1")
    )

    async def main(world):
        async with endless_endpoint(world, service, kind):
            world.scripts("llm", streams(3))
            gateway = await world.start()
            before_mb = memory_mb(gateway.process)
            spoiled = asyncio.ensure_future(
                timed(gateway.call(post(path, wait_ms=20_000), wait_s=20.0))
            )
            await asyncio.sleep(0.2)
            for _ in range(OTHERS):
                request = head(other, "POST", extra=["Content-Length: 0"])
                reply, took_s = await timed(gateway.call(request, wait_s=8.0))
                assert (reply.status, took_s < TIMEOUT_S) == (200, True)
                assert memory_mb(gateway.process) < before_mb + MAX_GROWTH_MB
                await asyncio.sleep(0.02)
            assert await gateway.is_ready()
            _, took_s = await spoiled
            assert took_s < TIMEOUT_S + ANSWER_SLACK_S
            assert memory_mb(gateway.process) < before_mb + MAX_GROWTH_MB

    run_in_world(tmp_path, main)
