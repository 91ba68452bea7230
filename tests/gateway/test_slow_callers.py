"""Callers that read slowly or not at all, and what the gateway holds for them."""

import asyncio
import contextlib
import time

import pytest

from sorrelhoist.decisions.resource_limits import ResourceLimits
from sorrelhoist.decisions.routes import CallerLimits
from sorrelhoist.gateway import memory
from tests.platform.fleet import configuration, read_answer, route, run_with_fleet
from tests.platform.real_gateway import head
from tests.platform.standins import (
    answer_bytes,
    chunk,
    echo_headers,
    event,
    reset,
    streams,
    whole,
)

LIMITS = ResourceLimits(memory_bytes=200 * 1024 * 1024)
EVENT = b"id: %d\ndata: " + b"x" * 100_000 + b"\n\n"
UNREAD_CUT_S = 0.6
PATIENT = [
    route("stream", "streaming", "llm", resumable=True, gap_target_ms=250)
    | {"timeout_ms": 9000}
]
COUNT = 150


PROCESS_BYTES = 48 * 1024 * 1024


@pytest.fixture(autouse=True)
def process_size(monkeypatch):
    """Count the size of a gateway process instead of that of the test process."""
    monkeypatch.setattr(memory, "resident_bytes", lambda: PROCESS_BYTES)


def large_events(count=COUNT, cuts=True, pause_s=0.005):
    """Stream large events; cut an answer that isn't read for some time."""

    async def script(received, writer):
        writer.transport.set_write_buffer_limits(high=0)
        headers = [*echo_headers(received), ("Transfer-Encoding", "chunked")]
        writer.write(answer_bytes(200, headers, length=False))
        for number in range(1, count + 1):
            writer.write(chunk(EVENT % number))
            try:
                async with asyncio.timeout(UNREAD_CUT_S if cuts else 60):
                    await writer.drain()
            except TimeoutError:
                reset(writer)
                return
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


def body_of(count=COUNT):
    return b"".join(EVENT % number for number in range(1, count + 1))


def test_a_caller_that_pauses_reading_gets_its_whole_answer_from_one_endpoint():
    # The gateway stopped reading, the endpoint cut the answer, and that counted as a
    # failure of the endpoint: the stream was run again elsewhere.
    async def main(fleet):
        for _ in range(2):
            await fleet.add(large_events())
        reader, writer = await fleet.send("/stream/1", "POST", b"prompt", wait_ms=9000)
        writer.transport.pause_reading()
        await asyncio.sleep(1.8)
        assert fleet.state.memory.dump(0.0)["largest"][0]["unread_bytes"] > 5_000_000
        writer.transport.resume_reading()
        answer = await read_answer(reader, writer)
        assert answer.is_complete and answer.body == body_of()
        assert sum(len(one.requests) for one in fleet.endpoints) == 1
        assert not fleet.state.troubles.dump(asyncio.get_running_loop().time())
        await asyncio.sleep(0.05)
        assert fleet.state.memory.held_bytes == 0

    run_with_fleet(main, first=configuration(routes=PATIENT), limits=LIMITS)


@pytest.mark.parametrize("read_bytes", [0, 1], ids=["nothing", "a byte a second"])
def test_a_caller_too_slow_at_its_deadline_is_cut_and_no_endpoint_blamed(read_bytes):
    async def main(fleet):
        for _ in range(2):
            await fleet.add(large_events())
        reader, writer = await fleet.send("/stream/1", "POST", b"prompt", wait_ms=2500)
        writer.transport.pause_reading()
        started_s = time.monotonic()
        while fleet.gateway and time.monotonic() < started_s + 3.0:
            writer.transport.resume_reading() if read_bytes else None
            await reader.read(read_bytes)
            writer.transport.pause_reading()
            await asyncio.sleep(1.0)
        assert sum(len(one.requests) for one in fleet.endpoints) == 1
        assert not fleet.state.troubles.dump(asyncio.get_running_loop().time())
        assert fleet.state.memory.held_bytes == 0
        writer.transport.resume_reading()
        answer = await read_answer(reader, writer)
        assert not answer.is_complete

    run_with_fleet(main, limits=LIMITS)


def test_a_call_whose_answer_stays_unread_is_not_run_again():
    async def main(fleet):
        for _ in range(2):
            await fleet.add(whole(body=b"x" * 15_000_000), service="app")
        reader, writer = await fleet.send("/once/1", "POST", b"deposit", wait_ms=1500)
        writer.transport.pause_reading()
        await asyncio.sleep(2.0)
        assert sum(len(one.requests) for one in fleet.endpoints) == 1
        assert fleet.state.memory.held_bytes == 0
        writer.transport.resume_reading()
        answer = await read_answer(reader, writer)
        assert answer.status == 200 and not answer.is_complete

    run_with_fleet(main, limits=LIMITS)


def test_the_caller_that_holds_most_is_cut_at_the_bound_and_others_notice_nothing():
    async def main(fleet):
        await fleet.add(large_events(10_000, pause_s=0.0), capacity=8)
        await fleet.add(streams(5, pause_s=0.2), name="sound", capacity=8)
        _, stalled = await fleet.send("/stream/1", "POST", b"prompt", wait_ms=3000)
        stalled.transport.pause_reading()
        paced = [asyncio.ensure_future(fleet.stream()) for _ in range(3)]
        loop, most = asyncio.get_running_loop(), 0
        ends_s = loop.time() + 2.9
        while loop.time() < ends_s:
            most = max(most, fleet.state.memory.held_bytes)
            await asyncio.sleep(0.01)
        assert most < fleet.state.memory.budget_bytes
        assert not fleet.state.memory.is_short
        for one in await asyncio.gather(*paced):
            assert one.status == 200
        assert not fleet.state.troubles.dump(loop.time())

    run_with_fleet(main, limits=LIMITS)


def test_without_a_known_limit_the_endpoint_waits_for_the_caller():
    async def main(fleet):
        for _ in range(2):
            await fleet.add(large_events(80, cuts=False))
        reader, writer = await fleet.send("/stream/1", "POST", b"prompt", wait_ms=9000)
        writer.transport.pause_reading()
        await asyncio.sleep(1.3)  # longer than the time after which a stream is silent
        assert fleet.state.memory.held_bytes < 1_000_000
        writer.transport.resume_reading()
        answer = await read_answer(reader, writer)
        assert answer.is_complete and answer.body == body_of(80)
        assert sum(len(one.requests) for one in fleet.endpoints) == 1

    run_with_fleet(main, first=configuration(routes=PATIENT))


def test_requests_that_do_not_fit_are_refused_as_not_run_and_readiness_follows():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        budget = fleet.state.memory
        blocker = budget.open(0, 0.0)
        blocker.hold_request(int(budget.budget_bytes * 0.9))
        blocker.due_s = asyncio.get_running_loop().time() + 1.0
        body = b"x" * CallerLimits().max_body_bytes
        answer = await fleet.fetch("/once/1", "POST", body)
        assert answer.status == 503
        assert 0.0 < float(answer.headers["retry-after"]) <= 5.0
        assert not await fleet.is_ready()
        budget.close(blocker)
        assert await fleet.is_ready()
        assert (await fleet.fetch("/once/1", "POST", body)).status == 200
        assert len(endpoint.requests) == 1

    run_with_fleet(main, limits=LIMITS)


def test_a_body_of_undeclared_length_that_does_not_fit_is_refused_as_not_run():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        budget = fleet.state.memory
        blocker = budget.open(0, 0.0)
        blocker.hold_request(int(budget.budget_bytes * 0.85) - 1_000_000)
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        writer.write(head("/once/1", "POST", extra=["Transfer-Encoding: chunked"]))
        with contextlib.suppress(ConnectionError):
            for _ in range(30):
                writer.write(chunk(b"x" * 100_000))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        assert (await read_answer(reader, writer)).status == 503
        assert not endpoint.requests

    run_with_fleet(main, limits=LIMITS)


def test_a_body_that_comes_slowly_and_has_no_room_is_refused_as_not_run(monkeypatch):
    monkeypatch.setattr("sorrelhoist.decisions.memory.account.MAX_RECEIPT_S", 0.2)

    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        budget = fleet.state.memory
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        chunked = ["Transfer-Encoding: chunked"]
        writer.write(head("/once/1", "POST", extra=chunked))
        writer.write(chunk(b"x" * 3_000_000)[:-2])
        await asyncio.sleep(0.4)
        others = [budget.open(0, 0.0) for _ in range(60)]
        for other in others:
            other.is_receiving = False
            other.hold_request(int(budget.budget_bytes * 0.7 / len(others)))
        assert budget.held_bytes == sum(other.held_bytes for other in others)
        answer = await read_answer(reader, writer)
        assert answer.status == 503 and answer.is_complete
        assert not endpoint.requests

    run_with_fleet(main, limits=LIMITS)


# Slow or stalled


def drip(block, pause_s=0.05, first=1):
    """Send ``first`` events, and then a few bytes now and then, for ever."""

    async def script(received, writer):
        headers = [*echo_headers(received), ("Content-Type", "text/event-stream")]
        writer.write(answer_bytes(200, headers, length=False))
        for number in range(1, first + 1):
            writer.write(event(number))
        while True:
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(pause_s)

    return script


@pytest.mark.parametrize("first", [0, 1], ids=["before the first event", "after it"])
@pytest.mark.parametrize("block", [b"x", b": still here\n\n", b"\n\n"])
def test_bytes_that_are_no_event_keep_no_stream_alive(block, first):
    async def main(fleet):
        await fleet.add(drip(block, first=first), name="i-drips", capacity=8)
        await fleet.add(streams(3), name="i-sound", capacity=8)
        answers = await asyncio.gather(*(fleet.stream(wait_ms=3000) for _ in range(6)))
        for answer in answers:
            assert answer.is_complete and answer.took_s < 2.6
        assert fleet.endpoints[0].requests

    run_with_fleet(main)


@pytest.mark.parametrize("path", ["/stream/1", "/once/1"])
def test_a_stalled_answer_ends_with_the_time_of_its_caller(path):
    # With no other endpoint left nothing else ends it.
    async def main(fleet):
        service = "llm" if path.startswith("/stream") else "app"
        await fleet.add(drip(b"x"), service=service)
        answer = await fleet.fetch(path, "POST", b"prompt", wait_ms=1500)
        assert not answer.is_complete or answer.status == 504
        assert 1.3 < answer.took_s < 2.0

    run_with_fleet(main)


def test_a_slow_but_sound_stream_is_not_cut():
    async def main(fleet):
        await fleet.add(streams(5, pause_s=0.6))  # more than twice the route's pause
        await fleet.add(streams(5, pause_s=0.6))
        answer = await fleet.stream(wait_ms=4500)
        assert answer.is_complete
        assert sum(len(one.requests) for one in fleet.endpoints) == 1

    run_with_fleet(main, first=configuration(routes=PATIENT))
