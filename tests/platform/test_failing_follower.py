"""Records and answers that fail in unexpected ways end no process."""

import asyncio
import time

import pytest

from sorrelhoist.exceptions import PlatformError
from sorrelhoist.platform import source
from sorrelhoist.platform.store import StoreClient
from tests.platform.fleet import configuration, run_with_fleet, until
from tests.platform.real_gateway import head, run_in_world
from tests.platform.standins import whole

HUGE = 10**400
ODD_VALUES = (b"", b"\xff\xfe", b"null", b"[]", b"3", b'"text"', b"{}", b"[" * 100_000)


def odd_fields(fields):
    """Yield copies of a record with one field of another type each."""
    for name in fields:
        for value in (None, [], {}, [[]], "text", -1, True, HUGE, 1e308, float("nan")):
            yield fields | {name: value}


def fails(*args):
    raise RuntimeError("unexpected")


def test_a_decoder_that_fails_leaves_the_age_to_grow_until_a_good_version(monkeypatch):
    async def main(fleet):
        await fleet.add(whole(), service="app")
        with monkeypatch.context() as patch:
            patch.setattr(source, "decode_table", fails)
            fleet.store.put("keyed.op", "config", configuration(2))
            await until(lambda: fleet.state.task_failures["configuration"] >= 2)
            async with asyncio.timeout(5.0):
                while await fleet.is_ready():
                    await asyncio.sleep(0.05)
        await fleet.configure(configuration(3))
        assert (await fleet.fetch()).status == 200
        assert await fleet.is_ready()

    run_with_fleet(main)


def test_a_record_that_cannot_be_applied_is_skipped_and_the_others_hold(monkeypatch):
    decode = source.decode_endpoint

    def fails_for_one(key, value, now_s):
        return fails() if key == "i-odd" else decode(key, value, now_s)

    monkeypatch.setattr(source, "decode_endpoint", fails_for_one)
    monkeypatch.setattr(source, "decode_gateway", fails)

    async def main(fleet):
        fleet.store.put("keyed.servers", "i-odd", {"state": "ready"})
        fleet.store.put("keyed.gateways", "g-odd", {"host": "127.0.0.1", "port": 1})
        await fleet.add(whole(), service="app")
        assert (await fleet.fetch()).status == 200
        assert fleet.state.task_failures["record"]
        assert set(fleet.state.task_failures) == {"record"}

    run_with_fleet(main)


def test_a_real_process_goes_on_after_odd_records_and_follows_good_ones(tmp_path):
    async def main(world):
        store = world.store
        gateway = await world.start()
        config = configuration(2)
        entry = next(iter(world.endpoints.values())).entry(backend="app")
        odd_configs = [*odd_fields(config)]
        odd_configs += [
            config | {name: [odd]}
            for name in ("routes", "backends", "tenants")
            for odd in odd_fields(config[name][0])
        ]
        for number, odd in enumerate(odd_configs):
            # Versions stay below the good one that follows, where they are numbers.
            store.put("keyed.op", "config", {"version": 1} | odd)
            if number % 40 == 0:
                await asyncio.sleep(0.02)
        for topic in ("keyed.op", "keyed.servers", "keyed.gateways"):
            for number, value in enumerate(ODD_VALUES):
                # The stand-in counts characters: this key ends inside of one.
                for key in (f"odd-{number}", "", "é", "config", "evacuate/\x00"):
                    store.put(topic, key, value)
        for number, odd in enumerate(odd_fields(entry)):
            store.put("keyed.servers", f"odd-{number}", odd)
        for number, odd in enumerate(odd_fields({"host": "127.0.0.1", "port": 9})):
            store.put("keyed.gateways", f"odd-{number}", odd)
        await asyncio.sleep(2.0)
        assert gateway.is_running
        store.put("keyed.op", "config", configuration(2**53, keys=["key-2"]))
        async with asyncio.timeout(10.0):
            while (await gateway.call(head(authorization="Token key-2"))).status != 200:
                await asyncio.sleep(0.1)
        assert not gateway.events("task_failed")
        assert not gateway.events("record_failed")

    run_in_world(tmp_path, main)


def test_a_wall_clock_that_steps_changes_neither_readiness_nor_keys(monkeypatch):
    async def main(fleet):
        await fleet.add(whole(), service="app")
        now = time.time
        for step_s in (-86_400.0, 86_400.0, 3.0, -3.0, -now()):
            monkeypatch.setattr(time, "time", lambda step_s=step_s: now() + step_s)
            end_s = time.monotonic() + 1.0
            while time.monotonic() < end_s:
                assert (await fleet.fetch()).status == 200
                assert await fleet.is_ready()
                await asyncio.sleep(0.1)
        assert not fleet.state.task_failures

    run_with_fleet(main)


@pytest.mark.parametrize(
    "answer",
    (
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"\x00\xff\xfe\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n: \r\n\r\n",
        b"HTTP/1.1 200 OK\r\nStore-Era: 1e9\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 302 Found\r\nLocation: gopher://[\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 2,
        b"",
    ),
)
def test_an_answer_that_is_no_http_is_a_failure_of_the_store(answer):
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        writer.close()

    async def main():
        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}")
        try:
            with pytest.raises(PlatformError):
                await client.newest("keyed.op")
        finally:
            client.close()
            server.close()

    asyncio.run(main())
