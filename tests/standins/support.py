"""Helpers for the contract tests of the stand-ins and their clients."""

import asyncio
import json

from sorrelhoist.clients.engine import EngineClient
from sorrelhoist.clients.engine_messages import EngineTokens, StreamSpec
from sorrelhoist.clients.exceptions import EngineUnreachableError
from sorrelhoist.clients.http import fetch, json_request
from sorrelhoist.standins.engine_options import EngineOptions

MODEL = "clown-large"
FAST = EngineOptions(
    start_cold=False,
    prefill_tokens_per_s=1e9,
    decode_step_s=0.0,
    restart_s=0.0,
    report_lag_s=0.0,
    load_s=0.0,
    cache_event_lag_s=0.0,
    cache_event_loss=0.0,
)
STABLE_LOOP_TURNS = 200


def spec(stream_id="a", prompt="a pirate party", output_tokens=5, **more):
    return StreamSpec(stream_id, MODEL, prompt, output_tokens, **more)


async def inject_faults(running, **faults):
    """Change faults through the HTTP interface."""
    response = await fetch(json_request("POST", f"{running.url}/faults", faults))
    assert response.code == 200, response.body


async def whole(items):
    """Read a stream to its end; return the token lines and the end line."""
    lines = []
    async for item in items:
        if not isinstance(item, EngineTokens):
            return lines, item
        lines.append(item)
    raise AssertionError("no end")


async def generate_text(client, stream_spec):
    """Run a stream and return the text after the delivered tokens."""
    async with client.stream(stream_spec) as items:
        lines, _ = await whole(items)
    return "".join(token for line in lines for token in line.tokens)


async def read_with_resumes(client, stream_spec, cuts=100):
    """Return the text of a stream despite cuts, duplicated and reordered lines."""
    tokens: dict[int, str] = {}
    opened = client.stream(stream_spec)
    for _ in range(cuts):
        try:
            async with opened as items:
                async for item in items:
                    if not isinstance(item, EngineTokens):
                        assert sorted(tokens) == list(range(item.total_tokens))
                        return "".join(tokens[index] for index in sorted(tokens))
                    tokens.update(enumerate(item.tokens, item.sequence))
        except EngineUnreachableError:
            pass
        first_missing = next(i for i in range(len(tokens) + 1) if i not in tokens)
        opened = client.resume(stream_spec.stream_id, first_missing)
    raise AssertionError("no end")


async def until(condition):
    """Yield to the event loop until a condition holds."""
    while not condition():
        await asyncio.sleep(0)


async def wait_until_stable(measure):
    """Yield to the event loop until a value is stable; return the value."""
    last, unchanged = measure(), 0
    while unchanged < STABLE_LOOP_TURNS:
        await asyncio.sleep(0)
        unchanged = unchanged + 1 if measure() == last else 0
        last = measure()
    return last


async def get(url):
    """Return the JSON answer of a GET request."""
    return json.loads((await fetch(json_request("GET", url))).body)


def client_of(running, **more):
    return EngineClient(running.url, **more)
