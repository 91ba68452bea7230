"""Processes are killed, frozen and stopped under streams."""

import asyncio
import signal

import pytest

from tests.process.support import (
    LONG_TIMEOUT_S,
    Caller,
    boot_ids,
    busy_endpoint,
    engines,
    inventories,
    memory_is_free,
    open_caller,
    read_on,
    streams_in_decode,
    strike,
    until,
)

pytestmark = pytest.mark.process


# Takes longer than any test waits.
ENDLESS = 12_000


async def all_run(fleet, count):
    return await streams_in_decode(fleet) == count


async def begun(fleet, prompt, **more):
    """Start a caller and wait for its stream; return both."""
    caller = Caller(fleet.entries()[0], prompt, **more).start()
    await caller.has_some()
    endpoint = await until(lambda: busy_endpoint(fleet))
    return caller, endpoint


def test_a_killed_entry_lets_the_caller_read_on_through_another(run):
    async def main(fleet):
        caller, _ = await begun(fleet, "killed entry")
        fleet.child("entry-1").kill()
        await caller.ended()
        texts, event_id = caller.events()
        rest = await read_on(fleet.child("entry-2"), event_id)
        assert "".join(texts) + rest.text() == caller.expected(), bytes(rest.data)
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


def test_callers_and_entries_that_are_gone_hold_no_memory(run):
    async def main(fleet):
        entry = fleet.child("entry-2")
        gone = [await open_caller(entry, f"gone {n}", ENDLESS) for n in range(2)]
        patient = {"X-Request-Timeout-S": str(LONG_TIMEOUT_S)}
        try:
            caller, _ = await begun(
                fleet, "killed entry", output_tokens=ENDLESS, headers=patient
            )
            await until(lambda: all_run(fleet, 3), lambda: inventories(fleet))
        finally:  # also after a failure, for the next test of this fleet
            for writer in gone:
                writer.close()
        fleet.child("entry-1").kill()
        await caller.ended()
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


def test_a_killed_agent_leaves_the_answer_whole(run):
    async def main(fleet):
        caller, endpoint = await begun(fleet, "killed agent")
        fleet.child(f"agent-{endpoint}").kill()
        await fleet.restart_role(f"agent-{endpoint}")
        await caller.must_be_whole()
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


def test_a_dead_engine_leaves_the_answer_whole(run):
    async def main(fleet):
        caller, endpoint = await begun(fleet, "dead engine")
        await strike(engines(fleet)[endpoint], die=True)
        await caller.must_be_whole()
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


@pytest.mark.parametrize("kind", ["engine", "agent"])
def test_a_frozen_process_leaves_the_answer_whole(run, kind):
    async def main(fleet):
        caller, endpoint = await begun(fleet, f"frozen {kind}")
        frozen = fleet.child(f"{kind}-{endpoint}")
        frozen.signal(signal.SIGSTOP)
        await caller.must_be_whole()
        frozen.signal(signal.SIGCONT)
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


def test_a_prompt_larger_than_two_engines_frees_all_parts(run):
    async def main(fleet):
        caller = Caller(fleet.entries()[0], "contract " * 17_000, 20)
        await caller.must_be_whole()
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_a_planned_stop_cuts_no_answer(run, kind):
    async def main(fleet):
        caller, endpoint = await begun(fleet, f"stopped {kind}")
        beside = [
            Caller(fleet.child("entry-2"), f"beside {n}", 20).start() for n in range(4)
        ]
        name = "entry-1" if kind == "entry" else f"agent-{endpoint}"
        assert await fleet.child(name).stop(60.0) == 0
        for one in [caller, *beside]:
            await one.must_be_whole()
        await until(lambda: memory_is_free(fleet), lambda: inventories(fleet))

    run(main)


def test_poison_stops_killing_engines_and_others_get_their_answers(run):
    async def main(fleet):
        for child in engines(fleet).values():
            await strike(child, crash_on_text="poisoned cake")
        poison = [Caller(entry, "a poisoned cake") for entry in fleet.entries()]
        others = [
            Caller(fleet.entries()[n % 2], f"innocent {n}", 30).start()
            for n in range(12)
        ]
        answers = await asyncio.gather(*(one.start().work for one in poison))
        codes = [answer.code for answer in answers]
        for one in others:
            await one.must_be_whole()
        boots = await boot_ids(fleet)
        again = [Caller(entry, "a poisoned cake") for entry in fleet.entries()]
        answers = await asyncio.gather(*(one.start().work for one in again))
        assert [answer.code for answer in answers] == [422, 422], codes
        assert await boot_ids(fleet) == boots

    run(main)
