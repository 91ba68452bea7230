"""One answer without end: do the gateway's other requests still get theirs?"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from world import BROKEN, HELD, IS_TROUBLE, CannotRun, configuration, run  # noqa: E402

TIMEOUT_S = 3.0  # of the routes, in the configuration
SLACK_S = 0.5  # of the rule
CLIENT_WAITS_MS = 8000
SOUND_STREAMS = 96
REQUESTS = 20


async def main(world):
    await world.put("keyed.op", "config", configuration())
    world.worker("i-app-1", "app")
    world.worker("i-app-2", "app")
    sound = ["--stream", "--events", 4]
    spoil = ["--block", "\\n", "--chunked", 1, "--spoil", 1, "--prefix", "/draft/spoil/"]
    world.worker("i-llm-1", "llm", *sound, *(spoil if IS_TROUBLE else ()))
    world.worker("i-llm-2", "llm", *sound)
    gateway = await world.gateway()
    await asyncio.sleep(1.0)

    def draft(path):
        return gateway.call(world, path, CLIENT_WAITS_MS)

    for number in range(SOUND_STREAMS // 8):
        earlier = await asyncio.gather(*(draft(f"/draft/{number}") for _ in range(8)))
        if not all(one["is_whole"] for one in earlier):
            raise CannotRun("a sound stream was not answered")
    # One of these reaches the worker that spoils its next answer.
    streams = [asyncio.ensure_future(draft(f"/draft/spoil/{n}")) for n in range(4)]
    await asyncio.sleep(0.5)

    async def look(number):
        await asyncio.sleep(0.1 * number)
        path = f"/look/{number}"
        return await gateway.call(world, path, CLIENT_WAITS_MS, "GET", body=b"")

    probes = []

    async def probe():
        while True:
            probes.append(await gateway.is_ready())
            await asyncio.sleep(1.0)

    probing = asyncio.ensure_future(probe())
    answers = await asyncio.gather(*map(look, range(REQUESTS)))
    await asyncio.gather(*streams)
    probing.cancel()
    late = [
        one
        for one in answers
        if one["status"] is None or one["took_s"] > TIMEOUT_S + SLACK_S
    ]
    world.note(
        what="result",
        requests=len(answers),
        without_answer_in_time=len(late),
        probes=probes,
    )
    print(f"{len(late)} of {len(answers)} requests to the sound service had no answer")
    print(f"{SLACK_S} s after their route's timeout; readiness probes: {probes}")
    return BROKEN if len(late) >= 8 and len(late) > len(answers) / 4 else HELD


run(FOLDER, main)
