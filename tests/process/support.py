"""Callers of a fleet, and what the tests look at."""

import asyncio
import inspect
import json
import signal

import attrs
from tornado.httpclient import HTTPError

from sorrelhoist.bench.fleet import ADDRESS, caller_headers, fetch, operator_headers
from sorrelhoist.standins.engine_model import answer_text

MODEL = "clown-large"
WORKSPACE = "kasparek-desk"
OUTPUT_TOKENS = 100
# Far above what is needed: a test that waits so long has failed.
PATIENCE_S = 90.0
# Longer than any answer takes, however busy the machine is.
LONG_TIMEOUT_S = 3600
POLL_INTERVAL_S = 0.05
NO_ENGINE_FAULTS = {
    "freeze_s": 0,
    "slow_factor": 1.0,
    "crash_on_text": "",
    "drop_streams": 0,
    "ignore_cancel_count": 0,
}
NO_SERVICE_FAULTS = {"delay_s": 0, "lose_answer_count": 0, "refuse_count": 0}


async def until(condition, state=None):
    """Ask an async condition until it holds; return what it gave.

    A condition that never holds fails with its source and, where an async
    ``state`` is given, with what that returned last.
    """
    try:
        async with asyncio.timeout(PATIENCE_S):
            while not (found := await condition()):
                await asyncio.sleep(POLL_INTERVAL_S)
            return found
    except TimeoutError:
        seen = await state() if state else "not recorded"
        source = inspect.getsource(condition).strip()
        raise AssertionError(
            f"not met within {PATIENCE_S:g} s: {source}\nlast state: {seen}"
        ) from None


def engines(fleet):
    return {
        name.removeprefix("engine-"): child
        for name, child in fleet.children.items()
        if name.startswith("engine-")
    }


def bookings(fleet):
    return next(c for n, c in fleet.children.items() if n.startswith("service-"))


async def strike(child, **faults):
    answer = await fetch(f"{child.url}/faults", "POST", faults, timeout_s=20.0)
    assert answer.code == 200, answer.body


async def inventory(child):
    """Return what an engine holds, or None if it doesn't answer."""
    try:
        answer = await fetch(f"{child.url}/v1/streams", timeout_s=5.0)
    except (OSError, HTTPError):
        return None
    return json.loads(answer.body) if answer.code == 200 else None


async def kv_used_tokens(fleet):
    """Return the memory in use on all engines, or None if one doesn't answer."""
    total = 0
    for child in engines(fleet).values():
        found = await inventory(child)
        if found is None:
            return None
        held = (one for kind in ("streams", "parts", "imports") for one in found[kind])
        total += sum(one["kv_tokens"] for one in held)
    return total


async def memory_is_free(fleet):
    return await kv_used_tokens(fleet) == 0


async def inventories(fleet):
    """Return what each engine holds, by name, as text for a failure."""
    found = {name: await inventory(child) for name, child in engines(fleet).items()}
    return json.dumps(found, indent=1)


async def streams_in_decode(fleet):
    found = [await inventory(child) for child in engines(fleet).values()]
    streams = [s for one in found if one for s in one["streams"]]
    return sum(stream["state"] == "decode" for stream in streams)


async def boot_ids(fleet):
    """Return the engines' boots, once all answer."""
    found = [await until(lambda c=c: inventory(c)) for c in engines(fleet).values()]
    return [one["boot_id"] for one in found]


async def busy_endpoint(fleet):
    """Return the name of an endpoint that has a stream in decode."""
    for name, child in engines(fleet).items():
        found = await inventory(child) or {"streams": []}
        if any(stream["state"] == "decode" for stream in found["streams"]):
            return name
    return None


async def mend(fleet):
    """Bring all processes back to work, with the configuration of the start."""
    await strike(fleet.child("platform"), outage_s=0, slow_s=0)
    for name, child in list(fleet.children.items()):
        if child.process.poll() is not None:
            await fleet._wait_for(await fleet.restart_role(name), "/healthz", 200)
        else:
            child.signal(signal.SIGCONT)
    for child in engines(fleet).values():
        await strike(child, **NO_ENGINE_FAULTS)
    await strike(bookings(fleet), **NO_SERVICE_FAULTS)
    await fleet.wait_joined()
    applied = await until(lambda: applied_by(fleet))
    assert applied
    await fleet.wait_ready()
    await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))
    for number in range(12):  # so that no engine is cold
        await until(lambda number=number: answers(fleet, f"warm {number}"))


async def applied_by(fleet):
    return (await fleet.apply()).code == 200


async def answers(fleet, prompt):
    entry = fleet.entries()[0]
    return await Caller(entry, prompt, output_tokens=1, stream=False).is_whole()


@attrs.define(eq=False)
class Caller:
    """One request and what came of it."""

    entry: object
    prompt: str
    output_tokens: int = OUTPUT_TOKENS
    stream: bool = True
    headers: dict = attrs.field(factory=dict)
    data: bytearray = attrs.field(init=False, factory=bytearray)
    work: asyncio.Task = attrs.field(init=False, default=None)
    _came: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def start(self):
        self.work = asyncio.ensure_future(self._send())
        return self

    def _send(self):
        body = {"model": MODEL, "prompt": self.prompt, "stream": self.stream}
        return fetch(
            f"{self.entry.url}/v1/completions",
            "POST",
            body | {"max_tokens": self.output_tokens},
            caller_headers(WORKSPACE) | {"X-Request-Timeout-S": "80"} | self.headers,
            PATIENCE_S,
            self._take,
        )

    def _take(self, chunk):
        self.data += chunk
        self._came.set()

    async def ended(self):
        """Wait for the end, also of a connection that is cut."""
        await asyncio.wait([self.work])
        self.work.cancelled() or self.work.exception()

    async def has_some(self):
        """Wait for the first tokens; a whole answer has them at its end only."""
        async with asyncio.timeout(PATIENCE_S):
            await self._came.wait()

    def events(self):
        """Return the texts of the whole events, and the last id."""
        texts, last_id = [], ""
        for event in bytes(self.data).decode().split("\n\n")[:-1]:
            fields = dict(line.split(": ", 1) for line in event.splitlines())
            last_id = fields.get("id", last_id)
            if fields.get("data", "[DONE]") != "[DONE]" and "event" not in fields:
                texts.append(json.loads(fields["data"])["choices"][0]["text"])
        return texts, last_id

    def text(self):
        if self.stream:
            return "".join(self.events()[0])
        found = json.loads(self.data or b"{}")
        return found["choices"][0]["text"] if "choices" in found else ""

    def expected(self):
        return answer_text(self.prompt, self.output_tokens)

    async def is_whole(self):
        if self.work is None:
            self.start()
        await self.ended()
        return self.text() == self.expected()

    def is_refused(self):
        """Tell whether the answer is that nothing ran, and to come back."""
        if not self.data.startswith(b'{"error"'):
            return False
        error = json.loads(self.data)["error"]
        return error.get("not_run") is True and "retry_after_s" in error

    async def must_be_served(self):
        """Come back as long as nothing ran; then the answer must be whole."""
        async with asyncio.timeout(PATIENCE_S):
            while not await self.is_whole() and self.is_refused():
                await asyncio.sleep(POLL_INTERVAL_S)
                self.data.clear()
                self.start()
        await self.must_be_whole()

    async def must_be_whole(self):
        assert await self.is_whole(), bytes(self.data[-600:])


async def open_caller(entry, prompt, output_tokens):
    """Send a request over a connection that the test can cut."""
    port = int(entry.url.rpartition(":")[2])
    body = {"model": MODEL, "prompt": prompt, "max_tokens": output_tokens}
    data = json.dumps(body).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {len(data)}"
    key = caller_headers(WORKSPACE)["Authorization"]
    _, writer = await asyncio.open_connection(ADDRESS, port)
    head += f"\r\nAuthorization: {key}\r\nX-Request-Timeout-S: {LONG_TIMEOUT_S}"
    writer.write(f"{head}\r\n\r\n".encode() + data)
    return writer


async def read_on(entry, event_id):
    """Read a stream on through an entry; return the further text."""
    stream_id = event_id.rpartition(".")[0]
    headers = caller_headers(WORKSPACE) | {"Last-Event-ID": event_id}
    reader = Caller(entry, "")
    await fetch(
        f"{entry.url}/v1/streams/{stream_id}",
        headers=headers,
        timeout_s=PATIENCE_S,
        on_chunk=reader._take,
    )
    return reader


async def grants(fleet, endpoint):
    """Return how many grants an agent has given."""
    text = (await fetch(fleet.child(f"agent-{endpoint}").url + "/metrics")).body
    lines = text.decode().splitlines()
    counts = [x for x in lines if x.startswith("sorrelhoist_grants_total")]
    return sum(int(float(line.split()[-1])) for line in counts)


async def apply(entry, documents, **more):
    return await fetch(
        f"{entry.url}/operator/v1/apply",
        "POST",
        {"documents": documents} | more,
        operator_headers(),
        timeout_s=PATIENCE_S,
    )
