"""HTTP answers to callers."""

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from ..decisions.memory.account import MemoryAccount
from .http_connection import NO_CONTENT, REASON_PHRASES, HttpConnection
from .upstream import AnswerHead

PIECE_BYTES = 64
"""Counted for each piece of data that is held, besides its content."""


class CutError(Exception):
    """The request was given up before its answer began."""


class CallerConnection:
    """Send one answer on the connection of a caller.

    Parts of the body are written at once. While the connection doesn't take them, they
    are held here and counted in the account of the request.

    Parameters
    ----------
    connection : HttpConnection
    is_chunked : bool
        Whether the caller's protocol marks the end of a body of unknown length; if it
        doesn't, the end of the connection is the end of the body.
    account : MemoryAccount or None
    cut_reason : str or None
        Why the gateway gave up the request, if it did.
    on_cut : callable
        Ends the work on a request that is given up before its answer has begun, and
        answers it.
    on_begun : callable
        Called when an answer of an endpoint begins.
    """

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self.has_begun = False
        self.should_close = False
        self.is_chunked = True
        self.account: MemoryAccount | None = None
        self.cut_reason: str | None = None
        self.on_cut: Callable[[], None] = self.abort
        self.on_begun: Callable[[], None] = _ignore
        self._being_written = 0
        # Pieces as they came: one growing buffer for each caller would fragment the
        # heap, so that the process takes twice what it holds.
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._drained: asyncio.Future[None] | None = None

    async def begin(self, head: AnswerHead, headers: HTTPHeaders) -> None:
        """Send the status and the headers.

        Raises
        ------
        h11.LocalProtocolError
            If they can't be sent to a caller.
        CutError
            If the request was given up.
        """
        if self.cut_reason is not None and not self.has_begun:
            raise CutError(self.cut_reason)
        if self._connection.is_bodiless(head.status):
            # The length is that of the body which the endpoint has left out.
            length = head.headers.get("Content-Length")
            headers.pop("Content-Length", None)
            if length is not None and head.status != NO_CONTENT:
                headers["Content-Length"] = length
        self._send_head(head.status, head.reason, headers)
        self.on_begun()

    def _send_head(self, status: int, reason: str, headers: HTTPHeaders) -> None:
        if self.should_close:
            headers["Connection"] = "close"
        self._connection.send_head(status, reason, headers)
        self.has_begun = True

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
        written = self._connection.send_data(data)
        if written is not None:
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
            self.account.hold_unread(self.unread_bytes, now_s)

    @property
    def unread_bytes(self) -> int:
        """Size of what is held until the connection takes it."""
        return self._being_written + self._pending_bytes

    @property
    def has_drained(self) -> bool:
        """Whether the connection has taken all that was written."""
        return not self._being_written and not self._pending

    @property
    def is_closed_here(self) -> bool:
        """Whether the gateway has closed the connection because it ends."""
        return self._connection.is_cut

    def hold_open(self) -> None:
        """Let the connection outlast the end of its client's side."""
        self._connection.hold_open()

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
        self._connection.abort(is_reset=not self.is_chunked)

    def cut(self, reason: str) -> None:
        """Give up the request and drop what is held for its answer.

        An answer that has begun is broken off; otherwise the caller gets one.
        """
        self.cut_reason = reason
        self._drop()
        if self.has_begun:
            self.abort()
        else:
            self.on_cut()

    def _drop(self) -> None:
        self._pending.clear()
        self._pending_bytes = 0

    async def answer(self, status: int, headers: HTTPHeaders, text: str) -> None:
        """Send an answer of the gateway itself; ignore a caller that disconnected."""
        with contextlib.suppress(StreamClosedError):
            self.send_answer(status, headers, text)

    def send_answer(self, status: int, headers: HTTPHeaders, text: str) -> None:
        """Send an answer of the gateway itself at once.

        Raises
        ------
        StreamClosedError
            If the connection is closed.
        """
        body = (text + "\n").encode()
        headers["Content-Type"] = "text/plain"
        headers["Content-Length"] = str(len(body))
        self._send_head(status, REASON_PHRASES.get(status, "Unknown"), headers)
        self._connection.send_data(body)
        self.finish()


def _ignore() -> None:
    """Do nothing."""
