"""A randomized soak: real gateways, faults from outside, promises checked meanwhile.

python -m tests.soak.soak --seconds 30 --seeds 50 --first 1
"""

import asyncio
import signal
import tempfile
import time
from pathlib import Path

import click

from tests.soak.world import World

RECOVERY_S = 12.0
PAUSE_S = 0.03
LEAST_SHARE_AFTER = 0.9
"""Of the requests after the last fault; all should be served."""


async def strike(world):
    """Bring about one fault and end it after a while."""
    rng = world.rng
    process = rng.choice(world.processes)
    endpoint = rng.choice([one for one in world.endpoints if one.state != "gone"])
    last_s = rng.uniform(0.2, 3.0)
    kind = rng.choice(list(FAULTS))
    await FAULTS[kind](world, process, endpoint, last_s)
    return kind


async def freeze(world, process, endpoint, last_s):
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(last_s)
    process.signal(signal.SIGCONT)


async def kill(world, process, endpoint, last_s):
    process.kill()
    await asyncio.sleep(last_s)
    if process.running.poll() is not None:
        process.start()


async def terminate(world, process, endpoint, last_s):
    process.signal(signal.SIGTERM)
    for _ in range(100):
        await asyncio.sleep(0.1)
        if process.running.poll() is not None:
            process.start()
            return


async def reload(world, process, endpoint, last_s):
    process.signal(signal.SIGHUP)


async def harm_store(world, process, endpoint, last_s):
    world.store_proxy.strike(world.rng.choice(["delay", "reset", "silent", "one_way"]))
    await asyncio.sleep(last_s)
    world.store_proxy.strike("pass")


async def harm_link(world, process, endpoint, last_s):
    endpoint.proxy.strike(world.rng.choice(["delay", "reset", "silent", "one_way"]))
    await asyncio.sleep(last_s)
    endpoint.proxy.strike("pass")


async def sicken(world, process, endpoint, last_s):
    world.sick.add(endpoint)
    await asyncio.sleep(last_s)
    world.sick.discard(endpoint)


async def replace(world, process, endpoint, last_s):
    if sum(one.state == "ready" for one in world.endpoints) < 5:
        return
    await world.add_endpoint(endpoint.service)
    endpoint.state = "draining"
    world.register(endpoint)
    await asyncio.sleep(3.0)
    endpoint.state = "gone"
    world.store.put("keyed.servers", endpoint.endpoint_id, None)
    await endpoint.stop()


async def change_keys(world, process, endpoint, last_s):
    world.version += world.rng.randint(1, 3)
    old = world.keys.pop(0)
    world.keys.append(f"key-{world.version + 1}")
    world.configure()
    world.revoked[old] = time.monotonic()


FAULTS = {
    fault.__name__: fault
    for fault in (
        *(freeze, kill, terminate, reload, harm_store),
        *(harm_link, sicken, replace, change_keys),
    )
}


async def soak(seed, seconds, folder):
    """Run one seed; return the world with what was broken."""
    world = World(seed, folder)
    await world.start()
    pending = set()
    try:
        await _until_served(world)
        end_s = time.monotonic() + seconds
        next_fault_s = time.monotonic()
        while time.monotonic() < end_s:
            if time.monotonic() >= next_fault_s:
                pending.add(asyncio.ensure_future(strike(world)))
                next_fault_s += world.rng.expovariate(1.2)
            kind = world.rng.choice(["stream", "once", "look"])
            pending.add(asyncio.ensure_future(world.ask(kind)))
            await asyncio.sleep(PAUSE_S)
            pending = {one for one in pending if not one.done() or one.result() is None}
        await asyncio.gather(*pending)
        await _until_served(world)
        after = [await world.ask(k) for k in ("look", "once", "stream") * 10]
        if sum(after) < LEAST_SHARE_AFTER * len(after):
            world.broken.append(f"not recovered: {sum(after)} of {len(after)}")
        world.check_runs()
    finally:
        await world.stop()
    return world


async def _until_served(world):
    for process in world.processes:
        if process.running.poll() is not None:
            process.start()
    streak = 0
    async with asyncio.timeout(RECOVERY_S * 2):
        while streak < 6:
            streak = streak + 1 if await world.ask("look") else 0
            await asyncio.sleep(0.05)


@click.command()
@click.option("--seconds", default=20.0, help="Faults of each seed.")
@click.option("--seeds", default=3, help="How many seeds.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for logs.")
def main(seconds, seeds, first, keep):
    """Run seeds one after the other; end with 1 if a promise was broken."""
    failed = 0
    for seed in range(first, first + seeds):
        folder = (keep or Path(tempfile.mkdtemp(prefix="soak-"))) / str(seed)
        folder.mkdir(parents=True, exist_ok=True)
        world = asyncio.run(soak(seed, seconds, folder))
        failed += bool(world.broken)
        click.echo(
            f"seed {seed}: {world.served} of {world.asked} served, "
            f"broken: {world.broken or 'nothing'}"
            + (f", logs in {folder}" if world.broken else "")
        )
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
