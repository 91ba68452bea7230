"""A gateway process with a memory limit, and 200 callers that don't read."""

import asyncio
import contextlib
import json
import os
import sys
import urllib.request

import attrs
import pytest

from sorrelhoist.bench.fleet import free_port
from sorrelhoist.decisions.overload.parts import OverloadPart
from tests.gateway.test_slow_callers import large_events
from tests.platform.fleet import Fleet, configuration, route
from tests.platform.standins import Endpoint, Store, whole

LIMIT_MB = 200
ALL_PART_NAMES = ",".join(part.value for part in OverloadPart)

STALLED, CALLS = 200, 80
SETTINGS = """
node = "gateway-1"
role = "gateway"
ip = "{ip}"
zone = "zone-a"
port_range = [{peer_port}, {peer_port}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
revoke_ms = 5000
grace_period_s = 8
retry_ratio = 0.2
retry_slack = 100
retry_window_s = 10
[provider]
addr = "{store}"
[limits]
memory_mb = {limit_mb}
"""
IP = "127.88.{}.2"


@attrs.define(eq=False)
class Process:
    """A gateway process, and the caller's side of it."""

    child: asyncio.subprocess.Process
    ip: str
    fleet: Fleet

    def memory_mb(self, field):
        """Return a field of ``/proc/PID/status`` in MB."""
        with open(f"/proc/{self.child.pid}/status") as status:
            line = next(one for one in status if one.startswith(field))
        return int(line.split()[1]) / 1024

    async def dump(self):
        def fetch():
            with urllib.request.urlopen(f"http://{self.ip}:9464/dump") as answer:
                return json.load(answer)

        return await asyncio.to_thread(fetch)


@contextlib.asynccontextmanager
async def gateway_process(folder):
    """Run a gateway process with endpoints for streams and for calls."""
    store = await Store().start()
    routes = [
        route("stream", "streaming", "llm", resumable=True, gap_target_ms=250),
        route("once", "non_idempotent", "app"),
    ]
    routes[0]["timeout_ms"] = 10_000
    store.put("keyed.op", "config", configuration(routes=routes))
    ip = IP.format(os.getpid() % 250)
    front, ready = free_port(), free_port()
    path = folder / "gateway.toml"
    path.write_text(
        SETTINGS.format(
            ip=ip,
            peer_port=free_port(),
            front=front,
            ready=ready,
            store=store.address,
            limit_mb=LIMIT_MB,
        )
    )
    with (folder / "gateway.log").open("wb") as log:
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "sorrelhoist", "gateway", "--settings", str(path)),
            stdout=log,
            stderr=log,
            env=os.environ | {"SORRELHOIST_OVERLOAD": ALL_PART_NAMES},
        )
        try:
            yield Process(child, ip, Fleet(store, front, ready, None, None, None))
        finally:
            child.kill()
            await child.wait()
            await store.stop()


async def add(fleet, script, service, name, count=1):
    for number in range(count):
        endpoint = Endpoint(endpoint_id=f"{name}-{number}", scripts=[script])
        await endpoint.start()
        fleet.endpoints.append(endpoint)
        fleet.register(endpoint, backend=service, capacity=8)


@pytest.mark.process
def test_200_stalled_callers_neither_kill_a_gateway_nor_disturb_others(tmp_path):
    # Without a bound the gateway would hold 200 answers of up to 15 MB each.
    async def main():
        async with asyncio.timeout(60), gateway_process(tmp_path) as process:
            fleet = process.fleet
            await add(fleet, large_events(pause_s=0.4), "llm", "i", count=30)
            await add(fleet, whole(), "app", "app")

            async def call(number):
                return await fleet.fetch(
                    "/once/1", "POST", b"x", request_id=f"c-{number}", host=process.ip
                )

            async def is_up():
                with contextlib.suppress(OSError):
                    return (await call("first")).status == 200

            while not await is_up():
                await asyncio.sleep(0.1)
            before_mb = process.memory_mb("VmRSS")
            stalled = []
            for number in range(STALLED):
                _, writer = await fleet.send(
                    "/stream/1",
                    "POST",
                    b"prompt",
                    wait_ms=9000,
                    request_id=f"s-{number}",
                    host=process.ip,
                )
                writer.transport.pause_reading()
                stalled.append(writer)
                await asyncio.sleep(0.01)
            # The stand-ins need a moment to accept these connections.
            await asyncio.sleep(0.5)
            answers = []
            for number in range(CALLS):
                answers.append(await call(number))
                await asyncio.sleep(0.05)
            dump = await process.dump()
            print(json.dumps(dump["memory"] | {"largest": len(dump["loads"])}))
            print(f"before {before_mb:.0f} MB, most {process.memory_mb('VmHWM'):.0f}")
            assert process.child.returncode is None
            assert process.memory_mb("VmHWM") < LIMIT_MB
            assert [one.status for one in answers] == [200] * CALLS
            slowest_s = sorted(one.took_s for one in answers)[-6]
            print(f"nine of ten calls within {slowest_s:.3f} s")
            log = (tmp_path / "gateway.log").read_text()
            print({e: log.count(e) for e in ("caller_cut", "attempt_failed")})
            assert '"caller_cut"' in log
            runs = sum(len(one.requests) for one in fleet.endpoints[:30])
            assert runs <= STALLED
            for writer in stalled:
                writer.transport.abort()
            for endpoint in fleet.endpoints:
                await endpoint.stop()

    asyncio.run(main())
