"""Endpoints that send heads, bodies or events without end."""

import asyncio
import contextlib

import pytest

from sorrelhoist.decisions.event_stream import MAX_EVENT_BYTES
from sorrelhoist.gateway import reservations
from sorrelhoist.gateway.upstream import MAX_ANSWER_BYTES
from sorrelhoist.platform.dialect import PlatformDialect
from tests.platform.fleet import run_with_fleet
from tests.platform.standins import Endpoint, Server, answer_bytes, chunk, echo_headers

BLOCK = b"x" * 65_536
CHUNKED = ("Transfer-Encoding", "chunked")


class Endless:
    """Sends ``head`` and then repeats ``block`` until the connection is closed."""

    def __init__(self, head, block, headers=()):
        self.head, self.block, self.headers = head, block, headers
        self.sent_bytes, self.is_closed = 0, False

    async def __call__(self, received, writer):
        if self.headers is not None:
            headers = [*echo_headers(received), *self.headers]
            writer.write(answer_bytes(200, headers, length=False))
        writer.write(self.head)
        with contextlib.suppress(ConnectionError):
            try:
                while True:
                    writer.write(self.block)
                    self.sent_bytes += len(self.block)
                    await writer.drain()
                    await asyncio.sleep(0)
            finally:
                self.is_closed = True


INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
HEADS = {
    "informational heads": lambda: Endless(b"", INFORMATIONAL * 100, None),
    "status line": lambda: Endless(b"HTTP/1.1 200 ", BLOCK, None),
    "header": lambda: Endless(b"HTTP/1.1 200 x\r\nA: ", BLOCK, None),
    "headers": lambda: Endless(b"HTTP/1.1 200 x\r\n", b"A: b\r\n" * 9999, None),
    "chunk header": lambda: Endless(b"5;", BLOCK, [CHUNKED]),
    "trailers": lambda: Endless(b"0\r\n", b"A: b\r\n" * 9999, [CHUNKED]),
}
BODIES = {
    "chunked": lambda: Endless(b"", chunk(BLOCK), [CHUNKED]),
    "unframed": lambda: Endless(b"", BLOCK),
    "length": lambda: Endless(b"", BLOCK, [("Content-Length", str(10**15))]),
}


async def assert_broken(fleet, endless, answer, max_bytes):
    """The caller gets an error, and the endpoint's connection is closed early."""
    assert answer.status == 502
    await asyncio.sleep(0.05)
    assert endless.is_closed
    socket_buffers = 8 * 1024 * 1024
    assert endless.sent_bytes < max_bytes + socket_buffers


@pytest.mark.parametrize("kind", [*HEADS, *BODIES])
def test_a_plain_answer_without_end_counts_as_broken(kind):
    # Informational heads were skipped for ever, and bodies kept without a bound.
    async def main(fleet):
        endless = (HEADS | BODIES)[kind]()
        await fleet.add(endless, service="app")
        answer = await fleet.fetch("/once/1", "POST", b"x", wait_ms=3000)
        await assert_broken(fleet, endless, answer, MAX_ANSWER_BYTES)
        assert answer.took_s < 2.9

    run_with_fleet(main)


@pytest.mark.parametrize("kind", [*HEADS, *BODIES])
def test_a_stream_without_a_whole_event_counts_as_broken(kind):
    # The error of the splitter was not handled, and ended the exchange as a fault of
    # the gateway.
    async def main(fleet):
        endless = (HEADS | BODIES)[kind]()
        await fleet.add(endless)
        answer = await fleet.stream(wait_ms=3000)
        await assert_broken(fleet, endless, answer, 2 * MAX_EVENT_BYTES)

    run_with_fleet(main)


def test_an_order_answered_without_end_counts_as_unanswered():
    class EndlessServer(Server):
        async def serve(self, received, writer, reader):
            await endless(received, writer)

    async def main():
        endpoint = await EndlessServer().start()
        order = PlatformDialect().release_order(one, "t-1")
        assert await reservations._send(endpoint.address, order) is None
        await asyncio.sleep(0.05)
        assert endless.is_closed
        await endpoint.stop()

    one = Endpoint(endpoint_id="i-1")
    endless = HEADS["informational heads"]()
    asyncio.run(main())
