"""A model engine in a process of its own that reads prompts between its passes.

Prompts take turns, a piece of one between two passes, so that the first event of a long
one is the later the more streams run and the more prompts are read beside it. What a
prompt's helpers read isn't its own work.
"""

import asyncio
import collections
import sys

import attrs

from tests.platform.paced_engine import COSTS, Engine, main

PIECE_MS = 60.0


@attrs.define(eq=False)
class Reading:
    """A prompt, or a part of one, that an engine reads."""

    left_ms: float
    ended: asyncio.Event = attrs.field(factory=asyncio.Event)


class ReadingEngine(Engine):
    """Runs all its streams in common passes, and reads prompts between them."""

    def __init__(self, slowness):
        super().__init__(slowness)
        self.readings = collections.deque()

    async def run(self):
        loop = asyncio.get_running_loop()
        ends_s = loop.time()
        while True:
            reading = self.readings[0] if self.readings else None
            if self.contexts or reading is None:
                ends_s += self.pass_s()
            if reading is not None:
                piece_ms = min(PIECE_MS, reading.left_ms)
                reading.left_ms -= piece_ms
                ends_s += self.slowness * piece_ms / 1000
                self.readings.rotate(-1)
            await asyncio.sleep(ends_s - loop.time())
            if reading is not None and reading.left_ms <= 0.0:
                self.readings.remove(reading)
                reading.ended.set()
            self.passed.set()
            self.passed = asyncio.Event()

    async def read(self, read_ms):
        reading = Reading(read_ms)
        self.readings.append(reading)
        try:
            await reading.ended.wait()
        finally:
            if reading in self.readings:
                self.readings.remove(reading)

    async def read_parts(self, part_ms, helpers):
        """Read a prompt, of which others may read parts."""
        await self.read(part_ms)

    async def stream(self, received, writer):
        tokens = int(received.headers["x-token-count"].split(",")[0])
        helpers = list(filter(None, received.headers.get("x-helpers", "").split(",")))
        pairs_ms = tokens * tokens / 2e6 * COSTS["pairs_per_m"]
        read_ms = tokens / COSTS["read_per_s"] * 1000 + pairs_ms
        await self.read_parts(read_ms / (1 + len(helpers)), helpers)
        await super().stream(received, writer)


if __name__ == "__main__":
    asyncio.run(main(ReadingEngine(float(sys.argv[1]))))
