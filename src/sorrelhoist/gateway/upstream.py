"""HTTP client for one request to one endpoint over a dedicated connection.

A connection serves only one request, so that bytes which an endpoint sends after its
answer can't be mistaken for the answer to another request.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs
import h11
from tornado.httputil import HTTPHeaders, HTTPInputError
from tornado.iostream import StreamClosedError

from ..clients.fair_stream import FairStream
from ..decisions.forwarding import Broken, Failure, NotSent

MAX_CONNECT_TIMEOUT_S = 0.5
"""Many times the delay between failure domains; a host without power never answers."""

MIN_CONNECT_TIMEOUT_S = 0.1
"""Lower bound: several times the delay between failure domains."""

CONNECT_OBJECTIVE_SHARE = 0.5
"""Fraction of a request's latency objective after which a connection is given up, so
that another endpoint can still meet the objective."""

REACH_TIMEOUT_S = 0.3
"""A live endpoint in any failure domain accepts a connection within this time."""

READ_BYTES = 16_384
"""Bytes of one read, whose events are processed without a turn for others."""

MAX_HEAD_BYTES = 65_536
"""Bound of a head, a chunk's header or a trailer that is not complete."""

MAX_EXCESS_BYTES = 256 * 1024
"""Bytes by which heads and chunk headers may exceed the content of an answer. A chunk
of one byte takes six: an answer of such chunks costs a gateway as much as thousands of
others."""

MAX_COPIED_BYTES = 65_536
"""Size of a request's body up to which it is sent in one piece with its head."""

MAX_INFORMATIONAL_HEADS = 8
"""Heads with a status of 1xx before an answer; engines send none or one."""

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Longest answer that is not a stream: four times the longest request."""

USER_TIMEOUT_MS = 3_000
"""TCP closes a connection whose sent data is unacknowledged for this long."""

EVENT_STREAM = "text/event-stream"

STATUSES_WITHOUT_CONTENT = (204, 304)
"""Statuses of answers that end with their head (RFC 9110)."""


class EndpointStream(FairStream):
    """Reads on after a failed write.

    An endpoint may answer and close its connection before it has read the request. The
    reset fails the next write, while the answer can still be read.
    """

    write_error: ConnectionError | None = None
    """Why the endpoint takes nothing more."""

    sent_bytes = 0
    """Bytes that the kernel has taken."""

    def write_to_fd(self, data: memoryview) -> int:
        """Write what the connection takes; drop what it never will."""
        if self.write_error is None:
            try:
                size = super().write_to_fd(data)
            except ConnectionError as error:
                # Its traceback would hold the data.
                self.write_error = error.with_traceback(None)
            else:
                self.sent_bytes += size
                return size
        return len(data)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived; the end after a reset is that of no whole answer."""
        size = super().read_from_fd(buf)
        if size == 0 and self.write_error is not None:
            raise self.write_error
        return size


class ExchangeError(Exception):
    """An exchange ended without a complete answer.

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

    @property
    def is_framed(self) -> bool:
        """Whether the answer says where it ends, other than by its connection."""
        return "Content-Length" in self.headers or "Transfer-Encoding" in self.headers

    def has_content(self, method: str) -> bool:
        """Whether a body follows, by the status and the method of the request."""
        return method != "HEAD" and self.status not in STATUSES_WITHOUT_CONTENT

    @property
    def may_be_stream(self) -> bool:
        """Whether the answer is a success with events, or doesn't say what it holds."""
        media_type = self.headers.get("Content-Type", EVENT_STREAM).partition(";")[0]
        return self.status == 200 and media_type.strip().lower() == EVENT_STREAM


@attrs.define(eq=False, repr=False)
class Upstream:
    """An open connection to an endpoint, for one request and its answer.

    Parameters
    ----------
    stream : EndpointStream
    """

    stream: EndpointStream
    _protocol: h11.Connection = attrs.field(init=False)
    _excess_bytes: int = attrs.field(init=False, default=0)
    """Bytes received besides content, less those of content."""

    def __attrs_post_init__(self) -> None:
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    async def send(
        self, method: str, path: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Start sending a request; the answer may arrive before all of it is sent.

        Raises
        ------
        ExchangeError
            If nothing of it was sent.
        """
        fields = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        try:
            data = self._protocol.send(
                h11.Request(method=method, target=path, headers=fields)
            )
            content = self._protocol.send(h11.Data(body)) or b"" if body else b""
            end = self._protocol.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError as error:
            raise ExchangeError(NotSent(f"can't be forwarded: {error}")) from error
        if len(content) < MAX_COPIED_BYTES:
            self._write(data + content + end)
        else:
            # Large bodies are not copied: while the endpoint reads slowly, the stream
            # refers to the body of the request.
            self._write(data)
            self._write(content)
            if end:
                self._write(end)
        reason = self.stream.write_error
        if reason is not None and not self.stream.sent_bytes:
            raise ExchangeError(NotSent(f"reset before it was sent: {reason}"))

    def _write(self, data: bytes) -> None:
        # Write errors are ignored: a closed connection shows when the answer is read.
        with contextlib.suppress(StreamClosedError):
            write = self.stream.write(data)
            write.add_done_callback(lambda done: done.exception())

    async def head(self) -> AnswerHead:
        """Read the status and the headers.

        Raises
        ------
        ExchangeError
            If the endpoint sent none, or one over the bounds.
        """
        event = await self._next()
        for _ in range(MAX_INFORMATIONAL_HEADS):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await self._next()
        if not isinstance(event, h11.Response):
            raise ExchangeError(Broken(f"no answer but {type(event).__name__}"))
        headers = HTTPHeaders()
        try:
            for name, value in event.headers.raw_items():
                headers.add(name.decode("latin-1"), value.decode("latin-1"))
        except HTTPInputError as error:
            raise ExchangeError(Broken(f"garbled: {error}")) from error
        return AnswerHead(event.status_code, event.reason.decode("latin-1"), headers)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; iteration ends only after a complete answer.

        Raises
        ------
        ExchangeError
            If the body is truncated or malformed.
        """
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                self._excess_bytes -= 2 * len(event.data)
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise ExchangeError(Broken(f"{type(event).__name__} in a body"))

    async def body(self, on_size: Callable[[int], None] = lambda size: None) -> bytes:
        """Read the complete body.

        Parameters
        ----------
        on_size : callable
            Called with the number of bytes read so far, after each read.

        Raises
        ------
        ExchangeError
            If the body is truncated, malformed or over `MAX_ANSWER_BYTES`.
        """
        # One buffer: an object for each of many small chunks takes far more memory than
        # its content.
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                raise ExchangeError(Broken(f"a body over {MAX_ANSWER_BYTES} bytes"))
            on_size(len(body))
        return bytes(body)

    async def _next(self) -> object:
        while True:
            # One read may hold thousands of chunks.
            if self.stream.is_turn_over:
                await self.stream.rest()
            try:
                event = self._protocol.next_event()
            except h11.RemoteProtocolError as error:
                raise ExchangeError(Broken(f"garbled: {error}")) from error
            if event is not h11.NEED_DATA:
                return event
            if self._excess_bytes > MAX_EXCESS_BYTES:
                raise ExchangeError(Broken("far more framing than content"))
            data = await self._read()
            self._excess_bytes += len(data)
            self._protocol.receive_data(data)

    async def _read(self) -> bytes:
        try:
            return await self.stream.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError as error:
            if self.stream.error is not None:
                detail = f"reset: {self.stream.error}"
                raise ExchangeError(Broken(detail)) from error
            return b""  # end of connection: h11 checks whether the answer is complete


def connect_timeout_s(objective_s: float) -> float:
    """Return how long to wait for a connection, for a latency objective.

    The load pattern is an endpoint that loses power: until a connection to it has timed
    out it looks idle, and attracts requests.
    """
    share_s = objective_s * CONNECT_OBJECTIVE_SHARE
    return min(max(share_s, MIN_CONNECT_TIMEOUT_S), MAX_CONNECT_TIMEOUT_S)


@asynccontextmanager
async def connected(address: str, timeout_s: float) -> AsyncIterator[Upstream]:
    """Connect to an endpoint, and close the connection on exit.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    timeout_s : float
        Longest wait for the connection.

    Raises
    ------
    ExchangeError
        If the connection can't be established.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:  # no descriptors left
        raise ExchangeError(NotSent(f"no socket: {error}")) from error
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    stream = EndpointStream(connection)
    try:
        try:
            async with asyncio.timeout(min(timeout_s, MAX_CONNECT_TIMEOUT_S)):
                await stream.connect((host, int(port)))
        except (OSError, ValueError, StreamClosedError, TimeoutError) as error:
            raise ExchangeError(NotSent(f"no connection: {error!r}")) from error
        yield Upstream(stream)
    finally:
        stream.close()


async def refuses_connections(address: str) -> bool:
    """Return whether the host of an endpoint says that no process listens there.

    A timeout doesn't say so: it may come from a host without power, a full accept
    queue, or a busy event loop here.
    """
    try:
        async with connected(address, REACH_TIMEOUT_S):
            return False
    except ExchangeError as error:
        cause = error.__cause__
        if isinstance(cause, StreamClosedError):
            cause = cause.real_error
        return isinstance(cause, ConnectionRefusedError)


async def is_reachable(address: str) -> bool:
    """Return whether an endpoint accepts a connection."""
    try:
        async with connected(address, REACH_TIMEOUT_S):
            return True
    except ExchangeError:
        return False
