"""Ways in which a request ends around a planned stop: its answer and its log lines."""

import asyncio
import random
import socket
import time

import attrs
import pytest

from tests.platform.real_gateway import READ_BYTES, STOP, head, post, run_in_world
from tests.platform.standins import answer_bytes, echo_headers, streams
from tests.platform.test_real_stop import ROUTES

pytestmark = pytest.mark.process

GRACE_S = 8
WAIT_MS = 25_000
SMALL_BUFFER_BYTES = 4096
BUFFERED_BYTES = 300_000
"""Size of an answer that the kernel's buffers take."""
LARGE_BYTES = 20 * BUFFERED_BYTES
BODY = b"z" * 60
UNKNOWN = [("cut_by_stop", "unknown"), ("refused", "504")]
REFUSED = [("refused_by_stop", "refused"), ("refused", "503")]
BROKEN_OFF = [("cut_by_stop", "broken off"), ("broken_off", "closed")]
UNREAD = [("cut_by_stop", "unread"), ("caller_cut", "closed")]
END_EVENTS = {
    "answered",
    "broken_off",
    "caller_cut",
    "caller_gone",
    "cut_by_stop",
    "refused",
    "refused_by_stop",
}


async def answer(received, writer):
    """Answer with as many bytes as the path says, or never."""
    size = received.path.rpartition("/")[2]
    if not size.isdigit():
        await asyncio.sleep(GRACE_S * 2)
    writer.write(answer_bytes(200, echo_headers(received), b"y" * int(size)))
    await writer.drain()


@attrs.define
class Expected:
    """How a request is to end.

    Parameters
    ----------
    statuses : list of int
        Status of each answer on its connection.
    lines : list of tuple of (str, str)
        Event and outcome of its log lines.
    runs : int
        How often an endpoint received it.
    was_reset : bool
    """

    statuses: list
    lines: list
    runs: int = 1
    was_reset: bool = False


def parts_of(name, request_id):
    """Return what a caller sends."""
    more = {"request_id": request_id, "wait_ms": WAIT_MS}
    match name:
        case "unsafe call":
            return [post("/once/never", **more)]
        case "safe call":
            return [post("/look/never", **more)]
        case "call, HTTP/1.0":
            return [post("/look/never", version="1.0", **more)]
        case "first of two":
            second = post("/look/never", wait_ms=WAIT_MS)
            return [post("/look/never", close=False, **more) + second]
        case "stream":
            return [post("/stream/1", **more)]
        case "stream, HTTP/1.0":
            return [post("/stream/1", version="1.0", **more)]
        case "body that stays away":
            return [post("/once/1", body=BODY, **more)[: -len(BODY)]]
        case "body byte by byte":
            request = post("/once/1", body=BODY, **more)
            return [request[: -len(BODY)], *[b"z"] * (len(BODY) - 1)]
    raise AssertionError(name)


ENDS = {
    "unsafe call": Expected([504], UNKNOWN),
    "safe call": Expected([504], UNKNOWN),
    "call, HTTP/1.0": Expected([504], UNKNOWN),
    # The second of the two crosses the close, and isn't passed on.
    "first of two": Expected([504], UNKNOWN),
    "stream": Expected([200], BROKEN_OFF),
    # A reset tells that the answer isn't whole: it has no other end.
    "stream, HTTP/1.0": Expected([200], BROKEN_OFF, was_reset=True),
    "body that stays away": Expected([503], REFUSED, runs=0),
    "body byte by byte": Expected([503], REFUSED, runs=0),
}


def ends_of(gateway, request_id):
    """Return event and outcome of the log lines on how a request ended."""
    return [
        (name, event["outcome"])
        for name in sorted(END_EVENTS)
        for event in gateway.events(name)
        if event.get("request_id") == request_id
    ]


def new_id():
    return random.randbytes(8).hex()


def test_each_request_of_a_stop_has_its_answer_and_a_line_that_says_how_it_ended(
    tmp_path,
):
    async def main(world):
        world.scripts("llm", streams(200, pause_s=0.1))
        world.scripts("app", answer)
        gateway = await world.start(grace_s=GRACE_S)
        ids = {name: new_id() for name in ENDS}
        calls = [
            asyncio.ensure_future(
                gateway.call(*parts_of(name, request_id), wait_s=12.0)
            )
            for name, request_id in ids.items()
        ]
        await asyncio.sleep(0.5)
        gateway.signal(STOP)
        replies = await asyncio.gather(*calls)
        assert await gateway.exit_code(1.0) == 0
        for (name, request_id), reply in zip(ids.items(), replies, strict=True):
            expected = ENDS[name]
            found = Expected(
                reply.statuses,
                ends_of(gateway, request_id),
                world.runs(request_id),
                reply.was_reset,
            )
            found.lines.sort()
            expected = attrs.evolve(expected, lines=sorted(expected.lines))
            assert (name, found) == (name, expected)
        (stopped,) = gateway.events("stopped")
        lines = [line for expected in ENDS.values() for line in expected.lines]
        assert stopped["cut"] == sum(event == "cut_by_stop" for event, _ in lines)
        assert stopped["running"] == 0

    run_in_world(tmp_path, main, routes=ROUTES)


async def open_reader(gateway, request):
    """Send a request on a socket that buffers little, and read nothing."""
    loop, caller = asyncio.get_running_loop(), socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    caller.setblocking(False)
    await loop.sock_connect(caller, (gateway.ip, gateway.front))
    await loop.sock_sendall(caller, request)
    return caller


async def read_all(caller):
    data = b""
    with caller:
        while read := await asyncio.get_running_loop().sock_recv(caller, READ_BYTES):
            data += read
    return data


def test_answers_that_callers_have_not_read_and_callers_that_are_gone(tmp_path):
    async def main(world):
        world.scripts("app", answer)
        gateway = await world.start(grace_s=GRACE_S)
        ids = [new_id() for _ in range(3)]
        paths = [f"/look/{BUFFERED_BYTES}", f"/look/{LARGE_BYTES}", "/look/never"]
        buffered, large, gone = [
            await open_reader(gateway, head(path, request_id=one, wait_ms=WAIT_MS))
            for path, one in zip(paths, ids, strict=True)
        ]
        await asyncio.sleep(0.5)
        gateway.signal(STOP)
        started_s = time.monotonic()
        await asyncio.sleep(0.5)
        gone.close()
        left_s = started_s + GRACE_S - time.monotonic()
        assert await gateway.exit_code(left_s) == 0
        # The kernel sends what it has taken, also once the process is gone.
        whole = await read_all(buffered)
        assert whole.endswith(b"y" * BUFFERED_BYTES)
        cut = await read_all(large)
        assert b"Content-Length: %d" % LARGE_BYTES in cut
        assert len(cut) < LARGE_BYTES
        assert [sorted(ends_of(gateway, one)) for one in ids] == [
            [("answered", "answered")],
            sorted([("answered", "answered"), *UNREAD]),
            [("caller_gone", "cancelled")],
        ]
        assert gateway.events("stopped")[0]["cut"] == 1

    run_in_world(tmp_path, main, routes=ROUTES)
