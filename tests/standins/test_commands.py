"""The stand-ins as processes, and the restart of their server."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

import sorrelhoist
from sorrelhoist.clients.exceptions import NotSentError
from sorrelhoist.standins.testing import running_engine
from tests.standins.support import get

RUN = "from sorrelhoist.standins.commands import standin; standin()"
SOURCE = str(Path(sorrelhoist.__file__).parents[1])


@pytest.mark.process
@pytest.mark.parametrize(
    ("arguments", "path", "field", "value"),
    [
        (["engine", "--kv-capacity-tokens", "7"], "v1/status", "kv_capacity_tokens", 7),
        (["engine", "--no-start-cold"], "v1/status", "state", "serving"),
        (["plain-service", "--cold-s", "999"], "status", "state", "cold"),
        (["platform", "--appends-per-s", "9"], "v1/hosts", "hosts", []),
    ],
)
def test_command_announces_its_port_and_stops_on_a_signal(
    arguments, path, field, value
):
    async def main():
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", RUN, *arguments),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": SOURCE},
        )
        try:
            port = json.loads(await process.stdout.readline())["listening"]
            assert (await get(f"http://127.0.0.1:{port}/{path}"))[field] == value
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    asyncio.run(main())


def test_server_restarts_on_its_port_after_each_crash():
    async def main():
        async with running_engine() as engine:
            for _ in range(3):
                engine.server.die()
                engine.server.die()
                with pytest.raises(NotSentError):
                    await get(f"{engine.url}/v1/status")
                engine.server.restart()
                engine.server.restart()
                assert (await get(f"{engine.url}/v1/status"))["boot_id"]
            engine.server.die()

    asyncio.run(main())
