"""A model engine in a process of its own, whose streams run in passes.

Each pass takes the time of its cost model, with the context of all its streams, and
sends one event to each. The path says how many events a stream has, and by how many
bytes each is longer. Its first line on standard output is its port.
"""

import asyncio
import sys

from tests.platform.fleet import RUNTIME
from tests.platform.standins import (
    HOST,
    answer_bytes,
    chunk,
    echo_headers,
    event,
    read_request,
)

CONTEXT_MS_PER_THOUSAND = 0.01
COSTS = RUNTIME | {"context_per_k": CONTEXT_MS_PER_THOUSAND}
EVENTS = ("Content-Type", "text/event-stream")
CHUNKED = ("Transfer-Encoding", "chunked")


class Engine:
    """Runs all its streams in common passes.

    Parameters
    ----------
    slowness : float
        Factor by which its passes take longer than by its costs.
    """

    def __init__(self, slowness):
        self.slowness = slowness
        self.contexts = {}
        self.passed = asyncio.Event()

    def pass_s(self):
        context_ms = CONTEXT_MS_PER_THOUSAND * sum(self.contexts.values()) / 1000
        step_ms = COSTS["step_ms"] + context_ms
        return self.slowness * COSTS["step_count"] * step_ms / 1000

    async def run(self):
        loop = asyncio.get_running_loop()
        ends_s = loop.time()
        while True:
            ends_s += self.pass_s()
            await asyncio.sleep(ends_s - loop.time())
            self.passed.set()
            self.passed = asyncio.Event()

    async def connected(self, reader, writer):
        try:
            received = await read_request(reader)
            if received is None:
                return
            work = asyncio.ensure_future(self.stream(received, writer))
            gone = asyncio.ensure_future(reader.read(1))
            await asyncio.wait({work, gone}, return_when="FIRST_COMPLETED")
            work.cancel()
            gone.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)
        finally:
            writer.close()

    async def stream(self, received, writer):
        count, more_bytes = map(int, (*received.path.split("/")[2:], 0)[:2])
        more = b"data: " + b"x" * more_bytes + b"\n\n"
        prompt_tokens = int(received.headers["x-token-count"].split(",")[0])
        self.contexts[writer] = prompt_tokens
        try:
            headers = [*echo_headers(received), EVENTS, CHUNKED]
            writer.write(answer_bytes(200, headers, length=False))
            for number in range(1, count + 1):
                await self.passed.wait()
                one = event(number)
                writer.write(chunk(one[:-1] + more if more_bytes else one))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            del self.contexts[writer]


async def main(engine):
    """Serve connections until the process is ended."""
    server = await asyncio.start_server(engine.connected, HOST, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await engine.run()


if __name__ == "__main__":
    asyncio.run(main(Engine(float(sys.argv[1]))))
