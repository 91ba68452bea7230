"""HTTP exchanges of the clients, each on a connection of its own.

One exchange owns one connection. Leaving the context closes it, which is how a
stream is cancelled on this side; `Exchange.connected` tells whether anything can
have been sent.
"""

import asyncio
import json
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.httputil import parse_response_start_line
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import DefaultLoopResolver, Resolver, is_valid_ip
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

MAX_BODY_BYTES = 1024 * 1024 * 1024
CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 10.0
NO_TIMEOUT_S = 0.0
BUFFERED_CHUNKS = 16


class _NumericResolver(Resolver):
    """Resolve IP numbers without a thread; leave names to the loop."""

    def initialize(self) -> None:
        self._names = DefaultLoopResolver()

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        if not is_valid_ip(host):
            return await self._names.resolve(host, port, family)
        if ":" in host:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]


class _Connector(TCPClient):
    """Keep the connection of the one exchange."""

    def __init__(self) -> None:
        super().__init__(resolver=_NumericResolver())
        self.stream: IOStream | None = None
        self.abandoned = False

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        stream = await super().connect(*args, **kwargs)
        if self.abandoned:
            stream.close()
            raise StreamClosedError()
        self.stream = stream
        return stream


class Exchange:
    """One request on one connection.

    Parameters
    ----------
    max_body_bytes : int
        The largest body that is read.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._connector = _Connector()
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=1, max_body_size=max_body_bytes
        )
        self._client.tcp_client = self._connector
        self._answer: asyncio.Future[HTTPResponse] | None = None

    @property
    def connected(self) -> bool:
        """Whether a connection was made, so that something may have been sent."""
        return self._connector.stream is not None

    async def fetch(self, request: HTTPRequest) -> HTTPResponse:
        """Make the exchange; a status of 400 and over is no error here.

        Raises
        ------
        tornado.httpclient.HTTPError, OSError
            If there was no whole answer.
        """
        self._answer = self._client.fetch(request, raise_error=False)
        # The client has no way to cancel; `close` ends what is left.
        return await asyncio.shield(self._answer)

    def close(self) -> None:
        """Close the connection; what is not sent yet never will be."""
        self._connector.abandoned = True
        if self._connector.stream is not None:
            self._connector.stream.close()
        if self._answer is not None:
            self._answer.add_done_callback(_forget)
        self._client.close()


def _forget(answer: "asyncio.Future[HTTPResponse]") -> None:
    if not answer.cancelled():
        answer.exception()


def json_request(
    method: str,
    url: str,
    body: Any = None,
    request_timeout_s: float = REQUEST_TIMEOUT_S,
) -> HTTPRequest:
    """Build a request with a JSON body, or none.

    Parameters
    ----------
    method, url : str
        What to call.
    body : object, optional
        Plain data, encoded as JSON.
    request_timeout_s : float
        For the whole exchange; 0 for none.

    Returns
    -------
    tornado.httpclient.HTTPRequest
    """
    data = None if body is None else json.dumps(body)
    return HTTPRequest(
        url,
        method=method,
        headers={"Content-Type": "application/json"},
        body=data,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=request_timeout_s,
        allow_nonstandard_methods=True,
        follow_redirects=False,
        decompress_response=False,
    )


async def fetch(request: HTTPRequest) -> HTTPResponse:
    """Make one exchange and read its whole answer.

    Raises
    ------
    tornado.httpclient.HTTPError, OSError
        If there was no whole answer.
    """
    exchange = Exchange()
    try:
        return await exchange.fetch(request)
    finally:
        exchange.close()


def decode(response: HTTPResponse) -> dict[str, Any]:
    """Read a JSON object out of an answer; an empty one if it holds none."""
    try:
        body = json.loads(response.body)
    except ValueError:
        return {}
    return body if isinstance(body, dict) else {}


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


@attrs.define
class StreamedResponse:
    """An answer whose body is read as it comes.

    Parameters
    ----------
    status : int
        HTTP status.
    """

    status: int
    _chunks: _Chunks
    _finished: "asyncio.Task[HTTPResponse]"

    async def lines(self) -> AsyncIterator[bytes]:
        """Yield whole lines of the body.

        Raises
        ------
        tornado.httpclient.HTTPError, OSError
            If the connection was cut before the end of the body.
        """
        rest = bytearray()
        while (chunk := await self._chunks.queue.get()) is not None:
            *whole, last = (rest + chunk).split(b"\n")
            for line in whole:
                yield bytes(line)
            rest = bytearray(last)
        await self._finished
        if rest:
            yield bytes(rest)


@asynccontextmanager
async def streamed(request: HTTPRequest) -> AsyncIterator[StreamedResponse]:
    """Make one exchange whose body is read as it comes.

    Parameters
    ----------
    request : tornado.httpclient.HTTPRequest
        Its callbacks are set here.

    Yields
    ------
    StreamedResponse
        Once the status is known.

    Raises
    ------
    tornado.httpclient.HTTPError, OSError
        If no status came.
    """
    exchange = Exchange()
    chunks = _Chunks()
    status: asyncio.Future[int] = asyncio.get_running_loop().create_future()
    request.header_callback = _status_reader(status)
    request.streaming_callback = chunks.put
    finished = asyncio.create_task(_finish(exchange, request, chunks))
    try:
        futures: list[asyncio.Future[Any]] = [status, finished]
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        if not status.done():
            await finished
        yield StreamedResponse(await status, chunks, finished)
    finally:
        chunks.close()
        exchange.close()
        finished.cancel()
        await asyncio.gather(finished, return_exceptions=True)


def _status_reader(status: "asyncio.Future[int]") -> Any:
    def read(line: str) -> None:
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
