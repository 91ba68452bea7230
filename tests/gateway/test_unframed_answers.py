"""Answers with neither a length nor chunks, which end with their connection."""

import asyncio

import pytest

from tests.platform.fleet import run_with_fleet
from tests.platform.standins import (
    all_events,
    answer_bytes,
    echo_headers,
    event,
    reset,
    streams,
    whole,
)


def unframed_stream(last, torn=b"", ends_by=None):
    """Stream events from the wanted one to ``last`` and close the connection."""

    async def script(received, writer):
        first = int(received.headers.get("last-event-id", 0)) + 1
        headers = [*echo_headers(received), ("Content-Type", "text/event-stream")]
        writer.write(answer_bytes(200, headers, length=False))
        for number in range(first, last + 1):
            writer.write(event(number))
        writer.write(torn)
        await writer.drain()
        await asyncio.sleep(0.02)
        if ends_by is not None:
            ends_by(writer)

    return script


def test_an_unframed_stream_is_relayed_whole():
    async def main(fleet):
        await fleet.add(unframed_stream(5))
        answer = await fleet.stream()
        assert answer.status == 200 and answer.is_complete
        assert answer.body == all_events(1, 5)

    run_with_fleet(main)


@pytest.mark.parametrize(
    "broken",
    [
        unframed_stream(3, torn=b"id: 4\nda"),
        unframed_stream(3, ends_by=reset),
        unframed_stream(0),
        unframed_stream(0, torn=b"id: 1"),
    ],
    ids=["inside an event", "reset", "before any event", "inside the first event"],
)
def test_an_unframed_stream_that_breaks_off_goes_on_at_another_endpoint(broken):
    async def main(fleet):
        one = await fleet.add(broken, name="i-broken", capacity=8)
        await fleet.add(streams(count=5), name="i-sound", capacity=8)
        for _ in range(8):
            answer = await fleet.stream()
            assert answer.is_complete and answer.body == all_events(1, 5)
        assert one.requests

    run_with_fleet(main)


def test_an_unframed_plain_answer_is_relayed_whole():
    async def main(fleet):
        async def script(received, writer):
            head = answer_bytes(200, echo_headers(received), length=False)
            writer.write(head + b"all of it")
            await writer.drain()

        await fleet.add(script, service="app")
        answer = await fleet.fetch()
        assert answer.is_complete and answer.body == b"all of it"

    run_with_fleet(main)


def test_an_unframed_plain_answer_that_is_reset_is_not_complete():
    async def main(fleet):
        async def script(received, writer):
            head = answer_bytes(200, echo_headers(received), length=False)
            writer.write(head + b"half of")
            await writer.drain()
            await asyncio.sleep(0.02)
            reset(writer)

        await fleet.add(script, service="app", name="i-broken")
        await fleet.add(whole(), service="app", name="i-sound")
        for _ in range(8):
            answer = await fleet.fetch()
            assert answer.body == b"whole answer"

    run_with_fleet(main)


def dies_after(endpoint, events):
    """End in order with the process, as the kernel does for one that is killed."""

    async def script(received, writer):
        endpoint.stop_listening()
        await unframed_stream(events)(received, writer)

    return script


def test_an_unframed_stream_whose_endpoint_is_killed_goes_on_at_another_one():
    # Its caller took half of the stream for a whole answer.
    async def main(fleet):
        dying = await fleet.add(name="i-dying", capacity=8)
        dying.scripts = [dies_after(dying, 3)]
        await fleet.add(streams(count=5), name="i-sound", capacity=8)
        while dying.received == []:
            answer = await fleet.stream()
            assert answer.is_complete
            assert answer.body == all_events(1, 5)

    run_with_fleet(main)


def test_an_unframed_answer_whose_endpoint_is_killed_is_not_passed_on_as_whole():
    async def main(fleet):
        dying = await fleet.add(service="app", name="i-dying")

        async def script(received, writer):
            dying.stop_listening()
            writer.write(answer_bytes(200, echo_headers(received), b"ha", length=False))
            await writer.drain()

        dying.scripts = [script]
        answer = await fleet.fetch("/once/1", "POST", b"x")
        assert answer.status == 502

    run_with_fleet(main)
