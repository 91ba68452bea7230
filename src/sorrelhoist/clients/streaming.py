"""HTTP responses whose body is read as it arrives, with back-pressure."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import parse_response_start_line

from .exchange import Exchange

MAX_BUFFERED_CHUNKS = 16


@attrs.define
class _ChunkQueue:
    """Bounded queue of body chunks between the connection and the reader."""

    queue: "asyncio.Queue[bytes | None]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_BUFFERED_CHUNKS)
    )
    closed: bool = False

    async def put(self, chunk: bytes | None) -> None:
        """Add a chunk once there is space; the connection is not read until then."""
        if not self.closed:
            await self.queue.put(chunk)

    def close(self) -> None:
        """Drop the queued chunks and release a waiting writer."""
        self.closed = True
        while not self.queue.empty():
            self.queue.get_nowait()


class StreamedResponse:
    """A response whose body is read as it arrives.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    chunks : _Chunks
        Queue that the connection writes the body to.
    finished : asyncio.Task
        Completes with the exchange and holds its error.
    """

    def __init__(
        self, status: int, chunks: _ChunkQueue, finished: "asyncio.Task[HTTPResponse]"
    ) -> None:
        self.status = status
        self._chunks = chunks
        self._finished = finished

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield the lines of the body, each once it is complete.

        Raises
        ------
        NoAnswerError
            If the connection was closed before the end of the body.
        """
        rest = bytearray()
        while (chunk := await self._chunks.queue.get()) is not None:
            *whole, rest = (rest + chunk).split(b"\n")
            for line in whole:
                yield bytes(line)
        await self._finished
        if rest:
            yield bytes(rest)


@asynccontextmanager
async def stream_response(
    request: HTTPRequest, open_timeout_s: float
) -> AsyncIterator[StreamedResponse]:
    """Send a request and read the body of its response as it arrives.

    Leaving the context closes the connection.

    Parameters
    ----------
    request : tornado.httpclient.HTTPRequest
        Its header and streaming callbacks are overwritten.
    open_timeout_s : float
        Timeout until the status of the response arrives.

    Yields
    ------
    StreamedResponse
        Once the status is known.

    Raises
    ------
    NotSentError, NoAnswerError
        If no status arrived.
    """
    exchange = Exchange()
    chunks = _ChunkQueue()
    status: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    request.header_callback = _status_callback(status)
    request.streaming_callback = chunks.put
    finished = asyncio.create_task(_fetch_body(exchange, request, chunks))
    try:
        await _wait_for_status(status, finished, open_timeout_s)
        if finished.done():
            finished.result()
        if not status.done():
            raise exchange.error(request, f"no status within {open_timeout_s} s")
        yield StreamedResponse(status.result(), chunks, finished)
    finally:
        chunks.close()
        exchange.close()
        finished.cancel()
        await asyncio.gather(finished, return_exceptions=True)


async def _wait_for_status(
    status: "asyncio.Future[int]",
    finished: "asyncio.Task[HTTPResponse]",
    timeout_s: float,
) -> None:
    futures: list[asyncio.Future[Any]] = [status, finished]
    await asyncio.wait(futures, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)


def _status_callback(status: "asyncio.Future[int]") -> Callable[[str], None]:
    def read(line: str) -> None:
        # The first header line that Tornado passes is the status line.
        if not status.done():
            status.set_result(parse_response_start_line(line.strip()).code)

    return read


async def _fetch_body(
    exchange: Exchange, request: HTTPRequest, chunks: _ChunkQueue
) -> HTTPResponse:
    try:
        return await exchange.fetch(request)
    finally:
        await chunks.put(None)
