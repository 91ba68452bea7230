"""HTTP server that can go down and restart on the same port."""

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
    """HTTP server that tracks its open connections, so they can be closed."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self.open_streams: set[IOStream] = set()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Track and serve a new connection."""
        self.open_streams = {one for one in self.open_streams if not one.closed()}
        self.open_streams.add(stream)
        super().handle_stream(stream, address)


class RestartableServer:
    """HTTP server that refuses connections between a crash and its restart.

    Parameters
    ----------
    application : tornado.web.Application
        Application to serve.
    port : int
        Port to listen on; 0 picks a free one.
    address : str
        Address to listen on.
    """

    def __init__(self, application: Application, port: int, address: str) -> None:
        self._application = application
        self._address = address
        self._reserved_socket: socket.socket | None = None
        sockets = bind_sockets(port, address, backlog=BACKLOG)
        self.port: int = sockets[0].getsockname()[1]
        self._server = self._serve(sockets)
        self._listening = asyncio.Event()
        self._listening.set()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return f"http://{self._address}:{self.port}"

    @property
    def alive(self) -> bool:
        """Whether the server accepts connections."""
        return self._reserved_socket is None

    def die(self) -> None:
        """Close all connections and refuse new ones; the port stays bound."""
        if not self.alive:
            return
        self._server.stop()
        self._reserved_socket = self._bound_socket()
        self._listening.clear()
        self._close_connections()

    def restart(self) -> None:
        """Accept connections again, on the same port."""
        if self._reserved_socket is None:
            return
        held, self._reserved_socket = self._reserved_socket, None
        held.listen(BACKLOG)
        self._server = self._serve([held])
        self._listening.set()

    async def wait_until_listening(self) -> None:
        """Wait until the server accepts connections."""
        await self._listening.wait()

    async def stop(self) -> None:
        """Stop permanently and release the port."""
        if self._reserved_socket is not None:
            self._reserved_socket.close()
            return
        self._server.stop()
        self._close_connections()
        await self._server.close_all_connections()

    def _serve(self, sockets: list[socket.socket]) -> _Server:
        server = _Server(
            self._application,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BODY_BYTES,
        )
        server.add_sockets(sockets)
        return server

    def _close_connections(self) -> None:
        for stream in self._server.open_streams:
            stream.close()

    def _bound_socket(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self._address else socket.AF_INET
        bound = socket.socket(family, socket.SOCK_STREAM)
        bound.setblocking(False)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((self._address, self.port))
        return bound
