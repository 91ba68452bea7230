"""Planned stops of real gateways, with engines and callers in processes of their own.

python -m tests.soak.stops --seeds 50 --first 1
"""

import asyncio
import collections
import contextlib
import datetime
import json
import math
import multiprocessing
import random
import socket
import tempfile
import time
from pathlib import Path

import attrs
import click

from tests.platform.fleet import Answer, read_answer, route
from tests.platform.paced_engine import COSTS
from tests.platform.reading_engine import ReadingEngine
from tests.platform.real_gateway import CHECKOUT, RELOAD, STOP, head, running_world
from tests.platform.standins import HOST, Endpoint, answer_bytes, echo_headers

GRACE_S = 8
LAST_SIXTH_S = GRACE_S * 5 / 6
UNAWARE_S = 3.0  # after SIGTERM: requests that were sent until then may be cut
LOSS_SLACK_S = 0.2
HANG_S = 2.0  # after its deadline, a caller gives a request up
TIMEOUT_MS = 30_000
EVENT_READ_S = 0.05  # about as long as an engine without other streams takes for it
APPS = 2
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
PART = "part"  # kind of what one engine sends to another
STREAMS = ("talk", "slow")
LONG_SHARE = 0.4  # of the streams with a long pause target
SPAWN = multiprocessing.get_context("spawn")
ROUTES = [
    route("talk", "streaming", "llm", timeout_ms=TIMEOUT_MS, gap_target_ms=250),
    route("slow", "streaming", "llm", timeout_ms=TIMEOUT_MS, gap_target_ms=2000),
    route("once", "non_idempotent", "app", timeout_ms=TIMEOUT_MS),
    route("look", "idempotent", "app", timeout_ms=TIMEOUT_MS),
]
HEALTH = {"health_path": "/healthz"}
BACKENDS = [{"name": "llm", "runtime": COSTS} | HEALTH, {"name": "app"} | HEALTH]


class VaryingEngine(ReadingEngine):
    """An engine of changing slowness, whose helpers read parts of its prompts."""

    def __init__(self, rng, runs):
        super().__init__(slowness=1.0)
        self.rng, self.runs = rng, runs

    async def read_parts(self, part_ms, helpers):
        parts = (read_elsewhere(helper, part_ms) for helper in helpers)
        await asyncio.gather(self.read(part_ms), *parts)

    async def vary(self):
        while True:
            self.slowness = self.rng.uniform(0.8, 1.6)
            await asyncio.sleep(self.rng.uniform(1.0, 8.0))

    async def stream(self, received, writer):
        """Answer a request of any kind, and note from when to when it ran."""
        kind, argument = received.path.split("/")[1:3]
        if kind == PART:
            await self.read(float(argument))
            writer.write(answer_bytes(200, echo_headers(received), b"read"))
            return
        run = {"id": received.headers["x-attempt-id"], "is_whole": False}
        try:
            if kind in STREAMS:
                await super().stream(received, writer)
            else:
                await asyncio.sleep(int(argument) / 1000)
                writer.write(answer_bytes(200, echo_headers(received), b"answer"))
                await writer.drain()
            run["is_whole"] = True
        finally:
            self.runs.write(json.dumps(run | {"ended_s": time.monotonic()}) + "\n")


async def read_elsewhere(helper, part_ms):
    """Let another engine read a part of a prompt; one that is gone delays nothing."""
    with contextlib.suppress(OSError):
        address, _, port = helper.partition("/")[0].rpartition(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        try:
            writer.write(head(f"/{PART}/{part_ms:.3f}"))
            await reader.read()
        finally:
            writer.close()


async def run_engine(listener, path):
    """Serve as an engine until the process is ended."""
    with path.open("a", buffering=1) as runs:
        engine = VaryingEngine(random.Random(path.name), runs)
        await asyncio.start_server(engine.connected, sock=listener)
        await asyncio.gather(engine.run(), engine.vary())


@attrs.define
class Call:
    """A request and what its caller received."""

    request_id: str
    kind: str
    size: int  # events of a stream; time of a call's work, in ms
    tokens: str
    wait_ms: int
    pauses_s: list  # before the parts of its body
    gateway: str = ""
    began_s: float = 0.0
    sent_s: float | None = None  # when its last byte was sent
    ended_s: float = 0.0
    status: int = 0
    is_complete: bool = False


def draw_call(rng, least_events, is_short):
    kind = rng.choices((*STREAMS, "once", "look"), (4, 4, 1, 1))[0]
    declared = rng.choice((round(4 * 28 ** rng.random()), rng.randint(50, 100)))
    declared = max(least_events, declared)
    share = 1.0 if rng.random() < 1 / 15 else rng.uniform(0.2, 1.0)
    share = rng.uniform(0.2, 0.5) if is_short else share
    work_ms = round(rng.uniform(20, rng.choice((200, 400, 1000))))
    prompt = round(200 * rng.choice((5, 5, 5, 40, 150)) ** rng.random())
    if kind == "slow" and rng.random() < LONG_SHARE:
        least, most = (50e3, 200e3) if rng.random() < 1 / 50 else (15e3, 110e3)
        prompt = round(rng.uniform(least, most))
    body_s = rng.uniform(0.0, 0.8) if rng.random() < 0.15 else 0.0
    wait_s = rng.uniform(2.0, 6.0) if rng.random() < 0.1 else rng.uniform(12.0, 20.0)
    return Call(
        request_id=rng.randbytes(8).hex(),
        kind=kind,
        size=math.ceil(declared * share) if kind in STREAMS else work_ms,
        tokens=f"{prompt},{declared * COSTS['step_count']}",
        wait_ms=round(wait_s * 1000),
        pauses_s=[body_s] * rng.randint(1, 4),
    )


@attrs.define
class Caller:
    """Sends requests on kept connections until there is no gateway any more."""

    rng: random.Random
    gateways: list
    calls: list
    least_events: int  # that its streams declare
    short_until_s: float  # they use at most half of what they declare until then
    more_bytes: int  # length of events; if not zero, it reads slowly
    gateway: tuple = ()
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def run(self, is_over):
        while not is_over.is_set():
            if self.writer is None:
                self.gateway = self.rng.choice(self.gateways)
                try:
                    opening = asyncio.open_connection(*self.gateway[1:], limit=4096)
                    self.reader, self.writer = await opening
                except OSError:
                    await asyncio.sleep(self.rng.uniform(0.02, 0.3))
                    continue
            is_short = time.monotonic() < self.short_until_s
            await self.call(draw_call(self.rng, self.least_events, is_short))
            await asyncio.sleep(min(2.0, self.rng.expovariate(4.0)))

    async def read(self, size):
        data = await self.reader.read(self.more_bytes or size)
        if self.more_bytes:
            await asyncio.sleep(EVENT_READ_S * len(data) / self.more_bytes)
        return data

    async def send(self, call):
        part = b"x" * 10_000
        extra = [f"Content-Length: {len(part) * len(call.pauses_s)}", "X-Model: m"]
        if call.kind in STREAMS:
            extra.append(f"X-Token-Count: {call.tokens}")
        path = f"/{call.kind}/{call.size}/{self.more_bytes}"
        more = {"request_id": call.request_id, "wait_ms": call.wait_ms, "close": False}
        self.writer.write(head(path, "POST", extra, **more))
        for pause_s in call.pauses_s:
            await asyncio.sleep(pause_s)
            self.writer.write(part)
            await self.writer.drain()
        call.sent_s = time.monotonic()

    async def call(self, call):
        self.calls.append(call)
        call.gateway, call.began_s = self.gateway[0], time.monotonic()
        sending = asyncio.ensure_future(self.send(call))
        answer = Answer()
        with contextlib.suppress(TimeoutError):
            reading = read_answer(self, self.writer, keep_open=True)
            answer = await asyncio.wait_for(reading, call.wait_ms / 1000 + HANG_S)
        call.ended_s = time.monotonic()
        call.status, call.is_complete = answer.status, answer.is_complete
        if call.kind in STREAMS and call.status == 200:
            call.is_complete &= answer.body.count(b"id: ") == call.size
        is_kept = answer.headers.get("connection") != "close" and sending.done()
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        if not (call.is_complete and is_kept):
            self.writer.close()
            self.writer = None


async def run_callers(seed, count, gateways, load, path, is_over):
    """Run all callers until it is over, and write what they received."""
    calls, callers = [], []
    for number in range(count):
        rng = random.Random(f"{seed}-{number}")
        more_bytes = rng.choice((0, 0, 0, 0, 0, 4000, 20_000))
        callers.append(Caller(rng, gateways, calls, *load, more_bytes))
    await asyncio.gather(*(one.run(is_over) for one in callers))
    path.write_text(json.dumps([attrs.asdict(call) for call in calls]))


def judge(call, runs, stop_s, is_logged):
    """Return what came of a request by the users' rules, and whether it is wrong."""
    if call.kind != "look" and len(runs) > 1:
        return "ran twice", True
    if call.kind != "look" and runs and call.status in (408, 421, 429, 503):
        return f"{call.status}, and ran", True
    if call.is_complete:
        return str(call.status), False
    if call.ended_s >= call.began_s + call.wait_ms / 1000 + HANG_S:
        return "hung", True
    if call.sent_s is None:
        return "not sent whole", False
    if not runs and call.ended_s <= call.sent_s + LOSS_SLACK_S:
        return ("read, no answer", True) if is_logged else ("crossed the close", False)
    # A slow reader sees late that its answer was cut.
    cuts_s = [run["ended_s"] for run in runs if not run["is_whole"]]
    if (
        min([call.ended_s, *cuts_s])
        >= call.began_s + min(call.wait_ms, TIMEOUT_MS) / 1000
    ):
        return "cut at its deadline", False
    was_at_work = any(run["ended_s"] >= stop_s + LAST_SIXTH_S for run in runs)
    if was_at_work and call.sent_s <= stop_s + UNAWARE_S:
        return "sent early, cut by the stop", False
    return ("LOST" if runs or is_logged else "no answer"), True


def judge_all(folder, stops, logs):
    """Return how often each thing came of requests, and the log of wrong ones."""
    runs, counts, wrong = collections.defaultdict(list), collections.Counter(), []
    for path in folder.glob("i-*.jsonl"):
        for run in map(json.loads, path.read_text().splitlines()):
            runs[run["id"]].append(run)
    for fields in json.loads((folder / "calls.json").read_text()):
        call = Call(**fields)
        stop_s, ran = stops[call.gateway][0], runs[call.request_id]
        lines = [line for line in logs[call.gateway] if call.request_id in line]
        verdict, is_wrong = judge(call, ran, stop_s, bool(lines))
        counts[verdict] += 1
        if is_wrong:
            wrong += [f"{verdict}: SIGTERM at {stop_s}, {call}, runs {ran}", *lines]
    return counts, wrong


def handler_late_ms(gateway, sent_s):
    """Return how late a process handled SIGTERM, from its log and the wall clock."""
    (stopping,) = gateway.events("stop")
    logged = datetime.datetime.strptime(stopping["time"], LOG_TIME_FORMAT)
    handled_s = logged.timestamp() - stopping["late_ms"] / 1000
    return round((handled_s - sent_s) * 1000)


async def stop(gateway, signals):
    """Stop a gateway; return the times of SIGTERM and end, and how late it was."""
    stop_s = time.monotonic() - min([0.0, *(after_s for after_s, _ in signals)])
    sent_s = 0.0
    for after_s, number in sorted([(0.0, STOP), *signals]):
        await asyncio.sleep(stop_s + after_s - time.monotonic())
        if after_s == 0.0:
            stop_s, sent_s = time.monotonic(), time.time()
        gateway.signal(number)
    await gateway.exit_code(stop_s + GRACE_S - time.monotonic())
    ended_s = time.monotonic()
    gateway.kill()
    return stop_s, ended_s, handler_late_ms(gateway, sent_s)


def run_main(main, *arguments):
    asyncio.run(main(*arguments))


@contextlib.contextmanager
def spawned(*arguments):
    process = SPAWN.Process(target=run_main, args=arguments)
    process.start()
    try:
        yield process
    finally:
        process.kill()
        process.join()


async def replace_endpoints(world, stack, seed, count):
    """Run processes in place of the endpoints of a world: apps, then engines."""
    for name, endpoint in world.endpoints.items():
        await endpoint.stop()
        world.store.put("keyed.servers", name, None)
    world.endpoints = {}
    for number in range(count):
        name, listener = f"i-{seed}-{number}", socket.create_server((HOST, 0))
        path, port = world.folder / f"{name}.jsonl", listener.getsockname()[1]
        stack.enter_context(spawned(run_engine, listener, path))
        world.services[name] = "app" if number < APPS else "llm"
        world.endpoints[name] = Endpoint(endpoint_id=name, port=port, server=listener)
    world.renew()


async def soak_stops(seed, folder, checkout=CHECKOUT, max_age_s=20.0):
    """Run one seed; return how often each thing came of requests, and what is wrong."""
    rng, is_over = random.Random(seed), SPAWN.Event()
    beside = [(rng.uniform(-2.0, 0.0), RELOAD), (rng.uniform(0.0, 7.0), RELOAD)]
    beside.append((rng.uniform(0.05, 6.0), STOP))
    engines, callers = rng.randint(2, 6), rng.randint(30, 60)
    names = ["g1"] if seed % 4 else ["g1", "g2"]
    more = {"grace_s": GRACE_S, "checkout": checkout}
    async with running_world(folder, routes=ROUTES, backends=BACKENDS) as world:
        with contextlib.ExitStack() as stack:
            await replace_endpoints(world, stack, seed, engines + APPS)
            gateways = await asyncio.gather(*(world.start(n, **more) for n in names))
            places = [(one.name, one.ip, one.front) for one in gateways]
            age_s, path = max_age_s * rng.random() ** 2, folder / "calls.json"
            short_s = rng.choice((0.0, age_s))
            # Small streams among them show the pace of the engines, whatever they use.
            least_events, short_s = (0, short_s) if seed % 2 else (65, age_s)
            load = (least_events, time.monotonic() + short_s)
            arguments = (seed, callers, places, load, path, is_over)
            calling = stack.enter_context(spawned(run_callers, *arguments))
            await asyncio.sleep(age_s)
            ends = []
            for gateway in gateways:
                signals = [one for one in beside if rng.random() < 0.4]
                ends.append(asyncio.ensure_future(stop(gateway, signals)))
                await asyncio.sleep(rng.uniform(0.5, max_age_s / 2))
            stops = dict(zip(names, await asyncio.gather(*ends), strict=True))
            is_over.set()
            await asyncio.to_thread(calling.join, TIMEOUT_MS / 1000)
    logs = {one.name: one.log_text.splitlines() for one in gateways}
    counts, wrong = judge_all(folder, stops, logs)
    for gateway in gateways:
        stop_s, ended_s, late_ms = stops[gateway.name]
        code = gateway.process.returncode
        counts[f"exit code {code} in {ended_s - stop_s:.2f} s"] += 1
        counts[f"signal handled {late_ms} ms late"] += 1
        wrong += [f"{gateway.name}: exit code {code}"] if code else []
    return counts, wrong


@click.command()
@click.option("--seeds", default=3, help="How many seeds.")
@click.option("--first", default=1, help="The first seed.")
@click.option("--keep", type=click.Path(path_type=Path), help="Folder for logs.")
@click.option("--checkout", default=CHECKOUT, type=Path)
@click.option("--max-age", "max_age_s", default=20.0, help="Oldest gateway, in s.")
def main(seeds, first, keep, checkout, max_age_s):
    """Run seeds one after the other; end with 1 if a rule was broken."""
    is_broken = False
    for seed in range(first, first + seeds):
        folder = (keep or Path(tempfile.mkdtemp(prefix="stops-"))) / str(seed)
        folder.mkdir(parents=True)
        counts, wrong = asyncio.run(soak_stops(seed, folder, checkout, max_age_s))
        is_broken |= bool(wrong)
        verdict = "BROKEN" if wrong else "passed"
        click.echo("\n  ".join([f"seed {seed}: {verdict}, {dict(counts)}", *wrong]))
    raise SystemExit(is_broken)


if __name__ == "__main__":
    main()
