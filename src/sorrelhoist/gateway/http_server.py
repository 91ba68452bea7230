"""An HTTP server on a listening socket."""

import asyncio
import contextlib
import errno
import logging
import socket
import sys
from collections.abc import Callable

from ..decisions.routes import CallerLimits
from .http_connection import HttpConnection, RequestDelegate

logger = logging.getLogger(__name__)

MAX_ACCEPTS = 64
"""Connections that are accepted before those that are open have their turn."""

ACCEPT_PAUSE_S = 0.1
"""Time until connections are accepted again after the process ran out of descriptors or
memory for them."""

MIN_EVICTABLE_IDLE_S = 1.0
"""Time without a request from which a connection is closed to make room for others. Its
client has nothing outstanding, and opens another one."""

EVICTED_SHARE = 0.125
"""Share of the connections that are closed at once, the longest idle ones."""

ACCEPT_LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines about this."""

CHECK_INTERVAL_S = 0.25
"""Interval at which the timeouts of all connections are checked."""

SO_BINDTOIFINDEX = 62
"""Socket option of Linux 5.0 and later (5.7 without privileges)."""

NO_INTERFACE = 0x7FFFFFFF
"""Number of a network interface that no host has."""

_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class HttpServer:
    """Accept connections and check their timeouts.

    Parameters
    ----------
    listener : socket.socket
        Non-blocking; closed by `stop`.
    delegate : RequestDelegate
    limits : callable
        Returns the limits that apply now.
    """

    def __init__(
        self,
        listener: socket.socket,
        delegate: RequestDelegate,
        limits: Callable[[], CallerLimits],
    ) -> None:
        self._listener = listener
        self._delegate = delegate
        self._limits = limits
        self._connections: set[HttpConnection] = set()
        self._resume: asyncio.TimerHandle | None = None
        self._check: asyncio.TimerHandle | None = None
        self._shortage_logged_s = float("-inf")
        self._is_listening = False

    def start(self) -> None:
        """Accept connections."""
        self._is_listening = True
        self._resume = None
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener.fileno(), self._on_acceptable)

    def refuse_connections(self) -> None:
        """Let new connections be refused; those being established are accepted still.

        A listener that is closed resets a connection that was established after the
        last accept. One that is bound to an interface without packets gets no new
        connections, while handshakes end on the interface where they began. Where the
        system can't do so, connections are accepted until `stop`.
        """
        if self._is_listening and sys.platform == "linux":
            with contextlib.suppress(OSError):
                self._listener.setsockopt(
                    socket.SOL_SOCKET, SO_BINDTOIFINDEX, NO_INTERFACE
                )

    def stop(self) -> None:
        """Accept the connections that wait, and stop listening.

        Connections in the accept queue would be reset otherwise, and their requests
        with them.
        """
        if not self._is_listening:
            return
        self._is_listening = False
        if self._resume is not None:
            self._resume.cancel()
        asyncio.get_running_loop().remove_reader(self._listener.fileno())
        while self._accept() is None:
            pass
        self._listener.close()

    def refuse_unread(self) -> None:
        """Refuse the requests that were not read to their end."""
        for connection in list(self._connections):
            connection.refuse_unread()

    async def close_all_connections(self) -> None:
        """Close all connections, and wait until their requests know."""
        if self._check is not None:
            self._check.cancel()
        while self._connections:
            for connection in list(self._connections):
                connection.cut()
            await asyncio.sleep(0)

    def _on_acceptable(self) -> None:
        for _ in range(MAX_ACCEPTS):
            error = self._accept()
            if error is None:
                continue
            if error.errno not in _SHORTAGES:
                return
            if not self._evict_idle():
                self._pause(error)
                return

    def _accept(self) -> OSError | None:
        """Accept one connection; return why there is none."""
        try:
            connection, _ = self._listener.accept()
        except ConnectionAbortedError:
            return None
        except OSError as error:
            return error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened = HttpConnection(
            connection, self._delegate, self._limits, self._connections.discard
        )
        self._connections.add(opened)
        opened.start()
        if self._check is None:
            self._check_later()
        return None

    def _evict_idle(self) -> bool:
        """Close the connections that have been idle longest; return whether any was."""
        now_s = asyncio.get_running_loop().time()
        idle = sorted(
            (idle_s, number, connection)
            for number, connection in enumerate(self._connections)
            if (idle_s := connection.idle_s(now_s)) >= MIN_EVICTABLE_IDLE_S
        )
        count = max(1, int(len(self._connections) * EVICTED_SHARE))
        for _, _, connection in idle[-count:]:
            connection.abort()
        return bool(idle)

    def _pause(self, error: OSError) -> None:
        """Accept no connections for a while: an event loop would spin otherwise."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        self._resume = loop.call_later(ACCEPT_PAUSE_S, self.start)
        now_s = loop.time()
        if now_s - self._shortage_logged_s >= ACCEPT_LOG_INTERVAL_S:
            self._shortage_logged_s = now_s
            logger.error(
                "connections can't be accepted",
                extra={
                    "event": "accept_failed",
                    "reason": str(error),
                    "connections": len(self._connections),
                    "pause_s": ACCEPT_PAUSE_S,
                },
            )

    def _check_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._check = loop.call_later(CHECK_INTERVAL_S, self._check_times)

    def _check_times(self) -> None:
        self._check = None
        if self._connections:
            self._check_later()
        now_s = asyncio.get_running_loop().time()
        for connection in list(self._connections):
            connection.check_time(now_s)


def serve(
    delegate: RequestDelegate,
    listener: socket.socket,
    limits: Callable[[], CallerLimits],
) -> HttpServer:
    """Start an HTTP server on a listening socket."""
    server = HttpServer(listener, delegate, limits)
    server.start()
    return server
