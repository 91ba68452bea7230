"""SIGTERM: does a stream whose worker is silent for 1.3 s end whole?"""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world import (  # noqa: E402
    BROKEN,
    HELD,
    IS_TROUBLE,
    CannotRun,
    configuration,
    engine_runtime,
    route,
    run,
)

TOKENS = ["X-Model: m", "X-Token-Count: 5000,1300"]
CAPACITY = 2


def settings():
    found = configuration()
    stream = {"timeout_ms": 10000, "gap_target_ms": 250, "resumable": True}
    found["routes"] = [route("draft", "llm", "streaming", **stream)]
    found["backends"][1]["runtime"] = engine_runtime(CAPACITY)
    return found


async def main(world):
    await world.put("keyed.op", "config", settings())
    for number in (1, 2):
        options = ["--stream", "--capacity", CAPACITY, "--events", 20]
        options += ["--pause-ms", 45, "--long-events", 165, "--silent-ms", 1300]
        world.worker(f"i-llm-{number}", "llm", *options)
    gateway = await world.gateway()

    def draft(path):
        return gateway.call(world, path, 10000, extra=TOKENS)

    for _ in range(10):
        earlier = await asyncio.gather(*(draft("/draft/short") for _ in range(2)))
        if not all(one["is_whole"] for one in earlier):
            raise CannotRun("a request was not answered before the stop")
    # Three of the four slots are taken by other streams, the last by the one in question.
    others = [asyncio.ensure_future(draft("/draft/long")) for _ in range(3)]
    await asyncio.sleep(0.3)
    stream = asyncio.ensure_future(draft("/draft/silent"))
    await asyncio.sleep(0.1)
    if IS_TROUBLE:
        world.note(what="SIGTERM")
        gateway.process.send_signal(signal.SIGTERM)
    began_s = time.monotonic()
    found = await stream
    ended_s = time.monotonic() - began_s
    for other in others:
        await other
    runs = [
        line
        for line in world.record_path.read_text().splitlines()
        if found["id"] in line and '"runs"' in line
    ]
    world.note(
        what="result",
        workers=len(runs),
        ended_after_s=round(ended_s, 3),
        status=found["status"],
        is_whole=found["is_whole"],
    )
    print(
        f"passed on to {len(runs)} workers, status {found['status']}, "
        f"whole: {found['is_whole']}, ended {ended_s:.2f} s after the stop began"
    )
    return BROKEN if IS_TROUBLE and runs and not found["is_whole"] else HELD


run(FOLDER, main)
