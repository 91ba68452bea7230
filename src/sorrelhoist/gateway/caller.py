"""HTTP answers to callers."""

import contextlib

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from .upstream import AnswerHead

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

    Parameters
    ----------
    connection : tornado.http1connection.HTTP1Connection
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self.has_begun = False
        self.should_close = False

    async def begin(self, head: AnswerHead, headers: HTTPHeaders) -> None:
        """Send the status and the headers."""
        self.has_begun = True
        if self.should_close:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        await self._connection.write_headers(line, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.write(data)

    def finish(self) -> None:
        """Complete the answer."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that a truncated answer doesn't look complete."""
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    async def answer(self, status: int, headers: HTTPHeaders, text: str) -> None:
        """Send an answer of the gateway itself; ignore a caller that disconnected."""
        body = (text + "\n").encode()
        headers["Content-Type"] = "text/plain"
        headers["Content-Length"] = str(len(body))
        head = AnswerHead(status, REASON_PHRASES.get(status, "Unknown"), headers)
        with contextlib.suppress(StreamClosedError):
            await self.begin(head, headers)
            await self.write(body)
            self.finish()
