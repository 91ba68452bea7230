"""One exchange with one endpoint over a connection of its own.

A connection serves one request, so that bytes which an endpoint sends beyond its
answer can't be taken for the answer of another.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import h11
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream, StreamClosedError

from ..decisions.forwarding import Broken, Failure, NotSent

CONNECT_TIMEOUT_S = 0.5
"""Many times the delay between failure domains; a dark host doesn't answer."""

REACH_TIMEOUT_S = 0.3
"""A live endpoint in any failure domain accepts a connection within it."""

READ_BYTES = 65_536

USER_TIMEOUT_MS = 3_000
"""Sent bytes that are not confirmed for so long end the connection."""


class ExchangeError(Exception):
    """An exchange ended without a whole answer.

    Parameters
    ----------
    failure : NotSent or Broken
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


@attrs.frozen
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    reason: str
    headers: HTTPHeaders


@attrs.define(eq=False)
class Upstream:
    """An open exchange.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
    """

    stream: IOStream
    _protocol: h11.Connection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=READ_BYTES
        )

    async def send(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Send a request; an answer may come before it is all sent."""
        try:
            data = self._protocol.send(
                h11.Request(method=method, target=path, headers=headers)
            )
            if body:
                data += self._protocol.send(h11.Data(body)) or b""
            data += self._protocol.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise ExchangeError(NotSent(f"can't be forwarded: {error}")) from error
        # A closed connection shows when the answer is read.
        write = self.stream.write(data)
        write.add_done_callback(lambda done: done.exception())

    async def head(self) -> AnswerHead:
        """Read status and headers.

        Raises
        ------
        ExchangeError
            If there are none.
        """
        event = await self._next()
        if not isinstance(event, h11.Response):
            raise ExchangeError(Broken(f"no answer but {type(event).__name__}"))
        headers = HTTPHeaders()
        for name, value in event.headers.raw_items():
            headers.add(name.decode("latin-1"), value.decode("latin-1"))
        return AnswerHead(event.status_code, event.reason.decode("latin-1"), headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Read the body; its end is the proper end of the answer.

        Raises
        ------
        ExchangeError
            If it breaks off.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ExchangeError(Broken(f"{type(event).__name__} in a body"))

    async def body(self) -> bytes:
        """Read the whole body."""
        return b"".join([chunk async for chunk in self.chunks()])

    async def _next(self) -> object:
        while True:
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeError(Broken(f"garbled: {error}")) from error
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._read())
            elif not isinstance(event, h11.InformationalResponse):
                return event

    async def _read(self) -> bytes:
        try:
            return await self.stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as error:
            if self.stream.error is not None:
                detail = f"reset: {self.stream.error}"
                raise ExchangeError(Broken(detail)) from error
            return b""  # the end of the connection, for h11 to judge


@asynccontextmanager
async def connected(address: str, timeout_s: float) -> AsyncIterator[Upstream]:
    """Connect to an endpoint and close the connection at the end.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout_s : float
        Time that is left for the request.

    Raises
    ------
    ExchangeError
        If there is no connection.
    """
    host, _, port = address.rpartition(":")
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream = IOStream(connection)
    try:
        try:
            async with asyncio.timeout(min(timeout_s, CONNECT_TIMEOUT_S)):
                await stream.connect((host, int(port)))
        except (OSError, ValueError, StreamClosedError, TimeoutError) as error:
            raise ExchangeError(NotSent(f"no connection: {error!r}")) from error
        yield Upstream(stream)
    finally:
        stream.close()


async def is_reachable(address: str) -> bool:
    """Tell whether an endpoint accepts a connection."""
    try:
        async with connected(address, REACH_TIMEOUT_S):
            return True
    except ExchangeError:
        return False
