"""A connected socket in the event loop: data is passed on as it arrives."""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Callable

from tornado.iostream import StreamClosedError

READ_BYTES = 65_536
"""Bytes of one read."""

MAX_READS = 4
"""Reads of one socket before others have their turn."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Makes the next close a reset. A client that takes the end of the connection for the
end of the answer would otherwise take a truncated answer for a complete one."""


class SocketStream:
    """Read a socket until it ends, and write to it without blocking.

    It costs less than `tornado.iostream.IOStream`, which creates a future for each read
    and tries to read before there is anything.

    Parameters
    ----------
    connection : socket.socket
    on_data : callable
        Called with the bytes of each read.
    on_close : callable
        Called once after the socket was closed, by either side.
    on_end : callable
        Called when the other side has ended its side in order: it sends nothing more,
        and may still read. The socket isn't read any more.
    """

    def __init__(
        self,
        connection: socket.socket,
        on_data: Callable[[bytes], None],
        on_close: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        connection.setblocking(False)
        self.socket = connection
        self._on_data = on_data
        self._on_close = on_close
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self._unsent: deque[memoryview] = deque()
        self._drained: asyncio.Future[None] | None = None
        self._is_reading = False
        self._is_closed = False

    def closed(self) -> bool:
        """Return whether the socket is closed."""
        return self._is_closed

    def fileno(self) -> int:
        """Return the descriptor of the socket."""
        return self.socket.fileno()

    # Reading

    def start(self) -> None:
        """Pass on what has arrived, which clients mostly send at once, and the rest."""
        self._on_readable()
        self.read()

    def read(self) -> None:
        """Pass on what arrives from now on."""
        if not (self._is_reading or self._is_closed):
            self._is_reading = True
            self._loop.add_reader(self.socket.fileno(), self._on_readable)

    def pause(self) -> None:
        """Stop reading; the end of the connection isn't noticed meanwhile."""
        if self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self.socket.fileno())

    def has_data(self) -> bool:
        """Return whether there is something to read, or the connection has ended."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def _on_readable(self) -> None:
        for _ in range(MAX_READS):
            try:
                data = self.socket.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.close()
                return
            if not data:
                self.pause()
                self._on_end()
                return
            self._on_data(data)
            if len(data) < READ_BYTES or not self._is_reading:
                return

    # Writing

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Write, or keep what the socket doesn't take now.

        Returns
        -------
        asyncio.Future or None
            Done when the socket has taken all; None if it has already.

        Raises
        ------
        StreamClosedError
            If the socket is closed.
        """
        if self._is_closed:
            raise StreamClosedError()
        unsent = memoryview(data)
        if not self._unsent:
            unsent = unsent[self._send(unsent) :]
            if not unsent:
                return None
            self._loop.add_writer(self.socket.fileno(), self._on_writable)
        self._unsent.append(unsent)
        if self._drained is None:
            self._drained = self._loop.create_future()
            self._drained.add_done_callback(_retrieve)
        return self._drained

    @property
    def unsent(self) -> asyncio.Future[None] | None:
        """Done when the socket has taken all that was written; None if it has."""
        return self._drained

    def _send(self, data: memoryview) -> int:
        """Send what the socket takes; return its size in bytes."""
        try:
            return self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as error:
            self.close()
            raise StreamClosedError(error) from error

    def _on_writable(self) -> None:
        try:
            while self._unsent:
                unsent = self._unsent[0]
                sent = self._send(unsent)
                if sent < len(unsent):
                    self._unsent[0] = unsent[sent:]
                    return
                self._unsent.popleft()
        except StreamClosedError:
            return  # Its future has the error.
        self._loop.remove_writer(self.socket.fileno())
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    # Closing

    def close(self, is_reset: bool = False) -> None:
        """Close the socket; repeated calls have no effect.

        Parameters
        ----------
        is_reset : bool
            Whether the other side must be able to tell this from an orderly end.
        """
        if self._is_closed:
            return
        self.pause()
        self._is_closed = True
        if self._unsent:
            self._loop.remove_writer(self.socket.fileno())
            self._unsent.clear()
        if is_reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.socket.close()
        if self._drained is not None and not self._drained.done():
            self._drained.set_exception(StreamClosedError())
        self._loop.call_soon(self._on_close)


def _retrieve(done: asyncio.Future[None]) -> None:
    """Mark the error of a write as seen: a closed socket shows elsewhere too."""
    if not done.cancelled():
        done.exception()
