"""Answers whose body is read as it comes."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import parse_response_start_line

from .exchange import Exchange

BUFFERED_CHUNKS = 16


@attrs.define
class _Chunks:
    """Body chunks between the connection and the reader, at most a few."""

    queue: "asyncio.Queue[bytes | None]" = attrs.field(
        factory=lambda: asyncio.Queue(BUFFERED_CHUNKS)
    )
    closed: bool = False

    async def put(self, chunk: bytes | None) -> None:
        """Wait for room; the connection is not read meanwhile."""
        if not self.closed:
            await self.queue.put(chunk)

    def close(self) -> None:
        """Let a waiting writer go."""
        self.closed = True
        while not self.queue.empty():
            self.queue.get_nowait()


class StreamedResponse:
    """An answer whose body is read as it comes.

    Parameters
    ----------
    status : int
        HTTP status.
    chunks : _Chunks
        Where the connection puts the body.
    finished : asyncio.Task
        Ends with the exchange, and holds its error.
    """

    def __init__(
        self, status: int, chunks: _Chunks, finished: "asyncio.Task[HTTPResponse]"
    ) -> None:
        self.status = status
        self._chunks = chunks
        self._finished = finished

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield the whole lines of the body.

        Raises
        ------
        NoAnswerError
            If the connection was cut before the end of the body.
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
async def streamed(
    request: HTTPRequest, open_timeout_s: float
) -> AsyncIterator[StreamedResponse]:
    """Make one exchange whose body is read as it comes.

    Leaving the context closes the connection.

    Parameters
    ----------
    request : tornado.httpclient.HTTPRequest
        Its callbacks are set here.
    open_timeout_s : float
        For the status of the answer.

    Yields
    ------
    StreamedResponse
        Once the status is known.

    Raises
    ------
    NotSentError, NoAnswerError
        If no status came.
    """
    exchange = Exchange()
    chunks = _Chunks()
    status: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    request.header_callback = _status_reader(status)
    request.streaming_callback = chunks.put
    finished = asyncio.create_task(_finish(exchange, request, chunks))
    try:
        await _first(status, finished, open_timeout_s)
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


async def _first(
    status: "asyncio.Future[int]",
    finished: "asyncio.Task[HTTPResponse]",
    timeout_s: float,
) -> None:
    futures: list[asyncio.Future[Any]] = [status, finished]
    await asyncio.wait(futures, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)


def _status_reader(status: "asyncio.Future[int]") -> Callable[[str], None]:
    def read(line: str) -> None:
        # The first of the header lines is the status line.
        if not status.done():
            status.set_result(parse_response_start_line(line.strip()).code)

    return read


async def _finish(
    exchange: Exchange, request: HTTPRequest, chunks: _Chunks
) -> HTTPResponse:
    try:
        return await exchange.fetch(request)
    finally:
        await chunks.put(None)
