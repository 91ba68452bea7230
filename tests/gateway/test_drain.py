"""Drain of a stopping gateway whose event loop is late."""

import asyncio
import time
from types import SimpleNamespace

import attrs
import pytest

from sorrelhoist.decisions.planned_stop import PlannedStop
from sorrelhoist.gateway.drain import DRAIN_POLL_S, drain

GRACE_S = 8.0
LATE_EXIT_S = 0.15
"""Time in which a process that is late ends: it may be killed 0.6 s after the usual
closing of its connections."""


@attrs.define
class RecordingServer:
    """A server that records what the drain asks of it."""

    calls: list = attrs.field(factory=list)

    def refuse_connections(self):
        self.calls.append("refuse connections")

    def refuse_unread(self):
        self.calls.append("refuse unread")

    def stop(self):
        self.calls.append("stop")

    async def close_all_connections(self):
        self.calls.append("close")


def busy_front():
    """Return a front whose callers send requests until the end."""
    return SimpleNamespace(
        is_idle=False,
        running=set(),
        received_s=float("inf"),
        parts=SimpleNamespace(reserver=SimpleNamespace(is_idle=True)),
    )


@pytest.mark.parametrize("woken_s", (7.25, 7.45, 7.6, 7.8))
def test_a_drain_whose_loop_is_late_ends_without_its_usual_waits(woken_s):
    # From 7.45 s it waited for another 0.3 s, and was killed in the middle.
    async def main():
        loop = asyncio.get_running_loop()
        server, started_s = RecordingServer(), loop.time()
        planned = PlannedStop(began_s=started_s - woken_s, grace_s=GRACE_S)
        await drain(busy_front(), [server], planned)
        assert loop.time() <= max(planned.close_at_s, started_s) + LATE_EXIT_S
        found = [call for call in server.calls if call != "refuse unread"]
        assert found == ["refuse connections", "stop", "close"]
        assert server.calls[-2] == "refuse unread"
        assert planned.is_closing

    asyncio.run(main())


def test_a_loop_that_is_late_during_a_drain_is_recorded():
    async def main():
        loop = asyncio.get_running_loop()
        planned = PlannedStop(began_s=loop.time() - 7.0, grace_s=GRACE_S)
        loop.call_later(0.1, time.sleep, 0.2)
        await drain(busy_front(), [RecordingServer()], planned)
        assert planned.late_s >= 0.2 - DRAIN_POLL_S

    asyncio.run(main())
