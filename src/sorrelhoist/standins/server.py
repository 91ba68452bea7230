"""An HTTP server that can die and come back on its port."""

import asyncio
import socket
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application

MAX_BODY_BYTES = 256 * 1024 * 1024
BACKLOG = 1024


class _Server(HTTPServer):
    """Remember the open connections, to cut them."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self.open_streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Take a new connection."""
        self.open_streams = {one for one in self.open_streams if not one.closed()}
        self.open_streams.add(stream)
        super().handle_stream(stream, address)


class MortalServer:
    """Serve an application until it dies; then refuse until it is revived.

    Parameters
    ----------
    application : tornado.web.Application
        What to serve.
    port : int
        0 picks a free one.
    address : str
        To listen on.
    """

    def __init__(self, application: Application, port: int, address: str) -> None:
        self._application = application
        self._address = address
        self._held: socket.socket | None = None
        sockets = bind_sockets(port, address, backlog=BACKLOG)
        self.port: int = sockets[0].getsockname()[1]
        self._server = self._serve(sockets)
        self._up = asyncio.Event()
        self._up.set()

    @property
    def url(self) -> str:
        """The base URL."""
        return f"http://{self._address}:{self.port}"

    @property
    def alive(self) -> bool:
        """Whether it takes connections."""
        return self._held is None

    def die(self) -> None:
        """Cut all connections and refuse new ones; the port stays bound."""
        if not self.alive:
            return
        self._server.stop()
        self._held = self._bound_socket()
        self._up.clear()
        self._cut()

    def revive(self) -> None:
        """Take connections again, on the same port."""
        if self._held is None:
            return
        held, self._held = self._held, None
        held.listen(BACKLOG)
        self._server = self._serve([held])
        self._up.set()

    async def up(self) -> None:
        """Wait until it takes connections."""
        await self._up.wait()

    async def stop(self) -> None:
        """Stop for good."""
        if self._held is not None:
            self._held.close()
            return
        self._server.stop()
        self._cut()
        await self._server.close_all_connections()

    def _serve(self, sockets: list[socket.socket]) -> _Server:
        server = _Server(
            self._application,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )
        server.add_sockets(sockets)
        return server

    def _cut(self) -> None:
        for stream in self._server.open_streams:
            stream.close()

    def _bound_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_STREAM)
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self._address, self.port))
        return bound
