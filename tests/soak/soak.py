"""Randomised soak test of real gateways: injects faults and checks guarantees.

python -m tests.soak.soak --seconds 30 --seeds 50 --first 1
"""

import asyncio
import signal
import socket
import tempfile
import time
from pathlib import Path

import click

from tests.soak.world import LIMITS, World

RECOVERY_S = 12.0
REQUEST_INTERVAL_S = 0.03
MIN_RECOVERED_SHARE = 0.9
"""Share of the requests after the last fault; all of them should be served."""


async def inject_fault(world):
    """Inject one random fault and clear it after a random duration."""
    rng = world.rng
    process = rng.choice(world.processes)
    endpoint = rng.choice([one for one in world.endpoints if one.state != "gone"])
    duration_s = rng.uniform(0.2, 3.0)
    kind = rng.choice(list(FAULTS))
    await FAULTS[kind](world, process, endpoint, duration_s)
    return kind


async def freeze(world, process, endpoint, duration_s):
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    process.signal(signal.SIGCONT)


async def kill(world, process, endpoint, duration_s):
    process.kill()
    await asyncio.sleep(duration_s)
    if process.running.poll() is not None:
        process.start()


async def terminate(world, process, endpoint, duration_s):
    process.signal(signal.SIGTERM)
    for _ in range(100):
        await asyncio.sleep(0.1)
        if process.running.poll() is not None:
            process.start()
            return


async def wait_end(process):
    """Wait for the end of a process; return whether it came."""
    for _ in range(100):
        if process.running.poll() is not None:
            return True
        await asyncio.sleep(0.1)
    return False


async def signal_early(world, process, endpoint, duration_s):
    """Restart a process and send it a signal in its first second."""
    process.kill()
    process.start()
    await asyncio.sleep(world.rng.uniform(0.0, 1.0))
    process.signal(world.rng.choice([signal.SIGHUP, signal.SIGTERM]))
    await asyncio.sleep(0.5)
    if process.is_end_asked and not await wait_end(process):
        return
    if process.running.poll() is not None:
        process.start()


async def signal_in_series(world, process, endpoint, duration_s):
    """Stop a process, and send it signals until it is gone."""
    process.signal(signal.SIGTERM)
    while process.running.poll() is None:
        process.signal(world.rng.choice([signal.SIGHUP, signal.SIGTERM]))
        await asyncio.sleep(world.rng.uniform(0.0, 0.5))
    process.start()


async def hold_port(world, process, endpoint, duration_s):
    """Start a process while another socket holds one of its ports for a second."""
    process.kill()
    number = world.rng.choice([process.front, process.ready])
    with socket.socket() as held:
        try:
            held.bind((process.ip, number))
        except OSError:  # connections of the former run linger there
            process.start()
            return
        process.start()
        await asyncio.sleep(1.0)


async def keep_connections(world, process, endpoint, duration_s):
    """Use connections until their process is gone."""
    kept = [world.keep_connection(process, requests=30) for _ in range(4)]
    await asyncio.gather(*kept)


async def change_limits(world, process, endpoint, duration_s):
    world.limits = world.rng.choice([{}, LIMITS, LIMITS | {"idle_timeout_ms": 1000}])
    world.version += 1
    world.configure()


async def send_odd_requests(world, process, endpoint, duration_s):
    await asyncio.gather(*(world.send_odd_request() for _ in range(6)))


async def reload(world, process, endpoint, duration_s):
    process.signal(signal.SIGHUP)


async def harm_store(world, process, endpoint, duration_s):
    world.store_proxy.set_mode(
        world.rng.choice(["delay", "reset", "silent", "one_way"])
    )
    await asyncio.sleep(duration_s)
    world.store_proxy.set_mode("pass")


async def harm_link(world, process, endpoint, duration_s):
    endpoint.proxy.set_mode(world.rng.choice(["delay", "reset", "silent", "one_way"]))
    await asyncio.sleep(duration_s)
    endpoint.proxy.set_mode("pass")


async def sicken(world, process, endpoint, duration_s):
    world.faulty_endpoints.add(endpoint)
    await asyncio.sleep(duration_s)
    world.faulty_endpoints.discard(endpoint)


async def replace(world, process, endpoint, duration_s):
    if sum(one.state == "ready" for one in world.endpoints) < 5:
        return
    await world.add_endpoint(endpoint.service)
    endpoint.state = "draining"
    world.register(endpoint)
    await asyncio.sleep(3.0)
    endpoint.state = "gone"
    world.store.put("keyed.servers", endpoint.endpoint_id, None)
    await endpoint.stop()


async def name_limit(world, process, endpoint, duration_s):
    endpoint.notices["Server-Limit"] = str(world.rng.choice([0.5, 2, 10]))
    await asyncio.sleep(duration_s)
    endpoint.notices.pop("Server-Limit", None)


async def ask_for_pause(world, process, endpoint, duration_s):
    endpoint.pause_s = round(world.rng.uniform(0.1, 2.0), 2)
    await asyncio.sleep(duration_s)
    endpoint.pause_s = 0.0


async def say_leaving(world, process, endpoint, duration_s):
    """Say it in answers first; the record follows, or the endpoint is just gone."""
    if sum(one.state == "ready" for one in world.endpoints) < 5:
        return
    endpoint.notices["Server-Leaving"] = "1"
    await asyncio.sleep(duration_s)
    await replace(world, process, endpoint, duration_s)


async def change_keys(world, process, endpoint, duration_s):
    world.version += world.rng.randint(1, 3)
    old = world.keys.pop(0)
    world.keys.append(f"key-{world.version + 1}")
    world.configure()
    world.revoked_at_s[old] = time.monotonic()


async def restore_store(world, process, endpoint, duration_s):
    """Bring the store back from a copy; writers write again after a while."""
    copy = world.rng.choice(world.store_copies)
    world.store.mode = "reset"
    await asyncio.sleep(min(duration_s, 1.0))
    world.store.restore(copy)
    world.store.mode = "up"
    await asyncio.sleep(world.rng.uniform(0.1, 1.0))
    world.write_again()


FAULTS = {
    fault.__name__: fault
    for fault in (
        *(freeze, kill, terminate, reload, harm_store, restore_store),
        *(harm_link, sicken, replace, change_keys),
        *(name_limit, ask_for_pause, say_leaving),
        *(signal_early, signal_in_series, hold_port),
        *(keep_connections, change_limits, send_odd_requests),
    )
}


async def soak(seed, seconds, folder):
    """Run one seed; return its world, which lists the violations."""
    world = World(seed, folder)
    await world.start()
    pending = set()
    try:
        await _wait_until_served(world)
        end_s = time.monotonic() + seconds
        next_fault_s = time.monotonic()
        while time.monotonic() < end_s:
            if time.monotonic() >= next_fault_s:
                pending.add(asyncio.ensure_future(inject_fault(world)))
                next_fault_s += world.rng.expovariate(1.2)
            kind = world.rng.choice(["stream", "once", "look"])
            pending.add(asyncio.ensure_future(world.send_request(kind)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
            pending = {one for one in pending if not one.done() or one.result() is None}
        await asyncio.gather(*pending)
        await _wait_until_served(world)
        after = [await world.send_request(k) for k in ("look", "once", "stream") * 10]
        if sum(after) < MIN_RECOVERED_SHARE * len(after):
            world.violations.append(f"not recovered: {sum(after)} of {len(after)}")
        world.check_runs()
    finally:
        await world.stop()
    return world


async def _wait_until_served(world):
    for process in world.processes:
        if process.running.poll() is not None:
            process.start()
    streak = 0
    async with asyncio.timeout(RECOVERY_S * 2):
        while streak < 6:
            streak = streak + 1 if await world.send_request("look") else 0
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
        failed += bool(world.violations)
        click.echo(
            f"seed {seed}: {world.served} of {world.attempted} served, "
            f"broken: {world.violations or 'nothing'}"
            + (f", logs in {folder}" if world.violations else "")
        )
    raise SystemExit(1 if failed else 0)


if __name__ == "__main__":
    main()
