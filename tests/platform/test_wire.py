"""Records that another writer left in the store."""

import asyncio
import json

import pytest

from sorrelhoist.platform.wire import (
    MalformedRecordError,
    decode_endpoint,
    decode_gateway,
    decode_table,
)
from tests.platform.fleet import configuration, running_gateway, until
from tests.platform.standins import Store, whole

ENTRY = {"backend": "app", "addr": "10.0.0.1:80", "zone": "a", "state": "ready"}
DEEP = b"[" * 200_000
DEEP_FIELD = json.dumps(ENTRY).encode()[:-1] + b', "x": ' + DEEP + b"]" * 200_000 + b"}"
HUGE = "1" + "0" * 400
INFINITE = "1e999"
REPORTS_S = 0.1
"""Time in which a gateway reports to its peers several times."""


def entry(**fields):
    """Return an entry with these fields, given as JSON text."""
    text = {name: json.dumps(value) for name, value in ENTRY.items()} | fields
    pairs = (f'"{name}": {value}' for name, value in text.items())
    return ("{" + ", ".join(pairs) + "}").encode()


ODD_ENTRIES = {
    "not JSON": b"\xff{",
    "a list": b"[]",
    "a number": b"7",
    "nested": DEEP,
    "nested in a field": DEEP_FIELD,
    "infinite capacity": entry(capacity=INFINITE),
    "huge capacity": entry(capacity=HUGE),
    "capacity of text": entry(capacity='"8"'),
    "capacity that is no number": entry(capacity="NaN"),
    "infinite start": entry(born=INFINITE),
    "huge start": entry(born=HUGE),
    "fraction of a start": entry(born="0.5"),
    "negative start": entry(born="-1"),
    "infinite cold start": entry(cold_left_ms=INFINITE),
    "huge cold start": entry(cold_left_ms=HUGE),
    "cold start that is no number": entry(cold_left_ms="NaN"),
    "cold start of text": entry(cold_left_ms='"5"'),
    "no port": entry(addr='"10.0.0.1:"'),
    "port 0": entry(addr='"10.0.0.1:0"'),
    "port out of range": entry(addr='"10.0.0.1:65536"'),
    "negative port": entry(addr='"10.0.0.1:-80"'),
    "port with a sign": entry(addr='"10.0.0.1:+80"'),
    "port in other digits": entry(addr='"10.0.0.1:\\uff18\\uff10"'),
    "huge port": entry(addr=f'"10.0.0.1:{HUGE}"'),
    "port with a break": entry(addr='"10.0.0.1:8_0"'),
    "a name for a host": entry(addr='"example.test:80"'),
    "a host with a line break": entry(addr='"10.0.0.1\\r\\n:80"'),
    "address of another type": entry(addr="[1]"),
    "zone that can't be encoded": entry(zone='"\\ud800"'),
    "service that can't be encoded": entry(backend='"\\ud800"'),
    "state of another type": entry(state='["ready"]'),
}
odd_entries = pytest.mark.parametrize("value", ODD_ENTRIES.values(), ids=ODD_ENTRIES)


@odd_entries
def test_an_odd_entry_of_an_endpoint_is_malformed(value):
    with pytest.raises(MalformedRecordError):
        decode_endpoint("i-1", value, 0.0)


def test_an_odd_key_is_malformed():
    with pytest.raises(MalformedRecordError):
        decode_endpoint("i-\ud800", entry(), 0.0)
    with pytest.raises(MalformedRecordError):
        decode_gateway("g-\ud800", b'{"host": "10.0.0.1", "port": 80}')


def test_a_usual_entry_of_an_endpoint_is_decoded():
    found = decode_endpoint("i-1", entry(capacity="6", cold_left_ms="250.5"), 1.0)
    assert (found.address, found.capacity) == ("10.0.0.1:80", 6)
    assert found.cold_until_s == pytest.approx(1.2505)
    assert decode_endpoint("i-1", entry(born="1768000000000"), 0.0).born_ms > 0


@pytest.mark.parametrize(
    "value",
    [
        DEEP,
        b'{"version": 1e999, "routes": [], "backends": []}',
        b'{"version": "x", "routes": [], "backends": []}',
        b'{"version": 2, "routes": [], "backends": [], "tenants": 3}',
        b'{"version": 2, "routes": [], "backends": [], "limits": [1]}',
    ],
)
def test_an_odd_configuration_is_malformed(value):
    with pytest.raises(MalformedRecordError):
        decode_table(value)


def test_a_null_in_the_configuration_is_an_absent_field():
    table, with_nulls = configuration(), configuration()
    optional = {
        "routes": "goal_ms gap_target_ms priority attempts public split resumable",
        "backends": "health_path max_conns cold_per_s runtime",
        "tenants": "priority",
    }
    for name, fields in optional.items():
        for before, after in zip(table[name], with_nulls[name], strict=True):
            for field in fields.split():
                before.pop(field, None)
                after[field] = None
    assert decode_table(json.dumps(with_nulls).encode()) == decode_table(
        json.dumps(table).encode()
    )


@pytest.mark.parametrize("field", ["timeout_ms", "goal_ms", "gap_target_ms"])
@pytest.mark.parametrize("number", [HUGE, INFINITE, "-1", '"5"'])
def test_a_route_with_an_odd_time_is_malformed(field, number):
    table = configuration()
    table["routes"][0][field] = "odd"
    value = json.dumps(table).replace('"odd"', number).encode()
    with pytest.raises(MalformedRecordError):
        decode_table(value)


@pytest.mark.parametrize("topic", ["keyed.servers", "keyed.gateways", "keyed.op"])
def test_a_gateway_follows_the_store_beside_odd_records(topic):
    # Machines that read the list ended again and again, or stopped following it.
    hosts = ("[1]", '"10.0.0.1"', '"example.test"', '"\\ud800"', "7")
    addresses = [
        f'{{"host": {host}, "port": {port}}}'.encode()
        for host in hosts
        for port in (INFINITE, HUGE, "65536", "-1", "0", "80.5", '"80"', "[80]")
    ]

    def leave_odd_records(store):
        for number, value in enumerate([*ODD_ENTRIES.values(), *addresses]):
            key = "config" if topic == "keyed.op" else f"odd-{number}"
            store.put(topic, key, value)

    async def main():
        store = await Store().start()
        leave_odd_records(store)
        store.put("keyed.op", "config", configuration())
        async with asyncio.timeout(30.0), running_gateway(store) as fleet:
            await until(lambda: fleet.state.table is not None)
            endpoint = await fleet.add(whole(), service="app")
            leave_odd_records(store)
            await fleet.configure(configuration(2))
            assert (await fleet.fetch()).status == 200
            await asyncio.sleep(REPORTS_S)
            assert not fleet.main.done()
            assert fleet.exchange.peer_ids == []
            store.put("keyed.servers", endpoint.endpoint_id, None)
            now = asyncio.get_running_loop().time
            await until(lambda: not fleet.knows(endpoint, "app", now()))
            await endpoint.stop()
        await store.stop()

    asyncio.run(main())
