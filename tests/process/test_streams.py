"""Streams while entries, agents and engines are killed, frozen and stopped."""

import asyncio
import signal

import pytest

from tests.process.support import (
    LONG_TIMEOUT_S,
    Caller,
    boot_ids,
    busy_endpoint,
    engines,
    inject_faults,
    inventories,
    kv_cache_is_empty,
    open_caller,
    resume_stream,
    streams_in_decode,
    wait_until,
)

pytestmark = pytest.mark.process


# Generating this many takes longer than any test waits.
ENDLESS_OUTPUT_TOKENS = 12_000


async def decoding_count_is(fleet, count):
    return await streams_in_decode(fleet) == count


async def start_decoding(fleet, prompt, **more):
    """Start a caller and wait for its first data; return it and its endpoint."""
    caller = Caller(fleet.entries()[0], prompt, **more).start()
    await caller.wait_first_tokens()
    endpoint = await wait_until(lambda: busy_endpoint(fleet))
    return caller, endpoint


def test_stream_resumes_through_another_entry_after_an_entry_is_killed(run):
    async def main(fleet):
        caller, _ = await start_decoding(fleet, "killed entry")
        fleet.child("entry-1").kill()
        await caller.ended()
        texts, event_id = caller.events()
        rest = await resume_stream(fleet.child("entry-2"), event_id)
        assert "".join(texts) + rest.text() == caller.expected(), bytes(rest.data)
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


def test_disconnected_callers_and_killed_entries_hold_no_kv_cache(run):
    async def main(fleet):
        entry = fleet.child("entry-2")
        gone = [
            await open_caller(entry, f"gone {n}", ENDLESS_OUTPUT_TOKENS)
            for n in range(2)
        ]
        patient = {"X-Request-Timeout-S": str(LONG_TIMEOUT_S)}
        try:
            caller, _ = await start_decoding(
                fleet,
                "killed entry",
                output_tokens=ENDLESS_OUTPUT_TOKENS,
                headers=patient,
            )
            await wait_until(
                lambda: decoding_count_is(fleet, 3), lambda: inventories(fleet)
            )
        finally:  # also after a failure, as the next test uses the same fleet
            for writer in gone:
                writer.close()
        fleet.child("entry-1").kill()
        await caller.ended()
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


def test_answer_is_complete_after_its_agent_is_killed(run):
    async def main(fleet):
        caller, endpoint = await start_decoding(fleet, "killed agent")
        fleet.child(f"agent-{endpoint}").kill()
        await fleet.restart_role(f"agent-{endpoint}")
        await caller.assert_complete()
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


def test_answer_is_complete_after_its_engine_dies(run):
    async def main(fleet):
        caller, endpoint = await start_decoding(fleet, "dead engine")
        await inject_faults(engines(fleet)[endpoint], die=True)
        await caller.assert_complete()
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


@pytest.mark.parametrize("kind", ["engine", "agent"])
def test_answer_is_complete_while_a_process_is_frozen(run, kind):
    async def main(fleet):
        caller, endpoint = await start_decoding(fleet, f"frozen {kind}")
        frozen = fleet.child(f"{kind}-{endpoint}")
        frozen.signal(signal.SIGSTOP)
        await caller.assert_complete()
        frozen.signal(signal.SIGCONT)
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


def test_prompt_larger_than_two_engines_frees_all_its_parts(run):
    async def main(fleet):
        caller = Caller(fleet.entries()[0], "contract " * 17_000, 20)
        await caller.assert_complete()
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


@pytest.mark.parametrize("kind", ["entry", "agent"])
def test_graceful_stop_interrupts_no_answer(run, kind):
    async def main(fleet):
        caller, endpoint = await start_decoding(fleet, f"stopped {kind}")
        beside = [
            Caller(fleet.child("entry-2"), f"beside {n}", 20).start() for n in range(4)
        ]
        name = "entry-1" if kind == "entry" else f"agent-{endpoint}"
        assert await fleet.child(name).stop(60.0) == 0
        for one in [caller, *beside]:
            await one.assert_complete()
        await wait_until(lambda: kv_cache_is_empty(fleet), lambda: inventories(fleet))

    run(main)


def test_poison_request_is_blocked_and_other_requests_complete(run):
    async def main(fleet):
        for child in engines(fleet).values():
            await inject_faults(child, crash_on_text="poisoned cake")
        poison = [Caller(entry, "a poisoned cake") for entry in fleet.entries()]
        others = [
            Caller(fleet.entries()[n % 2], f"innocent {n}", 30).start()
            for n in range(12)
        ]
        answers = await asyncio.gather(*(one.start().task for one in poison))
        codes = [answer.code for answer in answers]
        for one in others:
            await one.assert_complete()
        boots = await boot_ids(fleet)
        again = [Caller(entry, "a poisoned cake") for entry in fleet.entries()]
        answers = await asyncio.gather(*(one.start().task for one in again))
        assert [answer.code for answer in answers] == [422, 422], codes
        assert await boot_ids(fleet) == boots

    run(main)
