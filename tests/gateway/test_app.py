"""Metrics and state dump that a gateway serves to operators."""

import asyncio
import json
import os
import subprocess
import sys

from sorrelhoist.decisions.store_contact import StoreContact
from sorrelhoist.gateway.metrics import GatewayMetrics, MetricsLoader
from sorrelhoist.gateway.state import GatewayState
from tests.platform.fleet import read_answer, run_with_fleet, until
from tests.platform.standins import HOST, streams, whole


async def get(fleet, path):
    port = fleet.gateway.addresses.metrics_port
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    return await read_answer(reader, writer)


def test_metrics_count_requests_by_outcome_and_measure_latencies():
    async def main(fleet):
        await fleet.add(whole(), service="app")
        await fleet.add(streams(2))
        await fleet.fetch()
        await fleet.fetch(key="wrong")
        await fleet.stream()
        text = (await get(fleet, "/metrics")).body.decode()
        lines = text.splitlines()
        counts = [x for x in lines if x.startswith("sorrelhoist_gateway_requests")]
        for outcome in ("answered", "401"):
            assert any(f'outcome="{outcome}"' in line for line in counts)
        assert "sorrelhoist_gateway_first_event_seconds_bucket" in text

    run_with_fleet(main)


def test_measurements_before_the_exporter_is_loaded_are_kept():
    metrics = GatewayMetrics()
    metrics.requests.add(1, {"outcome": "answered"})
    metrics.stream_pause.record(0.12, {"route": "chat"})
    state = GatewayState(
        node_id="edge-1", failure_domain="a", contact=StoreContact(5.0)
    )
    loader = MetricsLoader(state, metrics)
    metrics.requests.add(2, {"outcome": "answered"})
    loader.text()
    metrics.requests.add(1, {"outcome": "answered"})
    lines = loader.text().decode().splitlines()
    counts = [x for x in lines if x.startswith("sorrelhoist_gateway_requests_total")]
    assert ['outcome="answered"' in x and x.endswith(" 4.0") for x in counts] == [True]
    pauses = [x for x in lines if x.startswith("sorrelhoist_gateway_stream_pause_s")]
    assert any('le="0.15"' in x and x.endswith(" 1.0") for x in pauses)


def test_a_start_loads_nothing_that_only_exports_metrics():
    script = (
        "import sys, sorrelhoist.platform.process;"
        "print(*{name.partition('.')[0] for name in sys.modules})"
    )
    path = os.pathsep.join(filter(None, sys.path))
    result = subprocess.run(
        [sys.executable, "-c", script],
        env=os.environ | {"PYTHONPATH": path},
        capture_output=True,
        text=True,
        check=True,
    )
    assert not {"opentelemetry", "prometheus_client"} & set(result.stdout.split())


def test_dump_shows_version_endpoints_and_contact_age():
    async def main(fleet):
        endpoint = await fleet.add(whole(), service="app")
        await until(lambda: fleet.state.table)
        found = json.loads((await get(fleet, "/dump")).body)
        assert found["version"] == 1
        assert endpoint.endpoint_id in found["directory"]["endpoints"]
        assert found["contact_age_s"] < 5.0

    run_with_fleet(main)


def test_an_internal_error_is_answered_and_its_log_line_has_the_request_id(
    monkeypatch, caplog
):
    async def fails(self):
        raise RuntimeError("a fault of the gateway")

    async def main(fleet):
        monkeypatch.setattr("sorrelhoist.gateway.exchange.Exchange.run", fails)
        answer = await fleet.fetch("/once/1", "POST", b"deposit", request_id="r-9")
        assert (answer.status, answer.is_complete) == (502, True)
        assert answer.headers["x-attempt-id"] == "r-9"
        (line,) = (one for one in caplog.records if one.message == "exchange failed")
        assert line.request_id == "r-9"
        assert fleet.state.memory.held_bytes == 0

    run_with_fleet(main)
