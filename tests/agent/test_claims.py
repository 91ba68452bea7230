"""Claimed calls through the real shell, against each fault at each step."""

import asyncio

from sorrelhoist import exceptions as errors
from tests.agent.claims_world import Agent, World
from tests.virtual_loop import run_virtual


def test_claims_call_once_and_replay():
    async def main():
        world = World()
        first, second = Agent(world, "a"), Agent(world, "b")
        await first.ready()
        key = world.key()
        reply = await first.attempt_call(key)
        again = await first.attempt_call(key)
        elsewhere = await second.attempt_call(key)
        other_body = await second.attempt_call(key, b"other")
        assert (reply.body, reply.replayed) == (b"ran deposit", False)
        assert (again.body, again.replayed) == (b"ran deposit", True)
        assert (elsewhere.body, elsewhere.replayed) == (b"ran deposit", True)
        assert isinstance(other_body, errors.KeyReusedError)
        world.check()
        await asyncio.gather(first.kill(), second.kill())

    run_virtual(main())
