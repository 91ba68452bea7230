"""Planned stops beside engines that are slower than declared sizes imply."""

import asyncio
import contextlib
import socket
import subprocess
import sys

import pytest

from tests.platform.fleet import configuration, read_answer, route
from tests.platform.paced_engine import COSTS
from tests.platform.real_gateway import CHECKOUT, STOP, head, run_in_world
from tests.platform.standins import Endpoint

pytestmark = pytest.mark.process

GRACE_S = 8
LATE_S = 3.1
"""A stream sent later than 3 s after the signal must end whole or be refused."""
DECLARED_TOKENS = 2550
DECLARED_EVENTS = DECLARED_TOKENS // COSTS["step_count"]
"""3.3 s by the costs of an engine that runs nothing else."""
SHORT_EVENTS, SHORT_ROUNDS = 4, 25
HELD_EVENTS = 160
FITTING_EVENTS = 24
"""They take 1.1 s of the 3.9 s that are left when the stream is sent."""
READ_S = 7.1
"""Time after the signal at which an answer is read, before connections are closed."""
READ_BYTES = 65_536
END_EVENTS = 162
"""They end 7.1 s after the signal."""
WAIT_MS = 12_000
SMALL_BUFFER_BYTES = 65_536
LONG_CONTEXT_TOKENS = 40_000
ROUTES = [
    route("stream", "streaming", "llm", timeout_ms=30_000, gap_target_ms=250),
    route("slow", "streaming", "llm", timeout_ms=30_000, gap_target_ms=2000),
    route("look", "idempotent", "app"),
]


@contextlib.asynccontextmanager
async def engine_process(world, slowness, module):
    """Run an engine in place of the model endpoints of a world."""
    for name in [n for n, service in world.services.items() if service == "llm"]:
        await world.endpoints.pop(name).stop()
        world.store.put("keyed.servers", name, None)
    process = subprocess.Popen(
        [sys.executable, "-m", f"tests.platform.{module}", str(slowness)],
        stdout=subprocess.PIPE,
        cwd=CHECKOUT,
    )

    async def register(entry):
        while True:
            world.store.put("keyed.servers", "i-p", entry)
            await asyncio.sleep(1.0)

    try:
        endpoint = Endpoint(endpoint_id="i-p", port=int(process.stdout.readline()))
        entry = endpoint.entry(backend="llm", capacity=COSTS["capacity"])
        beat = asyncio.ensure_future(register(entry))
        yield endpoint
        beat.cancel()
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def stream(events, declared=DECLARED_TOKENS, context=1000, path="stream", close=True):
    """Return a request for a stream, which may declare more tokens than it needs."""
    size = ["X-Model: m", f"X-Token-Count: {context},{declared}", "Content-Length: 0"]
    return head(
        f"/{path}/{events}", "POST", extra=size, wait_ms=WAIT_MS, close=close
    ).replace(b"X-Token-Count: 5000,200\r\nX-Model: m\r\n", b"")


async def see_short_streams(gateway):
    """Let the gateway see many streams that need little of what they declare."""
    for _ in range(SHORT_ROUNDS):
        calls = [gateway.call(stream(SHORT_EVENTS)) for _ in range(COSTS["capacity"])]
        assert {reply.status for reply in await asyncio.gather(*calls)} == {200}


def run_with_engine(folder, slowness, main, module="paced_engine"):
    """Run a test with a real gateway and one engine in a process of its own."""

    async def run(world):
        async with engine_process(world, slowness, module) as engine:
            await main(await world.start(grace_s=GRACE_S), engine)

    config = configuration(routes=ROUTES)
    backends = [
        {"name": "llm", "health_path": "/healthz", "runtime": COSTS},
        {"name": "app", "health_path": "/healthz"},
    ]
    run_in_world(folder, run, routes=config["routes"], backends=backends)


def run_late_stream(folder, slowness, beside, is_warm):
    """Send a stream that needs all that it declares on a kept connection, late."""
    held_tokens = HELD_EVENTS * COSTS["step_count"]

    async def main(gateway, engine):
        if is_warm:
            await see_short_streams(gateway)
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(stream(1, close=False))
        assert (await read_answer(reader, writer, keep_open=True)).status == 200
        # They hold the process for the time of the stop.
        contexts = [LONG_CONTEXT_TOKENS] * beside or [1000]
        long = [stream(HELD_EVENTS, held_tokens, one, "slow") for one in contexts]
        held = [asyncio.ensure_future(gateway.call(one, wait_s=9.0)) for one in long]
        await asyncio.sleep(1.0)
        gateway.signal(STOP)
        await asyncio.sleep(LATE_S)
        writer.write(stream(DECLARED_EVENTS, close=False))
        answer = await read_answer(reader, writer)
        assert {reply.status for reply in await asyncio.gather(*held)} == {200}
        assert await gateway.exit_code(4.0) == 0
        assert answer.status in (200, 503)
        assert answer.is_complete

    run_with_engine(folder, slowness, main)


@pytest.mark.parametrize("is_warm", (False, True))
def test_a_late_stream_beside_long_contexts_is_refused_or_whole(tmp_path, is_warm):
    # The declared size fits only at an engine without other streams.
    run_late_stream(tmp_path, slowness=1.0, beside=2, is_warm=is_warm)


def test_a_late_stream_at_a_slow_engine_is_refused_or_whole(tmp_path):
    # Short streams of a large declared size hide that the engine is slow.
    run_late_stream(tmp_path, slowness=1.4, beside=0, is_warm=True)


def test_a_late_stream_that_fits_with_all_it_declares_is_served(tmp_path):
    async def main(gateway, engine):
        await see_short_streams(gateway)
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(stream(1, close=False))
        assert (await read_answer(reader, writer, keep_open=True)).status == 200
        held = asyncio.ensure_future(
            gateway.call(stream(END_EVENTS, 10_000), wait_s=9.0)
        )
        await asyncio.sleep(0.2)
        gateway.signal(STOP)
        await asyncio.sleep(LATE_S)
        writer.write(stream(FITTING_EVENTS, FITTING_EVENTS * COSTS["step_count"]))
        answer = await read_answer(reader, writer)
        assert (answer.status, answer.is_complete) == (200, True)
        await held

    run_with_engine(tmp_path, 1.0, main)


def test_a_stream_that_ends_as_connections_close_is_whole(tmp_path):
    async def main(gateway, engine):
        call = gateway.call(stream(END_EVENTS, 10_000, path="slow"), wait_s=9.0)
        running = asyncio.ensure_future(call)
        await asyncio.sleep(0.2)
        gateway.signal(STOP)
        reply = await running
        assert reply.status == 200
        assert reply.data.endswith(b"0\r\n\r\n")
        assert await gateway.exit_code(1.0) == 0
        assert not gateway.events("cut_by_stop")

    run_with_engine(tmp_path, 1.0, main)


async def read_late(gateway, request, first_bytes, rest_from_s):
    """Send a request; read the end of its answer not before a time."""
    loop = asyncio.get_running_loop()
    data = b""
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, (gateway.ip, gateway.front))
        await loop.sock_sendall(caller, request)
        while read := await loop.sock_recv(caller, READ_BYTES):
            data += read
            if len(data) >= first_bytes:
                await asyncio.sleep(rest_from_s - loop.time())
    return data


def test_an_answer_that_is_still_being_read_as_connections_close_is_whole(tmp_path):
    # Its endpoint has sent all, and its caller is still reading.
    events, event_bytes = 100, 40_000
    request = stream(events, 10_000, path="slow")
    request = request.replace(b"/slow/100 ", b"/slow/100/%d " % event_bytes)

    async def main(gateway, engine):
        rest_from_s = asyncio.get_running_loop().time() + 0.2 + READ_S
        first_bytes = events * event_bytes // 2
        reading = read_late(gateway, request, first_bytes, rest_from_s)
        running = asyncio.ensure_future(reading)
        await asyncio.sleep(0.2)
        gateway.signal(STOP)
        assert (await running).endswith(b"0\r\n\r\n")
        assert not gateway.events("cut_by_stop")

    run_with_engine(tmp_path, 1.0, main)
