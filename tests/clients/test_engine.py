"""Tests of the engine client against the stand-in engine and its injected faults."""

import asyncio
import threading
from itertools import pairwise

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sorrelhoist.clients.engine_messages import EngineEnd, ExportedCache, Order
from sorrelhoist.clients.exceptions import EngineRefusedError, EngineUnreachableError
from sorrelhoist.standins.engine_model import answer_text, prompt_digest, token_text
from sorrelhoist.standins.testing import running_engine
from tests.standins.support import (
    FAST,
    MODEL,
    client_of,
    generate_text,
    get,
    inject_faults,
    read_with_resumes,
    spec,
    until,
    wait_until_stable,
    whole,
)

PROMPT = "a pirate party"
FIRST = token_text(0, prompt_digest(PROMPT))


def run(test, options=FAST, **client_options):
    async def main():
        async with running_engine(options) as engine:
            await test(engine, client_of(engine, **client_options))
        assert await wait_until_stable(lambda: len(asyncio.all_tasks())) == 1

    asyncio.run(main())


@pytest.mark.parametrize(
    ("prompt", "output_tokens", "delivered"),
    [
        ("", 3, 0),
        ("x", 0, 0),
        ("Kašpárek píše", 7, 0),
        ("hello " * 5000, 300, 0),
        ("hello", 9, 4),
        ("hello", 9, 9),
    ],
)
def test_stream_returns_the_complete_output(prompt, output_tokens, delivered):
    async def test(engine, client):
        answer = answer_text(prompt, output_tokens)
        delivered_tokens = tuple(f"{word} " for word in answer.split()[:delivered])
        async with client.stream(
            spec("a", prompt, output_tokens, delivered=delivered_tokens)
        ) as items:
            lines, end = await whole(items)
        assert (
            "".join(delivered_tokens) + "".join(t for one in lines for t in one.tokens)
            == answer
        )
        assert not lines or lines[0].sequence == delivered
        assert end == EngineEnd(output_tokens, "stop")
        assert (await client.inventory()).streams[0].kv_tokens == 0

    run(test)


def test_prompt_of_a_million_tokens_completes():
    async def test(engine, client):
        prompt = "abcdefgh" * 500_000
        assert await generate_text(client, spec("a", prompt, 3)) == answer_text(
            prompt, 3
        )

    run(test, attrs.evolve(FAST, kv_capacity_tokens=1_000_003))


@pytest.mark.parametrize(
    ("wanted", "kind_name"),
    [
        (spec("held"), "exists"),
        (spec("a", "x" * 3600, 51), "out_of_memory"),
        (attrs.evolve(spec(), model="other"), "unknown_model"),
        (attrs.evolve(spec(), model=""), "unknown_model"),
        (spec("a", PROMPT, 5, delivered=("w0-crossed ",)), "delivered_mismatch"),
        (spec("a", import_handle="none"), "unknown_import"),
        (spec("a", "another prompt", import_handle="h"), "import_mismatch"),
        (spec("a", group_size=0), "invalid"),
    ],
)
def test_refused_stream_names_its_kind_and_is_not_run(wanted, kind_name):
    async def test(engine, client):
        async with client.stream(spec("held", PROMPT, 46)):
            data = engine.state.core.export(engine.state.core.streams["held"]).data
            await client.import_cache(ExportedCache("h", 0, data))
            with pytest.raises(EngineRefusedError) as caught:
                async with client.stream(wanted):
                    pass
        assert caught.value.kind_name == kind_name
        assert caught.value.not_run
        assert set(engine.state.core.streams) == {"held"}

    # The held stream leaves 950 free tokens, one fewer than the large stream needs.
    run(test, attrs.evolve(FAST, kv_capacity_tokens=1000, decode_step_s=3600.0))


def test_stream_may_use_the_kv_cache_up_to_the_last_token():
    async def test(engine, client):
        assert await generate_text(client, spec("a", "x" * 3800, 50))

    run(test, attrs.evolve(FAST, kv_capacity_tokens=1000))


@pytest.mark.parametrize(
    "faults",
    [
        {"drop_streams": 3},
        {"duplicate_lines": 5},
        {"reorder_lines": 4},
        {"drop_streams": 2, "duplicate_lines": 2, "reorder_lines": 2},
    ],
)
def test_output_is_complete_despite_line_faults(faults):
    async def test(engine, client):
        await inject_faults(engine, **faults)
        answer = await read_with_resumes(client, spec("a", PROMPT, 2000))
        assert answer == answer_text(PROMPT, 2000)
        remaining = [getattr(engine.state.faults, name) for name in faults]
        assert remaining == [0] * len(faults)

    run(test)


@pytest.mark.parametrize(
    ("fault", "is_affected"),
    [
        ("duplicate_lines", lambda first, second: first == second),
        ("reorder_lines", lambda first, second: first.sequence > second.sequence == 0),
    ],
)
def test_line_fault_affects_the_next_line(fault, is_affected):
    async def test(engine, client):
        await inject_faults(engine, **{fault: 1})
        async with client.stream(spec("a", PROMPT, 2000)) as items:
            lines, _ = await whole(items)
        assert is_affected(*lines[:2])
        assert [a.sequence < b.sequence for a, b in pairwise(lines[2:])].count(0) == 0

    run(test)


@given(st.tuples(*[st.integers(0, 6)] * 3), st.integers(0, 40), st.integers(1, 3))
def test_fuzz_every_stream_gets_its_own_complete_output(counts, output_tokens, streams):
    async def test(engine, client):
        names = ("drop_streams", "duplicate_lines", "reorder_lines")
        await inject_faults(engine, **dict(zip(names, counts, strict=True)))
        specs = [spec(f"s{i}", f"prompt {i}", output_tokens) for i in range(streams)]
        answers = await asyncio.gather(
            *(read_with_resumes(client, one) for one in specs)
        )
        expected = [answer_text(one.prompt, output_tokens) for one in specs]
        assert answers == expected

    run(test)


def test_leaving_the_context_closes_the_connection_and_the_stream_continues():
    async def test(engine, client):
        async with client.stream(spec("a", PROMPT, 200)) as items:
            await anext(items)
        server = engine.server._server
        await until(lambda: all(one.closed() for one in server.open_streams))
        async with client.resume("a", 1) as items:
            lines, _ = await whole(items)
        tokens = [FIRST, *(token for line in lines for token in line.tokens)]
        assert "".join(tokens) == answer_text(PROMPT, 200)

    run(test)


def test_crash_breaks_streams_then_refuses_connections_then_restarts_cold():
    async def test(engine, client):
        before = await client.status()
        async with client.stream(spec("a", PROMPT, 10_000)) as items:
            await anext(items)
            await inject_faults(engine, die=True)
            with pytest.raises(EngineUnreachableError) as cut:
                await whole(items)
            with pytest.raises(EngineUnreachableError) as refused:
                await client.status()
        assert (cut.value.not_run, refused.value.not_run) == (False, True)
        engine.state._restart()
        await engine.server.wait_until_listening()
        after = await client.status()
        assert (before.state, after.state) == ("serving", "cold")
        assert before.boot_id != after.boot_id
        assert (await client.inventory()).streams == ()

    run(test, attrs.evolve(FAST, restart_s=3600.0))


def test_poison_prompt_crashes_the_engine_every_time():
    async def test(engine, client):
        await inject_faults(engine, crash_on_text="poison")
        for deaths in (1, 2):
            async with client.stream(spec("a", "some poison here")) as items:
                with pytest.raises(EngineUnreachableError):
                    await whole(items)
            assert engine.state.deaths == deaths
            await engine.server.wait_until_listening()
        assert await generate_text(client, spec("b")) == answer_text(PROMPT, 5)

    run(test)


def test_step_in_progress_at_a_crash_has_no_effect_after_the_restart():
    async def test(engine, client):
        await inject_faults(engine, crash_on_text="poison")
        with pytest.raises(EngineUnreachableError):
            async with client.stream(spec("a", "poison", 0)) as items:
                stream = engine.state.core.streams["a"]
                await until(lambda: stream.started)
                await inject_faults(engine, die=True)
                await whole(items)
        await engine.server.wait_until_listening()
        # The engine starts this stream once the duration of the old step has passed.
        assert await generate_text(client, spec("b")) == answer_text(PROMPT, 5)
        assert engine.state.deaths == 1

    run(test, attrs.evolve(FAST, prefill_tokens_per_s=100.0))


@pytest.mark.parametrize("refuses", [False, True])
def test_overloading_a_cold_engine_crashes_it_or_is_refused(refuses):
    async def test(engine, client):
        async with client.stream(spec("a")), client.stream(spec("b")):
            with pytest.raises(
                EngineRefusedError if refuses else EngineUnreachableError
            ) as caught:
                async with client.stream(spec("c")):
                    pass
        assert engine.state.deaths == (0 if refuses else 1)
        assert not refuses or caught.value.kind_name == "cold"

    slow = attrs.evolve(FAST, start_cold=True, decode_step_s=3600.0)
    run(test, attrs.evolve(slow, cold_refuses=refuses))


def test_cold_state_ends_after_completed_work_and_can_return_without_a_restart():
    async def test(engine, client):
        states = []
        for index in range(3):
            states.append((await client.status()).state)
            await generate_text(client, spec(f"s{index}"))
        assert states == ["cold", "cold", "serving"]
        boot_id = (await client.status()).boot_id
        await inject_faults(engine, cold=True)
        status = await client.status()
        assert (status.state, status.boot_id) == ("cold", boot_id)

    run(test, attrs.evolve(FAST, start_cold=True, warm_work=2))


def test_frozen_engine_times_out_and_resumes_its_stream_afterwards():
    async def test(engine, client):
        async with client.stream(spec("a", PROMPT, 50)) as items:
            await anext(items)
            await inject_faults(engine, freeze_s=3600.0)
            for call in (client.status(), generate_text(client, spec("b"))):
                with pytest.raises(EngineUnreachableError) as caught:
                    await call
                assert not caught.value.not_run
            await inject_faults(engine, freeze_s=0.0)
            lines, end = await whole(items)
        assert end.total_tokens == 50

    run(test, request_timeout_s=0.05)


def test_frozen_engine_can_be_shut_down():
    async def test(engine, client):
        await inject_faults(engine, freeze_s=3600.0)
        with pytest.raises(EngineUnreachableError):
            await client.status()

    run(test, request_timeout_s=0.05)


def test_cancel_is_confirmed_only_once_the_memory_is_free():
    async def test(engine, client):
        async with client.stream(spec("a", PROMPT, 100)) as items:
            await inject_faults(engine, ignore_cancel_count=1)
            assert not await client.cancel("a")
            assert (await client.inventory()).streams[0].kv_tokens > 0
            assert await client.cancel("a")
            assert (await client.status()).kv_used_tokens == 0
            assert (await whole(items))[1].finish_reason == "cancelled"
        assert await client.cancel("unknown")

    run(test, attrs.evolve(FAST, decode_step_s=3600.0))


def test_reserved_part_holds_memory_until_freed():
    async def test(engine, client):
        await client.hold_part("g", 600)
        for stream_id, kind_name in (("g", "exists"), ("h", "out_of_memory")):
            with pytest.raises(EngineRefusedError) as caught:
                await client.hold_part(stream_id, 401)
            assert caught.value.kind_name == kind_name
        assert (await client.inventory()).parts[0].kv_tokens == 600
        assert await client.free_part("g")
        assert await client.free_part("g")
        await client.hold_part("h", 1000)

    run(test, attrs.evolve(FAST, kv_capacity_tokens=1000))


def test_group_leader_holds_only_its_share_of_the_memory():
    async def test(engine, client):
        async with client.stream(spec("a", "x" * 4000, 1, group_size=3)):
            assert (await client.inventory()).streams[0].kv_tokens == 334

    run(test, attrs.evolve(FAST, kv_capacity_tokens=334, decode_step_s=3600.0))


def test_imported_kv_cache_skips_the_prefill_on_another_engine():
    async def test(engine, client):
        async with client.stream(spec("a", PROMPT, 400)) as items:
            first = await anext(items)
            exported = await client.export_stream("a")
        # The import fills the memory: the stream that uses it takes over its memory.
        filled = attrs.evolve(FAST, kv_capacity_tokens=exported.kv_tokens)
        async with running_engine(filled) as second:
            other = client_of(second)
            await other.import_cache(exported)
            assert (await other.inventory()).imports[0].kv_tokens == exported.kv_tokens
            moved = spec("b", PROMPT, 400, import_handle=exported.handle)
            async with other.stream(attrs.evolve(moved, delivered=first.tokens)):
                stream = second.state.core.streams["b"]
                assert stream.remaining_prefill_tokens == 0
                assert (await other.inventory()).imports == ()
            assert await other.cancel("b")
            await other.import_cache(exported)
            assert await other.free_import(exported.handle)
            assert (await other.inventory()).imports == ()

    run(test)


@pytest.mark.parametrize(
    ("fencing", "numbers", "stale", "highest"),
    [
        (True, [5, 5, 6, 4, 6], [3], 6),
        (False, [5, 4], [], 0),
    ],
)
def test_order_with_a_stale_fencing_number_is_refused_if_fencing_is_on(
    fencing, numbers, stale, highest
):
    async def test(engine, client):
        refused = []
        for index, number in enumerate(numbers):
            try:
                await client.order(Order(number, "set_role", role=str(index)))
            except EngineRefusedError as error:
                assert error.kind_name == "stale_fencing"
                refused.append(index)
        status = await client.status()
        assert (refused, status.highest_fencing) == (stale, highest)
        assert status.role == str(len(numbers) - 1)

    run(test, attrs.evolve(FAST, fencing=fencing))


def test_load_replaces_the_model_and_cancels_running_streams():
    async def test(engine, client):
        async with client.stream(spec("a", PROMPT, 100_000)) as items:
            ordered = await client.order(Order(1, "load", "other", "7"))
            assert (await whole(items))[1].finish_reason == "cancelled"
        status = await client.status()
        assert (ordered.model, status.version, status.state) == ("other", "7", "cold")
        with pytest.raises(EngineRefusedError):
            await generate_text(client, spec("b"))
        assert await generate_text(client, attrs.evolve(spec("b"), model="other"))
        await client.order(Order(2, "unload"))
        assert (await client.status()).model == ""

    run(test)


def test_newer_order_supersedes_a_load_in_progress():
    async def test(engine, client):
        load = asyncio.create_task(client.order(Order(1, "load", "other", "7")))
        await until(lambda: engine.state.core.loads_running)
        await client.order(Order(2, "set_role", role="spare"))
        with pytest.raises(EngineRefusedError):
            await load
        assert (await client.status()).model == MODEL

    run(test, attrs.evolve(FAST, load_s=0.05))


def test_prefix_cache_hit_skips_prefill_and_blocks_appear_in_events():
    async def test(engine, client):
        prompt = "x" * 10 * 1024
        await generate_text(client, spec("a", prompt))
        events = await client.cache_events(1)
        assert [event.sequence for event in events.events] == list(range(1, 11))
        assert (await client.cache_events(events.next)).events == ()
        await generate_text(client, spec("b", prompt))
        computed = engine.state.core.streams["b"]
        assert computed.started and computed.remaining_prefill_tokens == 0
        assert engine.state.core.cache.hit_tokens(computed.blocks) == 2560

    run(test)


def test_status_lags_behind_running_requests():
    async def test(engine, client):
        async with client.stream(spec("a")):
            lagging = await client.status()
        assert lagging.running_requests == 0
        assert len(engine.state.core.running) == 1

    run(test, attrs.evolve(FAST, report_lag_s=3600.0, decode_step_s=3600.0))


def test_client_starts_no_thread():
    async def test(engine, client):
        threads = threading.active_count()
        await client.status()
        await generate_text(client, spec())
        assert threading.active_count() == threads

    run(test)


def test_unknown_fields_and_invalid_values_are_rejected():
    async def test(engine, client):
        assert "kind" in await get(f"{engine.url}/v1/cache-events?from=x")
        with pytest.raises(AssertionError, match="invalid"):
            await inject_faults(engine, unheard_of=1)
        assert await wait_until_stable(lambda: engine.state.deaths) == 0

    run(test)
