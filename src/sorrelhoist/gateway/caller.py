"""HTTP answers to callers."""

import asyncio
import contextlib
import socket
import struct
from collections import deque

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from ..decisions.memory.account import MemoryAccount
from .upstream import AnswerHead

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Makes the next close a reset. A caller that takes the end of the connection for the
end of the answer would otherwise take a truncated answer for a complete one."""

PIECE_BYTES = 64
"""Counted for each piece of data that is held, besides its content."""

REASON_PHRASES = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    422: "Unprocessable Content",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerConnection:
    """Send one answer on a connection of Tornado's HTTP server.

    Parts of the body are written at once. While the connection doesn't take them, they
    are held here and counted in the account of the request.

    Parameters
    ----------
    connection : tornado.http1connection.HTTP1Connection
    is_chunked : bool
        Whether the caller's protocol marks the end of a body of unknown length; if it
        doesn't, the end of the connection is the end of the body.
    account : MemoryAccount or None
    cut_reason : str or None
        Why the gateway disconnected the caller, if it did.
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self.has_begun = False
        self.should_close = False
        self.is_chunked = True
        self.account: MemoryAccount | None = None
        self.cut_reason: str | None = None
        self._being_written = 0
        # Pieces as they came: one growing buffer for each caller would fragment the
        # heap, so that the process takes twice what it holds.
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._drained: asyncio.Future[None] | None = None

    async def begin(self, head: AnswerHead, headers: HTTPHeaders) -> None:
        """Send the status and the headers."""
        self.has_begun = True
        if self.should_close:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        await self._connection.write_headers(line, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body, or hold it until the caller has read what precedes.

        Raises
        ------
        StreamClosedError
            If the connection is closed.
        """
        if self.cut_reason is not None:
            raise StreamClosedError()
        if self._being_written:
            self._pending.append(data)
            self._pending_bytes += len(data) + PIECE_BYTES
        else:
            self._write_now(data)
        if self._being_written:
            self._count_unread()

    def _write_now(self, data: bytes) -> None:
        written = self._connection.write(data)
        if written.done():
            written.result()
        else:
            self._being_written = len(data)
            written.add_done_callback(self._on_written)

    def _on_written(self, written: asyncio.Future[None]) -> None:
        self._being_written = 0
        try:
            if not written.cancelled():
                written.result()
            while self._pending and not self._being_written:
                data = self._pending.popleft()
                self._pending_bytes -= len(data) + PIECE_BYTES
                self._write_now(data)
        except StreamClosedError:
            self._drop()
        self._count_unread()
        if self.has_drained and self._drained is not None:
            if not self._drained.done():
                self._drained.set_result(None)
            self._drained = None

    def _count_unread(self) -> None:
        if self.account is not None:
            now_s = asyncio.get_running_loop().time()
            unread_bytes = self._being_written + self._pending_bytes
            self.account.hold_unread(unread_bytes, now_s)

    @property
    def has_drained(self) -> bool:
        """Whether the connection has taken all that was written."""
        return not self._being_written and not self._pending

    async def drained(self) -> None:
        """Wait until the connection has taken all that was written."""
        if not self.has_drained:
            self._drained = asyncio.get_running_loop().create_future()
            await self._drained

    def finish(self) -> None:
        """Complete the answer."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that a truncated answer doesn't look complete."""
        stream = self._connection.stream
        if stream is None or stream.closed():
            return
        if not self.is_chunked:
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
        stream.close()

    def cut(self, reason: str) -> None:
        """Close the connection and drop what is held for it."""
        self.cut_reason = reason
        self._drop()
        self.abort()

    def _drop(self) -> None:
        self._pending.clear()
        self._pending_bytes = 0

    async def answer(self, status: int, headers: HTTPHeaders, text: str) -> None:
        """Send an answer of the gateway itself; ignore a caller that disconnected."""
        body = (text + "\n").encode()
        headers["Content-Type"] = "text/plain"
        headers["Content-Length"] = str(len(body))
        head = AnswerHead(status, REASON_PHRASES.get(status, "Unknown"), headers)
        with contextlib.suppress(StreamClosedError):
            await self.begin(head, headers)
            self.write(body)
            await self.drained()
            self.finish()
