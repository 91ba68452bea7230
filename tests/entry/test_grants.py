"""Which agents are asked for a grant, and for how long."""

import asyncio
import random
import time

from sorrelhoist.decisions.routing import (
    ExpectedFirstToken,
    Router,
    RouteRequest,
    Target,
)
from sorrelhoist.entry.grants import Ask, GrantSeeker, HeldGrant
from sorrelhoist.messages.gen import ttypes
from sorrelhoist.node.peers import PeerAddress

PATIENCE_S = 0.02


def target(name):
    return Target(name, f"agent-{name}", "praha-a", 20_000)


def ask_for(deadline_s):
    route = RouteRequest("clown-large", "praha-a", 10, 12_000, (), False)
    return Ask(route, ttypes.GrantRequest(request_id="r1"), deadline_s)


def seeker_of(ask_agent):
    return GrantSeeker(
        Router(ExpectedFirstToken(), random.Random(1)),
        ask_agent,
        lambda node_id: PeerAddress(node_id, 1),
        time.monotonic,
        queue_patience_s=PATIENCE_S,
    )


async def seek(ask_agent, names):
    ask = ask_for(time.monotonic() + 3600.0)
    async with asyncio.timeout(5.0):
        return await seeker_of(ask_agent).seek(ask, [target(name) for name in names])


def test_a_queue_is_left_while_another_endpoint_looks_free():
    asked = []

    async def ask_agent(address, body, timeout_s):
        asked.append(address.address)
        if len(asked) == 1:  # its memory is full of a stream without an end
            await asyncio.sleep(timeout_s)
        return ttypes.Grant(grant_id="g")

    held = asyncio.run(seek(ask_agent, ["a", "b"]))
    assert isinstance(held, HeldGrant)
    assert len(set(asked)) == 2


def test_the_last_queue_is_not_left():
    async def ask_agent(address, body, timeout_s):
        await asyncio.sleep(4 * PATIENCE_S)
        return ttypes.Grant(grant_id="g")

    assert isinstance(asyncio.run(seek(ask_agent, ["a"])), HeldGrant)


def test_a_request_goes_back_to_a_queue_that_it_left():
    asked = []

    async def ask_agent(address, body, timeout_s):
        asked.append(address.address)
        if len(asked) == 1:
            await asyncio.sleep(timeout_s)
        if len(asked) == 2:
            return ttypes.Denial(kind="overloaded", not_run=True)
        return ttypes.Grant(grant_id="g")

    held = asyncio.run(seek(ask_agent, ["a", "b"]))
    assert isinstance(held, HeldGrant)
    assert asked[2] == asked[0]
