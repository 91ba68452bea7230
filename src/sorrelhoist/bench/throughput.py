"""Measure CPU time and memory of one entry and one agent under load.

Prompts are short and the stand-in engine decodes fast, so that the entry and the agent
are the bottleneck.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import psutil

from .control_fleet import documents_for
from .fleet import Child, Fleet, running_fleet
from .load_client import LoadRun, LoadTarget, Outcome
from .load_plan import Arrival, LoadWorkspace

MIB = 1024 * 1024
KIB = 1024
WORKSPACE = LoadWorkspace("kasparek-desk", "demo-key-kasparek-desk", 1.0, 4_000_000)
MODEL = "clown-large"
ENGINE_OPTIONS = (
    "--no-start-cold",
    "--decode-growth",
    "0",
    "--max-running-requests",
    "1024",
    "--prefill-tokens-per-s",
    "10000000",
)
# Prefill speed in the configuration, far below that of the stand-in. Against the
# stand-in's own nominal speed, the overhead of entry and agent would make even the
# fastest stand-in look too slow, and the endpoint would count as cold.
NOMINAL_PREFILL_TOKENS_PER_S = 10_000
ENGINE_KV_TOKENS = 10_000_000
DEADLINE_S = 120.0
REQUEST_TOKENS = 1_000
SLOW_DECODE_STEP_S = "0.5"
FAST_DECODE_STEP_S = "0.002"


@attrs.frozen
class Throughput:
    """Throughput and CPU time of a closed-loop load.

    Parameters
    ----------
    callers, requests, output_tokens : int
        Concurrent callers; requests in total; output tokens of each request.
    whole, refused, lost : int
        Requests with the correct answer, with a refusal, and with any other result.
    requests_per_s, tokens_per_s : float
        Of the requests with the correct answer.
    cpu_ms : dict of str to float
        CPU time per request, by process.
    """

    callers: int
    requests: int
    output_tokens: int
    whole: int
    refused: int
    lost: int
    requests_per_s: float
    tokens_per_s: float
    cpu_ms: dict[str, float]


@attrs.frozen
class StreamMemory:
    """Resident memory by process while a number of streams are open."""

    streams: int
    whole: int
    resident_mib: dict[str, float]


def one_endpoint_documents() -> list[dict]:
    """Return a configuration with one large endpoint and no effective rate limits."""
    documents = documents_for(1)
    used = {d["failure_domain"] for d in documents if d["kind"] == "Endpoint"}
    documents = [
        d for d in documents if d["kind"] != "FailureDomain" or d["name"] in used
    ]
    for document in documents:
        if document["kind"] == "Endpoint":
            document["max_running_requests"] = 1024
            document["cold_running_requests"] = 1024
            document["prefill_tokens_per_s"] = NOMINAL_PREFILL_TOKENS_PER_S
            document["kv_capacity_tokens"] = ENGINE_KV_TOKENS
        if document["kind"] == "Workspace":
            document["requests_per_s"] = 100_000
            document["burst_requests"] = 100_000
            document["concurrent_tokens"] = 100_000_000
    return documents


@asynccontextmanager
async def one_endpoint_fleet(decode_step_s: str) -> AsyncIterator[Fleet]:
    """Run a fleet of one entry, one agent and one stand-in engine."""
    options = (*ENGINE_OPTIONS, "--decode-step-s", decode_step_s)
    documents = one_endpoint_documents()
    async with running_fleet(documents, 1, options) as fleet:
        yield fleet


def measured_processes(fleet: Fleet) -> dict[str, Child]:
    """Return the processes that are measured: the entry and the agent."""
    return {"entry": fleet.child("entry-1"), "agent": fleet.child("agent-e0")}


def _cpu_s(child: Child) -> float:
    times = psutil.Process(child.process.pid).cpu_times()
    return times.user + times.system


def _target(fleet: Fleet) -> LoadTarget:
    urls = [fleet.child("entry-1").url]
    return LoadTarget(urls, MODEL, NOMINAL_PREFILL_TOKENS_PER_S, DEADLINE_S, DEADLINE_S)


async def closed_loop(
    fleet: Fleet, callers: int, requests: int, output_tokens: int
) -> Throughput:
    """Run a closed-loop load: each caller sends its next request after an answer.

    Parameters
    ----------
    fleet : Fleet
    callers, requests, output_tokens : int
        Concurrent callers; requests in total; output tokens of each request.
    """
    run = LoadRun(_target(fleet), f"closed-{callers}-{output_tokens}")
    numbers = iter(range(requests))
    before = {name: _cpu_s(child) for name, child in measured_processes(fleet).items()}
    started_s = time.monotonic()

    async def caller() -> None:
        for number in numbers:
            await run.run(
                [Arrival(number, 0.0, WORKSPACE, REQUEST_TOKENS, output_tokens)]
            )

    await asyncio.gather(*(caller() for _ in range(callers)))
    elapsed_s = time.monotonic() - started_s
    cpu_ms = {
        name: 1000 * (_cpu_s(child) - before[name]) / requests
        for name, child in measured_processes(fleet).items()
    }
    kinds = [sample.outcome for sample in run.samples]
    whole = kinds.count(Outcome.WHOLE) + kinds.count(Outcome.LATE)
    refused = kinds.count(Outcome.REFUSED)
    return Throughput(
        callers,
        requests,
        output_tokens,
        whole,
        refused,
        requests - whole - refused,
        whole / elapsed_s,
        whole * output_tokens / elapsed_s,
        cpu_ms,
    )


async def open_streams(fleet: Fleet, streams: int, hold_s: float) -> StreamMemory:
    """Hold a number of streams open and measure resident memory meanwhile."""
    run = LoadRun(_target(fleet), f"open-{streams}")
    output_tokens = int(hold_s / float(SLOW_DECODE_STEP_S))
    plan = [
        Arrival(number, number * 0.002, WORKSPACE, REQUEST_TOKENS, output_tokens)
        for number in range(streams)
    ]
    running = asyncio.ensure_future(run.run(plan))
    await asyncio.sleep(hold_s * 0.8)
    resident = {
        name: psutil.Process(child.process.pid).memory_info().rss / MIB
        for name, child in measured_processes(fleet).items()
    }
    await running
    whole = sum(sample.outcome is Outcome.WHOLE for sample in run.samples)
    return StreamMemory(streams, whole, resident)


async def measure() -> tuple[list[Throughput], list[StreamMemory]]:
    """Run all measurements."""
    async with one_endpoint_fleet(FAST_DECODE_STEP_S) as fleet:
        await closed_loop(fleet, 4, 50, 2)
        loops = [
            await closed_loop(fleet, 16, 400, 1),
            await closed_loop(fleet, 16, 96, 100),
            await closed_loop(fleet, 32, 32, 400),
        ]
    async with one_endpoint_fleet(SLOW_DECODE_STEP_S) as fleet:
        memory = [await open_streams(fleet, count, 6.0) for count in (10, 100, 300)]
    return loops, memory
