"""Planned stops of real processes that are late: they end before they are killed."""

import asyncio
import os
import signal
import subprocess
import sys
import time

import pytest

from sorrelhoist.gateway.drain import DRAIN_POLL_S, HANDSHAKE_S
from tests.platform.real_gateway import CHECKOUT, STOP, post, run_in_world
from tests.platform.standins import streams
from tests.platform.test_real_stop import ROUTES, use_one_connection, works

pytestmark = pytest.mark.process

GRACE_S = 8
WORK_S = 0.05


async def pause(gateway, spans, started_s):
    """Stop the process at times after the signal, as if it got no processor."""
    for begin_s, end_s in spans:
        await asyncio.sleep(max(0.0, started_s + begin_s - time.monotonic()))
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(max(0.0, started_s + end_s - time.monotonic()))
        gateway.signal(signal.SIGCONT)


EACH_SECOND = [(number + 0.6, number + 0.9) for number in range(7)]


@pytest.mark.parametrize(
    "late_s, spans",
    [
        (0.3, []),
        (0.0, EACH_SECOND),
        (0.0, [(7.15, 7.45)]),
        (0.2, [(7.35, 7.65)]),
        (0.0, [(6.9, 7.6)]),
    ],
)
def test_a_process_that_is_late_answers_all_and_ends_before_the_kill(
    tmp_path, late_s, spans
):
    async def main(world):
        world.scripts("llm", streams(200, pause_s=0.1))
        world.scripts("app", works(WORK_S))
        gateway = await world.start(grace_s=GRACE_S)
        sent = {}
        users = [
            asyncio.ensure_future(use_one_connection(gateway, path, sent))
            for path in ("/look/1", "/once/1")
        ]
        # A stream from before the signal holds the process until it is cut.
        stream = post("/stream/1", wait_ms=20_000)
        running = asyncio.ensure_future(gateway.call(stream, wait_s=12.0))
        await asyncio.sleep(0.5)
        started_s = time.monotonic()
        if late_s:
            gateway.signal(signal.SIGSTOP)
        gateway.signal(STOP)
        await asyncio.sleep(late_s)
        gateway.signal(signal.SIGCONT)
        pausing = asyncio.ensure_future(pause(gateway, spans, started_s))
        assert await gateway.exit_code(started_s + GRACE_S - time.monotonic()) == 0
        await pausing
        await asyncio.gather(*users)
        await running
        for request_id, answer in sent.items():
            assert world.runs(request_id) == (answer.status == 200)
            assert answer.is_complete or not world.runs(request_id)
        (cut,) = gateway.events("cut_by_stop")
        (stopped,) = gateway.events("stopped")
        assert cut["outcome"] == "broken off"
        assert gateway.events("stop")[0]["late_ms"] <= stopped["late_ms"]
        longest_s = max((end_s - begin_s for begin_s, end_s in spans), default=0.0)
        assert stopped["late_ms"] / 1000 >= longest_s - DRAIN_POLL_S - HANDSHAKE_S
        assert (stopped["running"], stopped["cut"]) == (0, 1)

    run_in_world(tmp_path, main, routes=ROUTES)


SLOW_END = """
import atexit, runpy, sys, time
atexit.register(time.sleep, 3.0)
sys.argv = [sys.argv[1]]
runpy.run_path(sys.argv[0], run_name="__main__")
"""


def test_the_end_of_the_interpreter_delays_no_exit(tmp_path):
    # It took up to 0.12 s of the 0.5 s between the close of connections and the kill.
    async def main(world):
        gateway = world.gateway(grace_s=1)
        gateway.write_settings()
        with gateway.log_path.open("ab") as log:
            gateway.process = subprocess.Popen(
                [sys.executable, "-c", SLOW_END, str(CHECKOUT / "deploy/gateway.py")],
                stdout=log,
                stderr=log,
                env=os.environ | {"SORRELHOIST_SETTINGS": str(gateway.settings_path)},
            )
        await gateway.wait_ready()
        gateway.signal(STOP)
        assert await gateway.exit_code(2.5) == 0
        assert gateway.events("exit")

    run_in_world(tmp_path, main)
