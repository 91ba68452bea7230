"""Test clients, fault injection and state queries for a fleet of processes."""

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
# Far above any expected wait: a test that waits this long has failed.
WAIT_TIMEOUT_S = 90.0
# Longer than any answer takes, even on a busy machine.
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


async def wait_until(condition, state=None):
    """Poll an async condition until it returns a true value; return that value.

    On timeout the failure shows the source of the condition and, if an async
    ``state`` is given, what ``state`` returned last.
    """
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (found := await condition()):
                await asyncio.sleep(POLL_INTERVAL_S)
            return found
    except TimeoutError:
        seen = await state() if state else "not recorded"
        source = inspect.getsource(condition).strip()
        raise AssertionError(
            f"not met within {WAIT_TIMEOUT_S:g} s: {source}\nlast state: {seen}"
        ) from None


def engines(fleet):
    return {
        name.removeprefix("engine-"): child
        for name, child in fleet.children.items()
        if name.startswith("engine-")
    }


def bookings_service(fleet):
    return next(c for n, c in fleet.children.items() if n.startswith("service-"))


async def inject_faults(child, **faults):
    """Set the faults of a stand-in process."""
    answer = await fetch(f"{child.url}/faults", "POST", faults, timeout_s=20.0)
    assert answer.code == 200, answer.body


async def inventory(child):
    """Return what an engine holds in its KV cache, or None if it doesn't answer."""
    try:
        answer = await fetch(f"{child.url}/v1/streams", timeout_s=5.0)
    except (OSError, HTTPError):
        return None
    return json.loads(answer.body) if answer.code == 200 else None


async def kv_used_tokens(fleet):
    """Return the KV cache in use on all engines, or None if one doesn't answer."""
    total = 0
    for child in engines(fleet).values():
        found = await inventory(child)
        if found is None:
            return None
        held = (one for kind in ("streams", "parts", "imports") for one in found[kind])
        total += sum(one["kv_tokens"] for one in held)
    return total


async def kv_cache_is_empty(fleet):
    return await kv_used_tokens(fleet) == 0


async def inventories(fleet):
    """Return the inventory of each engine by name, as text for a failure message."""
    found = {name: await inventory(child) for name, child in engines(fleet).items()}
    return json.dumps(found, indent=1)


async def streams_in_decode(fleet):
    found = [await inventory(child) for child in engines(fleet).values()]
    streams = [s for one in found if one for s in one["streams"]]
    return sum(stream["state"] == "decode" for stream in streams)


async def boot_ids(fleet):
    """Wait until all engines answer; return their boot ids."""
    found = [
        await wait_until(lambda c=c: inventory(c)) for c in engines(fleet).values()
    ]
    return [one["boot_id"] for one in found]


async def busy_endpoint(fleet):
    """Return the name of an endpoint that has a stream in decode."""
    for name, child in engines(fleet).items():
        found = await inventory(child) or {"streams": []}
        if any(stream["state"] == "decode" for stream in found["streams"]):
            return name
    return None


async def restore_fleet(fleet):
    """Clear faults, restart dead processes and apply the initial configuration."""
    await inject_faults(fleet.child("platform"), outage_s=0, slow_s=0)
    for name, child in list(fleet.children.items()):
        if child.process.poll() is not None:
            await fleet._wait_for(await fleet.restart_role(name), "/healthz", 200)
        else:
            child.signal(signal.SIGCONT)
    for child in engines(fleet).values():
        await inject_faults(child, **NO_ENGINE_FAULTS)
    await inject_faults(bookings_service(fleet), **NO_SERVICE_FAULTS)
    await fleet.wait_joined()
    applied = await wait_until(lambda: apply_succeeds(fleet))
    assert applied
    await fleet.wait_ready()
    await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))
    for number in range(12):  # warms up all engines
        await wait_until(lambda number=number: answers(fleet, f"warm {number}"))


async def apply_succeeds(fleet):
    return (await fleet.apply()).code == 200


async def answers(fleet, prompt):
    entry = fleet.entries()[0]
    return await Caller(entry, prompt, output_tokens=1, stream=False).is_complete()


@attrs.define(eq=False)
class Caller:
    """One request and the data received for it."""

    entry: object
    prompt: str
    output_tokens: int = OUTPUT_TOKENS
    stream: bool = True
    headers: dict = attrs.field(factory=dict)
    data: bytearray = attrs.field(init=False, factory=bytearray)
    task: asyncio.Task = attrs.field(init=False, default=None)
    _received: asyncio.Event = attrs.field(init=False, factory=asyncio.Event)

    def start(self):
        self.task = asyncio.ensure_future(self._send())
        return self

    def _send(self):
        body = {"model": MODEL, "prompt": self.prompt, "stream": self.stream}
        return fetch(
            f"{self.entry.url}/v1/completions",
            "POST",
            body | {"max_tokens": self.output_tokens},
            caller_headers(WORKSPACE) | {"X-Request-Timeout-S": "80"} | self.headers,
            WAIT_TIMEOUT_S,
            self._on_chunk,
        )

    def _on_chunk(self, chunk):
        self.data += chunk
        self._received.set()

    async def ended(self):
        """Wait for the end of the request, also if its connection is cut."""
        await asyncio.wait([self.task])
        self.task.cancelled() or self.task.exception()

    async def wait_first_tokens(self):
        """Wait for the first data; without streaming it comes only at the end."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self._received.wait()

    def events(self):
        """Return the texts of the complete events, and the last event id."""
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

    async def is_complete(self):
        if self.task is None:
            self.start()
        await self.ended()
        return self.text() == self.expected()

    def is_refused(self):
        """Return whether the answer is a refusal with ``not_run`` and a retry delay."""
        if not self.data.startswith(b'{"error"'):
            return False
        error = json.loads(self.data)["error"]
        return error.get("not_run") is True and "retry_after_s" in error

    async def retry_until_complete(self):
        """Retry while the request is refused as not run; then assert completeness."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not await self.is_complete() and self.is_refused():
                await asyncio.sleep(POLL_INTERVAL_S)
                self.data.clear()
                self.start()
        await self.assert_complete()

    async def assert_complete(self):
        assert await self.is_complete(), bytes(self.data[-600:])


async def open_caller(entry, prompt, output_tokens):
    """Send a request over a connection that the test can close; return its writer."""
    port = int(entry.url.rpartition(":")[2])
    body = {"model": MODEL, "prompt": prompt, "max_tokens": output_tokens}
    data = json.dumps(body).encode()
    head = f"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: {len(data)}"
    key = caller_headers(WORKSPACE)["Authorization"]
    _, writer = await asyncio.open_connection(ADDRESS, port)
    head += f"\r\nAuthorization: {key}\r\nX-Request-Timeout-S: {LONG_TIMEOUT_S}"
    writer.write(f"{head}\r\n\r\n".encode() + data)
    return writer


async def resume_stream(entry, event_id):
    """Resume a stream through an entry; return a caller with the remaining events."""
    stream_id = event_id.rpartition(".")[0]
    headers = caller_headers(WORKSPACE) | {"Last-Event-ID": event_id}
    reader = Caller(entry, "")
    await fetch(
        f"{entry.url}/v1/streams/{stream_id}",
        headers=headers,
        timeout_s=WAIT_TIMEOUT_S,
        on_chunk=reader._on_chunk,
    )
    return reader


async def grant_count(fleet, endpoint):
    """Return the number of grants that an agent has issued."""
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
        timeout_s=WAIT_TIMEOUT_S,
    )
