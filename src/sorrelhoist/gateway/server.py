"""HTTP servers of a gateway: for callers, readiness probes, metrics and state dumps."""

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from ..decisions.routes import CallerLimits
from ..exceptions import InvalidRequestError
from .caller import CallerConnection
from .exchange import Exchange
from .parts import GatewayParts
from .state import GatewayState, boot_time_s

logger = logging.getLogger(__name__)

SEND_BUFFER_BYTES = 256 * 1024
"""What the kernel buffers for a caller where memory is limited; otherwise it may be
4 MB for each. At 100 Mbit/s and a delay of 1 ms 25 kB are enough."""

IDLE_TIMEOUT_FACTOR = 1.25
"""Idle connections are kept open for this multiple of the limit that callers know."""


@attrs.define(eq=False, repr=False)
class CallerDelegate(HTTPServerConnectionDelegate):
    """Create a delegate for each request of a caller.

    Parameters
    ----------
    parts : GatewayParts
    running : set of asyncio.Task
        Requests that are served.
    reading : set
        Requests whose head was read and whose body was not.
    received_s : float
        Time at which the head of the last request was read.
    connections : set
        Connections of the requests that are served.
    """

    parts: GatewayParts
    running: set[asyncio.Task] = attrs.field(factory=set)
    reading: set[HTTPMessageDelegate] = attrs.field(factory=set)
    received_s: float = float("-inf")
    connections: set[Any] = attrs.field(factory=set)

    @property
    def is_idle(self) -> bool:
        """Whether no request is read or served."""
        return not (self.running or self.reading)

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads one request."""
        return _CallerRequestDelegate(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: no state is kept for a connection."""


@attrs.define(eq=False, repr=False)
class _CallerRequestDelegate(HTTPMessageDelegate):
    front: CallerDelegate
    connection: Any
    start: RequestStartLine | None = None
    headers: HTTPHeaders = attrs.field(factory=HTTPHeaders)
    received_s: float = 0.0
    body: list[bytes] = attrs.field(factory=list)
    body_bytes: int = 0
    is_refused: bool = False
    work: asyncio.Task | None = None
    caller: CallerConnection = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.caller = CallerConnection(self.connection)

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        self.start = start_line
        self.headers = headers
        self.received_s = asyncio.get_running_loop().time()
        declared_bytes = _declared_bytes(headers)
        self.is_refused = not self.front.parts.memory.open(self.caller, declared_bytes)
        self.front.received_s = self.received_s
        self.front.reading.add(self)

    def data_received(self, chunk: bytes) -> None:
        if self.is_refused:
            return  # Read to its end, so that the caller gets the refusal.
        self.body.append(chunk)
        self.body_bytes += len(chunk)
        account = self.caller.account
        if account is not None and self.body_bytes > account.request_bytes:
            account.hold_request(self.body_bytes)
            if self.front.parts.state.memory.is_short:
                self.is_refused = True
                self.body.clear()
                self.front.parts.memory.close(self.caller)

    def finish(self) -> None:
        assert self.start is not None
        self.front.reading.discard(self)
        # Tornado reports a closed connection to the delegate only while it reads.
        self.connection.set_close_callback(self.on_connection_close)
        self.work = asyncio.ensure_future(self._serve(self.start))
        self.front.running.add(self.work)
        self.front.connections.add(self.connection)
        self.work.add_done_callback(self._on_done)

    def on_connection_close(self) -> None:
        self.front.reading.discard(self)
        if self.work is not None:
            self.work.cancel()
        else:
            self.front.parts.memory.close(self.caller)

    async def _serve(self, start: RequestStartLine) -> None:
        parts = self.front.parts
        caller = self.caller
        caller.should_close = parts.state.is_stopping
        caller.is_chunked = start.version != "HTTP/1.0"
        if caller.account is not None:
            caller.account.is_receiving = False
        body = b"".join(self.body)
        self.body.clear()
        try:
            request = parts.dialect.read_request(
                start.method, start.path, self.headers, body
            )
        except InvalidRequestError as error:
            logger.info(
                "invalid request", extra={"event": "invalid", "reason": str(error)}
            )
            await caller.answer(400, HTTPHeaders(), str(error))
            return
        exchange = Exchange(
            request=request,
            caller=caller,
            parts=parts,
            received_s=self.received_s,
            is_memory_short=self.is_refused,
        )
        await exchange.run()

    def _on_done(self, work: asyncio.Task) -> None:
        self.front.running.discard(work)
        self.front.parts.memory.close(self.caller)
        self.front.connections.discard(self.connection)
        if not work.cancelled() and work.exception() is not None:
            logger.error(
                "exchange failed",
                exc_info=work.exception(),
                extra={"event": "internal_error"},
            )
            self.caller.abort()


def _declared_bytes(headers: HTTPHeaders) -> int:
    """Return the length of a body as its headers declare it, or 0."""
    length = headers.get("Content-Length", "")
    return int(length) if length.isascii() and length.isdigit() else 0


def limit_send_buffer(listener: socket.socket) -> None:
    """Limit what the kernel buffers for each connection that is accepted later."""
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


@attrs.define(eq=False, repr=False)
class StatusDelegate(HTTPServerConnectionDelegate):
    """Answer GET requests with a status and a body.

    Parameters
    ----------
    answer : callable
        Takes the path and returns the status and the body.
    """

    answer: Callable[[str], tuple[int, bytes]]

    def start_request(
        self, server_conn: object, request_conn: Any
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads one request."""
        return _StatusRequestDelegate(self.answer, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing: no state is kept for a connection."""


@attrs.define(eq=False, repr=False)
class _StatusRequestDelegate(HTTPMessageDelegate):
    answer: Callable[[str], tuple[int, bytes]]
    connection: Any
    path: str = "/"

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        self.path = start_line.path

    def finish(self) -> None:
        status, body = self.answer(self.path)
        headers = HTTPHeaders({"Content-Length": str(len(body))})
        line = ResponseStartLine("HTTP/1.1", status, "OK" if status == 200 else "-")
        self.connection.write_headers(line, headers, body)
        self.connection.finish()


def readiness(state: GatewayState) -> Callable[[str], tuple[int, bytes]]:
    """Return the handler for readiness probes of the load balancer."""

    def answer(path: str) -> tuple[int, bytes]:
        if state.is_ready(boot_time_s()):
            return 200, b"ready\n"
        return 503, b"not ready\n"

    return answer


def serve(
    delegate: HTTPServerConnectionDelegate,
    listener: socket.socket,
    limits: CallerLimits,
) -> HTTPServer:
    """Start an HTTP server on a listening socket."""
    server = HTTPServer(
        delegate,
        idle_connection_timeout=limits.idle_timeout_s * IDLE_TIMEOUT_FACTOR,
        max_header_size=limits.max_header_bytes * 2,
        max_body_size=limits.max_body_bytes,
        max_buffer_size=limits.max_body_bytes + 2 * limits.max_header_bytes,
    )
    server.add_sockets([listener])
    return server
