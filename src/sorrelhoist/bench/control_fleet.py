"""Start a fleet of many entries and agents that share one stand-in engine."""

import asyncio
import contextlib
import copy
import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

from .fleet import Child, Fleet, fetch, load_documents

EXAMPLE = Path("examples/kasparek-demo")
ENTRY_SHARE = 0.2
MAX_SEEDS = 4
START_BATCH = 10
READY_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.1


def documents_for(agents: int) -> list[dict]:
    """Return a configuration with one model endpoint for each agent."""
    documents = load_documents(EXAMPLE)
    kept = [d for d in documents if d["kind"] != "Endpoint"]
    domains = [d["name"] for d in documents if d["kind"] == "FailureDomain"]
    model = next(d for d in documents if d["kind"] == "Endpoint" and d.get("model"))
    for number in range(agents):
        endpoint = copy.deepcopy(model)
        endpoint["name"] = f"e{number}"
        endpoint["failure_domain"] = domains[number % len(domains)]
        kept.append(endpoint)
    return kept


@asynccontextmanager
async def control_fleet(members: int) -> AsyncIterator[Fleet]:
    """Run a fleet of real entries and agents that share one stand-in engine.

    Parameters
    ----------
    members : int
        Entries and agents.

    Yields
    ------
    Fleet
        With the configuration applied and all processes ready.
    """
    entries = max(2, round(members * ENTRY_SHARE))
    documents = documents_for(members - entries)
    with tempfile.TemporaryDirectory(prefix="sorrelhoist-") as folder:
        fleet = Fleet(Path(folder), documents)
        async with AsyncExitStack() as stack:
            stack.push_async_callback(fleet.stop)
            platform = await fleet.start_standin("platform", "platform")
            fleet.platform_url = platform.url
            engine = await fleet.start_standin("engine", "engine", "--warm-s", "1")
            await _start_members(fleet, entries, engine.url)
            await _wait_joined(fleet, members)
            applied = await fleet.apply()
            if applied.code != 200:
                raise RuntimeError(f"apply failed: {applied.body!r}")
            await _wait_ready(fleet)
            yield fleet


async def _start_members(fleet: Fleet, entries: int, engine_url: str) -> None:
    domains = [d["name"] for d in fleet.documents if d["kind"] == "FailureDomain"]
    endpoints = [d for d in fleet.documents if d["kind"] == "Endpoint"]
    for number in range(entries):
        domain = domains[number % len(domains)]
        await fleet.start_role("entry", f"entry-{number + 1}", {}, domain)
        fleet.seeds = fleet.seeds[:MAX_SEEDS]
    await _wait_listening(fleet.entries())
    for start in range(0, len(endpoints), START_BATCH):
        batch = []
        for document in endpoints[start : start + START_BATCH]:
            name = document["name"]
            extra = {"endpoint": {"name": name, "url": engine_url, "type": "engine"}}
            domain = document["failure_domain"]
            batch.append(
                await fleet.start_role("agent", f"agent-{name}", extra, domain)
            )
            fleet.seeds = fleet.seeds[:MAX_SEEDS]
        await _wait_listening(batch)


async def _wait_listening(children: Sequence[Child]) -> None:
    await asyncio.gather(
        *(_wait_for_status(child, "/healthz", 200) for child in children)
    )


async def _wait_ready(fleet: Fleet) -> None:
    nodes = role_processes(fleet)
    await asyncio.gather(*(_wait_for_status(child, "/readyz", 200) for child in nodes))


async def _wait_for_status(child: Child, path: str, code: int) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while child.process.poll() is None:
            with contextlib.suppress(OSError):
                if (await fetch(child.url + path, timeout_s=5.0)).code == code:
                    return
            await asyncio.sleep(POLL_INTERVAL_S)
    raise RuntimeError(
        f"{child.name} exited while waiting for {path}:"
        f" {child.log_path.read_text()[-2000:]}"
    )


async def _wait_joined(fleet: Fleet, members: int) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        for name in [child.name for child in role_processes(fleet)]:
            while count_alive(await fleet.dump(name)) < members:
                await asyncio.sleep(POLL_INTERVAL_S)


def role_processes(fleet: Fleet) -> list[Child]:
    """Return the entries and agents, without the stand-ins."""
    return [child for child in fleet.children.values() if child.peer_port]


def count_alive(dump: dict) -> int:
    """Count the members that a process's state dump reports as alive."""
    members = dump["process"]["membership"]["members"]
    return sum(member["state"] == "alive" for member in members)
