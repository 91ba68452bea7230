"""What callers receive when a stream has begun, breaks off, and goes on badly.

All endpoints share a script: the first attempt breaks off after two events.
"""

import asyncio

import pytest

from tests.platform.fleet import configuration, route, run_with_fleet
from tests.platform.standins import (
    all_events,
    answer_bytes,
    chunk,
    declines,
    echo_headers,
    event,
    in_sequence,
    streams,
)

BEGUN = all_events(1, 2)
EVENT_STREAM = ("Content-Type", "text/event-stream")
CHUNKED = ("Transfer-Encoding", "chunked")
WAIT_MS = 3000
"""Time out of the routes: on a busy machine a start and two attempts take long."""

HEAD = b"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
ERROR = b"id: 3\ndata: the engine has failed\n\n"


def answers(status, body, *headers, length=True, pause_s=0.0):
    async def script(received, writer):
        found = [*echo_headers(received), *headers]
        writer.write(answer_bytes(status, found, body, length))
        await writer.drain()
        await asyncio.sleep(pause_s)

    return script


async def cuts_its_head(received, writer):
    writer.write(answer_bytes(200, echo_headers(received), length=False)[:-2])
    await writer.drain()


async def sends_its_head_again(received, writer):
    """Begin as a stream and put the head of an error into its body."""
    headers = [*echo_headers(received), EVENT_STREAM, CHUNKED]
    head = answer_bytes(200, headers, length=False)
    writer.write(head + chunk(HEAD + ERROR) + b"0\r\n\r\n")
    await writer.drain()


ERRORS = {
    "an error": answers(500, ERROR),
    "an error in chunks": answers(500, chunk(ERROR) + b"0\r\n\r\n", CHUNKED, length=0),
    "an error without a length": answers(500, ERROR, length=False),
    "an error as a stream": answers(500, ERROR, EVENT_STREAM),
    "an error without its body": answers(
        500, b"", ("Content-Length", "9"), length=False, pause_s=30
    ),
    "a success that is no stream": answers(
        200, ERROR, ("Content-Type", "application/json")
    ),
    "a success of plain text": answers(
        200, HEAD + ERROR, ("Content-Type", "text/plain; charset=utf-8")
    ),
    "a head in the body": sends_its_head_again,
    "events from the start": answers(200, all_events(1, 5), EVENT_STREAM),
    "the last event again": answers(200, all_events(2, 5), EVENT_STREAM),
    "events without ids": answers(200, b"data: failed\n\n", EVENT_STREAM),
    "no event, and no length": answers(200, b"", EVENT_STREAM, length=False),
    "a head that is cut": cuts_its_head,
    "no head": answers(200, b"", length=False, pause_s=0.0),
    "a refusal": declines(),
}
errors = pytest.mark.parametrize("error", ERRORS.values(), ids=ERRORS)


def routes(attempts):
    more = {"resumable": True, "gap_target_ms": 250, "attempts": attempts}
    return [route("stream", "streaming", "llm", **more)]


async def add_endpoints(fleet, *scripts):
    shared = in_sequence(streams(5, break_after=2), *scripts)
    for _ in range(4):
        await fleet.add(shared)


@errors
def test_an_error_in_the_middle_of_a_stream_never_reaches_the_caller(error):
    async def main(fleet):
        await add_endpoints(fleet, error)
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert (answer.status, answer.body) == (200, BEGUN)
        assert not answer.is_complete

    run_with_fleet(main, first=configuration(routes=routes(2)))


@errors
def test_a_stream_goes_on_behind_an_error(error):
    async def main(fleet):
        await add_endpoints(fleet, error, streams(5))
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert answer.body == all_events(1, 5)
        assert answer.is_complete
        assert answer.took_s < 1.0

    run_with_fleet(main, first=configuration(routes=routes(3)))


def test_a_stream_that_has_spent_the_retry_budget_breaks_off():
    async def main(fleet):
        fleet.state.retries.budget("llm").set_slack(0.0, 0.0, 0.0)
        await add_endpoints(fleet, streams(5))
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert (answer.body, answer.is_complete) == (BEGUN, False)

    run_with_fleet(main, first=configuration(routes=routes(3)))


def test_a_stream_whose_last_event_had_come_ends_when_it_is_resumed():
    async def main(fleet):
        ends = answers(200, b"0\r\n\r\n", EVENT_STREAM, CHUNKED, length=False)
        await add_endpoints(fleet, ends)
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert (answer.body, answer.is_complete) == (BEGUN, True)

    run_with_fleet(main, first=configuration(routes=routes(2)))


def test_an_answer_that_is_no_stream_is_relayed_whole():
    body = b'{"text": "one\n\ntwo"}'

    async def main(fleet):
        await fleet.add(answers(200, body, ("Content-Type", "application/json")))
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert (answer.status, answer.body, answer.is_complete) == (200, body, True)

    run_with_fleet(main)


def test_a_first_answer_may_have_events_without_ids():
    body = b"data: one\n\n" + event(1)

    async def main(fleet):
        await fleet.add(answers(200, body, EVENT_STREAM))
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert (answer.body, answer.is_complete) == (body, True)

    run_with_fleet(main)


def test_a_stream_without_ids_that_broke_off_is_not_begun_again():
    async def breaks_off(received, writer):
        headers = [*echo_headers(received), EVENT_STREAM, CHUNKED]
        head = answer_bytes(200, headers, length=False)
        writer.write(head + chunk(b"data: one\n\n"))
        await writer.drain()

    async def main(fleet):
        shared = in_sequence(breaks_off, streams(5))
        for _ in range(3):
            await fleet.add(shared)
        answer = await fleet.stream(wait_ms=WAIT_MS)
        assert (answer.body, answer.is_complete) == (b"data: one\n\n", False)

    run_with_fleet(main, first=configuration(routes=routes(3)))
