"""Which agents get a grant request, and how long it may queue at each."""

import asyncio
import random
import time

from sorrelhoist.decisions.routing import (
    ExpectedFirstToken,
    Router,
    RouteRequest,
    Target,
)
from sorrelhoist.entry.grants import GrantAcquirer, HeldGrant, PendingRequest
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node.peers import PeerAddress

QUEUE_TIMEOUT_S = 0.02


def target(name):
    return Target(name, f"agent-{name}", "praha-a", 20_000)


def pending_request(deadline_s):
    route = RouteRequest("clown-large", "praha-a", 10, 12_000, (), False)
    return PendingRequest(route, ttypes.GrantRequest(request_id="r1"), deadline_s)


def acquirer_with(call_agent):
    return GrantAcquirer(
        Router(ExpectedFirstToken(), random.Random(1)),
        call_agent,
        lambda node_id: PeerAddress(node_id, 1),
        time.monotonic,
        queue_timeout_s=QUEUE_TIMEOUT_S,
    )


async def acquire(call_agent, names):
    pending = pending_request(time.monotonic() + 3600.0)
    async with asyncio.timeout(5.0):
        return await acquirer_with(call_agent).acquire(
            pending, [target(name) for name in names]
        )


def test_queue_timeout_applies_while_another_endpoint_looks_free():
    asked = []

    async def call_agent(address, body, timeout_s):
        asked.append(address.address)
        if len(asked) == 1:  # its KV cache is held by a stream that never ends
            await asyncio.sleep(timeout_s)
        return ttypes.Grant(grant_id="g")

    held = asyncio.run(acquire(call_agent, ["a", "b"]))
    assert isinstance(held, HeldGrant)
    assert len(set(asked)) == 2


def test_queue_timeout_does_not_apply_to_the_last_endpoint():
    async def call_agent(address, body, timeout_s):
        await asyncio.sleep(4 * QUEUE_TIMEOUT_S)
        return ttypes.Grant(grant_id="g")

    assert isinstance(asyncio.run(acquire(call_agent, ["a"])), HeldGrant)


def test_request_returns_to_a_queue_it_left_if_the_others_deny():
    asked = []

    async def call_agent(address, body, timeout_s):
        asked.append(address.address)
        if len(asked) == 1:
            await asyncio.sleep(timeout_s)
        if len(asked) == 2:
            return ttypes.Denial(kind="overloaded", not_run=True)
        return ttypes.Grant(grant_id="g")

    held = asyncio.run(acquire(call_agent, ["a", "b"]))
    assert isinstance(held, HeldGrant)
    assert asked[2] == asked[0]
