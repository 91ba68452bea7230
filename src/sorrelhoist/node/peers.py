"""Calls between processes: framed envelopes over TCP, multiplexed on connections."""

import asyncio
import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..clients.fair_stream import FairTCPClient, take_over
from ..exceptions import PeerError
from ..messages.frames import (
    LENGTH_PREFIX_BYTES,
    MAX_FRAME_BYTES,
    Message,
    decode,
    frame,
    frame_length,
)

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 5.0
# A peer that has not accepted a message after this time counts as frozen.
SEND_TIMEOUT_S = 5.0
# Replies buffered for one call; a slow consumer that exceeds it loses the connection.
MAX_BUFFERED_REPLIES = 65536


@attrs.frozen
class PeerAddress:
    """Address on which a process accepts calls from peers.

    Parameters
    ----------
    address : str
        IP address.
    port : int
    """

    address: str
    port: int

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class Responder(Protocol):
    """Sender of the replies to one call."""

    async def send(self, body: object) -> None:
        """Send one reply; a call may have several."""


Handler = Callable[[object, Responder], Awaitable[None]]


async def _read_message(stream: IOStream) -> Message:
    prefix = await stream.read_bytes(LENGTH_PREFIX_BYTES)
    data = await stream.read_bytes(frame_length(prefix))
    return decode(data)


@attrs.define
class _ServerCall:
    stream: IOStream
    call_id: int

    async def send(self, body: object) -> None:
        try:
            await self.stream.write(frame(Message(self.call_id, body)))
        except StreamClosedError as error:
            raise PeerError("The caller has gone.") from error


class PeerServer(TCPServer):
    """TCP server for calls from peers.

    Parameters
    ----------
    handler : callable
        ``await handler(body, responder)`` runs for each call. When a connection
        closes, the handlers of the calls received on it are cancelled.
    """

    def __init__(self, handler: Handler) -> None:
        super().__init__(max_buffer_size=2 * MAX_FRAME_BYTES)
        self._handler = handler
        self._streams: set[IOStream] = set()

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        """Serve one connection until it closes."""
        stream = take_over(stream)
        stream.set_nodelay(True)
        self._streams.add(stream)
        calls: set[asyncio.Task] = set()
        try:
            while True:
                message = await _read_message(stream)
                call = _ServerCall(stream, message.call_id)
                task = asyncio.ensure_future(self._serve(message.body, call))
                calls.add(task)
                task.add_done_callback(calls.discard)
        except StreamClosedError:
            pass
        except PeerError as error:
            logger.warning(
                "peer connection closed after a protocol error",
                extra={"error": str(error)},
            )
        finally:
            stream.close()
            self._streams.discard(stream)
            for task in calls:
                task.cancel()

    async def _serve(self, body: object, call: _ServerCall) -> None:
        try:
            await self._handler(body, call)
        except (PeerError, StreamClosedError):
            pass
        except Exception:
            logger.exception(
                "handler of a peer call failed; closing the connection",
                extra={"body": type(body).__name__},
            )
            call.stream.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for stream in list(self._streams):
            stream.close()


class PeerConnection:
    """One connection to a peer, multiplexing concurrent calls by their call id."""

    def __init__(self, stream: IOStream, address: PeerAddress) -> None:
        self._stream = stream
        self._address = address
        self._next_call_id = 1
        self._replies: dict[int, asyncio.Queue] = {}
        self._reader = asyncio.ensure_future(self._receive_replies())

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""
        return self._stream.closed()

    async def _receive_replies(self) -> None:
        try:
            while True:
                message = await _read_message(self._stream)
                queue = self._replies.get(message.call_id)
                if queue is not None:
                    queue.put_nowait(message.body)
        except (StreamClosedError, PeerError, asyncio.QueueFull) as error:
            logger.info(
                "peer connection closed",
                extra={"peer": str(self._address), "error": repr(error)},
            )
        finally:
            self._stream.close()
            for queue in self._replies.values():
                self._mark_closed(queue)

    def _mark_closed(self, queue: asyncio.Queue) -> None:
        if queue.full():
            queue.get_nowait()
        queue.put_nowait(None)

    @asynccontextmanager
    async def open(self, body: object) -> AsyncIterator[Callable[[], Awaitable]]:
        """Start a call that may have several replies.

        Parameters
        ----------
        body : object
            The request.

        Yields
        ------
        callable
            ``await receive()`` returns the next reply.

        Raises
        ------
        PeerError
            From ``receive`` when the connection is lost; from `open` when it is lost or
            the peer accepts the request too slowly.
        """
        call_id = self._next_call_id
        self._next_call_id += 1
        queue: asyncio.Queue = asyncio.Queue(MAX_BUFFERED_REPLIES)
        self._replies[call_id] = queue

        async def receive() -> object:
            reply = await queue.get()
            if reply is None:
                raise PeerError(f"The connection to {self._address} was lost.")
            return reply

        try:
            await self._send(Message(call_id, body))
            yield receive
        finally:
            del self._replies[call_id]

    async def _send(self, message: Message) -> None:
        try:
            pending_write = self._stream.write(frame(message))
            # `wait` does not cancel the write on time-out; closing the stream ends it.
            done, _ = await asyncio.wait([pending_write], timeout=SEND_TIMEOUT_S)
            if not done:
                self._stream.close()
                raise PeerError(f"{self._address} took no message in time.")
            await pending_write
        except StreamClosedError as error:
            raise PeerError(f"The connection to {self._address} was lost.") from error

    def close(self) -> None:
        """Close the connection; its pending calls fail with `PeerError`."""
        self._stream.close()
        self._reader.cancel()


class PeerPool:
    """Pool of connections to peers, one for each address, opened on first use."""

    def __init__(self) -> None:
        self._client = FairTCPClient()
        self._connections: dict[PeerAddress, PeerConnection] = {}
        self._opening: dict[PeerAddress, asyncio.Task] = {}

    async def _connect(self, address: PeerAddress) -> PeerConnection:
        try:
            stream = await self._client.connect(
                address.address,
                address.port,
                timeout=CONNECT_TIMEOUT_S,
                max_buffer_size=2 * MAX_FRAME_BYTES,
            )
        except (TimeoutError, OSError, StreamClosedError) as error:
            raise PeerError(f"Can't connect to {address}: {error}.") from error
        stream.set_nodelay(True)
        connection = PeerConnection(stream, address)
        self._connections[address] = connection
        return connection

    async def connection(self, address: PeerAddress) -> PeerConnection:
        """Return an open connection to a peer; connect if there is none.

        Raises
        ------
        PeerError
            If the peer can't be reached.
        """
        connection = self._connections.get(address)
        if connection is not None and not connection.closed:
            return connection
        task = self._opening.get(address)
        if task is None:
            task = asyncio.ensure_future(self._connect(address))
            self._opening[address] = task
            task.add_done_callback(lambda _: self._opening.pop(address, None))
        return await asyncio.shield(task)

    @asynccontextmanager
    async def open(
        self, address: PeerAddress, body: object
    ) -> AsyncIterator[Callable[[], Awaitable]]:
        """Start a call that may have several replies; see `PeerConnection.open`."""
        connection = await self.connection(address)
        async with connection.open(body) as receive:
            yield receive

    async def call(
        self, address: PeerAddress, body: object, timeout_s: float = CALL_TIMEOUT_S
    ) -> object:
        """Make a call and return its only reply.

        Raises
        ------
        PeerError
            If the peer can't be reached or does not answer within `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s), self.open(address, body) as receive:
                return await receive()
        except TimeoutError as error:
            raise PeerError(f"{address} did not answer in {timeout_s} s.") from error

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections.values():
            connection.close()
        self._connections.clear()
