"""Planned stops beside prompts that are sent slowly, or read late by their engine."""

import asyncio

import pytest

from tests.platform.fleet import read_answer
from tests.platform.paced_engine import COSTS
from tests.platform.real_gateway import STOP, exchange, post
from tests.platform.standins import HOST
from tests.platform.test_real_stop_pace import (
    HELD_EVENTS,
    LATE_S,
    LONG_CONTEXT_TOKENS,
    run_with_engine,
    see_short_streams,
    stream,
)

pytestmark = pytest.mark.process

STEPS = COSTS["step_count"]
HEAD_S, BODY_PARTS, PART_PAUSE_S = 1.2, 4, 0.65
"""Its last byte is sent 3.15 s after the signal."""
PART = b"x" * 10_000
LONG_EVENTS = 110
"""4.9 s, of 4.1 s that are left when the last byte is sent."""
SEEN_EVENTS = 150
PROMPT_TOKENS = 90_000
PROMPT_EVENTS = 8
PROMPT_S = 3.9
"""Time after the signal at which all would fit if nothing ran beside the prompt while
it is read, for 1.3 s by itself."""
BESIDE_EVENTS = 82
READ_TOKENS, READ_FOR_S = 20_000, 9.0
READERS = 2
BETWEEN_EVENTS = 60
"""2.7 s without prompts between them, of 4.2 s that are left."""


async def hold(gateway, events, context_tokens=1000, count=1):
    """Hold the process for the time of a stop by streams."""
    one = stream(events, events * STEPS, context_tokens, path="slow")
    calls = [gateway.call(one, wait_s=9.0) for _ in range(count)]
    held = asyncio.gather(*calls)
    await asyncio.sleep(1.0)
    return held


def test_a_stream_whose_body_ends_late_is_refused_or_whole(tmp_path):
    # It counted as early by its head, and was judged by what shorter ones had needed.
    async def main(gateway, engine):
        await see_short_streams(gateway)
        held = await hold(gateway, HELD_EVENTS)
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        gateway.signal(STOP)
        await asyncio.sleep(HEAD_S)
        head = stream(LONG_EVENTS, LONG_EVENTS * STEPS, close=False)
        size = b"Content-Length: %d" % (BODY_PARTS * len(PART))
        writer.write(head.replace(b"Content-Length: 0", size) + PART)
        answering = asyncio.ensure_future(read_answer(reader, writer))
        for _ in range(BODY_PARTS - 1):
            await asyncio.sleep(PART_PAUSE_S)
            writer.write(PART)
        answer = await answering
        assert (answer.status, answer.is_complete) in ((200, True), (503, True))
        assert {reply.status for reply in await held} == {200}

    run_with_engine(tmp_path, 1.0, main)


async def see_long_streams(gateway, path="slow"):
    """Let the gateway see that passes take as long as by the costs of the engine."""
    one = stream(SEEN_EVENTS, SEEN_EVENTS * STEPS, path=path)
    calls = [gateway.call(one, wait_s=12.0) for _ in range(COSTS["capacity"])]
    assert {reply.status for reply in await asyncio.gather(*calls)} == {200}


def test_a_late_stream_of_a_long_prompt_is_refused_or_whole(tmp_path):
    # Only first events of short prompts had been seen, which are never late.
    async def main(gateway, engine):
        await see_long_streams(gateway)
        await see_short_streams(gateway)
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(stream(1, close=False))
        assert (await read_answer(reader, writer, keep_open=True)).status == 200
        held = await hold(gateway, BESIDE_EVENTS, LONG_CONTEXT_TOKENS, count=2)
        gateway.signal(STOP)
        await asyncio.sleep(PROMPT_S)
        declared = PROMPT_EVENTS * STEPS
        writer.write(
            stream(PROMPT_EVENTS, declared, PROMPT_TOKENS, path="slow", close=False)
        )
        answer = await read_answer(reader, writer)
        assert (answer.status, answer.is_complete) in ((200, True), (503, True))
        assert {reply.status for reply in await held} == {200}

    run_with_engine(tmp_path, 1.0, main, module="reading_engine")


async def read_prompts(engine):
    """Let an engine read prompts one after the other, as those of another gateway."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + READ_FOR_S
    while loop.time() < end_s:
        prompt = stream(1, STEPS, READ_TOKENS, path="slow")
        await exchange(HOST, engine.port, prompt, wait_s=READ_FOR_S)


def test_a_late_stream_that_prompts_are_read_beside_is_refused_or_whole(tmp_path):
    # Only streams had been seen that long prompts are kept away from.
    async def main(gateway, engine):
        await see_long_streams(gateway, path="stream")
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        writer.write(stream(1, close=False))
        assert (await read_answer(reader, writer, keep_open=True)).status == 200
        gateway.signal(STOP)
        reading = asyncio.gather(*(read_prompts(engine) for _ in range(READERS)))
        await asyncio.sleep(LATE_S / 2)
        # An incomplete request holds the process, and shows no pace.
        _, holding = await asyncio.open_connection(gateway.ip, gateway.front)
        holding.write(post("/look/1")[:-1])
        await asyncio.sleep(LATE_S / 2)
        writer.write(stream(BETWEEN_EVENTS, BETWEEN_EVENTS * STEPS, path="slow"))
        answer = await read_answer(reader, writer)
        assert (answer.status, answer.is_complete) in ((200, True), (503, True))
        await reading
        holding.close()

    run_with_engine(tmp_path, 1.0, main, module="reading_engine")
