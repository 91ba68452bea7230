"""Answers that break off, come twice or are lost, in each framing."""

import asyncio

import pytest

from tests.platform.fleet import read_answer, run_with_fleet
from tests.platform.standins import (
    all_events,
    answer_bytes,
    chunk,
    echo_headers,
    event,
    reset,
    streams,
)

TORN = b"id: 3\ndata: pie"
EVENT_STREAM = ("Content-Type", "text/event-stream")


def breaks_off(framing, body, ends_by=reset):
    """Send a part of an answer, and end the connection."""

    async def script(received, writer):
        headers = [*echo_headers(received), EVENT_STREAM]
        data = body
        if framing == "length":
            headers.append(("Content-Length", str(len(all_events(1, 9)))))
        elif framing == "chunks":
            headers.append(("Transfer-Encoding", "chunked"))
            data = chunk(body)
        writer.write(answer_bytes(200, headers, length=False) + data)
        await writer.drain()
        await asyncio.sleep(0.03)
        if ends_by is not None:
            ends_by(writer)

    return script


# Without a frame an end at the end of an event can't be told from the end of the
# answer, unless the connection is reset.
BREAKS = [
    pytest.param(framing, all_events(1, 2) + torn, ends_by, id=f"{framing}-{where}")
    for framing in ("length", "chunks", "none")
    for torn, ends_by, where in (
        (b"", reset, "reset"),
        (TORN, reset, "reset in an event"),
        (TORN, None, "closed in an event"),
    )
] + [
    pytest.param(framing, all_events(1, 2), None, id=f"{framing}-closed")
    for framing in ("length", "chunks")
]


@pytest.mark.parametrize("framing, body, ends_by", BREAKS)
def test_a_stream_that_breaks_off_never_looks_complete(framing, body, ends_by):
    async def main(fleet):
        await fleet.add(breaks_off(framing, body, ends_by))
        answer = await fleet.stream(wait_ms=1000)
        assert not answer.is_complete
        assert answer.body in (b"", all_events(1, 2))

    run_with_fleet(main)


@pytest.mark.parametrize("framing, body, ends_by", BREAKS)
def test_a_stream_that_breaks_off_goes_on_elsewhere(framing, body, ends_by):
    async def main(fleet):
        one = await fleet.add(breaks_off(framing, body, ends_by), name="i-broken")
        await fleet.add(streams(5), name="i-sound")
        answers = [await fleet.stream() for _ in range(6)]
        assert all(one.is_complete for one in answers)
        assert {one.body for one in answers} == {all_events(1, 5)}
        assert one.requests

    run_with_fleet(main)


def test_a_caller_without_chunks_sees_a_reset_when_its_stream_breaks_off():
    # For HTTP/1.0 the end of the connection is the end of the answer: a stream that
    # broke off looked complete.
    async def main(fleet):
        endpoint = await fleet.add(breaks_off("chunks", all_events(1, 2)))
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        writer.write(
            b"POST /stream/1 HTTP/1.0\r\nHost: example.test\r\nX-Attempt-Id: h0\r\n"
            b"Authorization: Token key-1\r\nX-Deadline-Ms: 1000\r\n"
            b"X-Token-Count: 5000,200\r\nContent-Length: 1\r\n\r\nx"
        )
        with pytest.raises(ConnectionResetError):
            while await reader.read(65_536):
                pass
        assert len(endpoint.requests) == 1

    run_with_fleet(main)


# A plain answer without a frame ends with its connection.
LOST = [one for one in BREAKS if one.values[0] != "none" or one.values[2] is reset]


@pytest.mark.parametrize("framing, body, ends_by", LOST)
def test_a_lost_answer_of_an_at_most_once_call_is_not_run_again(framing, body, ends_by):
    # 503 would tell the caller that the call has not run.
    async def main(fleet):
        for _ in range(3):
            await fleet.add(breaks_off(framing, body, ends_by), service="app")
        answer = await fleet.fetch("/once/1", "POST", b"deposit")
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert sum(len(one.requests) for one in fleet.endpoints) == 1

    run_with_fleet(main)


def copies(pause_s, last=3):
    """Send an answer, and a second copy of it late on the same connection."""

    async def script(received, writer):
        headers = [*echo_headers(received), ("X-Copy-Of", received.target)]
        if received.path.startswith("/stream"):
            headers.append(("Transfer-Encoding", "chunked"))
            head = answer_bytes(200, headers, length=False)
            body = b"".join(chunk(event(one)) for one in range(1, last + 1))
            answer = head + body + b"0\r\n\r\n"
        else:
            answer = answer_bytes(200, headers, received.target.encode())
        writer.write(answer)
        await writer.drain()
        await asyncio.sleep(pause_s)
        writer.write(answer)
        await writer.drain()

    return script


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_a_second_copy_of_an_answer_reaches_no_caller(pause_s):
    # The caller's connection is in use again when the copy arrives.
    async def main(fleet):
        await fleet.add(copies(pause_s), service="app")
        await fleet.add(copies(pause_s))
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
        for number in range(8):
            kind = ("look", "stream")[number % 2]
            writer.write(
                f"POST /{kind}/{number} HTTP/1.1\r\nHost: example.test\r\n"
                f"X-Attempt-Id: r-{number}\r\nAuthorization: Token key-1\r\n"
                "X-Token-Count: 5000,200\r\nContent-Length: 1\r\n\r\nx".encode()
            )
            answer = await read_answer(reader, writer, keep_open=True)
            assert answer.is_complete
            assert answer.headers["x-attempt-id"] == f"r-{number}"
            own = f"/look/{number}".encode()
            assert answer.body == (all_events(1, 3) if number % 2 else own)
            await asyncio.sleep(0.06)
        writer.close()

    run_with_fleet(main)
