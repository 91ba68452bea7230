"""What the contract tests share."""

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
SPINS_TO_SETTLE = 200


def spec(stream_id="a", prompt="a pirate party", output_tokens=5, **more):
    return StreamSpec(stream_id, MODEL, prompt, output_tokens, **more)


async def strike(running, **faults):
    """Switch faults on through the interface."""
    response = await fetch(json_request("POST", f"{running.url}/faults", faults))
    assert response.code == 200, response.body


async def whole(items):
    """Read a stream to its end; return its lines' tokens and the end."""
    lines = []
    async for item in items:
        if not isinstance(item, EngineTokens):
            return lines, item
        lines.append(item)
    raise AssertionError("no end")


async def text_of(client, stream_spec):
    """Run a stream; return what follows the delivered tokens, in one piece."""
    async with client.stream(stream_spec) as items:
        lines, _ = await whole(items)
    return "".join(token for line in lines for token in line.tokens)


async def reassembled(client, stream_spec, cuts=100):
    """Run a stream through cuts, duplicates and crossed lines."""
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
        whole_until = next(i for i in range(len(tokens) + 1) if i not in tokens)
        opened = client.resume(stream_spec.stream_id, whole_until)
    raise AssertionError("no end")


async def until(condition):
    """Let the loop run until a condition holds."""
    while not condition():
        await asyncio.sleep(0)


async def settled(measure):
    """Let the loop run until a measure stands still; return it."""
    last, unchanged = measure(), 0
    while unchanged < SPINS_TO_SETTLE:
        await asyncio.sleep(0)
        unchanged = unchanged + 1 if measure() == last else 0
        last = measure()
    return last


async def get(url):
    """Return a JSON answer."""
    return json.loads((await fetch(json_request("GET", url))).body)


def client_of(running, **more):
    return EngineClient(running.url, **more)
