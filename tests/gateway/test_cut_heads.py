"""Answers cut at each byte never look complete on the caller's socket.

Each endpoint cuts its answer after as many bytes as the request's ``X-Cut`` says, and
closes or resets the connection. Callers read with a parser of their own here.
"""

import asyncio

import attrs
import pytest

from tests.platform.fleet import KEY, configuration, route, run_with_fleet
from tests.platform.standins import (
    all_events,
    chunk,
    event,
    reset,
    streams,
)

BODY = b"whole answer"
BEGUN, REST = all_events(1, 2), all_events(3, 4)
CONCURRENT = 6
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@attrs.frozen
class Form:
    """One legal form of an answer with a body."""

    framing: str
    before: bytes = b""
    version: str = "1.1"

    def data(self, request_id, body, is_stream):
        """Return the whole answer, and the length of all its heads."""
        lines = [f"HTTP/{self.version} 200 OK", "X-Response-Stamp: s"]
        lines.append(f"X-Attempt-Id: {request_id}")
        if is_stream:
            lines.append("Content-Type: text/event-stream")
        match self.framing:
            case "length":
                lines.append(f"Content-Length: {len(body)}")
            case "chunks" | "trailers":
                lines.append("Transfer-Encoding: chunked")
                trailer = b"X-Sum: 12\r\n" if self.framing == "trailers" else b""
                half = len(body) // 2
                body = chunk(body[:half]) + chunk(body[half:]) + b"0\r\n"
                body += trailer + b"\r\n"
        head = self.before + ("\r\n".join(lines) + "\r\n\r\n").encode()
        return head + body, len(head)


FORMS = {
    "length": Form("length"),
    "chunks": Form("chunks"),
    "trailers": Form("trailers"),
    "no frame": Form("none"),
    "after 1xx": Form("length", INFORMATIONAL + CONTINUE),
    "1.0 with a length": Form("length", version="1.0"),
    "1.0 without a frame": Form("none", version="1.0"),
}
cases = pytest.mark.parametrize(
    "form, version",
    [pytest.param(form, "1.1", id=name) for name, form in FORMS.items()]
    + [
        pytest.param(FORMS[name], "1.0", id=f"{name}, caller of HTTP/1.0")
        for name in ("chunks", "no frame")
    ],
)
ends = pytest.mark.parametrize("is_reset", [False, True], ids=["closed", "reset"])


@attrs.define
class Received:
    """What a caller received until the connection ended."""

    data: bytes = b""
    was_reset: bool = False

    @property
    def status(self):
        return int(self.data[9:12]) if self.data[:5] == b"HTTP/" else None

    def body(self, method="GET"):
        """Return the content, or None if the answer isn't complete."""
        head, end, rest = self.data.partition(b"\r\n\r\n")
        names = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
        )
        if not end:
            return None
        if method == "HEAD":
            return b""
        if names.get(b"transfer-encoding") == b"chunked":
            return unchunked(rest)
        if b"content-length" in names:
            return rest if len(rest) == int(names[b"content-length"]) else None
        return None if self.was_reset else rest


def unchunked(data):
    """Return the content of a chunked body, or None if it isn't complete."""
    content = b""
    while True:
        size, end, data = data.partition(b"\r\n")
        if not end:
            return None
        length = int(size.partition(b";")[0], 16)
        if not length:
            return content if data == b"\r\n" else None
        if len(data) < length + 2:
            return None
        content, data = content + data[:length], data[length + 2 :]


def cuts(form, is_reset, body, is_stream=False):
    """Send the first bytes of an answer and end the connection."""

    async def script(received, writer):
        data, _ = form.data(received.headers["x-attempt-id"], body, is_stream)
        if received.method == "HEAD":
            data = data[: data.index(b"\r\n\r\n", len(form.before)) + 4]
        writer.write(data[: int(received.headers["x-cut"])])
        await writer.drain()
        if is_reset:
            await asyncio.sleep(0.01)
            reset(writer)

    return script


def resumes_with(form, is_reset):
    """Stream two events and reset; cut the answer that goes on after them."""
    begins, goes_on = streams(4, break_after=2), cuts(form, is_reset, REST, True)

    async def script(received, writer):
        is_first = "last-event-id" not in received.headers
        await (begins if is_first else goes_on)(received, writer)

    return script


async def ask(fleet, path, cut, method="POST", version="1.1", request_id=None):
    request_id = request_id or f"r{cut:04}"
    lines = [f"{method} {path} HTTP/{version}", "Host: example.test"]
    lines += [f"X-Attempt-Id: {request_id}", f"Authorization: Token {KEY}"]
    lines += [f"X-Cut: {cut}", "X-Deadline-Ms: 2500", "Content-Length: 0"]
    lines += ["Connection: close", "X-Token-Count: 50,20", "X-Model: m"]
    received = Received()
    reader, writer = await asyncio.open_connection("127.0.0.1", fleet.front_port)
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    try:
        while data := await reader.read(65_536):
            received.data += data
    except ConnectionResetError:
        received.was_reset = True
    writer.close()
    return received


async def ask_each_cut(fleet, path, size, **more):
    """Ask with each cut from none of ``size`` bytes to all of them."""
    slots = asyncio.Semaphore(CONCURRENT)
    now_s = asyncio.get_running_loop().time()
    fleet.state.retries.budget("llm").set_slack(1e6, 1e6, now_s)

    async def one(cut):
        async with slots:
            return await ask(fleet, path, cut, **more)

    return await asyncio.gather(*(one(cut) for cut in range(size + 1)))


def runs_of(fleet, cut):
    wanted = f"r{cut:04}"
    received = (one for endpoint in fleet.endpoints for one in endpoint.requests)
    return sum(one.headers.get("x-attempt-id") == wanted for one in received)


def may_be_whole(form, is_reset, cut, size, head_size):
    """Whether an endpoint that ends its answer there may mean it to be whole."""
    if form.framing == "none":
        return cut > head_size and not is_reset
    return cut >= size


def routes(attempts):
    more = {"resumable": True, "gap_target_ms": 250, "attempts": attempts}
    return [
        route("stream", "streaming", "llm", **more),
        route("once", "non_idempotent", "app", attempts=attempts),
        route("look", "idempotent", "app", attempts=attempts),
    ]


@ends
@cases
def test_a_call_whose_answer_is_cut_never_looks_complete(form, is_reset, version):
    data, head_size = form.data("r0000", BODY, False)

    async def main(fleet):
        for _ in range(2):
            await fleet.add(cuts(form, is_reset, BODY), service="app")
        answers = await ask_each_cut(fleet, "/once/1", len(data), version=version)
        for cut, one in enumerate(answers):
            assert runs_of(fleet, cut) == 1
            if not may_be_whole(form, is_reset, cut, len(data), head_size):
                assert one.status == 502, (cut, one)
            elif not is_reset:
                sent = data[head_size:cut] if form.framing == "none" else BODY
                assert (one.status, one.body()) == (200, sent), (cut, one)
            else:
                # The reset may overtake the end of the answer.
                assert (one.status, one.body()) in ((200, BODY), (502, one.body()))

    run_with_fleet(main, first=configuration(routes=routes(1)))


@ends
@cases
def test_a_stream_whose_answer_is_cut_never_looks_complete(form, is_reset, version):
    data, head_size = form.data("r0000", BEGUN, True)

    async def main(fleet):
        for _ in range(2):
            await fleet.add(cuts(form, is_reset, BEGUN, True))
        answers = await ask_each_cut(fleet, "/stream/1", len(data), version=version)
        for cut, one in enumerate(answers):
            assert runs_of(fleet, cut) == 1
            assert one.status in (200, 502), (cut, one)
            body = one.body() if one.status == 200 else None
            if not may_be_whole(form, is_reset, cut, len(data), head_size):
                assert body is None, (cut, one)
            elif form.framing == "none" and not is_reset:
                assert body in (None, BEGUN[: len(event(1))], BEGUN), (cut, one)
            else:
                assert body in (None, BEGUN), (cut, one)
            if cut <= head_size:
                assert one.status == 502, (cut, one)
        if not is_reset:
            assert answers[-1].body() == BEGUN

    run_with_fleet(main, first=configuration(routes=routes(1)))


@ends
@cases
def test_a_resumed_stream_that_is_cut_ends_in_its_true_events(form, is_reset, version):
    data, head_size = form.data("r0000", REST, True)

    async def main(fleet):
        for _ in range(3):
            await fleet.add(resumes_with(form, is_reset))
        answers = await ask_each_cut(fleet, "/stream/1", len(data), version=version)
        for cut, one in enumerate(answers):
            assert one.status == 200 and runs_of(fleet, cut) == 2, (cut, one)
            body = one.body()
            if not may_be_whole(form, is_reset, cut, len(data), head_size):
                assert body is None, (cut, one)
            elif form.framing == "none" and not is_reset:
                begun = (None, BEGUN + event(3), BEGUN + REST)
                assert body in begun, (cut, one)
            else:
                assert body in (None, BEGUN + REST), (cut, one)
            if body is None and version == "1.0":
                assert one.was_reset, (cut, one)
        if not is_reset:
            assert answers[-1].body() == BEGUN + REST

    run_with_fleet(main, first=configuration(routes=routes(2)))


@ends
@pytest.mark.parametrize("form", [FORMS["length"], FORMS["after 1xx"]])
def test_an_answer_to_head_that_is_cut_never_looks_complete(form, is_reset):
    _, head_size = form.data("r0000", BODY, False)

    async def main(fleet):
        for _ in range(2):
            await fleet.add(cuts(form, is_reset, BODY), service="app")
        answers = await ask_each_cut(fleet, "/look/1", head_size, method="HEAD")
        for cut, one in enumerate(answers[:-1]):
            assert one.status == 502, (cut, one)
        if not is_reset:
            last = answers[-1]
            assert last.status == 200 and last.data.endswith(b"\r\n\r\n")
            assert b"content-length: 12\r\n" in last.data.lower()

    run_with_fleet(main, first=configuration(routes=routes(1)))


def test_a_refusal_of_head_is_no_error_of_the_gateway(caplog):
    async def main(fleet):
        one = await ask(fleet, "/look/1", 0, method="HEAD")
        assert one.status == 503 and one.data.endswith(b"\r\n\r\n")
        assert "exchange failed" not in caplog.text

    run_with_fleet(main)


@pytest.mark.parametrize(
    "status, method", [(204, "GET"), (304, "GET"), (200, "HEAD"), (404, "HEAD")]
)
def test_an_answer_without_content_has_no_length(status, method):
    async def script(received, writer):
        request_id = received.headers["x-attempt-id"]
        writer.write(
            f"HTTP/1.1 {status} x\r\nX-Response-Stamp: s\r\n"
            f"X-Attempt-Id: {request_id}\r\n\r\n".encode()
        )

    async def main(fleet):
        await fleet.add(script, service="app")
        one = await ask(fleet, "/look/1", 0, method=method)
        assert one.status == status
        assert one.data.endswith(b"\r\n\r\n")
        assert one.data.count(b"\r\n\r\n") == 1
        # A head in answer to HEAD may name the coding that GET would have (RFC 9112).
        assert method == "HEAD" or b"transfer-encoding" not in one.data.lower()
        assert b"content-length" not in one.data.lower()

    run_with_fleet(main)


def test_bytes_after_an_answer_never_reach_the_next_request():
    # A connection to an endpoint serves one request.
    async def script(received, writer):
        request_id = received.headers["x-attempt-id"].encode()
        head = b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nX-Attempt-Id: "
        whole = head + request_id + b"\r\nContent-Length: 5\r\n\r\n" + request_id
        stray = b"HTTP/1.1 200 OK\r\nX-Response-Stamp: s\r\nContent-Length: 5\r\n\r\n"
        writer.write(whole + stray + b"stray")
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(stray + b"later")

    async def main(fleet):
        endpoint = await fleet.add(script, service="app")
        for cut in range(20):
            one = await ask(fleet, "/once/1", cut)
            assert (one.status, one.body()) == (200, f"r{cut:04}".encode())
        assert len(endpoint.requests) == 20
        # The connection of a request is closed with its answer.
        assert endpoint.connections == 20

    run_with_fleet(main)
