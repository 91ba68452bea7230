"""Tests of responses whose body is read as it arrives."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from sorrelhoist.clients.exceptions import NoAnswerError
from sorrelhoist.clients.http import json_request
from sorrelhoist.clients.streaming import (
    MAX_BUFFERED_CHUNKS,
    StreamedResponse,
    _ChunkQueue,
    stream_response,
)
from sorrelhoist.standins.server import RestartableServer
from tests.standins.support import wait_until_stable

LINE = b"x" * 65_535 + b"\n"
MANY_LINES = 4000


def run(chunks, test, ends=True):
    """Serve chunks, one flush each, to one reader; return the sizes written."""
    written = []

    class Handler(RequestHandler):
        async def get(self):
            try:
                for chunk in chunks:
                    self.write(chunk)
                    await self.flush()
                    written.append(len(chunk))
                if not ends:
                    self.detach().close()
            except StreamClosedError:
                written.append("closed")

    async def main():
        routes = Application([("/", Handler)], log_function=lambda handler: None)
        server = RestartableServer(routes, 0, "127.0.0.1")
        request = json_request("GET", f"{server.url}/", timeout_s=0.0)
        try:
            async with stream_response(request, 5.0) as response:
                await test(response.lines(), written)
            await wait_until_stable(lambda: len(written))
        finally:
            await server.stop()
        assert await wait_until_stable(lambda: len(asyncio.all_tasks())) == 1
        return written

    return asyncio.run(main())


@given(st.lists(st.text("ab\n", min_size=1, max_size=6), max_size=MAX_BUFFERED_CHUNKS))
def test_fuzz_lines_are_complete_for_any_chunk_boundaries(pieces):
    async def main():
        chunks = _ChunkQueue(asyncio.Queue())
        for piece in [*(piece.encode() for piece in pieces), None]:
            await chunks.put(piece)
        finished = asyncio.create_task(asyncio.sleep(0))
        lines = StreamedResponse(200, chunks, finished).lines()
        expected = "".join(pieces).split("\n")
        expected = expected if expected[-1] else expected[:-1]
        assert [line.decode() async for line in lines] == expected

    asyncio.run(main())


def test_chunks_that_arrive_after_closing_are_dropped():
    async def main():
        chunks = _ChunkQueue()

        async def fill():
            for _ in range(3 * MAX_BUFFERED_CHUNKS):
                await chunks.put(b"x")

        filling = asyncio.create_task(fill())
        assert await wait_until_stable(chunks.queue.qsize) == MAX_BUFFERED_CHUNKS
        chunks.close()
        await wait_until_stable(filling.done)
        assert filling.done()

    asyncio.run(main())


def test_lines_are_yielded_one_at_a_time():
    async def test(lines, written):
        assert [line async for line in lines] == [b"a", b"b"]

    assert run([b"a", b"\nb"], test) == [1, 2]


def test_truncated_body_raises_after_some_of_its_lines():
    async def test(lines, written):
        received = []
        with pytest.raises(NoAnswerError):
            async for line in lines:
                received.append(line)
        # A line that arrives right before the close may be lost.
        assert received in ([], [b"a"])

    run([b"a\n"], test, ends=False)


def test_slow_reader_applies_back_pressure_and_closing_stops_the_writer():
    async def test(lines, written):
        await anext(lines)
        assert await wait_until_stable(lambda: len(written)) < MANY_LINES

    written = run([LINE] * MANY_LINES, test)
    assert written[-1] == "closed"
