"""Malformed answers of the store raise `PlatformError`."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from sorrelhoist.decisions.store_readers import StorePosition
from sorrelhoist.exceptions import PlatformError
from sorrelhoist.platform.store import (
    CONNECT_TIMEOUT_S,
    KeyedRecord,
    PartialRead,
    RecordsExpiredError,
    StoreClient,
    StoreRestoredError,
)
from tests.platform.standins import Store


def call(store, method, *values):
    async def main():
        await store.start()
        client = StoreClient(store.address)
        try:
            return await getattr(client, method)(*values)
        finally:
            client.close()
            await store.stop()

    return asyncio.run(main())


def test_a_late_thread_of_a_busy_process_fails_no_call():
    # A gateway with 200 slow callers lost the store: "timeout while resolving".
    async def main():
        store = await Store().start()
        store.put("t", "a", b"1")
        client = StoreClient(store.address)
        with ThreadPoolExecutor(1) as executor:
            loop = asyncio.get_running_loop()
            loop.set_default_executor(executor)
            late = loop.run_in_executor(None, time.sleep, 2 * CONNECT_TIMEOUT_S)
            assert (await client.newest("t")).records == (KeyedRecord("a", b"1"),)
            assert not late.done()
            await late
        client.close()
        await store.stop()

    asyncio.run(main())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"no json",
        b"[]",
        b"{}",
        b'{"items": 3, "end_offset": 1}',
        b'{"items": [{"key": "a"}], "end_offset": 1}',
        b'{"items": [{"key": "a", "val": 3}], "end_offset": 1}',
        b'{"items": [], "end_offset": null}',
        b'{"items": [], "end_offset": 1, "has_more": true}',
        b'{"items": [], "end_offset": 1e999}',
        b'{"items": ' + b"[" * 200_000,
    ],
)
def test_a_malformed_page_raises_platform_error(body):
    with pytest.raises(PlatformError):
        call(Store(mode="odd", malformed_body=body), "newest", "keyed.op")


def test_a_page_goes_on_after_a_key_that_can_not_be_encoded():
    partial = PartialRead([KeyedRecord("i-\ud800", b"{}")], StorePosition(1, era=1))
    assert call(Store(), "newest", "keyed.servers", partial).records


@pytest.mark.parametrize("body", [b"", b"\0" * 15, b"\0" * 16 + b"\0\0\0\7ab"])
def test_truncated_records_raise_platform_error(body):
    with pytest.raises(PlatformError):
        call(
            Store(mode="odd", malformed_body=body),
            "read",
            "keyed.op",
            StorePosition(0, era=1),
        )


# Restoration from an older copy


def in_turn(*steps):
    """Run steps with one client; each is called with the client and the store."""

    async def main():
        store = await Store().start()
        eras = []
        client = StoreClient(store.address, lambda *change: eras.append(change))
        try:
            for step in steps:
                await step(client, store)
        finally:
            client.close()
            await store.stop()
        return eras

    return asyncio.run(main())


def test_an_offset_that_is_in_use_again_raises_store_restored():
    async def main(client, store):
        store.put("keyed.op", "a", {})
        copy = store.copy()
        store.put("keyed.op", "b", {})
        position = (await client.newest("keyed.op")).end
        store.restore(copy)
        store.put("keyed.op", "c", {})
        with pytest.raises(StoreRestoredError):
            await client.read("keyed.op", position)
        assert [one.key for one in (await client.newest("keyed.op")).records] == [
            "a",
            "c",
        ]

    assert in_turn(main) == [(1, 2)]


def test_an_offset_past_the_end_raises_records_expired():
    async def main(client, store):
        copy = store.copy()
        store.put("keyed.op", "b", {})
        position = (await client.newest("keyed.op")).end
        store.restore(copy)
        with pytest.raises(RecordsExpiredError):
            await client.read("keyed.op", position)

    assert in_turn(main) == [(1, 2)]


def test_an_answer_of_an_earlier_era_is_refused():
    async def main(client, store):
        store.era = 3
        await client.newest("keyed.op")
        store.era = 2
        with pytest.raises(PlatformError):
            await client.newest("keyed.op")
        store.era = 3
        await client.newest("keyed.op")

    assert in_turn(main) == []


@pytest.mark.parametrize("era", ["", "x", "1.5"])
def test_an_era_that_is_no_number_raises_platform_error(era):
    async def main(client, store):
        store.era = era
        with pytest.raises(PlatformError):
            await client.newest("keyed.op")

    in_turn(main)


def test_a_store_without_eras_is_read_as_before():
    async def main(client, store):
        store.era = None
        store.put("keyed.op", "a", {})
        position = (await client.newest("keyed.op")).end
        store.put("keyed.op", "b", {})
        batch = await client.read("keyed.op", position)
        assert [one.key for one in batch.records] == ["b"]

    assert in_turn(main) == []


# Large topics


def test_a_read_that_failed_goes_on_after_the_pages_that_it_had(monkeypatch):
    answer, calls = Store._answer, []

    async def busy_once(store, received):
        calls.append(received.query.get("after"))
        if len(calls) == 2:
            return store._answer_bytes(429)
        return await answer(store, received)

    async def main(client, store):
        store.page_records = 2
        for number in range(5):
            store.put("keyed.servers", f"i-{number}", {})
        partial = PartialRead()
        with pytest.raises(PlatformError):
            await client.newest("keyed.servers", partial)
        batch = await client.newest("keyed.servers", partial)
        assert [one.key for one in batch.records] == [f"i-{n}" for n in range(5)]
        assert calls == [None, "i-1", "i-1", "i-3"]
        assert not partial.records

    monkeypatch.setattr(Store, "_answer", busy_once)
    in_turn(main)


def test_an_answer_tells_whether_the_store_had_more_records():
    async def main(client, store):
        position = (await client.newest("keyed.servers")).end
        store.page_records = 2
        for number in range(3):
            store.put("keyed.servers", f"i-{number}", {})
        first = await client.read("keyed.servers", position)
        second = await client.read("keyed.servers", first.end)
        assert (first.is_complete, second.is_complete) == (False, True)

    in_turn(main)
