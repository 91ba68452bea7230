"""Signals before, during and after an event loop."""

import asyncio
import os
import signal
import time
from contextlib import ExitStack

from sorrelhoist.node.signal_inbox import SignalInbox


def test_a_signal_before_the_loop_runs_is_passed_on_with_its_time():
    early = [(signal.SIGHUP, 1.0)]
    inbox, taken = SignalInbox(early), []

    async def main():
        with inbox.watched(lambda: taken.extend(inbox.take())):
            await asyncio.sleep(0)

    with inbox.recording():
        sent_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        assert inbox.is_stop_received
        asyncio.run(main())
    assert taken == [signal.SIGHUP, signal.SIGTERM]
    assert sent_s <= inbox.stop_s <= time.monotonic()


def test_a_signal_wakes_a_loop_that_waits_and_is_recorded_after_its_end():
    inbox, taken = SignalInbox(), []

    async def main():
        woken = asyncio.Event()

        def received():
            taken.extend(inbox.take())
            if taken:
                woken.set()

        with inbox.watched(received):
            pid, number = os.getpid(), signal.SIGTERM
            asyncio.get_running_loop().call_later(0.01, os.kill, pid, number)
            await asyncio.wait_for(woken.wait(), 5.0)

    with inbox.recording():
        asyncio.run(main())
        os.kill(os.getpid(), signal.SIGHUP)
        assert (taken, inbox.take()) == ([signal.SIGTERM], [signal.SIGHUP])


def test_the_end_of_one_watch_leaves_another_one_awake():
    first, second, woken = SignalInbox(), SignalInbox(), asyncio.Event()

    async def main():
        watch = ExitStack()
        watch.enter_context(first.watched(lambda: None))
        with second.watched(lambda: second.take() and woken.set()):
            watch.close()
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.wait_for(woken.wait(), 5.0)

    asyncio.run(main())
