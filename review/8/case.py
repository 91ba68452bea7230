"""A heartbeat that the store executes late brings a leaving worker back into use."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from world2 import CantRun, call, configuration, run  # noqa: E402

DRAIN_S = 2.0
LATE_S = 4.0
CALLS_PER_S = 20
WORK_MS, LATE_WORK_MS = 300, 2000


async def main(world):
    world.store.put("keyed.op", "config", configuration())
    for number in range(1, 7):
        await world.worker(f"i-app{number}", "app")
    leaving = world.workers[0]
    gateway = await world.gateway("g1")
    await gateway.wait_ready()
    replies = []
    stop = asyncio.Event()
    work_ms = [WORK_MS]

    async def client(number):
        await asyncio.sleep(number / CALLS_PER_S)
        while not stop.is_set():
            path = f"/once/a?ms={work_ms[0]}"
            replies.append(await call(gateway.ip, gateway.front, "POST", path, b"x"))
            await asyncio.sleep(0.5)

    clients = [asyncio.ensure_future(client(number)) for number in range(CALLS_PER_S)]
    await asyncio.sleep(2.0)
    # The heartbeat is sent before the worker begins to leave. It gets no answer, and
    # the store executes it some seconds later.
    late = leaving.entry()
    leaving.beats = False
    await asyncio.sleep(0.3)
    await leaving.control(leaving=True)
    world.note(f"{leaving.name} says Server-Leaving in all answers")
    await asyncio.sleep(0.5)
    world.store.put("keyed.servers", leaving.name, None)
    world.note("its entry is removed; it never reports draining")
    await asyncio.sleep(LATE_S - 0.8)
    work_ms[0] = LATE_WORK_MS
    if world.has_trouble:
        world.store.put("keyed.servers", leaving.name, late)
        world.note("the store executes the heartbeat that it got before")
    await asyncio.sleep(1.4)
    leaving.kill()
    world.note(f"{leaving.name} ends")
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*clients)
    told = [one for one in replies if one.headers.get("server-leaving") == "1"]
    if not told:
        raise CantRun("no answer said Server-Leaving")
    told_s = min(one.ended_s for one in told)
    runs = {one["attempt"]: one for one in world.runs() if one["event"] == "runs"}
    late_ones = [
        one
        for one in replies
        if one.sent_s > told_s + DRAIN_S
        and runs.get(one.attempt, {}).get("worker") == leaving.name
    ]
    for one in late_ones:
        is_lost = "" if one.status == 200 else "  LOST"
        after_s = one.sent_s - told_s
        world.note(f"BROKEN: sent {after_s:.2f} s after g1 was told: {one}{is_lost}")
    statuses = sorted({one.status for one in replies})
    world.note(f"{len(replies)} requests, statuses {statuses}")
    return not late_ones


run(HERE, main)
