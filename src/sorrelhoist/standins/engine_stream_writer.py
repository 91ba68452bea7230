"""Writes the lines of a stream of the stand-in engine to one reader."""

import json
from typing import Any

from tornado.iostream import StreamClosedError

from .engine import Engine
from .engine_stream import Stream
from .web import JsonHandler

MAX_LINE_TOKENS = 256


class StreamLineWriter:
    """Write one stream to one reader, as lines of JSON.

    Parameters
    ----------
    handler : JsonHandler
        Handler of the reader's request.
    engine : Engine
        Engine that runs the stream.
    stream : Stream
        Stream to write.
    position : int
        Sequence number of the first token to write.
    """

    def __init__(
        self, handler: JsonHandler, engine: Engine, stream: Stream, position: int
    ) -> None:
        self.handler = handler
        self.engine = engine
        self.core = engine.core
        self.stream = stream
        self.position = position
        self.held: bytes | None = None

    async def run(self) -> None:
        """Write until the stream ends or the reader disconnects."""
        self.handler.set_header("Content-Type", "application/x-ndjson")
        try:
            await self.handler.flush()
            while not await self._advance():
                pass
        except StreamClosedError:
            return

    async def _advance(self) -> bool:
        await self.engine.wait_until_unfrozen()
        if self.engine.core is not self.core:
            self.handler.cut()
            return True
        last = min(self.stream.next_sequence, self.position + MAX_LINE_TOKENS)
        if self.position < last:
            return await self._write_tokens(last)
        if self.stream.ended:
            await self._write_end()
            return True
        await self.engine.moved(self.stream)
        return False

    async def _write_tokens(self, last: int) -> bool:
        tokens = self.stream.tokens(self.position, last)
        line = _line(sequence=self.position, tokens=tokens)
        self.position = last
        faults = self.engine.faults
        if faults.reorder_lines > 0 and self.held is None:
            faults.reorder_lines -= 1
            self.held = line
            return False
        if faults.duplicate_lines > 0:
            faults.duplicate_lines -= 1
            line += line
        await self._write(line + (self.held or b""))
        self.held = None
        if faults.drop_streams > 0:
            faults.drop_streams -= 1
            self.handler.cut()
            return True
        return False

    async def _write_end(self) -> None:
        end = _line(
            end=True,
            total_tokens=self.stream.next_sequence,
            finish_reason=self.stream.finish_reason,
        )
        await self._write((self.held or b"") + end)
        self.handler.finish()

    async def _write(self, data: bytes) -> None:
        self.handler.write(data)
        await self.handler.flush()


def _line(**fields: Any) -> bytes:
    return json.dumps(fields).encode() + b"\n"
