"""Network fault injection: a loopback TCP proxy that delays, cuts or stalls."""

import asyncio
import contextlib

import attrs

from tests.platform.standins import READ_BYTES, reset

HOST = "127.0.0.1"
DELAY_S = 0.15
"""Longer than any network delay between failure domains."""


@attrs.define(eq=False)
class Proxy:
    """Forwards connections to one local port, with an optional fault.

    ``mode`` is one of pass, delay, reset, silent, one_way (forwards only towards the
    target) and dark (connections are accepted and nothing is read).
    """

    target_port: int
    port: int = 0
    mode: str = "pass"
    _server: object = None
    _writers: set = attrs.field(factory=set)

    async def start(self):
        self._server = await asyncio.start_server(self._connected, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def set_mode(self, mode):
        """Change the mode; ``reset`` also resets the open connections."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._writers):
                reset(writer)

    async def _connected(self, reader, writer):
        if self.mode == "reset":
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target_port
            )
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._pump(reader, target_writer, ("silent", "dark")),
                self._pump(target_reader, writer, ("silent", "dark", "one_way")),
            )
        except (OSError, asyncio.CancelledError):
            reset(writer)
        finally:
            self._writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _pump(self, reader, writer, stalling_modes):
        while data := await reader.read(READ_BYTES):
            while self.mode in stalling_modes:
                await asyncio.sleep(0.02)
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()
