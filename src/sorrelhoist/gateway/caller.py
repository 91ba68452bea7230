"""The caller's side of an exchange."""

import contextlib

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine
from tornado.iostream import StreamClosedError

from .upstream import AnswerHead

REASONS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    422: "Unprocessable Content",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerConnection:
    """Sends one answer over a connection of tornado's server.

    Parameters
    ----------
    connection : tornado.http1connection.HTTP1Connection
    """

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self.has_begun = False
        self.closes_after = False

    async def begin(self, head: AnswerHead, headers: HTTPHeaders) -> None:
        """Send status and headers."""
        self.has_begun = True
        if self.closes_after:
            headers["Connection"] = "close"
        line = ResponseStartLine("HTTP/1.1", head.status, head.reason)
        await self._connection.write_headers(line, headers)

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._connection.write(data)

    def finish(self) -> None:
        """End the answer properly."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection, so that a begun answer doesn't look whole."""
        stream = self._connection.stream
        if stream is not None:
            stream.close()

    async def answer(self, status: int, headers: HTTPHeaders, text: str) -> None:
        """Send an answer of our own; a caller that has gone doesn't matter."""
        body = (text + "\n").encode()
        headers["Content-Type"] = "text/plain"
        headers["Content-Length"] = str(len(body))
        head = AnswerHead(status, REASONS.get(status, "Unknown"), headers)
        with contextlib.suppress(StreamClosedError):
            await self.begin(head, headers)
            await self.write(body)
            self.finish()
