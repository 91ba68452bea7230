"""Streams whose readers give other work its turn, however fast data arrive."""

import asyncio
import socket
from typing import Any

from tornado.concurrent import Future
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from ..decisions.read_turns import ReadTurn, loop_turns


class FairStream(IOStream):
    """Lets a reader rest when it has kept the event loop for its share.

    A read of `tornado.iostream.IOStream` that finds data is complete at once, and
    awaiting it doesn't suspend the reader. All reads pass `_try_inline_read`, those of
    Tornado's own HTTP code as well.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self._turn: ReadTurn = loop_turns.reader()
        super().__init__(*args, **kwargs)

    @property
    def is_turn_over(self) -> bool:
        """Whether the reader must rest before it goes on."""
        return self._turn.is_over(asyncio.get_running_loop().time())

    async def rest(self) -> None:
        """Give others their turn while there is more to process than to read."""
        await asyncio.sleep(self._turn.rest_s())

    def _try_inline_read(self) -> None:
        if self.is_turn_over:
            loop = asyncio.get_running_loop()
            loop.call_later(self._turn.rest_s(), self._read_later, self._read_future)
        else:
            self._read_inline()

    def _read_later(self, future: "Future[Any] | None") -> None:
        if self._read_future is not future:
            return  # It was read or closed meanwhile.
        try:
            self._read_inline()
        except StreamClosedError as error:
            self._read_future = None
            if future is not None and not future.done():
                future.set_exception(error)

    def _read_inline(self) -> None:
        super()._try_inline_read()
        if self._read_future is not None:
            self._turn.waited()

    def close(self, *args: Any, **kwargs: Any) -> None:
        """Close the stream, whose reader takes no share any more."""
        self._turn.waited()
        super().close(*args, **kwargs)


def take_over(stream: IOStream) -> FairStream:
    """Return a fair stream of the socket of one that hasn't been read yet."""
    return FairStream(
        stream.socket,
        max_buffer_size=stream.max_buffer_size,
        read_chunk_size=stream.read_chunk_size,
    )


class FairTCPClient(TCPClient):
    """Connects with fair streams."""

    def _create_stream(
        self,
        max_buffer_size: int | None,
        af: socket.AddressFamily,
        addr: tuple[Any, ...],
        source_ip: str | None = None,
        source_port: int | None = None,
    ) -> "tuple[IOStream, Future[IOStream]]":
        connection = socket.socket(af)
        try:
            stream: IOStream = FairStream(connection, max_buffer_size=max_buffer_size)
        except BaseException:
            connection.close()
            raise
        return stream, stream.connect(addr)


class FairHTTPServer(HTTPServer):
    """Reads its clients with fair streams."""

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve the requests of one connection."""
        super().handle_stream(take_over(stream), address)
