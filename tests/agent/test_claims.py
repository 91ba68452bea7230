"""At-most-once calls through the real I/O layer against a simulated log and service."""

import asyncio

from sorrelhoist import exceptions as errors
from tests.agent.claims_world import Agent, World
from tests.virtual_loop import run_virtual


def test_key_runs_once_and_later_calls_replay_its_answer():
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


def test_new_agent_refuses_keys_older_than_the_retained_log():
    async def main():
        world = World()
        first = Agent(world, "a")
        await first.ready()
        old_key = world.key()
        await first.attempt_call(old_key)
        await asyncio.sleep(200.0)
        key = world.key()
        await asyncio.sleep(100.0)
        await first.attempt_call(world.key())
        world.first_offset = 3
        second = Agent(world, "b")
        await second.ready()
        assert isinstance(await second.attempt_call(old_key), errors.KeyExpiredError)
        assert isinstance(await second.attempt_call(key), errors.KeyExpiredError)
        await asyncio.sleep(61.0)
        young = await second.attempt_call(world.key())
        assert young.body == b"ran deposit"
        world.check()
        await asyncio.gather(first.kill(), second.kill())

    run_virtual(main())


def test_concurrent_calls_with_same_key_are_coalesced():
    async def main():
        world = World()
        agent = Agent(world, "a", {"claim": ["slow"]})
        await agent.ready()
        key = world.key()
        replies = await asyncio.gather(
            agent.attempt_call(key),
            agent.attempt_call(key),
            agent.attempt_call(key, b"other"),
            agent.attempt_call(key, budget_s=1.0),
        )
        assert [reply.replayed for reply in replies[:2]] == [False, True]
        assert isinstance(replies[2], errors.KeyReusedError)
        assert isinstance(replies[3], errors.OutcomeUnknownError)
        assert agent.calls.counters.joined == 2
        world.check()
        await agent.kill()

    run_virtual(main())


def test_joined_caller_continues_after_first_deadline():
    async def main():
        world = World()
        agent = Agent(world, "a", {"claim": ["slow"]})
        await agent.ready()
        key = world.key()
        short, long = await asyncio.gather(
            agent.attempt_call(key, budget_s=2.0),
            agent.attempt_call(key, budget_s=30.0),
        )
        assert isinstance(short, errors.DeadlineExceededError)
        assert long.body == b"ran deposit"
        await agent.kill()

    run_virtual(main())


def test_calls_are_refused_without_effect_while_log_is_down():
    async def main():
        world = World()
        agent = Agent(world, "a")
        await agent.ready()
        world.log_down = True
        refused = await agent.attempt_call(world.key())
        assert isinstance(refused, errors.LogUnavailableError)
        assert refused.not_run and refused.retry_after_s
        fresh = Agent(world, "b")
        unready = await fresh.attempt_call(world.key())
        assert isinstance(unready, errors.NotReadyError)
        assert unready.not_run and unready.retry_after_s
        assert not world.effects
        await asyncio.gather(agent.kill(), fresh.kill())

    run_virtual(main())


def test_group_commit_appends_many_claims_in_few_batches():
    async def main():
        world = World()
        agent = Agent(world, "a")
        await agent.ready()
        agent.steps.clear()
        keys = [world.key() for world.seed in range(50)]
        await asyncio.gather(*(agent.attempt_call(key) for key in keys))
        appends = sum(agent.steps.count(step) for step in ("claim", "outcome"))
        assert len(world.effects) == 50
        assert appends <= 6
        await agent.kill()

    run_virtual(main())


def test_drain_finishes_calls_and_pending_records():
    async def main():
        world = World()
        agent = Agent(world, "a", {"call": ["slow"], "outcome": ["refused"] * 3})
        await agent.ready()
        key = world.key()
        running = asyncio.create_task(agent.attempt_call(key))
        await asyncio.sleep(1.0)
        draining = asyncio.create_task(agent.calls.drain())
        await asyncio.sleep(0.1)
        refused = await agent.attempt_call(world.key())
        assert isinstance(refused, errors.NotReadyError) and refused.not_run
        await draining
        assert running.done() and running.result().body == b"ran deposit"
        assert agent.calls.dump()["pending_records"] == 0
        other = Agent(world, "b")
        await other.ready()
        assert (await other.attempt_call(key)).replayed
        await asyncio.gather(agent.kill(), other.kill())

    run_virtual(main())


def test_calls_without_at_most_once_bypass_the_log():
    async def main():
        world = World(log_down=True)
        agent = Agent(world, "a", at_most_once=False)
        reply = await agent.attempt_call("any")
        assert reply.body == b"ran deposit"
        assert not world.records
        await agent.kill()

    run_virtual(main())


def test_answers_above_size_limit_are_not_recorded():
    async def main():
        world = World()
        agent = Agent(world, "a")
        await agent.ready()
        key, body = world.key(), b"x" * 40_000
        first = await agent.attempt_call(key, body)
        again = await agent.attempt_call(key, body)
        assert first.body == b"ran " + body
        assert isinstance(again, errors.OutcomeUnknownError)
        assert "200" in again.message
        await agent.kill()

    run_virtual(main())
