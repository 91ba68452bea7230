"""SIGTERM: is a request that is passed on later than 3 s after it answered whole?"""

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

TOKENS = ["X-Model: m", "X-Token-Count: 1000,4000"]
SENT_AFTER_S = 3.2


def settings():
    found = configuration()
    found["routes"] = [
        route("draft", "llm", "streaming", timeout_ms=10000, gap_target_ms=250),
        route("look", "app", "idempotent", timeout_ms=10000, goal_ms=5000),
    ]
    found["backends"][1]["runtime"] = engine_runtime(8)
    return found


async def main(world):
    await world.put("keyed.op", "config", settings())
    world.worker("i-app-1", "app", "--work-ms", 4500)
    for number in (1, 2):
        options = ["--stream", "--events", 4, "--long-events", 117, "--pause-ms", 45]
        world.worker(f"i-llm-{number}", "llm", *options)
    gateway = await world.gateway()
    await asyncio.sleep(1.0)

    def draft(path, kept=None):
        return gateway.call(world, path, 10000, extra=TOKENS, kept=kept)

    kept = await asyncio.open_connection(gateway.ip, gateway.front)
    # Nearly all answers are short, although their clients allow up to 4,000 tokens.
    for _ in range(20):
        earlier = await asyncio.gather(*(draft("/draft/short") for _ in range(8)))
        if not all(one["is_whole"] for one in earlier):
            raise CannotRun("a request was not answered before the stop")
    if not (await draft("/draft/short", kept))["is_whole"]:
        raise CannotRun("the kept connection doesn't work")
    # Work of another route that is running when the stop begins, and ends in time.
    other = asyncio.ensure_future(gateway.call(world, "/look/1", 10000, "GET", body=b""))
    await asyncio.sleep(0.2)
    began_s = time.monotonic()
    if IS_TROUBLE:
        world.note(what="SIGTERM")
        gateway.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(SENT_AFTER_S)
    late = await draft("/draft/long", kept)
    ended_s = time.monotonic() - began_s
    others = await other
    runs = [
        line for line in world.record_path.read_text().splitlines()
        if late["id"] in line and '"runs"' in line
    ]
    is_lost = bool(runs) and not late["is_whole"]
    world.note(
        what="result",
        sent_after_s=SENT_AFTER_S,
        ended_after_s=round(ended_s, 3),
        was_passed_on=bool(runs),
        status=late["status"],
        is_whole=late["is_whole"],
        other_is_whole=others["is_whole"],
    )
    print(
        f"sent {SENT_AFTER_S} s after the stop began, passed on: {bool(runs)}, "
        f"status {late['status']}, whole: {late['is_whole']}, "
        f"ended {ended_s:.2f} s after the stop began"
    )
    return BROKEN if is_lost else HELD


run(FOLDER, main)
