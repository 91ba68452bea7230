"""Background tasks that fail, end or are cancelled."""

import asyncio
from collections import Counter

import pytest

from sorrelhoist.gateway.supervision import MAX_PAUSE_S, supervise, supervised
from tests.virtual_loop import run_virtual


def test_a_task_that_fails_runs_again_after_pauses_that_grow_to_a_bound(caplog):
    started_s, failures = [], Counter()

    async def fails():
        started_s.append(asyncio.get_running_loop().time())
        raise ExceptionGroup("odd", [RuntimeError("value")])

    async def main():
        with supervised("follower", fails, failures):
            await asyncio.sleep(60.0)

    run_virtual(main())
    pauses_s = [b - a for a, b in zip(started_s, started_s[1:], strict=False)]
    assert pauses_s[:3] == pytest.approx([0.1, 0.2, 0.4], abs=0.01)
    assert pauses_s[-1] == pytest.approx(MAX_PAUSE_S, abs=0.01)
    assert failures["follower"] == len(started_s)
    assert "RuntimeError: value" in caplog.text


def test_a_cancelled_future_inside_a_task_does_not_end_it_and_its_own_cancel_does():
    runs = []

    async def waits():
        runs.append(1)
        future = asyncio.get_running_loop().create_future()
        if len(runs) == 1:
            future.cancel()
        await future

    async def main():
        task = asyncio.ensure_future(supervise("reports", waits, Counter()))
        await asyncio.sleep(1.0)
        assert not task.done()
        task.cancel()
        await asyncio.sleep(0)
        assert task.cancelled()

    run_virtual(main())
    assert len(runs) == 2
