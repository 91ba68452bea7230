"""Connections of HTTP clients: their answers, limits, ends, and shortages."""

import asyncio
import errno
import socket
import tracemalloc

import attrs
import h11
import pytest
from tornado.httputil import HTTPHeaders

from sorrelhoist.decisions.routes import CallerLimits
from sorrelhoist.gateway import http_server
from sorrelhoist.gateway.caller import CallerConnection
from sorrelhoist.gateway.http_server import serve
from sorrelhoist.gateway.server import (
    CallerDelegate,
    StatusDelegate,
    _CallerRequest,
    _StatusRequest,
)
from sorrelhoist.gateway.upstream import AnswerHead

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
LAST = b"GET /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def echo(path):
    return 200, path.encode()


@attrs.define(eq=False)
class ShortListener:
    """A listening socket of a process that has no descriptors left for a while."""

    listener: socket.socket
    failures: int
    tries: int = 0

    def accept(self):
        self.tries += 1
        if self.tries <= self.failures:
            raise OSError(errno.EMFILE, "Too many open files")
        return self.listener.accept()

    def __getattr__(self, name):
        return getattr(self.listener, name)


def run(main, limits=None, delegate=None, wrap=lambda listener: listener):
    """Run ``main(address, server, listener)`` with a server."""

    async def serving():
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        address, listener = listener.getsockname(), wrap(listener)
        chosen = delegate or StatusDelegate(echo)
        server = serve(chosen, listener, limits or CallerLimits)
        async with asyncio.timeout(20):
            await main(address, server, listener)
        server.stop()
        await server.close_all_connections()

    asyncio.run(serving())


async def call(address, *parts, pause_s=0.05):
    reader, writer = await asyncio.open_connection(*address)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(pause_s)
    data = await reader.read()
    writer.close()
    return data


def test_thousands_of_requests_in_one_write_are_answered_in_order():
    async def main(address, server, listener):
        data = await call(address, REQUEST * 3000 + LAST)
        assert data.count(b"\r\n\r\n/aHTTP") == 3000 and data.endswith(b"/b")

    run(main)


def test_empty_lines_between_requests_are_ignored():
    async def main(address, server, listener):
        data = await call(address, REQUEST + b"\r\n", b"\r", b"\n\r\n" + LAST)
        assert data.count(b"HTTP/1.1 200") == 2

    run(main)


def test_a_head_request_over_a_limit_gets_its_status_without_a_body():
    async def main(address, server, listener):
        request = LAST.replace(b"GET", b"HEAD").replace(
            b"Host", b"X: 1234567890\r\nHost"
        )
        data = await call(address, request)
        assert data.startswith(b"HTTP/1.1 431") and data.endswith(b"\r\n\r\n")

    run(main, limits=lambda: CallerLimits(max_header_bytes=40))


def test_a_fault_in_an_answer_ends_its_connection_and_no_other(caplog):
    def answer(path):
        return (200, b"fine") if path == "/b" else 1 / 0

    async def main(address, server, listener):
        assert await call(address, REQUEST) == b""
        assert (await call(address, LAST)).endswith(b"fine")
        assert [one.event for one in caplog.records] == ["internal_error"]

    run(main, delegate=StatusDelegate(answer))


def test_without_descriptors_connections_wait_and_the_loop_does_not_spin(caplog):
    async def main(address, server, listener):
        assert (await call(address, LAST)).endswith(b"/b")
        assert listener.tries < 8
        assert [one.event for one in caplog.records] == ["accept_failed"]

    run(main, wrap=lambda listener: ShortListener(listener, failures=3))


def test_without_descriptors_idle_connections_make_room_for_callers(monkeypatch):
    # Idle connections of a few callers kept all others out until they timed out.
    monkeypatch.setattr(http_server, "MIN_EVICTABLE_IDLE_S", 0.1)

    async def main(address, server, listener):
        idle = [await asyncio.open_connection(*address) for _ in range(8)]
        await asyncio.sleep(0.2)
        listener.failures = listener.tries + 1
        async with asyncio.timeout(http_server.ACCEPT_PAUSE_S / 2):
            assert (await call(address, LAST, pause_s=0.0)).endswith(b"/b")
        await asyncio.sleep(0.05)
        assert [reader.at_eof() for reader, _ in idle].count(True) == 1
        for _, writer in idle:
            writer.close()

    run(main, wrap=lambda listener: ShortListener(listener, failures=0))


def test_connections_that_wait_are_accepted_when_the_server_stops():
    async def main(address, server, listener):
        clients = [socket.create_connection(address) for _ in range(5)]
        server.stop()
        assert len(server._connections) == 5
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        for client in clients:
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            writer.write(LAST)
            assert (await reader.read()).endswith(b"/b")
            writer.close()

    run(main)


def test_a_connection_under_way_when_new_ones_are_refused_is_served():
    async def main(address, server, listener):
        # The last step of the handshake is held back until the request comes.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 5)
        with socket.create_connection(address) as client:
            server.refuse_connections()
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)
            client.setblocking(False)
            reader, writer = await asyncio.open_connection(sock=client)
            writer.write(LAST)
            assert (await reader.read()).endswith(b"/b")
            writer.close()

    run(main)


@pytest.mark.parametrize(
    "sent, status",
    [
        (b"", None),
        (REQUEST, b"200"),
        (REQUEST + REQUEST[:20], b"408"),
        (REQUEST[:20], b"408"),
        (b"\r\n", None),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", b"408"),
    ],
)
def test_clients_that_send_nothing_more_are_disconnected_in_time(sent, status):
    limits = CallerLimits(header_timeout_s=0.3, idle_timeout_s=0.4)

    async def main(address, server, listener):
        started_s = asyncio.get_running_loop().time()
        data = await call(address, sent)
        assert 0.3 <= asyncio.get_running_loop().time() - started_s < 1.5
        statuses = [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
        assert statuses[-1:] == ([status] if status else [])
        await asyncio.sleep(0.05)
        assert not server._connections

    run(main, limits=lambda: limits)


def test_a_client_that_never_stops_sending_is_disconnected(monkeypatch):
    monkeypatch.setattr("sorrelhoist.gateway.http_connection.LINGER_BYTES", 1_000_000)

    async def main(address, server, listener):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n")
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 413")
        with pytest.raises(ConnectionError):
            while True:
                writer.write(b"x" * 100_000)
                await writer.drain()
                await asyncio.sleep(0)
        assert not server._connections

    run(main)


def test_a_client_that_sends_its_whole_body_before_it_reads_gets_the_refusal(
    monkeypatch,
):
    # Its connection was reset while it sent.
    monkeypatch.setattr("sorrelhoist.gateway.http_connection.LINGER_S", 0.3)
    refused = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"

    async def main(address, server, listener):
        data = await call(address, refused, *[b"x"] * 20, pause_s=0.1)
        assert data.startswith(b"HTTP/1.1 413")

    run(main, limits=lambda: CallerLimits(max_body_bytes=10))


def test_limits_are_those_of_the_moment_also_in_the_middle_of_a_request():
    limits = [CallerLimits()]

    async def main(address, server, listener):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(b"64\r\n" + b"x" * 50)
        await asyncio.sleep(0.05)
        limits[0] = CallerLimits(max_body_bytes=80)
        writer.write(b"x" * 50)
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 413")
        writer.close()

    run(main, limits=lambda: limits[0])


@attrs.define(eq=False)
class AnswerDelegate:
    """Answers with a head of an endpoint, by way of `CallerConnection`."""

    head: AnswerHead
    errors: list = attrs.field(factory=list)

    def start_request(self, connection):
        return _Answering(self, connection)


class _Answering(_StatusRequest):
    def __init__(self, delegate, connection):
        super().__init__(lambda path: (200, b""), connection)
        self.delegate = delegate

    def body_received(self):
        asyncio.ensure_future(self.send())

    async def send(self):
        caller, head = CallerConnection(self.connection), self.delegate.head
        try:
            await caller.begin(head, head.headers)
        except h11.LocalProtocolError as error:
            self.delegate.errors.append(error)
            await caller.answer(502, HTTPHeaders(), "failed")
            return
        caller.write(b"body")
        caller.finish()


@pytest.mark.parametrize(
    "status, name, data",
    [
        (200, "X-A", b"HTTP/1.1 200 x\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n"),
        (204, "X-A", b"HTTP/1.1 204 x\r\nX-A: 1\r\n"),
        (304, "Content-Length", b"HTTP/1.1 304 x\r\nContent-Length: 1\r\n"),
        (200, "X A", b"HTTP/1.1 502 Bad Gateway\r\n"),
    ],
)
def test_a_head_is_sent_as_http_allows_or_another_answer_instead(status, name, data):
    headers = HTTPHeaders()
    headers[name] = "1"
    delegate = AnswerDelegate(AnswerHead(status, "x", headers))

    async def main(address, server, listener):
        assert (await call(address, LAST)).startswith(data)
        assert bool(delegate.errors) is (name == "X A")

    run(main, delegate=delegate)


class _Unfinished(_StatusRequest):
    def body_received(self):
        self.connection.send_head(200, "OK", HTTPHeaders())
        self.connection.send_data(b"the first part")


def test_an_answer_that_a_stop_cuts_does_not_look_whole_to_http_1_0():
    # The end of the connection is the end of the answer there.
    class Unfinished:
        def start_request(self, connection):
            return _Unfinished(lambda path: (200, b""), connection)

    async def main(address, server, listener):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET / HTTP/1.0\r\n\r\n")
        assert b"the first part" in await reader.readuntil(b"part")
        await server.close_all_connections()
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()

    run(main, delegate=Unfinished())


def test_a_client_with_thousands_of_requests_leaves_the_others_their_turn():
    answered, most_in_a_turn = 0, 0

    def count(path):
        nonlocal answered
        answered += 1
        return 200, b""

    async def main(address, server, listener):
        nonlocal most_in_a_turn
        calling = asyncio.ensure_future(call(address, REQUEST * 2000 + LAST))
        while not calling.done():
            before = answered
            await asyncio.sleep(0)
            most_in_a_turn = max(most_in_a_turn, answered - before)
        assert answered == 2001
        assert most_in_a_turn <= 100

    run(main, delegate=StatusDelegate(count))


def test_answers_that_a_client_does_not_read_do_not_pile_up():
    page, answered = b"x" * 100_000, 0

    def count(path):
        nonlocal answered
        answered += 1
        return 200, page

    async def main(address, server, listener):
        reader, writer = await asyncio.open_connection(*address, limit=1000)
        writer.write(REQUEST * 500 + LAST)
        await asyncio.sleep(0.5)
        # 100 pages are more than the buffers of both sockets hold.
        assert answered < 100
        assert (await reader.read()).count(b"HTTP/1.1 200") == 501
        writer.close()

    run(main, delegate=StatusDelegate(count))


def test_a_client_that_never_reads_its_answers_is_disconnected():
    async def main(address, server, listener):
        reader, writer = await asyncio.open_connection(*address, limit=1000)
        writer.write(REQUEST * 500 + LAST)
        async with asyncio.timeout(3):
            while server._connections or not reader._buffer:
                await asyncio.sleep(0.05)
        writer.close()

    delegate = StatusDelegate(lambda path: (200, b"x" * 100_000))
    run(main, delegate=delegate, limits=lambda: CallerLimits(idle_timeout_s=0.4))


def test_a_large_last_answer_is_not_cut_when_its_connection_closes():
    page = b"x" * 20_000_000

    async def main(address, server, listener):
        reader, writer = await asyncio.open_connection(*address, limit=1000)
        writer.write(LAST)
        await asyncio.sleep(0.1)
        assert (await reader.read()).endswith(b"\r\n\r\n" + page)
        writer.close()

    run(main, delegate=StatusDelegate(lambda path: (200, page)))


def test_a_body_in_tiny_chunks_takes_little_more_memory_than_its_size():
    size_bytes = 200_000
    request = _CallerRequest(CallerDelegate(None), None)
    tracemalloc.start()
    for _ in range(size_bytes):
        request.data_received(bytearray(b"x"))
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert b"".join(request.body) == b"x" * size_bytes
    assert held_bytes < 2 * size_bytes
